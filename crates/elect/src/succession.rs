//! What a new leader knows of the authority of earlier ones.

use std::collections;
use std::sync;

use crate::member;
use crate::voters;

/// The voters of earlier leaders that confirm no earlier term any more.
///
/// Once they are one more than may be missing from a quorum, no earlier leader has a quorum for a
/// question that it sends from then on.
#[derive(Clone, Debug)]
pub struct Succession {
    voters: voters::Voters,
    /// Ids of the resolved voters.
    resolved: collections::HashSet<model::InstanceId>,
}

impl Succession {
    /// Creates the state of a new leader that has read `voters` after its claim. It is resolved
    /// itself, as is any earlier process at its address.
    #[must_use]
    pub fn new(voters: voters::Voters, own: &member::Member) -> Self {
        let mut succession = Self {
            voters,
            resolved: collections::HashSet::new(),
        };
        succession.resolve(&own.instance_id);
        succession.resolve_others_at(&own.address, &own.instance_id);
        succession
    }

    /// Records that an instance has acknowledged the new term or a later one.
    pub fn resolve(&mut self, instance_id: &model::InstanceId) {
        let mut members = self.voters.members.iter();
        if members.any(|voter| voter.instance_id == *instance_id) {
            self.resolved.insert(instance_id.clone());
        }
    }

    /// Records that the instance `instance_id` is registered at `address`: a voter there has ended, as
    /// two processes cannot listen at one address, unless the entry is that of an earlier process.
    pub fn resolve_address(&mut self, address: &sync::Arc<str>, instance_id: &model::InstanceId) {
        if !self.voters.earlier.contains(instance_id) {
            self.resolve_others_at(address, instance_id);
        }
    }

    fn resolve_others_at(&mut self, address: &sync::Arc<str>, instance_id: &model::InstanceId) {
        let ended = self
            .voters
            .members
            .iter()
            .filter(|voter| voter.address == *address && voter.instance_id != *instance_id)
            .map(|voter| voter.instance_id.clone());
        self.resolved.extend(ended);
    }

    /// Returns whether no earlier leader has a quorum for a question sent from now on.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.voters.members.is_empty() || self.resolved.len() > self.voters.max_missing()
    }

    /// Returns the number of voters.
    #[must_use]
    pub fn voter_count(&self) -> usize {
        self.voters.members.len()
    }

    /// Returns the number of resolved voters.
    #[must_use]
    pub fn resolved_count(&self) -> usize {
        self.resolved.len()
    }
}
