//! The queue of waiting tasks, by plan and lane.

use std::cmp;
use std::collections;
use std::time;

use crate::dispatch;
use crate::lanes;
use crate::plan;
use crate::predictor;
use crate::queue_settings;
use crate::recent_sum;
use crate::targets;

const MIN_STALE_DEADLINES: usize = 1024;

/// A waiting task with its plan and lane.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) queued: dispatch::Queued,
    pub(crate) seq: u64,
    pub(crate) plan: usize,
    pub(crate) lane: usize,
    pub(crate) kind: predictor::KindIndex,
}

type Deadline = cmp::Reverse<(time::Instant, u64, model::TaskId)>;

/// The tasks of one owner that are waiting to start.
#[derive(Debug)]
pub struct Queue {
    pub(crate) settings: queue_settings::QueueSettings,
    pub(crate) plans: indexmap::IndexMap<model::PlanId, plan::Plan>,
    pub(crate) entries: indexmap::IndexMap<model::TaskId, Entry>,
    pub(crate) targets: targets::Targets,
    pub(crate) predictor: predictor::Predictor,
    /// Plans with waiting tasks, by charge.
    pub(crate) by_charge: collections::BTreeSet<(u64, usize)>,
    /// The same plans, by charge for short tasks.
    pub(crate) by_short_charge: collections::BTreeSet<(u64, usize)>,
    /// Charge of the plan served last; a plan that becomes active again starts at least there.
    pub(crate) served_charge: u64,
    pub(crate) served_short_charge: u64,
    /// Incremented whenever plans and lanes marked as blocked are to be tried again.
    pub(crate) round: u64,
    pub(crate) listed_workers: Option<u32>,
    /// Number of waiting gangs.
    pub(crate) gangs: usize,
    /// Recent starts of long and of short tasks, indexed by whether they are short.
    pub(crate) starts: [recent_sum::RecentSum; 2],
    /// May hold deadlines of tasks that have left the queue.
    deadlines: collections::BinaryHeap<Deadline>,
    next_seq: u64,
}

impl Queue {
    /// Returns an empty queue.
    #[must_use]
    pub fn new(settings: queue_settings::QueueSettings) -> Self {
        let predictor = predictor::Predictor::new(settings.short_run);
        Self {
            settings,
            plans: indexmap::IndexMap::new(),
            entries: indexmap::IndexMap::new(),
            targets: targets::Targets::default(),
            predictor,
            by_charge: collections::BTreeSet::new(),
            by_short_charge: collections::BTreeSet::new(),
            served_charge: 0,
            served_short_charge: 0,
            round: 1,
            listed_workers: None,
            gangs: 0,
            starts: [
                recent_sum::RecentSum::default(),
                recent_sum::RecentSum::default(),
            ],
            deadlines: collections::BinaryHeap::new(),
            next_seq: 0,
        }
    }

    /// Replaces the weights of plans; a plan that is not listed gets weight 1.
    pub fn set_plans(&mut self, weights: &indexmap::IndexMap<model::PlanId, u32>) {
        for plan in self.plans.values_mut() {
            plan.weight = weights.get(&plan.plan_id).copied().unwrap_or(1).max(1);
        }
        for (plan_id, weight) in weights {
            if !self.plans.contains_key(plan_id) {
                let plan = plan::Plan::new(plan_id.clone(), *weight);
                self.plans.insert(plan_id.clone(), plan);
            }
        }
        self.round += 1;
    }

    /// Sets how many workers the platform's directory lists; while the targets advertise fewer, no
    /// task is refused as never fitting.
    pub fn set_listed_workers(&mut self, listed: impl Into<Option<u32>>) {
        self.listed_workers = listed.into();
    }

    /// Queues a task; replaces one of the same id.
    pub fn push(&mut self, queued: dispatch::Queued, now: time::Instant) {
        let seq = self.next_seq;
        self.next_seq += 1;
        self.insert(queued, seq, now);
    }

