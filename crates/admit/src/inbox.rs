//! The inputs that wait for a leader's control thread.

use std::collections::VecDeque;
use std::time;

use crate::overload;

/// Most requests taken at once, so that events that arrive meanwhile do not wait for a long queue
/// of requests.
const MAX_ROUND_REQUESTS: usize = 64;

/// How a request ranks among those that wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rank {
    /// A submission or a cancellation.
    Change,
    /// A read, which callers can repeat at any instance without harm.
    Read,
}

/// An input, and when it was received.
#[derive(Debug)]
struct Timed<T> {
    input: T,
    received_at: time::Instant,
}

/// Queue of events and requests, which hands out events first, then changes, then reads.
///
/// Events answer what the leader has ordered or replace earlier state, so that their number is
/// bounded by its orders, and none is turned away. The number of requests is bounded by
/// `max_requests`.
#[derive(Debug)]
pub struct Inbox<E, R> {
    events: VecDeque<Timed<E>>,
    changes: VecDeque<Timed<R>>,
    reads: VecDeque<Timed<R>>,
    max_requests: usize,
    monitor: overload::Monitor,
}

/// What the control thread handles next.
#[derive(Debug)]
pub struct Round<E, R> {
    /// All events that waited, in order of arrival.
    pub events: Vec<E>,
    /// Some of the requests that waited.
    pub requests: Vec<R>,
    /// Number of requests dropped as their callers had gone.
    pub gone: u64,
    /// Longest wait of the inputs of this round.
    pub longest_wait: time::Duration,
    /// Whether new jobs should be refused.
    pub overload: Option<overload::Overload>,
}

impl<E, R> Inbox<E, R> {
    /// Creates an empty inbox for at most `max_requests` waiting requests.
    #[must_use]
    pub fn new(max_requests: usize) -> Self {
        Self {
            events: VecDeque::new(),
            changes: VecDeque::new(),
            reads: VecDeque::new(),
            max_requests,
            monitor: overload::Monitor::default(),
        }
    }

    /// Adds an event.
    pub fn push_event(&mut self, input: E, received_at: time::Instant) {
        self.events.push_back(Timed { input, received_at });
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Returns the request if too many wait.
    pub fn push_request(
        &mut self,
        rank: Rank,
        input: R,
        received_at: time::Instant,
    ) -> Result<(), R> {
        if self.waiting_requests() >= self.max_requests {
            return Err(input);
        }
        let queue = match rank {
            Rank::Change => &mut self.changes,
            Rank::Read => &mut self.reads,
        };
        queue.push_back(Timed { input, received_at });
        Ok(())
    }

    /// Returns whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.events.is_empty() && self.waiting_requests() == 0
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting_requests(&self) -> usize {
        self.changes.len() + self.reads.len()
    }

    /// Takes all events and some requests; those whose callers have gone are dropped.
    pub fn take(&mut self, now: time::Instant, is_gone: impl Fn(&R) -> bool) -> Round<E, R> {
        let mut round = Round {
            events: Vec::with_capacity(self.events.len()),
            requests: Vec::new(),
            gone: 0,
            longest_wait: time::Duration::ZERO,
            overload: None,
        };
        for event in self.events.drain(..) {
            round.longest_wait = round.longest_wait.max(event.waited(now));
            round.events.push(event.input);
        }
        while round.requests.len() < MAX_ROUND_REQUESTS {
            let next = self.changes.pop_front();
            let Some(request) = next.or_else(|| self.reads.pop_front()) else {
                break;
            };
            if is_gone(&request.input) {
                round.gone += 1;
                continue;
            }
            round.longest_wait = round.longest_wait.max(request.waited(now));
            round.requests.push(request.input);
        }
        let waiting = u32::try_from(self.waiting_requests()).unwrap_or(u32::MAX);
        let requests = round.requests.len() as u32;
        self.monitor
            .record_round(now, requests, waiting, round.longest_wait);
        round.overload = self.monitor.overload();
        round
    }

    /// Removes all inputs; returns the requests.
    pub fn clear(&mut self) -> Vec<R> {
        self.events.clear();
        let requests = self.changes.drain(..).chain(self.reads.drain(..));
        requests.map(|request| request.input).collect()
    }
}

impl<T> Timed<T> {
    fn waited(&self, now: time::Instant) -> time::Duration {
        now.saturating_duration_since(self.received_at)
    }
}
