//! Retries of a write whose reply was lost.

use std::time;

const DEFAULT_MAX_ATTEMPTS: u32 = 10;
const DEFAULT_DELAY: time::Duration = time::Duration::from_millis(500);

/// Attempts to write, and the delay before each read-back after a lost reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Maximum number of writes, each followed by a read if its reply is lost; at least 1.
    pub max_attempts: u32,
    /// Delay before each read.
    pub delay: time::Duration,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            max_attempts: DEFAULT_MAX_ATTEMPTS,
            delay: DEFAULT_DELAY,
        }
    }
}
