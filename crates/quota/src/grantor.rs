//! Divides the limits of plans into shares granted to instances.

use std::time;

use indexmap::IndexMap;
use indexmap::IndexSet;
use model::InstanceId;
use model::PlanId;
use model::QuotaAmount;
use model::QuotaAsk;
use model::QuotaReply;

use crate::Limits;
use crate::amount;
use crate::amount::ResourceVector;
use crate::divide;

/// Divisor of an even share of the start rate; the quotient is granted even to an instance that
/// wants no starts.
const BASELINE_DIVISOR: u64 = 2;

/// Interval after which the next instance is first in line for what cannot be divided evenly.
const ROTATION_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Settings of a [`Grantor`].
#[derive(Clone, Debug)]
pub struct GrantorSettings {
    /// How long the share of an instance that left the partition table stays reserved. Must be at
    /// least the time in which its tasks are adopted and their new owners have asked again.
    pub orphan_share_retention: time::Duration,
}

/// Grants shares of the plans whose partitions this instance owns.
#[derive(Debug)]
pub struct Grantor {
    settings: GrantorSettings,
    limits: IndexMap<PlanId, Limits>,
    plans: IndexMap<PlanId, Plan>,
    live: IndexSet<InstanceId>,
    unreachable: IndexSet<InstanceId>,
    /// When each instance that is neither live nor unreachable was last one of them.
    left_at: IndexMap<InstanceId, time::Instant>,
    started_at: Option<time::Instant>,
}

/// Shares of one plan.
#[derive(Debug, Default)]
struct Plan {
    shares: IndexMap<InstanceId, Share>,
    /// Set once every live instance has asked since the grantor took over the plan.
    all_reported: bool,
}

/// Share of one instance.
#[derive(Debug, Default)]
struct Share {
    sequence: u64,
    granted: QuotaAmount,
    held: QuotaAmount,
    used: QuotaAmount,
    wanted: QuotaAmount,
    /// Whether the instance has asked since the grantor took over the plan.
    reported: bool,
}

impl Share {
    /// Returns the most that the instance may use until it asks again.
    fn reserved(&self) -> ResourceVector {
        let granted = amount::resource_vector(&self.granted);
        let held = amount::resource_vector(&self.held);
        let used = amount::resource_vector(&self.used);
        amount::max(amount::max(granted, held), used)
    }

    fn reserved_rate(&self) -> u64 {
        u64::from(self.granted.rate_milli.max(self.held.rate_milli))
    }
}

impl Grantor {
    /// Creates a grantor without plans.
    #[must_use]
    pub fn new(settings: GrantorSettings) -> Self {
        Self {
            settings,
            limits: IndexMap::new(),
            plans: IndexMap::new(),
            live: IndexSet::new(),
            unreachable: IndexSet::new(),
            left_at: IndexMap::new(),
            started_at: None,
        }
    }

    /// Replaces the limits of every plan.
    ///
    /// A lowered limit takes effect as the instances ask again; running tasks are not stopped.
    pub fn set_limits(&mut self, limits: IndexMap<PlanId, Limits>) {
        self.limits = limits;
    }

    /// Takes over granting of `plans`, with the shares that instances reported as held.
    ///
    /// No instance gets more than it holds until every live instance has asked and the shares of
    /// instances that left recently have been released.
    pub fn take_over(&mut self, plans: Vec<PlanId>, grants: Vec<QuotaAsk>, now: time::Instant) {
        self.started_at.get_or_insert(now);
        for plan_id in plans {
            self.plans.insert(plan_id, Plan::default());
        }
        for grant in grants {
            if let Some(plan) = self.plans.get_mut(&grant.plan_id) {
                let share = plan.shares.entry(grant.instance_id).or_default();
                share.held = grant.held;
                share.used = grant.used;
            }
        }
    }

    /// Answers a request; the reply has no amount if the plan is not granted here.
    pub fn on_request(&mut self, request: QuotaAsk, now: time::Instant) -> QuotaReply {
        let granted = self.grant(&request, now);
        QuotaReply {
            plan_id: request.plan_id,
            sequence: request.sequence,
            granted,
        }
    }

    fn grant(&mut self, request: &QuotaAsk, now: time::Instant) -> Option<QuotaAmount> {
        self.release_departed(now);
        let orphans_accounted_for = self.orphans_accounted_for(now);
        let limits = self.limits.get(&request.plan_id).copied();
        let plan = self.plans.get_mut(&request.plan_id)?;
        let share = plan.shares.entry(request.instance_id.clone()).or_default();
        if share.reported && request.sequence <= share.sequence {
            return Some(share.granted);
        }
        share.reported = true;
        share.sequence = request.sequence;
        share.held = request.held;
        share.used = request.used;
        share.wanted = request.wanted;
        plan.all_reported |= plan.has_report_of_all(&self.live);
        let granted = match limits {
            None => QuotaAmount::default(),
            Some(limits) if orphans_accounted_for && plan.all_reported => {
                let first_index = rotation_index(self.started_at, now);
                plan.divide(&limits, &request.instance_id, &self.live, first_index)
            }
            Some(_) => request.held,
        };
        if let Some(share) = plan.shares.get_mut(&request.instance_id) {
            share.granted = granted;
        }
        Some(granted)
    }

