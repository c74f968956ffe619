//! Settings of the control state.

use std::time;

/// Settings of a [`Control`](crate::control::Control).
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Id of this instance: its name with a boot id.
    pub instance_id: model::InstanceId,
    /// `address:port` of its peer listener.
    pub address: String,
    /// Region and data centre of the instance.
    pub location: model::Location,
    /// Settings of the lease state machine.
    pub lease: lease::LeaseSettings,
    /// How long a worker may hold back the reply to a renewal.
    pub lease_wait: time::Duration,
    /// Settings of the owner state machine.
    pub owner: owner::OwnerSettings,
    /// Settings of the queue.
    pub queue: place::QueueSettings,
    /// Settings of the fleet of workers.
    pub fleet: place::FleetSettings,
    /// How long the share of a departed instance stays reserved.
    pub orphan_share_retention: time::Duration,
    /// Interval between heartbeats to one peer.
    pub heartbeat: time::Duration,
    /// Timeout of a heartbeat call.
    pub heartbeat_timeout: time::Duration,
    /// Time without a heartbeat after which a peer counts as dead.
    pub dead_after: time::Duration,
    /// Limit of unanswered requests of callers.
    pub max_waiting: usize,
}
