//! Placement: assigns waiting tasks to workers.

use std::mem;
use std::time;

use crate::advice_planner;
use crate::advisors;
use crate::candidate;
use crate::candidate::Candidate;
use crate::event;
use crate::isolation;
use crate::job;
use crate::journal;
use crate::manifest;
use crate::maps;
use crate::pass;
use crate::preference;
use crate::reservations;
use crate::scheduler;
use crate::worker;
use crate::workers;

/// Workers are reserved for a gang that has been blocked for its job's objective divided by this.
const RESERVE_AFTER_OBJECTIVE_DIVISOR: u64 = 3;
/// At most one in this many workers is reserved for waiting gangs, unless a single gang needs more:
/// reserved workers are partly idle.
const RESERVED_WORKERS_DIVISOR: usize = 8;
/// Capacity of the workers reserved for a gang, as a multiple of what it needs: some of them have
/// long runs.
const RESERVED_CAPACITY_FACTOR: f64 = 1.5;

/// Number of steps that cannot be placed after which the head of the scheduling order ends.
const HEAD_BLOCKED_STEPS: usize = 40;
/// Number of steps behind the head that cannot be placed after which a pass ends.
const SWEEP_BLOCKED_STEPS: usize = 25;
/// Number of changed steps that cannot be placed after which a pass ends.
const CHANGED_BLOCKED_STEPS: usize = 15;
/// Most steps that a pass visits without placing them.
pub(crate) const MAX_BLOCKED_STEPS_PER_PASS: usize =
    HEAD_BLOCKED_STEPS + SWEEP_BLOCKED_STEPS + CHANGED_BLOCKED_STEPS;

/// Most workers considered for a step at one visit; the next visit begins with others. A choice among
/// hundreds is about as good as one among thousands, and the cost of a decision stays bounded.
const MAX_CONSIDERED_WORKERS: usize = 768;

/// A step with waiting tasks, and the state that placement needs.
pub(crate) struct StepContext<'a> {
    pub(crate) key: model::StepKey,
    pub(crate) queue: &'a manifest::Queue,
    pub(crate) step: &'a model::Step,
    pub(crate) step_state: &'a job::StepState,
    pub(crate) objective_ms: u64,
    /// What the tasks must not share a worker with.
    isolation: isolation::Isolation,
}

impl StepContext<'_> {
    /// Returns how long the step has been blocked.
    pub(crate) fn blocked_for(&self, clock: event::Clock) -> time::Duration {
        let since = self.step_state.blocked_since.unwrap_or(clock.now);
        clock.now.saturating_duration_since(since)
    }

    /// Returns how long the step has been blocked, as a multiple of the job's objective.
    fn blocked_ratio(&self, clock: event::Clock) -> f64 {
        let waited = self.blocked_for(clock);
        waited.as_millis() as f64 / self.objective_ms.max(1) as f64
    }

    /// Returns whether the step may start on a worker, as far as the leader knows, whatever its free
    /// capacity.
    fn suits(&self, incarnation: &model::WorkerIncarnation, worker: &worker::Worker) -> bool {
        let required_label = self.step.required_label.as_ref();
        !self.step_state.tickets.is_refused(&incarnation.worker_id)
            && worker
                .report
                .as_ref()
                .is_some_and(|report| report.pool == self.queue.pool)
            && required_label.is_none_or(|label| worker.has_label(label))
    }
}

impl scheduler::Scheduler {
    /// Starts a pass over the waiting steps.
    pub(crate) fn new_pass(&self, clock: event::Clock) -> pass::Pass {
        let workers = self.workers.values().enumerate();
        let has_authority = self.has_lease_authority(clock);
        let usable = workers.filter(|(_, worker)| has_authority && worker.accepts_plans(clock.now));
        let pass = pass::Pass::new(
            usable.map(|(index, _)| index).collect(),
            self.suspect_workers(clock),
        );
        let are_distinct = self.settings.uses_speeds && self.speeds.are_levels_distinct;
        pass.with_speeds(are_distinct, clock.wall_ms)
    }

