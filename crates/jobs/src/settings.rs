//! Settings of the leader's decisions.

use std::time;

/// Settings of the leader's decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How long everything on a worker outlives its last renewal.
    pub run_lease: time::Duration,
    /// How much slower than true a worker's clock may be, as a fraction.
    pub clock_drift: f64,
    /// How long a worker may keep the answer to a renewal back until something ends.
    pub hold_wait: time::Duration,
    /// How long an ended job's outcome is kept.
    pub outcome_retention: time::Duration,
    /// How long before the lease of a worker ends it is renewed at the latest.
    pub renew_before: time::Duration,
    /// Steps that may wait; above that, further jobs are refused.
    pub max_waiting_steps: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            run_lease: time::Duration::from_secs(5),
            clock_drift: 0.02,
            hold_wait: time::Duration::from_millis(1_500),
            outcome_retention: time::Duration::from_secs(180),
            renew_before: time::Duration::from_millis(3_500),
            max_waiting_steps: 20_000,
        }
    }
}

impl Settings {
    /// Returns how long after a renewal was sent everything on the worker has surely ended.
    pub(crate) fn lease_horizon(&self) -> time::Duration {
        self.run_lease.div_f64(1.0 - self.clock_drift) + LEASE_MARGIN
    }
}

/// Covers the error in the estimate of a worker's clock between two answers of it.
const LEASE_MARGIN: time::Duration = time::Duration::from_millis(300);
