//! The control thread: owns the decisions of a term.

use std::collections;
use std::sync::mpsc;
use std::thread;
use std::time;

use tokio::sync::mpsc as tokio_mpsc;
use tokio::sync::oneshot;

use crate::error;

/// Longest time between two looks at what is due.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Time between two looks while waiting tasks are still to be looked at.
const BACKLOG_TICK_INTERVAL: time::Duration = time::Duration::from_millis(4);

/// What the control thread is told.
pub(crate) enum Input {
    /// Something happened.
    Event(jobs::Event),
    /// A caller asks.
    Request {
        manifest_version: model::ManifestVersion,
        request: model::JobRequest,
        reply: oneshot::Sender<model::JobReply>,
    },
    /// The term is over.
    Stop,
}

/// A running control thread.
#[derive(Debug)]
pub(crate) struct ControlThread {
    inputs: mpsc::Sender<Input>,
    thread: thread::JoinHandle<()>,
}

/// Tells the control thread of a term; clones tell the same.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    inputs: mpsc::Sender<Input>,
}

impl Handle {
    /// Tells of an event; without effect once the term is over.
    pub(crate) fn send_event(&self, event: jobs::Event) {
        let _ = self.inputs.send(Input::Event(event));
    }

    /// Asks for a caller; `None` if the term ends before the answer.
    pub(crate) async fn request(
        &self,
        manifest_version: model::ManifestVersion,
        request: model::JobRequest,
    ) -> Option<model::JobReply> {
        let (reply, receiver) = oneshot::channel();
        let input = Input::Request {
            manifest_version,
            request,
            reply,
        };
        self.inputs.send(input).ok()?;
        receiver.await.ok()
    }
}

impl ControlThread {
    /// Starts the thread; its actions go to `actions`.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub(crate) fn start(
        scheduler: jobs::Scheduler,
        actions: tokio_mpsc::UnboundedSender<Vec<jobs::Action>>,
    ) -> Result<Self, error::Error> {
        let (inputs, receiver) = mpsc::channel();
        let thread = thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || run(scheduler, &receiver, &actions))
            .map_err(|cause| error::Error::new(error::ErrorKind::Thread, cause))?;
        Ok(Self { inputs, thread })
    }

    pub(crate) fn handle(&self) -> Handle {
        Handle {
            inputs: self.inputs.clone(),
        }
    }

    /// Ends the thread; callers that wait get no answer.
    pub(crate) fn stop(self) {
        let _ = self.inputs.send(Input::Stop);
        if self.thread.join().is_err() {
            log::error!("control thread panicked");
        }
    }
}

fn run(
    mut scheduler: jobs::Scheduler,
    inputs: &mpsc::Receiver<Input>,
    actions: &tokio_mpsc::UnboundedSender<Vec<jobs::Action>>,
) {
    let mut pending = PendingReplies::default();
    let mut ticked_at = time::Instant::now();
    loop {
        let pause = if scheduler.is_unsettled() {
            BACKLOG_TICK_INTERVAL
        } else {
            TICK_INTERVAL
        };
        let first = match inputs.recv_timeout(pause) {
            Ok(input) => Some(input),
            Err(mpsc::RecvTimeoutError::Timeout) => None,
            Err(mpsc::RecvTimeoutError::Disconnected) => return,
        };
        let clock = clock();
        for input in first.into_iter().chain(inputs.try_iter()) {
            let event = match input {
                Input::Event(event) => event,
                Input::Request {
                    manifest_version,
                    request,
                    reply,
                } => jobs::Event::Request {
                    token: pending.insert(reply),
                    manifest_version,
                    request,
                },
                Input::Stop => {
                    pending.send_replies(scheduler.abandon());
                    return;
                }
            };
            scheduler.handle(event, clock);
        }
        if clock.now.saturating_duration_since(ticked_at) >= TICK_INTERVAL {
            ticked_at = clock.now;
            scheduler.handle(jobs::Event::Tick, clock);
        }
        let other_actions = pending.send_replies(scheduler.finish(clock));
        if !other_actions.is_empty() && actions.send(other_actions).is_err() {
            return;
        }
    }
}

/// Reads both clocks.
pub(crate) fn clock() -> jobs::Clock {
    let wall = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    jobs::Clock {
        now: time::Instant::now(),
        // A time of day before 1970 is as good as 1970 for what it decides.
        wall_ms: wall.map_or(0, |wall| wall.as_millis() as u64),
    }
}

/// Callers that wait for an answer.
#[derive(Default)]
struct PendingReplies {
    senders: collections::HashMap<jobs::Token, oneshot::Sender<model::JobReply>>,
    last_token: jobs::Token,
}

impl PendingReplies {
    fn insert(&mut self, reply: oneshot::Sender<model::JobReply>) -> jobs::Token {
        self.last_token += 1;
        self.senders.insert(self.last_token, reply);
        self.last_token
    }

    /// Answers callers, and returns the other actions.
    fn send_replies(&mut self, actions: Vec<jobs::Action>) -> Vec<jobs::Action> {
        let mut other_actions = Vec::new();
        for action in actions {
            match action {
                jobs::Action::Reply(token, reply) => {
                    if let Some(caller) = self.senders.remove(&token) {
                        // The caller may have gone.
                        let _ = caller.send(reply);
                    }
                }
                action => other_actions.push(action),
            }
        }
        other_actions
    }
}
