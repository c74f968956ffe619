//! Observes the speeds of the workers by what they list, and keeps the estimates.
//!
//! The estimates are in the leader's memory only; a new leader begins without any.

use std::time;

use crate::event;
use crate::job;
use crate::maps;
use crate::runs;
use crate::scheduler;
use crate::speed;
use crate::worker;
use crate::worker_api;

/// Time between two updates of the levels of all workers: evidence fades within seconds.
const REFRESH_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Steady evidence from which a worker counts for the usual speed of its pool, in tasks.
const CENTRE_MIN_EVIDENCE: f64 = 2.0;
/// Fewest such workers of a pool; with fewer, the usual speed is the logarithm 0.
const CENTRE_MIN_WORKERS: usize = 3;
/// Most workers that have left of which the estimate is kept for their next incarnation.
const MAX_DEPARTED: usize = 1_024;
/// Levels by which a worker's speed must change for a log line.
const LOGGED_LEVEL_CHANGE: u8 = 2;
/// Most such lines in `LOG_INTERVAL`.
const MAX_LOGGED_CHANGES: u32 = 20;
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// The speed of one incarnation of a worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorkerSpeed {
    pub(crate) estimate: speed::Estimate,
    /// Logarithm of the usual speed of its pool at the last update.
    centre: f64,
    /// The level when it was last updated; 0 is the usual speed.
    pub(crate) level: i8,
    logged_level: i8,
}

impl WorkerSpeed {
    /// Returns the speed that the next incarnation begins with.
    pub(crate) fn inherited(&self) -> Self {
        Self {
            estimate: self.estimate.inherited(),
            centre: self.centre,
            ..Self::default()
        }
    }

    /// Adds a measurement of a run to the recent evidence; returns the rate for its step.
    fn observe(
        &mut self,
        measured: &speed::Measurement,
        baseline: Option<&speed::Baseline>,
        now: time::Instant,
    ) -> speed::MeasuredRate {
        let rate = speed::MeasuredRate {
            log_rate: measured.log_rate,
            log_speed: self.log_speed(now),
            coverage: measured.percent / 100.0,
        };
        if let Some(baseline) = baseline {
            let observation = measured.observation(baseline);
            self.estimate.observe_recent(&observation, now);
            self.update_level(now);
        }
        rate
    }

    fn update_level(&mut self, now: time::Instant) {
        self.level = self.estimate.level(self.centre, now);
    }

    /// Returns the logarithm of the speed relative to the usual one of the pool.
    fn log_speed(&self, now: time::Instant) -> f64 {
        self.estimate.log_speed(now) - self.centre
    }
}

/// State of the estimates besides what is kept at each worker.
#[derive(Debug, Default)]
pub(crate) struct SpeedTracking {
    refreshed_at: Option<time::Instant>,
    /// Whether the levels of the workers differed at the last update.
    pub(crate) are_levels_distinct: bool,
    /// Workers that have left, in the order of their leaving.
    departed: maps::IndexMap<model::WorkerId, WorkerSpeed>,
    /// Numbers of workers above and below the usual speed at the last update.
    pub(crate) fast_workers: usize,
    pub(crate) slow_workers: usize,
    /// Observations since the term began.
    pub(crate) observations: u64,
    /// Runs planned on workers below the usual speed, since the term began.
    pub(crate) planned_on_slow: u64,
    log_interval_started_at: Option<time::Instant>,
    logged: u32,
    dropped_lines: u64,
}

impl SpeedTracking {
    /// Keeps the estimate of a worker that has left, for its next incarnation.
    pub(crate) fn keep_departed(&mut self, worker_id: &model::WorkerId, speed: WorkerSpeed) {
        if speed.estimate.observations == 0 {
            return;
        }
        self.departed.shift_remove(worker_id);
        if self.departed.len() >= MAX_DEPARTED {
            self.departed.shift_remove_index(0);
        }
        self.departed.insert(worker_id.clone(), speed);
    }

    /// Returns the speed that an incarnation begins with after those that have left.
    pub(crate) fn take_inherited(&mut self, worker_id: &model::WorkerId) -> Option<WorkerSpeed> {
        let departed = self.departed.shift_remove(worker_id)?;
        Some(departed.inherited())
    }

