//! Retries of a write whose reply was lost.

use std::time;

const TRIES: u32 = 10;
const PAUSE: time::Duration = time::Duration::from_millis(500);

/// Attempts to write, and the delay before each read-back after a lost reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettleTiming {
    /// Maximum number of writes, each followed by a read if its reply is lost; at least 1.
    pub tries: u32,
    /// Delay before each read.
    pub pause: time::Duration,
}

impl Default for SettleTiming {
    fn default() -> Self {
        Self {
            tries: TRIES,
            pause: PAUSE,
        }
    }
}
