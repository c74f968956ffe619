//! Messages between instances, bincode over h2 streams: one stream for each request and its reply.

use std::sync;

use serde::Deserialize;
use serde::Serialize;

use crate::capacity;
use crate::directory;
use crate::ids;
use crate::outcome;
use crate::table;
use crate::task;
use crate::worker;

/// A request from one instance to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Exchanges state; answered by [`PeerResponse::Heartbeat`].
    Heartbeat(Box<Heartbeat>),
    /// Hands a task to the owner of its partition; answered by [`PeerResponse::Submit`] when the
    /// task is settled, or accepted if nobody waits.
    Submit(Submission),
    /// Asks the owner for a task's status; answered by [`PeerResponse::Status`].
    Lookup {
        /// Customer that asks.
        customer_id: ids::CustomerId,
        /// The task.
        task_id: ids::TaskId,
        /// How long the owner may wait for the outcome, in milliseconds.
        wait_ms: u64,
    },
    /// Asks the owner to cancel a task; answered by [`PeerResponse::Status`].
    Cancel {
        /// Customer that asks.
        customer_id: ids::CustomerId,
        /// The task.
        task_id: ids::TaskId,
    },
    /// Offers runs to a lease holder; answered by [`PeerResponse::Offer`].
    Offer(Offer),
    /// Asks a lease holder to stop or forbid a run; answered by [`PeerResponse::Withdrawn`].
    Withdraw {
        /// Which run.
        run: ids::TaskAttempt,
    },
    /// Tells an owner about runs of its tasks; answered by [`PeerResponse::Accepted`].
    Report(Vec<RunReport>),
    /// Closes older generations of partitions and asks for their runs; answered by
    /// [`PeerResponse::Fenced`].
    Fence {
        /// Partitions with the generation that is in charge from now on.
        partitions: Vec<(ids::Partition, ids::Generation)>,
    },
    /// Asks a grantor for shares of plans; answered by [`PeerResponse::Quota`].
    Quota(Vec<QuotaAsk>),
    /// Asks for the operators' lists; answered by [`PeerResponse::Lists`].
    Lists,
    /// Asks for the partition table; answered by [`PeerResponse::Table`].
    Table,
    /// Hands partitions over at a planned stop; answered by [`PeerResponse::Accepted`].
    Delegate {
        /// Partitions with their new generation.
        partitions: Vec<(ids::Partition, ids::Generation)>,
        /// Tasks that have started and are not settled, with their latest run.
        started: Vec<RunReport>,
        /// Tasks that wait to start, with the time until their deadline in milliseconds.
        queued: Vec<(task::Task, u64)>,
    },
}

/// Answer to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// State of the answering instance.
    Heartbeat(Box<Heartbeat>),
    /// Answer to a submission.
    Submit(SubmitReply),
    /// Status of a task.
    Status(TaskStatus),
    /// Answer to an offer.
    Offer(OfferReply),
    /// What became of a run that was to be stopped.
    Withdrawn(RunReport),
    /// Receipt without content.
    Accepted,
    /// Answer to a fence.
    Fenced(FenceAck),
    /// Answers to quota asks, in order.
    Quota(Vec<QuotaReply>),
    /// The lists with their revisions.
    Lists(ListsState),
    /// The partition table with its revision.
    Table {
        /// The table as the platform's service had it at `revision`.
        table: table::PartitionTable,
        /// Its revision in the platform's service; 0 if none was read.
        revision: ids::Revision,
        /// Tenures that the service does not have at that revision.
        newer: Vec<(ids::Partition, table::Tenure)>,
    },
    /// The instance does not own the partition, or does not serve it yet.
    NotOwner,
}

/// State that instances exchange at a fixed interval.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub instance_id: ids::InstanceId,
    /// `address:port` of the sender's peer listener.
    pub address: String,
    /// Where the sender stands.
    pub location: directory::Location,
    /// The sender's monotonic clock, in milliseconds.
    pub clock_ms: u64,
    /// Latest clock heard of the receiver, in milliseconds; 0 before the first.
    pub echo_clock_ms: u64,
    /// Whether the sender is stopping: it takes no new tasks.
    pub draining: bool,
    /// Revision of the customers list in force.
    pub customers_revision: ids::Revision,
    /// Revision of the plans list in force.
    pub plans_revision: ids::Revision,
    /// Revision of the partition table known.
    pub table_revision: ids::Revision,
    /// Partitions that the sender owns but does not serve yet.
    pub pending_partitions: u32,
    /// Free capacity of the workers it holds.
    pub capacity: capacity::CapacitySummary,
    /// Racks in which the sender holds workers.
    pub racks: u32,
}

/// A task on its way to its owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The task.
    pub task: task::Task,
    /// Time until the start deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Whether an earlier copy of this submission may have reached an owner.
    pub resent: bool,
}

