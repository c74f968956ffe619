//! Whether a worker is trusted, by how the runs that it starts go while it reports good health.
//!
//! A worker whose runs fail or stand still, while runs of the same steps do well elsewhere, is
//! quarantined, then tried with little work, and gets more step by step. Everything here takes
//! outcomes and the time, and knows nothing of the scheduler.

use std::time;

/// Blame from which a worker is quarantined: that of two failures of steps that succeed elsewhere, or
/// of three of different steps that have not run elsewhere.
const QUARANTINE_BLAME: f64 = 1.45;
/// Blame of a run that stands still while others of its step go on.
const STALL_BLAME: f64 = 0.8;
/// Half-life of blame and of successes: workers fail for some seconds.
const HALF_LIFE: time::Duration = time::Duration::from_secs(4);
/// First quarantine; doubles each time that the trial after it fails.
const FIRST_QUARANTINE: time::Duration = time::Duration::from_secs(2);
/// Longest quarantine: a worker is to be back soon after its fault has passed.
const MAX_QUARANTINE: time::Duration = time::Duration::from_secs(16);
/// Runs at the same time with which a trial begins, and from which a worker is trusted again; the
/// number doubles once as many have succeeded.
const FIRST_TRIAL_RUNS: u32 = 1;
const TRUSTED_RUNS: u32 = 8;
/// Most blame that a worker gets later for the failures of one step: they are no independent evidence.
const MAX_LATE_BLAME: f64 = 2.0;
/// Most workers of a step for which blame is kept until then.
const MAX_BLAMED_WORKERS: usize = 64;
/// Most tasks of a step that must be done before blame is assigned later; fewer for steps of less than
/// twice as many.
const MAX_NEEDED_DONE: u32 = 16;
/// Time without an ended run after which a worker on trial is trusted again: there may be no work that
/// it may be tried with.
const TRIAL_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// What the outcomes of a worker's runs tell of it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Quality {
    /// Blame and successes at `updated_at`; they fade.
    blame: f64,
    successes: f64,
    /// Blame since the last success of a run that began after a failure; it does not fade.
    blame_in_row: f64,
    failed_at: Option<time::Instant>,
    updated_at: Option<time::Instant>,
    state: State,
    /// The last quarantine; `None` since the worker was trusted again.
    last_quarantine: Option<time::Duration>,
}

/// What a worker may get.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum State {
    /// Anything.
    #[default]
    Trusted,
    /// Nothing until this time.
    Quarantined { until: time::Instant },
    /// As many runs at the same time, of those that start since; no gang.
    Trial {
        runs: u32,
        since: time::Instant,
        /// Runs that have succeeded since `runs` was last raised.
        succeeded: u32,
    },
}

/// A change of what a worker may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Transition {
    Quarantined,
    OnTrial,
    Restored,
}

impl Quality {
    pub(crate) fn state(&self) -> State {
        self.state
    }

    /// Returns the blame at a time.
    pub(crate) fn blame(&self, now: time::Instant) -> f64 {
        self.blame * self.fading(now)
    }

    fn fading(&self, now: time::Instant) -> f64 {
        let age = self
            .updated_at
            .map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        (-age / HALF_LIFE.as_secs_f64()).exp2()
    }

    fn fade(&mut self, now: time::Instant) {
        let fading = self.fading(now);
        self.blame *= fading;
        self.successes *= fading;
        self.updated_at = self.updated_at.max(Some(now));
    }

    /// Records a failed run with its blame, from 0 to 1; see [`blame_of`].
    pub(crate) fn record_failure(&mut self, blame: f64, now: time::Instant) -> Option<Transition> {
        self.record_blame(blame.clamp(0.0, 1.0), now)
    }

    fn record_blame(&mut self, blame: f64, now: time::Instant) -> Option<Transition> {
        self.fade(now);
        self.blame += blame;
        self.blame_in_row += blame;
        self.failed_at = self.failed_at.max(Some(now));
        let is_due = match self.state {
            State::Quarantined { .. } => false,
            // The run may be none of the trial, or its step may fail everywhere.
            State::Trial { .. } => blame >= 1.0 / 3.0,
            State::Trusted => {
                self.blame_in_row >= QUARANTINE_BLAME
                    || self.blame >= QUARANTINE_BLAME && self.blame >= self.successes
            }
        };
        if !is_due {
            return None;
        }
        let pause = self
            .last_quarantine
            .map_or(FIRST_QUARANTINE, |last| last * 2);
        let pause = pause.min(MAX_QUARANTINE);
        self.last_quarantine = Some(pause);
        self.state = State::Quarantined { until: now + pause };
        Some(Transition::Quarantined)
    }

