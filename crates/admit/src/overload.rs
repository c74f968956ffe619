//! Detection of overload from the time that inputs wait.

use std::time;

/// Wait from which a leader is late: below half of the time after which an instance sends a request
/// again, so that replies still arrive in time.
const MAX_WAIT: time::Duration = time::Duration::from_millis(400);
/// How long a leader must be late to be overloaded: a single slow round leaves a queue that is
/// handled in less.
const PATIENCE: time::Duration = time::Duration::from_millis(250);
/// Shortest delay before refused callers should retry.
const MIN_RETRY: time::Duration = time::Duration::from_secs(1);
/// Longest delay before refused callers should retry.
const MAX_RETRY: time::Duration = time::Duration::from_secs(8);

/// Decides from the waits of each round whether more arrives than is handled.
#[derive(Debug, Default)]
pub(crate) struct Monitor {
    late: Option<LatePeriod>,
    overload: Option<Overload>,
}

/// Consecutive rounds with an input that has waited longer than `MAX_WAIT`.
#[derive(Debug)]
struct LatePeriod {
    since: time::Instant,
    /// Requests handled since then.
    handled: u32,
}

/// A state in which more requests arrive than are handled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Overload {
    /// Time until the requests that wait now have been handled.
    pub drain: time::Duration,
    /// Time that a request takes, with its share of the events.
    pub request_cost: time::Duration,
}

impl Monitor {
    /// Records a round of `requests`, with `waiting` more behind them, whose longest wait is `wait`.
    pub(crate) fn record_round(
        &mut self,
        now: time::Instant,
        requests: u32,
        waiting: u32,
        wait: time::Duration,
    ) {
        if wait <= MAX_WAIT {
            self.late = None;
            self.overload = None;
            return;
        }
        let late = self.late.get_or_insert(LatePeriod {
            since: now,
            handled: 0,
        });
        let late_for = now.saturating_duration_since(late.since);
        let request_cost = late_for / late.handled.max(1);
        late.handled = late.handled.saturating_add(requests);
        if late_for < PATIENCE {
            return;
        }
        self.overload = Some(Overload {
            drain: request_cost.saturating_mul(waiting),
            request_cost,
        });
    }

    pub(crate) fn overload(&self) -> Option<Overload> {
        self.overload
    }
}

impl Overload {
    /// Returns the delay after which the caller of a refused request should retry, if `refused` have
    /// been refused before it since the overload began.
    ///
    /// Each gets a turn of its own behind the queue, so that callers do not all return at once.
    #[must_use]
    pub fn retry_after(&self, refused: u32) -> time::Duration {
        let turn = self.request_cost.saturating_mul(refused);
        self.drain.saturating_add(turn).clamp(MIN_RETRY, MAX_RETRY)
    }
}
