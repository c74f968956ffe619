//! Settings of the scheduler.

use std::time;

/// Settings of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How long runs on a worker continue after the last renewal of its lease.
    pub run_lease: time::Duration,
    /// How much slower than real time a worker's clock may run, as a fraction.
    pub clock_drift: f64,
    /// How long a worker may delay its answer to a renewal until a run ends.
    pub max_renewal_wait: time::Duration,
    /// How long the outcome of an ended job is kept.
    pub outcome_retention: time::Duration,
    /// Remaining time of a worker's lease at which it is renewed at the latest.
    pub renew_before: time::Duration,
    /// Number of waiting steps above which further jobs are refused.
    pub max_waiting_steps: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            run_lease: time::Duration::from_secs(5),
            clock_drift: 0.02,
            max_renewal_wait: time::Duration::from_millis(1_500),
            outcome_retention: time::Duration::from_secs(180),
            renew_before: time::Duration::from_millis(3_500),
            max_waiting_steps: 20_000,
        }
    }
}

impl Settings {
    /// Returns how long after a renewal was sent every run on the worker has certainly ended.
    pub(crate) fn lease_horizon(&self) -> time::Duration {
        self.run_lease.div_f64(1.0 - self.clock_drift) + LEASE_MARGIN
    }
}

/// Covers the error of the estimate of a worker's clock between two of its answers.
const LEASE_MARGIN: time::Duration = time::Duration::from_millis(300);
