//! Settings of a queue.

use std::time;

/// Scheduling policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Weighted fair sharing among plans, with slots kept for short tasks so that they do not wait
    /// behind long ones.
    #[default]
    Fair,
    /// First come, first served, on the first worker that fits.
    Baseline,
}

/// Settings of a [`crate::Queue`].
#[derive(Clone, Debug)]
pub struct QueueSettings {
    /// Policy by which tasks are chosen.
    pub policy: Policy,
    /// Maximum number of waiting tasks.
    pub max_queued: usize,
    /// Maximum number of waiting tasks of one plan.
    pub max_queued_of_plan: usize,
    /// Run time up to which a task counts as short.
    pub short_run: time::Duration,
    /// Expected wait in the own region above which a task may use the billed link to another one.
    pub cross_region_wait: time::Duration,
    /// Longest time by which a short task may overtake an earlier long one of the same plan.
    pub max_lead: time::Duration,
    /// Wait after which a gang is offered to a fleet without enough free capacity, so that the
    /// fleet reserves freed capacity for it.
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
