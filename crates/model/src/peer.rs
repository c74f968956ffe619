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
    /// Passes a task to the owner of its partition; answered by [`PeerResponse::Submit`] when the
    /// task is settled, or once it is accepted if the caller does not wait.
    Submit(Submission),
    /// Asks the owner for a task's status; answered by [`PeerResponse::Status`].
    Lookup {
        /// Customer that makes the request.
        customer_id: ids::CustomerId,
        /// The task.
        task_id: ids::TaskId,
        /// How long the owner may wait for the outcome, in milliseconds.
        wait_ms: u64,
    },
    /// Asks the owner to cancel a task; answered by [`PeerResponse::Status`].
    Cancel {
        /// Customer that makes the request.
        customer_id: ids::CustomerId,
        /// The task.
        task_id: ids::TaskId,
    },
    /// Offers runs to a lease holder; answered by [`PeerResponse::Offer`].
    Offer(Offer),
    /// Asks a lease holder to stop a run, or to prevent it from starting; answered by
    /// [`PeerResponse::Withdrawn`].
    Withdraw {
        /// The run.
        run: ids::TaskAttempt,
    },
    /// Reports to an owner the state of runs of its tasks; answered by [`PeerResponse::Accepted`].
    Report(Vec<RunReport>),
    /// Fences off older generations of partitions and asks for the runs of these partitions;
    /// answered by [`PeerResponse::Fenced`].
    Fence {
        /// Partitions with the lowest generation that is accepted from now on.
        partitions: Vec<(ids::Partition, ids::Generation)>,
    },
    /// Asks a grantor for shares of plans; answered by [`PeerResponse::Quota`].
    Quota(Vec<QuotaAsk>),
    /// Asks for the operators' lists; answered by [`PeerResponse::Lists`].
    Lists,
    /// Asks for the partition table; answered by [`PeerResponse::Table`].
    Table,
    /// Delegates partitions, in a planned stop or to rebalance; answered by
    /// [`PeerResponse::Accepted`].
    Delegate {
        /// Partitions with their new generation.
        partitions: Vec<(ids::Partition, ids::Generation)>,
        /// Latest runs of unsettled tasks that may have started; also reports that describe the
        /// next attempt of queued tasks and the outcomes of settled ones.
        started: Vec<RunReport>,
        /// Tasks that wait to start, with the time until their start deadline in milliseconds.
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
    /// State of a run that was to be withdrawn.
    Withdrawn(RunReport),
    /// Acknowledgement without content.
    Accepted,
    /// Answer to a fence.
    Fenced(FenceAck),
    /// Answers to quota requests, in order.
    Quota(Vec<QuotaReply>),
    /// The lists with their revisions.
    Lists(ListsState),
    /// The partition table with its revision.
    Table {
        /// The table stored in the platform's store at `revision`.
        table: table::PartitionTable,
        /// Revision in the platform's store; 0 if no table was read.
        revision: ids::Revision,
        /// Tenures that are newer than those in the store at that revision.
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
    /// Location of the sender.
    pub location: directory::Location,
    /// The sender's monotonic clock, in milliseconds.
    pub clock_ms: u64,
    /// Latest clock value received from the receiver, in milliseconds; 0 before the first.
    pub echo_clock_ms: u64,
    /// Whether the sender is stopping and accepts no new tasks.
    pub draining: bool,
    /// Revision of the customers list in force.
    pub customers_revision: ids::Revision,
    /// Revision of the plans list in force.
    pub plans_revision: ids::Revision,
    /// Revision of the partition table that the sender knows.
    pub table_revision: ids::Revision,
    /// Partitions that the sender owns but does not serve yet.
    pub pending_partitions: u32,
    /// Capacity of the workers that the sender holds.
    pub capacity: capacity::CapacitySummary,
    /// Number of racks in which the sender holds workers.
    pub racks: u32,
}

/// A task that is passed to its owner.
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
    /// The task is accepted and the caller does not wait.
    Accepted,
    /// The key was used before with a different request.
    KeyConflict,
    /// Refused for now: the caller may retry after a delay.
    RetryLater {
        /// Why it was not run.
        reason: outcome::NotRunReason,
        /// Delay before a retry, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Status of a task, as its owner knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskStatus {
    /// It is waiting to start.
    Queued,
    /// It was offered to a lease holder, or is running.
    Running,
    /// It is settled.
    Settled(outcome::Outcome),
    /// The customer has no task with this id, or the task is no longer kept.
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
    /// Members to start; the holder accepts all or none of them.
    pub members: Vec<u16>,
    /// Latest clock value received from the holder, in milliseconds; the holder refuses the offer
    /// if the value is too old.
    pub holder_clock_ms: u64,
    /// Resources to reserve for each member.
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
    /// Every member was assigned to a worker.
    Taken {
        /// Worker of each member, in order.
        workers: Vec<ids::WorkerId>,
        /// Remaining capacity.
        capacity: capacity::CapacitySummary,
    },
    /// Nothing was started and nothing will be.
    Refused {
        /// Remaining capacity.
        capacity: capacity::CapacitySummary,
    },
    /// The generation was fenced off, or the clock value is too old; nothing was started and
    /// nothing will be.
    Stale,
}

/// The state of a run, reported by a lease holder to the owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunReport {
    /// The run.
    pub run: ids::TaskAttempt,
    /// The task, if the owner may not know it.
    pub task: Option<task::Task>,
    /// The reporting holder.
    pub holder: ids::InstanceId,
    /// The worker.
    pub worker_id: ids::WorkerId,
    /// State of the run.
    pub state: RunState,
}

