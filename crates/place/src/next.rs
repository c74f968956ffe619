//! Selection of the next task to dispatch and of its target.

use std::ops;
use std::time;

use crate::dispatch;
use crate::predictor;
use crate::queue;
use crate::queue_settings;
use crate::targets;

const RATE_WINDOW_SECONDS: usize = 5;
const START_RATE_MILLI: u32 = 1000;

/// Which tasks and slots are considered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pass {
    /// Short tasks, on the slots kept for them.
    ShortSlots,
    /// All tasks, on all slots.
    AllSlots,
}

/// The target selected for a task, and the capacity claimed there.
struct Selection {
    prediction: predictor::Prediction,
    reserve: model::Demand,
    target: dispatch::Target,
    claim: targets::Claim,
}

impl queue::Queue {
    /// Returns the next task to offer, or `None` if none can be dispatched now.
    ///
    /// Acquires from `quota` the larger of what the task declares and is predicted to use: the
    /// `reserve` of [`dispatch::Dispatch`] for each member.
    pub fn next<Q: dispatch::Quota>(
        &mut self,
        quota: &mut Q,
        now: time::Instant,
    ) -> Option<dispatch::Dispatch> {
        let dispatch = match self.settings.policy {
            queue_settings::Policy::Fair => self.next_fair(quota, now),
            queue_settings::Policy::Baseline => self.next_fifo(quota, now),
        };
        if dispatch.is_none() {
            self.round += 1;
        }
        dispatch
    }

    fn next_fair<Q: dispatch::Quota>(
        &mut self,
        quota: &mut Q,
        now: time::Instant,
    ) -> Option<dispatch::Dispatch> {
        if self.is_empty() || (self.gangs == 0 && !self.targets.any_free_slot()) {
            return None;
        }
        if self.targets.any_short_slot() {
            let dispatch = self.next_in_order(Pass::ShortSlots, quota, now);
            if dispatch.is_some() {
                return dispatch;
            }
        }
        self.next_in_order(Pass::AllSlots, quota, now)
    }

    /// Tries the plans in order of their charge.
    fn next_in_order<Q: dispatch::Quota>(
        &mut self,
        pass: Pass,
        quota: &mut Q,
        now: time::Instant,
    ) -> Option<dispatch::Dispatch> {
        let mut after = ops::Bound::Unbounded;
        loop {
            let order = match pass {
                Pass::ShortSlots => &self.by_short_charge,
                Pass::AllSlots => &self.by_charge,
            };
            let (charge, plan) = *order.range((after, ops::Bound::Unbounded)).next()?;
            after = ops::Bound::Excluded((charge, plan));
            if self.plans[plan].blocked_round[pass as usize] == self.round {
                continue;
            }
            let dispatch = self.next_of_plan(plan, pass, quota, now);
            if dispatch.is_none() {
                self.plans[plan].blocked_round[pass as usize] = self.round;
                continue;
            }
            match pass {
                Pass::ShortSlots => self.served_short_charge = charge,
                Pass::AllSlots => self.served_charge = charge,
            }
            return dispatch;
        }
    }

    /// Tries the lanes of a plan in order.
    fn next_of_plan<Q: dispatch::Quota>(
        &mut self,
        plan: usize,
        pass: Pass,
        quota: &mut Q,
        now: time::Instant,
    ) -> Option<dispatch::Dispatch> {
        while let Some((_, lane)) = self.best_lane(plan, pass) {
            let dispatch = self.try_head(plan, lane, pass, quota, now);
            if dispatch.is_some() {
                return dispatch;
            }
        }
        None
    }

    /// Tries all lanes of all plans, the earliest task first.
    fn next_fifo<Q: dispatch::Quota>(
        &mut self,
        quota: &mut Q,
        now: time::Instant,
    ) -> Option<dispatch::Dispatch> {
        loop {
            let plans = 0..self.plans.len();
            let lanes = plans.filter_map(|plan| {
                let (order, lane) = self.best_lane(plan, Pass::AllSlots)?;
                Some((order, plan, lane))
            });
            let (_, plan, lane) = lanes.min()?;
            let dispatch = self.try_head(plan, lane, Pass::AllSlots, quota, now);
            if dispatch.is_some() {
                return dispatch;
            }
        }
    }

    /// Returns the lane of `plan` to try next, with its sort key among the lanes of other plans.
    fn best_lane(&self, plan: usize, pass: Pass) -> Option<((bool, time::Instant, u64), usize)> {
        let plan = &self.plans[plan];
        let lanes = plan.lanes.active();
        let unblocked = lanes.filter(|(_, lane)| lane.blocked_round[pass as usize] != self.round);
        unblocked
            .filter_map(|(position, lane)| {
                let prediction = self.predictor.predict(lane.kind, &lane.spec);
                if pass == Pass::ShortSlots && !prediction.short {
                    return None;
                }
                let item = lane.items.front()?;
                let accepted_at = self.entries.get(&item.task_id)?.queued.accepted_at;
                let order = match self.settings.policy {
                    queue_settings::Policy::Fair => {
                        let lead = prediction.run_time.min(self.settings.max_lead);
                        (!lane.urgent, accepted_at + lead, item.seq)
                    }
                    queue_settings::Policy::Baseline => (false, accepted_at, item.seq),
                };
                Some((order, position))
            })
            .min()
    }

