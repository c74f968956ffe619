//! Open connections of a listener: what each of them is doing, and which to close for others.

use std::cmp;
use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use crate::budget;
use crate::refusals::Refusal;

/// Memory of a connection that has sent nothing large, in bytes: a read buffer of 8 KiB and 4 KiB of
/// state (measured: 11 KB for an idle connection).
pub(crate) const CONNECTION_BYTES: u64 = 12 * 1024;
/// Memory that a connection takes in addition once it has filled its first read buffer, in bytes:
/// a read buffer of twice the largest head (measured: up to 46 KB for a connection in all).
pub(crate) const LARGE_INPUT_BYTES: u64 = 32 * 1024;
/// Bytes of one head or body after which the memory for large input is charged.
pub(crate) const FIRST_BUFFER_BYTES: u64 = 8 * 1024;
/// Time from the first byte of a head within which it must be complete: `header_timeout_ms` of the
/// manifest, 3 s, and 2 s for a caller whose clock starts later.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Time within which a client must take some bytes of a response: `idle_timeout_ms` of the
/// manifest, 15 s.
const UNREAD_TIMEOUT: time::Duration = time::Duration::from_secs(15);
/// The same while the budget is short: several round trips and retransmissions.
const UNREAD_TIMEOUT_WHEN_SHORT: time::Duration = time::Duration::from_secs(2);
/// Time without progress after which a connection may be closed for a new one, so that a burst of
/// new ones does not close the ones before it.
const MIN_EVICTION_AGE: time::Duration = time::Duration::from_millis(300);
/// The same for a body: a client that sends a body stops for longer only if it stalls.
const MIN_STALLED_BODY_AGE: time::Duration = time::Duration::from_millis(1_000);
/// Connections that may be closing at a time beyond the limit.
const MAX_CLOSING: usize = 16;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing was received yet.
    New,
    /// A part of a head was received.
    Head,
    /// A body is being received.
    Body,
    /// A request is being handled.
    Handling,
    /// Between two requests.
    Idle,
}

/// State of a connection, shared by its socket, its requests and the listener.
#[derive(Debug)]
pub(crate) struct Connection {
    id: budget::ConnectionId,
    source: budget::Source,
    budget: budget::Budget,
    state: sync::Mutex<ConnectionState>,
    body_shed: sync::Arc<tokio::sync::Notify>,
    /// Told when the connection is to be closed.
    close: tokio::sync::Notify,
    is_closing: atomic::AtomicBool,
}

#[derive(Debug)]
struct ConnectionState {
    phase: Phase,
    /// When the phase began, or bytes of a body arrived last.
    since: time::Instant,
    /// Bytes received in this phase.
    received_bytes: u64,
    /// Since when the client has taken nothing of what waits to be sent.
    write_blocked_since: Option<time::Instant>,
    /// Whether a part of the head being received, or of the request being handled, may have waited
    /// in the socket while the process stood still.
    is_age_unknown: bool,
    /// Requests begun since bytes were last read.
    requests_since_read: u32,
    /// Whether the client sends requests before it has the response to the one before.
    is_pipelining: bool,
    /// Charge of the connection, later with that of large input.
    charge: budget::Charge,
}

/// Handle of a connection; requests carry it as an extension.
#[derive(Clone, Debug)]
pub(crate) struct Handle(sync::Arc<Connection>);

/// The open connections of a listener.
#[derive(Clone, Debug)]
pub(crate) struct Connections {
    shared: sync::Arc<sync::Mutex<collections::HashMap<budget::ConnectionId, Handle>>>,
    budget: budget::Budget,
    max_connections: usize,
}

/// Order in which connections are closed for new ones; lower ones first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// No request was ever complete.
    Unused,
    /// The client does not read its responses.
    Unread,
    /// Requests are sent before the response to the one before, which callers don't do; such a
    /// connection is never idle, so that it is closed in any phase.
    Pipelining,
    /// A body has stalled.
    StalledBody,
    /// Between two requests.
    Idle,
}

impl EvictionRank {
    /// Returns whether callers don't leave a connection in this state.
    fn is_misuse(self) -> bool {
        self <= Self::Pipelining
    }
}

impl Connections {
    pub(crate) fn new(budget: budget::Budget, max_connections: usize) -> Self {
        Self {
            shared: sync::Arc::default(),
            budget,
            max_connections,
        }
    }