    /// Places waiting tasks where they fit, in the scheduling order: in each pass the head of it, of
    /// the other steps as many as come next in the sweep, and the changed ones, which may start at once
    /// and whose tickets expire.
    pub(crate) fn place_waiting(&mut self, clock: event::Clock) {
        self.reservations.expire(clock.now);
        let mut changed = mem::take(&mut self.changed_steps);
        let order = match self.tenancy.is_active {
            true => self.order_by_share(&mut changed, clock),
            false => self.scheduling_order(clock),
        };
        let mut pass = self.new_pass(clock);
        let head = self.place_head(&order, &mut changed, &mut pass, clock);
        let rest = &order[head..];
        let sweep = mem::take(&mut self.sweep);
        let first = rest.partition_point(|step| Some(*step) <= sweep.last);
        pass.continue_sweep(sweep);
        let end = first + self.place_swept(&rest[first..], &mut changed, &mut pass, clock);
        let is_complete = end == rest.len();
        pass.visit_out_of_turn();
        self.place_changed(rest, &mut changed, &mut pass, clock);
        let last = rest[..end].last().filter(|_| !is_complete);
        self.sweep = pass.into_sweep(last.copied());
        self.placement_needed |= !is_complete;
    }

    /// Visits the head of the scheduling order, and removes its steps from `changed`; returns its
    /// length.
    fn place_head(
        &mut self,
        order: &[scheduler::OrderedStep],
        changed: &mut maps::HashSet<model::StepKey>,
        pass: &mut pass::Pass,
        clock: event::Clock,
    ) -> usize {
        let mut blocked = 0;
        for (index, (_, step)) in order.iter().enumerate() {
            if blocked >= HEAD_BLOCKED_STEPS {
                return index;
            }
            changed.remove(&step.key);
            if !self.is_capped(step, pass) {
                blocked += usize::from(!self.visit(step, pass, clock));
            }
        }
        order.len()
    }

    /// Visits `steps` until so many could not be placed that the pass ends, and removes them from
    /// `changed`; returns how many were visited or had been before in this pass.
    fn place_swept(
        &mut self,
        steps: &[scheduler::OrderedStep],
        changed: &mut maps::HashSet<model::StepKey>,
        pass: &mut pass::Pass,
        clock: event::Clock,
    ) -> usize {
        let mut blocked = 0;
        for (index, (_, step)) in steps.iter().enumerate() {
            if blocked >= SWEEP_BLOCKED_STEPS {
                return index;
            }
            if !pass.is_earlier(&step.key) {
                changed.remove(&step.key);
                if !self.is_capped(step, pass) {
                    blocked += usize::from(!self.visit(step, pass, clock));
                }
            }
        }
        steps.len()
    }

    /// Visits changed steps among `steps` ahead of their turn; keeps the others for the next pass once
    /// so many could not be placed that the pass ends.
    fn place_changed(
        &mut self,
        steps: &[scheduler::OrderedStep],
        changed: &mut maps::HashSet<model::StepKey>,
        pass: &mut pass::Pass,
        clock: event::Clock,
    ) {
        let mut blocked = 0;
        for (_, step) in steps {
            if changed.is_empty() {
                return;
            }
            if blocked >= CHANGED_BLOCKED_STEPS {
                self.changed_steps.extend(changed.drain());
                self.placement_needed = true;
                return;
            }
            if changed.remove(&step.key) && !self.is_capped(step, pass) {
                blocked += usize::from(!self.visit(step, pass, clock));
            }
        }
    }

    /// Places tasks of a step; returns whether none is left waiting.
    fn visit(
        &mut self,
        step: &scheduler::WaitingStep,
        pass: &mut pass::Pass,
        clock: event::Clock,
    ) -> bool {
        let is_placed = self.place_step(step.key, pass, clock);
        if is_placed {
            self.waiting.remove(step);
        }
        pass.mark_visited(step.key);
        self.placement_visits += 1;
        is_placed
    }

