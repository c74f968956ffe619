//! Simulated store of the platform, with the partition table and the journal.

use indexmap::IndexMap;
use model::Partition;
use model::PartitionTable;
use model::Revision;
use model::TaskId;
use owner::BatchId;
use owner::JournalEntry;

#[derive(Default)]
pub(crate) struct Store {
    pub(crate) table: PartitionTable,
    pub(crate) revision: Revision,
    pub(crate) journal: IndexMap<TaskId, JournalEntry>,
    pub(crate) down: bool,
    /// Latest batch of each instance, by node index and boot number.
    pub(crate) latest_batches: IndexMap<(usize, usize), BatchId>,
}

impl Store {
    pub(crate) fn write_table(&mut self, table: PartitionTable, expected: Revision) -> bool {
        let current = self.revision == expected;
        if current {
            self.table = table;
            self.revision += 1;
        }
        current
    }

    pub(crate) fn write_journal(
        &mut self,
        (writer, batch_id): ((usize, usize), BatchId),
        revision: Revision,
        entries: Vec<JournalEntry>,
        deletes: &[TaskId],
    ) -> bool {
        let latest = self.latest_batches.entry(writer).or_default();
        if *latest >= batch_id {
            return true;
        }
        if self.revision != revision {
            return false;
        }
        *latest = batch_id;
        for entry in entries {
            self.journal.insert(entry.task_id, entry);
        }
        for task_id in deletes {
            self.journal.swap_remove(task_id);
        }
        true
    }

    pub(crate) fn read_journal(&self, partition: Partition) -> Vec<JournalEntry> {
        self.journal
            .values()
            .filter(|entry| model::partition_of(entry.task_id) == partition)
            .cloned()
            .collect()
    }
}
