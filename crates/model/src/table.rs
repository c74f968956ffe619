//! The partition table.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;

/// The instance that owns a partition, and the generation of its ownership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenure {
    /// The owner.
    pub instance_id: ids::InstanceId,
    /// Increases with each change of owner: by one if the partition is delegated, and to the next
    /// multiple of 65 536 if it is claimed.
    pub generation: ids::Generation,
}

/// Maps each partition to its owner; stored as one value in the platform's store and changed by
/// compare-and-swap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionTable {
    /// Indexed by partition; empty before the first claim, else [`ids::PARTITIONS`] long.
    pub tenures: Vec<Tenure>,
}

impl PartitionTable {
    /// Returns the tenure of `partition`, if the table has one.
    #[must_use]
    pub fn tenure(&self, partition: ids::Partition) -> Option<&Tenure> {
        self.tenures.get(usize::from(partition))
    }
}
