//! Messages to the control thread.

use tokio::sync::oneshot;

use crate::control;

/// An answer to a caller with the task it is about.
#[derive(Clone, Debug)]
pub(crate) struct CallerAnswer {
    pub(crate) task_id: model::TaskId,
    pub(crate) answer: control::Answer,
}

/// A message to the control thread.
#[derive(Debug)]
pub(crate) enum Message {
    /// Something to take in.
    Input(control::Input),
    /// A caller's request and where its answer goes.
    Caller {
        /// Id of the request.
        request_id: control::RequestId,
        /// The request.
        input: control::Input,
        /// Gets the answer.
        reply: oneshot::Sender<CallerAnswer>,
    },
    /// A peer's request and where its response goes.
    Peer {
        /// Id of the request.
        request_id: control::RequestId,
        /// The request.
        input: control::Input,
        /// Gets the response.
        reply: oneshot::Sender<model::PeerResponse>,
    },
    /// Asks for the state that operators see.
    Status {
        /// Gets the state.
        reply: oneshot::Sender<control::Status>,
    },
    /// Ends the control thread.
    Stop,
}
