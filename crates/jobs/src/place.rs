//! Placement: assigns waiting tasks to workers.

use std::collections;
use std::time;

use crate::advice;
use crate::ask;
use crate::candidate;
use crate::candidate::Candidate;
use crate::event;
use crate::holds;
use crate::job;
use crate::journal;
use crate::manifest;
use crate::scheduler;
use crate::worker;
use crate::workers;

/// A gang that has waited for its objective divided by this gets workers reserved for it.
const RESERVE_AFTER_PART: u64 = 3;
/// At most one in this many workers is reserved for waiting gangs, unless a single gang needs more:
/// reserved workers are partly idle.
const RESERVED_PART: usize = 8;
/// Capacity of the workers reserved for a gang, as a multiple of what it needs: some of them have
/// long runs.
const RESERVE_SLACK: f64 = 1.5;

/// State of one pass over the waiting steps.
#[derive(Debug, Default)]
pub(crate) struct Pass {
    /// Steps already considered; later ones must not use the capacity reserved for them.
    served: collections::HashSet<model::StepKey>,
    /// Workers reserved for gangs earlier in the scheduling order, with the priority of the gang;
    /// work of a higher priority may still use them.
    reserved: collections::HashMap<model::WorkerLife, u32>,
    /// Whether a gang's reservation exceeded the limit of reserved workers.
    is_reserved_out: bool,
    /// Total demand of waiting gangs earlier in the scheduling order.
    awaited: model::Demand,
    /// Free capacity of all workers together; computed on first use.
    free: Option<model::Demand>,
}

/// A step with waiting tasks, and the state that placement needs.
pub(crate) struct Waiting<'a> {
    key: model::StepKey,
    pub(crate) queue: &'a manifest::Queue,
    pub(crate) step: &'a model::Step,
    pub(crate) step_state: &'a job::StepState,
    objective_ms: u64,
}

impl Waiting<'_> {
    /// Returns how long the step has been blocked, as a multiple of the job's objective.
    fn waited(&self, clock: event::Clock) -> f64 {
        let since = self.step_state.blocked_since.unwrap_or(clock.now);
        let waited = clock.now.saturating_duration_since(since);
        waited.as_millis() as f64 / self.objective_ms.max(1) as f64
    }
}

