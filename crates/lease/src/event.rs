//! What lease decisions react to.

use std::time;

/// An instance that may hold leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The instance.
    pub instance_id: model::InstanceId,
    /// Where it stands.
    pub location: model::Location,
    /// Whether it is stopping and takes no more workers.
    pub draining: bool,
}

/// A worker's grant of a claim or renewal.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// The worker.
    pub worker_id: model::WorkerId,
    /// When the request was sent; the lease counts from here.
    pub sent_at: time::Instant,
    /// Whether the request was a claim.
    pub claim: bool,
    /// Epoch of the lease.
    pub epoch: model::Epoch,
    /// Run of the worker process.
    pub incarnation: model::Incarnation,
    /// What the worker has.
    pub capacity: model::WorkerCapacity,
    /// Whether the worker wants no new work.
    pub leaving: bool,
    /// Every run known to the worker; empty unless `claim`.
    pub running: Vec<model::RunningRun>,
}

/// An input of the lease decisions.
///
/// Every `Claim`, `Renew` and `Release` action is answered by exactly one of `Granted`, `Held`,
/// `Lapsed`, `Failed`, `Unsent` and `Released`; a call is given up early enough to leave room for
/// another one in the lease's duration.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The platform's list, which may lag; nothing is sent while the list is unavailable.
    Workers(Vec<model::DirectoryEntry>),
    /// The live instances, this one included.
    Members(Vec<Member>),
    /// A worker granted a claim or renewal.
    Granted(Grant),
    /// A worker named another holder in its reply to a claim or renewal.
    Held {
        /// The worker.
        worker_id: model::WorkerId,
        /// The holder.
        holder: model::InstanceId,
        /// Time until the lease lapses unless it is renewed.
        remaining: time::Duration,
    },
    /// A worker answered that the quoted epoch is no longer valid.
    Lapsed {
        /// The worker.
        worker_id: model::WorkerId,
    },
    /// A request had no answer; the worker may have received it all the same.
    Failed {
        /// The worker.
        worker_id: model::WorkerId,
        /// When the request was sent.
        sent_at: time::Instant,
    },
    /// A request was surely not sent, as when no connection could be made.
    Unsent {
        /// The worker.
        worker_id: model::WorkerId,
    },
    /// A worker took its lease back.
    Released {
        /// The worker.
        worker_id: model::WorkerId,
    },
    /// Another instance said that it holds a worker; answers no action.
    HeldByPeer {
        /// The worker.
        worker_id: model::WorkerId,
        /// The holder.
        holder: model::InstanceId,
    },
    /// This instance stops: give every worker to a successor.
    Drain,
    /// Nothing here needs the workers any more: give them up, even if nobody takes them.
    Resign,
    /// Time has passed.
    Tick,
}
