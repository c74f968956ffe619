//! Sliding-window sums in buckets of one second.

use std::time;

const BUCKETS: usize = 30;
const BUCKET_WIDTH: time::Duration = time::Duration::from_secs(1);

/// Adds up amounts over the last [`BUCKETS`] seconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentSum {
    /// Start of the newest bucket; `None` before the first amount.
    newest: Option<time::Instant>,
    /// Sums by age, the newest first.
    sums: [u64; BUCKETS],
}

impl RecentSum {
    /// Adds `amount` at `now`.
    pub(crate) fn add(&mut self, amount: u64, now: time::Instant) {
        self.advance(now);
        self.sums[0] = self.sums[0].saturating_add(amount);
    }

    /// Subtracts `amount` from the newest bucket, down to 0.
    pub(crate) fn subtract(&mut self, amount: u64) {
        self.sums[0] = self.sums[0].saturating_sub(amount);
    }

    /// Returns the largest sum of a whole second among the last `seconds`.
    pub(crate) fn peak(&mut self, seconds: usize, now: time::Instant) -> u64 {
        self.advance(now);
        self.sums[..=seconds.min(BUCKETS - 1)]
            .iter()
            .copied()
            .max()
            .unwrap_or(0)
    }

    /// Returns the mean sum per second over the last `seconds` complete buckets, without the newest
    /// one.
    pub(crate) fn mean(&mut self, seconds: usize, now: time::Instant) -> u64 {
        self.advance(now);
        let seconds = seconds.clamp(1, BUCKETS - 1);
        let sum: u64 = self.sums[1..=seconds].iter().sum();
        sum / seconds as u64
    }

    fn advance(&mut self, now: time::Instant) {
        let newest = *self.newest.get_or_insert(now);
        let elapsed_s = now.saturating_duration_since(newest).as_secs();
        if elapsed_s == 0 {
            return;
        }
        let shift = (elapsed_s as usize).min(BUCKETS);
        self.sums.copy_within(..BUCKETS - shift, shift);
        self.sums[..shift].fill(0);
        self.newest = Some(newest + BUCKET_WIDTH * u32::try_from(elapsed_s).unwrap_or(u32::MAX));
    }
}
