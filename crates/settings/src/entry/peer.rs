//! Section `[peer]`.

use std::time;

use crate::section;

const DEFAULT_HEARTBEAT_MS: u64 = 250;
const DEFAULT_DEADLINE_MS: u64 = 1_500;
const DEFAULT_DEAD_AFTER_MS: u64 = 2_000;
const DEFAULT_MAX_MESSAGE_BYTES: u64 = 8 * 1024 * 1024;

/// Links between instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Time between two heartbeats.
    pub heartbeat: time::Duration,
    /// Silence after which a connection is replaced; at least twice `heartbeat`.
    pub silence_timeout: time::Duration,
    /// Silence after which the peer counts as dead; at least `silence_timeout`.
    pub dead_after: time::Duration,
    /// Largest message that is accepted, in bytes.
    pub max_message_bytes: usize,
}

impl Peer {
    pub(super) fn read(mut section: section::Section<'_>) -> Self {
        let message_range = 64 * 1024..=256 * 1024 * 1024;
        Self {
            heartbeat: section.duration_ms("heartbeat_ms", DEFAULT_HEARTBEAT_MS, 10..=10_000),
            silence_timeout: section.duration_ms("deadline_ms", DEFAULT_DEADLINE_MS, 20..=60_000),
            dead_after: section.duration_ms("dead_after_ms", DEFAULT_DEAD_AFTER_MS, 20..=600_000),
            max_message_bytes: section.size(
                "max_message_bytes",
                DEFAULT_MAX_MESSAGE_BYTES,
                message_range,
            ),
        }
    }
}