    /// Dispatches the first task of a lane, or marks the lane as blocked for this round.
    fn try_head<Q: dispatch::Quota>(
        &mut self,
        plan: usize,
        lane: usize,
        pass: Pass,
        quota: &mut Q,
        now: time::Instant,
    ) -> Option<dispatch::Dispatch> {
        let task_id = self.plans[plan].lanes.head(lane)?;
        let Some(selection) = self.select(plan, lane, task_id, pass, now) else {
            self.plans[plan].lanes.get_mut(lane).blocked_round[pass as usize] = self.round;
            return None;
        };
        let members = self.entries[&task_id].queued.task.spec.members;
        let amount = model::QuotaAmount {
            resources: selection.reserve.times(u32::from(members)),
            tasks: u32::from(members),
            rate_milli: START_RATE_MILLI,
        };
        let plan_id = self.plans[plan].plan_id.clone();
        if !quota.try_acquire(&plan_id, &amount, now) {
            self.targets
                .release_claim(&selection.target, &selection.claim);
            self.plans[plan].lanes.get_mut(lane).blocked_round = [self.round; 2];
            return None;
        }
        self.dispatch(plan, lane, task_id, selection, now)
    }

    /// Selects a target for a task and claims capacity there.
    fn select(
        &mut self,
        plan: usize,
        lane: usize,
        task_id: model::TaskId,
        pass: Pass,
        now: time::Instant,
    ) -> Option<Selection> {
        let entry = &self.entries[&task_id];
        let spec = &entry.queued.task.spec;
        let prediction = self.prediction(entry);
        let bounded_peak = min_demand(&prediction.peak, &self.targets.largest_worker());
        let reserve = spec.demand.max(&bounded_peak);
        let own_region = targets::Requirement {
            reserve,
            members: u32::from(spec.members),
            short: prediction.short,
            allows_probation: spec.repeatable,
            short_slots_only: pass == Pass::ShortSlots,
            cross_region: false,
            excluded_instances: &entry.queued.excluded_instances,
            seed: task_id.as_u128() as u64,
        };
        let any_region = targets::Requirement {
            cross_region: true,
            ..own_region
        };
        let mut position = self.targets.choose(&own_region);
        if position.is_none()
            && self.targets.any_other_region()
            && self.prefers_other_region(entry, now)
        {
            position = self.targets.choose(&any_region);
        }
        if let Some(position) = position {
            return Some(Selection {
                prediction,
                reserve,
                target: self.targets.target(position).clone(),
                claim: self.targets.claim(position, &own_region),
            });
        }
        if spec.class != model::Class::Gang || pass == Pass::ShortSlots {
            return None;
        }
        if now.saturating_duration_since(entry.queued.accepted_at) < self.settings.gang_offer_delay
        {
            return None;
        }
        let lane = self.plans[plan].lanes.get_mut(lane);
        if lane.next_offer_at.is_some_and(|at| at > now) {
            return None;
        }
        let position = self.targets.choose_large_enough(&any_region)?;
        lane.next_offer_at = Some(now + self.settings.gang_offer_interval);
        Some(Selection {
            prediction,
            reserve,
            target: self.targets.target(position).clone(),
            claim: targets::Claim::default(),
        })
    }

    fn prediction(&self, entry: &queue::Entry) -> predictor::Prediction {
        let spec = &entry.queued.task.spec;
        let mut prediction = self.predictor.predict(entry.kind, spec);
        if self.settings.policy == queue_settings::Policy::Baseline {
            prediction.short = false;
            prediction.peak = model::Demand::default();
        }
        prediction
    }

    /// Returns whether the wait in the own region justifies the billed link to another one.
    fn prefers_other_region(&self, entry: &queue::Entry, now: time::Instant) -> bool {
        let spec = &entry.queued.task.spec;
        if self.settings.policy == queue_settings::Policy::Baseline {
            return true;
        }
        if !self.targets.own_region_could_hold(&spec.demand) {
            return true;
        }
        let waited = now.saturating_duration_since(entry.queued.accepted_at);
        waited.max(self.expected_wait(entry, now)) > self.settings.cross_region_wait
    }

    /// Returns how long the waiting tasks of the same predicted length, short or long, take to start
    /// at the recent rate.
    fn expected_wait(&self, entry: &queue::Entry, now: time::Instant) -> time::Duration {
        let short = self.prediction(entry).short;
        let mut starts = self.starts[usize::from(short)].clone();
        let starts_a_second = starts.mean(RATE_WINDOW_SECONDS, now);
        if starts_a_second == 0 {
            return time::Duration::ZERO;
        }
        let plans = self.plans.values();
        let waiting: usize = plans.map(|plan| self.queued_in(plan, short)).sum();
        time::Duration::from_millis(waiting as u64 * 1000 / starts_a_second)
    }

    fn dispatch(
        &mut self,
        plan: usize,
        lane: usize,
        task_id: model::TaskId,
        selection: Selection,
        now: time::Instant,
    ) -> Option<dispatch::Dispatch> {
        let lanes = &mut self.plans[plan].lanes;
        lanes.get_mut(lane).starts.add(1, now);
        lanes.pop(lane);
        let entry = self.remove(task_id)?;
        let members = entry.queued.task.spec.members;
        let cost = self.plans[plan].cost(selection.prediction.run_time, members);
        self.charge(plan, selection.prediction.short, |charge| {
            charge.saturating_add(cost)
        });
        if selection.prediction.short {
            self.predictor.record_short_start(entry.kind);
        }
        Some(dispatch::Dispatch {
            queued: entry.queued,
            target: selection.target,
            reserve: selection.reserve,
            expected_run_time: selection.prediction.run_time,
            short: selection.prediction.short,
            seq: entry.seq,
            claim: selection.claim,
        })
    }
}

fn min_demand(a: &model::Demand, b: &model::Demand) -> model::Demand {
    model::Demand {
        processors_milli: a.processors_milli.min(b.processors_milli),
        memory_mb: a.memory_mb.min(b.memory_mb),
        accelerators: a.accelerators.min(b.accelerators),
    }
}
