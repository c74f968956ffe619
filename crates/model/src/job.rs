//! Jobs: steps of many tasks, which are placed on workers individually or as gangs.

use std::sync;

use serde::Deserialize;
use serde::Serialize;

use crate::capacity;
use crate::ids;

/// Identifies a job; chosen by the caller.
pub type JobId = u64;
/// Names a queue.
pub type QueueName = sync::Arc<str>;
/// Names a pool of workers.
pub type PoolName = sync::Arc<str>;
/// Names a tenant.
pub type TenantName = sync::Arc<str>;
/// Numbers the starts of a task, from 1.
pub type RunNumber = u32;
/// Version of the manifest; never decreases.
pub type ManifestVersion = u64;

/// Wall-clock time at which an incarnation of a worker has started, in milliseconds since 1970.
pub type BornMs = u64;
/// Numbers the terms of leaders and fences orders of earlier leaders; the revision of the store
/// entry by which the leader was elected.
pub type Term = ids::Revision;

/// Tasks of one kind within a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks, at least 1.
    pub task_count: u32,
    /// Resources of a worker that each task uses.
    pub demand: capacity::Demand,
    /// The caller's estimate of a task's run time, in milliseconds; 0 if not given.
    pub estimated_ms: u32,
    /// Indices of the earlier steps whose tasks must all be done first.
    pub after: Vec<u16>,
    /// Whether the tasks save their progress.
    pub checkpointing: bool,
    /// Whether all tasks must run at the same time.
    pub gang: bool,
    /// Whether a gang runs slower when it spans racks.
    pub same_rack: bool,
    /// Label that a worker must have.
    pub required_label: Option<sync::Arc<str>>,
    /// Rack near the data; tasks run slower in other racks.
    pub data_rack: Option<ids::Rack>,
    /// Maximum number of tasks of this step on one worker.
    pub max_per_worker: Option<u32>,
    /// Whether several copies of a task may run at once.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks execute; tasks with the same image behave alike.
    pub image: Option<sync::Arc<str>>,
    /// Upper bound on the tail latency for the users of the tasks, in milliseconds.
    pub target_tail_ms: Option<u32>,
    /// Whether the tasks use only processors that other tasks leave idle.
    pub fills_idle: bool,
    /// Number of tasks that the scheduler may make unavailable at the same time.
    pub max_unavailable: u32,
}

/// Times at which the steps of a job are repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Wall-clock time of the first occurrence, in milliseconds since 1970.
    pub first_at_ms: u64,
    /// Time between occurrences, in milliseconds.
    pub period_ms: u64,
    /// Number of occurrences, at least 1.
    pub occurrence_count: u32,
}

/// Work that a caller submits to a queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The id that the caller chose.
    pub id: JobId,
    /// Queue that the caller addressed.
    pub queue: QueueName,
    /// Opaque text that is passed to workers with each task.
    pub spec: sync::Arc<str>,
    /// The steps; `Step::after` refers to earlier ones only.
    pub steps: Vec<Step>,
    /// When to run; once and immediately if absent.
    pub schedule: Option<Schedule>,
}

impl Job {
    /// Returns the memory that the job takes, in bytes; texts that jobs share count as their own.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let steps: usize = self.steps.iter().map(Step::memory_bytes).sum();
        size_of::<Self>() + self.spec.len() + steps
    }
}

impl Step {
    fn memory_bytes(&self) -> usize {
        let text = |text: &Option<sync::Arc<str>>| text.as_ref().map_or(0, |text| text.len());
        size_of::<Self>()
            + size_of_val(self.after.as_slice())
            + text(&self.required_label)
            + text(&self.image)
            + self.data_rack.as_ref().map_or(0, |rack| rack.len())
    }
}

/// Status of a job, as reported to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// No task has started.
    Pending,
    /// A task has started.
    Running,
    /// Every task is done.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

impl JobStatus {
    /// Returns whether the job has ended.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Names a task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskKey {
    /// The job.
    pub job_id: JobId,
    /// The occurrence; 0 without a schedule.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u16,
    /// Index of the task within its step.
    pub index: u32,
}

/// Names a step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StepKey {
    /// The job.
    pub job_id: JobId,
    /// The occurrence; 0 without a schedule.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u16,
}

impl TaskKey {
    /// Returns the step that the task belongs to.
    #[must_use]
    pub fn step_key(&self) -> StepKey {
        StepKey {
            job_id: self.job_id,
            occurrence: self.occurrence,
            step: self.step,
        }
    }
}

