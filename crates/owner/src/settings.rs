//! Settings of an owner.

use std::time;

use model::InstanceId;

/// Settings of an [`Owner`](crate::Owner).
#[derive(Clone, Debug)]
pub struct OwnerSettings {
    /// Id of this instance, including its boot id.
    pub instance_id: InstanceId,
    /// Wall-clock time at the construction of the owner, in milliseconds since the Unix epoch;
    /// used only for deadlines and expiries in journal entries.
    pub started_unix_ms: u64,
    /// Maximum number of unsettled tasks; more are refused.
    pub max_tasks: usize,
    /// Maximum number of attempts of a repeatable task.
    pub max_attempts: model::Attempt,
    /// How long the outcome of a settled task is kept.
    pub result_retention: time::Duration,
    /// How long a non-repeatable id is remembered, here and in the journal.
    pub journal_retention: time::Duration,
    /// How long a journal write waits for others to share its batch.
    pub journal_batch_delay: time::Duration,
    /// Maximum number of puts and deletes in one batch; values above 100 are lowered to 100.
    pub journal_batch_entries: usize,
    /// Time to live of worker leases.
    pub lease_ttl: time::Duration,
    /// How long runs may continue after their worker's lease has lapsed.
    pub grace: time::Duration,
    /// Allowance for differences in clock rate.
    pub margin: time::Duration,
    /// How long after an offer was sent a lease holder may act on it.
    pub offer_validity: time::Duration,
    /// Time without a heartbeat after which a member counts as dead.
    pub dead_after: time::Duration,
}

impl OwnerSettings {
    /// Returns how long runs on a worker may still be alive after the last contact with its lease
    /// holder.
    #[must_use]
    pub fn run_expiry(&self) -> time::Duration {
        self.lease_ttl + self.grace + self.margin
    }
}
