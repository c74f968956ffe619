//! Requests that travel over links.

use serde::Serialize;
use serde::de;

/// A request with the type of its response.
pub trait Message: Serialize + de::DeserializeOwned + Send + Sync + 'static {
    /// Answers the request.
    type Response: Serialize + de::DeserializeOwned + Send + 'static;

    /// Returns whether the message keeps instances in step, rather than carrying work.
    fn is_control(&self) -> bool;

    /// Returns whether a missing answer shows that the connection is silent.
    fn is_heartbeat(&self) -> bool;
}

impl Message for model::PeerRequest {
    type Response = model::PeerResponse;

    fn is_control(&self) -> bool {
        matches!(
            self,
            Self::Heartbeat(_) | Self::Quota(_) | Self::Fence { .. } | Self::Lists
        )
    }

    fn is_heartbeat(&self) -> bool {
        matches!(self, Self::Heartbeat(_))
    }
}

impl Message for model::ControllerRequest {
    type Response = model::ControllerReply;

    fn is_control(&self) -> bool {
        matches!(self, Self::Heartbeat(_) | Self::Manifest)
    }

    fn is_heartbeat(&self) -> bool {
        matches!(self, Self::Heartbeat(_))
    }
}
