//! What an instance needs of the platform it runs on.

use std::future;
use std::time;

/// How the store, the workers and the recommendation service of a platform are reached.
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

    /// Returns where in the store the platform keeps what it tells.
    fn keys(&self) -> &Keys;

    /// Decodes the operators' manifest.
    ///
    /// # Errors
    ///
    /// Says what is wrong with it.
    fn decode_manifest(&self, value: &[u8]) -> Result<jobs::Manifest, String>;

    /// Decodes what a worker tells about itself.
    ///
    /// # Errors
    ///
    /// Says what is wrong with it.
    fn decode_worker(&self, entry: &store::Entry) -> Result<jobs::WorkerReport, String>;
}

/// Where in the store the platform keeps what it tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keys {
    /// Key of the operators' manifest.
    pub manifest: String,
    /// Prefix of the entries of workers.
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

    /// Stops a run, or forbids it to start.
    fn stop(
        &self,
        order: &jobs::StopOrder,
        timeout: time::Duration,
    ) -> impl future::Future<Output = jobs::StopOutcome> + Send;

    /// Sets the share of idle processors that a filling run may use.
    fn pace(
        &self,
        order: &jobs::PaceOrder,
        timeout: time::Duration,
    ) -> impl future::Future<Output = jobs::PaceOutcome> + Send;

    /// Renews a lease and reads what the worker runs; `timeout` counts on top of the wait.
    fn hold(
        &self,
        order: &jobs::HoldOrder,
        timeout: time::Duration,
    ) -> impl future::Future<Output = jobs::HoldOutcome> + Send;
}

/// Asks the recommendation service.
pub trait Advisor: Clone + Send + Sync + 'static {
    /// Asks which workers may run a step.
    ///
    /// # Errors
    ///
    /// Says why there is no advice.
    fn advise(
        &self,
        request: &model::AdviceRequest,
    ) -> impl future::Future<Output = Result<model::AdviceReply, model::AdviceFailure>> + Send;
}
