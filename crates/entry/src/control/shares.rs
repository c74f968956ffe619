//! Shares of plans: use by this instance's tasks, and grants to all instances.

use std::time;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::control::effect;
use crate::control::settings;
use crate::control::state;

/// Interval of quota requests while no task waits for a share.
const REQUEST_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Interval of quota requests while a task waits for a share.
const REQUEST_INTERVAL_WHILE_SHORT: time::Duration = time::Duration::from_millis(25);
/// Timeout of a quota request.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_millis(1000);

/// Weight of the latest interval in the smoothed rate, per second of its length.
const RATE_SMOOTHING_PER_S: f64 = 2.0;
/// Requested rate, as a multiple of the smoothed rate.
const RATE_HEADROOM: f64 = 2.0;
const MILLI_PER_UNIT: f64 = 1000.0;

/// Demand of one plan's tasks at this instance.
///
/// A share sized from the queue alone would be returned whenever the queue is empty, and short
/// tasks would then wait for the next grant.
#[derive(Debug, Default)]
struct PlanDemand {
    /// Starts since the last quota requests.
    starts: u32,
    /// Smoothed rate of starts.
    rate_per_s: f64,
    /// Amount that tasks have acquired and not yet released.
    in_use: model::QuotaAmount,
}

impl PlanDemand {
    fn update_rate(&mut self, elapsed: time::Duration) {
        let seconds = elapsed.as_secs_f64();
        if seconds <= 0.0 {
            return;
        }
        let weight = (seconds * RATE_SMOOTHING_PER_S).min(1.0);
        let latest = f64::from(self.starts) / seconds;
        self.rate_per_s += weight * (latest - self.rate_per_s);
        self.starts = 0;
    }

    fn wanted_rate_milli(&self, queued_tasks: u32) -> u32 {
        let wanted_per_s = self.rate_per_s * RATE_HEADROOM + f64::from(queued_tasks);
        (wanted_per_s * MILLI_PER_UNIT) as u32
    }

    /// Returns the amount for tasks that are expected before the next quota request.
    fn headroom(&self) -> model::QuotaAmount {
        let tasks = (self.rate_per_s * REQUEST_INTERVAL.as_secs_f64()).ceil() as u32;
        let each = |sum: u32| sum.div_ceil(self.in_use.tasks.max(1));
        let resources = model::Demand {
            processors_milli: each(self.in_use.resources.processors_milli),
            memory_mb: each(self.in_use.resources.memory_mb),
            accelerators: each(self.in_use.resources.accelerators),
        };
        model::QuotaAmount {
            resources: resources.times(tasks),
            tasks,
            rate_milli: 0,
        }
    }
}

/// The shares of this instance, and the grants of those plans that it grants.
#[derive(Debug)]
pub(super) struct Shares {
    local_quota: quota::LocalQuota,
    grantor: quota::Grantor,
    /// Plans that this instance grants.
    granting: IndexSet<model::PlanId>,
    /// Limits of every plan.
    limits: IndexMap<model::PlanId, quota::Limits>,
    /// Amount acquired last and not yet assigned to its task.
    unassigned: Option<model::QuotaAmount>,
    /// Amounts used by the tasks of this instance.
    acquired_by_task: IndexMap<model::TaskId, model::QuotaAmount>,
    /// Recent demand of each plan.
    demand: IndexMap<model::PlanId, PlanDemand>,
    /// Whether a task could not get a share since the last quota requests.
    short: bool,
    last_requests_at: time::Instant,
}

impl Shares {
    pub(super) fn new(settings: &settings::ControlSettings, now: time::Instant) -> Self {
        let grantor = quota::GrantorSettings {
            orphan_share_retention: settings.orphan_share_retention,
        };
        Self {
            local_quota: quota::LocalQuota::new(settings.instance_id.clone(), now),
            grantor: quota::Grantor::new(grantor),
            granting: IndexSet::new(),
            limits: IndexMap::new(),
            unassigned: None,
            acquired_by_task: IndexMap::new(),
            demand: IndexMap::new(),
            short: false,
            last_requests_at: now,
        }
    }

    pub(super) fn release(&mut self, task: &model::Task) {
        if let Some(amount) = self.acquired_by_task.swap_remove(&task.task_id) {
            if let Some(demand) = self.demand.get_mut(&task.plan_id) {
                demand.in_use = minus(&demand.in_use, &amount);
            }
            self.local_quota.release(&task.plan_id, amount);
        }
    }

