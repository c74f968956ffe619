//! Settings of lease decisions.

use std::time;

/// Settings of one instance's leases.
#[derive(Clone, Debug)]
pub struct LeaseSettings {
    /// This instance.
    pub instance_id: model::InstanceId,
    /// Where this instance stands.
    pub location: model::Location,
    /// How long a lease lasts from the worker's receipt of the claim or renewal.
    pub ttl: time::Duration,
    /// How long running tasks outlive a lapsed lease.
    pub grace: time::Duration,
    /// Allowance for clock rates and for messages under way.
    ///
    /// Less than `ttl`. What is left of `ttl` after it has room for a call that gets no answer and for
    /// the next one, with the time for which a worker may hold a reply back.
    pub margin: time::Duration,
    /// Least time between the sending of two renewals for one worker.
    pub renew_every: time::Duration,
    /// How long the members must have been unchanged before a held worker is handed over.
    pub settle_after: time::Duration,
    /// Least time between two hand-overs.
    pub hand_over_every: time::Duration,
}

impl LeaseSettings {
    /// Returns how long a lease can be relied on, counted from the sending of its request.
    pub(crate) fn valid_for(&self) -> time::Duration {
        self.ttl.saturating_sub(self.margin)
    }

    /// Returns how long after its last renewal a worker has surely stopped the runs of a holder.
    pub(crate) fn silent_for(&self) -> time::Duration {
        self.ttl + self.grace + self.margin
    }

    /// Returns how long each instance in the order for a worker waits for the one before it.
    pub(crate) fn turn(&self) -> time::Duration {
        self.ttl + self.margin
    }
}
