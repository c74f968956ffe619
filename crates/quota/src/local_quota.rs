//! Accounts for the use of the shares granted to one instance.

use std::time;

use indexmap::IndexMap;
use model::InstanceId;
use model::PlanId;
use model::QuotaAmount;
use model::QuotaAsk;
use model::QuotaReply;

use crate::Limits;
use crate::amount;

/// Longest time for which unused starts accumulate.
const START_BURST: time::Duration = time::Duration::from_secs(1);

/// Admits tasks within the shares granted to one instance.
#[derive(Debug)]
pub struct LocalQuota {
    instance_id: InstanceId,
    plans: IndexMap<PlanId, Account>,
}

/// The share of one plan and its use.
#[derive(Debug)]
struct Account {
    /// Limits of the plan; `None` once it has been removed from the list.
    limits: Option<Limits>,
    /// Sequence number of the latest request; replies to earlier ones are ignored.
    sequence: u64,
    held: QuotaAmount,
    used: amount::ResourceVector,
    wanted: QuotaAmount,
    starts: tenants::Bucket,
}

impl LocalQuota {
    /// Creates a local quota without any share.
    #[must_use]
    pub fn new(instance_id: InstanceId, _now: time::Instant) -> Self {
        Self {
            instance_id,
            plans: IndexMap::new(),
        }
    }

    /// Replaces the limits of every plan.
    pub fn set_limits(&mut self, limits: IndexMap<PlanId, Limits>, now: time::Instant) {
        for (plan_id, account) in &mut self.plans {
            account.limits = limits.get(plan_id).copied();
        }
        for (plan_id, limits) in limits {
            let account = self.account(&plan_id, now);
            account.limits = Some(limits);
        }
        self.plans
            .retain(|_, account| account.limits.is_some() || !account.is_idle());
    }

    /// Acquires `amount` if it fits in the share, and returns whether it did. `amount.tasks` also
    /// counts as starts against the rate; `amount.rate_milli` is ignored.
    pub fn try_acquire(&mut self, plan: &PlanId, amount: QuotaAmount, now: time::Instant) -> bool {
        let Some(account) = self.plans.get_mut(plan) else {
            return false;
        };
        let Some(limits) = account.limits else {
            return false;
        };
        let used = amount::plus(account.used, amount::resource_vector(&amount));
        let held = amount::resource_vector(&account.held);
        let held_limits = amount::limit_vector(&limits);
        let held_limits = std::array::from_fn(|index| held_limits[index].map(|_| held[index]));
        if !amount::is_within(&used, &held_limits) {
            return false;
        }
        if limits.rate_milli.is_some() && !account.starts.try_acquire(amount.tasks, now) {
            return false;
        }
        account.used = used;
        true
    }

    /// Releases an acquired amount; its starts still count against the rate.
    pub fn release(&mut self, plan: &PlanId, amount: QuotaAmount) {
        if let Some(account) = self.plans.get_mut(plan) {
            account.used = amount::minus(account.used, amount::resource_vector(&amount));
        }
    }

    /// Acquires `amount` for a task that is already running, even beyond the share.
    pub fn acquire_unchecked(&mut self, plan: &PlanId, amount: QuotaAmount) {
        let account = self
            .plans
            .entry(plan.clone())
            .or_insert_with(|| Account::new(tenants::Bucket::empty(START_BURST)));
        account.used = amount::plus(account.used, amount::resource_vector(&amount));
    }

    /// Sets the share that the instance wants: what is in use and what is queued.
    ///
    /// If any tasks are wanted, a `rate_milli` of 0 asks for the highest possible rate.
    pub fn set_wanted(&mut self, plan: &PlanId, amount: QuotaAmount) {
        if let Some(account) = self.plans.get_mut(plan) {
            account.wanted = amount;
        }
    }

    /// Returns a request for each plan.
    pub fn requests(&mut self, _now: time::Instant) -> Vec<QuotaAsk> {
        for account in self.plans.values_mut() {
            account.sequence += 1;
        }
        self.held_shares()
    }

    /// Applies the reply of a grantor; replies to earlier requests than the latest are ignored.
    pub fn on_reply(&mut self, reply: QuotaReply, now: time::Instant) {
        let Some(account) = self.plans.get_mut(&reply.plan_id) else {
            return;
        };
        let Some(granted) = reply.granted else {
            return;
        };
        if reply.sequence == account.sequence {
            account.held = granted;
            account.starts.set_rate(u64::from(granted.rate_milli), now);
        }
    }

    /// Returns the held shares, for the acknowledgement of a fence.
    #[must_use]
    pub fn held_shares(&self) -> Vec<QuotaAsk> {
        self.plans
            .iter()
            .map(|(plan_id, account)| QuotaAsk {
                plan_id: plan_id.clone(),
                instance_id: self.instance_id.clone(),
                sequence: account.sequence,
                held: account.held,
                used: amount::quota_amount(account.used, 0),
                wanted: account.wanted,
            })
            .collect()
    }

    /// Returns the instance itself.
    #[must_use]
    pub fn instance_id(&self) -> &InstanceId {
        &self.instance_id
    }

    fn account(&mut self, plan: &PlanId, now: time::Instant) -> &mut Account {
        self.plans
            .entry(plan.clone())
            .or_insert_with(|| Account::new(tenants::Bucket::new(START_BURST, now)))
    }
}

impl Account {
    fn new(starts: tenants::Bucket) -> Self {
        Self {
            limits: None,
            sequence: 0,
            held: QuotaAmount::default(),
            used: amount::ResourceVector::default(),
            wanted: QuotaAmount::default(),
            starts,
        }
    }

    fn is_idle(&self) -> bool {
        self.used == amount::ResourceVector::default()
    }
}
