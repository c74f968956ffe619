//! Workers that fail or stall what they start are avoided for some time, as far as their pool allows.

use std::time;

use crate::event;
use crate::job;
use crate::maps;
use crate::scheduler;
use crate::speed_tracking;
use crate::worker;
use crate::worker_api;
use crate::worker_quality;

/// At most one in this many workers of a pool is quarantined or on trial at a time, so that wrong
/// evidence does not empty the pool: up to one in seven are slow and one in twelve fail together.
const RESTRICTED_WORKERS_DIVISOR: usize = 4;

/// Time by which a run must have outlived a failed one, besides half of the latter's: listings of
/// workers are as far apart when much ends.
const OUTLIVING_MARGIN: time::Duration = time::Duration::from_millis(200);
/// Most tasks of a step that are examined when one of its runs fails.
const MAX_EXAMINED_TASKS: usize = 64;

/// Workers of the pools that are quarantined or on trial.
#[derive(Debug, Default)]
pub(crate) struct Quarantines {
    pools: maps::HashMap<model::PoolName, PoolRestrictions>,
    /// Numbers of workers that were quarantined and on trial at the last update.
    pub(crate) quarantined: usize,
    pub(crate) on_trial: usize,
    /// Quarantines since the term began.
    pub(crate) count: u64,
    /// Quarantines that were put off as enough workers of the pool were avoided, since then.
    pub(crate) put_off: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct PoolRestrictions {
    limit: usize,
    restricted: usize,
}

impl worker::Worker {
    /// Returns how many runs of a step it may get besides those that it has; `None` if it must not get
    /// any, whatever its capacity.
    pub(crate) fn trial_limit(&self, step: &model::Step) -> Option<u32> {
        if !self.is_restricted {
            return Some(u32::MAX);
        }
        match self.quality.state() {
            worker_quality::State::Trusted => Some(u32::MAX),
            worker_quality::State::Quarantined { .. } => None,
            worker_quality::State::Trial { .. } if step.gang || step.long_running => None,
            worker_quality::State::Trial { runs, since, .. } => {
                let tried = self.runs.values().filter(|run| run.planned_at >= since);
                let tried = u32::try_from(tried.count()).unwrap_or(u32::MAX);
                Some(runs.saturating_sub(tried))
            }
        }
    }
}

impl scheduler::Scheduler {
    /// Records how a run ended, for the quality of its worker; to be called before the end is applied.
    pub(crate) fn judge_end(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        row: &worker_api::EndedRow,
        now: time::Instant,
    ) {
        let task = row.run.task;
        let state = self.jobs.get(&task.job_id);
        let Some((step, step_state)) = state.and_then(|one| one.step(task.step_key())) else {
            return;
        };
        if step.long_running {
            return;
        }
        let worker = self.workers.get(incarnation);
        let run = worker.and_then(|worker| worker.runs.get(&row.run));
        let Some(planned_at) = run.map(|run| run.planned_at) else {
            return;
        };
        match row.end {
            worker_api::RunEnd::Done => {
                let worker = self.workers.get_mut(incarnation);
                let transition =
                    worker.and_then(|worker| worker.quality.record_success(planned_at, now));
                self.apply_transition(incarnation, transition, now);
                self.assign_late_blame(task, now);
            }
            worker_api::RunEnd::Failed => {
                let outlived =
                    self.outliving_runs(incarnation, row.run, step_state, planned_at, now);
                let results = results_of(step_state, &incarnation.worker_id, outlived);
                let blame = worker_quality::blame_of(&results);
                if let Some(step_state) = step_state_mut(&mut self.jobs, task) {
                    let unassigned = &mut step_state.unassigned_blame;
                    unassigned.add(&incarnation.worker_id, 1.0 - blame);
                }
                let worker = self.workers.get_mut(incarnation);
                let transition = worker.and_then(|one| one.quality.record_failure(blame, now));
                self.apply_transition(incarnation, transition, now);
            }
            _ => {}
        }
    }