    /// Sets the live instances, and the unreachable ones, which are no longer live but may still
    /// hold shares.
    pub fn set_instances(
        &mut self,
        live: Vec<InstanceId>,
        unreachable: Vec<InstanceId>,
        now: time::Instant,
    ) {
        let previous: Vec<_> = self
            .live
            .drain(..)
            .chain(self.unreachable.drain(..))
            .collect();
        self.live = live.into_iter().collect();
        self.unreachable = unreachable.into_iter().collect();
        for id in previous {
            if !self.is_present(&id) {
                self.left_at.insert(id, now);
            }
        }
        let share_holders: Vec<_> = self
            .plans
            .values()
            .flat_map(|plan| plan.shares.keys().cloned())
            .collect();
        for id in share_holders {
            if !self.is_present(&id) {
                self.left_at.entry(id).or_insert(now);
            }
        }
        let (live, unreachable) = (&self.live, &self.unreachable);
        self.left_at
            .retain(|id, _| !live.contains(id) && !unreachable.contains(id));
        self.release_departed(now);
    }

    /// Stops granting `plan`.
    pub fn remove_plan(&mut self, plan: &PlanId) {
        self.plans.swap_remove(plan);
    }

    fn is_present(&self, id: &InstanceId) -> bool {
        self.live.contains(id) || self.unreachable.contains(id)
    }

    /// Returns whether no departed instance can still have tasks that no owner counts.
    fn orphans_accounted_for(&self, now: time::Instant) -> bool {
        let since = self.started_at.unwrap_or(now);
        let retention = self.settings.orphan_share_retention;
        let unreachable = self.unreachable.is_empty() || now >= since + retention;
        unreachable && self.left_at.values().all(|at| now >= *at + retention)
    }

    /// Releases the shares of instances that left at least `orphan_share_retention` ago.
    fn release_departed(&mut self, now: time::Instant) {
        let retention = self.settings.orphan_share_retention;
        self.left_at.retain(|id, at| {
            let is_expired = now >= *at + retention;
            if is_expired {
                for plan in self.plans.values_mut() {
                    plan.shares.swap_remove(id);
                }
            }
            !is_expired
        });
    }
}

impl Plan {
    fn has_report_of_all(&self, live: &IndexSet<InstanceId>) -> bool {
        live.iter()
            .all(|id| self.shares.get(id).is_some_and(|share| share.reported))
    }

    /// Returns the share of `asking`: its fair share, limited to what the reservations of the others
    /// leave.
    fn divide(
        &self,
        limits: &Limits,
        asking: &InstanceId,
        live: &IndexSet<InstanceId>,
        first_index: usize,
    ) -> QuotaAmount {
        let limit_vector = amount::limit_vector(limits);
        let mut ids: Vec<_> = live.iter().collect();
        if !live.contains(asking) {
            ids.push(asking);
        }
        ids.sort();
        let position = ids.iter().position(|id| *id == asking).unwrap_or_default();
        let desired_shares = self.desired_shares(&ids);
        let shares = divide::divide(&limit_vector, &desired_shares, first_index % ids.len());
        let fair = divide::with_baseline(&limit_vector, &shares)[position];
        let reserved_by_others = self.reserved_by_others(asking);
        let resources = std::array::from_fn(|dimension| match limit_vector[dimension] {
            None => u64::from(u32::MAX),
            Some(limit) => fair[dimension].min(limit.saturating_sub(reserved_by_others[dimension])),
        });
        amount::quota_amount(resources, self.rate(limits, &ids, asking, position))
    }

    fn reserved_by_others(&self, asking: &InstanceId) -> ResourceVector {
        self.shares
            .iter()
            .filter(|(id, _)| *id != asking)
            .map(|(_, share)| share.reserved())
            .fold(ResourceVector::default(), amount::plus)
    }

    /// Returns the share that each instance wants, at least what it uses.
    fn desired_shares(&self, ids: &[&InstanceId]) -> Vec<divide::DesiredShare> {
        let desired = |id: &&InstanceId| {
            let share = self.shares.get(*id);
            let resources = share.map(|share| {
                let wanted = amount::resource_vector(&share.wanted);
                amount::max(wanted, amount::resource_vector(&share.used))
            });
            divide::DesiredShare {
                resources: resources.unwrap_or_default(),
            }
        };
        ids.iter().map(desired).collect()
    }

    fn rate(
        &self,
        limits: &Limits,
        ids: &[&InstanceId],
        asking: &InstanceId,
        position: usize,
    ) -> u64 {
        let Some(limit) = limits.rate_milli.map(u64::from) else {
            return u64::from(u32::MAX);
        };
        let baseline = limit / (ids.len() as u64 * BASELINE_DIVISOR).max(1);
        let desired = |id: &&InstanceId| {
            let wanted = self.shares.get(*id).map(|share| share.wanted);
            let wanted = wanted.unwrap_or_default();
            match (wanted.rate_milli, wanted.tasks) {
                (0, 0) => baseline,
                (0, _) => limit,
                (rate, _) => u64::from(rate).max(baseline),
            }
        };
        let desired_rates: Vec<_> = ids.iter().map(desired).collect();
        let reserved_by_others: u64 = self
            .shares
            .iter()
            .filter(|(id, _)| *id != asking)
            .map(|(_, share)| share.reserved_rate())
            .sum();
        divide::divide_rate(limit, &desired_rates)[position]
            .min(limit.saturating_sub(reserved_by_others))
    }
}

fn rotation_index(started_at: Option<time::Instant>, now: time::Instant) -> usize {
    let elapsed = started_at.map(|at| now.saturating_duration_since(at));
    let intervals = elapsed.unwrap_or_default().as_millis() / ROTATION_INTERVAL.as_millis();
    usize::try_from(intervals).unwrap_or_default()
}
