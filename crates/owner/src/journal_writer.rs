//! Group commit of journal entries.

use std::time;

use indexmap::IndexMap;
use indexmap::IndexSet;
use model::Partition;
use model::TaskId;
use model::partition_of;

use crate::BatchId;
use crate::JournalEntry;

/// Delay before a batch that did not take effect is resent.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

/// Puts and deletes that are written in one transaction.
#[derive(Clone, Debug)]
pub(crate) struct Batch {
    pub(crate) batch_id: BatchId,
    pub(crate) entries: Vec<JournalEntry>,
    pub(crate) deletes: Vec<TaskId>,
}

impl Batch {
    fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.deletes.is_empty()
    }
}

/// Collects puts and deletes into batches and sends one batch at a time, so that writes to the same
/// id keep their order.
#[derive(Debug)]
pub(crate) struct JournalWriter {
    max_delay: time::Duration,
    max_entries: usize,
    puts: IndexMap<TaskId, JournalEntry>,
    deletes: IndexSet<TaskId>,
    flush_at: Option<time::Instant>,
    batch: Option<Batch>,
    outstanding: bool,
    retry_at: Option<time::Instant>,
    next_batch_id: BatchId,
}

impl JournalWriter {
    pub(crate) fn new(max_delay: time::Duration, max_entries: usize) -> Self {
        Self {
            max_delay,
            max_entries: max_entries.max(1),
            puts: IndexMap::new(),
            deletes: IndexSet::new(),
            flush_at: None,
            batch: None,
            outstanding: false,
            retry_at: None,
            next_batch_id: 1,
        }
    }

    pub(crate) fn put(&mut self, entry: JournalEntry, now: time::Instant) {
        self.deletes.swap_remove(&entry.task_id);
        self.puts.insert(entry.task_id, entry);
        self.flush_at.get_or_insert(now + self.max_delay);
    }

    /// Removes an entry that has not been sent yet; returns whether there was one.
    pub(crate) fn cancel_put(&mut self, task_id: TaskId) -> bool {
        let sent = self.batch.as_ref().is_some_and(|batch| {
            let mut ids = batch.entries.iter().map(|entry| entry.task_id);
            ids.any(|id| id == task_id)
        });
        !sent && self.puts.swap_remove(&task_id).is_some()
    }

    pub(crate) fn delete(&mut self, task_id: TaskId, now: time::Instant) {
        self.puts.swap_remove(&task_id);
        self.deletes.insert(task_id);
        self.flush_at.get_or_insert(now + self.max_delay);
    }

    /// Returns whether nothing is left to write.
    pub(crate) fn is_idle(&self) -> bool {
        let idle = self.batch.as_ref().is_none_or(Batch::is_empty);
        idle && self.puts.is_empty() && self.deletes.is_empty()
    }

    /// Returns whether a reply to a batch is outstanding.
    pub(crate) fn is_batch_outstanding(&self) -> bool {
        self.outstanding
    }

    /// Returns the batch to send now, if any.
    pub(crate) fn next_batch(&mut self, now: time::Instant) -> Option<Batch> {
        if self.outstanding || self.retry_at.is_some_and(|at| now < at) {
            return None;
        }
        if self.batch.as_ref().is_none_or(Batch::is_empty) {
            self.batch = self.take_batch(now);
        }
        self.outstanding = self.batch.is_some();
        self.batch.clone()
    }

    fn take_batch(&mut self, now: time::Instant) -> Option<Batch> {
        let pending = self.puts.len() + self.deletes.len();
        let due = self.flush_at.is_some_and(|at| at <= now);
        if pending == 0 || (!due && pending < self.max_entries) {
            return None;
        }
        let puts = self.puts.len().min(self.max_entries);
        let entries: Vec<_> = self.puts.drain(..puts).map(|(_, entry)| entry).collect();
        let room = self.max_entries - entries.len();
        let deletes: Vec<_> = self.deletes.drain(..room.min(self.deletes.len())).collect();
        if self.puts.is_empty() && self.deletes.is_empty() {
            self.flush_at = None;
        }
        let batch_id = self.next_batch_id;
        self.next_batch_id += 1;
        Some(Batch {
            batch_id,
            entries,
            deletes,
        })
    }

    /// Completes the current batch and returns it, if `batch_id` is its id.
    pub(crate) fn batch_written(&mut self, batch_id: BatchId) -> Option<Batch> {
        if self.batch.as_ref()?.batch_id != batch_id {
            return None;
        }
        self.outstanding = false;
        self.retry_at = None;
        self.batch.take()
    }

    /// Schedules a resend of a batch that did not take effect, or may not have.
    pub(crate) fn batch_not_written(&mut self, batch_id: BatchId, now: time::Instant) {
        let is_current = self
            .batch
            .as_ref()
            .is_some_and(|batch| batch.batch_id == batch_id);
        if is_current {
            self.outstanding = false;
            self.retry_at = Some(now + RETRY_DELAY);
        }
    }

    /// Cancels the retry delay, since the table revision of the batch may be current now.
    pub(crate) fn retry_now(&mut self) {
        self.retry_at = None;
    }

    /// Removes all puts and deletes of a partition that is no longer owned.
    pub(crate) fn remove_partition(&mut self, partition: Partition) {
        self.puts.retain(|id, _| partition_of(*id) != partition);
        self.deletes.retain(|id| partition_of(*id) != partition);
        if let Some(batch) = &mut self.batch {
            batch
                .entries
                .retain(|entry| partition_of(entry.task_id) != partition);
            batch.deletes.retain(|id| partition_of(*id) != partition);
        }
    }
}
