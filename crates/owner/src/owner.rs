//! The owner's state machine.

use std::time;

use model::Generation;
use model::InstanceId;
use model::Partition;
use model::PartitionTable;
use model::Revision;

use crate::Action;
use crate::Event;
use crate::OwnerSettings;

/// Decides for the partitions that an instance owns.
#[derive(Debug)]
pub struct Owner {
    settings: OwnerSettings,
    table: PartitionTable,
    revision: Revision,
}

impl Owner {
    /// Creates an owner that has not read the partition table.
    #[must_use]
    pub fn new(settings: OwnerSettings, _now: time::Instant) -> Self {
        Self {
            settings,
            table: PartitionTable::default(),
            revision: 0,
        }
    }

    /// Takes `event` at `now` and returns what is to be done, in order.
    #[must_use]
    pub fn on(&mut self, event: Event, _now: time::Instant) -> Vec<Action> {
        let _ = event;
        Vec::new()
    }

    /// Returns the instance itself.
    #[must_use]
    pub fn instance_id(&self) -> &InstanceId {
        &self.settings.instance_id
    }

    /// Returns the owner of `partition` as far as known.
    #[must_use]
    pub fn owner_of(&self, partition: Partition) -> Option<&InstanceId> {
        self.table
            .tenure(partition)
            .map(|tenure| &tenure.instance_id)
    }

    /// Returns the highest generation of `partition` known; 0 before the first.
    #[must_use]
    pub fn generation(&self, partition: Partition) -> Generation {
        self.table
            .tenure(partition)
            .map_or(0, |tenure| tenure.generation)
    }

    /// Returns whether this instance serves `partition` now.
    #[must_use]
    pub fn serves(&self, _partition: Partition) -> bool {
        false
    }

    /// Returns the partitions that this instance serves now, for new task ids.
    #[must_use]
    pub fn serving(&self) -> Vec<Partition> {
        Vec::new()
    }

    /// Returns how many partitions this instance owns but does not serve yet.
    #[must_use]
    pub fn pending_partitions(&self) -> u32 {
        0
    }

    /// Returns the table as known, with delegations that the store has not taken yet.
    #[must_use]
    pub fn table(&self) -> &PartitionTable {
        &self.table
    }

    /// Returns the revision of the table as read from the store; 0 before the first.
    #[must_use]
    pub fn table_revision(&self) -> Revision {
        self.revision
    }

    /// Returns how many unsettled tasks are kept.
    #[must_use]
    pub fn tasks(&self) -> usize {
        0
    }

    /// Returns whether a drained owner has given everything away and answered every ticket.
    #[must_use]
    pub fn drained(&self) -> bool {
        false
    }
}
