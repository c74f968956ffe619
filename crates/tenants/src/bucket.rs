//! A token bucket for starts of tasks and for jobs.

use std::time;

/// Millionths of a token.
const TOKEN_MICRO: u64 = 1_000_000;

/// Limits tokens to a rate, with a burst.
#[derive(Clone, Debug)]
pub struct Bucket {
    /// Rate in thousandths of a token per second.
    rate_milli: u64,
    /// Longest time for which unused tokens accumulate, in milliseconds; the bucket holds one token at
    /// least.
    burst_ms: u64,
    /// Tokens, in millionths.
    tokens_micro: u64,
    /// When tokens were last added; `None` before the first refill.
    refilled_at: Option<time::Instant>,
}

impl Bucket {
    /// Creates a bucket that holds one token and accumulates those of `burst`.
    #[must_use]
    pub fn new(burst: time::Duration, now: time::Instant) -> Self {
        Self {
            tokens_micro: TOKEN_MICRO,
            refilled_at: Some(now),
            ..Self::empty(burst)
        }
    }

    /// Creates a bucket without tokens that accumulates those of `burst`.
    #[must_use]
    pub fn empty(burst: time::Duration) -> Self {
        Self {
            rate_milli: 0,
            burst_ms: u64::try_from(burst.as_millis()).unwrap_or(u64::MAX),
            tokens_micro: 0,
            refilled_at: None,
        }
    }

    /// Creates a bucket that holds as many tokens as it may.
    #[must_use]
    pub fn full(burst: time::Duration, rate_milli: u64, now: time::Instant) -> Self {
        let mut bucket = Self::new(burst, now);
        bucket.rate_milli = rate_milli;
        bucket.tokens_micro = bucket.capacity_micro();
        bucket
    }

    /// Sets the rate, in thousandths of a token per second.
    pub fn set_rate(&mut self, rate_milli: u64, now: time::Instant) {
        self.refill(now);
        self.rate_milli = rate_milli;
    }

    /// Takes tokens; returns whether there were as many.
    pub fn try_acquire(&mut self, tokens: u32, now: time::Instant) -> bool {
        self.refill(now);
        if self.rate_milli == 0 {
            return false;
        }
        let cost_micro = u64::from(tokens) * TOKEN_MICRO;
        if cost_micro > self.tokens_micro {
            return false;
        }
        self.tokens_micro -= cost_micro;
        true
    }

    /// Returns after which time the bucket has a token if none is taken; `None` if never.
    pub fn time_to_token(&mut self, now: time::Instant) -> Option<time::Duration> {
        self.refill(now);
        let missing_micro = TOKEN_MICRO.saturating_sub(self.tokens_micro);
        let missing_us = (missing_micro * 1_000).div_ceil(self.rate_milli.max(1));
        (self.rate_milli > 0).then(|| time::Duration::from_micros(missing_us))
    }

    fn capacity_micro(&self) -> u64 {
        let burst_micro = self.rate_milli.saturating_mul(self.burst_ms);
        burst_micro.max(TOKEN_MICRO)
    }

    fn refill(&mut self, now: time::Instant) {
        let refilled_at = self.refilled_at.unwrap_or(now);
        let elapsed = now.saturating_duration_since(refilled_at);
        let elapsed_us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let gained_micro = elapsed_us.saturating_mul(self.rate_milli) / 1_000;
        // Time too short for a whole millionth counts towards the next refill.
        if gained_micro > 0 || self.rate_milli == 0 {
            self.refilled_at = Some(now);
        }
        self.refilled_at.get_or_insert(now);
        self.tokens_micro = self
            .tokens_micro
            .saturating_add(gained_micro)
            .min(self.capacity_micro());
    }
}