    /// Assigns the blame for earlier failures of a step, of which one more task is done now, once that
    /// shows whose fault they were.
    fn assign_late_blame(&mut self, task: model::TaskKey, now: time::Instant) {
        let state = self.jobs.get_mut(&task.job_id);
        let Some((step, step_state)) = state.and_then(|one| one.step_mut(task.step_key())) else {
            return;
        };
        let done = match step.gang {
            true => step.task_count,
            false => step_state.done_count + 1,
        };
        let due = step_state.unassigned_blame.take_due(done, step.task_count);
        for (worker_id, blame) in due {
            let state = self.jobs.get(&task.job_id);
            let Some((_, step_state)) = state.and_then(|one| one.step(task.step_key())) else {
                return;
            };
            let results = worker_quality::StepResults {
                succeeded: done,
                failed_here: 0,
                ..results_of(step_state, &worker_id, 0)
            };
            let Some(incarnation) = self.newest_incarnations.get(&worker_id).cloned() else {
                continue;
            };
            let blame = blame * worker_quality::blame_of(&results);
            let worker = self.workers.get_mut(&incarnation);
            let transition = worker.and_then(|one| one.quality.record_late_blame(blame, now));
            self.apply_transition(&incarnation, transition, now);
        }
    }

    /// Returns how many runs of a step on other workers have gone on for clearly longer than one that has
    /// failed.
    fn outliving_runs(
        &self,
        incarnation: &model::WorkerIncarnation,
        failed: model::RunKey,
        step_state: &job::StepState,
        planned_at: time::Instant,
        now: time::Instant,
    ) -> u32 {
        let lifetime = now.saturating_duration_since(planned_at);
        let outlived = lifetime + lifetime / 2 + OUTLIVING_MARGIN;
        let tasks = step_state.tasks.iter().zip(0..).take(MAX_EXAMINED_TASKS);
        let outliving = tasks.filter(|(task, index)| {
            let job::Phase::Placed(elsewhere) = &task.phase else {
                return false;
            };
            let key = model::RunKey {
                task: model::TaskKey {
                    index: *index,
                    ..failed.task
                },
                run: task.last_run,
            };
            let worker = self
                .workers
                .get(elsewhere)
                .filter(|_| elsewhere != incarnation);
            let run = worker.and_then(|worker| worker.runs.get(&key));
            run.is_some_and(|run| {
                run.phase == worker::RunPhase::Running
                    && now.saturating_duration_since(run.planned_at) >= outlived
            })
        });
        u32::try_from(outliving.count()).unwrap_or(u32::MAX)
    }

    /// Records that a run on a worker stands still.
    pub(crate) fn judge_stall(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        now: time::Instant,
    ) {
        if let Some(worker) = self.workers.get_mut(incarnation) {
            let transition = worker.quality.record_stall(now);
            self.apply_transition(incarnation, transition, now);
        }
    }

    /// Applies a change of what a worker may get, unless enough workers of its pool are avoided.
    fn apply_transition(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        transition: Option<worker_quality::Transition>,
        now: time::Instant,
    ) {
        let Some(transition) = transition else {
            return;
        };
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        self.placement_needed = true;
        let pool = worker.report.as_ref().map(|report| &report.pool);
        let in_pool = pool.and_then(|pool| self.quarantines.pools.get_mut(pool));
        if transition == worker_quality::Transition::Quarantined {
            self.quarantines.count += 1;
            let in_pool = in_pool.filter(|one| one.restricted < one.limit);
            match in_pool {
                Some(in_pool) if !worker.is_restricted => {
                    in_pool.restricted += 1;
                    worker.is_restricted = true;
                }
                None if !worker.is_restricted => self.quarantines.put_off += 1,
                _ => {}
            }
        } else if transition == worker_quality::Transition::Restored && worker.is_restricted {
            worker.is_restricted = false;
            if let Some(in_pool) = in_pool {
                in_pool.restricted = in_pool.restricted.saturating_sub(1);
            }
        }
        log_transition(&mut self.speeds, incarnation, worker, transition, now);
    }

