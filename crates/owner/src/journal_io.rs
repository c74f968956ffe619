//! Handlers of journal reads and writes.

use model::NotRunReason;
use model::Outcome;
use model::Partition;
use model::SubmitReply;
use model::TaskId;
use model::UnknownReason;
use model::partition_of;

use crate::Action;
use crate::BatchId;
use crate::JournalEntry;
use crate::Owner;
use crate::WriteResult;
use crate::outcome_cache;
use crate::ownership;
use crate::pending_answer;
use crate::task_record;

/// Maximum number of concurrent journal reads.
const MAX_CONCURRENT_READS: usize = 16;

/// Delay before a failed journal read is retried.
const READ_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(200);

impl Owner {
    pub(crate) fn has_applied_journal(&self, task_id: TaskId) -> bool {
        let ownership = self.owned.get(&partition_of(task_id));
        ownership.is_some_and(ownership::Ownership::has_applied_journal)
    }

    pub(crate) fn put_entry(&mut self, task_id: TaskId) {
        let expires_at = self.now + self.settings.journal_retention;
        let Some(record) = self.tasks.get(&task_id) else {
            return;
        };
        let task = &record.task;
        let entry = JournalEntry {
            task_id,
            customer_id: task.customer_id.clone(),
            digest: record.digest,
            deadline_unix_ms: self.unix_ms(record.deadline),
            expires_unix_ms: self.unix_ms(expires_at),
            task: task_record::journals_full_task(task).then(|| task.clone()),
        };
        self.journal.put(entry, self.now);
        if let Some(record) = self.tasks.get_mut(&task_id) {
            record.journal_sent = true;
        }
    }

    pub(crate) fn flush_journal(&mut self) {
        if let Some(batch) = self.journal.next_batch(self.now) {
            self.actions.push(Action::WriteJournal {
                batch_id: batch.batch_id,
                table_revision: self.table.revision(),
                entries: batch.entries,
                deletes: batch.deletes,
            });
        }
    }

    pub(crate) fn journal_written(&mut self, batch_id: BatchId, result: WriteResult) {
        match result {
            WriteResult::Written => {
                if let Some(batch) = self.journal.batch_written(batch_id) {
                    for entry in batch.entries {
                        self.entry_written(entry.task_id);
                    }
                    for task_id in batch.deletes {
                        self.entry_deleted(task_id);
                    }
                }
            }
            WriteResult::Conflict => {
                self.journal.batch_not_written(batch_id, self.now);
                self.table.request_read(self.now);
            }
            WriteResult::Unknown | WriteResult::Unavailable => {
                self.journal.batch_not_written(batch_id, self.now);
            }
        }
    }

    /// Queues a task whose journal entry is written, and answers the requests that wait for its
    /// acceptance.
    pub(crate) fn entry_written(&mut self, task_id: TaskId) {
        let Some(record) = self.tasks.get_mut(&task_id) else {
            return;
        };
        record.journalled = true;
        if !matches!(record.state, task_record::State::Journalling) {
            return;
        }
        let request_ids = record.request_ids.clone();
        for request_id in request_ids {
            self.answer_accepted(request_id);
        }
        self.enqueue(task_id);
    }

    fn answer_accepted(&mut self, request_id: crate::RequestId) {
        let waits = matches!(
            self.pending_answers.get(&request_id),
            Some(pending_answer::PendingAnswer::Joined {
                kind: pending_answer::JoinKind::Acceptance,
                ..
            })
        );
        if waits {
            self.abandon(request_id);
            self.answer_submit(request_id, SubmitReply::Accepted);
        }
    }

    /// Settles a task whose journal entry could not be written by its deadline, or not be deleted
    /// in time.
    ///
    /// A task whose entry was not written was never queued.
    pub(crate) fn journal_timer_fired(&mut self, task_id: TaskId) {
        let Some(record) = self.tasks.get(&task_id) else {
            return;
        };
        if matches!(record.state, task_record::State::Retracting(_)) {
            self.settle(task_id, Outcome::Unknown(UnknownReason::OwnerUnreachable));
            return;
        }
        let waits = matches!(record.state, task_record::State::Journalling);
        if !waits || record.deadline > self.now {
            return;
        }
        let unsent = !record.journal_sent || self.journal.cancel_put(task_id);
        if task_record::is_restartable(&record.task) && !unsent {
            self.settle(task_id, Outcome::Unknown(UnknownReason::OwnerUnreachable));
        } else if record.task.spec.repeatable || self.has_applied_journal(task_id) {
            if let Some(record) = self.tasks.get_mut(&task_id) {
                record.journal_sent &= !unsent;
            }
            self.settle_unstarted(task_id, NotRunReason::StoreUnavailable);
        } else {
            self.settle(task_id, Outcome::Unknown(UnknownReason::OwnerUnreachable));
        }
    }

    pub(crate) fn read_journals(&mut self) {
        let reading = self
            .owned
            .values()
            .filter(|ownership| matches!(ownership.journal, ownership::JournalState::Reading))
            .count();
        let now = self.now;
        let due: Vec<_> = self
            .owned
            .iter_mut()
            .filter(|(_, ownership)| match ownership.journal {
                ownership::JournalState::Unread(at) => at <= now,
                _ => false,
            })
            .take(MAX_CONCURRENT_READS.saturating_sub(reading))
            .collect();
        for (partition, ownership) in due {
            ownership.journal = ownership::JournalState::Reading;
            self.actions.push(Action::ReadJournal {
                partition: *partition,
            });
        }
    }

