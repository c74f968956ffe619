//! Handlers of callers' requests: submissions, lookups and cancellations.

use std::time;

use model::CustomerId;
use model::NotRunReason;
use model::Outcome;
use model::SubmitReply;
use model::Task;
use model::TaskId;
use model::TaskStatus;
use model::UnknownReason;
use model::partition_of;

use crate::Answer;
use crate::Event;
use crate::Owner;
use crate::RequestId;
use crate::pending_answer;
use crate::task_record;
use crate::timers;

/// Maximum time that a cancellation is held until its partition is served.
const MAX_CANCEL_HOLD: time::Duration = time::Duration::from_secs(30);

/// Retry delay for callers that were refused because the instance is full or draining.
const OVERLOAD_RETRY_MS: u64 = 1_000;

/// How to handle a request, by the state of its partition.
enum Route {
    Redirect,
    Hold,
    Handle,
}

impl Owner {
    fn route(&self, task_id: TaskId) -> Route {
        match self.owned.get(&partition_of(task_id)) {
            None => Route::Redirect,
            Some(ownership) if ownership.is_serving() => Route::Handle,
            Some(_) => Route::Hold,
        }
    }

    pub(crate) fn submit(
        &mut self,
        request_id: RequestId,
        task: Task,
        deadline: time::Instant,
        resent: bool,
    ) {
        match self.route(task.task_id) {
            Route::Redirect => self.answer(request_id, Answer::NotOwner),
            Route::Hold => {
                let event = Event::Submit {
                    request_id,
                    task,
                    deadline,
                    resent,
                };
                self.hold_request(request_id, event, deadline);
            }
            Route::Handle => self.submit_served(request_id, task, deadline, resent),
        }
    }

    fn submit_served(
        &mut self,
        request_id: RequestId,
        task: Task,
        deadline: time::Instant,
        resent: bool,
    ) {
        let digest = task_record::request_digest(&task);
        if self.join_known(request_id, &task, digest) {
            return;
        }
        if deadline <= self.now {
            let outcome = self.refused_outcome(&task, resent, NotRunReason::DeadlinePassed);
            self.answer_submit(request_id, SubmitReply::Settled(outcome));
            return;
        }
        if let Some(reason) = self.admission_refusal() {
            self.refuse_with_retry(request_id, &task, resent, reason);
            return;
        }
        let latest = self.now + self.settings.journal_retention;
        let may_have_run = self.possible_earlier_run(&task, resent);
        let kind = join_kind(&task);
        let task_id = task.task_id;
        let mut record = self.new_record(task, deadline.min(latest));
        record.may_have_run = may_have_run;
        self.tasks.insert(task_id, record);
        self.join(request_id, task_id, kind);
        self.start_journalling(task_id);
    }

    /// Answers a submission whose id was used before, or joins it to the unsettled task with that
    /// id; returns whether the id was used before.
    fn join_known(&mut self, request_id: RequestId, task: &Task, digest: [u8; 32]) -> bool {
        let task_id = task.task_id;
        let known = self
            .tasks
            .get(&task_id)
            .map(|record| record.digest)
            .or_else(|| {
                self.outcome_cache
                    .outcome(task_id)
                    .map(|settled| settled.digest)
            })
            .or_else(|| {
                self.outcome_cache
                    .used_id(task_id)
                    .map(|used_id| used_id.digest)
            });
        let Some(known) = known else {
            return false;
        };
        if known != digest {
            self.answer_submit(request_id, SubmitReply::KeyConflict);
            return true;
        }
        let Some(record) = self.tasks.get(&task_id) else {
            let status = self.past_status(&task.customer_id, task_id);
            if let TaskStatus::Settled(outcome) = status {
                self.answer_submit(request_id, SubmitReply::Settled(outcome));
            }
            return true;
        };
        if !task.wait && record.journalled {
            self.answer_submit(request_id, SubmitReply::Accepted);
            return true;
        }
        self.join(request_id, task_id, join_kind(task));
        true
    }

    fn admission_refusal(&self) -> Option<NotRunReason> {
        if self.draining {
            Some(NotRunReason::Draining)
        } else if self.tasks.len() >= self.settings.max_tasks {
            Some(NotRunReason::InstanceOverloaded)
        } else {
            None
        }
    }

    fn refuse_with_retry(
        &mut self,
        request_id: RequestId,
        task: &Task,
        resent: bool,
        reason: NotRunReason,
    ) {
        let reply = match self.refused_outcome(task, resent, reason) {
            Outcome::NotRun(reason) => SubmitReply::RetryLater {
                reason,
                retry_after_ms: OVERLOAD_RETRY_MS,
            },
            outcome => SubmitReply::Settled(outcome),
        };
        self.answer_submit(request_id, reply);
    }

    /// Returns the outcome for a refused submission of a task that has no record.
    fn refused_outcome(&self, task: &Task, resent: bool, reason: NotRunReason) -> Outcome {
        match self.possible_earlier_run(task, resent) {
            Some(unknown) => Outcome::Unknown(unknown),
            None if !task.spec.repeatable && !self.has_applied_journal(task.task_id) => {
                Outcome::Unknown(UnknownReason::OwnerUnreachable)
            }
            None => Outcome::NotRun(reason),
        }
    }

