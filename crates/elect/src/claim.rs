//! Decides whether to claim the leadership.

use std::time;

use crate::cluster_view;
use crate::leader_health;
use crate::member;

/// How long the store must have replied to an instance before it replaces a leader that reports to
/// have lost the store. After an outage the leader may notice later than others that the store is
/// back.
const LOST_STORE_CONFIRMATION: time::Duration = time::Duration::from_millis(1_500);

/// What an instance knows when it decides on a claim.
#[derive(Clone, Copy, Debug)]
pub struct ClaimContext<'a> {
    /// The deciding instance.
    pub own: &'a member::Member,
    /// Live instances and the leader, as far as it knows.
    pub cluster: &'a cluster_view::ClusterView,
    /// State of the leader.
    pub health: &'a leader_health::LeaderHealth,
    /// Since when the store has replied to it; `None` if the store does not reply.
    pub store_reachable_since: Option<time::Instant>,
    /// Time without a reply after which the leader is suspected to have failed.
    pub silence_limit: time::Duration,
    /// Current time.
    pub now: time::Instant,
}

/// Why an instance claims the leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimReason {
    /// The store has no leader entry.
    Vacant,
    /// The leader entry cannot be decoded.
    LeaderUnreadable,
    /// The leader entry belongs to an earlier process of this machine, or to an earlier term of
    /// this process.
    OwnEarlierTerm,
    /// The leader reports that the store does not accept its batches.
    LeaderLostStore,
    /// The leader reports that it is draining.
    LeaderDraining,
    /// No process, or a different one, listens at the leader's address.
    LeaderGone,
    /// The leader does not reply.
    LeaderSilent,
}

impl ClaimReason {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Vacant => "vacant",
            Self::LeaderUnreadable => "leader_unreadable",
            Self::OwnEarlierTerm => "own_earlier_term",
            Self::LeaderLostStore => "leader_lost_store",
            Self::LeaderDraining => "leader_leaves",
            Self::LeaderGone => "leader_gone",
            Self::LeaderSilent => "leader_silent",
        }
    }

    /// Returns whether peers must confirm that the leader is unreachable.
    ///
    /// Otherwise an instance that alone is cut off would replace a working leader.
    #[must_use]
    pub fn requires_peer_confirmation(self) -> bool {
        matches!(self, Self::LeaderGone | Self::LeaderSilent)
    }
}

/// A claim of the leadership that an instance should make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Term that the leader entry must have; `None` if there must be no entry.
    pub expected: Option<model::Term>,
    /// Why the leadership is claimed.
    pub reason: ClaimReason,
}

/// Returns the claim that an instance should make, if any.
#[must_use]
pub fn decide_claim(context: &ClaimContext<'_>) -> Option<Claim> {
    if !context.cluster.is_loaded() {
        return None;
    }
    let Some(leader) = context.cluster.leader() else {
        return Some(Claim {
            expected: None,
            reason: ClaimReason::Vacant,
        });
    };
    replacement_reason(leader, context).map(|reason| Claim {
        expected: Some(leader.term),
        reason,
    })
}

/// Returns why `leader` should be replaced, if there is a reason.
fn replacement_reason(leader: &member::Leader, context: &ClaimContext<'_>) -> Option<ClaimReason> {
    if leader.is_unreadable() {
        return Some(ClaimReason::LeaderUnreadable);
    }
    if leader.member.address == context.own.address {
        return Some(ClaimReason::OwnEarlierTerm);
    }
    let health = context.health;
    if health.term != leader.term {
        return None;
    }
    let store_reachable_for = context
        .store_reachable_since
        .map(|since| context.now.saturating_duration_since(since));
    if health.has_lost_store && store_reachable_for >= Some(LOST_STORE_CONFIRMATION) {
        return Some(ClaimReason::LeaderLostStore);
    }
    if health.is_draining && store_reachable_for.is_some() {
        return Some(ClaimReason::LeaderDraining);
    }
    if health.is_gone {
        return Some(ClaimReason::LeaderGone);
    }
    health
        .is_silent(context.silence_limit, context.now)
        .then_some(ClaimReason::LeaderSilent)
}
