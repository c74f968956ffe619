//! Progress of a body that is being received, by which senders are ranked when memory is short.

use std::cmp;
use std::time;

/// Time without any byte from which a sender counts as stalled: several round trips between
/// continents.
const STALL_TIME: time::Duration = time::Duration::from_millis(300);
/// Time over which the rate of a sender is measured.
const RATE_WINDOW: time::Duration = time::Duration::from_millis(500);
/// Rate below which a sender counts as slow, in bytes a second: half of what the largest body needs
/// to arrive within the timeout of a body, 262,144 bytes in 5 s.
const SLOW_BYTES_PER_S: u64 = 26_000;

/// Order in which bodies are dropped; lower ones first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShedRank {
    /// Nothing has arrived for this long.
    Stalled(cmp::Reverse<time::Duration>),
    /// Bytes a second of a slow sender.
    Slow(u64),
    /// Bytes a second of a sender whose source holds too much.
    Greedy(u64),
}

/// How a body has arrived so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    received_bytes: u64,
    last_at: time::Instant,
    /// When the window began that is being measured, and the bytes received by then.
    window: (time::Instant, u64),
    /// The same of the window before.
    last_window: (time::Instant, u64),
}

impl Progress {
    pub(crate) fn new(now: time::Instant) -> Self {
        Self {
            received_bytes: 0,
            last_at: now,
            window: (now, 0),
            last_window: (now, 0),
        }
    }

    /// Records that `received_bytes` have arrived in all.
    pub(crate) fn record(&mut self, received_bytes: u64, now: time::Instant) {
        if now.duration_since(self.window.0) >= RATE_WINDOW {
            self.last_window = self.window;
            self.window = (now, self.received_bytes);
        }
        self.received_bytes = received_bytes;
        self.last_at = now;
    }

    /// Returns the rank among those that are dropped when memory is short; `None` for a sender that
    /// makes progress.
    pub(crate) fn shed_rank(&self, now: time::Instant, is_greedy: bool) -> Option<ShedRank> {
        let idle = now.duration_since(self.last_at);
        if idle >= STALL_TIME {
            return Some(ShedRank::Stalled(cmp::Reverse(idle)));
        }
        let (since, before_bytes) = self.last_window;
        let elapsed = now.duration_since(since);
        let elapsed_ms = u64::try_from(elapsed.as_millis())
            .unwrap_or(u64::MAX)
            .max(1);
        let rate = (self.received_bytes - before_bytes) * 1_000 / elapsed_ms;
        if elapsed >= RATE_WINDOW && rate < SLOW_BYTES_PER_S {
            return Some(ShedRank::Slow(rate));
        }
        is_greedy.then_some(ShedRank::Greedy(rate))
    }
}
