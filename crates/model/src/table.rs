//! The partition table.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;

/// Ownership of a partition by one instance, until the next change of owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionOwner {
    /// The owner.
    pub instance_id: ids::InstanceId,
    /// Increases by one with each change of owner.
    pub generation: ids::Generation,
}

/// Maps each partition to its owner; stored as one value in the platform's service and changed by
/// compare-and-swap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionTable {
    /// Indexed by partition; empty before the first claim, else [`ids::PARTITIONS`] long.
    #[serde(rename = "tenures")]
    pub owners: Vec<PartitionOwner>,
}

impl PartitionTable {
    /// Returns the owner of `partition`, if the table has one.
    #[must_use]
    pub fn owner_of(&self, partition: ids::Partition) -> Option<&PartitionOwner> {
        self.owners.get(usize::from(partition))
    }
}