/// Names one start of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunKey {
    /// The task.
    pub task: TaskKey,
    /// Number of the start.
    pub run: RunNumber,
}

/// Identifies one run of a worker process.
///
/// A worker may restart under the same id; it then has no state from before the restart.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WorkerIncarnation {
    /// The worker.
    pub worker_id: ids::WorkerId,
    /// Its start.
    pub born_ms: BornMs,
}

/// Permission to run a step on a worker, given by a recommendation service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// The worker.
    pub worker_id: ids::WorkerId,
    /// Token that a start request must contain.
    pub token: String,
}

/// Why a request of a caller was refused; it has not taken effect and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RefusalReason {
    /// No queue has this name.
    UnknownQueue,
    /// The request is invalid.
    Malformed,
    /// The id belongs to another job.
    IdInUse,
    /// No manifest has been read yet.
    NoManifest,
    /// No instance is the leader at the moment.
    NoLeader,
    /// The store cannot be written at the moment.
    StoreUnavailable,
    /// More work is queued than can start in time.
    Overloaded,
    /// The instance is stopping.
    Draining,
    /// The request has no API key, or an unknown one.
    Unauthorized,
    /// The manifest has not been confirmed for too long to rely on its API keys.
    ManifestUnconfirmed,
    /// The job needs more than its tenant may ever have running.
    ExceedsTenantCap,
    /// The tenant submits more jobs than it is owed, and the workers are busy.
    TenantRate,
    /// The request may have waited while the instance stood still, and its caller may have given up.
    AgeUnknown,
    /// A cancel of the job was acknowledged shortly before, when the job was not known.
    Cancelled,
    /// The store takes no record of this size.
    TooLarge,
}

impl RefusalReason {
    /// Every reason, in declaration order.
    pub const ALL: &'static [Self] = &[
        Self::UnknownQueue,
        Self::Malformed,
        Self::IdInUse,
        Self::NoManifest,
        Self::NoLeader,
        Self::StoreUnavailable,
        Self::Overloaded,
        Self::Draining,
        Self::Unauthorized,
        Self::ManifestUnconfirmed,
        Self::ExceedsTenantCap,
        Self::TenantRate,
        Self::AgeUnknown,
        Self::Cancelled,
        Self::TooLarge,
    ];

    /// Returns the name used in answers, logs and counters.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownQueue => "unknown_queue",
            Self::Malformed => "malformed",
            Self::IdInUse => "id_in_use",
            Self::NoManifest => "no_manifest",
            Self::NoLeader => "no_leader",
            Self::StoreUnavailable => "store_unavailable",
            Self::Overloaded => "overloaded",
            Self::Draining => "draining",
            Self::Unauthorized => "unauthorized",
            Self::ManifestUnconfirmed => "manifest_unconfirmed",
            Self::ExceedsTenantCap => "exceeds_tenant_cap",
            Self::TenantRate => "tenant_rate",
            Self::AgeUnknown => "age_unknown",
            Self::Cancelled => "cancelled",
            Self::TooLarge => "too_large",
        }
    }
}

/// A request of a caller about jobs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobRequest {
    /// Submits a job; answered by [`JobReply::Accepted`].
    Submit(Box<Job>),
    /// Asks for a job's status; answered by [`JobReply::Status`].
    Status {
        /// The job.
        job_id: JobId,
    },
    /// Cancels a job; answered by [`JobReply::Status`].
    Cancel {
        /// The job.
        job_id: JobId,
    },
    /// Asks how many jobs of a queue are pending; answered by [`JobReply::Pending`].
    Pending {
        /// The queue.
        queue: QueueName,
    },
}

/// Answer to a [`JobRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobReply {
    /// The job is stored and will be run.
    Accepted,
    /// Status of the job.
    Status(JobStatus),
    /// No such job exists.
    Unknown,
    /// Number of accepted jobs that have no started task.
    Pending(u64),
    /// The request was refused: it has not taken effect and never will.
    Refused {
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Delay before a retry, in milliseconds; 0 if a retry is pointless.
        retry_after_ms: u64,
    },
    /// The instance is not the leader, has an older manifest than the sender, or has got the request
    /// too late; the request has had no effect and has to be sent again.
    NotLeading,
    /// The outcome of the request is not known: it may have taken effect.
    Undecided,
}

