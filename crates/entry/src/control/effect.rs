//! I/O that the control state requests.

use std::sync;
use std::time;

use crate::control::input;

/// Purpose of a peer call; returned with its result.
#[derive(Clone, Debug)]
pub enum CallContext {
    /// Exchange of heartbeats.
    Heartbeat,
    /// A caller's request, forwarded to the owner.
    Forward {
        /// Id of the caller's request.
        request_id: input::RequestId,
    },
    /// An offer of runs.
    Offer(Box<place::Dispatch>),
    /// Reports about runs.
    Report(Vec<model::RunReport>),
    /// Withdrawal of a run.
    Withdraw {
        /// The holder.
        holder: model::InstanceId,
        /// The run.
        run: model::TaskAttempt,
    },
    /// A fence of older generations.
    Fence {
        /// The holder.
        holder: model::InstanceId,
        /// Partitions with their generations.
        partitions: Vec<(model::Partition, model::Generation)>,
    },
    /// Requests for shares of plans.
    Quota,
    /// Fetch of the operators' lists.
    Lists,
    /// Fetch of the partition table.
    Table,
    /// Hand-over of partitions.
    Delegate {
        /// The peer.
        to: model::InstanceId,
    },
}

/// An order to a worker about one run.
#[derive(Clone, Debug)]
pub enum RunOrder {
    /// Stop it, or forbid its start.
    Stop,
    /// Save a checkpoint and stop it.
    Checkpoint,
    /// Limit its processor time.
    Throttle {
        /// Share of its processors that it keeps, from 1 to 100.
        percent: u8,
    },
}

/// An action to be carried out outside the control state.
#[derive(Debug)]
pub enum Effect {
    /// Call a peer; answered by [`input::Input::Called`].
    Call {
        /// Address of the peer listener.
        address: String,
        /// The request.
        request: Box<model::PeerRequest>,
        /// Longest wait for the response.
        timeout: time::Duration,
        /// Returned with the response.
        context: CallContext,
    },
    /// Claim or renew a lease; answered by [`input::Input::Leased`].
    Lease {
        /// The worker.
        worker_id: model::WorkerId,
        /// Its address.
        address: String,
        /// The request.
        request: model::LeaseRequest,
    },
    /// Release a lease; answered by [`input::Input::Released`].
    Release {
        /// The worker.
        worker_id: model::WorkerId,
        /// Its address.
        address: String,
        /// The request.
        request: model::ReleaseRequest,
    },
    /// Start runs; answered by [`input::Input::Started`].
    Start {
        /// The worker.
        worker_id: model::WorkerId,
        /// Its address.
        address: String,
        /// The request.
        request: model::StartRequest,
    },
    /// Order a worker about a run; all but a throttle are answered by
    /// [`input::Input::Stopped`].
    Order {
        /// The worker.
        worker_id: model::WorkerId,
        /// Its address.
        address: String,
        /// The run.
        run: model::TaskAttempt,
        /// Epoch to send with the order.
        epoch: model::Epoch,
        /// The order.
        order: RunOrder,
    },
    /// Read the partition table from the store.
    ReadTable,
    /// Write the partition table to the store.
    WriteTable {
        /// The table.
        table: model::PartitionTable,
        /// Revision that the table is based on; 0 if the store has no table.
        expected_revision: model::Revision,
    },
    /// Write to the journal.
    WriteJournal {
        /// The batch.
        batch_id: owner::BatchId,
        /// Revision that the partition table must have.
        table_revision: model::Revision,
        /// Entries to put.
        entries: Vec<owner::JournalEntry>,
        /// Entries to delete.
        deletes: Vec<model::TaskId>,
    },
    /// Read the journal of a partition.
    ReadJournal {
        /// The partition.
        partition: model::Partition,
    },
    /// Read the operators' lists from the store.
    ReadLists,
    /// Publish the lists in force to the I/O threads.
    PublishLists(sync::Arc<lists::Lists>),
    /// Answer a caller.
    Answer {
        /// The request.
        request_id: input::RequestId,
        /// The task it is about.
        task_id: model::TaskId,
        /// The answer.
        answer: Answer,
    },
    /// Respond to a peer.
    Respond {
        /// The request.
        request_id: input::RequestId,
        /// The response.
        response: model::PeerResponse,
    },
}

/// An answer to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// To a submission.
    Submit(model::SubmitReply),
    /// To a lookup or a cancellation.
    Status(model::TaskStatus),
}