/// State of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RunState {
    /// It is running.
    Running {
        /// Time since the start, in milliseconds.
        running_ms: u64,
    },
    /// It ended; the output was checked against its declared length and digest.
    Finished(worker::FinishedRun),
    /// It never started and never will.
    NeverStarted,
    /// It was stopped before its end.
    Stopped,
    /// Its worker was lost, or the result was damaged: it may have run, and no longer runs.
    Lost,
}

/// Answer to a fence request: the runs of the partitions that the holder knows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FenceAck {
    /// Runs of the partitions on held workers: running, or finished with the result still kept.
    pub runs: Vec<RunReport>,
    /// All workers held.
    pub workers: Vec<ids::WorkerId>,
    /// Workers that reported another holder, with that holder.
    pub held_elsewhere: Vec<(ids::WorkerId, ids::InstanceId)>,
    /// Shares of plans that the instance holds from any grantor.
    pub grants: Vec<QuotaAsk>,
}

/// An amount of each resource that a plan limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaAmount {
    /// Processors, memory and accelerators.
    pub resources: capacity::Demand,
    /// Tasks running at the same time.
    pub tasks: u32,
    /// Task starts per second, in thousandths.
    pub rate_milli: u32,
}

/// Requests a share of a plan from its grantor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaAsk {
    /// The plan.
    pub plan_id: ids::PlanId,
    /// The requesting instance.
    pub instance_id: ids::InstanceId,
    /// Increases with each request of this instance for this plan; older requests are ignored.
    pub sequence: u64,
    /// Share that the instance may use now.
    pub held: QuotaAmount,
    /// Share in use by its tasks.
    pub used: QuotaAmount,
    /// Share that it requests.
    pub wanted: QuotaAmount,
}

/// Answer to a [`QuotaAsk`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReply {
    /// The plan.
    pub plan_id: ids::PlanId,
    /// Sequence of the request.
    pub sequence: u64,
    /// Share that the instance may use from now on; `None` if the receiver is not the grantor.
    pub granted: Option<QuotaAmount>,
}

/// One of the operators' lists as text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListText {
    /// Revision in the platform's store; 0 if there is none.
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
