//! Which runs can still end on a worker that is about to leave, and until when the others must be
//! stopped; independent of the scheduler's state.

use std::time;

/// Longest time until a departure that is taken into account; a longer one changes no decision.
const MAX_REMAINING: time::Duration = time::Duration::from_secs(24 * 3_600);
/// Time for the end of a run to be listed and read before its worker leaves: a listing is under way
/// at nearly any time, and takes up to some 200 ms through a relay.
const END_TRANSFER: time::Duration = time::Duration::from_millis(300);
/// Time for a stop order to reach the worker, besides that for the end: a tick of 50 ms and the way
/// through a relay.
const STOP_TRANSFER: time::Duration = time::Duration::from_millis(200);
/// Time in which a stop order that was not answered is sent again: an order's timeout of 400 ms and
/// the pause of 300 ms before it is repeated.
const STOP_REPETITION: time::Duration = time::Duration::from_millis(700);
/// Progress in percent from which the rate of a run is measured: percents are whole numbers, so that
/// less would be off by more than a quarter.
const MIN_MEASURED_PERCENT: u32 = 5;
/// By which factor a run may be slower or faster than its caller's estimate: a quarter of the workers
/// of some deployments run at less than half the speed of the others.
const ESTIMATE_FACTOR: u32 = 2;

/// When a worker leaves, as far as its reports tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// The worker stays at least until then.
    pub not_before: time::Instant,
    /// Time left in the newest report.
    remaining: time::Duration,
    /// When the time in the newest report would pass if the report had been written just before it was
    /// read.
    latest: time::Instant,
}

impl Departure {
    /// Creates a departure from a report that was written between `written_after` and `read_at`.
    #[must_use]
    pub fn new(
        remaining: time::Duration,
        written_after: time::Instant,
        read_at: time::Instant,
    ) -> Self {
        let counted = remaining.min(MAX_REMAINING);
        Self {
            not_before: written_after + counted,
            remaining,
            latest: read_at + counted,
        }
    }

    /// Returns the departure after a later read; a report with the same time left counts as the one
    /// that was read before.
    #[must_use]
    pub fn update(
        self,
        remaining: time::Duration,
        written_after: time::Instant,
        read_at: time::Instant,
    ) -> Self {
        if remaining == self.remaining {
            return self;
        }
        let newer = Self::new(remaining, written_after, read_at);
        // Both reports hold, unless the newer one says that the worker leaves earlier after all.
        let is_confirmed = self.not_before <= newer.latest;
        let not_before = match is_confirmed {
            true => newer.not_before.max(self.not_before),
            false => newer.not_before,
        };
        Self {
            not_before,
            ..newer
        }
    }

    fn allows_end_at(&self, at: time::Instant) -> bool {
        at + END_TRANSFER <= self.not_before
    }

    /// Returns whether a run that is ordered to stop at `at` saves its checkpoint in time, if the order
    /// is not lost.
    fn allows_stop_at(&self, at: time::Instant, stop_grace: time::Duration) -> bool {
        at + STOP_TRANSFER + stop_grace + END_TRANSFER <= self.not_before
    }

    /// Returns until when a run must be stopped to save its checkpoint, with time to repeat the order;
    /// `None` if that has passed since long ago.
    fn stop_by(&self, stop_grace: time::Duration) -> Option<time::Instant> {
        let needed = STOP_REPETITION + STOP_TRANSFER + stop_grace + END_TRANSFER;
        self.not_before.checked_sub(needed)
    }
}

/// How runs of a step are treated when their worker leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunKind {
    /// The tasks run until the job is cancelled, and must be at work again soon.
    LongRunning,
    /// The tasks save their progress, also when they are stopped.
    Checkpointing,
    /// A task that is stopped starts from the beginning.
    Plain,
}

/// What is known of the progress of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunProgress {
    /// When the run started, or when its worker was first known to have it.
    pub started_at: time::Instant,
    /// The caller's estimate of the run time; `None` if not given.
    pub estimate: Option<time::Duration>,
    /// The first listed progress in percent and when it was listed, and the highest one and when it was
    /// first listed; `None` if none has been listed.
    pub listed: Option<[(u32, time::Instant); 2]>,
}

/// The time within which a run is expected to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedEnd {
    /// It ends before that only if it becomes faster.
    pub earliest: time::Instant,
    /// It ends after that only if it becomes slower.
    pub latest: time::Instant,
}

