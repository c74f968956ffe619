//! Counters of the calls made to the service.

use std::sync::atomic;

/// Number of calls sent since the client was built, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads of a key or range.
    pub reads: u64,
    /// Transactions, lease grants and lease renewals.
    pub writes: u64,
    /// Watches opened.
    pub watches: u64,
}

/// The kind of a call, which decides when it may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    /// Reads only: may always be retried.
    Read,
    /// May change data: never retried once it may have been sent.
    Write,
    /// Opens a watch.
    Watch,
}

/// Thread-safe counters of calls.
#[derive(Debug, Default)]
pub(crate) struct CallCounters {
    reads: atomic::AtomicU64,
    writes: atomic::AtomicU64,
    watches: atomic::AtomicU64,
}

impl CallCounters {
    /// Counts one call.
    pub(crate) fn count(&self, kind: CallKind) {
        let counter = match kind {
            CallKind::Read => &self.reads,
            CallKind::Write => &self.writes,
            CallKind::Watch => &self.watches,
        };
        counter.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Returns the counts.
    pub(crate) fn snapshot(&self) -> CallCounts {
        CallCounts {
            reads: self.reads.load(atomic::Ordering::Relaxed),
            writes: self.writes.load(atomic::Ordering::Relaxed),
            watches: self.watches.load(atomic::Ordering::Relaxed),
        }
    }
}
