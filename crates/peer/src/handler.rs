//! The receiving side's interface to its owner.

use std::future;

/// Answers the requests of other instances.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Answers one request of the instance `from`.
    fn handle(
        &self,
        from: model::InstanceId,
        request: model::PeerRequest,
    ) -> impl future::Future<Output = model::PeerResponse> + Send;
}
