//! Settings of a fleet.

use std::time;

use crate::queue_settings;

/// Settings of a [`crate::Fleet`].
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Policy by which workers are chosen.
    pub policy: queue_settings::Policy,
    /// Time after which the reservations of a gang that was not committed expire.
    pub reservation_timeout: time::Duration,
    /// Longest time for which freed capacity is reserved for one gang before the next one's turn.
    pub gang_turn_timeout: time::Duration,
    /// Run time after which a run that was predicted to be short counts as long.
    pub demote_after: time::Duration,
    /// Largest share of the slots that may be kept for short tasks, in percent.
    pub max_short_percent: u32,
    /// Slots kept for short tasks above the mean number they occupy, in square roots of that mean.
    pub short_slot_deviations: f64,
    /// At most one in this many workers may be on probation.
    pub probation_divisor: usize,
    /// Maximum number of customer and kind pairs whose failures and memory peaks are tracked.
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
