//! The interface to the key-value service.

use std::future;
use std::time;

use crate::entry;
use crate::error;

/// A key-value service with compare-and-swap, leases and watches.
///
/// Clones share connections and counters.
pub trait Store: Clone + Send + Sync + 'static {
    /// A watch of this service.
    type Watch: Watch;

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Fails if no address responded in time or the response was invalid.
    fn get(
        &self,
        key: &str,
    ) -> impl future::Future<Output = Result<Option<entry::Entry>, error::Error>> + Send;

    /// Reads at most `limit` entries whose keys start with `prefix` and follow `after`.
    ///
    /// # Errors
    ///
    /// Fails if no address responded in time or the response was invalid.
    fn range(
        &self,
        prefix: &str,
        limit: u32,
        after: Option<&str>,
    ) -> impl future::Future<Output = Result<entry::Page, error::Error>> + Send;

    /// Applies `txn` if its conditions hold.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::OutcomeUnknown`](error::ErrorKind::OutcomeUnknown) if it is not known
    /// whether the transaction took effect; after any other error it did not.
    fn commit(
        &self,
        txn: entry::Txn,
    ) -> impl future::Future<Output = Result<entry::TxnOutcome, error::Error>> + Send;

    /// Grants a lease that expires after `ttl`; the service may lengthen it, for example to whole
    /// seconds.
    ///
    /// # Errors
    ///
    /// Fails as [`Store::commit`] does.
    fn grant_lease(
        &self,
        ttl: time::Duration,
    ) -> impl future::Future<Output = Result<entry::LeaseId, error::Error>> + Send;

    /// Renews a lease and returns whether it is still active; `false` means that it has ended.
    ///
    /// # Errors
    ///
    /// Fails if it is not known whether the lease was renewed.
    fn renew_lease(
        &self,
        lease_id: entry::LeaseId,
    ) -> impl future::Future<Output = Result<bool, error::Error>> + Send;

    /// Watches keys that start with `prefix` for changes at `from_revision` and later.
    ///
    /// # Errors
    ///
    /// Fails if no address responded in time or the response was invalid.
    fn watch(
        &self,
        prefix: &str,
        from_revision: entry::Revision,
    ) -> impl future::Future<Output = Result<Self::Watch, error::Error>> + Send;
}

/// A stream of changes; dropping it ends the watch.
pub trait Watch: Send + 'static {
    /// Waits for the next changes, in order of their revisions.
    ///
    /// A silent connection is not detected here: callers limit the wait, then read the keys again
    /// and open a new watch. This method is cancel safe: no change is lost if the future is dropped
    /// before it completes.
    ///
    /// # Errors
    ///
    /// Fails if the stream has ended or is invalid; the watch cannot be used afterwards.
    fn next(
        &mut self,
    ) -> impl future::Future<Output = Result<Vec<entry::Change>, error::Error>> + Send;

    /// Waits for the next changes, for about `wait` at most; returns none if the service has replied
    /// that there are none up to now.
    ///
    /// A watch that gets no such reply waits as [`Watch::next`] does.
    ///
    /// # Errors
    ///
    /// Fails as [`Watch::next`] does.
    fn next_within(
        &mut self,
        _wait: time::Duration,
    ) -> impl future::Future<Output = Result<Vec<entry::Change>, error::Error>> + Send {
        self.next()
    }
}
