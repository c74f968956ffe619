//! What an owner asks to be done.

use std::time;

use model::Attempt;
use model::Demand;
use model::Generation;
use model::InstanceId;
use model::Outcome;
use model::Partition;
use model::PartitionTable;
use model::Revision;
use model::RunReport;
use model::SubmitReply;
use model::Task;
use model::TaskAttempt;
use model::TaskId;
use model::TaskStatus;
use model::WorkerId;

use crate::BatchId;
use crate::JournalEntry;
use crate::Ticket;

/// The answer to a ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// To a submission.
    Submit(SubmitReply),
    /// To a lookup or a cancellation.
    Status(TaskStatus),
    /// This instance does not own the partition, or no longer: ask its owner, with `resent` set.
    NotOwner,
}

/// A task for the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedTask {
    /// The task.
    pub task: Task,
    /// The execution that is to be started.
    pub attempt: Attempt,
    /// Generation of the partition, quoted in offers.
    pub generation: Generation,
    /// When the task was accepted.
    pub accepted_at: time::Instant,
    /// Latest start.
    pub deadline: time::Instant,
    /// State saved by an earlier execution.
    pub checkpoint: Option<String>,
}

/// What is known of one finished run of a settled task.
#[derive(Clone, Debug, PartialEq)]
pub struct RunFacts {
    /// The run.
    pub run: TaskAttempt,
    /// Its worker.
    pub worker_id: WorkerId,
    /// Run time, in milliseconds.
    pub run_ms: u64,
    /// Largest use that was seen.
    pub peak: Demand,
    /// Whether the work reported success.
    pub succeeded: bool,
    /// Whether the failure is the worker's own.
    pub worker_fault: bool,
}

/// A task that has its final outcome.
#[derive(Clone, Debug, PartialEq)]
pub struct SettledTask {
    /// The task.
    pub task: Task,
    /// Its outcome.
    pub outcome: Outcome,
    /// When it was accepted.
    pub accepted_at: time::Instant,
    /// Its finished runs.
    pub runs: Vec<RunFacts>,
}

/// What an [`Owner`](crate::Owner) asks to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answer a ticket; each ticket gets exactly one answer, unless it was abandoned.
    Answer {
        /// The ticket.
        ticket: Ticket,
        /// The answer.
        answer: Answer,
    },
    /// Put a task in the queue.
    Enqueue(QueuedTask),
    /// Remove a task from the queue.
    Unqueue {
        /// The task.
        task_id: TaskId,
    },
    /// Ask a holder to stop a run or to forbid its start; answer with `Withdrawn`.
    Withdraw {
        /// The holder; possibly this instance.
        holder: InstanceId,
        /// The run.
        run: TaskAttempt,
    },
    /// Read the partition table from the store.
    ReadTable,
    /// Write the partition table by compare-and-swap.
    WriteTable {
        /// The new table.
        table: PartitionTable,
        /// Revision that it was made from; 0 if the store has none.
        expected_revision: Revision,
    },
    /// Make a holder refuse older generations, and ask for its runs.
    Fence {
        /// The holder; possibly this instance.
        to: InstanceId,
        /// Partitions with their generations.
        partitions: Vec<(Partition, Generation)>,
    },
    /// Write to the journal, in one transaction.
    ///
    /// The transaction also keeps the latest batch of this instance: one that is written already
    /// is answered as written and changes nothing, so that a late copy undoes no newer batch.
    WriteJournal {
        /// The batch; a batch whose result is unknown is sent again with the same id.
        batch_id: BatchId,
        /// Revision that the partition table must have; the transaction fails on any other.
        table_revision: Revision,
        /// Entries to put.
        entries: Vec<JournalEntry>,
        /// Entries to delete.
        deletes: Vec<TaskId>,
    },
    /// Read the whole journal of a partition.
    ReadJournal {
        /// The partition.
        partition: Partition,
    },
    /// Hand partitions over to a peer.
    Delegate {
        /// The peer.
        to: InstanceId,
        /// Partitions with their new generation.
        partitions: Vec<(Partition, Generation)>,
        /// Tasks that may have started and are not settled.
        started: Vec<RunReport>,
        /// Tasks that wait to start, with the time until their deadline in milliseconds.
        queued: Vec<(Task, u64)>,
    },
    /// A task has its final outcome; for counters, quota and the predictor.
    Settled(Box<SettledTask>),
    /// A dispatched or adopted task occupies no resources any more.
    ///
    /// Emitted once for each time that a task left the queue by `Dispatched` or was `Adopted`,
    /// also after `OfferRefused`: the place to give its quota back.
    Freed {
        /// The task.
        task: Task,
    },
    /// A task that runs already came under this owner; its quota is taken by force.
    Adopted {
        /// The task.
        task: Task,
    },
    /// This instance begins to serve partitions.
    Serving {
        /// The partitions.
        partitions: Vec<(Partition, Generation)>,
        /// Shares of plans that the fenced holders have, from earlier grantors.
        grants: Vec<model::QuotaAsk>,
    },
    /// This instance no longer owns partitions.
    Superseded {
        /// The partitions.
        partitions: Vec<Partition>,
    },
}
