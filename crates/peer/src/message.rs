//! Requests that are sent over links.

use serde::Serialize;
use serde::de;

/// A request with the type of its response.
pub trait Message: Serialize + de::DeserializeOwned + Send + Sync + 'static {
    /// The response to the request.
    type Response: Serialize + de::DeserializeOwned + Send + 'static;

    /// Returns whether the message coordinates instances, rather than carrying work.
    fn is_control(&self) -> bool;

    /// Returns whether a missing response means that the connection is silent and is replaced.
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
        matches!(
            self,
            Self::Heartbeat(_) | Self::Manifest | Self::ManifestState | Self::Clock
        )
    }

    fn is_heartbeat(&self) -> bool {
        matches!(self, Self::Heartbeat(_))
    }
}
