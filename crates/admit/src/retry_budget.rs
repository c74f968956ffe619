//! The number of requests that an instance sends again to the same leader.

use std::time;

/// Thousandths of a retry that each first attempt allows: retries add a fifth to the load at most.
const RETRY_SHARE_MILLI: u64 = 200;
/// Retries a second that are always allowed, so that an instance with few callers can retry.
const MIN_RETRIES_PER_S: u64 = 5;
/// Most retries saved up: about as many as callers wait at an instance when one of its links breaks.
const MAX_SAVED_MILLI: u64 = 30_000;
const MILLI: u64 = 1_000;

/// Budget for the retries of an instance: a share of its first attempts, and a few a second.
///
/// Without one, every instance repeats every request while the leader is slow, and the repetitions
/// keep it slow after the cause has ended.
#[derive(Debug)]
pub struct RetryBudget {
    /// Retries saved up, in thousandths; at most `MAX_SAVED_MILLI`.
    saved_milli: u64,
    refilled_at: time::Instant,
}

impl RetryBudget {
    /// Creates a full budget.
    #[must_use]
    pub fn new(now: time::Instant) -> Self {
        Self {
            saved_milli: MAX_SAVED_MILLI,
            refilled_at: now,
        }
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.save(RETRY_SHARE_MILLI);
    }

    /// Returns whether a retry may be sent.
    pub fn has_retry(&mut self, now: time::Instant) -> bool {
        self.refill(now);
        self.saved_milli >= MILLI
    }

    /// Returns whether a retry may be sent, and uses it up.
    pub fn try_retry(&mut self, now: time::Instant) -> bool {
        let allowed = self.has_retry(now);
        if allowed {
            self.saved_milli -= MILLI;
        }
        allowed
    }

    fn refill(&mut self, now: time::Instant) {
        let elapsed_ms = now.saturating_duration_since(self.refilled_at).as_millis() as u64;
        // Thousandths of a retry: retries a second times milliseconds.
        let earned_milli = elapsed_ms.saturating_mul(MIN_RETRIES_PER_S);
        if earned_milli > 0 {
            self.refilled_at = now;
            self.save(earned_milli);
        }
    }

    fn save(&mut self, milli: u64) {
        self.saved_milli = self.saved_milli.saturating_add(milli).min(MAX_SAVED_MILLI);
    }
}
