//! Side effects that the owner requests.

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
use crate::RequestId;

/// An answer to a caller's request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// To a submission.
    Submit(SubmitReply),
    /// To a lookup or a cancellation.
    Status(TaskStatus),
    /// This instance does not own the partition, or no longer does: send the request to its owner,
    /// with `resent` set.
    NotOwner,
}

/// A task to be queued.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedTask {
    /// The task.
    pub task: Task,
    /// The attempt to start.
    pub attempt: Attempt,
    /// Generation of the partition, sent with offers as the fencing token.
    pub generation: Generation,
    /// When the task was accepted.
    pub accepted_at: time::Instant,
    /// Latest start.
    pub deadline: time::Instant,
    /// State saved by an earlier attempt.
    pub checkpoint: Option<String>,
}

/// Facts about a finished run of a settled task.
#[derive(Clone, Debug, PartialEq)]
pub struct RunSummary {
    /// The run.
    pub run: TaskAttempt,
    /// Its worker.
    pub worker_id: WorkerId,
    /// Run time, in milliseconds.
    pub run_ms: u64,
    /// Peak resource usage.
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
    pub runs: Vec<RunSummary>,
}

/// A side effect that an [`Owner`](crate::Owner) requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answer a request; each request gets exactly one answer, unless it was abandoned.
    Answer {
        /// The request.
        request_id: RequestId,
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
    /// Ask a lease holder to stop a run or to forbid its start; its reply comes back as
    /// `Withdrawn`.
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
        /// Revision that the new table is based on; 0 if the store has no table.
        expected_revision: Revision,
    },
    /// Make a lease holder refuse older generations, and ask for its runs.
    Fence {
        /// The holder; possibly this instance.
        to: InstanceId,
        /// Partitions with their generations.
        partitions: Vec<(Partition, Generation)>,
    },
    /// Write to the journal, in one transaction.
    ///
    /// The transaction also stores the id of this instance's latest batch. A batch that is already
    /// written is answered as written and changes nothing, so that a late duplicate does not undo
    /// a newer batch.
    WriteJournal {
        /// The batch; a batch whose result is unknown is resent with the same id.
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
    /// Delegate partitions to a peer.
    Delegate {
        /// The peer.
        to: InstanceId,
        /// Partitions with their new generation.
        partitions: Vec<(Partition, Generation)>,
        /// Latest runs of unsettled tasks that may have started; also reports that describe the
        /// next attempt of queued tasks and the outcomes of settled ones.
        started: Vec<RunReport>,
        /// Tasks that wait to start, with the time until their deadline in milliseconds.
        queued: Vec<(Task, u64)>,
    },
    /// A task has its final outcome; feeds counters, quota and the predictor.
    Settled(Box<SettledTask>),
    /// A dispatched or adopted task no longer occupies resources.
    ///
    /// Emitted exactly once for each time that a task left the queue by `Dispatched` or was
    /// `Adopted`, also after `OfferRefused`. The caller releases the task's quota on it.
    ResourcesFreed {
        /// The task.
        task: Task,
    },
    /// This owner took charge of a task that is already running; its quota is charged even beyond
    /// the limit.
    Adopted {
        /// The task.
        task: Task,
    },
    /// This instance starts to serve partitions.
    Serving {
        /// The partitions.
        partitions: Vec<(Partition, Generation)>,
        /// Quota shares of plans that the fenced lease holders got from earlier grantors.
        grants: Vec<model::QuotaAsk>,
    },
    /// This instance no longer owns partitions.
    Superseded {
        /// The partitions.
        partitions: Vec<Partition>,
    },
}