    /// Returns whether another log line about a level may be written now.
    pub(crate) fn may_log(&mut self, now: time::Instant) -> bool {
        let since = *self.log_interval_started_at.get_or_insert(now);
        if now.saturating_duration_since(since) >= LOG_INTERVAL {
            if self.dropped_lines > 0 {
                log::info!(
                    lines = self.dropped_lines;
                    "log lines about speeds of workers left out"
                );
            }
            (
                self.log_interval_started_at,
                self.logged,
                self.dropped_lines,
            ) = (Some(now), 0, 0);
        }
        let may_log = self.logged < MAX_LOGGED_CHANGES;
        self.logged += u32::from(may_log);
        self.dropped_lines += u64::from(!may_log);
        may_log
    }
}

/// Returns whether runs of a step show the speed of their workers.
///
/// Long-running tasks make no progress, best-effort ones get what others leave idle, and the members of a
/// gang go on together.
fn shows_speed(step: &model::Step) -> bool {
    !step.long_running && !step.fills_idle && !step.gang
}

impl scheduler::Scheduler {
    /// Returns the speed that a new incarnation of a worker begins with; `earlier` is the one listed
    /// before.
    pub(crate) fn inherited_speed(
        &mut self,
        earlier: Option<&model::WorkerIncarnation>,
        worker_id: &model::WorkerId,
    ) -> WorkerSpeed {
        let departed = self.speeds.take_inherited(worker_id);
        let earlier = earlier.and_then(|earlier| self.workers.get(earlier));
        let earlier = earlier.map(|worker| worker.speed.inherited());
        earlier.or(departed).unwrap_or_default()
    }

    /// Measures a run that a worker listed as running at `seen_at`.
    pub(crate) fn observe_progress(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        row: &worker_api::RunningRow,
        seen_at: time::Instant,
    ) {
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        let Some(run) = worker.runs.get_mut(&row.run) else {
            return;
        };
        if run.phase != worker::RunPhase::Running || !run.pace.is_due(seen_at) {
            return;
        }
        let task = row.run.task;
        let Some((step, step_state)) = measurable_step(&mut self.jobs, task) else {
            return;
        };
        let (worker_id, rates) = (&incarnation.worker_id, &mut step_state.rates);
        let baseline = rates.baseline(task.index, step.task_count, worker_id, seen_at);
        let measured = run.pace.measure(row.percent, baseline.as_ref(), seen_at);
        let Some(measured) = measured else {
            return;
        };
        let rate = worker.speed.observe(&measured, baseline.as_ref(), seen_at);
        rates.record(task.index, step.task_count, worker_id, &rate, seen_at);
        self.speeds.are_levels_distinct |= worker.speed.level != 0;
        if measured.is_new_stall {
            log::info!(
                run:% = runs::run_name(row.run),
                worker:% = incarnation.worker_id,
                percent = row.percent,
                expected_percent = measured.expected_percent.unwrap_or_default().round() as u64;
                "run makes no progress while others of its step do"
            );
            self.judge_stall(incarnation, seen_at);
        }
    }

    /// Measures a run that a worker listed as ended at `seen_at`; to be called before the end is
    /// applied.
    pub(crate) fn observe_end(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        row: &worker_api::EndedRow,
        seen_at: time::Instant,
    ) {
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        let Some(run) = worker.runs.get(&row.run) else {
            return;
        };
        if row.end != worker_api::RunEnd::Done {
            return;
        }
        let task = row.run.task;
        let Some((step, step_state)) = measurable_step(&mut self.jobs, task) else {
            return;
        };
        let (worker_id, rates) = (&incarnation.worker_id, &mut step_state.rates);
        let baseline = rates.baseline(task.index, step.task_count, worker_id, seen_at);
        let measured = run.pace.measure_end(baseline.as_ref(), seen_at);
        let rate = measured.map(|measured| {
            let speed = &mut worker.speed;
            speed.observe(&measured, baseline.as_ref(), seen_at)
        });
        self.speeds.are_levels_distinct |= worker.speed.level != 0;
        let task_count = step.task_count;
        let batch = rates.record_end(task.index, task_count, worker_id, rate.as_ref(), seen_at);
        self.apply_batch(batch, seen_at);
    }

