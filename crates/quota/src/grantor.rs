//! The side that divides limits into grants.

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
use crate::amount::Levels;
use crate::divide;

/// Divisor of an even share: an instance that wants no starts still gets this part of the rate.
const BASELINE_DIVISOR: u64 = 2;

/// Interval at which another instance comes first for what cannot be divided evenly.
const ROTATE_EVERY: time::Duration = time::Duration::from_secs(1);

/// Settings of a [`Grantor`].
#[derive(Clone, Debug)]
pub struct GrantorSettings {
    /// How long the share of an instance that left the partition table stays set aside: at least
    /// the time in which its tasks are adopted and their new owners have asked again.
    pub orphan_hold: time::Duration,
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
    /// Set once every live instance has reported since the grantor began.
    complete: bool,
}

/// Share of one instance.
#[derive(Debug, Default)]
struct Share {
    sequence: u64,
    granted: QuotaAmount,
    held: QuotaAmount,
    used: QuotaAmount,
    wanted: QuotaAmount,
    /// Whether the instance has asked since the grantor began.
    reported: bool,
}

impl Share {
    /// Returns the most that the instance may be using until it asks again.
    fn reserved(&self) -> Levels {
        let granted = amount::levels(&self.granted);
        let held = amount::levels(&self.held);
        let used = amount::levels(&self.used);
        amount::max(amount::max(granted, held), used)
    }

    fn reserved_rate(&self) -> u64 {
        u64::from(self.granted.rate_milli.max(self.held.rate_milli))
    }
}

impl Grantor {
    /// Creates a grantor of no plan.
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
    /// A lowered limit takes hold as the instances ask again; it stops no running task.
    pub fn set_limits(&mut self, limits: IndexMap<PlanId, Limits>) {
        self.limits = limits;
    }

    /// Begins to grant `plans`, after a take-over, with the shares that holders reported.
    ///
    /// Nobody gets more than it holds until every live instance has asked, and until the shares
    /// of those that left lately are free.
    pub fn begin(&mut self, plans: Vec<PlanId>, grants: Vec<QuotaAsk>, now: time::Instant) {
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

    /// Answers an ask; a plan that is not granted here gets no amount.
    pub fn on_ask(&mut self, ask: QuotaAsk, now: time::Instant) -> QuotaReply {
        let granted = self.grant(&ask, now);
        QuotaReply {
            plan_id: ask.plan_id,
            sequence: ask.sequence,
            granted,
        }
    }

    fn grant(&mut self, ask: &QuotaAsk, now: time::Instant) -> Option<QuotaAmount> {
        self.free_departed(now);
        let settled = self.has_settled(now);
        let limits = self.limits.get(&ask.plan_id).copied();
        let plan = self.plans.get_mut(&ask.plan_id)?;
        let share = plan.shares.entry(ask.instance_id.clone()).or_default();
        if share.reported && ask.sequence <= share.sequence {
            return Some(share.granted);
        }
        share.reported = true;
        share.sequence = ask.sequence;
        share.held = ask.held;
        share.used = ask.used;
        share.wanted = ask.wanted;
        plan.complete |= plan.is_complete(&self.live);
        let granted = match limits {
            None => QuotaAmount::default(),
            Some(limits) if settled && plan.complete => {
                let favoured = rotation(self.started_at, now);
                plan.divide(&limits, &ask.instance_id, &self.live, favoured)
            }
            Some(_) => ask.held,
        };
        if let Some(share) = plan.shares.get_mut(&ask.instance_id) {
            share.granted = granted;
        }
        Some(granted)
    }

    /// Sets the instances that are live, and those that are gone from the live ones but may still
    /// hold shares.
    pub fn set_table_instances(
        &mut self,
        live: Vec<InstanceId>,
        unreachable: Vec<InstanceId>,
        now: time::Instant,
    ) {
        let before: Vec<_> = self
            .live
            .drain(..)
            .chain(self.unreachable.drain(..))
            .collect();
        self.live = live.into_iter().collect();
        self.unreachable = unreachable.into_iter().collect();
        for id in before {
            if !self.is_present(&id) {
                self.left_at.insert(id, now);
            }
        }
        let known: Vec<_> = self
            .plans
            .values()
            .flat_map(|plan| plan.shares.keys().cloned())
            .collect();
        for id in known {
            if !self.is_present(&id) {
                self.left_at.entry(id).or_insert(now);
            }
        }
        let (live, unreachable) = (&self.live, &self.unreachable);
        self.left_at
            .retain(|id, _| !live.contains(id) && !unreachable.contains(id));
        self.free_departed(now);
    }

    /// Stops granting `plan`.
    pub fn retire(&mut self, plan: &PlanId) {
        self.plans.swap_remove(plan);
    }

    fn is_present(&self, id: &InstanceId) -> bool {
        self.live.contains(id) || self.unreachable.contains(id)
    }

    /// Returns whether no departed instance can have tasks that nobody counts yet.
    fn has_settled(&self, now: time::Instant) -> bool {
        let since = self.started_at.unwrap_or(now);
        let hold = self.settings.orphan_hold;
        let unreachable = self.unreachable.is_empty() || now >= since + hold;
        unreachable && self.left_at.values().all(|at| now >= *at + hold)
    }

    /// Frees the shares of instances that left long enough ago.
    fn free_departed(&mut self, now: time::Instant) {
        let hold = self.settings.orphan_hold;
        self.left_at.retain(|id, at| {
            let gone = now >= *at + hold;
            if gone {
                for plan in self.plans.values_mut() {
                    plan.shares.swap_remove(id);
                }
            }
            !gone
        });
    }
}

impl Plan {
    fn is_complete(&self, live: &IndexSet<InstanceId>) -> bool {
        live.iter()
            .all(|id| self.shares.get(id).is_some_and(|share| share.reported))
    }