    /// Requeues a task whose offer was refused, at its former position.
    ///
    /// The target is offered no task of that size or larger until it advertises different free
    /// capacity, or the same again a few milliseconds after its last refusal.
    pub fn requeue_refused(&mut self, dispatch: dispatch::Dispatch, now: time::Instant) {
        let members = dispatch.queued.task.spec.members;
        self.targets.refuse(
            &dispatch.target,
            &dispatch.claim,
            targets::RequestShape {
                reserve: dispatch.reserve,
                members: u32::from(members),
                short: dispatch.short,
                allows_probation: dispatch.queued.task.spec.repeatable,
            },
            now,
        );
        if dispatch.short {
            let task = &dispatch.queued.task;
            let kind = self.predictor.index(&task.customer_id, &task.spec.kind);
            self.predictor.undo_short_start(kind);
        }
        let plan = self.plan_index(&dispatch.queued.task.plan_id);
        let cost = self.plans[plan].cost(dispatch.expected_run_time, members);
        self.charge(plan, dispatch.short, |charge| charge.saturating_sub(cost));
        let lane = self.insert(dispatch.queued, dispatch.seq, now);
        let lane = self.plans[plan].lanes.get_mut(lane);
        lane.starts.subtract(1);
        lane.next_offer_at = Some(now + self.settings.gang_offer_interval);
    }

    /// Removes a task and returns whether it was queued.
    pub fn cancel(&mut self, task_id: model::TaskId) -> bool {
        self.remove(task_id).is_some()
    }

    /// Records the capacity that a target advertises.
    pub fn set_capacity(
        &mut self,
        target: &dispatch::Target,
        proximity: dispatch::Proximity,
        summary: model::CapacitySummary,
        now: time::Instant,
    ) {
        self.targets.set(target, proximity, summary, now);
        self.round += 1;
    }

    /// Removes a peer from the targets.
    pub fn remove_target(&mut self, instance_id: &model::InstanceId) {
        self.targets.remove(instance_id);
    }

    /// Removes and returns the tasks whose deadline has passed.
    pub fn expire(&mut self, now: time::Instant) -> Vec<dispatch::Queued> {
        let mut expired = Vec::new();
        while let Some(cmp::Reverse((deadline, seq, task_id))) = self.deadlines.peek().copied() {
            if deadline > now {
                break;
            }
            self.deadlines.pop();
            if self.is_current(task_id, seq) {
                expired.extend(self.remove(task_id).map(|entry| entry.queued));
            }
        }
        expired
    }

    /// Records the run time and peak of a finished task for predictions.
    pub fn record_finished(
        &mut self,
        customer_id: &model::CustomerId,
        kind: &str,
        run: time::Duration,
        peak: model::Demand,
        _declared: model::Demand,
        _now: time::Instant,
    ) {
        let kind = self.predictor.index(customer_id, kind);
        self.predictor.observe(kind, run, peak);
    }

    /// Records the start of a task in the start rates.
    pub fn record_start(&mut self, _waited: time::Duration, short: bool, now: time::Instant) {
        self.starts[usize::from(short)].add(1, now);
    }

    /// Returns the number of waiting tasks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no task waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of waiting tasks of a plan.
    #[must_use]
    pub fn queued_of_plan(&self, plan_id: &model::PlanId) -> usize {
        self.plans.get(plan_id).map_or(0, |plan| plan.lanes.len())
    }

    /// Returns the quota that the waiting tasks of a plan would use if all started within a second,
    /// by their declared demand.
    #[must_use]
    pub fn queued_demand(&self, plan_id: &model::PlanId) -> model::QuotaAmount {
        self.plans
            .get(plan_id)
            .map(|plan| plan.queued_demand.amount(plan.lanes.len()))
            .unwrap_or_default()
    }

    /// Returns the number of waiting tasks that are predicted to be short.
    #[must_use]
    pub fn short_waiting(&self, _now: time::Instant) -> u32 {
        let plans = self.plans.values();
        let waiting: usize = plans.map(|plan| self.queued_in(plan, true)).sum();
        u32::try_from(waiting).unwrap_or(u32::MAX)
    }

    /// Returns when [`Queue::next`] or [`Queue::expire`] must be called even if no event occurs.
    #[must_use]
    pub fn next_wake(&self, _now: time::Instant) -> Option<time::Instant> {
        let deadline = self.deadlines.peek().map(|deadline| deadline.0.0);
        let offers = self
            .plans
            .values()
            .flat_map(|plan| plan.lanes.active())
            .filter_map(|(_, lane)| lane.next_offer_at);
        offers.chain(deadline).min()
    }

    /// Returns the index of a plan; inserts an unknown one with weight 1.
    pub(crate) fn plan_index(&mut self, plan_id: &model::PlanId) -> usize {
        if let Some(index) = self.plans.get_index_of(plan_id) {
            return index;
        }
        let plan = plan::Plan::new(plan_id.clone(), 1);
        self.plans.insert_full(plan_id.clone(), plan).0
    }

