//! Whether there is a reason to claim the leadership.

use std::time;

use crate::cluster_view;
use crate::leader_health;
use crate::member;

/// What an instance knows when it judges.
#[derive(Clone, Copy, Debug)]
pub struct ClaimContext<'a> {
    /// The instance itself.
    pub own: &'a member::Member,
    /// What it knows of the cell.
    pub cluster: &'a cluster_view::ClusterView,
    /// What it has heard from the leader.
    pub health: &'a leader_health::LeaderHealth,
    /// Whether the store answers it.
    pub store_reachable: bool,
    /// Silence after which the leader is suspected.
    pub silence_limit: time::Duration,
    /// Now.
    pub now: time::Instant,
}

/// Why an instance claims the leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimReason {
    /// The store names no leader.
    Vacant,
    /// The store names an earlier process of this machine, or an earlier term of this one.
    OwnEarlierTerm,
    /// The leader says that the store does not take its batches.
    LeaderLostStore,
    /// The leader says that it is stopping.
    LeaderLeaves,
    /// Nobody listens at the leader's address, or another process does.
    LeaderGone,
    /// The leader does not answer.
    LeaderSilent,
}

impl ClaimReason {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Vacant => "vacant",
            Self::OwnEarlierTerm => "own_earlier_term",
            Self::LeaderLostStore => "leader_lost_store",
            Self::LeaderLeaves => "leader_leaves",
            Self::LeaderGone => "leader_gone",
            Self::LeaderSilent => "leader_silent",
        }
    }

    /// Returns whether other instances must miss the leader too.
    ///
    /// An instance that is cut off by itself would take over from a leader that works.
    #[must_use]
    pub fn requires_peer_confirmation(self) -> bool {
        matches!(self, Self::LeaderGone | Self::LeaderSilent)
    }
}

/// A claim that an instance should make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Term that the store's entry must have; `None` if there must be no entry.
    pub expected: Option<model::Term>,
    /// Why.
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

/// Returns why a leader should be replaced, if it should.
fn replacement_reason(leader: &member::Leader, context: &ClaimContext<'_>) -> Option<ClaimReason> {
    if leader.member.address == context.own.address {
        return Some(ClaimReason::OwnEarlierTerm);
    }
    let health = context.health;
    if health.term != leader.term {
        return None;
    }
    if health.has_lost_store && context.store_reachable {
        return Some(ClaimReason::LeaderLostStore);
    }
    if health.is_leaving && context.store_reachable {
        return Some(ClaimReason::LeaderLeaves);
    }
    if health.is_gone {
        return Some(ClaimReason::LeaderGone);
    }
    health
        .is_silent(context.silence_limit, context.now)
        .then_some(ClaimReason::LeaderSilent)
}
