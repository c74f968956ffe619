//! How lost replies are settled.

use std::time;

const TRIES: u32 = 10;
const PAUSE: time::Duration = time::Duration::from_millis(500);

/// How often and how soon a write whose reply was lost is read back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettleTiming {
    /// Writes at most, each followed by a read if its reply is lost; at least 1.
    pub tries: u32,
    /// Pause before each read.
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