    /// Admits a connection, if need be by closing another; `None` if it is refused.
    pub(crate) fn admit(&self, source: budget::Source) -> Option<Handle> {
        let now = time::Instant::now();
        let mut open = self.lock();
        if open.len() >= self.max_connections {
            let has_room = open.len() < self.max_connections + MAX_CLOSING;
            if !has_room || !self.evict(&open, now) {
                drop(open);
                self.budget.record(Refusal::ConnectionLimit, source);
                return None;
            }
        }
        let charge = self.budget.charge(source, CONNECTION_BYTES);
        let charge = match charge {
            Some(charge) => charge,
            // The closed connection releases its charge a moment later.
            None if open.len() < self.max_connections && self.evict(&open, now) => {
                self.budget.charge_used(source, CONNECTION_BYTES)
            }
            None => {
                drop(open);
                self.budget.record(Refusal::ConnectionBudget, source);
                return None;
            }
        };
        let handle = Handle(sync::Arc::new(Connection {
            id: self.budget.next_connection_id(),
            source,
            budget: self.budget.clone(),
            state: sync::Mutex::new(ConnectionState {
                phase: Phase::New,
                since: now,
                received_bytes: 0,
                write_blocked_since: None,
                is_age_unknown: false,
                requests_since_read: 0,
                is_pipelining: false,
                charge,
            }),
            body_shed: sync::Arc::default(),
            close: tokio::sync::Notify::new(),
            is_closing: atomic::AtomicBool::new(false),
        }));
        open.insert(handle.0.id, handle.clone());
        Some(handle)
    }

    /// Forgets a connection that has ended.
    pub(crate) fn remove(&self, handle: &Handle) {
        self.lock().remove(&handle.0.id);
    }

    /// Closes connections whose head or whose reading of responses takes too long.
    pub(crate) fn close_overdue(&self) {
        let now = time::Instant::now();
        let unread_timeout = match self.budget.is_short() {
            true => UNREAD_TIMEOUT_WHEN_SHORT,
            false => UNREAD_TIMEOUT,
        };
        for handle in self.lock().values() {
            if let Some(refusal) = handle.overdue(now, unread_timeout) {
                handle.close(refusal);
            }
        }
    }