    /// Returns why a task without a record may have run under an earlier owner, if it may have.
    ///
    /// A non-repeatable task without a journal entry has not run.
    fn possible_earlier_run(&self, task: &Task, resent: bool) -> Option<UnknownReason> {
        if !task.spec.repeatable {
            return None;
        }
        let ownership = self.owned.get(&partition_of(task.task_id))?;
        let taken_over_at = ownership.taken_over_at;
        let recent = taken_over_at
            .is_some_and(|at| self.now.duration_since(at) < self.settings.result_retention);
        let keyed = task.spec.key.is_some();
        (resent || (keyed && recent)).then_some(UnknownReason::OwnerUnreachable)
    }

    pub(crate) fn new_record(
        &self,
        task: Task,
        deadline: time::Instant,
    ) -> task_record::TaskRecord {
        task_record::TaskRecord {
            digest: task_record::request_digest(&task),
            task,
            accepted_at: self.now,
            deadline,
            attempt: 1,
            failures: 0,
            may_have_run: None,
            state: task_record::State::Journalling,
            checkpoint: None,
            cancelled: false,
            holds_resources: false,
            journalled: false,
            journal_sent: false,
            queue_wait: None,
            request_ids: Vec::new(),
            run_summaries: Vec::new(),
        }
    }

    /// Writes the journal entry of a task if it needs one before it is queued, or else queues it.
    pub(crate) fn start_journalling(&mut self, task_id: TaskId) {
        let Some(record) = self.tasks.get(&task_id) else {
            return;
        };
        if record.journalled || !task_record::needs_journal(&record.task) {
            self.enqueue(task_id);
            return;
        }
        self.timers
            .set(record.deadline, timers::Timer::JournalEntry(task_id));
        if self.has_applied_journal(task_id) {
            self.put_entry(task_id);
        }
    }

    pub(crate) fn lookup(
        &mut self,
        request_id: RequestId,
        customer_id: CustomerId,
        task_id: TaskId,
        until: time::Instant,
    ) {
        match self.route(task_id) {
            Route::Redirect => self.answer(request_id, Answer::NotOwner),
            Route::Hold => {
                let event = Event::Lookup {
                    request_id,
                    customer_id,
                    task_id,
                    until,
                };
                self.hold_request(request_id, event, until);
            }
            Route::Handle => self.lookup_served(request_id, &customer_id, task_id, until),
        }
    }

    fn lookup_served(
        &mut self,
        request_id: RequestId,
        customer_id: &CustomerId,
        task_id: TaskId,
        until: time::Instant,
    ) {
        let Some(record) = self.tasks.get(&task_id) else {
            let status = self.past_status(customer_id, task_id);
            self.answer_status(request_id, status);
            return;
        };
        if record.task.customer_id != *customer_id {
            self.answer_status(request_id, TaskStatus::NotFound);
        } else if until <= self.now {
            let status = self.status_of(task_id);
            self.answer_status(request_id, status);
        } else {
            self.join(request_id, task_id, pending_answer::JoinKind::Status(until));
            self.timers.set(until, timers::Timer::Request(request_id));
        }
    }

    pub(crate) fn cancel(
        &mut self,
        request_id: RequestId,
        customer_id: CustomerId,
        task_id: TaskId,
    ) {
        match self.route(task_id) {
            Route::Redirect => self.answer(request_id, Answer::NotOwner),
            Route::Hold => {
                let event = Event::Cancel {
                    request_id,
                    customer_id,
                    task_id,
                };
                self.hold_request(request_id, event, self.now + MAX_CANCEL_HOLD);
            }
            Route::Handle => self.cancel_served(request_id, &customer_id, task_id),
        }
    }

    fn cancel_served(&mut self, request_id: RequestId, customer_id: &CustomerId, task_id: TaskId) {
        let now = self.now;
        let Some(record) = self.tasks.get_mut(&task_id) else {
            let status = self.past_status(customer_id, task_id);
            self.answer_status(request_id, status);
            return;
        };
        if record.task.customer_id != *customer_id {
            self.answer_status(request_id, TaskStatus::NotFound);
            return;
        }
        record.cancelled = true;
        if let Some(runs) = record.runs_mut() {
            for run in runs {
                run.request_withdrawal(now);
            }
        }
        self.join(request_id, task_id, pending_answer::JoinKind::Cancellation);
        self.evaluate(task_id);
    }

    /// Replays the held requests of partitions that are now served.
    pub(crate) fn replay_held_requests(&mut self) {
        let owned = &self.owned;
        let serving: Vec<_> = owned
            .iter()
            .filter(|(_, ownership)| ownership.is_serving())
            .map(|(partition, _)| *partition)
            .collect();
        let events = self.take_held_requests(|partition| serving.contains(&partition));
        self.replay(events);
    }

    /// Replays the held requests of `partition`, which is no longer owned: they are answered with
    /// `NotOwner`.
    pub(crate) fn redirect_held_requests(&mut self, partition: model::Partition) {
        let events = self.take_held_requests(|other| other == partition);
        self.replay(events);
    }

    fn replay(&mut self, events: Vec<Event>) {
        for event in events {
            self.handle(event);
        }
    }
}

fn join_kind(task: &Task) -> pending_answer::JoinKind {
    if task.wait {
        pending_answer::JoinKind::Outcome
    } else {
        pending_answer::JoinKind::Acceptance
    }
}
