//! Passes requests of peers to the control thread.

use crate::drive;

/// Handler of the peer listener.
#[derive(Clone)]
pub(crate) struct PeerGateway {
    asker: drive::Asker,
}

impl PeerGateway {
    pub(crate) fn new(asker: drive::Asker) -> Self {
        Self { asker }
    }
}

impl peer::Handler for PeerGateway {
    type Request = model::PeerRequest;

    async fn handle(
        &self,
        from: model::InstanceId,
        request: model::PeerRequest,
    ) -> model::PeerResponse {
        let response = self.asker.peer(from, request).await;
        response.unwrap_or(model::PeerResponse::NotOwner)
    }
}
