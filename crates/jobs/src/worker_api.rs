//! Orders of the leader to workers, and the workers' answers.

use std::sync;
use std::time;

use serde::Deserialize;
use serde::Serialize;

/// The entry of a worker in the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerReport {
    /// The worker, and which of its incarnations this is.
    pub incarnation: model::WorkerIncarnation,
    /// Its pool.
    pub pool: model::PoolName,
    /// `address:port` of its interface.
    pub address: sync::Arc<str>,
    /// Its data centre.
    pub data_centre: model::DataCentre,
    /// Its rack.
    pub rack: model::Rack,
    /// Its kind, its rack, and any other labels that steps may require.
    pub labels: Vec<sync::Arc<str>>,
    /// Its total capacity.
    pub capacity: model::Demand,
    /// Whether it will leave soon and must not get new runs.
    pub draining: bool,
    /// While it drains, the least time until it leaves, as of when the worker wrote the entry; `None`
    /// if it does not tell.
    pub remaining: Option<time::Duration>,
    /// Whether the worker could have replaced the entry if its capacity had shrunk: false for some
    /// time after the store was unavailable. No run is started by such an entry.
    pub is_current: bool,
}

/// Orders a worker to start a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The addressed incarnation; any other one rejects the order.
    pub incarnation: model::WorkerIncarnation,
    /// Address of the worker.
    pub address: sync::Arc<str>,
    /// The run.
    pub run: model::RunKey,
    /// Specification of the job, passed through uninterpreted.
    pub spec: sync::Arc<str>,
    /// Time on the worker's clock at which all its runs end unless the lease is renewed, in
    /// milliseconds.
    pub lease_end_ms: i64,
    /// Term of the leader; the worker rejects terms lower than the highest it has seen.
    pub term: model::Term,
    /// Checkpoint to resume from.
    pub checkpoint: Option<sync::Arc<str>>,
    /// Token of the recommendation service, if the queue needs one.
    pub ticket: Option<String>,
}

/// Orders a worker to stop a run, or never to start it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopOrder {
    /// The addressed incarnation.
    pub incarnation: model::WorkerIncarnation,
    /// Address of the worker.
    pub address: sync::Arc<str>,
    /// The run.
    pub run: model::RunKey,
    /// Term of the leader.
    pub term: model::Term,
}

/// Sets the share of idle processors that a best-effort run may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ThrottleOrder {
    /// The addressed incarnation.
    pub incarnation: model::WorkerIncarnation,
    /// Address of the worker.
    pub address: sync::Arc<str>,
    /// The run.
    pub run: model::RunKey,
    /// Share, in percent; a run starts with 100.
    pub percent: u32,
    /// Term of the leader.
    pub term: model::Term,
}

/// Numbers the renewals of a term.
pub type RenewalNumber = u64;

/// Renews a worker's lease and fetches its listing of runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewalOrder {
    /// Identifies the renewal; its result is handed back with the same number.
    pub number: RenewalNumber,
    /// The addressed incarnation.
    pub incarnation: model::WorkerIncarnation,
    /// Address of the worker.
    pub address: sync::Arc<str>,
    /// New end of the lease on the worker's clock, in milliseconds; `None` leaves it unchanged.
    pub lease_end_ms: Option<i64>,
    /// Term of the leader.
    pub term: model::Term,
    /// Sequence number up to which the worker may forget ends.
    pub forget_up_to: u64,
    /// How long the worker may delay the answer until a run ends.
    pub wait: time::Duration,
}

/// Result of a start order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartOutcome {
    /// The worker has the run; with the start of the incarnation that has executed the order, as shown on
    /// the connection on which the order was answered, and `None` if that is not known.
    ///
    /// A connection ends with the process that has accepted it, so that an answer is of the incarnation that
    /// was shown there. Orders and clocks tell no two incarnations of a worker apart.
    Started(Option<model::BornMs>),
    /// This copy of the order has not been executed and never will be.
    Rejected(StartRejection),
    /// No usable answer: the order may have been executed, or may still be.
    NoAnswer,
}

/// Why a worker rejected a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartRejection {
    /// It has seen a higher term.
    Fenced,
    /// It has stopped or ended this run or a later one.
    Outdated,
    /// The lease would have ended already.
    Late,
    /// It has too little free capacity.
    NoRoom,
    /// The ticket is not valid.
    Ticket,
    /// It is not healthy.
    Unhealthy,
    /// It is another incarnation of the worker.
    OtherLife,
    /// The connection failed, so that nothing was sent.
    Unreachable,
    /// It could not interpret the order.
    Malformed,
}

/// Result of a stop order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopOutcome {
    /// The run is being stopped, or will never start.
    Accepted,
    /// The worker has seen a higher term.
    Fenced,
    /// It is another incarnation of the worker.
    OtherIncarnation,
    /// No usable answer.
    NoAnswer,
}

/// Result of a throttle order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ThrottleOutcome {
    /// The share is in force.
    Accepted,
    /// The worker has seen a higher term.
    Fenced,
    /// No usable answer, or the worker does not have the run.
    Failed,
}

/// Result of a lease renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RenewalOutcome {
    /// The worker's listing of runs.
    Listing(Listing),
    /// The worker has seen a higher term.
    Fenced,
    /// It is another incarnation of the worker.
    OtherIncarnation,
    /// No answer.
    NoAnswer,
    /// The call was lost before or after the worker, which says nothing about the worker.
    Lost,
}

/// Runs that a worker lists as running or ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Start of the worker's incarnation, if reported.
    pub born_ms: Option<model::BornMs>,
    /// The worker's monotonic clock, in milliseconds.
    pub clock_ms: i64,
    /// How long ago the listing was received by the instance that made the call.
    pub age: time::Duration,
    /// Runs in progress.
    pub running: Vec<RunningRow>,
    /// Ended runs, oldest first, without those that the worker was allowed to forget.
    pub ended: Vec<EndedRow>,
}

/// A run that a worker lists as running.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningRow {
    /// The run.
    pub run: model::RunKey,
    /// Latest checkpoint.
    pub checkpoint: Option<sync::Arc<str>>,
    /// Progress, in percent.
    pub percent: u32,
    /// For a task with a tail-latency target, its tail latency in milliseconds; else the processors
    /// in use, in thousandths of a core. Measured over the last half second.
    pub usage: Option<u32>,
}

/// A run that a worker lists as ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRow {
    /// Sequence number of the end within the worker's incarnation, from 1.
    pub sequence: u64,
    /// The run.
    pub run: model::RunKey,
    /// How it ended.
    pub end: RunEnd,
    /// Last checkpoint.
    pub checkpoint: Option<sync::Arc<str>>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RunEnd {
    /// It has succeeded.
    Done,
    /// It failed through its own fault or the worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another member of the gang ended.
    GangBroken,
    /// The other members of the gang did not start in time.
    GangIncomplete,
}

impl RunEnd {
    /// Returns whether other members of a gang may wait on for a member that has ended so: workers
    /// end all members only when one of a complete gang ends.
    pub(crate) fn leaves_gang_incomplete(self) -> bool {
        matches!(self, Self::Stopped | Self::Lapsed | Self::GangIncomplete)
    }

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
