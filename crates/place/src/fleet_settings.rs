//! Settings of a fleet.

use std::time;

use crate::queue_settings;

/// Settings of a [`crate::Fleet`].
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// How workers are chosen.
    pub policy: queue_settings::Policy,
    /// How long members stay reserved for a gang that is not committed.
    pub reservation_timeout: time::Duration,
    /// How long room is made for one gang before the next has its turn.
    pub gang_turn_timeout: time::Duration,
    /// Run time after which a short run counts as long.
    pub demote_after: time::Duration,
    /// Largest share of the slots that is kept for short tasks, in percent.
    pub max_short_percent: u32,
    /// Slots kept for short tasks above the mean number they keep busy, in square roots of it.
    pub short_slot_deviations: f64,
    /// One in this many workers may be on probation.
    pub probation_divisor: usize,
    /// Customers and kinds whose failures are told from those of workers.
    pub max_kinds: usize,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            policy: queue_settings::Policy::Fair,
            reservation_timeout: time::Duration::from_secs(2),
            gang_turn_timeout: time::Duration::from_secs(60),
            demote_after: time::Duration::from_secs(4),
            max_short_percent: 50,
            short_slot_deviations: 2.0,
            probation_divisor: 4,
            max_kinds: 4096,
        }
    }
}
