//! The control thread, which owns the control state.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::control;
use crate::drive::effect_runner;
use crate::drive::message;
use crate::drive::platform;

/// Limit of messages that are handled before their effects are carried out.
const MAX_BATCH_MESSAGES: usize = 1024;

/// State flags that the control thread publishes to the rest of the process.
#[derive(Debug)]
pub(crate) struct StateFlags {
    /// Whether the instance serves callers.
    pub(crate) ready: atomic::AtomicBool,
    /// Whether a draining instance can stop.
    pub(crate) drained: atomic::AtomicBool,
}

/// The control state and the channels of unanswered requests.
pub(super) struct ControlThread<P: platform::Platform> {
    pub(super) control: control::Control,
    pub(super) messages: mpsc::UnboundedReceiver<message::Message>,
    pub(super) effects: effect_runner::EffectRunner<P>,
    pub(super) lists: watch::Sender<sync::Arc<lists::Lists>>,
    pub(super) flags: sync::Arc<StateFlags>,
    pub(super) callers:
        collections::HashMap<control::RequestId, oneshot::Sender<message::CallerAnswer>>,
    pub(super) peers:
        collections::HashMap<control::RequestId, oneshot::Sender<model::PeerResponse>>,
}

impl<P: platform::Platform> ControlThread<P> {
    /// Handles messages until [`message::Message::Stop`] arrives.
    pub(super) fn run(mut self) {
        while let Some(first) = self.messages.blocking_recv() {
            if !self.handle_message(first) {
                return;
            }
            for _ in 1..MAX_BATCH_MESSAGES {
                let Ok(next) = self.messages.try_recv() else {
                    break;
                };
                if !self.handle_message(next) {
                    return;
                }
            }
            let effects = self.control.finish_batch(time::Instant::now());
            for effect in effects {
                self.apply_effect(effect);
            }
            self.publish_flags();
        }
    }

    /// Handles one message; returns `false` if the thread is to end.
    fn handle_message(&mut self, message: message::Message) -> bool {
        let now = time::Instant::now();
        match message {
            message::Message::Input(input) => {
                if let control::Input::Abandon { request_id } = &input {
                    self.callers.remove(request_id);
                    self.peers.remove(request_id);
                }
                self.control.handle_input(input, now);
            }
            message::Message::Caller {
                request_id,
                input,
                reply,
            } => {
                self.callers.insert(request_id, reply);
                self.control.handle_input(input, now);
            }
            message::Message::Peer {
                request_id,
                input,
                reply,
            } => {
                self.peers.insert(request_id, reply);
                self.control.handle_input(input, now);
            }
            message::Message::Status { reply } => {
                let _ = reply.send(self.control.status(now));
            }
            message::Message::Stop => return false,
        }
        true
    }

    fn apply_effect(&mut self, effect: control::Effect) {
        match effect {
            control::Effect::Answer {
                request_id,
                task_id,
                answer,
            } => {
                if let Some(reply) = self.callers.remove(&request_id) {
                    let _ = reply.send(message::CallerAnswer { task_id, answer });
                }
            }
            control::Effect::Respond {
                request_id,
                response,
            } => {
                if let Some(reply) = self.peers.remove(&request_id) {
                    let _ = reply.send(response);
                }
            }
            control::Effect::PublishLists(lists) => {
                self.lists.send_replace(lists);
            }
            effect => self.effects.spawn(effect),
        }
    }

    fn publish_flags(&mut self) {
        let order = atomic::Ordering::Release;
        self.flags.ready.store(self.control.is_ready(), order);
        self.flags.drained.store(self.control.is_drained(), order);
    }
}
