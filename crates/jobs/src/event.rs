//! Input events of the scheduler and the actions that it returns.

use std::time;

use crate::job;
use crate::manifest;
use crate::worker_api;

/// Sequence number of a batch within a term.
pub type BatchId = u64;
/// Identifies a call to the recommendation service.
pub type CallId = u64;

/// The time at which an event is handled.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Monotonic time, used for everything that is not specified as wall-clock time.
    pub now: time::Instant,
    /// Wall-clock time, in milliseconds since 1970.
    pub wall_ms: u64,
}

impl Clock {
    /// Returns how long ago `at` was, in milliseconds, for logs.
    pub(crate) fn ms_since(self, at: time::Instant) -> u64 {
        self.now.saturating_duration_since(at).as_millis() as u64
    }
}

/// An input of the scheduler.
#[derive(Debug)]
pub enum Event {
    /// A request of a caller.
    Request {
        /// Returned with the reply.
        token: job::RequestToken,
        /// Time since an instance received the request from the caller.
        age: time::Duration,
        /// Newest manifest version that the requesting instance has.
        manifest_version: model::ManifestVersion,
        /// The request.
        request: model::JobRequest,
        /// Tenant whose API key the request has; `None` without a key.
        tenant: Option<model::TenantName>,
        /// Delay before callers should retry, in milliseconds, if the leader takes in no new jobs.
        overload_retry_ms: Option<u64>,
    },
    /// This leader may grant leases until then; each event replaces the one before.
    LeaseAuthority {
        /// End of the authority, unless it is extended.
        until: time::Instant,
    },
    /// No earlier leader has granted a lease after `at`, or will.
    EarlierAuthorityEnded {
        /// The latest time at which one may have.
        at: time::Instant,
    },
    /// A manifest to put in force.
    Manifest(manifest::Manifest),
    /// The directory has been read.
    Directory {
        /// All workers that it lists.
        reports: Vec<worker_api::WorkerReport>,
        /// When the read began: the reports are at least as recent.
        read_at: time::Instant,
    },
    /// The instances through which the recommendation service can be called.
    AdviceInstances(Vec<model::InstanceId>),
    /// A start order was answered or timed out.
    Start {
        /// The worker.
        incarnation: model::WorkerIncarnation,
        /// The run.
        run: model::RunKey,
        /// The result.
        outcome: worker_api::StartOutcome,
    },
    /// A stop order was answered or timed out.
    Stop {
        /// The worker.
        incarnation: model::WorkerIncarnation,
        /// The run.
        run: model::RunKey,
        /// The result.
        outcome: worker_api::StopOutcome,
    },
    /// A throttle order was answered or timed out.
    Throttle {
        /// The worker.
        incarnation: model::WorkerIncarnation,
        /// The run.
        run: model::RunKey,
        /// Requested share of idle processors, in percent.
        percent: u32,
        /// The result.
        outcome: worker_api::ThrottleOutcome,
    },
    /// A lease renewal was answered or timed out.
    Renewal {
        /// The worker.
        incarnation: model::WorkerIncarnation,
        /// The renewal.
        number: worker_api::RenewalNumber,
        /// The result.
        outcome: worker_api::RenewalOutcome,
    },
    /// A call to the recommendation service was answered or failed.
    Advice {
        /// The call.
        call: CallId,
        /// The result.
        outcome: Result<model::AdviceReply, model::AdviceFailure>,
        /// Time that the call took at the instance that made it; the validity of tickets begins at its
        /// end.
        elapsed: time::Duration,
    },
    /// The store has committed a batch.
    BatchCommitted(BatchId),
    /// An attempt to write a batch has failed or remained unanswered; it is repeated.
    BatchUnconfirmed,
    /// The store has refused every attempt to write a batch: it is not committed and never will be.
    BatchRejected(BatchId),
    /// The store has refused a batch for its content, whatever its own state: it is not committed and never
    /// will be.
    BatchRefused(BatchId),
    /// The store has become unreachable, or reachable again.
    StoreReachable(bool),
    /// Periodic timer.
    Tick,
}

/// An action that the scheduler requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answers a caller.
    Reply(job::RequestToken, model::JobReply),
    /// Sends a start order.
    Start(worker_api::StartOrder),
    /// Sends a stop order.
    Stop(worker_api::StopOrder),
    /// Sets the share of idle processors of a best-effort run.
    Throttle(worker_api::ThrottleOrder),
    /// Renews a worker's lease and fetches its listing of runs.
    Renew(worker_api::RenewalOrder),
    /// Calls the recommendation service.
    Advise(AdviceCall),
    /// Writes to the store; several batches may be in flight and may complete in any order.
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
    /// The request.
    pub request: model::AdviceRequest,
}

/// Changes that the store applies in one transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The batch.
    pub id: BatchId,
    /// Key of the segment; no earlier batch has written it.
    pub segment_key: String,
    /// Number of jobs with a record in the segment.
    pub record_count: usize,
    /// The segment.
    pub segment: Vec<u8>,
    /// Archived outcomes, with their key.
    pub outcomes: Option<(String, Vec<u8>)>,
    /// Cancels of unknown jobs, with their key; they replace those stored before.
    pub cancels: Option<(String, Vec<u8>)>,
    /// Keys to delete.
    pub deletes: Vec<String>,
}
