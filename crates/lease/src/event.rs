//! Inputs of the lease decisions.

use std::time;

/// An instance that may hold leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The instance.
    pub instance_id: model::InstanceId,
    /// Its location.
    pub location: model::Location,
    /// Whether it is stopping and claims no more workers.
    pub draining: bool,
}

/// A worker's grant of a claim or renewal.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// The worker.
    pub worker_id: model::WorkerId,
    /// When the request was sent; the lease duration is counted from this time.
    pub sent_at: time::Instant,
    /// Whether the request was a claim.
    pub claim: bool,
    /// Epoch of the lease.
    pub epoch: model::Epoch,
    /// Identifies the run of the worker process.
    pub incarnation: model::Incarnation,
    /// The worker's total capacity.
    pub capacity: model::WorkerCapacity,
    /// Whether the worker accepts no new work.
    pub leaving: bool,
    /// Every task run known to the worker; empty unless `claim`.
    pub running: Vec<model::RunningRun>,
}

/// An input of the lease decisions.
///
/// Every `Claim`, `Renew` and `Release` action is answered by exactly one of `Granted`, `Held`,
/// `Lapsed`, `Failed`, `Unsent` and `Released`; the call timeout is short enough that a second call
/// fits into the lease's duration.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The platform's directory, which may lag; not sent while the directory is unavailable.
    Workers(Vec<model::DirectoryEntry>),
    /// The live instances, this one included.
    Members(Vec<Member>),
    /// A worker granted a claim or renewal.
    Granted(Grant),
    /// A worker answered a claim or renewal with the name of another holder.
    Held {
        /// The worker.
        worker_id: model::WorkerId,
        /// The holder.
        holder: model::InstanceId,
        /// Time until the lease lapses unless it is renewed.
        remaining: time::Duration,
    },
    /// A worker answered that the epoch in the request is no longer valid.
    Lapsed {
        /// The worker.
        worker_id: model::WorkerId,
    },
    /// A request got no answer; the worker may nevertheless have received it.
    Failed {
        /// The worker.
        worker_id: model::WorkerId,
        /// When the request was sent.
        sent_at: time::Instant,
    },
    /// A request was certainly not sent, for example because no connection could be opened.
    Unsent {
        /// The worker.
        worker_id: model::WorkerId,
    },
    /// A worker confirmed the release of its lease.
    Released {
        /// The worker.
        worker_id: model::WorkerId,
    },
    /// Another instance reported that it holds a worker; not a reply to any action.
    HeldByPeer {
        /// The worker.
        worker_id: model::WorkerId,
        /// The holder.
        holder: model::InstanceId,
    },
    /// This instance is stopping: hand every worker over to a successor.
    Drain,
    /// This instance no longer needs its workers: release them even without a successor.
    ReleaseAll,
    /// Time has passed.
    Tick,
}