impl RunProgress {
    /// Returns when the run ends if it goes on as it has so far; `None` if there is nothing to tell it
    /// by.
    #[must_use]
    pub fn expected_end(&self, now: time::Instant) -> Option<ExpectedEnd> {
        let Some([(first, first_at), (last, last_at)]) = self.listed else {
            let estimate = self.estimate?;
            return Some(ExpectedEnd {
                earliest: self.started_at + estimate / ESTIMATE_FACTOR,
                latest: (self.started_at + estimate * ESTIMATE_FACTOR).max(now),
            });
        };
        let left = 100_u32.saturating_sub(last);
        let gained = last.saturating_sub(first);
        if gained < MIN_MEASURED_PERCENT {
            let expected = self.estimate? * left / 100;
            return Some(ExpectedEnd {
                earliest: last_at + expected / ESTIMATE_FACTOR,
                latest: now.max(last_at) + expected * ESTIMATE_FACTOR,
            });
        }
        // A listed percent is the whole part of the true one.
        let taken = last_at.saturating_duration_since(first_at);
        let least = taken * left.saturating_sub(1) / (gained + 1);
        let most = taken * left / (gained - 1);
        let most_from_now = taken * left.saturating_sub(1) / (gained - 1);
        Some(ExpectedEnd {
            earliest: last_at + least,
            // Since it has not risen, the progress is below the next whole percent.
            latest: (last_at + most).max(now + most_from_now),
        })
    }
}

/// What to do with a run on a worker that leaves; later variants are more urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is left to run.
    Keep,
    /// It is to be stopped at this time, unless it is known to end in time by then.
    StopAt(time::Instant),
    /// It is to be stopped.
    StopNow,
}

impl Decision {
    /// Returns the more urgent one.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        match (self, other) {
            (Self::StopNow, _) | (_, Self::StopNow) => Self::StopNow,
            (Self::StopAt(one), Self::StopAt(two)) => Self::StopAt(one.min(two)),
            (Self::Keep, decision) | (decision, Self::Keep) => decision,
        }
    }
}

/// Decides what to do with a run on a worker that leaves; `end` is when it is expected to end, and
/// `stop_grace` the longest time that a stop takes.
///
/// A run that saves its progress is stopped as late as possible, unless it is certain to end before:
/// the stop costs no work, and it might be placed no earlier elsewhere. A plain run is left if it may
/// end before. If it cannot, its work is lost in any case, and it is stopped in the last moment in
/// which its end is still listed: its task then starts elsewhere at once, while a run that leaves with
/// its worker counts as lost only once its lease has expired.
#[must_use]
pub fn decide(
    kind: RunKind,
    end: Option<ExpectedEnd>,
    departure: Departure,
    stop_grace: time::Duration,
    now: time::Instant,
) -> Decision {
    let is_kept = match kind {
        RunKind::LongRunning => return Decision::StopNow,
        RunKind::Checkpointing => end.is_some_and(|end| departure.allows_end_at(end.latest)),
        RunKind::Plain => {
            end.is_none_or(|end| departure.allows_end_at(end.earliest))
                || !departure.allows_stop_at(now, stop_grace)
        }
    };
    if is_kept {
        return Decision::Keep;
    }
    match departure.stop_by(stop_grace) {
        Some(stop_by) if stop_by > now => Decision::StopAt(stop_by),
        _ => Decision::StopNow,
    }
}

/// A member of a gang.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    /// When it is expected to end; `None` if there is nothing to tell it by.
    pub end: Option<ExpectedEnd>,
    /// When its worker leaves; `None` if it stays.
    pub departure: Option<Departure>,
}

/// Decides what to do with all members of a gang: it ends with its slowest member, and none can do
/// without the others.
#[must_use]
pub fn decide_gang(
    kind: RunKind,
    members: &[Member],
    stop_grace: time::Duration,
    now: time::Instant,
) -> Decision {
    let ends = members.iter().map(|member| member.end);
    let end = ends
        .reduce(|one, two| {
            let (one, two) = (one?, two?);
            Some(ExpectedEnd {
                earliest: one.earliest.max(two.earliest),
                latest: one.latest.max(two.latest),
            })
        })
        .flatten();
    let departures = members.iter().filter_map(|member| member.departure);
    departures
        .map(|departure| decide(kind, end, departure, stop_grace, now))
        .fold(Decision::Keep, Decision::max)
}
