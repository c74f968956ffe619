//! A token bucket for task starts.

use std::time;

/// Tokens of one task start, in thousandths.
const START_COST_MILLI: u64 = 1_000;

/// Longest time for which unused starts accumulate.
const BURST_MS: u64 = 1_000;

/// Limits task starts to a rate, with a short burst.
#[derive(Debug)]
pub(crate) struct Bucket {
    rate_milli: u64,
    /// Tokens, in millionths of a start.
    tokens_micro: u64,
    /// When tokens were last added; `None` before the first refill.
    refilled_at: Option<time::Instant>,
}

impl Bucket {
    /// Creates a bucket that holds one start.
    pub(crate) fn full(now: time::Instant) -> Self {
        Self {
            rate_milli: 0,
            tokens_micro: START_COST_MILLI * 1_000,
            refilled_at: Some(now),
        }
    }

    /// Creates a bucket without tokens.
    pub(crate) fn empty() -> Self {
        Self {
            rate_milli: 0,
            tokens_micro: 0,
            refilled_at: None,
        }
    }

    /// Sets the rate, in thousandths of a start per second.
    pub(crate) fn set_rate(&mut self, rate_milli: u32, now: time::Instant) {
        self.refill(now);
        self.rate_milli = u64::from(rate_milli);
    }

    pub(crate) fn try_acquire(&mut self, starts: u32, now: time::Instant) -> bool {
        self.refill(now);
        if self.rate_milli == 0 {
            return false;
        }
        let cost_micro = u64::from(starts) * START_COST_MILLI * 1_000;
        if cost_micro > self.tokens_micro {
            return false;
        }
        self.tokens_micro -= cost_micro;
        true
    }

    fn refill(&mut self, now: time::Instant) {
        let refilled_at = self.refilled_at.unwrap_or(now);
        let elapsed = now.saturating_duration_since(refilled_at);
        let elapsed_us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let gained_micro = elapsed_us.saturating_mul(self.rate_milli) / 1_000;
        let capacity_micro = (self.rate_milli * BURST_MS).max(START_COST_MILLI * 1_000);
        // Time too short for a whole token counts towards the next refill.
        if gained_micro > 0 || self.rate_milli == 0 {
            self.refilled_at = Some(now);
        }
        self.refilled_at.get_or_insert(now);
        self.tokens_micro = self
            .tokens_micro
            .saturating_add(gained_micro)
            .min(capacity_micro);
    }
}
