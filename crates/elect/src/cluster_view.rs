//! The cell: the live instances and which of them leads.

use std::time;

use indexmap::IndexMap;

use crate::member;

/// How much longer each instance waits with a claim than the one before it in the order.
const CLAIM_DELAY_PER_RANK: time::Duration = time::Duration::from_millis(30);
/// How many times stronger a machine must be to be preferred.
const PREFERRED_STRENGTH_RATIO: u32 = 2;
/// How much longer a weak machine waits with a claim: a strong one registers within this time after
/// all machines have started, or the store is back.
const WEAK_MACHINE_DELAY: time::Duration = time::Duration::from_millis(700);

/// What one instance knows of the live instances and of the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClusterView {
    /// Live instances by the key of their entry.
    members: IndexMap<String, member::Member>,
    leader: Option<member::Leader>,
    /// Processor time of the strongest machine that is recorded, in thousandths of a core; 0 if none
    /// is. The record outlives the members.
    recorded_strength_milli: u32,
    /// Revision up to which the store has told of every change; 0 before the first reading.
    revision: model::Revision,
}

impl ClusterView {
    /// Creates a cell that the store has told of up to `revision`.
    #[must_use]
    pub fn new(revision: model::Revision) -> Self {
        Self {
            revision,
            ..Self::default()
        }
    }

    /// Takes the entry of a live instance.
    pub fn put_member(&mut self, key: impl Into<String>, member: member::Member) {
        self.members.insert(key.into(), member);
    }

    /// Takes the recorded strength of the strongest machine.
    pub fn set_recorded_strength(&mut self, strength_milli: u32) {
        self.recorded_strength_milli = strength_milli;
    }

    /// Removes the instance whose entry is gone.
    pub fn remove_member(&mut self, key: &str) {
        self.members.shift_remove(key);
    }

    /// Takes the leader that the store names; `None` if it names none.
    pub fn set_leader(&mut self, leader: Option<member::Leader>) {
        self.leader = leader;
    }

    /// Notes that the store has told of every change up to `revision`.
    pub fn advance_revision(&mut self, revision: model::Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Takes a leader that another instance has told of; returns whether it was news.
    ///
    /// The store has told of every term up to the cell's revision. One of those that is not the
    /// leader's is over, even if its instance still answers.
    pub fn accept_reported_leader(&mut self, leader: member::Leader) -> bool {
        let known = self.leader.as_ref().map_or(0, |known| known.term);
        let is_newer = leader.term > self.revision.max(known);
        if is_newer {
            self.leader = Some(leader);
        }
        is_newer
    }

    /// Takes the answer of the store to the question who leads, after a claim against `expected`
    /// has failed; returns whether it was news.
    ///
    /// A watch may have told of a later leader meanwhile, which stays.
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

    /// Returns the leader, as far as is known.
    #[must_use]
    pub fn leader(&self) -> Option<&member::Leader> {
        self.leader.as_ref()
    }

    /// Returns whether the store has told anything yet.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.revision > 0
    }

    /// Returns the live instances.
    pub fn members(&self) -> impl Iterator<Item = &member::Member> {
        self.members.values()
    }

    /// Returns whether a machine should be recorded as the strongest.
    #[must_use]
    pub fn exceeds_recorded_strength(&self, member: &member::Member) -> bool {
        self.is_loaded() && self.recorded_strength_milli < member.strength_milli
    }

    /// Returns how long an instance leaves a claim to others, so that one claims at a time and weak
    /// machines lead only when no strong one does.
    #[must_use]
    pub fn claim_delay(&self, member: &member::Member) -> time::Duration {
        let is_weak = self.recorded_strength_milli >= preferred_strength_milli(member);
        let wait = if is_weak {
            WEAK_MACHINE_DELAY
        } else {
            time::Duration::ZERO
        };
        wait + CLAIM_DELAY_PER_RANK * self.claim_rank(member)
    }

    /// Returns whether a live machine is far stronger than that of `member`.
    #[must_use]
    pub fn has_preferred_member(&self, member: &member::Member) -> bool {
        let mut members = self.members();
        members.any(|other| other.strength_milli >= preferred_strength_milli(member))
    }

    /// Returns the place of an instance among the live ones: strong machines first, then by name.
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
