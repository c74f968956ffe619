//! Input events of the owner.

use std::time;

use model::Attempt;
use model::CustomerId;
use model::FenceAck;
use model::Generation;
use model::InstanceId;
use model::NotRunReason;
use model::Partition;
use model::PartitionTable;
use model::Revision;
use model::RunReport;
use model::Task;
use model::TaskId;
use model::Tenure;
use model::WorkerId;

use crate::BatchId;
use crate::JournalEntry;
use crate::RequestId;

/// A live instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The instance.
    pub instance_id: InstanceId,
    /// Its region, data centre and rack.
    pub location: model::Location,
    /// Whether it is draining and accepts no new partitions.
    pub draining: bool,
}

/// Result of a write to the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// It took effect.
    Written,
    /// The expected revision did not match; nothing was written.
    Conflict,
    /// The reply was lost; the write may have taken effect.
    Unknown,
    /// It did not take effect.
    Unavailable,
}

/// An input of the [`Owner`](crate::Owner).
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller, or a peer on behalf of one, submits a task.
    Submit {
        /// Identifies the answer.
        request_id: RequestId,
        /// The task.
        task: Task,
        /// Latest start.
        deadline: time::Instant,
        /// Whether an earlier copy of the submission may have reached an owner.
        resent: bool,
    },
    /// A caller asks for a task's status.
    Lookup {
        /// Identifies the answer.
        request_id: RequestId,
        /// Customer that asks.
        customer_id: CustomerId,
        /// The task.
        task_id: TaskId,
        /// Latest time of the answer; until then it waits for the outcome.
        until: time::Instant,
    },
    /// A caller cancels a task.
    Cancel {
        /// Identifies the answer.
        request_id: RequestId,
        /// Customer that asks.
        customer_id: CustomerId,
        /// The task.
        task_id: TaskId,
    },
    /// The caller is gone; the request gets no answer.
    Abandon {
        /// The request.
        request_id: RequestId,
    },
    /// The queue chose a holder for members of a task; the offer is about to be sent.
    ///
    /// A gang that spans several holders gets one event for each of them, after all its members are
    /// reserved and before the first commit is sent.
    Dispatched {
        /// The task.
        task_id: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// Members offered to `holder`.
        members: Vec<u16>,
        /// Lease holder that gets the offer.
        holder: InstanceId,
    },
    /// The lease holder started the members on workers.
    OfferAccepted {
        /// The task.
        task_id: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// Members that were started, in the order of `workers`.
        members: Vec<u16>,
        /// The holder.
        holder: InstanceId,
        /// Worker of each member.
        workers: Vec<WorkerId>,
    },
    /// The lease holder refused the offer; nothing was started and nothing will be.
    ///
    /// A task of one member goes back to the queue with the same attempt: the caller of
    /// `Owner::handle_event` queues it first and then passes this event, whose actions may remove
    /// it again. A gang is queued again by an `Enqueue` action, with the next attempt.
    OfferRefused {
        /// The task.
        task_id: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// Members refused.
        members: Vec<u16>,
        /// The holder.
        holder: InstanceId,
    },
    /// The reply to an offer was lost.
    OfferReplyLost {
        /// The task.
        task_id: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// Members offered.
        members: Vec<u16>,
        /// The holder.
        holder: InstanceId,
    },
    /// A lease holder reports the states of runs.
    ///
    /// A report of a run that the owner may not know carries the task. A holder that loses the
    /// lease of a worker reports the runs on it as lost after lease TTL, grace and margin without
    /// contact, unless another holder has adopted them.
    Reports(Vec<RunReport>),
    /// A lease holder answered a `Withdraw`.
    Withdrawn(RunReport),
    /// A `Withdraw` could not be sent, or its answer was lost.
    WithdrawFailed {
        /// The run.
        run: model::TaskAttempt,
        /// The holder.
        holder: InstanceId,
    },
    /// A task's deadline passed while it was queued; it has been removed from the queue.
    QueueExpired {
        /// The task.
        task_id: TaskId,
    },
    /// The queue refused an `Enqueue`, or dropped the task later; it is not in the queue.
    QueueRefused {
        /// The task.
        task_id: TaskId,
        /// Why.
        reason: NotRunReason,
        /// Delay after which the caller may retry; `None` settles the task.
        retry_after: Option<time::Duration>,
    },
    /// The partition table was read.
    TableRead {
        /// The table; empty if the store has none.
        table: PartitionTable,
        /// Its revision; 0 if the store has none.
        revision: Revision,
    },
    /// Another instance sent its view of the partition table.
    PeerTableReceived {
        /// The table as the store had it at `revision`.
        table: PartitionTable,
        /// Its revision; 0 if the other instance has not read it.
        revision: Revision,
        /// Tenures that are newer than the store's at that revision.
        newer: Vec<(Partition, Tenure)>,
    },
    /// The partition table could not be read.
    TableReadFailed,
    /// A `WriteTable` ended.
    TableWritten {
        /// Its result.
        result: WriteResult,
        /// Revision after the write; valid only for [`WriteResult::Written`].
        revision: Revision,
    },
    /// The set of live instances changed or was refreshed.
    Members {
        /// Instances that were heard from within `dead_after`, including this one.
        live: Vec<Member>,
        /// Instances that are listed but were not heard from within `dead_after`.
        unreachable: Vec<InstanceId>,
    },
    /// A lease holder, possibly this instance, now refuses older generations.
    FenceAcked {
        /// The holder.
        from: InstanceId,
        /// Partitions of the acknowledged `Fence`.
        partitions: Vec<(Partition, Generation)>,
        /// Runs, workers and grants that it holds for them.
        ack: FenceAck,
    },
    /// A `Fence` was not answered.
    FenceFailed {
        /// The holder.
        from: InstanceId,
    },
    /// Another instance fenced partitions that it owns at these generations.
    Fenced {
        /// The new owner.
        owner: InstanceId,
        /// Partitions with their generations.
        partitions: Vec<(Partition, Generation)>,
    },
    /// A `WriteJournal` ended.
    JournalWritten {
        /// The batch.
        batch_id: BatchId,
        /// Its result; [`WriteResult::Conflict`] if the table's revision was not the expected one.
        result: WriteResult,
    },
    /// The whole journal of a partition was read.
    JournalRead {
        /// The partition.
        partition: Partition,
        /// All its entries.
        entries: Vec<JournalEntry>,
    },
    /// The journal of a partition could not be read.
    JournalReadFailed {
        /// The partition.
        partition: Partition,
    },
    /// All workers in the platform's list.
    Workers(Vec<WorkerId>),
    /// A peer delegates partitions to this instance.
    Delegated {
        /// The peer.
        from: InstanceId,
        /// Partitions with their new generation.
        partitions: Vec<(Partition, Generation)>,
        /// Latest runs of unsettled tasks that may have started; also reports that describe the
        /// next attempt of queued tasks and the outcomes of settled ones.
        started: Vec<RunReport>,
        /// Tasks that wait to start, with the time until their deadline in milliseconds.
        queued: Vec<(Task, u64)>,
    },
    /// The peer accepted the delegation.
    DelegateAcked {
        /// The peer.
        to: InstanceId,
    },
    /// The peer has not accepted the delegation and never will.
    DelegateRefused {
        /// The peer.
        to: InstanceId,
    },
    /// The peer's answer was lost: it may have accepted the delegation.
    DelegateFailed {
        /// The peer.
        to: InstanceId,
    },
    /// The instance is about to stop: delegate all its partitions.
    Drain,
    /// Time has passed.
    Tick,
}
