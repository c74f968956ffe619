//! Queueing and settling of tasks.

use std::time;

use model::NotRunReason;
use model::Outcome;
use model::SubmitReply;
use model::TaskId;
use model::TaskResult;
use model::UnknownReason;

use crate::Action;
use crate::Owner;
use crate::QueuedTask;
use crate::SettledTask;
use crate::outcome_cache;
use crate::pending_answer;
use crate::task_record;
use crate::timers;

/// Maximum time that the answer "not run" waits for the deletion of a journal entry.
const MAX_RETRACT_WAIT: time::Duration = time::Duration::from_secs(5);

impl Owner {
    /// Queues a task; if its partition is not served, only marks it as queued.
    pub(crate) fn enqueue(&mut self, task_id: TaskId) {
        let partition = model::partition_of(task_id);
        let Some(ownership) = self.owned.get(&partition) else {
            return;
        };
        let Some(record) = self.tasks.get_mut(&task_id) else {
            return;
        };
        record.state = task_record::State::Queued;
        if !ownership.is_serving() {
            return;
        }
        if record.deadline <= self.now {
            self.settle_unstarted(task_id, NotRunReason::DeadlinePassed);
            return;
        }
        self.actions.push(Action::Enqueue(QueuedTask {
            task: record.task.clone(),
            attempt: record.attempt,
            generation: ownership.generation,
            accepted_at: record.accepted_at,
            deadline: record.deadline,
            checkpoint: record.checkpoint.clone(),
        }));
    }

    /// Emits `ResourcesFreed` if a task occupies resources.
    pub(crate) fn free_resources(&mut self, task_id: TaskId) {
        if let Some(record) = self.tasks.get_mut(&task_id)
            && record.holds_resources
        {
            record.holds_resources = false;
            let task = record.task.clone();
            self.actions.push(Action::ResourcesFreed { task });
        }
    }

    /// Emits `Adopted` for a task that occupies resources without having been dispatched here.
    pub(crate) fn adopt(&mut self, task_id: TaskId) {
        if let Some(record) = self.tasks.get_mut(&task_id)
            && !record.holds_resources
        {
            record.holds_resources = true;
            let task = record.task.clone();
            self.actions.push(Action::Adopted { task });
        }
    }

    /// Settles a task whose current attempt has not started: as not run, unless an earlier
    /// attempt may have run.
    pub(crate) fn settle_unstarted(&mut self, task_id: TaskId, reason: NotRunReason) {
        let Some(record) = self.tasks.get(&task_id) else {
            return;
        };
        let entry_exists = record.journal_sent && task_record::is_restartable(&record.task);
        if entry_exists && record.may_have_run.is_none() {
            self.retract_entry(task_id, reason);
            return;
        }
        let outcome = match record.may_have_run {
            None => Outcome::NotRun(reason),
            Some(_) if record.cancelled => Outcome::Unknown(UnknownReason::CancelledWhileRunning),
            Some(unknown) => Outcome::Unknown(unknown),
        };
        self.settle(task_id, outcome);
    }

    /// Deletes the journal entry of a task that will not run, before "not run" is answered.
    fn retract_entry(&mut self, task_id: TaskId, reason: NotRunReason) {
        if let Some(record) = self.tasks.get_mut(&task_id) {
            record.state = task_record::State::Retracting(reason);
        }
        if self.journal.cancel_put(task_id) {
            self.entry_deleted(task_id);
            return;
        }
        self.journal.delete(task_id, self.now);
        let latest = self.now + MAX_RETRACT_WAIT;
        self.timers
            .set(latest, timers::Timer::JournalEntry(task_id));
    }

    /// Settles a retracted task as not run, now that no other owner can find its journal entry.
    pub(crate) fn entry_deleted(&mut self, task_id: TaskId) {
        let Some(record) = self.tasks.get_mut(&task_id) else {
            return;
        };
        if let task_record::State::Retracting(reason) = record.state {
            record.journal_sent = false;
            self.settle(task_id, Outcome::NotRun(reason));
        }
    }

    /// Records the final outcome of a task and answers its requests.
    pub(crate) fn settle(&mut self, task_id: TaskId, outcome: Outcome) {
        self.free_resources(task_id);
        let Some(record) = self.tasks.swap_remove(&task_id) else {
            return;
        };
        self.missing_run_tasks.swap_remove(&task_id);
        self.withdrawing.swap_remove(&task_id);
        for request_id in &record.request_ids {
            self.answer_outcome(*request_id, &outcome);
        }
        let keeps_entry = !record.task.spec.repeatable && !matches!(outcome, Outcome::NotRun(_));
        if record.journal_sent && !keeps_entry {
            self.journal.delete(task_id, self.now);
        }
        self.actions.push(Action::Settled(Box::new(SettledTask {
            task: record.task.clone(),
            outcome: outcome.clone(),
            accepted_at: record.accepted_at,
            runs: record.run_summaries,
        })));
        let settled = outcome_cache::CachedOutcome {
            task: record.task,
            digest: record.digest,
            outcome,
            attempt: record.attempt,
        };
        self.outcome_cache.insert(settled, self.now);
    }