impl scheduler::Scheduler {
    /// Places waiting tasks where they fit, in the scheduling order.
    pub(crate) fn place_waiting(&mut self, clock: event::Clock) {
        let mut pass = Pass::default();
        self.holds.expire(clock.now);
        for waiting in self.order_of_service(clock) {
            if self.place_step(waiting.key, &mut pass, clock) {
                self.waiting.remove(&waiting);
            }
            pass.served.insert(waiting.key);
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
        if step.gang {
            // If some members still run, the end of the last one enqueues the step again.
            return step_state.waiting_count < step.task_count || self.place_gang(key, pass, clock);
        }
        self.place_tasks(key, pass, clock)
    }

    /// Places tasks that start independently; returns whether none is left waiting.
    fn place_tasks(&mut self, key: model::StepKey, pass: &mut Pass, clock: event::Clock) -> bool {
        let Some(waiting) = self.waiting_step(key) else {
            return true;
        };
        let (step, step_state, advice) = (waiting.step, waiting.step_state, waiting.queue.advice);
        let allowed = self.allowed(&waiting, pass, clock);
        let demand = workers::counted_demand(step);
        let assignment = candidate::assign_tasks(allowed, step_state, &demand);
        let placed = u32::try_from(assignment.len()).unwrap_or(u32::MAX);
        let missing = step_state.waiting_count - placed;
        let is_asking = step_state.tickets.is_asking();
        let keeps_on = step.long_running && missing > 0;
        if !assignment.is_empty() {
            self.plan_runs(key, assignment, clock);
        }
        if !is_asking && !keeps_on {
            self.holds.release(key);
        }
        if missing == 0 {
            return true;
        }
        if !is_asking && let Some(terms) = advice {
            self.ask_for_tasks(key, missing, terms, pass, clock);
        }
        self.note_blocked(key, pass, clock);
        self.preempt_for(key, clock);
        false
    }

    /// Places all tasks of a gang, or none; returns whether they are placed.
    fn place_gang(&mut self, key: model::StepKey, pass: &mut Pass, clock: event::Clock) -> bool {
        let Some(waiting) = self.waiting_step(key) else {
            return true;
        };
        let (step, step_state, advice) = (waiting.step, waiting.step_state, waiting.queue.advice);
        let demand = workers::counted_demand(step);
        let allowed = self.allowed(&waiting, pass, clock);
        let allowed: Vec<_> = allowed.iter().collect();
        let assignment = candidate::assign_gang(&allowed, step, &demand);
        let is_asking = step_state.tickets.is_asking();
        if !assignment.is_empty() {
            self.holds.release(key);
            self.plan_runs(key, assignment, clock);
            return true;
        }
        let total = demand.times(step.task_count);
        if !is_asking && let Some(terms) = advice {
            self.holds.release(key);
            if self.has_room_beyond_earlier(pass, clock) {
                self.ask_for_gang(key, terms, pass, clock);
            }
        }
        pass.awaited = pass.awaited.plus(&total);
        self.note_blocked(key, pass, clock);
        false
    }

    /// Returns whether more capacity is free than earlier gangs wait for; otherwise a gang would
    /// request tickets in vain.
    fn has_room_beyond_earlier(&self, pass: &mut Pass, clock: event::Clock) -> bool {
        let free = *pass.free.get_or_insert_with(|| {
            let workers = self.workers.values();
            let usable = workers.filter(|worker| worker.takes_work(clock.now));
            usable.fold(model::Demand::default(), |sum, worker| {
                sum.plus(&worker.free())
            })
        });
        pass.awaited.processors_milli <= free.processors_milli
            && pass.awaited.memory_mb <= free.memory_mb
    }

    /// Calls the recommendation service for tasks that start independently, if that may help.
    fn ask_for_tasks(
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
        let call = self.with_question(key, terms, pass, clock, |question| {
            question.call_for_tasks(missing)
        });
        match call {
            Some(Some(ask::TaskCall { names, rooms })) => {
                if !self.holds.keeps_for(key) {
                    let binding = holds::Binding::Later;
                    self.keep_room(key, &rooms, binding, terms, names.len(), clock);
                }
                self.ask_advice(key, terms, names, clock);
            }
            Some(None) => self.ask_later(key, clock),
            None => {}
        }
    }

    /// Calls the recommendation service for a gang, if that may help.
    fn ask_for_gang(
        &mut self,
        key: model::StepKey,
        terms: manifest::AdviceTerms,
        pass: &Pass,
        clock: event::Clock,
    ) {
        if !self.advisors.has_capacity_for(&terms, clock.now) {
            return;
        }
        let call = self.with_question(key, terms, pass, clock, |question| question.call_for_gang());
        match call {
            Some(Some(ask::GangCall::Tickets { names, assignment })) => {
                let rooms: Vec<_> = assignment.into_iter().map(|(_, life)| life).collect();
                self.keep_room(key, &rooms, holds::Binding::All, terms, names.len(), clock);
                self.ask_advice(key, terms, names, clock);
            }
            Some(Some(ask::GangCall::Learn { names })) => {
                // The calls are sent together so that their tickets are valid at the same time.
                let calls = names.len().div_ceil(advice::MAX_NAMED);
                for part in names.chunks(names.len().div_ceil(calls)) {
                    self.ask_advice(key, terms, part.to_vec(), clock);
                }
            }
            Some(None) => self.ask_later(key, clock),
            None => {}
        }
    }

    /// Reserves capacity for a step while a call that names `named` workers is in flight.
    fn keep_room(
        &mut self,
        key: model::StepKey,
        rooms: &[model::WorkerLife],
        binding: holds::Binding,
        terms: manifest::AdviceTerms,
        named: usize,
        clock: event::Clock,
    ) {
        let until = clock.now + advice::patience(&terms, named);
        if let Some(waiting) = self.waiting_step(key) {
            let demand = workers::counted_demand(waiting.step);
            self.holds.keep(key, rooms, &demand, binding, until);
        }
    }

    /// Calls `decide` with an advice planner for a step; `None` if no call may be made now.
    fn with_question<T>(
        &self,
        key: model::StepKey,
        terms: manifest::AdviceTerms,
        pass: &Pass,
        clock: event::Clock,
        decide: impl FnOnce(&ask::Question<'_>) -> T,
    ) -> Option<T> {
        let waiting = self.waiting_step(key)?;
        if !waiting.step_state.tickets.may_ask(clock.now) {
            return None;
        }
        let usable = self.candidates(&waiting, self.workers.iter(), pass, clock);
        let demand = workers::counted_demand(waiting.step);
        Some(decide(&ask::Question {
            usable: &usable,
            step: waiting.step,
            demand,
            mean_room: self.mean_room(&waiting, &demand, clock),
            waited: waiting.waited(clock),
            tickets: &waiting.step_state.tickets,
            terms,
            allowed_share: self.advisors.allowed_share(&waiting.queue.name),
            clock,
        }))
    }

    /// Returns the mean number of tasks of `demand` that fit on a worker of the queue's pool,
    /// without regard to reservations.
    fn mean_room(&self, waiting: &Waiting<'_>, demand: &model::Demand, clock: event::Clock) -> f64 {
        let pool = &waiting.queue.pool;
        let quota = waiting.step.max_per_worker.unwrap_or(u32::MAX);
        let workers = self.workers.values().filter(|worker| {
            let report = worker.report.as_ref();
            worker.takes_work(clock.now) && report.is_some_and(|report| report.pool == *pool)
        });
        let (mut count, mut room) = (0_u32, 0_u32);
        for worker in workers {
            count += 1;
            room = room.saturating_add(candidate::fits_in(demand, &worker.free()).min(quota));
        }
        f64::from(room) / f64::from(count.max(1))
    }

    fn ask_later(&mut self, key: model::StepKey, clock: event::Clock) {
        let state = self.jobs.get_mut(&key.job_id);
        if let Some((_, step_state)) = state.and_then(|one| one.step_mut(key)) {
            step_state.tickets.ask_later(clock.now);
        }
    }

    pub(crate) fn waiting_step(&self, key: model::StepKey) -> Option<Waiting<'_>> {
        let state = self.jobs.get(&key.job_id)?;
        let (step, step_state) = state.step(key)?;
        Some(Waiting {
            key,
            queue: Self::queue_of(&self.manifest, state),
            step,
            step_state,
            objective_ms: state.objective_ms,
        })
    }

    /// Returns the workers on which a step may start now: those with a valid ticket if its queue
    /// needs advice.
    fn allowed(&self, waiting: &Waiting<'_>, pass: &Pass, clock: event::Clock) -> Vec<Candidate> {
        if waiting.queue.advice.is_none() {
            return self.candidates(waiting, self.workers.iter(), pass, clock);
        }
        let tickets = &waiting.step_state.tickets;
        let ticketed = tickets
            .valid_workers(clock.now)
            .filter_map(|worker_id| self.lives.get(worker_id))
            .filter_map(|life| self.workers.get_key_value(life));
        self.candidates(waiting, ticketed, pass, clock)
    }

    /// Returns those of `workers` on which tasks of a step may start, as far as the leader knows.
    pub(crate) fn candidates<'a>(
        &self,
        waiting: &Waiting<'_>,
        workers: impl Iterator<Item = (&'a model::WorkerLife, &'a worker::Worker)>,
        pass: &Pass,
        clock: event::Clock,
    ) -> Vec<Candidate> {
        let (step, step_state) = (waiting.step, waiting.step_state);
        let mut placed: collections::HashMap<&model::WorkerLife, u32> = collections::HashMap::new();
        if step.max_per_worker.is_some() {
            for task in &step_state.tasks {
                if let job::Phase::Placed(life) = &task.phase {
                    *placed.entry(life).or_default() += 1;
                }
            }
        }
        let priority = waiting.queue.priority;
        let is_reserved =
            |life: &model::WorkerLife| pass.reserved.get(life).is_some_and(|of| *of <= priority);
        let usable = workers.filter(|(life, worker)| {
            worker.takes_work(clock.now)
                && !is_reserved(life)
                && !step_state.tickets.is_refused(&life.worker_id)
                && worker
                    .report
                    .as_ref()
                    .is_some_and(|report| report.pool == waiting.queue.pool)
                && step
                    .required_label
                    .as_ref()
                    .is_none_or(|label| worker.has_label(label))
        });
        let is_earlier = |step: &model::StepKey| pass.served.contains(step);
        let candidates = usable.map(|(life, worker)| {
            let already = placed.get(life).copied().unwrap_or_default();
            let quota = step
                .max_per_worker
                .map_or(u32::MAX, |most| most.saturating_sub(already));
            Candidate {
                life: life.clone(),
                rack: rack_of(worker),
                free: worker
                    .free()
                    .minus(&self.holds.kept_from(waiting.key, life, is_earlier)),
                capacity: worker.capacity(),
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

    /// Plans the runs of an assignment; their start orders are sent once the plan is stored.
    fn plan_runs(
        &mut self,
        key: model::StepKey,
        assignment: candidate::Assignment,
        clock: event::Clock,
    ) {
        let Some(state) = self.jobs.get_mut(&key.job_id) else {
            return;
        };
        let Some((step, step_state)) = state.step_mut(key) else {
            return;
        };
        let demand = workers::counted_demand(step);
        // All members of a gang use the same run number.
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
            }),
            answers = step_state.tickets.answers,
            asked = step_state.tickets.asked_count(),
            allowed = step_state.tickets.allowed_count();
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
                let checkpoint = step_state.saved_progress(index, step.gang);
                let planned = worker::RunPhase::Planned;
                let planned = worker::WorkerRun::new(demand, planned, clock.now)
                    .of_step(step)
                    .resume_from(checkpoint.filter(|_| step.checkpointing));
                worker.add_run(run, planned);
            }
            effects.push(job::Effect::Launch(life, run));
        }
        state.effects.extend(effects);
        self.journal.mark(key.job_id);
    }

