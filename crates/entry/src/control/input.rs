//! What the control state is told.

use std::sync;
use std::time;

use crate::control::effect;

/// Identifies an answer that a caller or a peer waits for.
pub type RequestId = owner::RequestId;

/// A call that did not bring a usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The other end has not handled it and never will.
    NotHandled,
    /// The other end may have handled it.
    Unanswered,
}

/// A checked submission of an authenticated caller.
#[derive(Clone, Debug)]
pub struct Submit {
    /// Waits for the answer.
    pub request_id: RequestId,
    /// Customer that submits.
    pub customer_id: model::CustomerId,
    /// Its plan.
    pub plan_id: model::PlanId,
    /// Its region.
    pub region: model::Region,
    /// What is asked for.
    pub spec: sync::Arc<model::TaskSpec>,
    /// Whether the caller waits for the outcome.
    pub wait: bool,
    /// Random bits for the id of a task without key.
    pub random: u128,
}

/// Reply of a worker to a claim or renewal.
#[derive(Debug)]
pub struct Leased {
    /// The worker.
    pub worker_id: model::WorkerId,
    /// When the request was sent.
    pub sent_at: time::Instant,
    /// Whether it was a claim.
    pub claim: bool,
    /// Finished runs that the request acknowledged.
    pub acknowledged: Vec<model::TaskAttempt>,
    /// The reply.
    pub result: Result<model::LeaseReply, CallError>,
}

/// Something the control state reacts to.
#[derive(Debug)]
pub enum Input {
    /// A caller submits a task.
    Submit(Submit),
    /// A caller asks for a task.
    Lookup {
        /// Waits for the answer.
        request_id: RequestId,
        /// Customer that asks.
        customer_id: model::CustomerId,
        /// The task.
        task_id: model::TaskId,
        /// How long the answer may wait for the outcome.
        wait: time::Duration,
    },
    /// A caller cancels a task.
    Cancel {
        /// Waits for the answer.
        request_id: RequestId,
        /// Customer that asks.
        customer_id: model::CustomerId,
        /// The task.
        task_id: model::TaskId,
    },
    /// Nobody waits for the request any more.
    Abandon {
        /// The request.
        request_id: RequestId,
    },
    /// A peer asks something.
    Peer {
        /// Waits for the response.
        request_id: RequestId,
        /// The peer.
        from: model::InstanceId,
        /// What it asks.
        request: model::PeerRequest,
    },
    /// A peer call ended.
    Called {
        /// Address that was called.
        address: String,
        /// What the call was for.
        context: effect::Context,
        /// The response.
        result: Result<model::PeerResponse, CallError>,
    },
    /// A claim or renewal ended.
    Leased(Leased),
    /// A release ended.
    Released {
        /// The worker.
        worker_id: model::WorkerId,
        /// When the request was sent.
        sent_at: time::Instant,
        /// Whether the worker answered.
        answered: bool,
    },
    /// A start order ended.
    Started {
        /// The worker.
        worker_id: model::WorkerId,
        /// Epoch quoted in the order.
        epoch: model::Epoch,
        /// Runs of the order.
        runs: Vec<model::TaskAttempt>,
        /// The verdicts.
        result: Result<model::StartReply, CallError>,
    },
    /// A stop or checkpoint order ended.
    Stopped {
        /// The worker.
        worker_id: model::WorkerId,
        /// The run.
        run: model::TaskAttempt,
        /// The reply.
        result: Result<model::StopReply, CallError>,
    },
    /// The platform's list was read.
    Machines(Vec<model::DirectoryEntry>),
    /// The operators' lists were read from the store.
    Lists(model::ListsState),
    /// The operators' lists could not be read.
    ListsUnavailable,
    /// Something for the owner decisions.
    Owner(owner::Event),
    /// The instance is about to stop.
    Drain,
    /// Time has passed.
    Tick,
}