    /// Settles a task whose members have all finished.
    pub(crate) fn settle_done(&mut self, task_id: TaskId) {
        let Some(record) = self.tasks.get(&task_id) else {
            return;
        };
        let runs: Vec<_> = record
            .runs()
            .iter()
            .filter_map(|run| match &run.phase {
                task_record::Phase::Finished(finished) => Some(finished),
                _ => None,
            })
            .collect();
        let queue_wait = record.queue_wait.unwrap_or_default();
        let result = TaskResult {
            succeeded: runs.iter().all(|run| run.succeeded),
            outputs: runs.iter().map(|run| run.output.clone()).collect(),
            waited_ms: u64::try_from(queue_wait.as_millis()).unwrap_or(u64::MAX),
            run_ms: runs.iter().map(|run| run.run_ms).max().unwrap_or_default(),
            attempts: record.attempt,
        };
        self.settle(task_id, Outcome::Done(result));
    }

    /// Queues the next attempt of a task, none of whose members is running.
    ///
    /// The deadline applies to the first start: a task that may have run and may be restarted gets
    /// at least `deadline_ms` again.
    pub(crate) fn requeue(&mut self, task_id: TaskId) {
        self.free_resources(task_id);
        self.missing_run_tasks.swap_remove(&task_id);
        self.withdrawing.swap_remove(&task_id);
        let now = self.now;
        if let Some(record) = self.tasks.get_mut(&task_id) {
            record.attempt += 1;
            let restarts = record.may_have_run.is_some();
            if restarts && (record.task.spec.repeatable || record.checkpoint.is_some()) {
                let max_wait = time::Duration::from_millis(record.task.spec.deadline_ms);
                record.deadline = record.deadline.max(now + max_wait);
            }
        }
        self.enqueue(task_id);
    }

    pub(crate) fn queue_expired(&mut self, task_id: TaskId) {
        let Some(record) = self.tasks.get(&task_id) else {
            return;
        };
        if !record.is_queued() {
            return;
        }
        let restarts = record.task.spec.class == model::Class::Service
            && record.may_have_run.is_some()
            && record.task.spec.repeatable;
        if restarts {
            self.requeue(task_id);
        } else {
            self.settle_unstarted(task_id, NotRunReason::DeadlinePassed);
        }
    }

    /// Settles a task that the queue refused, or drops it if its caller may retry.
    pub(crate) fn queue_refused(
        &mut self,
        task_id: TaskId,
        reason: NotRunReason,
        retry_after: Option<time::Duration>,
    ) {
        let Some(record) = self.tasks.get(&task_id) else {
            return;
        };
        if !record.is_queued() {
            return;
        }
        let restartable = task_record::is_restartable(&record.task);
        let may_retry = record.may_have_run.is_none() && !restartable;
        match retry_after {
            Some(delay) if may_retry => self.reject_with_retry(task_id, reason, delay),
            _ => self.settle_unstarted(task_id, reason),
        }
    }

    /// Drops a task that never started, and answers its callers with a retry delay.
    fn reject_with_retry(&mut self, task_id: TaskId, reason: NotRunReason, delay: time::Duration) {
        let Some(record) = self.tasks.swap_remove(&task_id) else {
            return;
        };
        let outcome = Outcome::NotRun(reason);
        let reply = SubmitReply::RetryLater {
            reason,
            retry_after_ms: u64::try_from(delay.as_millis()).unwrap_or(u64::MAX),
        };
        for request_id in record.request_ids {
            let joined = self.pending_answers.get(&request_id);
            let submits = matches!(
                joined,
                Some(pending_answer::PendingAnswer::Joined {
                    kind: pending_answer::JoinKind::Outcome | pending_answer::JoinKind::Acceptance,
                    ..
                })
            );
            if submits {
                self.answer_submit(request_id, reply.clone());
            } else {
                self.answer_outcome(request_id, &outcome);
            }
        }
        if record.journal_sent {
            self.journal.delete(task_id, self.now);
        }
        self.actions.push(Action::Settled(Box::new(SettledTask {
            task: record.task,
            outcome,
            accepted_at: record.accepted_at,
            runs: record.run_summaries,
        })));
    }
}
