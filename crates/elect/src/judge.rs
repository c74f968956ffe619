//! Whether there is a reason to claim the leadership.

use std::time;

use crate::cell;
use crate::contact;
use crate::member;

/// What an instance knows when it judges.
#[derive(Clone, Copy, Debug)]
pub struct Situation<'a> {
    /// The instance itself.
    pub own: &'a member::Member,
    /// What it knows of the cell.
    pub cell: &'a cell::Cell,
    /// What it has heard from the leader.
    pub contact: &'a contact::Contact,
    /// Whether the store answers it.
    pub store_reachable: bool,
    /// Silence after which the leader is suspected.
    pub silence_limit: time::Duration,
    /// Now.
    pub now: time::Instant,
}

/// Why an instance claims the leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
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

impl Reason {
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
    pub fn needs_witness(self) -> bool {
        matches!(self, Self::LeaderGone | Self::LeaderSilent)
    }
}

/// A claim that an instance should make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Term that the store's entry must have; `None` if there must be no entry.
    pub expected: Option<model::Term>,
    /// Why.
    pub reason: Reason,
}

/// Returns the claim that an instance should make, if any.
#[must_use]
pub fn judge(situation: &Situation<'_>) -> Option<Claim> {
    if !situation.cell.is_known() {
        return None;
    }
    let Some(leader) = situation.cell.leader() else {
        return Some(Claim {
            expected: None,
            reason: Reason::Vacant,
        });
    };
    reason_against(leader, situation).map(|reason| Claim {
        expected: Some(leader.term),
        reason,
    })
}

/// Returns why a leader should be replaced, if it should.
fn reason_against(leader: &member::Leader, situation: &Situation<'_>) -> Option<Reason> {
    if leader.member.address == situation.own.address {
        return Some(Reason::OwnEarlierTerm);
    }
    let contact = situation.contact;
    if contact.term != leader.term {
        return None;
    }
    if contact.has_lost_store && situation.store_reachable {
        return Some(Reason::LeaderLostStore);
    }
    if contact.is_leaving && situation.store_reachable {
        return Some(Reason::LeaderLeaves);
    }
    if contact.is_gone {
        return Some(Reason::LeaderGone);
    }
    contact
        .is_silent(situation.silence_limit, situation.now)
        .then_some(Reason::LeaderSilent)
}