    /// Returns the share of `asking`: its fair part, as far as the others leave room for it.
    fn divide(
        &self,
        limits: &Limits,
        asking: &InstanceId,
        live: &IndexSet<InstanceId>,
        favoured: usize,
    ) -> QuotaAmount {
        let limit_levels = amount::limit_levels(limits);
        let mut ids: Vec<_> = live.iter().collect();
        if !live.contains(asking) {
            ids.push(asking);
        }
        ids.sort();
        let position = ids.iter().position(|id| *id == asking).unwrap_or_default();
        let wants = self.wants(&ids);
        let shares = divide::divide(&limit_levels, &wants, favoured % ids.len());
        let fair = divide::with_baseline(&limit_levels, &shares)[position];
        let others = self.others(asking);
        let levels = std::array::from_fn(|dimension| match limit_levels[dimension] {
            None => u64::from(u32::MAX),
            Some(limit) => fair[dimension].min(limit.saturating_sub(others[dimension])),
        });
        amount::amount(levels, self.rate(limits, &ids, asking, position))
    }

    fn others(&self, asking: &InstanceId) -> Levels {
        self.shares
            .iter()
            .filter(|(id, _)| *id != asking)
            .map(|(_, share)| share.reserved())
            .fold(Levels::default(), amount::plus)
    }

    /// Returns what each instance wants, at least what it uses.
    fn wants(&self, ids: &[&InstanceId]) -> Vec<divide::Want> {
        let want = |id: &&InstanceId| {
            let share = self.shares.get(*id);
            let levels = share.map(|share| {
                let wanted = amount::levels(&share.wanted);
                amount::max(wanted, amount::levels(&share.used))
            });
            divide::Want {
                levels: levels.unwrap_or_default(),
            }
        };
        ids.iter().map(want).collect()
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
        let want = |id: &&InstanceId| {
            let wanted = self.shares.get(*id).map(|share| share.wanted);
            let wanted = wanted.unwrap_or_default();
            match (wanted.rate_milli, wanted.tasks) {
                (0, 0) => baseline,
                (0, _) => limit,
                (rate, _) => u64::from(rate).max(baseline),
            }
        };
        let wants: Vec<_> = ids.iter().map(want).collect();
        let others: u64 = self
            .shares
            .iter()
            .filter(|(id, _)| *id != asking)
            .map(|(_, share)| share.reserved_rate())
            .sum();
        divide::divide_rate(limit, &wants)[position].min(limit.saturating_sub(others))
    }
}

fn rotation(started_at: Option<time::Instant>, now: time::Instant) -> usize {
    let elapsed = started_at.map(|at| now.saturating_duration_since(at));
    let turns = elapsed.unwrap_or_default().as_millis() / ROTATE_EVERY.as_millis();
    usize::try_from(turns).unwrap_or_default()
}