    /// Ends quarantines that are over, and determines anew which workers are avoided: as many of a pool
    /// as may be, those first that are avoided already.
    pub(crate) fn refresh_quarantines(&mut self, clock: event::Clock) {
        let mut pools: maps::HashMap<model::PoolName, PoolRestrictions> = maps::HashMap::default();
        let mut wanted = Vec::new();
        let mut transitions = Vec::new();
        (self.quarantines.quarantined, self.quarantines.on_trial) = (0, 0);
        for (index, (incarnation, worker)) in self.workers.iter_mut().enumerate() {
            if let Some(transition) = worker.quality.update(clock.now) {
                transitions.push((incarnation.clone(), transition));
            }
            let report = worker.report.as_ref();
            let Some(report) = report.filter(|_| worker.is_listed && worker.silent_since.is_none())
            else {
                worker.is_restricted = false;
                continue;
            };
            let in_pool = match pools.get_mut(&report.pool) {
                Some(in_pool) => in_pool,
                None => pools.entry(report.pool.clone()).or_default(),
            };
            // The number of workers until all are counted.
            in_pool.limit += 1;
            match worker.quality.state() {
                worker_quality::State::Trusted => worker.is_restricted = false,
                worker_quality::State::Quarantined { .. } => {
                    self.quarantines.quarantined += 1;
                    wanted.push((!worker.is_restricted, index));
                }
                worker_quality::State::Trial { .. } => {
                    self.quarantines.on_trial += 1;
                    wanted.push((!worker.is_restricted, index));
                }
            }
        }
        for in_pool in pools.values_mut() {
            in_pool.limit /= RESTRICTED_WORKERS_DIVISOR;
        }
        wanted.sort_unstable();
        for (_, index) in wanted {
            let Some((_, worker)) = self.workers.get_index_mut(index) else {
                continue;
            };
            let pool = worker.report.as_ref().map(|report| &report.pool);
            if let Some(in_pool) = pool.and_then(|pool| pools.get_mut(pool)) {
                worker.is_restricted = in_pool.restricted < in_pool.limit;
                in_pool.restricted += usize::from(worker.is_restricted);
            }
        }
        self.quarantines.pools = pools;
        for (incarnation, transition) in transitions {
            self.placement_needed = true;
            if let Some(worker) = self.workers.get(&incarnation) {
                log_transition(
                    &mut self.speeds,
                    &incarnation,
                    worker,
                    transition,
                    clock.now,
                );
            }
        }
    }
}

/// Returns the results of a step's other runs for a run that fails on a worker.
fn results_of(
    step_state: &job::StepState,
    worker_id: &model::WorkerId,
    outlived: u32,
) -> worker_quality::StepResults {
    let failed_here = step_state.failures_on(worker_id);
    let failed: u32 = step_state.failures_by_worker.values().sum();
    worker_quality::StepResults {
        succeeded: step_state.done_count.saturating_add(outlived),
        failed_elsewhere: failed - failed_here,
        failed_here,
    }
}

fn log_transition(
    speeds: &mut speed_tracking::SpeedTracking,
    incarnation: &model::WorkerIncarnation,
    worker: &worker::Worker,
    transition: worker_quality::Transition,
    now: time::Instant,
) {
    if !speeds.may_log(now) {
        return;
    }
    match transition {
        worker_quality::Transition::Quarantined => log::warn!(
            worker:% = incarnation.worker_id,
            blame_percent = (100.0 * worker.quality.blame(now)).round() as u64,
            runs = worker.runs.len(),
            is_avoided = worker.is_restricted;
            "worker quarantined, as its runs fail or stand still"
        ),
        worker_quality::Transition::OnTrial => log::info!(
            worker:% = incarnation.worker_id,
            is_avoided = worker.is_restricted;
            "worker on trial after its quarantine"
        ),
        worker_quality::Transition::Restored => log::info!(
            worker:% = incarnation.worker_id;
            "worker trusted again"
        ),
    }
}

fn step_state_mut(
    jobs: &mut maps::IndexMap<model::JobId, job::JobState>,
    task: model::TaskKey,
) -> Option<&mut job::StepState> {
    let (_, step_state) = jobs.get_mut(&task.job_id)?.step_mut(task.step_key())?;
    Some(step_state)
}
