//! The side that uses granted shares.

use std::time;

use indexmap::IndexMap;
use model::InstanceId;
use model::PlanId;
use model::QuotaAmount;
use model::QuotaAsk;
use model::QuotaReply;

use crate::Limits;

/// Spends the shares granted to one instance.
#[derive(Debug)]
pub struct Spender {
    instance_id: InstanceId,
}

impl Spender {
    /// Creates a spender without any share.
    #[must_use]
    pub fn new(instance_id: InstanceId, _now: time::Instant) -> Self {
        Self { instance_id }
    }

    /// Replaces the limits of every plan.
    pub fn set_limits(&mut self, _limits: IndexMap<PlanId, Limits>, _now: time::Instant) {}

    /// Takes `amount` if the share has room for it; `amount.tasks` also counts as starts
    /// against the rate, and `amount.rate_milli` is ignored.
    pub fn try_take(&mut self, _plan: &PlanId, _amount: QuotaAmount, _now: time::Instant) -> bool {
        false
    }

    /// Gives back what was taken; starts stay counted against the rate.
    pub fn give_back(&mut self, _plan: &PlanId, _amount: QuotaAmount) {}

    /// Takes `amount` for a task that runs already, even beyond the share.
    pub fn force_take(&mut self, _plan: &PlanId, _amount: QuotaAmount) {}

    /// Sets the share that would be useful now: what is in use and what is queued.
    pub fn set_wanted(&mut self, _plan: &PlanId, _amount: QuotaAmount) {}

    /// Returns an ask for each plan.
    pub fn asks(&mut self, _now: time::Instant) -> Vec<QuotaAsk> {
        Vec::new()
    }

    /// Takes a grantor's reply.
    pub fn on_reply(&mut self, _reply: QuotaReply, _now: time::Instant) {}

    /// Returns the shares held, for the answer to a fence.
    #[must_use]
    pub fn held(&self) -> Vec<QuotaAsk> {
        Vec::new()
    }

    /// Returns the instance itself.
    #[must_use]
    pub fn instance_id(&self) -> &InstanceId {
        &self.instance_id
    }
}
