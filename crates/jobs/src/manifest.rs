//! The operators' manifest: queues and pools of workers.

use std::sync;
use std::time;

use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

/// One version of the manifest.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Manifest {
    /// Version; a higher one replaces every lower one.
    pub version: model::ManifestVersion,
    /// Queues by name.
    pub queues: IndexMap<model::QueueName, sync::Arc<Queue>>,
    /// Pools by name.
    pub pools: IndexMap<model::PoolName, Pool>,
    /// The tenants; `None` if callers need no API key and all work is treated alike.
    pub tenants: Option<sync::Arc<tenants::Tenants>>,
    /// Queues that callers may use without an API key.
    ///
    /// Not a field of [`Queue`], whose layout is that of stored records.
    pub public_queues: IndexSet<model::QueueName>,
}

impl Manifest {
    /// Returns the queue that serves `path` on `host`: the one with the longest matching prefix.
    #[must_use]
    pub fn queue_for(&self, host: &str, path: &str) -> Option<&sync::Arc<Queue>> {
        self.queues
            .values()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter(|queue| path.starts_with(&queue.path_prefix))
            .max_by_key(|queue| queue.path_prefix.len())
    }
}

/// A queue of jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name, unique in the manifest.
    pub name: model::QueueName,
    /// Host name under which callers address it.
    pub host: String,
    /// Path prefix under which callers address it; the job id follows.
    pub path_prefix: String,
    /// Pool of the workers that run its tasks.
    pub pool: model::PoolName,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Failures of a task, or of a gang, after which its job has failed; at least 1.
    pub max_failures: u32,
    /// A job should end within its critical path times this factor, plus `target_latency`.
    pub stretch: f64,
    /// Time that is added to the stretched critical path.
    pub target_latency: time::Duration,
    /// Longest time that a caller's request may take.
    pub request_timeout: time::Duration,
    /// Set if a recommendation service decides which workers may run a step.
    pub advice: Option<AdviceTerms>,
}

/// Call times and ticket validity of the recommendation service for a queue.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdviceTerms {
    /// Fixed part of the duration of a call.
    pub base_time: time::Duration,
    /// Additional duration for each worker that a call names.
    pub time_per_worker: time::Duration,
    /// How long a ticket is valid.
    pub validity: time::Duration,
}

/// A pool of workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Name, unique in the manifest.
    pub name: model::PoolName,
    /// Whether its workers refuse what does not fit.
    pub enforces_capacity: bool,
    /// Whether its machines are switched off, at no cost.
    pub standby: bool,
}
