//! Sends messages to the control thread from the I/O threads.

use std::sync;
use std::sync::atomic;

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::control;
use crate::drive::message;

/// Sends requests to the control thread; clones share the sequence of request ids.
#[derive(Clone)]
pub(crate) struct ControlHandle {
    messages: mpsc::UnboundedSender<message::Message>,
    request_ids: sync::Arc<atomic::AtomicU64>,
}

/// Sends [`control::Input::Abandon`] if it is dropped before the request is answered.
struct AbandonGuard {
    messages: mpsc::UnboundedSender<message::Message>,
    request_id: control::RequestId,
    answered: bool,
}

impl Drop for AbandonGuard {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let request_id = self.request_id;
        let input = control::Input::Abandon { request_id };
        let _ = self.messages.send(message::Message::Input(input));
    }
}

impl ControlHandle {
    pub(super) fn new(messages: mpsc::UnboundedSender<message::Message>) -> Self {
        Self {
            messages,
            request_ids: sync::Arc::default(),
        }
    }

    /// Sends a caller's request and waits for the answer; `None` if the instance has stopped.
    pub(crate) async fn caller_request(
        &self,
        input: impl FnOnce(control::RequestId) -> control::Input,
    ) -> Option<message::CallerAnswer> {
        let (reply, answer) = oneshot::channel();
        self.send_request(answer, |request_id| message::Message::Caller {
            request_id,
            input: input(request_id),
            reply,
        })
        .await
    }

    /// Sends a peer's request and waits for the response; `None` if the instance has stopped.
    pub(crate) async fn peer_request(
        &self,
        from: model::InstanceId,
        request: model::PeerRequest,
    ) -> Option<model::PeerResponse> {
        let (reply, answer) = oneshot::channel();
        self.send_request(answer, |request_id| message::Message::Peer {
            request_id,
            input: control::Input::Peer {
                request_id,
                from,
                request,
            },
            reply,
        })
        .await
    }

    /// Returns the status of the instance; `None` if it has stopped.
    pub(crate) async fn status(&self) -> Option<control::Status> {
        let (reply, answer) = oneshot::channel();
        let _ = self.messages.send(message::Message::Status { reply });
        answer.await.ok()
    }

    /// Sends an input that has no answer.
    pub(crate) fn send(&self, input: control::Input) {
        let _ = self.messages.send(message::Message::Input(input));
    }

    async fn send_request<T>(
        &self,
        answer: oneshot::Receiver<T>,
        message: impl FnOnce(control::RequestId) -> message::Message,
    ) -> Option<T> {
        let request_id = self.request_ids.fetch_add(1, atomic::Ordering::Relaxed);
        let mut guard = AbandonGuard {
            messages: self.messages.clone(),
            request_id,
            answered: false,
        };
        let _ = self.messages.send(message(request_id));
        let answer = answer.await.ok();
        guard.answered = true;
        answer
    }
}
