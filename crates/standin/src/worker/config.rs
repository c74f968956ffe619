//! What a worker is made of.

use std::time;

const DEFAULT_USAGE_LAG: time::Duration = time::Duration::from_millis(200);
const DEFAULT_KEEP: time::Duration = time::Duration::from_secs(60);
const DEFAULT_SLOTS: u32 = 8;
const DEFAULT_CONNECTIONS: u32 = 64;
const DEFAULT_RESOURCES: model::Demand = model::Demand {
    processors_milli: 64_000,
    memory_mb: 262_144,
    accelerators: 0,
};

/// Describes a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerConfig {
    /// Its id.
    pub worker_id: model::WorkerId,
    /// Where it stands.
    pub location: model::Location,
    /// What it has; more connections than it says are closed at once.
    pub capacity: model::WorkerCapacity,
    /// Age of the usage that it reports.
    pub usage_lag: time::Duration,
    /// How long it knows what became of a run, from its end or the acknowledgement of its result.
    pub keep: time::Duration,
}

impl WorkerConfig {
    /// Describes a worker of the usual size.
    #[must_use]
    pub fn new(worker_id: impl Into<model::WorkerId>, location: model::Location) -> Self {
        Self {
            worker_id: worker_id.into(),
            location,
            capacity: model::WorkerCapacity {
                resources: DEFAULT_RESOURCES,
                slots: DEFAULT_SLOTS,
                connections: DEFAULT_CONNECTIONS,
            },
            usage_lag: DEFAULT_USAGE_LAG,
            keep: DEFAULT_KEEP,
        }
    }

    /// Sets what it has.
    #[must_use]
    pub fn capacity(mut self, capacity: impl Into<model::WorkerCapacity>) -> Self {
        self.capacity = capacity.into();
        self
    }

    /// Sets the age of the usage that it reports.
    #[must_use]
    pub fn usage_lag(mut self, lag: impl Into<time::Duration>) -> Self {
        self.usage_lag = lag.into();
        self
    }
}