    /// Places tasks of one step; returns whether none is left waiting.
    fn place_step(
        &mut self,
        key: model::StepKey,
        pass: &mut pass::Pass,
        clock: event::Clock,
    ) -> bool {
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
            if step_state.waiting_count < step.task_count {
                self.begin_wait(key, clock);
                return true;
            }
            return self.place_gang(key, pass, clock);
        }
        self.place_tasks(key, pass, clock)
    }

    /// Places tasks that start independently; returns whether none is left waiting.
    fn place_tasks(
        &mut self,
        key: model::StepKey,
        pass: &mut pass::Pass,
        clock: event::Clock,
    ) -> bool {
        let (withheld, suspects) = self.withheld_tasks(key, &pass.suspects, clock);
        self.note_awaited_verdicts(key, &withheld, clock);
        for suspect in suspects {
            self.place_suspect(suspect, pass, clock);
        }
        let Some(context) = self.step_context(key) else {
            return true;
        };
        let cap_limit = self.cap_limit(key);
        if cap_limit == 0 {
            self.wait_for_cap(key, pass, clock);
            return false;
        }
        let (step, step_state, advice) = (context.step, context.step_state, context.queue.advice);
        let allowed = self.startable_workers(&context, pass, clock);
        let demand = workers::counted_demand(step);
        let assignment =
            candidate::assign_tasks(allowed, step_state, &demand, cap_limit, |index| {
                !withheld.contains(index)
            });
        let placed = u32::try_from(assignment.len()).unwrap_or(u32::MAX);
        let missing = step_state.waiting_count - placed - withheld.awaiting_verdict;
        let has_call_in_flight = step_state.tickets.has_call_in_flight();
        let awaits_room = self.priority_preemptions.is_awaited(key, clock.now);
        let keeps_reservation = (step.long_running || awaits_room) && missing > 0;
        if !assignment.is_empty() {
            self.plan_runs(key, assignment, clock);
        }
        if !has_call_in_flight && !keeps_reservation {
            self.reservations.release(key);
        }
        if missing == 0 {
            self.priority_preemptions.finish(key);
            return withheld.awaiting_verdict == 0;
        }
        if placed == cap_limit {
            self.wait_for_cap(key, pass, clock);
            return false;
        }
        let startable = missing.saturating_sub(withheld.behind_suspects);
        let startable = startable.min(cap_limit - placed);
        if !has_call_in_flight
            && startable > 0
            && let Some(terms) = advice
        {
            self.request_advice_for_tasks(key, startable, terms, pass, clock);
        }
        self.mark_blocked(key, pass, clock);
        self.preempt_for(key, clock);
        if startable > 0 {
            self.preempt_lower_priority(key, startable, pass, clock);
        }
        false
    }

    /// Places a task under which workers have crashed, isolated if possible.
    fn place_suspect(&mut self, task: model::TaskKey, pass: &mut pass::Pass, clock: event::Clock) {
        let key = task.step_key();
        let isolation = self.crashes.isolation_of(task);
        let Some(context) = self.step_context(key) else {
            return;
        };
        let suspicion = self.crashes.suspicion_of(task);
        if pass.suspects.is_full(&context.queue.pool, task, suspicion) || self.cap_limit(key) == 0 {
            return;
        }
        let context = StepContext {
            isolation,
            ..context
        };
        let (step, step_state) = (context.step, context.step_state);
        let allowed = self.startable_workers(&context, pass, clock);
        let demand = workers::counted_demand(step);
        let assignment =
            candidate::assign_tasks(allowed, step_state, &demand, 1, |index| index == task.index);
        if !assignment.is_empty() {
            self.plan_runs(key, assignment, clock);
            self.on_suspect_planned(task, &mut pass.suspects);
        }
    }

    /// Places all tasks of a gang, or none; returns whether they are placed.
    fn place_gang(
        &mut self,
        key: model::StepKey,
        pass: &mut pass::Pass,
        clock: event::Clock,
    ) -> bool {
        let (withheld, suspects) = self.withheld_tasks(key, &pass.suspects, clock);
        self.note_awaited_verdicts(key, &withheld, clock);
        if withheld.awaiting_verdict > 0 {
            return false;
        }
        if withheld.behind_suspects > 0 {
            self.begin_wait(key, clock);
            self.report_blocked(key, pass, clock);
            return false;
        }
        let Some(context) = self.step_context(key) else {
            return true;
        };
        if self.cap_limit(key) < context.step.task_count {
            self.wait_for_cap(key, pass, clock);
            return false;
        }
        let (step, step_state, advice) = (context.step, context.step_state, context.queue.advice);
        let demand = workers::counted_demand(step);
        let allowed = self.startable_workers(&context, pass, clock);
        let allowed: Vec<_> = allowed.iter().collect();
        let assignment = candidate::assign_gang(&allowed, step, &demand);
        let has_call_in_flight = step_state.tickets.has_call_in_flight();
        if !assignment.is_empty() {
            self.reservations.release(key);
            self.drains.end_resuming(key);
            self.priority_preemptions.finish(key);
            self.plan_runs(key, assignment, clock);
            for suspect in suspects {
                self.on_suspect_planned(suspect, &mut pass.suspects);
            }
            return true;
        }
        let total_count = step.task_count;
        let total = demand.times(total_count);
        let awaits_room = self.priority_preemptions.is_awaited(key, clock.now);
        if !has_call_in_flight
            && !awaits_room
            && let Some(terms) = advice
        {
            let call_duration = advisors::call_duration(&terms, step.task_count as usize);
            let wait = step_state.wait;
            if !self.drains.is_resuming(key, clock.now) {
                self.reservations.release(key);
            }
            if self.has_capacity_beyond_earlier_gangs(pass) {
                self.request_advice_for_gang(key, terms, pass, clock);
            } else if wait.is_some_and(|wait| wait.may_call_ahead(call_duration, clock.now))
                && self.request_advice_for_gang(key, terms, pass, clock)
            {
                self.mark_called_ahead(key, clock);
            }
        }
        self.mark_blocked(key, pass, clock);
        self.preempt_lower_priority(key, total_count, pass, clock);
        pass.add_gang_demand(&total);
        false
    }

    /// Returns whether more capacity is free than earlier gangs wait for; otherwise a gang would
    /// request tickets in vain.
    pub(crate) fn has_capacity_beyond_earlier_gangs(&self, pass: &mut pass::Pass) -> bool {
        let free = *pass.total_free.get_or_insert_with(|| {
            let usable = pass.usable.iter().map(|index| &self.workers[*index]);
            usable.fold(model::Demand::default(), |sum, worker| {
                sum.plus(&worker.free())
            })
        });
        let ahead = pass.gang_demand_ahead();
        ahead.processors_milli <= free.processors_milli && ahead.memory_mb <= free.memory_mb
    }

    /// Calls the recommendation service for tasks that start independently, if that may help.
    fn request_advice_for_tasks(
        &mut self,
        key: model::StepKey,
        missing: u32,
        terms: manifest::AdviceTerms,
        pass: &pass::Pass,
        clock: event::Clock,
    ) {
        if !self.advisors.can_take_call(clock.now) {
            return;
        }
        let call = self.with_advice_planner(key, terms, pass, clock, |planner| {
            planner.call_for_tasks(missing)
        });
        match call {
            Some(Some(advice_planner::TaskCall {
                worker_ids,
                reserve_on,
            })) => {
                if !self.reservations.has_reservation(key) {
                    let exclusivity = reservations::Exclusivity::LaterSteps;
                    self.reserve_capacity(
                        key,
                        &reserve_on,
                        exclusivity,
                        terms,
                        worker_ids.len(),
                        clock,
                    );
                }
                self.request_advice(key, terms, worker_ids, clock);
            }
            Some(None) => self.defer_call(key, clock),
            None => {}
        }
    }

    /// Calls the recommendation service for a gang, if that may help; returns whether it is called.
    fn request_advice_for_gang(
        &mut self,
        key: model::StepKey,
        terms: manifest::AdviceTerms,
        pass: &pass::Pass,
        clock: event::Clock,
    ) -> bool {
        if !self.advisors.can_take_gang_call(&terms, clock.now) {
            return false;
        }
        let call =
            self.with_advice_planner(key, terms, pass, clock, |planner| planner.call_for_gang());
        match call {
            Some(Some(advice_planner::GangCall::Renew {
                worker_ids,
                assignment,
            })) => {
                let reserve_on: Vec<_> = assignment
                    .into_iter()
                    .map(|(_, incarnation)| incarnation)
                    .collect();
                self.reserve_capacity(
                    key,
                    &reserve_on,
                    reservations::Exclusivity::AllSteps,
                    terms,
                    advisors::even_call_size(worker_ids.len()),
                    clock,
                );
                self.request_gang_advice(key, terms, &worker_ids, clock);
                true
            }
            Some(Some(advice_planner::GangCall::Discover { worker_ids })) => {
                self.request_gang_advice(key, terms, &worker_ids, clock);
                true
            }
            Some(None) => {
                self.defer_call(key, clock);
                false
            }
            None => false,
        }
    }

    /// Reserves capacity for a step while a call that names `named` workers is in flight.
    fn reserve_capacity(
        &mut self,
        key: model::StepKey,
        reserve_on: &[model::WorkerIncarnation],
        exclusivity: reservations::Exclusivity,
        terms: manifest::AdviceTerms,
        named: usize,
        clock: event::Clock,
    ) {
        let until = clock.now + advisors::call_timeout(&terms, named);
        if let Some(context) = self.step_context(key) {
            let demand = workers::counted_demand(context.step);
            self.reservations
                .reserve(key, reserve_on, &demand, exclusivity, until);
        }
    }

    /// Calls `decide` with an advice planner for a step; `None` if no call may be made now.
    fn with_advice_planner<T>(
        &self,
        key: model::StepKey,
        terms: manifest::AdviceTerms,
        pass: &pass::Pass,
        clock: event::Clock,
        decide: impl FnOnce(&advice_planner::AdvicePlanner<'_>) -> T,
    ) -> Option<T> {
        let context = self.step_context(key)?;
        if !context.step_state.tickets.may_call(clock.now) {
            return None;
        }
        let isolation = self.crashes.isolation_of_waiting(key, context.step_state);
        let context = StepContext {
            isolation: context.isolation.min(isolation),
            ..context
        };
        let usable = self.usable_candidates(&context, pass);
        let demand = workers::counted_demand(context.step);
        Some(decide(&advice_planner::AdvicePlanner {
            usable: &usable,
            step: context.step,
            demand,
            mean_fit_count: self.mean_fit_count(&context, &demand, pass),
            blocked_ratio: context.blocked_ratio(clock),
            tickets: &context.step_state.tickets,
            terms,
            allowed_share: self.advisors.allowed_share(&context.queue.name),
            clock,
        }))
    }

    /// Returns the mean number of tasks of `demand` that fit on a worker of the queue's pool,
    /// without regard to reservations.
    fn mean_fit_count(
        &self,
        context: &StepContext<'_>,
        demand: &model::Demand,
        pass: &pass::Pass,
    ) -> f64 {
        let pool = &context.queue.pool;
        let task_limit = context.step.max_per_worker.unwrap_or(u32::MAX);
        let workers = self.usable_workers(pass).map(|(_, worker)| worker);
        let workers = workers.filter(|worker| {
            let report = worker.report.as_ref();
            report.is_some_and(|report| report.pool == *pool)
        });
        let workers = workers.take(MAX_CONSIDERED_WORKERS);
        let (mut count, mut fitting) = (0_u32, 0_u32);
        for worker in workers {
            count += 1;
            fitting = fitting
                .saturating_add(candidate::count_fitting(demand, &worker.free()).min(task_limit));
        }
        f64::from(fitting) / f64::from(count.max(1))
    }

    fn defer_call(&mut self, key: model::StepKey, clock: event::Clock) {
        let state = self.jobs.get_mut(&key.job_id);
        if let Some((_, step_state)) = state.and_then(|one| one.step_mut(key)) {
            step_state.tickets.defer_call(clock.now);
        }
    }

    pub(crate) fn step_context(&self, key: model::StepKey) -> Option<StepContext<'_>> {
        let state = self.jobs.get(&key.job_id)?;
        let (step, step_state) = state.step(key)?;
        Some(StepContext {
            key,
            queue: Self::queue_of(&self.manifest, state),
            step,
            step_state,
            objective_ms: state.objective_ms,
            isolation: match step.gang {
                true => self.crashes.isolation_of_gang(key),
                false => isolation::Isolation::None,
            },
        })
    }

    /// Returns the workers on which a step may start now: those with a valid ticket if its queue
    /// needs advice.
    pub(crate) fn startable_workers<'a>(
        &'a self,
        context: &StepContext<'a>,
        pass: &pass::Pass,
        clock: event::Clock,
    ) -> Vec<Candidate<'a>> {
        if context.queue.advice.is_none() {
            return self.usable_candidates(context, pass);
        }
        let ticketed = context.step_state.tickets.valid_workers(clock.now);
        let ticketed = self.usable_by_id(ticketed, clock);
        self.candidates(context, ticketed, pass)
    }

    /// Returns the workers that accept runs, from another one at each visit if there are more than are
    /// considered for a step.
    fn usable_workers(
        &self,
        pass: &pass::Pass,
    ) -> impl Iterator<Item = (&model::WorkerIncarnation, &worker::Worker)> {
        let count = pass.usable.len();
        let first = match count > MAX_CONSIDERED_WORKERS {
            true => (self.placement_visits as usize).wrapping_mul(MAX_CONSIDERED_WORKERS) % count,
            false => 0,
        };
        let (before, after) = pass.usable.split_at(first);
        let indexes = after.iter().chain(before);
        indexes.filter_map(|index| self.workers.get_index(*index))
    }

    /// Returns the workers that accept runs and on which a step may start, as far as the leader knows,
    /// whatever their free capacity.
    pub(crate) fn suitable_workers<'a>(
        &'a self,
        context: &StepContext<'a>,
        pass: &pass::Pass,
    ) -> impl Iterator<Item = &'a worker::Worker> {
        let usable = self.usable_workers(pass);
        let suitable = usable.filter(|(incarnation, worker)| context.suits(incarnation, worker));
        suitable.map(|(_, worker)| worker)
    }

    /// Returns the candidates for a step among all workers that accept runs.
    pub(crate) fn usable_candidates<'a>(
        &'a self,
        context: &StepContext<'a>,
        pass: &pass::Pass,
    ) -> Vec<Candidate<'a>> {
        self.candidates(context, self.usable_workers(pass), pass)
    }

    /// Returns those of the named workers that accept runs.
    fn usable_by_id<'a>(
        &'a self,
        worker_ids: impl Iterator<Item = &'a model::WorkerId>,
        clock: event::Clock,
    ) -> impl Iterator<Item = (&'a model::WorkerIncarnation, &'a worker::Worker)> {
        worker_ids
            .filter_map(|worker_id| self.newest_incarnations.get(worker_id))
            .filter_map(|incarnation| self.workers.get_key_value(incarnation))
            .filter(move |(_, worker)| worker.accepts_plans(clock.now))
    }

    /// Returns the workers on which a step may start once they have capacity and, if its queue
    /// needs advice, a valid ticket.
    pub(crate) fn allowed_workers<'a>(
        &'a self,
        context: &StepContext<'a>,
        pass: &pass::Pass,
        clock: event::Clock,
    ) -> Vec<Candidate<'a>> {
        if context.queue.advice.is_none() {
            return self.usable_candidates(context, pass);
        }
        let allowed = context.step_state.tickets.allowed_workers();
        self.candidates(context, self.usable_by_id(allowed, clock), pass)
    }

    /// Returns the first of `workers`, which accept runs, on which tasks of a step may start, as far as
    /// the leader knows.
    fn candidates<'a>(
        &self,
        context: &StepContext<'_>,
        workers: impl Iterator<Item = (&'a model::WorkerIncarnation, &'a worker::Worker)>,
        pass: &pass::Pass,
    ) -> Vec<Candidate<'a>> {
        let (step, step_state) = (context.step, context.step_state);
        let priority = context.queue.priority;
        let may_use_any = step.long_running || context.isolation != isolation::Isolation::None;
        let usable = workers.filter(|(incarnation, worker)| {
            !pass.is_reserved(incarnation, priority)
                && (may_use_any || !pass.suspects.is_set_aside(incarnation))
                && context.suits(incarnation, worker)
                && self.permits_beside(
                    incarnation,
                    context.key.job_id,
                    context.isolation,
                    &pass.suspects,
                )
        });
        let is_earlier = |step: &model::StepKey| pass.is_earlier(step);
        let preference = self.preference(context, pass);
        let uses_quarantines = self.settings.uses_speeds && self.settings.uses_quarantines;
        let candidates = usable.filter_map(|(incarnation, worker)| {
            let trial_limit = match uses_quarantines {
                true => worker.trial_limit(step)?,
                false => u32::MAX,
            };
            let task_limit = step.max_per_worker.map_or(trial_limit, |most| {
                let left = most.saturating_sub(worker.run_count(context.key));
                left.min(trial_limit)
            });
            let speed_level = match preference {
                preference::Preference::None => 0,
                _ => worker.speed.level,
            };
            Some(Candidate {
                incarnation,
                rack: rack_of(worker),
                free: worker.free().minus(&self.reservations.reserved_by_others(
                    context.key,
                    incarnation,
                    is_earlier,
                )),
                capacity: worker.capacity(),
                task_limit,
                is_in_data_rack: step
                    .data_rack
                    .as_ref()
                    .is_none_or(|rack| worker.has_label(rack)),
                failures: step_state.failures_on(&incarnation.worker_id),
                speed_rank: preference.rank(speed_level),
                speed_level,
            })
        });
        candidates.take(MAX_CONSIDERED_WORKERS).collect()
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
        let tenant = self.tenancy.number_of(state);
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
        if let Some(wait) = &mut step_state.wait {
            wait.plans += 1;
        }
        let is_slow = |incarnation: &model::WorkerIncarnation| {
            let worker = self.workers.get(incarnation);
            worker.is_some_and(|worker| worker.speed.level < 0)
        };
        let on_slow = assignment.iter().filter(|(_, one)| is_slow(one)).count();
        self.speeds.planned_on_slow += on_slow as u64;
        log::info!(
            job:% = journal::job_id_hex(key.job_id),
            step = key.step,
            tasks = assignment.len(),
            still_waiting = step_state.waiting_count as usize - assignment.len(),
            blocked_ms = blocked_since.map_or(0, |at| {
                clock.now.saturating_duration_since(at).as_millis() as u64
            }),
            on_slow = on_slow,
            answers = step_state.tickets.answers,
            asked = step_state.tickets.asked_count(),
            allowed = step_state.tickets.allowed_count();
            "runs planned"
        );
        let mut effects = Vec::new();
        for (index, incarnation) in assignment {
            step_state.set_phase(index, job::Phase::Placed(incarnation.clone()));
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
            if let Some(worker) = self.workers.get_mut(&incarnation) {
                let checkpoint = step_state.checkpoint_of(index, step.gang);
                let planned = worker::RunPhase::Planned;
                let planned = worker::WorkerRun::new(demand, planned, clock.now)
                    .with_tenant(tenant)
                    .with_sharing_of(step)
                    .with_checkpoint(checkpoint.filter(|_| step.checkpointing));
                worker.add_run(run, planned, &mut self.tenancy.usage);
            }
            effects.push(job::Effect::SendStart(incarnation, run));
        }
        state.effects.extend(effects);
        self.journal.mark_dirty(key.job_id);
    }

    /// Marks a step as blocked, and reserves workers for a gang that has been blocked for long.
    fn mark_blocked(&mut self, key: model::StepKey, pass: &mut pass::Pass, clock: event::Clock) {
        let Some(state) = self.jobs.get_mut(&key.job_id) else {
            return;
        };
        let reserve_after =
            time::Duration::from_millis(state.objective_ms / RESERVE_AFTER_OBJECTIVE_DIVISOR);
        let Some((step, step_state)) = state.step_mut(key) else {
            return;
        };
        if step_state.blocked_since.is_none() {
            log::info!(
                job:% = journal::job_id_hex(key.job_id),
                step = key.step,
                waiting = step_state.waiting_count,
                asking = step_state.tickets.has_call_in_flight();
                "step waits for capacity or advice"
            );
        }
        let since = *step_state.blocked_since.get_or_insert(clock.now);
        let waited = clock.now.saturating_duration_since(since);
        let is_reservation_due = step.gang && waited >= reserve_after;
        self.begin_wait(key, clock);
        if is_reservation_due {
            self.reserve_workers(key, pass, clock);
        }
        self.report_blocked(key, pass, clock);
    }

    /// Reserves workers for a gang that has been blocked for long, so that it is not starved, and
    /// renews their tickets, so that it starts as soon as there is capacity.
    fn reserve_workers(&mut self, key: model::StepKey, pass: &mut pass::Pass, clock: event::Clock) {
        let Some(context) = self
            .step_context(key)
            .filter(|_| !pass.is_reservation_limit_reached())
        else {
            return;
        };
        let limit = self.workers.len() / RESERVED_WORKERS_DIVISOR;
        let demand = workers::counted_demand(context.step);
        let tickets = &context.step_state.tickets;
        let mut allowed = self.allowed_workers(&context, pass, clock);
        allowed.sort_by_cached_key(|one| {
            let free = one.free.processors_milli;
            let fitting = one.fit_count(&demand);
            (one.speed_rank, u32::MAX - fitting, u32::MAX - free)
        });
        let wanted = f64::from(context.step.task_count) * RESERVED_CAPACITY_FACTOR;
        let mut capacity = 0.0;
        let incarnations = allowed.iter().take_while(|one| {
            let is_needed = capacity < wanted;
            capacity += f64::from(one.idle_fit_count(&demand));
            is_needed
        });
        let priority = context.queue.priority;
        let incarnations: Vec<_> = incarnations.map(|one| one.incarnation.clone()).collect();
        let reserved = pass.reserved_count();
        let is_within_limit = reserved == 0 || reserved + incarnations.len() <= limit;
        if capacity < f64::from(context.step.task_count) {
            return;
        }
        if !is_within_limit {
            pass.set_reservation_limit_reached();
            return;
        }
        let advice = context.queue.advice;
        if let Some(terms) = advice {
            let named = advisors::even_call_size(incarnations.len());
            let needed_until = clock.now + advisors::call_duration(&terms, named);
            let worker_ids = incarnations
                .iter()
                .map(|incarnation| incarnation.worker_id.clone());
            let worker_ids = worker_ids
                .filter(|worker_id| tickets.valid_token(worker_id, needed_until).is_none());
            let worker_ids: Vec<_> = worker_ids.collect();
            let may_call = !tickets.has_call_in_flight()
                && !worker_ids.is_empty()
                && self.advisors.can_take_gang_call(&terms, clock.now);
            if may_call {
                self.request_gang_advice(key, terms, &worker_ids, clock);
            }
        }
        pass.reserve(incarnations, priority);
    }
}

fn rack_of(worker: &worker::Worker) -> &str {
    let report = worker.report.as_ref();
    report.map_or("", |report| &report.rack)
}
