//! The narrow interface to the key-value service.

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
    /// Fails if no address answered in time or the answer made no sense.
    fn get(
        &self,
        key: &str,
    ) -> impl future::Future<Output = Result<Option<entry::Entry>, error::Error>> + Send;

    /// Reads at most `limit` entries whose keys start with `prefix` and follow `after`.
    ///
    /// # Errors
    ///
    /// Fails if no address answered in time or the answer made no sense.
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
    /// Fails with [`ErrorKind::Timeout`](error::ErrorKind::Timeout) if it is not known whether the
    /// transaction took effect; after every other error it did not.
    fn commit(
        &self,
        txn: entry::Txn,
    ) -> impl future::Future<Output = Result<entry::Committed, error::Error>> + Send;

    /// Grants a lease that ends `ttl` after its grant, rounded up to whole seconds.
    ///
    /// # Errors
    ///
    /// Fails as [`Store::commit`] does.
    fn grant_lease(
        &self,
        ttl: time::Duration,
    ) -> impl future::Future<Output = Result<entry::LeaseId, error::Error>> + Send;

    /// Renews a lease and returns whether it still lasts; `false` means that it has ended.
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
    /// Fails if no address answered in time or the answer made no sense.
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
    /// A silent connection is not noticed here: callers bound the wait, then read and watch anew.
    /// No change is lost when the future is dropped early.
    ///
    /// # Errors
    ///
    /// Fails when the stream has ended or made no sense; the watch is then of no more use.
    fn next(
        &mut self,
    ) -> impl future::Future<Output = Result<Vec<entry::Change>, error::Error>> + Send;
}
