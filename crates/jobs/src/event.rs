//! What the scheduler is told, and what it wants done.

use std::time;

use crate::job;
use crate::manifest;
use crate::worker_api;

/// Numbers the batches of a term.
pub type BatchId = u64;
/// Numbers the calls to the recommendation service.
pub type CallId = u64;

/// The time at which an event is handled.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Steady time; decides all that is not given as a time of day.
    pub now: time::Instant,
    /// Time of day, in milliseconds since 1970.
    pub wall_ms: u64,
}

/// Something that happened.
#[derive(Debug)]
pub enum Event {
    /// A caller asks for something.
    Request {
        /// Given back with the answer.
        token: job::Token,
        /// Newest manifest that the asking instance has.
        manifest_version: model::ManifestVersion,
        /// What is asked.
        request: model::JobRequest,
    },
    /// The operators have changed what they allow.
    Manifest(manifest::Manifest),
    /// All that the directory lists at the moment.
    Directory(Vec<worker_api::WorkerReport>),
    /// The instances through which the recommendation service can be asked.
    Advisors(Vec<model::InstanceId>),
    /// A start order has ended.
    Start {
        /// The worker.
        life: model::WorkerLife,
        /// The run.
        run: model::RunKey,
        /// How.
        outcome: worker_api::StartOutcome,
    },
    /// A stop order has ended.
    Stop {
        /// The worker.
        life: model::WorkerLife,
        /// The run.
        run: model::RunKey,
        /// How.
        outcome: worker_api::StopOutcome,
    },
    /// A pace order has ended.
    Pace {
        /// The worker.
        life: model::WorkerLife,
        /// The run.
        run: model::RunKey,
        /// The share that was ordered, in percent.
        percent: u32,
        /// How.
        outcome: worker_api::PaceOutcome,
    },
    /// A call to hold a worker has ended.
    Hold {
        /// The worker.
        life: model::WorkerLife,
        /// How.
        outcome: worker_api::HoldOutcome,
    },
    /// A call to the recommendation service has ended.
    Advice {
        /// The call.
        call: CallId,
        /// How.
        outcome: Result<model::AdviceReply, model::AdviceFailure>,
    },
    /// A batch has taken effect.
    Committed(BatchId),
    /// The store has refused a batch each time: it has not taken effect and never will.
    Rejected(BatchId),
    /// The store has become unreachable, or reachable again.
    StoreReachable(bool),
    /// Time has passed.
    Tick,
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answers a caller.
    Reply(job::Token, model::JobReply),
    /// Sends a start order.
    Start(worker_api::StartOrder),
    /// Sends a stop order.
    Stop(worker_api::StopOrder),
    /// Sets the share of a filling run.
    Pace(worker_api::PaceOrder),
    /// Renews a worker's lease and asks what it runs.
    Hold(worker_api::HoldOrder),
    /// Asks the recommendation service.
    Advise(AdviceCall),
    /// Writes to the store; several batches may be under way, in any order.
    Commit(Batch),
    /// Gives up the leadership: a worker has seen a later leader.
    StepDown,
}

/// A call to the recommendation service through an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceCall {
    /// The call.
    pub call: CallId,
    /// The instance that makes it.
    pub instance_id: model::InstanceId,
    /// What to ask.
    pub request: model::AdviceRequest,
}

/// Changes that the store makes together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The batch.
    pub id: BatchId,
    /// Key of the segment; no earlier batch has written it.
    pub segment_key: String,
    /// The segment.
    pub segment: Vec<u8>,
    /// Gathered outcomes, with their key.
    pub outcomes: Option<(String, Vec<u8>)>,
    /// Keys to delete.
    pub deletes: Vec<String>,
}
