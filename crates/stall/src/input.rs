//! Whether what a socket gives may have waited there during a stall.

use crate::monitor;
use crate::uptime;

/// Data, or connections, that wait at a socket until the process reads them.
#[derive(Clone, Debug)]
pub struct Input {
    monitor: monitor::Monitor,
    /// Stalls by the time at which the socket was last known to be empty. Whatever is read while the
    /// monitor has counted more may have arrived before or during the later ones.
    stalls_when_empty: monitor::StallCount,
}

impl Input {
    /// Creates the input of a socket that is empty at `now`.
    #[must_use]
    pub fn empty_at(monitor: monitor::Monitor, now: uptime::Uptime) -> Self {
        let stalls_when_empty = monitor.observe(now).stalls;
        Self {
            monitor,
            stalls_when_empty,
        }
    }

    /// Records that something was read by `now`, after which nothing was left if `is_empty`; returns
    /// whether its age is known, to within [`MAX_UNDETECTED_STALL`](crate::MAX_UNDETECTED_STALL).
    #[must_use]
    pub fn record_read(&mut self, is_empty: bool, now: uptime::Uptime) -> bool {
        let stalls = self.monitor.observe(now).stalls;
        let is_age_known = stalls == self.stalls_when_empty;
        if is_empty {
            self.stalls_when_empty = stalls;
        }
        is_age_known
    }

    /// Records that there was nothing to read at `now`.
    ///
    /// The event loop may not have heard yet of what has arrived during a stall, so this proves nothing
    /// right after one.
    pub fn record_nothing(&mut self, now: uptime::Uptime) {
        let observation = self.monitor.observe(now);
        if observation.is_settled {
            self.stalls_when_empty = observation.stalls;
        }
    }
}
