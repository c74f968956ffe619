//! Messages to the control thread.

use tokio::sync::oneshot;

use crate::control;

/// An answer to a caller, with the id of its task.
#[derive(Clone, Debug)]
pub(crate) struct CallerAnswer {
    pub(crate) task_id: model::TaskId,
    pub(crate) answer: control::Answer,
}

/// A message to the control thread.
#[derive(Debug)]
pub(crate) enum Message {
    /// An input without an answer.
    Input(control::Input),
    /// A caller's request with the channel for its answer.
    Caller {
        /// Id of the request.
        request_id: control::RequestId,
        /// The request.
        input: control::Input,
        /// Receives the answer.
        reply: oneshot::Sender<CallerAnswer>,
    },
    /// A peer's request with the channel for its response.
    Peer {
        /// Id of the request.
        request_id: control::RequestId,
        /// The request.
        input: control::Input,
        /// Receives the response.
        reply: oneshot::Sender<model::PeerResponse>,
    },
    /// Requests the status of the instance.
    Status {
        /// Receives the status.
        reply: oneshot::Sender<control::Status>,
    },
    /// Ends the control thread.
    Stop,
}