    /// Returns the number of waiting tasks of `plan` whose prediction matches `short`.
    pub(crate) fn queued_in(&self, plan: &plan::Plan, short: bool) -> usize {
        let lanes = plan.lanes.active();
        lanes
            .filter(|(_, lane)| self.predictor.predict(lane.kind, &lane.spec).short == short)
            .map(|(_, lane)| lane.live)
            .sum()
    }

    /// Changes the charge of a plan, for a short task both charges, and updates the orders by
    /// charge.
    pub(crate) fn charge(&mut self, index: usize, short: bool, change: impl Fn(u64) -> u64) {
        let plan = &mut self.plans[index];
        let queued = self.by_charge.remove(&(plan.charged, index));
        self.by_short_charge.remove(&(plan.charged_short, index));
        plan.charged = change(plan.charged);
        if short {
            plan.charged_short = change(plan.charged_short);
        }
        if queued {
            self.by_charge.insert((plan.charged, index));
            self.by_short_charge.insert((plan.charged_short, index));
        }
    }

    pub(crate) fn is_current(&self, task_id: model::TaskId, seq: u64) -> bool {
        self.entries
            .get(&task_id)
            .is_some_and(|entry| entry.seq == seq)
    }

    /// Removes a task from the queue; its lane item stays behind as stale.
    pub(crate) fn remove(&mut self, task_id: model::TaskId) -> Option<Entry> {
        let entry = self.entries.swap_remove(&task_id)?;
        let entries = &self.entries;
        let plan = &mut self.plans[entry.plan];
        plan.lanes.remove_task(entry.lane, |item| {
            let entry = entries.get(&item.task_id);
            entry.is_some_and(|entry| entry.seq == item.seq)
        });
        let spec = &entry.queued.task.spec;
        plan.queued_demand.subtract(spec);
        self.gangs -= usize::from(spec.class == model::Class::Gang);
        if plan.lanes.len() == 0 {
            self.by_charge.remove(&(plan.charged, entry.plan));
            self.by_short_charge
                .remove(&(plan.charged_short, entry.plan));
        }
        self.compact(entry.plan);
        Some(entry)
    }

    fn insert(&mut self, queued: dispatch::Queued, seq: u64, now: time::Instant) -> usize {
        let task_id = queued.task.task_id;
        self.remove(task_id);
        let spec = queued.task.spec.clone();
        let kind = self.predictor.index(&queued.task.customer_id, &spec.kind);
        let index = self.plan_index(&queued.task.plan_id);
        self.activate(index);
        let plan = &mut self.plans[index];
        let key = lanes::LaneKey::new(&spec, kind, &queued.excluded_instances);
        let lane = plan.lanes.lane(key, &spec, now);
        plan.lanes.insert(lane, lanes::LaneItem { seq, task_id });
        plan.queued_demand.add(&spec);
        plan.blocked_round = [0; 2];
        self.deadlines
            .push(cmp::Reverse((queued.deadline, seq, task_id)));
        let entry = Entry {
            queued,
            seq,
            plan: index,
            lane,
            kind,
        };
        self.entries.insert(task_id, entry);
        self.gangs += usize::from(spec.class == model::Class::Gang);
        lane
    }

    /// Inserts a plan without waiting tasks into the orders by charge, without credit for the time
    /// in which it was idle.
    fn activate(&mut self, index: usize) {
        let plan = &mut self.plans[index];
        if plan.lanes.len() > 0 {
            return;
        }
        plan.charged = plan.charged.max(self.served_charge);
        plan.charged_short = plan.charged_short.max(self.served_short_charge);
        self.by_charge.insert((plan.charged, index));
        self.by_short_charge.insert((plan.charged_short, index));
    }

    fn compact(&mut self, plan: usize) {
        let entries = &self.entries;
        let is_live = |task_id: &model::TaskId, seq: u64| {
            entries.get(task_id).is_some_and(|entry| entry.seq == seq)
        };
        let lanes = &mut self.plans[plan].lanes;
        if lanes.needs_compaction() {
            lanes.compact(|item| is_live(&item.task_id, item.seq));
        }
        if self.deadlines.len() > 2 * entries.len() + MIN_STALE_DEADLINES {
            self.deadlines
                .retain(|deadline| is_live(&deadline.0.2, deadline.0.1));
        }
    }
}
