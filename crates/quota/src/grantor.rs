//! The side that divides limits into grants.

use std::time;

use indexmap::IndexMap;
use model::InstanceId;
use model::PlanId;
use model::QuotaAsk;
use model::QuotaReply;

use crate::Limits;

/// Settings of a [`Grantor`].
#[derive(Clone, Debug)]
pub struct GrantorSettings {
    /// How long the share of an instance that left the partition table stays set aside.
    pub orphan_hold: time::Duration,
}

/// Grants shares of the plans whose partitions this instance owns.
#[derive(Debug)]
pub struct Grantor {
    settings: GrantorSettings,
}

impl Grantor {
    /// Creates a grantor of no plan.
    #[must_use]
    pub fn new(settings: GrantorSettings) -> Self {
        Self { settings }
    }

    /// Replaces the limits of every plan.
    pub fn set_limits(&mut self, _limits: IndexMap<PlanId, Limits>) {}

    /// Begins to grant `plans`, after a take-over, with the shares that holders reported.
    pub fn begin(&mut self, _plans: Vec<PlanId>, _grants: Vec<QuotaAsk>, _now: time::Instant) {}

    /// Answers an ask; a plan that is not granted here gets no amount.
    pub fn on_ask(&mut self, ask: QuotaAsk, _now: time::Instant) -> QuotaReply {
        let _ = self.settings.orphan_hold;
        QuotaReply {
            plan_id: ask.plan_id,
            sequence: ask.sequence,
            granted: None,
        }
    }

    /// Sets the instances that are live, and those that are gone from the live ones but may still
    /// hold shares.
    pub fn set_table_instances(
        &mut self,
        _live: Vec<InstanceId>,
        _unreachable: Vec<InstanceId>,
        _now: time::Instant,
    ) {
    }

    /// Stops granting `plan`.
    pub fn retire(&mut self, _plan: &PlanId) {}
}