    pub(crate) fn journal_read_failed(&mut self, partition: Partition) {
        let now = self.now;
        if let Some(ownership) = self.owned.get_mut(&partition)
            && matches!(ownership.journal, ownership::JournalState::Reading)
        {
            ownership.journal = ownership::JournalState::Unread(now + READ_RETRY_DELAY);
        }
    }

    pub(crate) fn journal_read(&mut self, partition: Partition, entries: Vec<JournalEntry>) {
        let Some(ownership) = self.owned.get_mut(&partition) else {
            return;
        };
        if !matches!(ownership.journal, ownership::JournalState::Reading) {
            return;
        }
        ownership.journal = ownership::JournalState::Read(entries);
        if !ownership.is_pending() {
            self.apply_journal(partition);
        }
    }

    /// Reconciles the journal with the tasks, once all runs of the partition are known.
    pub(crate) fn apply_journal(&mut self, partition: Partition) {
        let Some(ownership) = self.owned.get_mut(&partition) else {
            return;
        };
        let received_by_delegation = ownership.received_by_delegation;
        let state = std::mem::replace(&mut ownership.journal, ownership::JournalState::Applied);
        if let ownership::JournalState::Read(entries) = state {
            for entry in entries {
                self.apply_entry(entry, received_by_delegation);
            }
        }
        self.put_waiting_entries(partition);
    }

    /// Writes the entries of tasks that were submitted before the journal was applied.
    fn put_waiting_entries(&mut self, partition: Partition) {
        let waiting: Vec<_> = self
            .tasks
            .iter()
            .filter(|(task_id, record)| {
                partition_of(**task_id) == partition
                    && matches!(record.state, task_record::State::Journalling)
                    && !record.journal_sent
            })
            .map(|(task_id, _)| *task_id)
            .collect();
        for task_id in waiting {
            self.put_entry(task_id);
        }
    }

    fn apply_entry(&mut self, entry: JournalEntry, received_by_delegation: bool) {
        let task_id = entry.task_id;
        if entry.expires_unix_ms <= self.unix_ms(self.now) {
            self.journal.delete(task_id, self.now);
        } else if let Some(record) = self.tasks.get_mut(&task_id) {
            let may_be_own = std::mem::replace(&mut record.journal_sent, true);
            if !matches!(record.state, task_record::State::Journalling) {
                record.journalled = true;
            } else if may_be_own {
                self.entry_written(task_id);
            } else {
                self.apply_entry_of_new_task(entry);
            }
        } else if self.outcome_cache.outcome(task_id).is_none() {
            self.apply_unmatched(entry, received_by_delegation);
        }
    }

    /// Handles an entry of a task that was submitted again before the journal was applied.
    fn apply_entry_of_new_task(&mut self, entry: JournalEntry) {
        let task_id = entry.task_id;
        let Some(record) = self.tasks.get_mut(&task_id) else {
            return;
        };
        if record.digest != entry.digest {
            let request_ids = std::mem::take(&mut record.request_ids);
            self.tasks.swap_remove(&task_id);
            for request_id in request_ids {
                self.answer_key_conflict(request_id);
            }
            self.remember_used_id(&entry);
        } else if record.task.spec.repeatable {
            self.entry_written(task_id);
        } else {
            self.settle(task_id, Outcome::Unknown(UnknownReason::JournalledOnly));
        }
    }

    fn answer_key_conflict(&mut self, request_id: crate::RequestId) {
        match self.pending_answers.get(&request_id) {
            Some(pending_answer::PendingAnswer::Joined {
                kind: pending_answer::JoinKind::Outcome | pending_answer::JoinKind::Acceptance,
                ..
            }) => self.answer_submit(request_id, SubmitReply::KeyConflict),
            Some(_) => self.answer_status(request_id, model::TaskStatus::NotFound),
            None => {}
        }
    }

    /// Handles an entry of a task that is not running and whose outcome is not known.
    fn apply_unmatched(&mut self, entry: JournalEntry, received_by_delegation: bool) {
        let restartable = entry.task.as_ref().filter(|task| task.spec.repeatable);
        let Some(task) = restartable.cloned() else {
            self.remember_used_id(&entry);
            return;
        };
        if received_by_delegation {
            // The former owner delegated every unsettled task, so this one is settled.
            self.journal.delete(entry.task_id, self.now);
            return;
        }
        let task_id = task.task_id;
        let in_time = entry.deadline_unix_ms > self.unix_ms(self.now);
        let restarts = in_time || task.spec.class == model::Class::Service;
        let max_wait = std::time::Duration::from_millis(task.spec.deadline_ms);
        let deadline = if in_time {
            self.instant_of(entry.deadline_unix_ms)
        } else {
            self.now + max_wait
        };
        let mut record = self.new_record(task, deadline);
        record.journalled = true;
        record.journal_sent = true;
        record.mark_may_have_run(UnknownReason::WorkerLost);
        self.tasks.insert(task_id, record);
        if restarts {
            self.enqueue(task_id);
        } else {
            self.settle(task_id, Outcome::Unknown(UnknownReason::WorkerLost));
        }
    }

    fn remember_used_id(&mut self, entry: &JournalEntry) {
        let used_id = outcome_cache::UsedId {
            customer_id: entry.customer_id.clone(),
            digest: entry.digest,
            reason: UnknownReason::JournalledOnly,
            expires_at: self.instant_of(entry.expires_unix_ms),
        };
        self.outcome_cache.insert_used_id(entry.task_id, used_id);
    }

    pub(crate) fn sweep_outcome_cache(&mut self) {
        for task_id in self.outcome_cache.sweep(self.now) {
            self.journal.delete(task_id, self.now);
        }
    }
}