    /// Adds a batch of comparisons within a step to the steady evidence of the workers.
    fn apply_batch(
        &mut self,
        batch: Vec<(model::WorkerId, speed::Observation)>,
        now: time::Instant,
    ) {
        for (worker_id, observation) in batch {
            let incarnation = self.newest_incarnations.get(&worker_id);
            let worker = incarnation.and_then(|one| self.workers.get_mut(one));
            let Some(worker) = worker else {
                continue;
            };
            worker.speed.estimate.observe_steady(&observation, now);
            worker.speed.update_level(now);
            self.speeds.are_levels_distinct |= worker.speed.level != 0;
            self.speeds.observations += 1;
        }
    }

    /// Updates the levels of all workers if that is due: evidence fades, and the usual speed of a
    /// pool changes.
    pub(crate) fn refresh_speeds(&mut self, clock: event::Clock) {
        let now = clock.now;
        let is_due = self
            .speeds
            .refreshed_at
            .is_none_or(|at| now.saturating_duration_since(at) >= REFRESH_INTERVAL);
        if !is_due {
            return;
        }
        self.speeds.refreshed_at = Some(now);
        self.refresh_quarantines(clock);
        let centres = self.usual_speeds(now);
        let speeds = &mut self.speeds;
        (speeds.fast_workers, speeds.slow_workers) = (0, 0);
        let mut first_level = None;
        speeds.are_levels_distinct = false;
        for (incarnation, worker) in &mut self.workers {
            let pool = worker.report.as_ref().map(|report| &report.pool);
            let centre = pool.and_then(|pool| centres.get(pool));
            let speed = &mut worker.speed;
            speed.centre = centre.copied().unwrap_or_default();
            speed.update_level(now);
            let level = speed.level;
            speeds.fast_workers += usize::from(level > 0);
            speeds.slow_workers += usize::from(level < 0);
            speeds.are_levels_distinct |= *first_level.get_or_insert(level) != level;
            let change = speed.logged_level.abs_diff(level);
            if change >= LOGGED_LEVEL_CHANGE && speeds.may_log(now) {
                let age = speed.estimate.age(now).unwrap_or_default();
                log::info!(
                    worker:% = incarnation.worker_id,
                    percent_of_usual = (100.0 * speed::speed_of(level)).round() as u64,
                    evidence_tasks = speed.estimate.evidence(now).round() as u64,
                    observations = speed.estimate.observations,
                    age_ms = age.as_millis() as u64;
                    "speed of a worker has changed"
                );
                speed.logged_level = level;
            }
        }
    }

    /// Returns the logarithm of the usual speed of each pool: the median of its workers.
    ///
    /// Speeds are relative, so that all of them could drift together without it.
    fn usual_speeds(&self, now: time::Instant) -> maps::HashMap<model::PoolName, f64> {
        let mut by_pool: maps::HashMap<model::PoolName, Vec<f64>> = maps::HashMap::default();
        for worker in self.workers.values() {
            let Some(report) = &worker.report else {
                continue;
            };
            let estimate = &worker.speed.estimate;
            if estimate.evidence(now) >= CENTRE_MIN_EVIDENCE {
                let speeds = by_pool.entry(report.pool.clone()).or_default();
                speeds.push(estimate.raw_log_speed(now));
            }
        }
        by_pool.retain(|_, speeds| speeds.len() >= CENTRE_MIN_WORKERS);
        let medians = by_pool.into_iter().map(|(pool, mut speeds)| {
            let middle = speeds.len() / 2;
            let (_, median, _) = speeds.select_nth_unstable_by(middle, f64::total_cmp);
            (pool, *median)
        });
        medians.collect()
    }
}

/// Returns the step of a task, unless its runs do not show the speed of their workers.
fn measurable_step(
    jobs: &mut maps::IndexMap<model::JobId, job::JobState>,
    task: model::TaskKey,
) -> Option<(&model::Step, &mut job::StepState)> {
    let state = jobs.get_mut(&task.job_id)?;
    let found = state.step_mut(task.step_key())?;
    shows_speed(found.0).then_some(found)
}
