//! Placement: which waiting task starts on which worker.

use std::collections;
use std::time;

use crate::advice;
use crate::event;
use crate::job;
use crate::journal;
use crate::manifest;
use crate::scheduler;
use crate::tickets;
use crate::worker;
use crate::workers;

/// How long a gang waits for room before the workers it may use are kept free for it.
const RESERVE_AFTER: time::Duration = time::Duration::from_millis(300);
/// Share of workers that may run a step, until calls have shown otherwise; used to choose how
/// many to name at least.
const EXPECTED_ALLOWED_SHARE: f64 = 0.33;

/// Workers that a call about a gang names as a rule.
const USUAL_GANG_NAMES: u32 = 40;

/// What one pass over the waiting steps has set aside.
#[derive(Debug, Default)]
struct Pass {
    /// Workers kept free for a gang that comes earlier in the order.
    reserved: collections::HashSet<model::WorkerLife>,
}

/// A worker on which tasks of a step may start.
#[derive(Debug)]
struct Candidate {
    life: model::WorkerLife,
    rack: model::Rack,
    free: model::Demand,
    /// Tasks of this step that still may be put there.
    quota: u32,
    /// Whether the data is in its rack.
    is_near: bool,
    failures: u32,
}

impl Candidate {
    /// Returns how many tasks of `demand` fit.
    fn room_for(&self, demand: &model::Demand) -> u32 {
        let per = |free: u32, each: u32| free.checked_div(each).unwrap_or(u32::MAX);
        per(self.free.processors_milli, demand.processors_milli)
            .min(per(self.free.memory_mb, demand.memory_mb))
            .min(per(self.free.accelerators, demand.accelerators))
            .min(self.quota)
    }

    fn take(&mut self, demand: &model::Demand) {
        self.free = self.free.minus(demand);
        self.quota -= 1;
    }
}

/// Tasks of a step, each with the worker that gets it.
type Assignment = Vec<(u32, model::WorkerLife)>;

impl scheduler::Scheduler {
    /// Starts what fits, in the order of service.
    pub(crate) fn place_waiting(&mut self, clock: event::Clock) {
        let mut pass = Pass::default();
        for waiting in self.order_of_service(clock) {
            if self.place_step(waiting.key, &mut pass, clock) {
                self.waiting.remove(&waiting);
            }
        }
    }

    /// Places tasks of one step; returns whether none is left waiting.
    fn place_step(&mut self, key: model::StepKey, pass: &mut Pass, clock: event::Clock) -> bool {
        let Some(state) = self.jobs.get(&key.job_id) else {
            return true;
        };
        let Some((step, step_state)) = state.step(key) else {
            return true;
        };
        if step_state.waiting_count == 0 {
            return true;
        }
        if step.gang && step_state.waiting_count < step.task_count {
            // The others must have ended first; the last end queues the step again.
            return true;
        }
        let queue = Self::queue_of(&self.manifest, state);
        let advice = queue.advice;
        let ticketed = match advice {
            Some(_) => self.ticketed(queue, step, step_state, pass, clock),
            None => self.candidates(self.workers.iter(), queue, step, step_state, pass, clock),
        };
        let demand = workers::counted_demand(step);
        let assignment = if step.gang {
            assign_gang(&ticketed, step, &demand)
        } else {
            assign_tasks(ticketed, step_state, &demand)
        };
        let placed = u32::try_from(assignment.len()).unwrap_or(u32::MAX);
        let is_complete = placed == step_state.waiting_count;
        if !is_complete && let Some(terms) = advice {
            let missing = step_state.waiting_count - placed;
            self.consider_asking(key, missing, terms, pass, clock);
        }
        if !assignment.is_empty() {
            self.plan_runs(key, assignment, clock);
        }
        if !is_complete {
            self.note_blocked(key, pass, clock);
        }
        is_complete
    }