    /// Assigns the amount acquired last to its task.
    pub(super) fn assign_acquired(&mut self, task_id: model::TaskId) {
        if let Some(amount) = self.unassigned.take() {
            self.acquired_by_task.insert(task_id, amount);
        }
    }

    pub(super) fn acquire_unchecked(&mut self, task: &model::Task) {
        let amount = amount_of(task);
        if self.acquired_by_task.insert(task.task_id, amount).is_none() {
            let demand = self.demand.entry(task.plan_id.clone()).or_default();
            demand.in_use = plus(&demand.in_use, &amount);
            self.local_quota.acquire_unchecked(&task.plan_id, amount);
        }
    }

    pub(super) fn held_shares(&self) -> Vec<model::QuotaAsk> {
        self.local_quota.held_shares()
    }

    fn requests_due(&self, now: time::Instant) -> bool {
        let interval = if self.short {
            REQUEST_INTERVAL_WHILE_SHORT
        } else {
            REQUEST_INTERVAL
        };
        now.saturating_duration_since(self.last_requests_at) >= interval
    }
}

impl place::Quota for Shares {
    fn try_acquire(
        &mut self,
        plan_id: &model::PlanId,
        amount: &model::QuotaAmount,
        now: time::Instant,
    ) -> bool {
        // A reserve learned from earlier runs may exceed the limit of a plan that allows the
        // declared size.
        let amount = match self.limits.get(plan_id) {
            Some(limits) => clamp(amount, limits),
            None => *amount,
        };
        let acquired = self.local_quota.try_acquire(plan_id, amount, now);
        self.short |= !acquired;
        self.unassigned = acquired.then_some(amount);
        if acquired {
            let demand = self.demand.entry(plan_id.clone()).or_default();
            demand.starts = demand.starts.saturating_add(amount.tasks);
            demand.in_use = plus(&demand.in_use, &amount);
        }
        acquired
    }
}

impl state::Control {
    pub(super) fn send_quota_requests(&mut self, now: time::Instant) {
        if !self.shares.requests_due(now) {
            return;
        }
        let elapsed = now.saturating_duration_since(self.shares.last_requests_at);
        self.shares.last_requests_at = now;
        self.shares.short = false;
        let lists = self.lists.lists();
        for plan_id in lists.plans().keys() {
            let mut wanted = self.queue.queued_demand(plan_id);
            let demand = self.shares.demand.entry(plan_id.clone()).or_default();
            demand.update_rate(elapsed);
            let rate_milli = demand.wanted_rate_milli(wanted.tasks);
            wanted = plus(&plus(&wanted, &demand.in_use), &demand.headroom());
            wanted.rate_milli = rate_milli;
            self.shares.local_quota.set_wanted(plan_id, wanted);
        }
        let mut by_grantor: IndexMap<model::InstanceId, Vec<model::QuotaAsk>> = IndexMap::new();
        for request in self.shares.local_quota.requests(now) {
            let partition = model::partition_of_plan(&request.plan_id);
            if let Some(grantor) = self.owner.owner_of(partition) {
                by_grantor.entry(grantor.clone()).or_default().push(request);
            }
        }
        for (grantor, requests) in by_grantor {
            if self.is_self(&grantor) {
                let replies = self.on_quota_requests(requests, now);
                self.on_shares_granted(replies, now);
            } else {
                let request = model::PeerRequest::Quota(requests);
                self.call(
                    &grantor,
                    request,
                    REQUEST_TIMEOUT,
                    effect::CallContext::Quota,
                );
            }
        }
    }

    pub(super) fn on_quota_requests(
        &mut self,
        requests: Vec<model::QuotaAsk>,
        now: time::Instant,
    ) -> Vec<model::QuotaReply> {
        let grantor = &mut self.shares.grantor;
        requests
            .into_iter()
            .map(|request| grantor.on_request(request, now))
            .collect()
    }

    pub(super) fn on_shares_granted(
        &mut self,
        replies: Vec<model::QuotaReply>,
        now: time::Instant,
    ) {
        for reply in replies {
            self.shares.local_quota.on_reply(reply, now);
        }
    }

    /// Applies the limits of the lists in force.
    pub(super) fn on_limits_changed(&mut self, now: time::Instant) {
        let lists = self.lists.lists();
        let limits: IndexMap<_, _> = lists
            .plans()
            .iter()
            .map(|(plan_id, plan)| (plan_id.clone(), limits_of(plan)))
            .collect();
        let weights: IndexMap<_, _> = lists
            .plans()
            .iter()
            .map(|(plan_id, plan)| (plan_id.clone(), plan.weight))
            .collect();
        self.queue.set_plans(&weights);
        self.shares.limits = limits.clone();
        self.shares.local_quota.set_limits(limits.clone(), now);
        self.shares.grantor.set_limits(limits);
        let own = self.owner.served_partitions();
        self.start_granting_in(&own, Vec::new(), now);
    }

