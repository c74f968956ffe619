//! Section `[workers]`.

use std::time;

use crate::section;

const CONNECTIONS_PER_WORKER: u64 = 4;
const CALL_TIMEOUT_MS: u64 = 1_000;

/// Connections to workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workers {
    /// Open connections to each held worker.
    pub connections_per_worker: usize,
    /// Time after which a call to a worker counts as lost.
    pub call_timeout: time::Duration,
}

impl Workers {
    pub(super) fn read(mut section: section::Section<'_>) -> Self {
        Self {
            connections_per_worker: section.size(
                "connections_per_worker",
                CONNECTIONS_PER_WORKER,
                1..=64,
            ),
            call_timeout: section.duration_ms("call_timeout_ms", CALL_TIMEOUT_MS, 10..=60_000),
        }
    }
}
