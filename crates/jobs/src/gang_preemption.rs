//! Preemption for gangs: runs of lower priority that save their progress give way to a gang that
//! would otherwise miss its objective.
//!
//! A gang needs the room of several workers at once, which small tasks fill again as soon as it is
//! free. A run with checkpoints loses little when it is stopped and resumes elsewhere.

use std::time;

use crate::advisors;
use crate::candidate;
use crate::event;
use crate::journal;
use crate::maps;
use crate::pass;
use crate::placement;
use crate::reservations;
use crate::scheduler;
use crate::worker;
use crate::workers;

/// Runs are stopped for a gang that has been blocked for its job's objective divided by this: early
/// enough that it still ends in time, and after the ends of other runs could have made room.
const PREEMPT_AFTER_OBJECTIVE_DIVISOR: u64 = 10;
/// Time between two checks of a gang: each looks at all runs of the workers that it may use.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// How long a stop may take until its end is listed.
const STOP_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Most times that runs are stopped for one step; it waits like any other step after that.
const MAX_PREEMPTIONS_PER_STEP: u32 = 2;
/// At most one in this many workers is emptied for gangs at the same time.
const PREEMPTED_WORKERS_DIVISOR: usize = 4;
/// Runs are stopped if the work that is lost is at most the gang's work divided by this.
const MAX_LOST_WORK_DIVISOR: u64 = 4;
/// Work that a stopped run with checkpoints loses at most, with the time to restore it.
const LOST_TIME_MS: u64 = 750;
/// A run that has got so far, in percent, ends about as soon as a stop would.
const NEARLY_DONE_PERCENT: u32 = 85;
/// Most runs that a task may have had before it is no longer stopped for others.
const MAX_RUNS_OF_VICTIM: model::RunNumber = 4;
/// Age from which the state of a step that is no longer checked is dropped.
const STATE_RETENTION: time::Duration = time::Duration::from_secs(10);

/// Gangs for which runs have been stopped or are considered to be.
#[derive(Debug, Default)]
pub(crate) struct GangPreemptions {
    steps: maps::IndexMap<model::StepKey, StepPreemption>,
    /// Runs stopped for gangs, since the term began.
    pub(crate) stopped_runs: u64,
}

#[derive(Debug)]
struct StepPreemption {
    checked_at: time::Instant,
    /// Until when the ends of the stopped runs are awaited, and on how many workers.
    awaited: Option<(time::Instant, usize)>,
    count: u32,
}

impl GangPreemptions {
    /// Returns whether the ends of runs that were stopped for a step are awaited.
    pub(crate) fn is_awaited(&self, key: model::StepKey, now: time::Instant) -> bool {
        let step = self.steps.get(&key);
        step.and_then(|step| step.awaited)
            .is_some_and(|(until, _)| now < until)
    }

    /// Returns whether runs may be stopped for a step now, and records the check.
    fn begin_check(&mut self, key: model::StepKey, now: time::Instant) -> bool {
        let Some(step) = self.steps.get_mut(&key) else {
            self.steps
                .retain(|_, step| now.saturating_duration_since(step.checked_at) < STATE_RETENTION);
            let step = StepPreemption {
                checked_at: now,
                awaited: None,
                count: 0,
            };
            self.steps.insert(key, step);
            return true;
        };
        let is_due = now.saturating_duration_since(step.checked_at) >= CHECK_INTERVAL;
        if is_due {
            step.checked_at = now;
        }
        let is_awaiting = step.awaited.is_some_and(|(until, _)| now < until);
        is_due && !is_awaiting && step.count < MAX_PREEMPTIONS_PER_STEP
    }

    /// Returns the number of workers on which the ends of stopped runs are awaited.
    fn awaited_workers(&self, now: time::Instant) -> usize {
        let awaited = self.steps.values().filter_map(|step| step.awaited);
        awaited
            .filter(|(until, _)| now < *until)
            .map(|(_, workers)| workers)
            .sum()
    }

    /// Records that a step has been placed, so that no ends are awaited for it.
    pub(crate) fn finish(&mut self, key: model::StepKey) {
        if let Some(step) = self.steps.get_mut(&key) {
            step.awaited = None;
        }
    }

    fn record(&mut self, key: model::StepKey, until: time::Instant, workers: usize, runs: usize) {
        if let Some(step) = self.steps.get_mut(&key) {
            step.awaited = Some((until, workers));
            step.count += 1;
        }
        self.stopped_runs += runs as u64;
    }
}

/// A worker that some tasks of a gang fit on once runs there are stopped.
struct Emptied {
    incarnation: model::WorkerIncarnation,
    /// For each number of tasks that fit: the runs to stop, and the work that is lost, in
    /// milliseconds times thousandths of a core.
    levels: Vec<Level>,
    victims: Vec<model::RunKey>,
}

