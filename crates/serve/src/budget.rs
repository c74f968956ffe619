//! The memory budget for all that clients send and have not read.

use std::collections;
use std::net;
use std::sync;
use std::time;

use crate::progress;
use crate::refusals;
use crate::refusals::Refusal;

/// Largest charge of a small call, in bytes: such calls may use the reserved part. Bodies of jobs
/// have at most 4,000 bytes of specification, and usually a few steps.
pub(crate) const SMALL_CALL_BYTES: u64 = 16 * 1024;
/// A source that holds more than one in this many bytes of the budget loses bodies to a source that
/// holds less than one in twice as many.
const SOURCE_SHARE_DIVISOR: u64 = 2;

/// Address of a client; all clients behind a load balancer may have the same one.
pub(crate) type Source = net::IpAddr;
/// Number of a connection, unique within a budget.
pub(crate) type ConnectionId = u64;

/// A map with a hash function that is fast and seeded.
type Map<K, V> = collections::HashMap<K, V, foldhash::fast::RandomState>;

/// Memory budget of an instance; clones share it.
///
/// Every charge is taken before the memory is used, and is released when its [`Charge`] is dropped.
/// Only bodies that are being received can be dropped early, since nothing of them was passed on.
#[derive(Clone, Debug)]
pub struct Budget {
    shared: sync::Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    total_bytes: u64,
    reserved_bytes: u64,
    state: sync::Mutex<State>,
    refusals: refusals::Refusals,
}

#[derive(Debug, Default)]
struct State {
    /// Sum of all charges and of the buffers of `bodies`.
    used_bytes: u64,
    /// Part of `used_bytes` that each source holds; never 0.
    by_source: Map<Source, u64>,
    /// Bodies that are being received, by connection: HTTP/1.1 has one at a time.
    bodies: Map<ConnectionId, Partial>,
    next_id: ConnectionId,
}

/// A body that is being received.
#[derive(Debug)]
struct Partial {
    source: Source,
    /// Its capacity is charged.
    buffer: Vec<u8>,
    progress: progress::Progress,
    /// Told when the body is dropped for others.
    shed: sync::Arc<tokio::sync::Notify>,
}

/// Why bytes could not be added to a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AppendError {
    /// The budget is exhausted, or the body was dropped for others.
    NoBudget,
    /// The body is larger than allowed.
    TooLarge,
}

/// A part of the budget, released when dropped.
#[derive(Debug)]
pub struct Charge {
    /// `None` for requests that came through no listener.
    budget: Option<Budget>,
    source: Source,
    bytes: u64,
}

impl Budget {
    /// Creates the budget of `machine`, with room for at least two requests of `max_request_bytes`.
    #[must_use]
    pub fn new(
        machine: &crate::Machine,
        max_request_bytes: usize,
        metrics: telemetry::Metrics,
    ) -> Self {
        let largest_bytes = 2 * max_request_bytes as u64;
        let reserved_bytes = machine.reserved_bytes();
        let total_bytes = machine.budget_bytes().max(largest_bytes + reserved_bytes);
        Self::with_sizes(total_bytes, reserved_bytes, metrics)
    }

    /// Creates a budget of `total_bytes`, of which only small calls may use `reserved_bytes`.
    #[must_use]
    pub fn with_sizes(total_bytes: u64, reserved_bytes: u64, metrics: telemetry::Metrics) -> Self {
        Self {
            shared: sync::Arc::new(Shared {
                total_bytes,
                reserved_bytes,
                state: sync::Mutex::default(),
                refusals: refusals::Refusals::new(metrics),
            }),
        }
    }

    /// Returns the bytes in use.
    #[must_use]
    pub fn used_bytes(&self) -> u64 {
        self.lock().used_bytes
    }

    /// Returns whether large charges are refused soon.
    pub(crate) fn is_short(&self) -> bool {
        let large_bytes = self.shared.total_bytes - self.shared.reserved_bytes;
        self.used_bytes() > large_bytes / 4 * 3
    }

    pub(crate) fn next_connection_id(&self) -> ConnectionId {
        let mut state = self.lock();
        state.next_id += 1;
        state.next_id
    }

    pub(crate) fn record(&self, refusal: Refusal, source: Source) {
        self.shared.refusals.record(refusal, source);
    }

    /// Charges `bytes`; small calls may use the reserved part.
    pub(crate) fn charge(&self, source: Source, bytes: u64) -> Option<Charge> {
        let mut state = self.lock();
        let is_small = bytes <= SMALL_CALL_BYTES;
        self.make_room(&mut state, source, bytes, is_small, None)
            .then(|| {
                state.add(source, bytes);
                self.charge_of(source, bytes)
            })
    }

    /// Charges `bytes` that are already in use, whether there is room or not: a response can't be
    /// refused any more. What comes after finds less room.
    pub(crate) fn charge_used(&self, source: Source, bytes: u64) -> Charge {
        self.lock().add(source, bytes);
        self.charge_of(source, bytes)
    }

    /// Begins to receive a body.
    pub(crate) fn begin_body(
        &self,
        id: ConnectionId,
        source: Source,
        shed: sync::Arc<tokio::sync::Notify>,
    ) {
        let partial = Partial {
            source,
            buffer: Vec::new(),
            progress: progress::Progress::new(time::Instant::now()),
            shed,
        };
        self.lock().bodies.insert(id, partial);
    }

