//! Section `[callers]`.

use std::time;

use crate::section;

const DEFAULT_MAX_BODY_BYTES: u64 = 256 * 1024;
const DEFAULT_MAX_HEADER_BYTES: u64 = 16 * 1024;
const DEFAULT_MAX_CONNECTIONS: u64 = 1_024;
const DEFAULT_MAX_WAITING: u64 = 8_192;
const DEFAULT_MAX_DEADLINE_MS: u64 = 600_000;
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// Limits on callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Callers {
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Largest request head, in bytes.
    pub max_header_bytes: usize,
    /// Largest number of open connections.
    pub max_connections: usize,
    /// Largest number of requests that wait for an answer.
    pub max_waiting: usize,
    /// Longest start deadline that a caller may ask for.
    pub max_deadline: time::Duration,
    /// Start deadline of requests without one; at most `max_deadline`.
    pub default_deadline: time::Duration,
}

impl Callers {
    pub(super) fn read(mut section: section::Section<'_>) -> Self {
        let deadline_range_ms = 1..=86_400_000;
        Self {
            max_body_bytes: section.size(
                "max_body_bytes",
                DEFAULT_MAX_BODY_BYTES,
                1_024..=16 << 20,
            ),
            max_header_bytes: section.size(
                "max_header_bytes",
                DEFAULT_MAX_HEADER_BYTES,
                8_192..=1 << 20,
            ),
            max_connections: section.size(
                "max_connections",
                DEFAULT_MAX_CONNECTIONS,
                1..=1_000_000,
            ),
            max_waiting: section.size("max_waiting", DEFAULT_MAX_WAITING, 1..=1_000_000),
            max_deadline: section.duration_ms(
                "max_deadline_ms",
                DEFAULT_MAX_DEADLINE_MS,
                deadline_range_ms.clone(),
            ),
            default_deadline: section.duration_ms(
                "default_deadline_ms",
                DEFAULT_DEADLINE_MS,
                deadline_range_ms,
            ),
        }
    }
}
