//! What lease decisions ask for.

/// A worker that this instance holds from now on, or whose process was restarted.
#[derive(Clone, Debug, PartialEq)]
pub struct Acquired {
    /// The worker.
    pub worker_id: model::WorkerId,
    /// Where it stands.
    pub location: model::Location,
    /// What it has.
    pub capacity: model::WorkerCapacity,
    /// Whether it wants no new work.
    pub leaving: bool,
    /// Epoch of the lease.
    pub epoch: model::Epoch,
    /// Run of the worker process.
    pub incarnation: model::Incarnation,
    /// Every run known to the worker.
    pub running: Vec<model::RunningRun>,
}

/// An output of the lease decisions.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a lease request without epoch.
    Claim {
        /// The worker.
        worker_id: model::WorkerId,
        /// Its `address:port`.
        address: String,
    },
    /// Send a lease request with the epoch.
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
    /// The worker is held from now on, under a new epoch; its runs are adopted.
    Acquired(Acquired),
    /// The worker process was restarted: runs of earlier incarnations are lost.
    ///
    /// The worker is held under the epoch given here.
    Restarted(Acquired),
    /// The worker's wish for new work has changed.
    LeavingChanged {
        /// The worker.
        worker_id: model::WorkerId,
        /// Whether it wants no new work.
        leaving: bool,
    },
    /// The worker is no longer held: no new starts; its runs may live on under another holder.
    Dropped {
        /// The worker.
        worker_id: model::WorkerId,
    },
    /// The worker is out of contact for so long that it has stopped the runs of this instance.
    ///
    /// That rests on two things: a request arrives at most the margin after it was given up, and the
    /// worker ends what has outlived its grace before it reads a request. Another instance may have
    /// adopted the runs. Ask the live ones for what [`crate::Leases::possibly_held`] returns there
    /// before counting the runs as lost. Comes once in a silence, for any worker that this instance
    /// has asked, held before or not.
    Gone {
        /// The worker.
        worker_id: model::WorkerId,
    },
}