    /// Returns whether a body was dropped for others.
    pub(crate) fn is_shed(&self, id: ConnectionId) -> bool {
        !self.lock().bodies.contains_key(&id)
    }

    /// Adds received bytes to a body of at most `max_bytes`, of which `expected_bytes` are announced.
    pub(crate) fn append(
        &self,
        id: ConnectionId,
        data: &[u8],
        expected_bytes: Option<usize>,
        max_bytes: usize,
    ) -> Result<(), AppendError> {
        let now = time::Instant::now();
        let mut state = self.lock();
        let Some(body) = state.bodies.get(&id) else {
            return Err(AppendError::NoBudget);
        };
        let source = body.source;
        let capacity = body.buffer.capacity();
        let needed = body.buffer.len() + data.len();
        if needed > max_bytes {
            return Err(AppendError::TooLarge);
        }
        if needed > capacity {
            // Doubled as it fills, so that what is announced but not sent costs nothing.
            let doubled = needed.max(capacity * 2).min(max_bytes);
            let grown = doubled.min(expected_bytes.unwrap_or(max_bytes).max(needed));
            let added = (grown - capacity) as u64;
            let is_small = grown as u64 <= SMALL_CALL_BYTES;
            if !self.make_room(&mut state, source, added, is_small, Some(id)) {
                return Err(AppendError::NoBudget);
            }
            let Some(body) = state.bodies.get_mut(&id) else {
                return Err(AppendError::NoBudget);
            };
            body.buffer.reserve_exact(grown - body.buffer.len());
            state.add(source, added);
        }
        if let Some(body) = state.bodies.get_mut(&id) {
            body.buffer.extend_from_slice(data);
            body.progress.record(body.buffer.len() as u64, now);
        }
        Ok(())
    }

    /// Ends the receipt of a body; returns it with its charge, `None` if it was dropped for others.
    pub(crate) fn take_body(&self, id: ConnectionId) -> Option<(Vec<u8>, Charge)> {
        let body = self.lock().bodies.remove(&id)?;
        let charge = self.charge_of(body.source, body.buffer.capacity() as u64);
        Some((body.buffer, charge))
    }

    /// Makes room for `bytes`, if need be by dropping bodies of stalled and slow senders.
    fn make_room(
        &self,
        state: &mut State,
        source: Source,
        bytes: u64,
        is_small: bool,
        own: Option<ConnectionId>,
    ) -> bool {
        let ceiling = match is_small {
            true => self.shared.total_bytes,
            false => self.shared.total_bytes - self.shared.reserved_bytes,
        };
        let share = self.shared.total_bytes / SOURCE_SHARE_DIVISOR;
        let held = state.by_source.get(&source).copied().unwrap_or_default();
        let has_other_sources = state.by_source.len() > usize::from(held > 0);
        if !is_small && has_other_sources && held + bytes > share {
            return false;
        }
        if state.used_bytes + bytes <= ceiling {
            return true;
        }
        let now = time::Instant::now();
        let is_modest = held + bytes <= share / 2;
        let mut victims: Vec<_> = state
            .bodies
            .iter()
            .filter(|(id, body)| Some(**id) != own && body.buffer.capacity() > 0)
            .filter_map(|(id, body)| {
                let is_greedy = is_modest
                    && body.source != source
                    && state.by_source.get(&body.source).copied() > Some(share);
                let rank = body.progress.shed_rank(now, is_greedy)?;
                Some((rank, *id))
            })
            .collect();
        victims.sort_unstable();
        for (_, id) in victims {
            if state.used_bytes + bytes <= ceiling {
                break;
            }
            let Some(body) = state.bodies.remove(&id) else {
                continue;
            };
            state.subtract(body.source, body.buffer.capacity() as u64);
            body.shed.notify_one();
            self.record(Refusal::BodyShed, body.source);
        }
        state.used_bytes + bytes <= ceiling
    }

    fn charge_of(&self, source: Source, bytes: u64) -> Charge {
        Charge {
            budget: Some(self.clone()),
            source,
            bytes,
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl State {
    fn add(&mut self, source: Source, bytes: u64) {
        if bytes > 0 {
            self.used_bytes += bytes;
            *self.by_source.entry(source).or_default() += bytes;
        }
    }

    fn subtract(&mut self, source: Source, bytes: u64) {
        self.used_bytes -= bytes;
        if let Some(held) = self.by_source.get_mut(&source) {
            *held -= bytes;
            if *held == 0 {
                self.by_source.remove(&source);
            }
        }
    }
}

impl Charge {
    /// Returns a charge to no budget.
    pub(crate) fn none(source: Source) -> Self {
        Self {
            budget: None,
            source,
            bytes: 0,
        }
    }

    /// Changes the charge to `bytes`; returns whether there was room.
    pub(crate) fn resize(&mut self, bytes: u64) -> bool {
        let Some(budget) = &self.budget else {
            return true;
        };
        let mut state = budget.lock();
        if bytes <= self.bytes {
            state.subtract(self.source, self.bytes - bytes);
            self.bytes = bytes;
            return true;
        }
        let added = bytes - self.bytes;
        let is_small = bytes <= SMALL_CALL_BYTES;
        if !budget.make_room(&mut state, self.source, added, is_small, None) {
            return false;
        }
        state.add(self.source, added);
        self.bytes = bytes;
        true
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if let Some(budget) = &self.budget {
            budget.lock().subtract(self.source, self.bytes);
        }
    }
}
