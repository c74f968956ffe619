//! Instances, and which of them leads.

use std::sync;

use serde::Deserialize;
use serde::Serialize;

/// An instance as it is written to the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The instance; each process has its own.
    pub instance_id: model::InstanceId,
    /// `address:port` of its peer listener.
    pub address: sync::Arc<str>,
    /// Processor time of its machine, in thousandths of a core.
    pub strength_milli: u32,
}

/// The leader of a term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leader {
    /// The instance.
    pub member: Member,
    /// Revision of the store's entry that names it.
    pub term: model::Term,
}
