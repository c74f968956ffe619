//! Counters of the bytes exchanged.

use std::sync::atomic;

/// Bytes of bodies exchanged since the client was built.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Calls that were begun.
    pub calls: u64,
    /// Bytes of request bodies.
    pub sent_bytes: u64,
    /// Bytes of answer bodies.
    pub received_bytes: u64,
}

/// Counts traffic from many threads.
#[derive(Debug, Default)]
pub(crate) struct TrafficCounters {
    calls: atomic::AtomicU64,
    sent_bytes: atomic::AtomicU64,
    received_bytes: atomic::AtomicU64,
}

impl TrafficCounters {
    /// Counts a request with its body.
    pub(crate) fn count_sent(&self, bytes: usize) {
        self.calls.fetch_add(1, atomic::Ordering::Relaxed);
        self.sent_bytes
            .fetch_add(bytes as u64, atomic::Ordering::Relaxed);
    }

    /// Counts the body of an answer.
    pub(crate) fn count_received(&self, bytes: usize) {
        self.received_bytes
            .fetch_add(bytes as u64, atomic::Ordering::Relaxed);
    }

    /// Returns the counts.
    pub(crate) fn snapshot(&self) -> Traffic {
        Traffic {
            calls: self.calls.load(atomic::Ordering::Relaxed),
            sent_bytes: self.sent_bytes.load(atomic::Ordering::Relaxed),
            received_bytes: self.received_bytes.load(atomic::Ordering::Relaxed),
        }
    }
}
