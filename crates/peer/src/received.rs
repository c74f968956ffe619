//! Bound on the bytes of requests that are received and not handled.

use std::sync;
use std::sync::atomic;

/// Requests up to this size, in bytes, may exceed the bound by as much again: heartbeats and reads
/// must not fail behind large submissions.
const SMALL_REQUEST_BYTES: usize = 16 * 1024;

/// Bytes of requests that are received and not handled, over all connections of a server; clones
/// share them.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedBytes {
    held_bytes: sync::Arc<atomic::AtomicUsize>,
    max_bytes: usize,
}

/// Bytes of one request; they count until this is dropped.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    bytes: usize,
    received: ReceivedBytes,
}

impl ReceivedBytes {
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self {
            held_bytes: sync::Arc::default(),
            max_bytes,
        }
    }

    /// Begins to count the bytes of a request.
    pub(crate) fn begin(&self) -> HeldBytes {
        HeldBytes {
            bytes: 0,
            received: self.clone(),
        }
    }
}

impl HeldBytes {
    /// Counts further bytes; returns whether they are within the bound. A request that is alone may
    /// exceed it.
    pub(crate) fn add(&mut self, bytes: usize) -> bool {
        let held = &self.received.held_bytes;
        let before = held.fetch_add(bytes, atomic::Ordering::Relaxed);
        let is_alone = before == self.bytes;
        self.bytes += bytes;
        let max_bytes = match self.bytes <= SMALL_REQUEST_BYTES {
            true => self.received.max_bytes.saturating_mul(2),
            false => self.received.max_bytes,
        };
        is_alone || before + bytes <= max_bytes
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        let held = &self.received.held_bytes;
        held.fetch_sub(self.bytes, atomic::Ordering::Relaxed);
    }
}
