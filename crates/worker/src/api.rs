//! The narrow interfaces to workers and to the instance list.

use std::future;
use std::time;

use crate::error;

/// Orders to workers, each named by its `address:port`.
///
/// Every call ends within `timeout`. Each fails with
/// [`ErrorKind::NotSent`](error::ErrorKind::NotSent) only if the worker certainly got nothing, and
/// with [`ErrorKind::Unanswered`](error::ErrorKind::Unanswered) if the order may have taken effect.
pub trait WorkerApi: Clone + Send + Sync + 'static {
    /// Claims or renews the lease of a worker; `timeout` must exceed the request's `wait_ms`.
    ///
    /// # Errors
    ///
    /// Fails if the worker could not be reached or did not answer properly in time.
    fn lease(
        &self,
        address: &str,
        request: &model::LeaseRequest,
        timeout: time::Duration,
    ) -> impl future::Future<Output = Result<model::LeaseReply, error::Error>> + Send;

    /// Gives a lease back; has no effect with an epoch that is not the current one.
    ///
    /// # Errors
    ///
    /// Fails if the worker could not be reached or did not answer properly in time.
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
    /// Fails if the worker could not be reached or did not answer properly in time.
    fn start(
        &self,
        address: &str,
        request: &model::StartRequest,
        timeout: time::Duration,
    ) -> impl future::Future<Output = Result<model::StartReply, error::Error>> + Send;

    /// Stops a run, or forbids one that has not arrived.
    ///
    /// # Errors
    ///
    /// Fails if the worker could not be reached or did not answer properly in time.
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
    /// Fails if the worker could not be reached or did not answer properly in time, and with
    /// [`ErrorKind::Refused`](error::ErrorKind::Refused) if the epoch is not the current one.
    fn throttle(
        &self,
        address: &str,
        request: &model::ThrottleRequest,
        timeout: time::Duration,
    ) -> impl future::Future<Output = Result<(), error::Error>> + Send;

    /// Saves the state of a run and stops it.
    ///
    /// # Errors
    ///
    /// Fails if the worker could not be reached or did not answer properly in time.
    fn checkpoint(
        &self,
        address: &str,
        request: &model::StopRequest,
        timeout: time::Duration,
    ) -> impl future::Future<Output = Result<model::StopReply, error::Error>> + Send;
}

/// The platform's lagging list of instances and workers.
pub trait Directory: Clone + Send + Sync + 'static {
    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// Fails if the list could not be read in time.
    fn list(
        &self,
    ) -> impl future::Future<Output = Result<Vec<model::DirectoryEntry>, error::Error>> + Send;
}
