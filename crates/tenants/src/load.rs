//! Whether the workers are so busy that jobs beyond a tenant's rate are refused.

use std::time;

/// Fraction of a resource in use from which the workers count as full: what is left is spread over
/// many workers and holds few whole tasks.
const FULL_FRACTION: f64 = 0.9;
/// How long work of another tenant must have waited: the time that the queues of shortest jobs add to the
/// length of a job for all that delays it.
pub const FULL_WAIT: time::Duration = time::Duration::from_millis(400);
/// Fraction of the limit of waiting steps that jobs beyond the rates may fill; the rest is left to owed
/// jobs, which are refused at the limit.
const BACKLOG_FRACTION: f64 = 0.5;

/// How busy the workers are.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Largest fraction in use of any resource of the workers.
    pub used_fraction: f64,
    /// Whether owed work of others, which no cap holds back, has waited for [`FULL_WAIT`].
    pub others_wait: bool,
    /// Number of waiting steps.
    pub waiting_steps: usize,
    /// Number of waiting steps above which every job is refused.
    pub max_waiting_steps: usize,
}

impl Load {
    /// Returns whether jobs beyond a tenant's rate are refused: they would wait and hold up others.
    #[must_use]
    pub fn refuses_beyond_rate(&self) -> bool {
        let is_full = self.used_fraction >= FULL_FRACTION && self.others_wait;
        let limit = self.max_waiting_steps as f64 * BACKLOG_FRACTION;
        is_full || self.waiting_steps as f64 > limit
    }
}
