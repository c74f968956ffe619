//! Settings of an owner.

use std::time;

use model::InstanceId;

/// Settings of an [`Owner`](crate::Owner).
#[derive(Clone, Debug)]
pub struct OwnerSettings {
    /// The instance itself, with its boot id.
    pub instance_id: InstanceId,
    /// Wall-clock time at the construction of the owner, in milliseconds since the Unix epoch;
    /// used only for deadlines and expiries in journal entries.
    pub unix_ms: u64,
    /// Unsettled tasks kept at most; more are refused.
    pub max_tasks: usize,
    /// Executions of a repeatable task at most.
    pub max_attempts: model::Attempt,
    /// How long the outcome of a settled task is kept.
    pub result_retention: time::Duration,
    /// How long a non-repeatable id is remembered, here and in the journal.
    pub journal_retention: time::Duration,
    /// How long journal writes wait for others to share a batch.
    pub journal_batch: time::Duration,
    /// Entries and deletes of one batch at most; at most 100.
    pub journal_batch_entries: usize,
    /// Time to live of worker leases.
    pub lease_ttl: time::Duration,
    /// How long runs outlive a lapsed lease.
    pub grace: time::Duration,
    /// Allowance for the difference of clock rates.
    pub margin: time::Duration,
    /// How long after it was sent a holder may act on an offer.
    pub offer_validity: time::Duration,
    /// Silence after which a member counts as dead.
    pub dead_after: time::Duration,
}

impl OwnerSettings {
    /// Returns the silence after which no run of a lost holder's worker can be alive.
    #[must_use]
    pub fn run_expiry(&self) -> time::Duration {
        self.lease_ttl + self.grace + self.margin
    }
}
