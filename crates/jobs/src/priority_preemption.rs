//! Preemption by priority: runs of lower priority that save their progress give way to a step that would
//! otherwise miss its objective.
//!
//! A gang needs the room of several workers at once, which small tasks fill again as soon as it is free,
//! and urgent short work that arrives in a burst meets workers full of long work. A run with checkpoints
//! loses little when it is stopped and resumes elsewhere.

use std::iter;
use std::time;

use crate::advisors;
use crate::candidate;
use crate::event;
use crate::journal;
use crate::manifest;
use crate::maps;
use crate::pass;
use crate::placement;
use crate::reservations;
use crate::scheduler;
use crate::worker;
use crate::workers;

/// Runs are stopped for a step that has been blocked for its job's objective divided by this: early
/// enough that it still ends in time, and after the ends of other runs could have made room.
const PREEMPT_AFTER_OBJECTIVE_DIVISOR: u64 = 10;
/// Time between two checks of a step: each looks at all runs of the workers that it may use.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// How long a stop may take until its end is listed.
const STOP_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Most times that runs are stopped for one step; it waits like any other step after that.
const MAX_PREEMPTIONS_PER_STEP: u32 = 2;
/// At most one in this many workers is emptied for others at the same time.
const PREEMPTED_WORKERS_DIVISOR: usize = 4;
/// Runs are stopped if the work that is lost is at most that of the waiting tasks divided by this.
const MAX_LOST_WORK_DIVISOR: u64 = 2;
/// Work that a stopped run with checkpoints loses at most, with the time to restore it.
const LOST_TIME_MS: u64 = 750;
/// A run that has got so far, in percent, ends about as soon as a stop would.
const NEARLY_DONE_PERCENT: u32 = 85;
/// Most runs that a task may have had before it is no longer stopped for others.
const MAX_RUNS_OF_VICTIM: model::RunNumber = 4;
/// Age from which the state of a step that is no longer checked is dropped.
const STATE_RETENTION: time::Duration = time::Duration::from_secs(10);

/// Steps for which runs have been stopped or are considered to be.
#[derive(Debug, Default)]
pub(crate) struct PriorityPreemptions {
    steps: maps::IndexMap<model::StepKey, StepPreemption>,
    /// Runs stopped for steps of a higher priority, since the term began.
    pub(crate) stopped_runs: u64,
}

#[derive(Debug)]
struct StepPreemption {
    checked_at: time::Instant,
    /// Until when the ends of the stopped runs are awaited, and on how many workers.
    awaited: Option<(time::Instant, usize)>,
    count: u32,
}

impl PriorityPreemptions {
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

/// A worker that some tasks of a step fit on once runs there are stopped.
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

/// The runs to stop for a step.
struct PreemptionPlan {
    demand: model::Demand,
    advice: Option<manifest::AdviceTerms>,
    /// The workers with room for the step's tasks then, once for each task.
    reserved: Vec<model::WorkerIncarnation>,
    stopped: Vec<(model::WorkerIncarnation, model::RunKey)>,
    worker_count: usize,
    /// Work that is lost, in milliseconds times thousandths of a core.
    lost_work: u64,
    /// Workers whose tickets expire before the room is free.
    expired_tickets: Vec<model::WorkerId>,
    /// When the room is free at the latest.
    until: time::Instant,
}

/// Returns the workers to use, each with the level to empty it to, so that up to `wanted` tasks fit and
/// little work is lost; none if fewer than `least` tasks would fit.
fn choose(mut workers: Vec<Emptied>, wanted: u32, least: u32) -> Vec<(Emptied, Level)> {
    workers.sort_by_key(|one| (one.lost_per_task(), u32::MAX - one.last_level().tasks));
    let mut missing = wanted;
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
    match wanted - missing >= least {
        true => chosen,
        false => Vec::new(),
    }
}

impl scheduler::Scheduler {
    /// Stops runs of lower priority for a step that has been blocked for long, if it can still be served
    /// in time and little work is lost; `wanted` of its waiting tasks may start.
    pub(crate) fn preempt_lower_priority(
        &mut self,
        key: model::StepKey,
        wanted: u32,
        pass: &pass::Pass,
        clock: event::Clock,
    ) {
        let Some(context) = self.step_context(key).filter(|one| !one.step.long_running) else {
            return;
        };
        let patience = context.objective_ms / PREEMPT_AFTER_OBJECTIVE_DIVISOR;
        let waited = context.blocked_for(clock);
        let is_due = waited >= time::Duration::from_millis(patience);
        if !is_due || !self.may_preempt(key, clock) {
            return;
        }
        if !self.priority_preemptions.begin_check(key, clock.now) {
            return;
        }
        let Some(plan) = self.plan_preemption(key, wanted, pass, clock) else {
            return;
        };
        log::info!(
            job:% = journal::job_id_hex(key.job_id),
            step = key.step,
            tasks = plan.reserved.len(),
            workers = plan.worker_count,
            stopped_runs = plan.stopped.len(),
            lost_core_ms = plan.lost_work / 1_000,
            waited_ms = waited.as_millis() as u64,
            renewed_tickets = plan.expired_tickets.len();
            "runs stopped for a step of higher priority"
        );
        self.priority_preemptions
            .record(key, plan.until, plan.worker_count, plan.stopped.len());
        self.reservations.reserve(
            key,
            &plan.reserved,
            &plan.demand,
            reservations::Exclusivity::AllSteps,
            plan.until,
        );
        for (incarnation, run) in plan.stopped {
            self.stop_run(&incarnation, run, clock);
        }
        if let Some(terms) = plan.advice.filter(|_| !plan.expired_tickets.is_empty()) {
            self.request_gang_advice(key, terms, &plan.expired_tickets, clock);
        }
    }

