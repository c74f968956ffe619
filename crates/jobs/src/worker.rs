//! The state of one life of a worker.

use std::collections;
use std::sync;
use std::time;

use indexmap::IndexMap;

use crate::pacing;
use crate::worker_api;

/// Start orders sent for one run before the run is given up and stopped.
const MAX_START_TRIES: u32 = 3;

/// One life of a worker, as the leader sees it.
#[derive(Debug)]
pub(crate) struct Worker {
    /// The newest report; `None` if only the store names it.
    pub(crate) report: Option<worker_api::WorkerReport>,
    /// Whether the directory lists this life.
    pub(crate) is_listed: bool,
    /// Whether it has answered under the leader's term, so that it refuses earlier leaders.
    pub(crate) is_fenced: bool,
    /// Its clock, and when that was heard.
    clock: Option<(i64, time::Instant)>,
    /// Every run that may exist there.
    pub(crate) runs: IndexMap<model::RunKey, WorkerRun>,
    /// Sum of the demands of `runs` that count.
    pub(crate) used: model::Demand,
    /// Ends that were listed and may not be forgotten yet.
    pending_ends: collections::BTreeSet<u64>,
    /// Highest end that was listed.
    highest_end: u64,
    /// Highest end that the worker was told to forget.
    pub(crate) forgotten_end: u64,
    pub(crate) hold: HoldState,
    /// When everything there has surely ended, if the lease is not renewed any more.
    pub(crate) lapsed_at: time::Instant,
    /// Since when it has not answered.
    pub(crate) silent_since: Option<time::Instant>,
    pub(crate) health: Health,
    pub(crate) pacing: pacing::Pacing,
}

/// The call that renews the lease.
#[derive(Debug, Default)]
pub(crate) struct HoldState {
    /// When the call under way was sent.
    pub(crate) sent_at: Option<time::Instant>,
    /// When the next one is due at the earliest.
    pub(crate) not_before: Option<time::Instant>,
}

/// A run that may exist on a worker.
#[derive(Clone, Debug)]
pub(crate) struct WorkerRun {
    /// What it takes, without what does not count.
    pub(crate) demand: model::Demand,
    /// Whether it uses only processors that others leave idle.
    pub(crate) fills_idle: bool,
    /// Bound of the tail latency of its own users, in milliseconds.
    pub(crate) target_tail_ms: Option<u32>,
    /// Share of idle processors that it has, in percent, if that is known.
    pub(crate) percent: Option<u32>,
    /// Saved progress that it resumes from; every start order of it carries the same.
    pub(crate) checkpoint: Option<sync::Arc<str>>,
    pub(crate) phase: RunPhase,
    /// Since when the run is in this phase.
    pub(crate) since: time::Instant,
    /// Whether a start order may have been received without an answer.
    pub(crate) unanswered: bool,
    /// Start orders sent.
    pub(crate) tries: u32,
    /// Latest progress in percent, and when it last rose.
    pub(crate) progress: Option<(u32, time::Instant)>,
}

/// How far a run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// Its intent is not stored yet: no order has been sent.
    Planned,
    /// A start order is under way.
    Starting,
    /// The start order was not answered; the next one is due at this time.
    Retrying(time::Instant),
    /// The worker has confirmed it.
    Running,
    /// It must not run any more; a stop order is due at this time.
    Stopping(time::Instant),
    /// A stop order was accepted; its end is still to be listed.
    Stopped,
    /// It was started under an earlier leader, and the worker has not been heard since.
    Inherited,
}

/// Whether a worker finishes what it starts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    /// Runs that failed since the last one that was done.
    pub(crate) failures_in_row: u32,
    /// Until when no run is started there, but for trials.
    pub(crate) suspended_until: Option<time::Instant>,
}

/// Failures in a row after which a worker gets no work for a time.
const SUSPEND_AFTER: u32 = 3;
/// First time without work; doubles with each further failure.
const SUSPEND_FIRST: time::Duration = time::Duration::from_millis(1_000);
/// Longest time without work.
const SUSPEND_MAX: time::Duration = time::Duration::from_secs(8);

impl Health {
    pub(crate) fn note_done(&mut self) {
        *self = Self::default();
    }

    /// Notes a failure and returns whether the worker is suspended by it.
    pub(crate) fn note_failed(&mut self, now: time::Instant) -> bool {
        self.failures_in_row += 1;
        let Some(excess) = self.failures_in_row.checked_sub(SUSPEND_AFTER) else {
            return false;
        };
        let pause = SUSPEND_FIRST * 2_u32.saturating_pow(excess.min(8));
        self.suspended_until = Some(now + pause.min(SUSPEND_MAX));
        true
    }

    pub(crate) fn is_suspended(&self, now: time::Instant) -> bool {
        self.suspended_until.is_some_and(|until| now < until)
    }
}

impl Worker {
    /// Creates a life that has not been heard; what it runs ends by `lapsed_at` at the latest.
    pub(crate) fn new(report: Option<worker_api::WorkerReport>, lapsed_at: time::Instant) -> Self {
        Self {
            is_listed: report.is_some(),
            report,
            is_fenced: false,
            clock: None,
            runs: IndexMap::new(),
            used: model::Demand::default(),
            pending_ends: collections::BTreeSet::new(),
            highest_end: 0,
            forgotten_end: 0,
            hold: HoldState::default(),
            lapsed_at,
            silent_since: None,
            health: Health::default(),
            pacing: pacing::Pacing::default(),
        }
    }

