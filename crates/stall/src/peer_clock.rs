//! Time limits of messages by the clock of the peer that is to handle them.

use std::time;

use crate::uptime;

/// Reading of a peer's clock: the time since its process started.
pub type Reading = time::Duration;

/// What is known of the clock of a peer.
///
/// A message may wait in a link, or in a peer that stands still, and the peer can't tell for how long. A
/// time limit by the peer's own clock needs no clocks that agree: when a reading is received, the clock
/// shows at least that much, and it runs on at least as fast as true time, to within its drift.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerClock {
    reading: Reading,
    received_at: uptime::Uptime,
}

impl PeerClock {
    /// Creates what is known by a reading received at `received_at`, by this process's clock.
    #[must_use]
    pub fn new(reading: Reading, received_at: uptime::Uptime) -> Self {
        Self {
            reading,
            received_at,
        }
    }

    /// Returns a reading that the peer's clock shows at `at`, by this process's clock, or shortly before.
    #[must_use]
    pub fn reading_at(&self, at: uptime::Uptime) -> Reading {
        let since = at.saturating_sub(self.received_at);
        let before = self.received_at.saturating_sub(at);
        (self.reading + since).saturating_sub(before)
    }

    /// Returns how long ago the reading was received; both clocks may have drifted apart since.
    #[must_use]
    pub fn age(&self, now: uptime::Uptime) -> time::Duration {
        now.saturating_sub(self.received_at)
    }
}
