//! What the leader orders workers to do, and what they answer.

use std::sync;
use std::time;

/// What a worker tells about itself in the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerReport {
    /// Which life of which worker.
    pub life: model::WorkerLife,
    /// Pool that it belongs to.
    pub pool: model::PoolName,
    /// `address:port` of its interface.
    pub address: sync::Arc<str>,
    /// Data centre in which it stands.
    pub data_centre: model::DataCentre,
    /// Rack in which it stands.
    pub rack: model::Rack,
    /// Its kind, its rack, and whatever else tells it apart.
    pub labels: Vec<sync::Arc<str>>,
    /// What it has in all.
    pub capacity: model::Demand,
    /// Whether it leaves soon and must get no new work.
    pub draining: bool,
}

/// Orders a worker to start a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The life meant; no other may take the order.
    pub life: model::WorkerLife,
    /// Address of the worker.
    pub address: sync::Arc<str>,
    /// The run.
    pub run: model::RunKey,
    /// Text of the job, unread.
    pub spec: sync::Arc<str>,
    /// Time on the worker's clock at which everything it runs ends unless the lease is renewed.
    pub lease_end_ms: i64,
    /// Term of the leader; the worker refuses lower ones than it has seen.
    pub term: model::Term,
    /// Saved progress to resume from.
    pub checkpoint: Option<sync::Arc<str>>,
    /// Permission of the recommendation service.
    pub ticket: Option<String>,
}

/// Orders a worker to stop a run, or never to start it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOrder {
    /// The life meant.
    pub life: model::WorkerLife,
    /// Address of the worker.
    pub address: sync::Arc<str>,
    /// The run.
    pub run: model::RunKey,
    /// Term of the leader.
    pub term: model::Term,
}

/// Sets the share of idle processors that a filling run may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PaceOrder {
    /// The life meant.
    pub life: model::WorkerLife,
    /// Address of the worker.
    pub address: sync::Arc<str>,
    /// The run.
    pub run: model::RunKey,
    /// Share, in percent; 100 at the start of a run.
    pub percent: u32,
    /// Term of the leader.
    pub term: model::Term,
}

/// Renews a worker's lease and asks what it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldOrder {
    /// The life meant.
    pub life: model::WorkerLife,
    /// Address of the worker.
    pub address: sync::Arc<str>,
    /// New end of the lease on the worker's clock; `None` leaves it.
    pub lease_end_ms: Option<i64>,
    /// Term of the leader.
    pub term: model::Term,
    /// Highest end that the worker may forget.
    pub forget_up_to: u64,
    /// How long the worker may keep the answer back until something ends.
    pub wait: time::Duration,
}

/// How a start order ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The run is there.
    Started,
    /// This copy of the order has not been carried out and never will be.
    Rejected(StartRejection),
    /// The order may have been carried out, or may still be.
    NoAnswer,
}

/// Why a worker rejected a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRejection {
    /// It has seen a higher term.
    Fenced,
    /// It has stopped or ended this run or a later one.
    Outdated,
    /// The lease would have ended already.
    Late,
    /// It has no room.
    NoRoom,
    /// The ticket is not valid.
    Ticket,
    /// It is not healthy.
    Unhealthy,
    /// It is another life of the worker.
    OtherLife,
    /// It could not be connected to: nothing was sent.
    Unreachable,
    /// The order made no sense to it.
    Malformed,
}

/// How a stop order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// The run stops, or will never start.
    Accepted,
    /// The worker has seen a higher term.
    Fenced,
    /// It is another life of the worker.
    OtherLife,
    /// No answer, or one that says nothing.
    NoAnswer,
}

/// How a pace order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceOutcome {
    /// The share holds.
    Accepted,
    /// The worker has seen a higher term.
    Fenced,
    /// No answer, or the run is not there.
    Failed,
}

/// How a call to hold a worker ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HoldOutcome {
    /// What the worker runs and what ended there.
    Listing(Listing),
    /// The worker has seen a higher term.
    Fenced,
    /// It is another life of the worker.
    OtherLife,
    /// No answer.
    NoAnswer,
}

/// What a worker runs and what ended there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Start of the worker's life, in milliseconds since 1970, if it says so.
    pub born_ms: Option<u64>,
    /// The worker's steady clock.
    pub clock_ms: i64,
    /// What runs.
    pub running: Vec<RunningRow>,
    /// What ended, oldest first; ends that may be forgotten are left out.
    pub ended: Vec<EndedRow>,
}

/// A run that a worker lists as running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningRow {
    /// The run.
    pub run: model::RunKey,
    /// Latest saved progress.
    pub checkpoint: Option<sync::Arc<str>>,
    /// Work done, in percent.
    pub percent: u32,
    /// Tail latency in milliseconds of a task with users of its own, else processors in use in
    /// thousandths of a core; over the last half second.
    pub usage: Option<u32>,
}

/// A run that a worker lists as ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRow {
    /// Number of the end within the worker's life, from 1.
    pub sequence: u64,
    /// The run.
    pub run: model::RunKey,
    /// How it ended.
    pub how: RunEnd,
    /// Saved progress.
    pub checkpoint: Option<sync::Arc<str>>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunEnd {
    /// The work is done.
    Done,
    /// Through its own fault or the worker's.
    Failed,
    /// By an order.
    Stopped,
    /// The worker's lease ended.
    Lapsed,
    /// Another member of the gang ended.
    GangBroken,
    /// The other members of the gang did not come in time.
    GangIncomplete,
}

impl RunEnd {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::GangBroken => "gang_broken",
            Self::GangIncomplete => "gang_incomplete",
        }
    }
}
