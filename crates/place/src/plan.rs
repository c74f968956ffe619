//! Weighted fair sharing of dispatches among plans.

use std::time;

use crate::lanes;

const COST_SCALE: u64 = 1 << 10;

/// A plan with its waiting tasks and the charge for its dispatches.
#[derive(Debug)]
pub(crate) struct Plan {
    pub(crate) plan_id: model::PlanId,
    pub(crate) weight: u32,
    pub(crate) lanes: lanes::Lanes,
    pub(crate) queued_demand: lanes::QueuedDemand,
    /// Predicted slot time of its dispatches divided by its weight; the plan with the lowest charge
    /// is served next.
    pub(crate) charged: u64,
    /// The same for short tasks alone; decides which plan gets the slots kept for short tasks.
    pub(crate) charged_short: u64,
    /// Last round in which none of its tasks could be dispatched, by pass.
    pub(crate) blocked_round: [u64; 2],
}

impl Plan {
    pub(crate) fn new(plan_id: model::PlanId, weight: u32) -> Self {
        Self {
            plan_id,
            weight: weight.max(1),
            lanes: lanes::Lanes::default(),
            queued_demand: lanes::QueuedDemand::default(),
            charged: 0,
            charged_short: 0,
            blocked_round: [0; 2],
        }
    }

    /// Returns the charge for a dispatch that occupies `members` slots for `run`, at this plan's
    /// weight.
    pub(crate) fn cost(&self, run: time::Duration, members: u16) -> u64 {
        let slot_time_us = (run.as_micros() as u64).saturating_mul(u64::from(members));
        slot_time_us.saturating_mul(COST_SCALE) / u64::from(self.weight)
    }
}