    /// Marks a step as blocked, and reserves workers for a gang that has been blocked for long.
    fn note_blocked(&mut self, key: model::StepKey, pass: &mut Pass, clock: event::Clock) {
        let Some(state) = self.jobs.get_mut(&key.job_id) else {
            return;
        };
        let reserve_after = time::Duration::from_millis(state.objective_ms / RESERVE_AFTER_PART);
        let Some((step, step_state)) = state.step_mut(key) else {
            return;
        };
        if step_state.blocked_since.is_none() {
            log::info!(
                job:% = journal::hex(key.job_id),
                step = key.step,
                waiting = step_state.waiting_count,
                asking = step_state.tickets.is_asking();
                "step waits for capacity or advice"
            );
        }
        let since = *step_state.blocked_since.get_or_insert(clock.now);
        let waited = clock.now.saturating_duration_since(since);
        if step.gang && waited >= reserve_after {
            self.reserve_for(key, pass, clock);
        }
    }

    /// Reserves workers for a gang that has been blocked for long, so that it is not starved, and
    /// renews their tickets, so that it starts as soon as there is capacity.
    fn reserve_for(&mut self, key: model::StepKey, pass: &mut Pass, clock: event::Clock) {
        let Some(waiting) = self.waiting_step(key).filter(|_| !pass.is_reserved_out) else {
            return;
        };
        let budget = self.workers.len() / RESERVED_PART;
        let demand = workers::counted_demand(waiting.step);
        let tickets = &waiting.step_state.tickets;
        let mut allowed = self.candidates(&waiting, self.workers.iter(), pass, clock);
        allowed.retain(|one| {
            waiting.queue.advice.is_none() || tickets.is_allowed(&one.life.worker_id)
        });
        allowed.sort_by_key(|one| {
            let free = one.free.processors_milli;
            (u32::MAX - one.room_for(&demand), u32::MAX - free)
        });
        let wanted = f64::from(waiting.step.task_count) * RESERVE_SLACK;
        let mut capacity = 0.0;
        let lives = allowed.iter().take_while(|one| {
            let is_needed = capacity < wanted;
            capacity += f64::from(one.capacity_for(&demand));
            is_needed
        });
        let priority = waiting.queue.priority;
        let lives: Vec<_> = lives.map(|one| one.life.clone()).collect();
        let is_within = pass.reserved.is_empty() || pass.reserved.len() + lives.len() <= budget;
        if capacity < f64::from(waiting.step.task_count) {
            return;
        }
        if !is_within {
            pass.is_reserved_out = true;
            return;
        }
        let advice = waiting.queue.advice;
        if let Some(terms) = advice {
            let needed_until = clock.now + advice::duration(&terms, lives.len());
            let names = lives.iter().map(|life| life.worker_id.clone());
            let names = names.filter(|worker_id| tickets.valid(worker_id, needed_until).is_none());
            let names: Vec<_> = names.take(advice::MAX_NAMED).collect();
            let may_ask = !tickets.is_asking()
                && !names.is_empty()
                && self.advisors.has_capacity_for(&terms, clock.now);
            if may_ask {
                self.ask_advice(key, terms, names, clock);
            }
        }
        pass.reserved
            .extend(lives.into_iter().map(|life| (life, priority)));
    }
}

fn rack_of(worker: &worker::Worker) -> model::Rack {
    let report = worker.report.as_ref();
    report.map_or_else(|| "".into(), |report| report.rack.clone())
}
