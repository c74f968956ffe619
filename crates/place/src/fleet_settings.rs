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
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            policy: queue_settings::Policy::Fair,
            reservation_timeout: time::Duration::from_secs(2),
        }
    }
}
