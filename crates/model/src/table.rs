//! The partition table.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;

/// One owner's time in charge of a partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenure {
    /// The owner.
    pub instance_id: ids::InstanceId,
    /// Raised by one at each change of owner.
    pub generation: ids::Generation,
}

/// Maps each partition to its owner; one value of the platform's service, changed by
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
