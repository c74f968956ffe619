//! A leader that stalls for a while under load, with callers that retry: does the overload end when
//! the stall does?
//!
//! Each millisecond of the simulation handles one request. A caller waits three seconds for an
//! answer; its instance repeats the request after a second without one.

use std::time;

/// New requests in a thousand milliseconds, four fifths of what the leader handles.
const REQUESTS_PER_S: u64 = 800;
const STALL_MS: std::ops::Range<u64> = 2_000..3_500;
const END_MS: u64 = 12_000;
const REPEAT_AFTER_MS: u64 = 1_000;
const PATIENCE_MS: u64 = 3_000;
const INSTANCES: u64 = 40;

/// A request of a caller, known by its index.
#[derive(Clone, Copy, Default)]
struct Caller {
    sent_ms: u64,
    /// Time of the last attempt; only its reply is received.
    attempted_ms: u64,
    answered_ms: Option<u64>,
    returns_ms: Option<u64>,
}

struct Simulation {
    start: time::Instant,
    callers: Vec<Caller>,
    budgets: Vec<admit::RetryBudget>,
    refused: u32,
}

impl Simulation {
    fn new() -> Self {
        let start = time::Instant::now();
        let budgets = (0..INSTANCES).map(|_| admit::RetryBudget::new(start));
        Self {
            start,
            callers: Vec::new(),
            budgets: budgets.collect(),
            refused: 0,
        }
    }

    fn at(&self, ms: u64) -> time::Instant {
        self.start + time::Duration::from_millis(ms)
    }

    /// Returns the requests sent at `now_ms`: new ones, repeated ones, and those of returning callers.
    fn arrivals(&mut self, now_ms: u64, is_limited: bool) -> Vec<usize> {
        let now = self.at(now_ms);
        let mut arrivals = Vec::new();
        for (index, caller) in self.callers.iter_mut().enumerate() {
            let budget = &mut self.budgets[index % INSTANCES as usize];
            let is_waiting = caller.answered_ms.is_none() && now_ms < caller.sent_ms + PATIENCE_MS;
            if caller.returns_ms == Some(now_ms) {
                caller.returns_ms = None;
                caller.attempted_ms = now_ms;
                arrivals.push(index);
            } else if is_waiting
                && caller.returns_ms.is_none()
                && now_ms >= caller.attempted_ms + REPEAT_AFTER_MS
                && (!is_limited || budget.try_retry(now))
            {
                caller.attempted_ms = now_ms;
                arrivals.push(index);
            }
        }
        if now_ms * REQUESTS_PER_S / 1_000 != (now_ms + 1) * REQUESTS_PER_S / 1_000 {
            let index = self.callers.len();
            self.budgets[index % INSTANCES as usize].record_first_attempt();
            self.callers.push(Caller {
                sent_ms: now_ms,
                attempted_ms: now_ms,
                ..Caller::default()
            });
            arrivals.push(index);
        }
        arrivals
    }

    fn answer(&mut self, index: usize, attempted_ms: u64, now_ms: u64) {
        let caller = &mut self.callers[index];
        if caller.attempted_ms == attempted_ms && now_ms < caller.sent_ms + PATIENCE_MS {
            caller.answered_ms.get_or_insert(now_ms);
        }
    }

    /// Returns the share of callers answered among those who came in `period_ms`, in percent.
    fn answered_percent(&self, period_ms: std::ops::Range<u64>) -> usize {
        let came = self.callers.iter();
        let came: Vec<_> = came.filter(|it| period_ms.contains(&it.sent_ms)).collect();
        let answered = came.iter().filter(|it| it.answered_ms.is_some()).count();
        answered * 100 / came.len()
    }
}

/// A first-come queue without limits.
fn play_unlimited() -> Simulation {
    let mut simulation = Simulation::new();
    let mut queue = std::collections::VecDeque::new();
    for now_ms in 0..END_MS {
        for index in simulation.arrivals(now_ms, false) {
            queue.push_back((index, now_ms));
        }
        if STALL_MS.contains(&now_ms) {
            continue;
        }
        if let Some((index, attempted_ms)) = queue.pop_front() {
            simulation.answer(index, attempted_ms, now_ms);
        }
    }
    simulation
}

/// An inbox, retry budgets and refusals.
fn play_limited() -> Simulation {
    let mut simulation = Simulation::new();
    let mut inbox: admit::Inbox<(), (usize, u64)> = admit::Inbox::new(100_000);
    let mut busy_until_ms = 0;
    for now_ms in 0..END_MS {
        for index in simulation.arrivals(now_ms, true) {
            let now = simulation.at(now_ms);
            inbox
                .push_request(admit::Rank::Change, (index, now_ms), now)
                .expect("there is room");
        }
        if STALL_MS.contains(&now_ms) || now_ms < busy_until_ms {
            continue;
        }
        let callers = &simulation.callers;
        let round = inbox.take(simulation.at(now_ms), |(index, attempted_ms)| {
            let caller = &callers[*index];
            caller.attempted_ms != *attempted_ms || now_ms >= caller.sent_ms + PATIENCE_MS
        });
        let Some(overload) = round.overload else {
            simulation.refused = 0;
            for (position, (index, attempted_ms)) in round.requests.iter().enumerate() {
                simulation.answer(*index, *attempted_ms, now_ms + position as u64);
            }
            busy_until_ms = now_ms + round.requests.len() as u64;
            continue;
        };
        for (index, _) in round.requests {
            let retry_after = overload.retry_after(simulation.refused);
            simulation.refused += 1;
            simulation.callers[index].returns_ms = Some(now_ms + retry_after.as_millis() as u64);
        }
    }
    simulation
}

#[test]
fn without_limits_the_overload_outlasts_its_cause() {
    let simulation = play_unlimited();
    assert_eq!(simulation.answered_percent(0..1_000), 100);
    assert!(simulation.answered_percent(6_000..9_000) < 50);
}

#[test]
fn the_overload_ends_when_its_cause_ends() {
    let simulation = play_limited();
    assert_eq!(simulation.answered_percent(0..1_000), 100);
    assert!(simulation.answered_percent(4_500..6_000) >= 95);
    assert_eq!(simulation.answered_percent(6_000..9_000), 100);
}