    /// Records blame for failures from before, which the step's other runs have shown since.
    pub(crate) fn record_late_blame(
        &mut self,
        blame: f64,
        now: time::Instant,
    ) -> Option<Transition> {
        match self.state {
            State::Trusted => self.record_blame(blame, now),
            State::Quarantined { .. } | State::Trial { .. } => None,
        }
    }

    /// Records a run that stands still while others of its step go on.
    pub(crate) fn record_stall(&mut self, now: time::Instant) -> Option<Transition> {
        self.record_failure(STALL_BLAME, now)
    }

    /// Records a run that began at `started_at` and has succeeded.
    pub(crate) fn record_success(
        &mut self,
        started_at: time::Instant,
        now: time::Instant,
    ) -> Option<Transition> {
        self.fade(now);
        self.successes += 1.0;
        // Runs from before a fault may go on to their ends.
        if self.failed_at.is_none_or(|at| at <= started_at) {
            self.blame_in_row = 0.0;
        }
        let State::Trial {
            runs,
            since,
            succeeded,
        } = self.state
        else {
            return None;
        };
        if started_at < since {
            return None;
        }
        if succeeded + 1 < runs {
            self.state = State::Trial {
                runs,
                since,
                succeeded: succeeded + 1,
            };
            return None;
        }
        if runs * 2 >= TRUSTED_RUNS {
            return Some(self.restore());
        }
        self.state = State::Trial {
            runs: runs * 2,
            since,
            succeeded: 0,
        };
        None
    }

    /// Ends a quarantine or a trial that is over.
    pub(crate) fn update(&mut self, now: time::Instant) -> Option<Transition> {
        match self.state {
            State::Quarantined { until } if until <= now => {
                self.state = State::Trial {
                    runs: FIRST_TRIAL_RUNS,
                    since: now,
                    succeeded: 0,
                };
                Some(Transition::OnTrial)
            }
            State::Trial { since, .. } => {
                let last = self.updated_at.map_or(since, |at| at.max(since));
                let is_over = now.saturating_duration_since(last) >= TRIAL_TIMEOUT;
                is_over.then(|| self.restore())
            }
            _ => None,
        }
    }

    fn restore(&mut self) -> Transition {
        *self = Self::default();
        Transition::Restored
    }
}

/// Results of a step's other runs when one of its runs fails on a worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StepResults {
    /// Its tasks that are done, and runs on other workers that have outlived the failed one.
    pub(crate) succeeded: u32,
    /// Its runs that have failed on other workers.
    pub(crate) failed_elsewhere: u32,
    /// Its runs that have failed on this worker before.
    pub(crate) failed_here: u32,
}

/// Returns which share of the blame for a failed run is the worker's, from 0 to 1: that of a step which
/// fails everywhere is the step's.
pub(crate) fn blame_of(results: &StepResults) -> f64 {
    let succeeded = f64::from(results.succeeded);
    let failed = f64::from(results.failed_elsewhere);
    let blame = (succeeded + 1.0) / (succeeded + 2.0 * failed + 2.0);
    match results.succeeded {
        // Without any success, more failures of one step tell little more.
        0 => blame / f64::from(results.failed_here.saturating_add(1)),
        _ => blame,
    }
}

/// Blame for failed runs of a step that is assigned to nobody yet, by worker: a fault ends runs within
/// moments, while those on other workers that tell whose fault it is take their time.
#[derive(Debug, Default)]
pub(crate) struct UnassignedBlame(Vec<(model::WorkerId, f64)>);

impl UnassignedBlame {
    /// Adds the part of the blame for a failed run that its worker has not got.
    pub(crate) fn add(&mut self, worker_id: &model::WorkerId, blame: f64) {
        let known = self.0.iter_mut().find(|(known, _)| known == worker_id);
        if let Some((_, sum)) = known {
            *sum = (*sum + blame).min(MAX_LATE_BLAME);
        } else if self.0.len() < MAX_BLAMED_WORKERS {
            self.0.push((worker_id.clone(), blame.min(MAX_LATE_BLAME)));
        }
    }

    /// Takes all of it once enough of the step's `task_count` tasks are done to assign it.
    pub(crate) fn take_due(&mut self, done: u32, task_count: u32) -> Vec<(model::WorkerId, f64)> {
        let needed = (task_count / 2).clamp(1, MAX_NEEDED_DONE);
        match done >= needed {
            true => std::mem::take(&mut self.0),
            false => Vec::new(),
        }
    }
}
