//! The instances whose confirmations can stand in for the store.

use std::collections;
use std::sync;

use serde::Deserialize;
use serde::Serialize;

use crate::cluster_view;
use crate::member;

/// One voter may be missing from a quorum for each so many voters.
const VOTERS_PER_MISSING: usize = 4;

/// An instance that confirms the leader's term.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Voter {
    /// Id of the instance.
    pub instance_id: model::InstanceId,
    /// `address:port` of its peer listener.
    pub address: sync::Arc<str>,
}

/// The voters of a term, as its leader has stored them.
///
/// The list holds for its own term and for all later ones whose leaders have stored none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voters {
    /// Term of the leader that has stored the list.
    pub term: model::Term,
    /// The voters, each once, in order of their ids.
    pub members: Vec<Voter>,
    /// Other instances that were registered at the address of a voter when the list was made. These are
    /// earlier processes there, whose entries have not ended yet.
    pub earlier: Vec<model::InstanceId>,
}

impl Voters {
    /// Creates the list of a term from the instances `ids` that `cluster` has an address for.
    #[must_use]
    pub fn new(
        term: model::Term,
        ids: &collections::HashSet<model::InstanceId>,
        cluster: &cluster_view::ClusterView,
    ) -> Self {
        let (listed, others): (Vec<_>, Vec<_>) = cluster
            .members()
            .partition(|member| ids.contains(&member.instance_id));
        let voter = |member: &member::Member| Voter {
            instance_id: member.instance_id.clone(),
            address: sync::Arc::clone(&member.address),
        };
        let mut members: Vec<_> = listed.into_iter().map(voter).collect();
        members.sort();
        let has_address =
            |address: &sync::Arc<str>| members.iter().any(|voter| voter.address == *address);
        let others = others.into_iter();
        let earlier = others.filter(|member| has_address(&member.address));
        let mut earlier: Vec<_> = earlier.map(|member| member.instance_id.clone()).collect();
        earlier.sort();
        Self {
            term,
            members,
            earlier,
        }
    }

    /// Returns how many voters may be missing from a quorum.
    #[must_use]
    pub fn max_missing(&self) -> usize {
        self.members.len() / VOTERS_PER_MISSING
    }

    /// Returns the number of voters that must confirm a term.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.members.len() - self.max_missing()
    }
}
