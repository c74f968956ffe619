//! Interface to the platform that an instance runs on.

use std::future;
use std::time;

/// Access to the store, the workers and the recommendation service of a platform.
pub trait Platform: Clone + Send + Sync + 'static {
    /// The platform's key-value service.
    type Store: store::Store;
    /// The platform's workers.
    type Workers: Workers;
    /// The platform's recommendation service.
    type Advisor: Advisor;

    /// Returns the client of the key-value service.
    fn store(&self) -> &Self::Store;

    /// Returns the client of the workers.
    fn workers(&self) -> &Self::Workers;

    /// Returns the client of the recommendation service.
    fn advisor(&self) -> &Self::Advisor;

    /// Returns the store keys that the platform writes.
    fn keys(&self) -> &Keys;

    /// Decodes the operators' manifest.
    ///
    /// # Errors
    ///
    /// Returns the reason why the manifest is invalid.
    fn decode_manifest(&self, value: &[u8]) -> Result<jobs::Manifest, String>;

    /// Decodes the store entry of a worker.
    ///
    /// # Errors
    ///
    /// Returns the reason why the entry is invalid.
    fn decode_worker(&self, entry: &store::Entry) -> Result<jobs::WorkerReport, String>;
}

/// Store keys that the platform writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keys {
    /// Key of the operators' manifest.
    pub manifest: String,
    /// Prefix of the workers' entries.
    pub workers: String,
}

/// Sends orders to workers.
pub trait Workers: Clone + Send + Sync + 'static {
    /// Starts a run.
    fn start(
        &self,
        order: &jobs::StartOrder,
        timeout: time::Duration,
    ) -> impl future::Future<Output = jobs::StartOutcome> + Send;

    /// Stops a run, or prevents it from starting.
    fn stop(
        &self,
        order: &jobs::StopOrder,
        timeout: time::Duration,
    ) -> impl future::Future<Output = jobs::StopOutcome> + Send;

    /// Sets the share of the idle processors, in percent, that a best-effort run may use.
    fn throttle(
        &self,
        order: &jobs::ThrottleOrder,
        timeout: time::Duration,
    ) -> impl future::Future<Output = jobs::ThrottleOutcome> + Send;

    /// Renews the lease of a worker and lists its runs. The call may take the order's wait and
    /// `timeout` on top of it.
    fn renew_lease(
        &self,
        order: &jobs::RenewalOrder,
        timeout: time::Duration,
    ) -> impl future::Future<Output = jobs::RenewalOutcome> + Send;
}

/// Client of the recommendation service.
pub trait Advisor: Clone + Send + Sync + 'static {
    /// Asks which workers may run a step.
    ///
    /// # Errors
    ///
    /// Returns the reason why there is no advice.
    fn advise(
        &self,
        request: &model::AdviceRequest,
    ) -> impl future::Future<Output = Result<model::AdviceReply, model::AdviceFailure>> + Send;
}
