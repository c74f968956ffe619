//! What waits for the control thread.

use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use tokio::sync::oneshot;

use crate::caller_request;
use crate::instance;

/// Most requests that wait for the thread. Instances limit theirs, so that this many are only there
/// if hundreds of instances send as many as they may.
const MAX_WAITING_REQUESTS: usize = 16_384;

/// A caller's request.
pub(crate) struct Request {
    pub(crate) manifest_version: model::ManifestVersion,
    pub(crate) request: caller_request::CallerRequest,
    pub(crate) reply: oneshot::Sender<model::JobReply>,
    /// Time from which the request must not be handled any more.
    pub(crate) handle_by: stall::Uptime,
    /// From [`Mailbox::reserve`].
    pub(crate) memory: WaitingMemory,
}

impl Request {
    /// Returns whether the caller has been answered, or will have been, without the reply.
    fn is_gone(&self, now: stall::Uptime) -> bool {
        self.reply.is_closed() || now >= self.handle_by
    }
}

/// Memory of a waiting request; counts until it is dropped.
pub(crate) struct WaitingMemory {
    bytes: u64,
    waiting_bytes: sync::Arc<atomic::AtomicU64>,
}

impl Drop for WaitingMemory {
    fn drop(&mut self) {
        self.waiting_bytes
            .fetch_sub(self.bytes, atomic::Ordering::Relaxed);
    }
}

/// Returns the memory that a waiting request takes, in bytes.
fn memory_bytes(request: &model::JobRequest) -> u64 {
    let job_bytes = match request {
        model::JobRequest::Submit(job) => job.memory_bytes(),
        _ => 0,
    };
    (size_of::<Request>() + job_bytes) as u64
}

/// What the control thread shares with those that send to it.
pub(crate) struct Mailbox {
    state: sync::Mutex<MailboxState>,
    /// Notified when an input is added or the thread is to stop.
    changed: sync::Condvar,
    /// Bytes that the waiting requests take.
    waiting_bytes: sync::Arc<atomic::AtomicU64>,
    /// Most bytes that the waiting requests take; one alone may take more.
    max_waiting_bytes: u64,
    /// Whether requests have been refused since few waited.
    is_full: atomic::AtomicBool,
    metrics: telemetry::Metrics,
}

struct MailboxState {
    inbox: admit::Inbox<jobs::Event, Request>,
    /// Whether the term has ended.
    is_stopping: bool,
    /// Whether the thread has ended, so that nothing takes the inputs any more.
    is_closed: bool,
}

/// Inputs that the thread handles together.
pub(crate) struct Work {
    pub(crate) round: admit::Round<jobs::Event, Request>,
    pub(crate) is_stopping: bool,
}

impl Mailbox {
    pub(crate) fn new(max_waiting_bytes: u64, metrics: telemetry::Metrics) -> Self {
        Self {
            state: sync::Mutex::new(MailboxState {
                inbox: admit::Inbox::new(MAX_WAITING_REQUESTS),
                is_stopping: false,
                is_closed: false,
            }),
            changed: sync::Condvar::new(),
            waiting_bytes: sync::Arc::default(),
            max_waiting_bytes,
            is_full: atomic::AtomicBool::new(false),
            metrics,
        }
    }

    /// Waits for inputs, at most for `pause` and at least until `earliest`, and takes them.
    pub(crate) fn take(&self, pause: time::Duration, earliest: time::Instant) -> Work {
        let state = instance::lock(&self.state);
        let is_idle = |state: &mut MailboxState| state.inbox.is_empty() && !state.is_stopping;
        let waited = self.changed.wait_timeout_while(state, pause, is_idle);
        let (mut state, _) = waited.unwrap_or_else(sync::PoisonError::into_inner);
        let early_by = earliest.saturating_duration_since(time::Instant::now());
        if !early_by.is_zero() {
            drop(state);
            thread::sleep(early_by);
            state = instance::lock(&self.state);
        }
        let uptime = stall::uptime();
        let round = state
            .inbox
            .take(time::Instant::now(), |request| request.is_gone(uptime));
        Work {
            round,
            is_stopping: state.is_stopping,
        }
    }

    /// Adds an event; has no effect once the thread has ended.
    pub(crate) fn push_event(&self, event: jobs::Event) {
        let mut state = instance::lock(&self.state);
        if !state.is_closed {
            state.inbox.push_event(event, time::Instant::now());
            self.changed.notify_one();
        }
    }

    /// Counts the memory of a request that is to be added; `None` if the waiting requests take too
    /// much.
    pub(crate) fn reserve(&self, request: &model::JobRequest) -> Option<WaitingMemory> {
        let bytes = memory_bytes(request);
        let before = self
            .waiting_bytes
            .fetch_add(bytes, atomic::Ordering::Relaxed);
        let memory = WaitingMemory {
            bytes,
            waiting_bytes: sync::Arc::clone(&self.waiting_bytes),
        };
        if before < self.max_waiting_bytes / 2 {
            self.is_full.store(false, atomic::Ordering::Relaxed);
        }
        if before == 0 || before + bytes <= self.max_waiting_bytes {
            return Some(memory);
        }
        self.metrics.count("refused.waiting_bytes");
        if !self.is_full.swap(true, atomic::Ordering::Relaxed) {
            log::warn!(waiting_bytes = before; "waiting requests take too much memory; refusing more");
        }
        None
    }

    /// Adds a request; `None` if the thread has ended or too many requests wait.
    pub(crate) fn push_request(&self, rank: admit::Rank, request: Request) -> Option<()> {
        let mut state = instance::lock(&self.state);
        if state.is_closed {
            return None;
        }
        let pushed = state
            .inbox
            .push_request(rank, request, time::Instant::now());
        self.changed.notify_one();
        pushed.ok()
    }

    /// Tells the thread to end once it has handled the events that wait.
    pub(crate) fn stop(&self) {
        instance::lock(&self.state).is_stopping = true;
        self.changed.notify_one();
    }

    /// Refuses all further inputs; returns the requests that wait.
    pub(crate) fn close(&self) -> Vec<Request> {
        let mut state = instance::lock(&self.state);
        state.is_closed = true;
        state.inbox.clear()
    }
}

/// Closes the mailbox when the thread ends, also by a panic, so that no caller waits for it.
pub(crate) struct CloseOnDrop(pub(crate) sync::Arc<Mailbox>);

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        self.0.close();
    }
}