#[derive(Clone, Copy)]
struct Level {
    tasks: u32,
    victims: usize,
    lost_work: u64,
}

impl Emptied {
    fn last_level(&self) -> Level {
        self.levels.last().copied().unwrap_or(Level {
            tasks: 0,
            victims: 0,
            lost_work: 0,
        })
    }

    /// Returns the cheapest level with at least `tasks` tasks, or the last one.
    fn level_for(&self, tasks: u32) -> Level {
        let enough = self.levels.iter().find(|level| level.tasks >= tasks);
        enough.copied().unwrap_or_else(|| self.last_level())
    }

    /// Returns the work that is lost for each task that fits.
    fn lost_per_task(&self) -> u64 {
        let level = self.last_level();
        level.lost_work / u64::from(level.tasks.max(1))
    }
}

/// Returns the workers to use, each with the level to empty it to, so that `task_count` tasks fit and
/// little work is lost; `None` if they do not fit.
fn choose(mut workers: Vec<Emptied>, task_count: u32) -> Option<Vec<(Emptied, Level)>> {
    workers.sort_by_key(|one| (one.lost_per_task(), u32::MAX - one.last_level().tasks));
    let mut missing = task_count;
    let mut chosen = Vec::new();
    for worker in workers {
        if missing == 0 {
            break;
        }
        let level = worker.level_for(missing);
        if level.tasks > 0 {
            missing = missing.saturating_sub(level.tasks);
            chosen.push((worker, level));
        }
    }
    (missing == 0).then_some(chosen)
}

impl scheduler::Scheduler {
    /// Stops runs of lower priority for a gang that has been blocked for long, if it can still end in
    /// time and little work is lost.
    pub(crate) fn preempt_for_gang(
        &mut self,
        key: model::StepKey,
        pass: &pass::Pass,
        clock: event::Clock,
    ) {
        let Some(context) = self.step_context(key).filter(|one| one.step.gang) else {
            return;
        };
        let patience = context.objective_ms / PREEMPT_AFTER_OBJECTIVE_DIVISOR;
        let waited = context.blocked_for(clock);
        let is_due = waited >= time::Duration::from_millis(patience);
        if !is_due || !self.is_in_time(key, clock) {
            return;
        }
        if !self.gang_preemptions.begin_check(key, clock.now) {
            return;
        }
        let Some(context) = self.step_context(key) else {
            return;
        };
        let (step, advice) = (context.step, context.queue.advice);
        let demand = workers::counted_demand(step);
        let gang_work = u64::from(demand.processors_milli)
            * u64::from(step.task_count)
            * u64::from(step.estimated_ms);
        let emptied = self.emptied_workers(&context, &demand, pass, clock);
        let Some(chosen) = choose(emptied, step.task_count) else {
            return;
        };
        let lost_work: u64 = chosen.iter().map(|(_, level)| level.lost_work).sum();
        let limit = self.workers.len() / PREEMPTED_WORKERS_DIVISOR;
        let awaited = self.gang_preemptions.awaited_workers(clock.now);
        let is_within_limit = awaited == 0 || awaited + chosen.len() <= limit;
        if lost_work > gang_work / MAX_LOST_WORK_DIVISOR || !is_within_limit {
            return;
        }
        let mut until = clock.now + STOP_TIME;
        let mut expired = Vec::new();
        if let Some(terms) = advice {
            let tickets = &context.step_state.tickets;
            let ids = chosen.iter().map(|(one, _)| &one.incarnation.worker_id);
            let needed = ids.filter(|id| tickets.valid_token(id, until).is_none());
            expired = needed.cloned().collect();
            let has_call = tickets.has_call_in_flight();
            let may_call = !has_call && self.advisors.can_take_gang_call(&terms, clock.now);
            if !expired.is_empty() && !may_call {
                return;
            }
            until += advisors::call_duration(&terms, expired.len());
        }
        let task_count = step.task_count;
        let mut reserved = Vec::new();
        let mut stopped = Vec::new();
        let mut missing = task_count;
        for (worker, level) in &chosen {
            let tasks = level.tasks.min(missing);
            missing -= tasks;
            reserved.extend(std::iter::repeat_n(
                worker.incarnation.clone(),
                tasks as usize,
            ));
            let victims = worker.victims.iter().take(level.victims);
            stopped.extend(victims.map(|run| (worker.incarnation.clone(), *run)));
        }
        log::info!(
            job:% = journal::job_id_hex(key.job_id),
            step = key.step,
            tasks = task_count,
            workers = chosen.len(),
            stopped_runs = stopped.len(),
            lost_core_ms = lost_work / 1_000,
            waited_ms = waited.as_millis() as u64,
            renewed_tickets = expired.len();
            "runs stopped to free capacity for a gang"
        );
        self.gang_preemptions
            .record(key, until, chosen.len(), stopped.len());
        // More urgent steps may use the room: they would otherwise wait for as long as the gang is wide.
        self.reservations.reserve(
            key,
            &reserved,
            &demand,
            reservations::Exclusivity::LaterSteps,
            until,
        );
        for (incarnation, run) in stopped {
            self.stop_run(&incarnation, run, clock);
        }
        if let Some(terms) = advice.filter(|_| !expired.is_empty()) {
            self.request_gang_advice(key, terms, &expired, clock);
        }
    }

