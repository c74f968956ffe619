//! Section `[workers]`.

use std::time;

use crate::section;

const DEFAULT_CONNECTIONS_PER_WORKER: u64 = 4;
const DEFAULT_CALL_TIMEOUT_MS: u64 = 1_000;

/// Connections to workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workers {
    /// Largest number of open connections to each worker whose lease is held.
    pub connections_per_worker: usize,
    /// Timeout of a call to a worker.
    pub call_timeout: time::Duration,
}

impl Workers {
    pub(super) fn read(mut section: section::Section<'_>) -> Self {
        Self {
            connections_per_worker: section.size(
                "connections_per_worker",
                DEFAULT_CONNECTIONS_PER_WORKER,
                1..=64,
            ),
            call_timeout: section.duration_ms(
                "call_timeout_ms",
                DEFAULT_CALL_TIMEOUT_MS,
                10..=60_000,
            ),
        }
    }
}
