//! The live instances of a cluster and its leader, as known to one instance.

use std::time;

use indexmap::IndexMap;

use crate::member;

/// Additional claim delay for each rank, so that instances claim one after another.
const CLAIM_DELAY_PER_RANK: time::Duration = time::Duration::from_millis(30);
/// Additional claim delay, as a multiple of the instance's store latency: a leader near the store
/// stores what it decides sooner, and recovers faster.
const CLAIM_DELAY_PER_STORE_LATENCY: u32 = 4;
/// Store latency above which the claim delay grows no further; a slow store is slow for everyone.
const MAX_COUNTED_STORE_LATENCY: time::Duration = time::Duration::from_millis(50);
/// Ratio of strengths from which the stronger machine is preferred as leader.
const PREFERRED_STRENGTH_RATIO: u32 = 2;
/// Additional claim delay of a weak machine. A strong machine registers within this time after all
/// machines have started or the store has recovered.
const WEAK_MACHINE_DELAY: time::Duration = time::Duration::from_millis(700);

/// The live instances and the leader, as known to one instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClusterView {
    /// Live instances by the key of their store entry.
    members: IndexMap<String, member::Member>,
    leader: Option<member::Leader>,
    /// Recorded processor time of the strongest machine, in thousandths of a core; 0 if none is
    /// recorded. The record outlives the members.
    recorded_strength_milli: u32,
    /// Store revision up to which every change is included; 0 before the first read.
    revision: model::Revision,
}

impl ClusterView {
    /// Creates a view that includes every change up to store revision `revision`.
    #[must_use]
    pub fn new(revision: model::Revision) -> Self {
        Self {
            revision,
            ..Self::default()
        }
    }

    /// Adds or replaces a live instance under the key of its entry.
    pub fn put_member(&mut self, key: impl Into<String>, member: member::Member) {
        self.members.insert(key.into(), member);
    }

    /// Sets the recorded strength of the strongest machine, in thousandths of a core.
    pub fn set_recorded_strength(&mut self, strength_milli: u32) {
        self.recorded_strength_milli = strength_milli;
    }

    /// Removes the instance whose entry was deleted.
    pub fn remove_member(&mut self, key: &str) {
        self.members.shift_remove(key);
    }

    /// Sets the leader named by the store; `None` if there is no leader entry.
    pub fn set_leader(&mut self, leader: Option<member::Leader>) {
        self.leader = leader;
    }

    /// Records that every change up to store revision `revision` is included.
    pub fn advance_revision(&mut self, revision: model::Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Returns whether every change up to store revision `revision` is included.
    #[must_use]
    pub fn includes(&self, revision: model::Revision) -> bool {
        revision <= self.revision
    }

    /// Accepts a leader reported by a peer if its term is newer; returns whether it was accepted.
    ///
    /// The view includes every term up to its revision. Any of these but the known leader's has
    /// ended, even if its instance still replies.
    pub fn accept_reported_leader(&mut self, leader: member::Leader) -> bool {
        let known = self.leader.as_ref().map_or(0, |known| known.term);
        let is_newer = leader.term > self.revision.max(known);
        if is_newer {
            self.leader = Some(leader);
        }
        is_newer
    }

    /// Corrects the leader to `stored`, as read from the store after a claim against `expected` has
    /// failed; returns whether the view changed.
    ///
    /// A later leader that a watch has reported meanwhile is kept.
    pub fn correct_leader(
        &mut self,
        expected: Option<model::Term>,
        stored: Option<member::Leader>,
    ) -> bool {
        let known = self.leader.as_ref().map(|known| known.term);
        let is_outdated = match &stored {
            Some(leader) => known < Some(leader.term),
            None => known.is_some() && known == expected,
        };
        if is_outdated {
            self.leader = stored;
        }
        is_outdated
    }

    /// Returns the known leader.
    #[must_use]
    pub fn leader(&self) -> Option<&member::Leader> {
        self.leader.as_ref()
    }

    /// Returns whether the view has been loaded from the store.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.revision > 0
    }

    /// Returns the live instances.
    pub fn members(&self) -> impl Iterator<Item = &member::Member> {
        self.members.values()
    }

    /// Returns whether the machine of `member` should be recorded as the strongest.
    #[must_use]
    pub fn exceeds_recorded_strength(&self, member: &member::Member) -> bool {
        self.is_loaded() && self.recorded_strength_milli < member.strength_milli
    }

    /// Returns how long an instance delays its claim, so that instances claim one at a time, that
    /// one near the store leads, and a weak machine only if no strong one claims.
    ///
    /// `store_latency` is the usual time until the store replies to the instance.
    #[must_use]
    pub fn claim_delay(
        &self,
        member: &member::Member,
        store_latency: time::Duration,
    ) -> time::Duration {
        let is_weak = self.recorded_strength_milli >= preferred_strength_milli(member);
        let wait = if is_weak {
            WEAK_MACHINE_DELAY
        } else {
            time::Duration::ZERO
        };
        let store_latency = store_latency.min(MAX_COUNTED_STORE_LATENCY);
        wait + CLAIM_DELAY_PER_RANK * self.claim_rank(member)
            + CLAIM_DELAY_PER_STORE_LATENCY * store_latency
    }

    /// Returns whether a live machine is strong enough to be preferred to that of `member`.
    #[must_use]
    pub fn has_preferred_member(&self, member: &member::Member) -> bool {
        let mut members = self.members();
        members.any(|other| other.strength_milli >= preferred_strength_milli(member))
    }

    /// Returns the rank of an instance among the live ones: strong machines first, then by id.
    fn claim_rank(&self, member: &member::Member) -> u32 {
        let order = |one: &member::Member| (u32::MAX - one.strength_milli, one.instance_id.clone());
        let own = order(member);
        let before = self.members().filter(|other| order(other) < own);
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }
}

/// Returns the strength from which a machine is preferred to that of `member`.
fn preferred_strength_milli(member: &member::Member) -> u32 {
    member
        .strength_milli
        .saturating_mul(PREFERRED_STRENGTH_RATIO)
        .max(1)
}
