//! Settings of a queue.

use std::time;

/// How tasks are chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Fair shares over plans, with short tasks kept from waiting behind long ones.
    #[default]
    Fair,
    /// First come, first served, onto the first worker that fits.
    Baseline,
}

/// Settings of a [`crate::Queue`].
#[derive(Clone, Debug)]
pub struct QueueSettings {
    /// How tasks are chosen.
    pub policy: Policy,
    /// Tasks that may wait in all.
    pub max_queued: usize,
    /// Tasks of one plan that may wait.
    pub max_queued_of_plan: usize,
    /// Run time up to which a task counts as short.
    pub short_run: time::Duration,
    /// Expected wait in the own region that outweighs a paid link.
    pub cross_region_wait: time::Duration,
    /// Longest lead that short tasks get over earlier long ones of the same plan.
    pub max_lead: time::Duration,
    /// Wait after which a gang is offered to a fleet that has no room yet, so that it makes some.
    pub gang_offer_delay: time::Duration,
    /// Time between two such offers.
    pub gang_offer_interval: time::Duration,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            policy: Policy::Fair,
            max_queued: 20_000,
            max_queued_of_plan: 10_000,
            short_run: time::Duration::from_secs(2),
            cross_region_wait: time::Duration::from_millis(250),
            max_lead: time::Duration::from_secs(10),
            gang_offer_delay: time::Duration::from_millis(500),
            gang_offer_interval: time::Duration::from_millis(200),
        }
    }
}
