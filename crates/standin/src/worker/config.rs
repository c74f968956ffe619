//! Configuration of a worker.

use std::time;

const DEFAULT_USAGE_LAG: time::Duration = time::Duration::from_millis(200);
const DEFAULT_RESULT_RETENTION: time::Duration = time::Duration::from_secs(60);
const DEFAULT_SLOTS: u32 = 8;
const DEFAULT_CONNECTIONS: u32 = 64;
const DEFAULT_RESOURCES: model::Demand = model::Demand {
    processors_milli: 64_000,
    memory_mb: 262_144,
    accelerators: 0,
};

/// Configuration of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerConfig {
    /// Id of the worker.
    pub worker_id: model::WorkerId,
    /// Location of the worker.
    pub location: model::Location,
    /// Capacity of the worker; connections beyond its limit are closed immediately.
    pub capacity: model::WorkerCapacity,
    /// Minimum running time before the usage of a run is reported.
    pub usage_lag: time::Duration,
    /// How long a result is retained after its acknowledgement, to answer repeated orders.
    pub result_retention: time::Duration,
}

impl WorkerConfig {
    /// Creates a configuration with the default capacity.
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
            result_retention: DEFAULT_RESULT_RETENTION,
        }
    }

    /// Sets the capacity.
    #[must_use]
    pub fn capacity(mut self, capacity: impl Into<model::WorkerCapacity>) -> Self {
        self.capacity = capacity.into();
        self
    }

    /// Sets the minimum running time before the usage of a run is reported.
    #[must_use]
    pub fn usage_lag(mut self, lag: impl Into<time::Duration>) -> Self {
        self.usage_lag = lag.into();
        self
    }
}
