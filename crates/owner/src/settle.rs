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
use crate::record;
use crate::settled;
use crate::tickets;
use crate::timers;

/// Maximum time that the answer "not run" waits for the deletion of a journal entry.
const RETRACT_WAIT: time::Duration = time::Duration::from_secs(5);

impl Owner {
    /// Queues a task; if its partition is not served, only marks it as queued.
    pub(crate) fn enqueue(&mut self, task_id: TaskId) {
        let partition = model::partition_of(task_id);
        let Some(tenancy) = self.owned.get(&partition) else {
            return;
        };
        let Some(record) = self.tasks.get_mut(&task_id) else {
            return;
        };
        record.state = record::State::Queued;
        if !tenancy.is_serving() {
            return;
        }
        if record.deadline <= self.now {
            self.settle_unstarted(task_id, NotRunReason::DeadlinePassed);
            return;
        }
        self.out.push(Action::Enqueue(QueuedTask {
            task: record.task.clone(),
            attempt: record.attempt,
            generation: tenancy.generation,
            accepted_at: record.accepted_at,
            deadline: record.deadline,
            checkpoint: record.checkpoint.clone(),
        }));
    }

    /// Emits `Freed` if a task occupies resources.
    pub(crate) fn free(&mut self, task_id: TaskId) {
        if let Some(record) = self.tasks.get_mut(&task_id)
            && record.occupied
        {
            record.occupied = false;
            let task = record.task.clone();
            self.out.push(Action::Freed { task });
        }
    }

    /// Emits `Adopted` for a task that occupies resources without having been dispatched here.
    pub(crate) fn adopt(&mut self, task_id: TaskId) {
        if let Some(record) = self.tasks.get_mut(&task_id)
            && !record.occupied
        {
            record.occupied = true;
            let task = record.task.clone();
            self.out.push(Action::Adopted { task });
        }
    }

    /// Settles a task whose current execution has not started: as not run, unless an earlier
    /// execution may have run.
    pub(crate) fn settle_unstarted(&mut self, task_id: TaskId, reason: NotRunReason) {
        let Some(record) = self.tasks.get(&task_id) else {
            return;
        };
        let entry_exists = record.journal_sent && record::is_restartable(&record.task);
        if entry_exists && record.may_have_run.is_none() {
            self.retract(task_id, reason);
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
    fn retract(&mut self, task_id: TaskId, reason: NotRunReason) {
        if let Some(record) = self.tasks.get_mut(&task_id) {
            record.state = record::State::Retracting(reason);
        }
        if self.journal.retract(task_id) {
            self.entry_deleted(task_id);
            return;
        }
        self.journal.delete(task_id, self.now);
        let latest = self.now + RETRACT_WAIT;
        self.timers.set(latest, timers::Timer::Journalling(task_id));
    }

    /// Settles a retracted task as not run, now that no other owner can find its journal entry.
    pub(crate) fn entry_deleted(&mut self, task_id: TaskId) {
        let Some(record) = self.tasks.get_mut(&task_id) else {
            return;
        };
        if let record::State::Retracting(reason) = record.state {
            record.journal_sent = false;
            self.settle(task_id, Outcome::NotRun(reason));
        }
    }

    /// Records the final outcome of a task and answers its tickets.
    pub(crate) fn settle(&mut self, task_id: TaskId, outcome: Outcome) {
        self.free(task_id);
        let Some(record) = self.tasks.swap_remove(&task_id) else {
            return;
        };
        self.suspects.swap_remove(&task_id);
        self.withdrawing.swap_remove(&task_id);
        for ticket in &record.tickets {
            self.answer_outcome(*ticket, &outcome);
        }
        let keeps_entry = !record.task.spec.repeatable && !matches!(outcome, Outcome::NotRun(_));
        if record.journal_sent && !keeps_entry {
            self.journal.delete(task_id, self.now);
        }
        self.out.push(Action::Settled(Box::new(SettledTask {
            task: record.task.clone(),
            outcome: outcome.clone(),
            accepted_at: record.accepted_at,
            runs: record.facts,
        })));
        let settled = settled::Settled {
            task: record.task,
            digest: record.digest,
            outcome,
            attempt: record.attempt,
        };
        self.memory.insert(settled, self.now);
    }

    /// Settles a task whose members have all finished.
    pub(crate) fn settle_done(&mut self, task_id: TaskId) {
        let Some(record) = self.tasks.get(&task_id) else {
            return;
        };
        let runs: Vec<_> = record
            .members()
            .iter()
            .filter_map(|member| match &member.phase {
                record::Phase::Finished(run) => Some(run),
                _ => None,
            })
            .collect();
        let waited = record.waited.unwrap_or_default();
        let result = TaskResult {
            succeeded: runs.iter().all(|run| run.succeeded),
            outputs: runs.iter().map(|run| run.output.clone()).collect(),
            waited_ms: u64::try_from(waited.as_millis()).unwrap_or(u64::MAX),
            run_ms: runs.iter().map(|run| run.run_ms).max().unwrap_or_default(),
            attempts: record.attempt,
        };
        self.settle(task_id, Outcome::Done(result));
    }

    /// Queues the next execution of a task, none of whose members is running.
    ///
    /// The deadline applies to the first start: a task that may have run gets a new one.
    pub(crate) fn requeue(&mut self, task_id: TaskId) {
        self.free(task_id);
        self.suspects.swap_remove(&task_id);
        self.withdrawing.swap_remove(&task_id);
        let now = self.now;
        if let Some(record) = self.tasks.get_mut(&task_id) {
            record.attempt += 1;
            let restarts = record.may_have_run.is_some();
            if restarts && (record.task.spec.repeatable || record.checkpoint.is_some()) {
                let wait = time::Duration::from_millis(record.task.spec.deadline_ms);
                record.deadline = record.deadline.max(now + wait);
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
        let restartable = record::is_restartable(&record.task);
        let fresh = record.may_have_run.is_none() && !restartable;
        match retry_after {
            Some(wait) if fresh => self.send_back(task_id, reason, wait),
            _ => self.settle_unstarted(task_id, reason),
        }
    }

    /// Drops a task that never started, and answers its callers with a retry delay.
    fn send_back(&mut self, task_id: TaskId, reason: NotRunReason, wait: time::Duration) {
        let Some(record) = self.tasks.swap_remove(&task_id) else {
            return;
        };
        let outcome = Outcome::NotRun(reason);
        let reply = SubmitReply::RetryLater {
            reason,
            retry_after_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        for ticket in record.tickets {
            let joined = self.tickets.get(&ticket);
            let submits = matches!(
                joined,
                Some(tickets::Waiting::Joined {
                    kind: tickets::JoinKind::Outcome | tickets::JoinKind::Acceptance,
                    ..
                })
            );
            if submits {
                self.answer_submit(ticket, reply.clone());
            } else {
                self.answer_outcome(ticket, &outcome);
            }
        }
        if record.journal_sent {
            self.journal.delete(task_id, self.now);
        }
        self.out.push(Action::Settled(Box::new(SettledTask {
            task: record.task,
            outcome,
            accepted_at: record.accepted_at,
            runs: record.facts,
        })));
    }
}