    /// Asks the recommendation service about a step, if an instance can and it may help.
    fn consider_asking(
        &mut self,
        key: model::StepKey,
        missing: u32,
        terms: manifest::AdviceTerms,
        pass: &Pass,
        clock: event::Clock,
    ) {
        if !self.advisors.has_capacity(clock.now) {
            return;
        }
        let Some(state) = self.jobs.get(&key.job_id) else {
            return;
        };
        let Some((step, step_state)) = state.step(key) else {
            return;
        };
        if !step_state.tickets.may_ask(clock.now) {
            return;
        }
        let queue = Self::queue_of(&self.manifest, state);
        let all = self.workers.iter();
        let usable = self.candidates(all, queue, step, step_state, pass, clock);
        let names = names_to_ask(&usable, step, &step_state.tickets, missing, terms, clock);
        if !names.is_empty() {
            self.ask_advice(key, terms, names, clock);
        } else if let Some((_, step_state)) = self
            .jobs
            .get_mut(&key.job_id)
            .and_then(|state| state.step_mut(key))
        {
            step_state.tickets.ask_later(clock.now);
        }
    }

    /// Returns the workers for which a step has valid tickets.
    fn ticketed(
        &self,
        queue: &manifest::Queue,
        step: &model::Step,
        step_state: &job::StepState,
        pass: &Pass,
        clock: event::Clock,
    ) -> Vec<Candidate> {
        let workers = step_state
            .tickets
            .valid_workers(clock.now)
            .filter_map(|worker_id| self.lives.get(worker_id))
            .filter_map(|life| self.workers.get_key_value(life));
        self.candidates(workers, queue, step, step_state, pass, clock)
    }

