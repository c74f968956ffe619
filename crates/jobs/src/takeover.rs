//! How the term of a leader began.

use std::time;

/// How the term of a leader began.
#[derive(Clone, Copy, Debug)]
pub struct Takeover {
    /// The term.
    pub term: model::Term,
    /// When the claim was known to have succeeded.
    pub claimed_at: time::Instant,
    /// Until when the claim itself allows the leader to grant leases.
    pub authority_until: time::Instant,
    /// Longest time for which an earlier leader may continue to send orders before it notices that it
    /// has lost the leadership.
    pub leadership_timeout: time::Duration,
}
