//! Settings of the scheduler.

use std::time;

/// Settings of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How long runs on a worker continue after the last renewal of its lease.
    pub run_lease: time::Duration,
    /// Longest lease that a worker grants, whatever it is told.
    pub max_run_lease: time::Duration,
    /// How much slower than real time a worker's clock may run, as a fraction.
    pub clock_drift: f64,
    /// How long a worker may delay its answer to a renewal until a run ends.
    pub max_renewal_wait: time::Duration,
    /// Most ends that a worker lists at once; the later ones follow when it may forget these.
    pub max_listed_ends: usize,
    /// How long the outcome of an ended job is kept.
    pub outcome_retention: time::Duration,
    /// Remaining time of a worker's lease at which it is renewed at the latest.
    pub renew_before: time::Duration,
    /// Time between two reports of a worker to the directory, at most.
    pub report_interval: time::Duration,
    /// How long after its report a smaller capacity of a worker need not be respected yet.
    pub capacity_notice: time::Duration,
    /// Longest time from a stop order to the end of its run, during which the run saves a checkpoint.
    pub stop_grace: time::Duration,
    /// Number of waiting steps above which further jobs are refused.
    pub max_waiting_steps: usize,
    /// Largest value that the store accepts, in bytes.
    pub max_value_bytes: usize,
    /// Whether the estimated speeds of the workers decide where work starts.
    pub uses_speeds: bool,
    /// Whether workers whose runs fail or stand still get little work; only with `uses_speeds`.
    pub uses_quarantines: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            run_lease: time::Duration::from_secs(5),
            max_run_lease: time::Duration::from_secs(10),
            clock_drift: 0.02,
            max_renewal_wait: time::Duration::from_millis(1_500),
            max_listed_ends: 500,
            outcome_retention: time::Duration::from_secs(180),
            renew_before: time::Duration::from_millis(3_500),
            report_interval: time::Duration::from_millis(1_500),
            capacity_notice: time::Duration::from_millis(4_000),
            stop_grace: time::Duration::from_millis(900),
            max_waiting_steps: 20_000,
            max_value_bytes: 1_048_576,
            uses_speeds: true,
            uses_quarantines: true,
        }
    }
}

impl Settings {
    /// Returns how long after a renewal was sent every run on the worker has certainly ended.
    pub(crate) fn lease_horizon(&self) -> time::Duration {
        self.horizon_of(self.run_lease)
    }

    /// Returns how long after a renewal was sent every run on the worker has certainly ended if the
    /// end of its lease was meant for another clock.
    pub(crate) fn max_lease_horizon(&self) -> time::Duration {
        self.horizon_of(self.max_run_lease)
    }

    fn horizon_of(&self, lease: time::Duration) -> time::Duration {
        lease.div_f64(1.0 - self.clock_drift) + LEASE_MARGIN
    }

    /// Returns the age of a worker's report from which no run is started by it: its capacity may have
    /// shrunk since, and a worker may start whatever it is told to.
    #[must_use]
    pub fn max_report_age(&self) -> time::Duration {
        let age = self.capacity_notice.saturating_sub(START_TRANSFER_MARGIN);
        age.max(MIN_REPORT_AGE)
    }
}

/// Longest time that a start order spends between the leader and the worker, with a margin.
const START_TRANSFER_MARGIN: time::Duration = time::Duration::from_millis(1_000);
/// Lower bound of the age from which a report is out of date: the directory is read about once a
/// second.
const MIN_REPORT_AGE: time::Duration = time::Duration::from_millis(2_000);
/// Covers the time in which a worker ends its runs once its lease has expired.
const LEASE_MARGIN: time::Duration = time::Duration::from_millis(300);