    /// Returns those of `workers` on which tasks of a step may start, as far as is known.
    fn candidates<'a>(
        &self,
        workers: impl Iterator<Item = (&'a model::WorkerLife, &'a worker::Worker)>,
        queue: &manifest::Queue,
        step: &model::Step,
        step_state: &job::StepState,
        pass: &Pass,
        clock: event::Clock,
    ) -> Vec<Candidate> {
        let mut placed: collections::HashMap<&model::WorkerLife, u32> = collections::HashMap::new();
        if step.max_per_worker.is_some() {
            for task in &step_state.tasks {
                if let job::Phase::Placed(life) = &task.phase {
                    *placed.entry(life).or_default() += 1;
                }
            }
        }
        let usable = workers.filter(|(life, worker)| {
            worker.takes_work(clock.now)
                && !pass.reserved.contains(*life)
                && !step_state.tickets.is_refused(&life.worker_id)
                && worker
                    .report
                    .as_ref()
                    .is_some_and(|report| report.pool == queue.pool)
                && step
                    .required_label
                    .as_ref()
                    .is_none_or(|label| worker.has_label(label))
        });
        let candidates = usable.map(|(life, worker)| {
            let already = placed.get(life).copied().unwrap_or_default();
            let quota = step
                .max_per_worker
                .map_or(u32::MAX, |most| most.saturating_sub(already));
            Candidate {
                life: life.clone(),
                rack: rack_of(worker),
                free: worker.free(),
                quota,
                is_near: step
                    .data_rack
                    .as_ref()
                    .is_none_or(|rack| worker.has_label(rack)),
                failures: step_state.failures_on(&life.worker_id),
            }
        });
        candidates.collect()
    }

    /// Plans the runs of an assignment; they start once the plan is stored.
    fn plan_runs(&mut self, key: model::StepKey, assignment: Assignment, clock: event::Clock) {
        let Some(state) = self.jobs.get_mut(&key.job_id) else {
            return;
        };
        let Some((step, step_state)) = state.step_mut(key) else {
            return;
        };
        let demand = workers::counted_demand(step);
        // The members of a gang share the number of their run.
        let gang_run = step.gang.then(|| {
            let last = step_state.tasks.iter().map(|task| task.last_run).max();
            last.unwrap_or_default() + 1
        });
        let blocked_since = step_state.blocked_since.take();
        log::info!(
            job:% = journal::hex(key.job_id),
            step = key.step,
            tasks = assignment.len(),
            still_waiting = step_state.waiting_count as usize - assignment.len(),
            blocked_ms = blocked_since.map_or(0, |at| {
                clock.now.saturating_duration_since(at).as_millis() as u64
            });
            "runs planned"
        );
        let mut effects = Vec::new();
        for (index, life) in assignment {
            step_state.set_phase(index, job::Phase::Placed(life.clone()));
            let task = &mut step_state.tasks[index as usize];
            task.last_run = gang_run.unwrap_or(task.last_run + 1);
            let run = model::RunKey {
                task: model::TaskKey {
                    job_id: key.job_id,
                    occurrence: key.occurrence,
                    step: key.step,
                    index,
                },
                run: task.last_run,
            };
            if let Some(worker) = self.workers.get_mut(&life) {
                let planned = worker::RunPhase::Planned;
                worker.add_run(run, worker::WorkerRun::new(demand, planned, clock.now));
            }
            effects.push(job::Effect::Launch(life, run));
        }
        state.effects.extend(effects);
        self.journal.mark(key.job_id);
    }

    /// Notes that a step waits for room, and keeps workers free for a gang that waits long.
    fn note_blocked(&mut self, key: model::StepKey, pass: &mut Pass, clock: event::Clock) {
        let Some((step, step_state)) = self
            .jobs
            .get_mut(&key.job_id)
            .and_then(|state| state.step_mut(key))
        else {
            return;
        };
        if step_state.blocked_since.is_none() {
            log::info!(
                job:% = journal::hex(key.job_id),
                step = key.step,
                waiting = step_state.waiting_count,
                asking = step_state.tickets.asking;
                "step waits for room or advice"
            );
        }
        let since = *step_state.blocked_since.get_or_insert(clock.now);
        if !step.gang || clock.now.saturating_duration_since(since) < RESERVE_AFTER {
            return;
        }
        let allowed: Vec<_> = self
            .workers
            .iter()
            .filter(|(life, worker)| {
                worker.takes_work(clock.now) && step_state.tickets.is_allowed(&life.worker_id)
            })
            .collect();
        let demand = workers::counted_demand(step);
        let capacity: u32 = allowed
            .iter()
            .filter_map(|(_, worker)| worker.report.as_ref())
            .map(|report| fits_in(&demand, &report.capacity))
            .fold(0, u32::saturating_add);
        if capacity < step.task_count {
            return;
        }
        let lives = allowed.into_iter().map(|(life, _)| life.clone());
        pass.reserved.extend(lives);
    }
}

/// Returns how many tasks of `demand` fit in `room`.
fn fits_in(demand: &model::Demand, room: &model::Demand) -> u32 {
    let per = |free: u32, each: u32| free.checked_div(each).unwrap_or(u32::MAX);
    per(room.processors_milli, demand.processors_milli)
        .min(per(room.memory_mb, demand.memory_mb))
        .min(per(room.accelerators, demand.accelerators))
}

fn rack_of(worker: &worker::Worker) -> model::Rack {
    let report = worker.report.as_ref();
    report.map_or_else(|| "".into(), |report| report.rack.clone())
}

/// Assigns waiting tasks one by one, each to the worker that it fills best.
fn assign_tasks(
    mut pool: Vec<Candidate>,
    step_state: &job::StepState,
    demand: &model::Demand,
) -> Assignment {
    let mut assignment = Assignment::new();
    let tasks = step_state.tasks.iter().enumerate();
    for (index, _) in tasks.filter(|(_, task)| task.phase == job::Phase::Waiting) {
        let best = pool
            .iter_mut()
            .filter(|candidate| candidate.room_for(demand) > 0)
            .min_by_key(|candidate| {
                let left = candidate.free.minus(demand);
                (
                    !candidate.is_near,
                    candidate.failures,
                    left.processors_milli,
                )
            });
        let Some(best) = best else {
            break;
        };
        best.take(demand);
        assignment.push((u32::try_from(index).unwrap_or(u32::MAX), best.life.clone()));
    }
    assignment
}

