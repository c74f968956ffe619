//! Counters of calls and of the bytes of their bodies.

use std::sync::atomic;

/// Calls and bytes of bodies since the client was built.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Calls started.
    pub calls: u64,
    /// Bytes of request bodies.
    pub sent_bytes: u64,
    /// Bytes of response bodies.
    pub received_bytes: u64,
}

/// Thread-safe counters behind [`Traffic`].
#[derive(Debug, Default)]
pub(crate) struct TrafficCounters {
    calls: atomic::AtomicU64,
    sent_bytes: atomic::AtomicU64,
    received_bytes: atomic::AtomicU64,
}

impl TrafficCounters {
    /// Counts a request and the bytes of its body.
    pub(crate) fn count_sent(&self, bytes: usize) {
        self.calls.fetch_add(1, atomic::Ordering::Relaxed);
        self.sent_bytes
            .fetch_add(bytes as u64, atomic::Ordering::Relaxed);
    }

    /// Counts the bytes of a response body.
    pub(crate) fn count_received(&self, bytes: usize) {
        self.received_bytes
            .fetch_add(bytes as u64, atomic::Ordering::Relaxed);
    }

    /// Returns the current counts.
    pub(crate) fn snapshot(&self) -> Traffic {
        Traffic {
            calls: self.calls.load(atomic::Ordering::Relaxed),
            sent_bytes: self.sent_bytes.load(atomic::Ordering::Relaxed),
            received_bytes: self.received_bytes.load(atomic::Ordering::Relaxed),
        }
    }
}