/// A request from one controller instance to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControllerRequest {
    /// Exchanges state as a heartbeat; answered by [`ControllerReply::Heartbeat`].
    #[serde(rename = "Pulse")]
    Heartbeat(ControllerHeartbeat),
    /// Passes a request of a caller to the leader; answered by [`ControllerReply::Job`].
    Job {
        /// Version of the newest manifest that the sender has.
        manifest_version: ManifestVersion,
        /// Time until the caller gives up, in milliseconds.
        remaining_ms: u64,
        /// The request.
        request: JobRequest,
    },
    /// Asks for the newest manifest; answered by [`ControllerReply::Manifest`].
    Manifest,
    /// Passes a request of a tenant to the leader; answered by [`ControllerReply::Job`].
    ///
    /// A leader of a build without tenants refuses it as malformed and does not handle it.
    TenantJob {
        /// The tenant.
        tenant: TenantName,
        /// Version of the newest manifest that the sender has.
        manifest_version: ManifestVersion,
        /// Time until the caller gives up, in milliseconds.
        remaining_ms: u64,
        /// The request.
        request: JobRequest,
    },
    /// Asks how current the manifest is; answered by [`ControllerReply::ManifestState`].
    ///
    /// Sent only if the manifest has tenants. An instance of a build without tenants refuses it as
    /// malformed.
    ManifestState,
    /// Asks for the reading of the clock by which [`ControllerRequest::TimedJob`] limits its time;
    /// answered by [`ControllerReply::Clock`].
    ///
    /// An instance of an earlier build refuses it as malformed, and gets requests of callers without a
    /// time limit.
    Clock,
    /// Passes a request of a caller that changes jobs to the leader; answered by
    /// [`ControllerReply::Job`].
    TimedJob {
        /// Term in which the receiver leads.
        term: Term,
        /// Reading of the receiver's clock when the sender received the request from the caller, or
        /// shortly before, in milliseconds.
        received_ms: u64,
        /// Reading of the receiver's clock from which the request must not be handled any more, in
        /// milliseconds.
        handle_by_ms: u64,
        /// The tenant; `None` without one.
        tenant: Option<TenantName>,
        /// Version of the newest manifest that the sender has.
        manifest_version: ManifestVersion,
        /// The request.
        request: JobRequest,
    },
}

/// Answer to a [`ControllerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControllerReply {
    /// State of the answering instance.
    #[serde(rename = "Pulse")]
    Heartbeat(ControllerHeartbeat),
    /// Answer to a request of a caller.
    Job(JobReply),
    /// The newest manifest, as stored; `None` before the first.
    Manifest(Option<Vec<u8>>),
    /// How current the manifest is.
    ManifestState {
        /// Version of the manifest in force; 0 before the first.
        version: ManifestVersion,
        /// Time since it was the newest for certain, in milliseconds; `None` if it never was.
        confirmed_age_ms: Option<u64>,
    },
    /// Reading of the clock of the answering instance.
    Clock {
        /// Time since its process started, in milliseconds.
        reading_ms: u64,
    },
}

/// State that instances exchange at a fixed interval.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControllerHeartbeat {
    /// The sender.
    pub instance_id: ids::InstanceId,
    /// `address:port` of the sender's peer listener.
    pub address: String,
    /// Instance that the sender regards as the leader and has recently received a message from.
    pub leader: Option<ids::InstanceId>,
    /// `address:port` of that leader's peer listener; empty without a leader.
    pub leader_address: String,
    /// Newest term that the sender knows.
    pub term: Term,
    /// Version of the newest manifest that the sender has.
    pub manifest_version: ManifestVersion,
    /// Whether the sender is stopping.
    pub draining: bool,
    /// Whether the store answers the sender; for a leader, whether the store accepts its batches.
    pub store_reachable: bool,
}

/// Asks which workers may run a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceRequest {
    /// The step.
    pub step: StepKey,
    /// Workers to ask about.
    pub worker_ids: Vec<ids::WorkerId>,
    /// How long the call may take, in milliseconds.
    pub timeout_ms: u64,
}

/// What the recommendation service allows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceReply {
    /// A ticket for each worker that may run the step.
    pub tickets: Vec<Ticket>,
    /// How long the tickets are valid, in milliseconds; `None` if the service did not say.
    pub validity_ms: Option<u64>,
}

/// Why there is no advice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdviceFailure {
    /// Too many calls are waiting for the service.
    Busy,
    /// The service, or the instance asked to call it, did not answer in time.
    NoAnswer,
    /// The service refused the call, or its answer was invalid.
    Protocol,
}
