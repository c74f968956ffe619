//! Settings of lease decisions.

use std::time;

/// Settings for the leases of one instance.
#[derive(Clone, Debug)]
pub struct LeaseSettings {
    /// This instance.
    pub instance_id: model::InstanceId,
    /// Location of this instance.
    pub location: model::Location,
    /// How long a lease lasts from the worker's receipt of the claim or renewal.
    pub ttl: time::Duration,
    /// How long running tasks continue after a lease has lapsed.
    pub grace: time::Duration,
    /// Allowance for differing clock rates and for messages in flight.
    ///
    /// Less than `ttl`. `ttl` minus `margin` must be long enough for an unanswered call and the one
    /// after it, including the time for which a worker may delay a reply.
    pub margin: time::Duration,
    /// Minimum time between sending two renewals to one worker.
    pub renew_every: time::Duration,
    /// How long the member list must have been unchanged before a held worker is handed over.
    pub members_stable_for: time::Duration,
    /// Minimum time between two hand-overs.
    pub hand_over_every: time::Duration,
}

impl LeaseSettings {
    /// Returns how long a lease is certainly valid, counted from when its request was sent.
    pub(crate) fn valid_for(&self) -> time::Duration {
        self.ttl.saturating_sub(self.margin)
    }

    /// Returns how long after its last renewal a worker has certainly stopped the runs of the
    /// holder.
    pub(crate) fn runs_stopped_after(&self) -> time::Duration {
        self.ttl + self.grace + self.margin
    }

    /// Returns how long each candidate for a worker waits for the candidate ranked before it.
    pub(crate) fn claim_delay_per_rank(&self) -> time::Duration {
        self.ttl + self.margin
    }
}
