//! What an owner is told.

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
use crate::Ticket;

/// An instance that was heard of lately.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The instance.
    pub instance_id: InstanceId,
    /// Where it stands.
    pub location: model::Location,
    /// Whether it is stopping and takes no new partitions.
    pub draining: bool,
}

/// Result of a write to the platform's service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// It took effect.
    Written,
    /// The expected revision was not the current one; nothing was written.
    Conflict,
    /// It may have taken effect; the reply was lost.
    Unknown,
    /// It did not take effect.
    Unavailable,
}

/// What an [`Owner`](crate::Owner) is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller, or a peer on behalf of one, submits a task.
    Submit {
        /// Waits for the answer.
        ticket: Ticket,
        /// The task.
        task: Task,
        /// Latest start.
        deadline: time::Instant,
        /// Whether an earlier copy of the submission may have reached an owner.
        resent: bool,
    },
    /// A caller asks for a task's status.
    Lookup {
        /// Waits for the answer.
        ticket: Ticket,
        /// Customer that asks.
        customer_id: CustomerId,
        /// The task.
        task_id: TaskId,
        /// How long the answer may wait for the outcome.
        until: time::Instant,
    },
    /// A caller cancels a task.
    Cancel {
        /// Waits for the answer.
        ticket: Ticket,
        /// Customer that asks.
        customer_id: CustomerId,
        /// The task.
        task_id: TaskId,
    },
    /// Nobody waits for the ticket any more; it gets no answer.
    Abandon {
        /// The ticket.
        ticket: Ticket,
    },
    /// The queue chose a holder for members of a task; the offer is about to be sent.
    ///
    /// A gang that spans holders is told once for each, after all its members are reserved and
    /// before the first commit is sent.
    Dispatched {
        /// The task.
        task_id: TaskId,
        /// The execution.
        attempt: Attempt,
        /// Members offered to `holder`.
        members: Vec<u16>,
        /// Gets the offer.
        holder: InstanceId,
    },
    /// The holder handed the members to workers.
    OfferTaken {
        /// The task.
        task_id: TaskId,
        /// The execution.
        attempt: Attempt,
        /// Members taken, in the order of `workers`.
        members: Vec<u16>,
        /// The holder.
        holder: InstanceId,
        /// Worker of each member.
        workers: Vec<WorkerId>,
    },
    /// The holder refused; nothing was started and nothing will be.
    ///
    /// A task of one member goes back to the queue with the same attempt: the caller of `on` puts
    /// it there first and then passes this event on, whose actions may remove it again. A gang is
    /// queued again by an `Enqueue` action, with the next attempt.
    OfferRefused {
        /// The task.
        task_id: TaskId,
        /// The execution.
        attempt: Attempt,
        /// Members refused.
        members: Vec<u16>,
        /// The holder.
        holder: InstanceId,
    },
    /// The reply to an offer was lost.
    OfferLost {
        /// The task.
        task_id: TaskId,
        /// The execution.
        attempt: Attempt,
        /// Members offered.
        members: Vec<u16>,
        /// The holder.
        holder: InstanceId,
    },
    /// A holder reports on runs.
    ///
    /// A report of a run that may be unknown here carries the task. A holder that loses the lease
    /// of a worker reports the runs there as lost once lease, grace and margin have passed
    /// without contact, unless another holder has adopted them.
    Reports(Vec<RunReport>),
    /// A holder answered a `Withdraw`.
    Withdrawn(RunReport),
    /// A holder could not be asked to withdraw a run, or its answer was lost.
    WithdrawFailed {
        /// The run.
        run: model::TaskAttempt,
        /// The holder.
        holder: InstanceId,
    },
    /// A task's deadline passed in the queue; it has been removed from there.
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
        /// When the caller may try again; `None` settles the task for good.
        retry_after: Option<time::Duration>,
    },
    /// The partition table was read.
    TableRead {
        /// The table; empty if the store has none.
        table: PartitionTable,
        /// Its revision; 0 if the store has none.
        revision: Revision,
    },
    /// Another instance has told what it knows of the table.
    TableHeard {
        /// The table as the store had it at `revision`.
        table: PartitionTable,
        /// Its revision; 0 if the other instance has not read it.
        revision: Revision,
        /// Tenures that the store does not have at that revision.
        newer: Vec<(Partition, Tenure)>,
    },
    /// The partition table could not be read.
    TableReadFailed,
    /// A `WriteTable` ended.
    TableWritten {
        /// How.
        result: WriteResult,
        /// Revision after the write; only of [`WriteResult::Written`].
        revision: Revision,
    },
    /// The instances heard of within `dead_after`, with this one.
    Members {
        /// All that are live.
        live: Vec<Member>,
        /// Instances that are listed but were not heard of within `dead_after`.
        unreachable: Vec<InstanceId>,
    },
    /// A peer, or this instance as a holder, refuses older generations from now on.
    FenceAcked {
        /// The holder.
        from: InstanceId,
        /// Partitions of the `Fence` that is answered.
        partitions: Vec<(Partition, Generation)>,
        /// What it knows of them.
        ack: FenceAck,
    },
    /// A `Fence` was not answered.
    FenceFailed {
        /// The holder.
        from: InstanceId,
    },
    /// Another instance fences partitions: it owns them at these generations.
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
        /// How; [`WriteResult::Conflict`] if the table's revision was not the expected one.
        result: WriteResult,
    },
    /// The journal of a partition was read whole.
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
    /// The workers in the platform's list, all of them.
    Workers(Vec<WorkerId>),
    /// A stopping peer hands its partitions over.
    Delegated {
        /// The peer.
        from: InstanceId,
        /// Partitions with their new generation.
        partitions: Vec<(Partition, Generation)>,
        /// Tasks that may have started and are not settled.
        started: Vec<RunReport>,
        /// Tasks that wait to start, with the time until their deadline in milliseconds.
        queued: Vec<(Task, u64)>,
    },
    /// The peer took over what was delegated.
    DelegateAcked {
        /// The peer.
        to: InstanceId,
    },
    /// The peer has not taken what was delegated and never will.
    DelegateRefused {
        /// The peer.
        to: InstanceId,
    },
    /// The answer of the peer was lost: it may have taken what was delegated.
    DelegateFailed {
        /// The peer.
        to: InstanceId,
    },
    /// The instance is about to stop: give the partitions away.
    Drain,
    /// Time has passed.
    Tick,
}