    /// Returns whether runs may be started there.
    pub(crate) fn takes_work(&self, now: time::Instant) -> bool {
        self.is_listed
            && self.is_fenced
            && self.silent_since.is_none()
            && self.clock.is_some()
            && !self.health.is_suspended(now)
            && self.report.as_ref().is_some_and(|report| !report.draining)
    }

    /// Returns whether an order is to be sent again, or a run to be stopped.
    pub(crate) fn has_due_orders(&self, now: time::Instant) -> bool {
        self.runs.values().any(|run| match run.phase {
            RunPhase::Retrying(at) | RunPhase::Stopping(at) => at <= now,
            _ => false,
        })
    }

    /// Returns what it has in all.
    pub(crate) fn capacity(&self) -> model::Demand {
        let report = self.report.as_ref();
        report.map_or_else(model::Demand::default, |report| report.capacity)
    }

    /// Returns what is free.
    pub(crate) fn free(&self) -> model::Demand {
        self.capacity().minus(&self.used)
    }

    pub(crate) fn has_label(&self, label: &str) -> bool {
        let report = self.report.as_ref();
        report.is_some_and(|report| report.labels.iter().any(|one| &**one == label))
    }

    /// Adds a run and sets its resources aside.
    pub(crate) fn add_run(&mut self, key: model::RunKey, run: WorkerRun) {
        let demand = run.demand;
        if let Some(before) = self.runs.insert(key, run) {
            self.used = self.used.minus(&before.demand);
        }
        self.used = self.used.plus(&demand);
    }

    /// Removes a run and frees its resources.
    pub(crate) fn remove_run(&mut self, key: &model::RunKey) -> Option<WorkerRun> {
        let run = self.runs.swap_remove(key)?;
        self.used = self.used.minus(&run.demand);
        Some(run)
    }

    /// Notes the worker's clock.
    pub(crate) fn heard(&mut self, clock_ms: i64, now: time::Instant) {
        self.clock = Some((clock_ms, now));
    }

    /// Returns the time on the worker's clock at which a lease given now ends.
    pub(crate) fn lease_end_ms(
        &self,
        run_lease: time::Duration,
        now: time::Instant,
    ) -> Option<i64> {
        let (clock_ms, heard_at) = self.clock?;
        let passed = now.saturating_duration_since(heard_at) + run_lease;
        Some(clock_ms + i64::try_from(passed.as_millis()).unwrap_or(i64::MAX / 2))
    }

    /// Notes how a run ended, as a sign of the worker's health.
    pub(crate) fn note_how(
        &mut self,
        how: worker_api::RunEnd,
        life: &model::WorkerLife,
        now: time::Instant,
    ) {
        if how == worker_api::RunEnd::Done {
            self.health.note_done();
        } else if how == worker_api::RunEnd::Failed && self.health.note_failed(now) {
            log::warn!(
                worker:% = life.worker_id,
                failures_in_row = self.health.failures_in_row;
                "worker suspended, it fails what it starts"
            );
        }
    }

    /// Notes a listed end; returns whether it is new.
    pub(crate) fn note_end(&mut self, sequence: u64) -> bool {
        let is_new = sequence > self.highest_end;
        if is_new {
            self.highest_end = sequence;
            self.pending_ends.insert(sequence);
        }
        is_new
    }

    /// Lets the worker forget an end.
    pub(crate) fn allow_forgetting(&mut self, sequence: u64) {
        self.pending_ends.remove(&sequence);
    }

    /// Returns the highest end that the worker may forget.
    pub(crate) fn forget_up_to(&self) -> u64 {
        let first_pending = self.pending_ends.first();
        first_pending.map_or(self.highest_end, |first| first - 1)
    }

    /// Returns whether ends wait for a commit.
    pub(crate) fn has_pending_ends(&self) -> bool {
        !self.pending_ends.is_empty()
    }
}

impl WorkerRun {
    /// Creates a run in `phase`.
    pub(crate) fn new(demand: model::Demand, phase: RunPhase, now: time::Instant) -> Self {
        Self {
            demand,
            fills_idle: false,
            target_tail_ms: None,
            percent: Some(100),
            checkpoint: None,
            phase,
            since: now,
            unanswered: false,
            tries: 0,
            progress: None,
        }
    }

    /// Sets how the run of a step shares the processors.
    pub(crate) fn of_step(mut self, step: &model::Step) -> Self {
        self.fills_idle = step.fills_idle;
        self.target_tail_ms = step.target_tail_ms;
        self
    }

    /// Sets the saved progress that the run resumes from.
    pub(crate) fn resume_from(mut self, checkpoint: Option<sync::Arc<str>>) -> Self {
        self.checkpoint = checkpoint;
        self
    }

    pub(crate) fn set_phase(&mut self, phase: RunPhase, now: time::Instant) {
        self.phase = phase;
        self.since = now;
    }

    /// Returns whether another start order makes sense.
    pub(crate) fn may_try_again(&self) -> bool {
        self.tries < MAX_START_TRIES
    }
}
