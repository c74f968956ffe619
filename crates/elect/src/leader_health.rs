//! What an instance has heard from its leader.

use std::time;

use crate::member;

/// What an instance has heard from the leader of a term.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaderHealth {
    /// The term meant.
    pub term: model::Term,
    /// Last answer, or when the term became known.
    pub last_reply_at: Option<time::Instant>,
    /// Whether nobody listens at the leader's address, or another process does.
    pub is_gone: bool,
    /// Whether the leader says that the store does not take its batches.
    pub has_lost_store: bool,
    /// Whether the leader says that it is stopping.
    pub is_leaving: bool,
}

impl LeaderHealth {
    /// Creates the contact to the leader of a term that has just become known.
    #[must_use]
    pub fn new(term: model::Term, now: time::Instant) -> Self {
        Self {
            term,
            last_reply_at: Some(now),
            ..Self::default()
        }
    }

    /// Returns whether the leader has been silent for `limit`.
    #[must_use]
    pub fn is_silent(&self, limit: time::Duration, now: time::Instant) -> bool {
        self.last_reply_at
            .is_some_and(|at| now.saturating_duration_since(at) >= limit)
    }

    /// Returns whether `leader` has been heard within `limit`.
    #[must_use]
    pub fn is_reachable(
        &self,
        leader: &member::Leader,
        limit: time::Duration,
        now: time::Instant,
    ) -> bool {
        self.term == leader.term
            && !self.is_gone
            && self.last_reply_at.is_some()
            && !self.is_silent(limit, now)
    }
}
