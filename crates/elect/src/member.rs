//! Instances of the cluster, and the leader.

use std::sync;

use serde::Deserialize;
use serde::Serialize;

/// An instance, as its entry in the store describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Id of the instance, new for each process.
    pub instance_id: model::InstanceId,
    /// `address:port` of its peer listener.
    pub address: sync::Arc<str>,
    /// Processor time of its machine, in thousandths of a core.
    pub strength_milli: u32,
}

/// The leader of a term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leader {
    /// The leading instance.
    pub member: Member,
    /// Revision of the leader's entry in the store.
    pub term: model::Term,
}

impl Leader {
    /// Creates the leader of a term whose entry cannot be decoded: any instance may replace it.
    #[must_use]
    pub fn unreadable(term: model::Term) -> Self {
        Self {
            member: Member {
                instance_id: "".into(),
                address: "".into(),
                strength_milli: 0,
            },
            term,
        }
    }

    /// Returns whether its entry cannot be decoded.
    #[must_use]
    pub fn is_unreadable(&self) -> bool {
        self.member.instance_id.is_empty()
    }
}