/// Answer to a [`Submission`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SubmitReply {
    /// The task is settled.
    Settled(outcome::Outcome),
    /// The task is accepted and nobody waits.
    Accepted,
    /// The key was used before with another request.
    KeyConflict,
    /// Refused for now: the caller may try again after this time, in milliseconds.
    RetryLater {
        /// Why it was not run.
        reason: outcome::NotRunReason,
        /// When to try again, in milliseconds.
        retry_after_ms: u64,
    },
}

/// What an owner knows of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskStatus {
    /// It waits to start.
    Queued,
    /// It was offered to a holder or runs.
    Running,
    /// It is settled.
    Settled(outcome::Outcome),
    /// No task of this customer has the id, or it is no longer kept.
    NotFound,
}

/// Runs offered to a lease holder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// The offering owner.
    pub owner: ids::InstanceId,
    /// Generation of the task's partition.
    pub generation: ids::Generation,
    /// Attempt of every offered member.
    pub attempt: ids::Attempt,
    /// The task.
    pub task: task::Task,
    /// Members to start; the holder takes all or none of them.
    pub members: Vec<u16>,
    /// Latest clock heard of the holder, in milliseconds; an old one makes the holder refuse.
    pub holder_clock_ms: u64,
    /// Resources to set aside for each member.
    pub reserve: capacity::Demand,
    /// Expected run time, in milliseconds.
    pub expected_run_ms: u64,
    /// State saved by an earlier checkpoint.
    pub checkpoint: Option<String>,
    /// Whether members are only reserved until a second offer without this flag commits them.
    pub reserve_only: bool,
}

/// Answer to an [`Offer`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OfferReply {
    /// Every member was handed to a worker.
    Taken {
        /// Worker of each member, in order.
        workers: Vec<ids::WorkerId>,
        /// Capacity left.
        capacity: capacity::CapacitySummary,
    },
    /// Nothing was started and nothing will be.
    Refused {
        /// Capacity left.
        capacity: capacity::CapacitySummary,
    },
    /// The generation is closed, or the clock too old; nothing was started and nothing will be.
    Stale,
}

/// What a lease holder tells an owner about a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunReport {
    /// Which run.
    pub run: ids::TaskAttempt,
    /// The task, if the owner may not know it.
    pub task: Option<task::Task>,
    /// The reporting holder.
    pub holder: ids::InstanceId,
    /// The worker.
    pub worker_id: ids::WorkerId,
    /// What became of it.
    pub state: RunState,
}

/// What became of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RunState {
    /// It runs; the time since its start in milliseconds.
    Running {
        /// Time since the start, in milliseconds.
        running_ms: u64,
    },
    /// It ended; the output was checked against its declared length and digest.
    Finished(worker::FinishedRun),
    /// It never started and never will.
    NeverStarted,
    /// It was stopped in the middle.
    Stopped,
    /// Its worker was lost, or the answer damaged: it may have run and does not run any more.
    Lost,
}

/// Answer to a fence: what the holder knows of the partitions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FenceAck {
    /// Runs of the partitions on held workers, running or finished and still kept.
    pub runs: Vec<RunReport>,
    /// Workers held, all of them.
    pub workers: Vec<ids::WorkerId>,
    /// Workers that named another holder, with that holder.
    pub held_elsewhere: Vec<(ids::WorkerId, ids::InstanceId)>,
    /// Shares of plans that the instance holds from any grantor.
    pub grants: Vec<QuotaAsk>,
}

/// An amount of each resource that a plan limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaAmount {
    /// Processors, memory and accelerators.
    pub resources: capacity::Demand,
    /// Tasks at once.
    pub tasks: u32,
    /// Task starts a second, in thousandths.
    pub rate_milli: u32,
}

/// Asks the grantor of a plan for a share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaAsk {
    /// The plan.
    pub plan_id: ids::PlanId,
    /// The asking instance.
    pub instance_id: ids::InstanceId,
    /// Raised with each ask of this instance for this plan; older ones are ignored.
    pub sequence: u64,
    /// Share that the instance may use now.
    pub held: QuotaAmount,
    /// Share in use by its tasks.
    pub used: QuotaAmount,
    /// Share that it would like.
    pub wanted: QuotaAmount,
}

/// Answer to a [`QuotaAsk`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReply {
    /// The plan.
    pub plan_id: ids::PlanId,
    /// Sequence of the ask.
    pub sequence: u64,
    /// Share that the instance may use from now on; `None` if the asked one is not the grantor.
    pub granted: Option<QuotaAmount>,
}

/// One of the operators' lists as text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListText {
    /// Revision in the platform's service; 0 if there is none.
    pub revision: ids::Revision,
    /// The whole text.
    pub text: sync::Arc<str>,
}

/// Both lists.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListsState {
    /// Customers and their plans.
    pub customers: ListText,
    /// Plans and their limits.
    pub plans: ListText,
}
