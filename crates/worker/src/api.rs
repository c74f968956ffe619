//! Traits for calling workers and for reading the directory of instances and workers.

use std::future;
use std::time;

use crate::error;

/// Calls to workers, each identified by its `address:port`.
///
/// Every call completes within `timeout`. It fails with
/// [`ErrorKind::NotSent`](error::ErrorKind::NotSent) only if the worker definitely received
/// nothing, and with [`ErrorKind::Unanswered`](error::ErrorKind::Unanswered) if the request may
/// have taken effect.
pub trait WorkerApi: Clone + Send + Sync + 'static {
    /// Claims or renews the lease of a worker; `timeout` must exceed the request's `wait_ms`.
    ///
    /// # Errors
    ///
    /// Fails if the worker could not be reached or did not return a valid response in time.
    fn lease(
        &self,
        address: &str,
        request: &model::LeaseRequest,
        timeout: time::Duration,
    ) -> impl future::Future<Output = Result<model::LeaseReply, error::Error>> + Send;

    /// Releases a lease; has no effect if the epoch is not the current one.
    ///
    /// # Errors
    ///
    /// Fails if the worker could not be reached or did not return a valid response in time.
    fn release(
        &self,
        address: &str,
        request: &model::ReleaseRequest,
        timeout: time::Duration,
    ) -> impl future::Future<Output = Result<(), error::Error>> + Send;

    /// Starts runs; the reply has a verdict for each, in order.
    ///
    /// # Errors
    ///
    /// Fails if the worker could not be reached or did not return a valid response in time.
    fn start(
        &self,
        address: &str,
        request: &model::StartRequest,
        timeout: time::Duration,
    ) -> impl future::Future<Output = Result<model::StartReply, error::Error>> + Send;

    /// Stops a run; leaves a tombstone for one that has not arrived, so that it is never started.
    ///
    /// # Errors
    ///
    /// Fails if the worker could not be reached or did not return a valid response in time.
    fn stop(
        &self,
        address: &str,
        request: &model::StopRequest,
        timeout: time::Duration,
    ) -> impl future::Future<Output = Result<model::StopReply, error::Error>> + Send;

    /// Limits the processors of a run; unknown runs are ignored.
    ///
    /// # Errors
    ///
    /// Fails if the worker could not be reached or did not return a valid response in time, and
    /// with [`ErrorKind::Refused`](error::ErrorKind::Refused) if the epoch is not the current one.
    fn throttle(
        &self,
        address: &str,
        request: &model::ThrottleRequest,
        timeout: time::Duration,
    ) -> impl future::Future<Output = Result<(), error::Error>> + Send;

    /// Checkpoints a run and stops it.
    ///
    /// # Errors
    ///
    /// Fails if the worker could not be reached or did not return a valid response in time.
    fn checkpoint(
        &self,
        address: &str,
        request: &model::StopRequest,
        timeout: time::Duration,
    ) -> impl future::Future<Output = Result<model::StopReply, error::Error>> + Send;
}

/// The platform's directory of instances and workers, which lags behind the actual state.
pub trait Directory: Clone + Send + Sync + 'static {
    /// Reads all entries.
    ///
    /// # Errors
    ///
    /// Fails if the directory could not be read in time.
    fn list(
        &self,
    ) -> impl future::Future<Output = Result<Vec<model::DirectoryEntry>, error::Error>> + Send;
}
