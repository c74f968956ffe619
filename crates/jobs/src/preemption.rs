//! Preemption for long-running tasks: they must run all the time, also when the workers are full.

use std::time;

use crate::event;
use crate::journal;
use crate::reservations;
use crate::runs::run_name;
use crate::scheduler;
use crate::worker;
use crate::workers;

/// How long a long-running task waits for capacity before other runs are stopped for it.
const PREEMPT_AFTER: time::Duration = time::Duration::from_millis(700);
/// How long the capacity freed by stopped runs stays reserved: a stop takes a fraction of a second,
/// and a new ticket may have to be requested.
const RESERVATION_DURATION: time::Duration = time::Duration::from_millis(3_000);
/// Most tasks of a step for which runs are stopped at the same time.
const MAX_TASKS_PER_PREEMPTION: u32 = 8;

/// Runs of a worker whose end would free enough capacity for a task.
struct Victims {
    incarnation: model::WorkerIncarnation,
    runs: Vec<model::RunKey>,
    /// Work that is lost, in milliseconds times thousandths of a core.
    cost: u64,
}

impl scheduler::Scheduler {
    /// Stops runs that are not long-running to free capacity for waiting tasks of a long-running
    /// step.
    pub(crate) fn preempt_for(&mut self, key: model::StepKey, clock: event::Clock) {
        let Some((step, step_state)) = self.jobs.get(&key.job_id).and_then(|one| one.step(key))
        else {
            return;
        };
        let waits_since = step_state.blocked_since.unwrap_or(clock.now);
        let waited = clock.now.saturating_duration_since(waits_since);
        if !step.long_running || waited < PREEMPT_AFTER || self.reservations.has_reservation(key) {
            return;
        }
        let demand = workers::counted_demand(step);
        let wanted = step_state.waiting_count.min(MAX_TASKS_PER_PREEMPTION);
        let wanted = wanted.min(self.cap_limit(key)) as usize;
        let mut found = self.victims(key, clock);
        found.sort_by_key(|victims| victims.cost);
        found.truncate(wanted);
        if found.is_empty() {
            return;
        }
        let incarnations: Vec<_> = found
            .iter()
            .map(|victims| victims.incarnation.clone())
            .collect();
        let until = clock.now + RESERVATION_DURATION;
        self.reservations.reserve(
            key,
            &incarnations,
            &demand,
            reservations::Exclusivity::AllSteps,
            until,
        );
        for victims in found {
            for run in victims.runs {
                log::info!(
                    job:% = journal::job_id_hex(key.job_id),
                    step = key.step,
                    run:% = run_name(run),
                    worker:% = victims.incarnation.worker_id,
                    waited_ms = waited.as_millis() as u64;
                    "run stopped to free capacity for a long-running task"
                );
                self.stop_run(&victims.incarnation, run, clock);
            }
        }
    }

    /// Returns for each worker that a step may use which runs must be stopped to fit one task.
    fn victims(&self, key: model::StepKey, clock: event::Clock) -> Vec<Victims> {
        let Some(context) = self.step_context(key) else {
            return Vec::new();
        };
        let demand = workers::counted_demand(context.step);
        let pass = self.new_pass(clock);
        let mut usable = self.allowed_workers(&context, &pass, clock);
        usable.retain(|one| one.idle_fit_count(&demand) > 0);
        let victims = usable.into_iter().filter_map(|one| {
            let worker = self.workers.get(one.incarnation)?;
            self.victims_on(one.incarnation, worker, one.free, &demand, clock)
        });
        victims.collect()
    }

    /// Returns which runs of a worker must be stopped to fit one task; `free` is its free capacity
    /// without what is reserved for other steps.
    fn victims_on(
        &self,
        incarnation: &model::WorkerIncarnation,
        worker: &worker::Worker,
        free: model::Demand,
        demand: &model::Demand,
        clock: event::Clock,
    ) -> Option<Victims> {
        let mut stoppable: Vec<_> = worker
            .runs
            .iter()
            .filter(|(key, run)| {
                run.phase == worker::RunPhase::Running && self.is_preemptible(**key)
            })
            .map(|(key, run)| {
                let worked = clock.now.saturating_duration_since(run.since).as_millis() as u64;
                let cost = worked * u64::from(run.demand.processors_milli);
                (cost, *key, run.demand)
            })
            .collect();
        stoppable.sort_by_key(|(cost, ..)| *cost);
        let reserved = worker.free().minus(&free);
        let mut used = worker.used;
        let has_room = |used: &model::Demand| {
            let free = worker.free_beside(used).minus(&reserved);
            demand.fits_in(&free)
        };
        let mut victims = Victims {
            incarnation: incarnation.clone(),
            runs: Vec::new(),
            cost: 0,
        };
        for (cost, key, freed) in stoppable {
            if has_room(&used) {
                break;
            }
            used = used.minus(&freed);
            victims.runs.push(key);
            victims.cost += cost;
        }
        (has_room(&used) && !victims.runs.is_empty()).then_some(victims)
    }

    /// Returns whether a run may be stopped for a long-running task: it is not long-running itself,
    /// and no member of a gang, all of which would stop with it.
    fn is_preemptible(&self, key: model::RunKey) -> bool {
        let state = self.jobs.get(&key.task.job_id);
        let step = state.and_then(|state| state.step(key.task.step_key()));
        step.is_some_and(|(step, _)| !step.long_running && !step.gang)
    }
}
