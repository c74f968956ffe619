//! The control thread, which runs the scheduler during a term.

use std::collections;
use std::sync::mpsc;
use std::thread;
use std::time;

use tokio::sync::mpsc as tokio_mpsc;
use tokio::sync::oneshot;

use crate::error;

/// Shortest time between two ticks of the scheduler, which handle expired leases and outcomes; also
/// the longest wait for an input.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Longest wait for an input while the scheduler still has waiting tasks to process.
const BACKLOG_TICK_INTERVAL: time::Duration = time::Duration::from_millis(4);

/// Input of the control thread.
pub(crate) enum Input {
    /// An event for the scheduler.
    Event(jobs::Event),
    /// A caller's request.
    Request {
        manifest_version: model::ManifestVersion,
        request: model::JobRequest,
        reply: oneshot::Sender<model::JobReply>,
    },
    /// The term has ended.
    Stop,
}

/// A running control thread.
#[derive(Debug)]
pub(crate) struct ControlThread {
    inputs: mpsc::Sender<Input>,
    thread: thread::JoinHandle<()>,
}

/// Sends inputs to the control thread of a term; clones send to the same thread.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    inputs: mpsc::Sender<Input>,
}

impl Handle {
    /// Sends an event; has no effect once the term has ended.
    pub(crate) fn send_event(&self, event: jobs::Event) {
        let _ = self.inputs.send(Input::Event(event));
    }

    /// Sends a caller's request and waits for the reply; `None` if the term ends before that.
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
    /// Starts the thread, which sends the scheduler's actions to `actions`.
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

    /// Stops the thread and waits for it; callers to whom the scheduler has not replied by then get
    /// no reply.
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
        let pause = if scheduler.needs_finish() {
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
                    pending.send_replies(scheduler.end_term());
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
        // A system time before 1970 may count as 1970: the scheduler's decisions are the same.
        wall_ms: wall.map_or(0, |wall| wall.as_millis() as u64),
    }
}

/// Reply channels of the requests in progress.
#[derive(Default)]
struct PendingReplies {
    senders: collections::HashMap<jobs::RequestToken, oneshot::Sender<model::JobReply>>,
    last_token: jobs::RequestToken,
}

impl PendingReplies {
    fn insert(&mut self, reply: oneshot::Sender<model::JobReply>) -> jobs::RequestToken {
        self.last_token += 1;
        self.senders.insert(self.last_token, reply);
        self.last_token
    }

    /// Sends the replies among `actions` and returns the other actions.
    fn send_replies(&mut self, actions: Vec<jobs::Action>) -> Vec<jobs::Action> {
        let mut other_actions = Vec::new();
        for action in actions {
            match action {
                jobs::Action::Reply(token, reply) => {
                    if let Some(caller) = self.senders.remove(&token) {
                        // The caller may have stopped waiting.
                        let _ = caller.send(reply);
                    }
                }
                action => other_actions.push(action),
            }
        }
        other_actions
    }
}
