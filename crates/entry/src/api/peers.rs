//! Passes requests of peers to the control thread.

use crate::drive;

/// Handler of the peer listener.
#[derive(Clone)]
pub(crate) struct PeerGateway {
    control_handle: drive::ControlHandle,
}

impl PeerGateway {
    pub(crate) fn new(control_handle: drive::ControlHandle) -> Self {
        Self { control_handle }
    }
}

impl peer::Handler for PeerGateway {
    type Request = model::PeerRequest;

    async fn handle(
        &self,
        from: model::InstanceId,
        request: model::PeerRequest,
    ) -> model::PeerResponse {
        let response = self.control_handle.peer_request(from, request).await;
        response.unwrap_or(model::PeerResponse::NotOwner)
    }
}
