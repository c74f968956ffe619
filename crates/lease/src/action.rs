//! Outputs of the lease decisions.

/// A worker whose lease this instance has just obtained, or whose process was restarted.
#[derive(Clone, Debug, PartialEq)]
pub struct Acquired {
    /// The worker.
    pub worker_id: model::WorkerId,
    /// Its location.
    pub location: model::Location,
    /// Its total capacity.
    pub capacity: model::WorkerCapacity,
    /// Whether it accepts no new work.
    pub leaving: bool,
    /// Epoch of the lease.
    pub epoch: model::Epoch,
    /// Identifies the run of the worker process.
    pub incarnation: model::Incarnation,
    /// Every task run known to the worker.
    pub running: Vec<model::RunningRun>,
}

/// An output of the lease decisions.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a lease request without an epoch.
    Claim {
        /// The worker.
        worker_id: model::WorkerId,
        /// Its `address:port`.
        address: String,
    },
    /// Send a lease request with the current epoch.
    Renew {
        /// The worker.
        worker_id: model::WorkerId,
        /// Its `address:port`.
        address: String,
        /// Epoch to renew.
        epoch: model::Epoch,
    },
    /// Send a release request.
    Release {
        /// The worker.
        worker_id: model::WorkerId,
        /// Its `address:port`.
        address: String,
        /// Epoch to release.
        epoch: model::Epoch,
        /// Instance that should claim next.
        successor: Option<model::InstanceId>,
    },
    /// This instance now holds the worker under a new epoch and adopts its runs.
    Acquired(Acquired),
    /// The worker process was restarted: runs of earlier incarnations are lost.
    ///
    /// The worker is held under the epoch given here.
    Restarted(Acquired),
    /// Whether the worker accepts new work has changed.
    LeavingChanged {
        /// The worker.
        worker_id: model::WorkerId,
        /// Whether it accepts no new work.
        leaving: bool,
    },
    /// The worker is no longer held: start nothing on it; its runs may continue under another
    /// holder.
    Dropped {
        /// The worker.
        worker_id: model::WorkerId,
    },
    /// The worker has been unreachable for so long that it has stopped the runs of this instance.
    ///
    /// This assumes that a request arrives no later than the margin after its sender gave up on it,
    /// and that the worker ends runs whose grace has passed before it reads a request. Another
    /// instance may have adopted the runs: before counting them as lost, ask the live instances for
    /// what [`crate::Leases::possibly_held`] returns there. Emitted once per outage, for any worker
    /// that this instance has sent a request to, whether or not it was held before.
    Gone {
        /// The worker.
        worker_id: model::WorkerId,
    },
}
