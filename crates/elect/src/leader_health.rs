//! State of the leader, as seen by one instance.

use std::time;

use crate::member;

/// State of the leader of a term, as its replies to one instance show it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaderHealth {
    /// Term of the leader.
    pub term: model::Term,
    /// When the leader last replied; until then, when its term became known.
    pub last_reply_at: Option<time::Instant>,
    /// Whether no process, or a different one, listens at the leader's address.
    pub is_gone: bool,
    /// Whether the leader reports that the store does not accept its batches.
    pub has_lost_store: bool,
    /// Whether the leader reports that it is draining.
    pub is_draining: bool,
}

impl LeaderHealth {
    /// Creates the state of the leader of a term that has just become known.
    #[must_use]
    pub fn new(term: model::Term, now: time::Instant) -> Self {
        Self {
            term,
            last_reply_at: Some(now),
            ..Self::default()
        }
    }

    /// Records a reply of the leader itself, which is therefore alive.
    pub fn record_reply(&mut self, now: time::Instant, has_lost_store: bool, is_draining: bool) {
        self.last_reply_at = Some(now);
        self.is_gone = false;
        self.has_lost_store = has_lost_store;
        self.is_draining = is_draining;
    }

    /// Returns whether the last reply is at least `limit` old.
    #[must_use]
    pub fn is_silent(&self, limit: time::Duration, now: time::Instant) -> bool {
        self.last_reply_at
            .is_some_and(|at| now.saturating_duration_since(at) >= limit)
    }

    /// Returns whether `leader` has replied within `limit`.
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
