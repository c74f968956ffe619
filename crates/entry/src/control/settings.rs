//! Settings of the control state.

use std::time;

/// Settings of a [`Control`](crate::control::Control).
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// This instance, with its boot id.
    pub instance_id: model::InstanceId,
    /// `address:port` of its peer listener.
    pub address: String,
    /// Where it stands.
    pub location: model::Location,
    /// Decisions about leases.
    pub lease: lease::LeaseSettings,
    /// How long a worker may hold back the reply to a renewal.
    pub lease_wait: time::Duration,
    /// Decisions about ownership.
    pub owner: owner::OwnerSettings,
    /// Decisions about queueing.
    pub queue: place::QueueSettings,
    /// Decisions about workers.
    pub fleet: place::FleetSettings,
    /// How long the share of a departed instance stays set aside.
    pub orphan_share_retention: time::Duration,
    /// Interval of heartbeats.
    pub heartbeat: time::Duration,
    /// Time within which a heartbeat is answered.
    pub heartbeat_deadline: time::Duration,
    /// Silence after which a peer counts as dead.
    pub dead_after: time::Duration,
    /// Requests of callers that may wait at once.
    pub max_waiting: usize,
}