    /// Returns which runs to stop for a step; `None` if none may be stopped or it would not help.
    fn plan_preemption(
        &self,
        key: model::StepKey,
        wanted: u32,
        pass: &pass::Pass,
        clock: event::Clock,
    ) -> Option<PreemptionPlan> {
        let context = self.step_context(key)?;
        let (step, advice) = (context.step, context.queue.advice);
        let demand = workers::counted_demand(step);
        let mut until = clock.now + STOP_TIME;
        let tickets = &context.step_state.tickets;
        let has_ticket = |id: &model::WorkerId| tickets.valid_token(id, until).is_some();
        let mut emptied = self.emptied_workers(&context, &demand, pass, clock);
        if advice.is_some() && !step.gang {
            // Single tasks are not worth a call whose answer comes as late as the ends of other runs.
            emptied.retain(|one| has_ticket(&one.incarnation.worker_id));
        }
        let least = if step.gang { wanted } else { 1 };
        let chosen = choose(emptied, wanted, least);
        let limit = self.workers.len() / PREEMPTED_WORKERS_DIVISOR;
        let awaited = self.priority_preemptions.awaited_workers(clock.now);
        let is_within_limit = awaited == 0 || awaited + chosen.len() <= limit;
        if !is_within_limit {
            return None;
        }
        let ids = chosen.iter().map(|(one, _)| &one.incarnation.worker_id);
        let expired_tickets: Vec<_> = match advice {
            Some(_) => ids.filter(|id| !has_ticket(id)).cloned().collect(),
            None => Vec::new(),
        };
        if let Some(terms) = advice.filter(|_| !expired_tickets.is_empty()) {
            let is_free = self.advisors.can_take_gang_call(&terms, clock.now);
            if tickets.has_call_in_flight() || !is_free {
                return None;
            }
            until += advisors::call_duration(&terms, expired_tickets.len());
        }
        let mut plan = PreemptionPlan {
            demand,
            advice,
            reserved: Vec::new(),
            stopped: Vec::new(),
            worker_count: chosen.len(),
            lost_work: chosen.iter().map(|(_, level)| level.lost_work).sum(),
            expired_tickets,
            until,
        };
        let mut missing = wanted;
        for (worker, level) in chosen {
            let tasks = level.tasks.min(missing);
            missing -= tasks;
            let incarnation = worker.incarnation;
            plan.reserved
                .extend(iter::repeat_n(incarnation.clone(), tasks as usize));
            let victims = worker.victims.into_iter().take(level.victims);
            plan.stopped
                .extend(victims.map(|run| (incarnation.clone(), run)));
        }
        let work = plan.reserved.len() as u64
            * u64::from(demand.processors_milli)
            * u64::from(step.estimated_ms);
        let is_worth_it = plan.lost_work <= work / MAX_LOST_WORK_DIVISOR;
        (!plan.stopped.is_empty() && is_worth_it).then_some(plan)
    }

    /// Returns for each worker that a step may use which runs must be stopped to fit its tasks.
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

    /// Returns whether a run may be stopped for a step of `priority`: it has a lower priority, saves its
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

    /// Returns whether runs may be stopped for a step: its job is owed to its tenant, and a gang can still
    /// end in time. Single tasks cost little, and are served as long as their result is worth anything.
    fn may_preempt(&self, key: model::StepKey, clock: event::Clock) -> bool {
        let Some(state) = self.jobs.get(&key.job_id) else {
            return false;
        };
        let Some((step, _)) = state.step(key) else {
            return false;
        };
        let due_at_ms = state.occurrences.get(key.occurrence as usize);
        let due_at_ms = due_at_ms.and_then(|one| one.due_at_ms);
        let since_ms = due_at_ms.unwrap_or(state.accepted_at_ms);
        let waited_ms = clock.wall_ms.saturating_sub(since_ms);
        let is_beyond_rate = state.is_beyond_rate && self.tenancy.is_active;
        let limit_ms = match step.gang {
            true => state.objective_ms,
            false => scheduler::WORTHLESS_AFTER_OBJECTIVES * state.objective_ms,
        };
        !is_beyond_rate && waited_ms + u64::from(step.estimated_ms) < limit_ms
    }
}

/// Returns the work that is lost when a run is stopped, in milliseconds times thousandths of a core.
fn lost_work(run: &worker::WorkerRun, clock: event::Clock) -> u64 {
    let worked = clock.now.saturating_duration_since(run.since).as_millis() as u64;
    worked.min(LOST_TIME_MS) * u64::from(run.demand.processors_milli)
}
