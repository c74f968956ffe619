//! Inputs of the control state.

use std::sync;
use std::time;

use crate::control::effect;

/// Identifies a request of a caller or a peer that waits for its answer.
pub type RequestId = owner::RequestId;

/// Failure of a call to a peer or a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The callee has not handled the request and never will.
    NotHandled,
    /// The callee may have handled the request.
    Unanswered,
}

/// A validated submission of an authenticated caller.
#[derive(Clone, Debug)]
pub struct Submit {
    /// Id of the request.
    pub request_id: RequestId,
    /// Customer that submits.
    pub customer_id: model::CustomerId,
    /// Its plan.
    pub plan_id: model::PlanId,
    /// Its region.
    pub region: model::Region,
    /// The task to run.
    pub spec: sync::Arc<model::TaskSpec>,
    /// Whether the caller waits for the outcome.
    pub wait: bool,
    /// Random bits for the id of a task without a key.
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

/// An event that the control state handles.
#[derive(Debug)]
pub enum Input {
    /// A caller submits a task.
    Submit(Submit),
    /// A caller looks a task up.
    Lookup {
        /// Id of the request.
        request_id: RequestId,
        /// Customer that sent the request.
        customer_id: model::CustomerId,
        /// The task.
        task_id: model::TaskId,
        /// How long the answer may wait for the outcome.
        wait: time::Duration,
    },
    /// A caller cancels a task.
    Cancel {
        /// Id of the request.
        request_id: RequestId,
        /// Customer that sent the request.
        customer_id: model::CustomerId,
        /// The task.
        task_id: model::TaskId,
    },
    /// The caller or peer no longer waits for the answer.
    Abandon {
        /// The request.
        request_id: RequestId,
    },
    /// A peer sends a request.
    Peer {
        /// Id of the request.
        request_id: RequestId,
        /// The peer.
        from: model::InstanceId,
        /// The request.
        request: model::PeerRequest,
    },
    /// A peer call ended.
    Called {
        /// Address that was called.
        address: String,
        /// What the call was for.
        context: effect::CallContext,
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
        /// Epoch sent with the order.
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
    /// An event for the owner state machine.
    Owner(owner::Event),
    /// The instance is to drain before it stops.
    Drain,
    /// The periodic tick.
    Tick,
}