    /// Starts granting the plans of partitions that this instance starts to serve.
    pub(super) fn start_granting(
        &mut self,
        partitions: &[(model::Partition, model::Generation)],
        grants: Vec<model::QuotaAsk>,
        now: time::Instant,
    ) {
        let partitions: Vec<_> = partitions.iter().map(|(partition, _)| *partition).collect();
        self.start_granting_in(&partitions, grants, now);
    }

    fn start_granting_in(
        &mut self,
        partitions: &[model::Partition],
        grants: Vec<model::QuotaAsk>,
        now: time::Instant,
    ) {
        let lists = self.lists.lists();
        let plans: Vec<_> = lists
            .plans()
            .keys()
            .filter(|plan_id| partitions.contains(&model::partition_of_plan(plan_id)))
            .filter(|plan_id| !self.shares.granting.contains(*plan_id))
            .cloned()
            .collect();
        if plans.is_empty() {
            return;
        }
        self.shares.granting.extend(plans.iter().cloned());
        self.shares.grantor.take_over(plans, grants, now);
    }

    pub(super) fn stop_granting(&mut self, partitions: &[model::Partition]) {
        for plan_id in self.lists.lists().plans().keys() {
            if partitions.contains(&model::partition_of_plan(plan_id)) {
                self.shares.granting.swap_remove(plan_id);
                self.shares.grantor.remove_plan(plan_id);
            }
        }
    }

    pub(super) fn set_grantor_instances(
        &mut self,
        live: Vec<model::InstanceId>,
        unreachable: Vec<model::InstanceId>,
        now: time::Instant,
    ) {
        self.shares.grantor.set_instances(live, unreachable, now);
    }
}

/// Returns the amount of its plan that a task uses.
pub(super) fn amount_of(task: &model::Task) -> model::QuotaAmount {
    let members = u32::from(task.spec.members);
    model::QuotaAmount {
        resources: task.spec.demand.times(members),
        tasks: members,
        rate_milli: 0,
    }
}

/// Converts the limits of a plan to those of the quota crate.
pub(super) fn limits_of(plan: &lists::Plan) -> quota::Limits {
    quota::Limits {
        processors_milli: plan.limits.processors_milli,
        memory_mb: plan.limits.memory_mb,
        accelerators: plan.limits.accelerators,
        tasks: plan.limits.tasks,
        rate_milli: plan.limits.rate_milli,
    }
}

/// Returns whether `amount` exceeds any of `limits`, so that it can never be granted.
pub(super) fn exceeds(amount: &model::QuotaAmount, limits: &quota::Limits) -> bool {
    let above = |amount: u32, limit: Option<u32>| limit.is_some_and(|limit| amount > limit);
    above(amount.resources.processors_milli, limits.processors_milli)
        || above(amount.resources.memory_mb, limits.memory_mb)
        || above(amount.resources.accelerators, limits.accelerators)
        || above(amount.tasks, limits.tasks)
}

/// Returns `amount` with each resource at most its limit.
fn clamp(amount: &model::QuotaAmount, limits: &quota::Limits) -> model::QuotaAmount {
    let within = |amount: u32, limit: Option<u32>| limit.map_or(amount, |limit| amount.min(limit));
    model::QuotaAmount {
        resources: model::Demand {
            processors_milli: within(amount.resources.processors_milli, limits.processors_milli),
            memory_mb: within(amount.resources.memory_mb, limits.memory_mb),
            accelerators: within(amount.resources.accelerators, limits.accelerators),
        },
        tasks: within(amount.tasks, limits.tasks),
        rate_milli: amount.rate_milli,
    }
}

fn plus(a: &model::QuotaAmount, b: &model::QuotaAmount) -> model::QuotaAmount {
    model::QuotaAmount {
        resources: a.resources.plus(&b.resources),
        tasks: a.tasks.saturating_add(b.tasks),
        rate_milli: 0,
    }
}

fn minus(a: &model::QuotaAmount, b: &model::QuotaAmount) -> model::QuotaAmount {
    model::QuotaAmount {
        resources: a.resources.minus(&b.resources),
        tasks: a.tasks.saturating_sub(b.tasks),
        rate_milli: 0,
    }
}