/// Assigns all members of a gang, or none.
fn assign_gang(candidates: &[Candidate], step: &model::Step, demand: &model::Demand) -> Assignment {
    if step.same_rack {
        let racks: collections::BTreeSet<_> =
            candidates.iter().map(|one| one.rack.clone()).collect();
        for rack in racks {
            let within = candidates.iter().filter(|one| one.rack == rack);
            let assignment = fill(within.collect(), step.task_count, demand);
            if !assignment.is_empty() {
                return assignment;
            }
        }
    }
    fill(candidates.iter().collect(), step.task_count, demand)
}

/// Fills one worker after the other until `count` tasks are assigned; empty if they do not fit.
fn fill(mut candidates: Vec<&Candidate>, count: u32, demand: &model::Demand) -> Assignment {
    candidates.sort_by_key(|candidate| {
        let room = candidate.room_for(demand);
        (!candidate.is_near, candidate.failures, u32::MAX - room)
    });
    let mut assignment = Assignment::new();
    for candidate in candidates {
        let assigned = u32::try_from(assignment.len()).unwrap_or(u32::MAX);
        let here = candidate.room_for(demand).min(count - assigned);
        assignment.extend((assigned..assigned + here).map(|index| (index, candidate.life.clone())));
    }
    if assignment.len() == count as usize {
        assignment
    } else {
        Assignment::new()
    }
}

/// Returns the workers to ask the recommendation service about; none if that would not help.
fn names_to_ask(
    usable: &[Candidate],
    step: &model::Step,
    tickets: &tickets::Tickets,
    missing: u32,
    terms: manifest::AdviceTerms,
    clock: event::Clock,
) -> Vec<model::WorkerId> {
    let demand = &workers::counted_demand(step);
    // The tickets of a gang must all be valid together: one that ends during the call is renewed.
    let usual = u32::try_from(usable.len()).unwrap_or(u32::MAX);
    let ahead = match step.gang {
        true => terms.base_time + terms.time_per_worker * usual.min(USUAL_GANG_NAMES),
        false => time::Duration::ZERO,
    };
    let mut unsure: Vec<_> = usable
        .iter()
        .filter(|one| {
            let worker_id = &one.life.worker_id;
            tickets.valid(worker_id, clock.now + ahead).is_none()
        })
        .collect();
    let is_first = tickets.is_empty();
    if !is_first {
        unsure.retain(|one| one.room_for(demand) > 0);
        if step.gang && !may_fit(usable, &unsure, step.task_count, demand, tickets) {
            return Vec::new();
        }
    }
    unsure.sort_by_key(|one| {
        let is_allowed = tickets.is_allowed(&one.life.worker_id);
        (!is_allowed, u32::MAX - one.room_for(demand).min(missing))
    });
    let each = unsure.first().map_or(1, |one| one.room_for(demand).max(1));
    let needed = f64::from(missing.div_ceil(each)) / EXPECTED_ALLOWED_SHARE;
    let limit = advice::naming_limit(&terms, needed.ceil() as usize);
    let names = unsure.iter().take(limit);
    names.map(|one| one.life.worker_id.clone()).collect()
}

/// Returns whether a gang would fit if every worker not asked yet allowed it.
fn may_fit(
    usable: &[Candidate],
    unsure: &[&Candidate],
    count: u32,
    demand: &model::Demand,
    tickets: &tickets::Tickets,
) -> bool {
    let allowed = usable
        .iter()
        .filter(|one| tickets.is_allowed(&one.life.worker_id));
    let new = unsure
        .iter()
        .copied()
        .filter(|one| !tickets.is_allowed(&one.life.worker_id));
    let room = allowed
        .chain(new)
        .map(|one| one.room_for(demand))
        .fold(0, u32::saturating_add);
    room >= count
}