    /// Closes the connection that is needed least, and some more that callers would not have left
    /// like that, so that a flood of new ones does not cause a search for each; returns whether
    /// there was one.
    ///
    /// Of equally needed ones that of the source with most connections is closed, then the one that
    /// has been in its phase for longest.
    fn evict(
        &self,
        open: &collections::HashMap<budget::ConnectionId, Handle>,
        now: time::Instant,
    ) -> bool {
        let mut by_source = collections::HashMap::<budget::Source, usize>::new();
        for handle in open.values() {
            *by_source.entry(handle.0.source).or_default() += 1;
        }
        let candidates = open.values().filter_map(|handle| {
            let (rank, age) = handle.eviction_rank(now)?;
            let siblings = by_source.get(&handle.0.source).copied();
            Some(((rank, cmp::Reverse(siblings), cmp::Reverse(age)), handle))
        });
        let mut candidates: Vec<_> = candidates.collect();
        candidates.sort_unstable_by_key(|(order, _)| *order);
        for (index, ((rank, ..), victim)) in candidates.iter().take(MAX_CLOSING).enumerate() {
            if index > 0 && !rank.is_misuse() {
                break;
            }
            victim.close(Refusal::ConnectionShed);
        }
        !candidates.is_empty()
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<budget::ConnectionId, Handle>> {
        let open = self.shared.lock();
        open.unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Handle {
    pub(crate) fn id(&self) -> budget::ConnectionId {
        self.0.id
    }

    pub(crate) fn source(&self) -> budget::Source {
        self.0.source
    }

    pub(crate) fn budget(&self) -> &budget::Budget {
        &self.0.budget
    }

    /// Returns what is told when a body of the connection is dropped.
    pub(crate) fn body_shed(&self) -> &sync::Arc<tokio::sync::Notify> {
        &self.0.body_shed
    }

    /// Waits until the connection is to be closed.
    pub(crate) async fn closed(&self) {
        self.0.close.notified().await;
    }

    pub(crate) fn begin_request(&self) {
        let now = time::Instant::now();
        let mut state = self.lock();
        state.requests_since_read += 1;
        state.is_pipelining |= state.requests_since_read > 1;
        state.enter(Phase::Handling, now);
    }

    /// Returns whether the request that has begun may have waited while the process stood still.
    pub(crate) fn is_age_unknown(&self) -> bool {
        self.lock().is_age_unknown
    }

    pub(crate) fn end_request(&self) {
        self.enter(Phase::Idle);
    }

    pub(crate) fn begin_body(&self) {
        self.enter(Phase::Body);
    }

    pub(crate) fn end_body(&self) {
        self.enter(Phase::Handling);
    }

    /// Records bytes read from the socket, and whether their age is known; returns whether the budget
    /// has room for them.
    pub(crate) fn record_read(&self, bytes: usize, is_age_known: bool) -> bool {
        let now = time::Instant::now();
        let mut state = self.lock();
        if matches!(state.phase, Phase::New | Phase::Idle) {
            state.is_age_unknown = false;
        }
        state.is_age_unknown |= !is_age_known;
        if state.requests_since_read > 0 {
            state.is_pipelining = state.requests_since_read > 1;
            state.requests_since_read = 0;
        }
        match state.phase {
            Phase::New | Phase::Idle => state.enter(Phase::Head, now),
            Phase::Body => state.since = now,
            Phase::Head | Phase::Handling => {}
        }
        let before_bytes = state.received_bytes;
        state.received_bytes += bytes as u64;
        if before_bytes >= FIRST_BUFFER_BYTES || state.received_bytes < FIRST_BUFFER_BYTES {
            return true;
        }
        let has_room = state.charge.resize(CONNECTION_BYTES + LARGE_INPUT_BYTES);
        drop(state);
        if !has_room {
            self.0.budget.record(Refusal::InputBudget, self.0.source);
        }
        has_room
    }

    /// Records whether the client takes what is sent to it.
    pub(crate) fn record_write(&self, is_blocked: bool) {
        let mut state = self.lock();
        if !is_blocked {
            state.write_blocked_since = None;
            if state.phase == Phase::Idle {
                // The rest of a response counts as use.
                state.since = time::Instant::now();
            }
        } else if state.write_blocked_since.is_none() {
            state.write_blocked_since = Some(time::Instant::now());
        }
    }

    /// Tells the connection to close, once.
    fn close(&self, refusal: Refusal) {
        if !self.0.is_closing.swap(true, atomic::Ordering::Relaxed) {
            self.0.budget.record(refusal, self.0.source);
            self.0.close.notify_one();
        }
    }

    fn overdue(&self, now: time::Instant, unread_timeout: time::Duration) -> Option<Refusal> {
        let state = self.lock();
        let is_head_late =
            state.phase == Phase::Head && now.duration_since(state.since) > HEAD_TIMEOUT;
        if is_head_late {
            return Some(Refusal::HeadTimeout);
        }
        let since = state.write_blocked_since?;
        (now.duration_since(since) > unread_timeout).then_some(Refusal::UnreadResponse)
    }

    /// Returns the rank, and the time since the last progress; `None` if the connection must stay.
    fn eviction_rank(&self, now: time::Instant) -> Option<(EvictionRank, time::Duration)> {
        if self.0.is_closing.load(atomic::Ordering::Relaxed) {
            return None;
        }
        let state = self.lock();
        if let Some(since) = state.write_blocked_since {
            let age = now.duration_since(since);
            return (age >= MIN_EVICTION_AGE).then_some((EvictionRank::Unread, age));
        }
        let age = now.duration_since(state.since);
        if state.is_pipelining {
            return Some((EvictionRank::Pipelining, age));
        }
        let (rank, min_age) = match state.phase {
            Phase::New | Phase::Head => (EvictionRank::Unused, MIN_EVICTION_AGE),
            Phase::Body => (EvictionRank::StalledBody, MIN_STALLED_BODY_AGE),
            Phase::Idle => (EvictionRank::Idle, MIN_EVICTION_AGE),
            Phase::Handling => return None,
        };
        (age >= min_age).then_some((rank, age))
    }

    fn enter(&self, phase: Phase) {
        self.lock().enter(phase, time::Instant::now());
    }

    fn lock(&self) -> sync::MutexGuard<'_, ConnectionState> {
        let state = self.0.state.lock();
        state.unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl ConnectionState {
    fn enter(&mut self, phase: Phase, now: time::Instant) {
        self.phase = phase;
        self.since = now;
        self.received_bytes = 0;
    }
}