    /// Returns for each worker that a gang may use which runs must be stopped to fit its tasks.
    fn emptied_workers(
        &self,
        context: &placement::StepContext<'_>,
        demand: &model::Demand,
        pass: &pass::Pass,
        clock: event::Clock,
    ) -> Vec<Emptied> {
        let priority = context.queue.priority;
        let usable = self.allowed_workers(context, pass, clock);
        let emptied = usable.into_iter().filter_map(|one| {
            let worker = self.workers.get(one.incarnation)?;
            let reserved = worker.free().minus(&one.free);
            let mut victims: Vec<_> = worker
                .runs
                .iter()
                .filter(|(key, run)| self.gives_way(**key, run, priority, clock))
                .map(|(key, run)| (lost_work(run, clock), *key, run.demand))
                .collect();
            victims.sort_by_key(|(lost_work, ..)| *lost_work);
            let fitting = |used: &model::Demand| {
                let free = worker.free_beside(used).minus(&reserved);
                candidate::count_fitting(demand, &free).min(one.task_limit)
            };
            let mut used = worker.used;
            let mut level = Level {
                tasks: fitting(&used),
                victims: 0,
                lost_work: 0,
            };
            let mut levels = vec![level];
            for (index, (lost_work, _, freed)) in victims.iter().enumerate() {
                used = used.minus(freed);
                level.lost_work += lost_work;
                level.victims = index + 1;
                if fitting(&used) > level.tasks {
                    level.tasks = fitting(&used);
                    levels.push(level);
                }
            }
            (level.tasks > 0).then(|| Emptied {
                incarnation: one.incarnation.clone(),
                levels,
                victims: victims.into_iter().map(|(_, key, _)| key).collect(),
            })
        });
        emptied.collect()
    }

    /// Returns whether a run may be stopped for a gang of `priority`: it has a lower priority, saves its
    /// progress, and its job has time left.
    fn gives_way(
        &self,
        key: model::RunKey,
        run: &worker::WorkerRun,
        priority: u32,
        clock: event::Clock,
    ) -> bool {
        let Some(state) = self.jobs.get(&key.task.job_id) else {
            return false;
        };
        let Some((step, _)) = state.step(key.task.step_key()) else {
            return false;
        };
        let is_nearly_done = run
            .progress
            .is_some_and(|(percent, _)| percent >= NEARLY_DONE_PERCENT);
        let waited_ms = clock.wall_ms.saturating_sub(state.accepted_at_ms);
        run.phase == worker::RunPhase::Running
            && step.checkpointing
            && !step.gang
            && !step.long_running
            && !is_nearly_done
            && key.run <= MAX_RUNS_OF_VICTIM
            && Self::queue_of(&self.manifest, state).priority > priority
            && 2 * waited_ms < state.objective_ms
    }

    /// Returns whether the job of a step is owed to its tenant and can still end in time.
    fn is_in_time(&self, key: model::StepKey, clock: event::Clock) -> bool {
        let Some(state) = self.jobs.get(&key.job_id) else {
            return false;
        };
        let Some((step, _)) = state.step(key) else {
            return false;
        };
        let due_at_ms = state.occurrences.get(key.occurrence as usize);
        let due_at_ms = due_at_ms.and_then(|one| one.due_at_ms);
        let since_ms = due_at_ms.unwrap_or(state.accepted_at_ms);
        let ends_at_ms = clock.wall_ms + u64::from(step.estimated_ms);
        let is_beyond_rate = state.is_beyond_rate && self.tenancy.is_active;
        !is_beyond_rate && ends_at_ms.saturating_sub(since_ms) < state.objective_ms
    }
}

/// Returns the work that is lost when a run is stopped, in milliseconds times thousandths of a core.
fn lost_work(run: &worker::WorkerRun, clock: event::Clock) -> u64 {
    let worked = clock.now.saturating_duration_since(run.since).as_millis() as u64;
    worked.min(LOST_TIME_MS) * u64::from(run.demand.processors_milli)
}
