//! Outstanding answers to callers.

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

use crate::Action;
use crate::Answer;
use crate::Event;
use crate::Owner;
use crate::RequestId;
use crate::task_record;
use crate::timers;

/// An outstanding answer to a request.
#[derive(Debug)]
pub(crate) enum PendingAnswer {
    /// Its request is held until the partition is served, at most until this time.
    Held(Box<Event>, time::Instant),
    /// It waits for a task.
    Joined { task_id: TaskId, kind: JoinKind },
}

/// What a request that joined a task waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JoinKind {
    /// The outcome of a submission.
    Outcome,
    /// The acceptance of a submission whose caller does not wait for the outcome.
    Acceptance,
    /// The outcome after a cancellation, answered as a status.
    Cancellation,
    /// The outcome, or the status at this time if the task is not settled by then.
    Status(time::Instant),
}

impl Owner {
    pub(crate) fn answer(&mut self, request_id: RequestId, answer: Answer) {
        self.pending_answers.swap_remove(&request_id);
        self.actions.push(Action::Answer { request_id, answer });
    }

    pub(crate) fn answer_status(&mut self, request_id: RequestId, status: TaskStatus) {
        self.answer(request_id, Answer::Status(status));
    }

    pub(crate) fn answer_submit(&mut self, request_id: RequestId, reply: SubmitReply) {
        self.answer(request_id, Answer::Submit(reply));
    }

    /// Answers a request with `outcome`, in the form that it expects.
    pub(crate) fn answer_outcome(&mut self, request_id: RequestId, outcome: &Outcome) {
        let Some(PendingAnswer::Joined { kind, .. }) = self.pending_answers.get(&request_id) else {
            return;
        };
        match kind {
            JoinKind::Outcome | JoinKind::Acceptance => {
                self.answer_submit(request_id, SubmitReply::Settled(outcome.clone()));
            }
            JoinKind::Cancellation | JoinKind::Status(_) => {
                self.answer_status(request_id, TaskStatus::Settled(outcome.clone()));
            }
        }
    }

    /// Adds `request_id` to the requests that wait for a task.
    pub(crate) fn join(&mut self, request_id: RequestId, task_id: TaskId, kind: JoinKind) {
        if let Some(record) = self.tasks.get_mut(&task_id) {
            record.request_ids.push(request_id);
            self.pending_answers
                .insert(request_id, PendingAnswer::Joined { task_id, kind });
        }
    }

    pub(crate) fn abandon(&mut self, request_id: RequestId) {
        let pending = self.pending_answers.swap_remove(&request_id);
        if let Some(PendingAnswer::Joined { task_id, .. }) = pending
            && let Some(record) = self.tasks.get_mut(&task_id)
        {
            record.request_ids.retain(|other| *other != request_id);
        }
    }

    /// Holds a request until its partition is served, at most until `until`.
    pub(crate) fn hold_request(
        &mut self,
        request_id: RequestId,
        event: Event,
        until: time::Instant,
    ) {
        self.timers.set(until, timers::Timer::Request(request_id));
        self.pending_answers
            .insert(request_id, PendingAnswer::Held(Box::new(event), until));
    }

    /// Removes and returns the held requests of partitions for which `applies` returns true.
    pub(crate) fn take_held_requests(
        &mut self,
        applies: impl Fn(model::Partition) -> bool,
    ) -> Vec<Event> {
        let request_ids: Vec<_> = self
            .pending_answers
            .iter()
            .filter_map(|(request_id, pending)| match pending {
                PendingAnswer::Held(event, _) => Some((*request_id, task_id_of(event)?)),
                PendingAnswer::Joined { .. } => None,
            })
            .filter(|(_, task_id)| applies(partition_of(*task_id)))
            .map(|(request_id, _)| request_id)
            .collect();
        request_ids
            .into_iter()
            .filter_map(
                |request_id| match self.pending_answers.swap_remove(&request_id) {
                    Some(PendingAnswer::Held(event, _)) => Some(*event),
                    _ => None,
                },
            )
            .collect()
    }

    pub(crate) fn fire_timers(&mut self) {
        while let Some(timer) = self.timers.pop_due(self.now) {
            match timer {
                timers::Timer::Request(request_id) => self.request_timer_fired(request_id),
                timers::Timer::JournalEntry(task_id) => self.journal_timer_fired(task_id),
            }
        }
    }

    fn request_timer_fired(&mut self, request_id: RequestId) {
        match self.pending_answers.get(&request_id) {
            Some(PendingAnswer::Held(event, until)) if *until <= self.now => {
                let event = event.clone();
                self.refuse_held_request(request_id, *event);
            }
            Some(PendingAnswer::Joined {
                task_id,
                kind: JoinKind::Status(until),
            }) if *until <= self.now => {
                let task_id = *task_id;
                if self.tasks.contains_key(&task_id) {
                    let status = self.status_of(task_id);
                    self.abandon(request_id);
                    self.answer_status(request_id, status);
                } else {
                    self.answer(request_id, Answer::NotOwner);
                }
            }
            _ => {}
        }
    }

    fn refuse_held_request(&mut self, request_id: RequestId, event: Event) {
        if let Event::Submit { task, resent, .. } = event {
            let outcome = unserved_outcome(&task, resent);
            self.answer_submit(request_id, SubmitReply::Settled(outcome));
        } else {
            let outcome = Outcome::Unknown(UnknownReason::OwnerUnreachable);
            self.answer_status(request_id, TaskStatus::Settled(outcome));
        }
    }

    pub(crate) fn status_of(&self, task_id: TaskId) -> TaskStatus {
        match self.tasks.get(&task_id).map(|record| &record.state) {
            Some(task_record::State::Active(_)) => TaskStatus::Running,
            Some(_) => TaskStatus::Queued,
            None => TaskStatus::NotFound,
        }
    }

    /// Returns the status of a task that has no record, if it belongs to the customer.
    pub(crate) fn past_status(&self, customer_id: &CustomerId, task_id: TaskId) -> TaskStatus {
        if let Some(settled) = self.outcome_cache.outcome(task_id) {
            if settled.task.customer_id == *customer_id {
                return TaskStatus::Settled(settled.outcome.clone());
            }
        } else if let Some(used_id) = self.outcome_cache.used_id(task_id)
            && used_id.customer_id == *customer_id
        {
            return TaskStatus::Settled(Outcome::Unknown(used_id.reason));
        }
        TaskStatus::NotFound
    }
}

/// Returns the answer to a submission whose partition was not served by its deadline.
fn unserved_outcome(task: &Task, resent: bool) -> Outcome {
    if task.spec.key.is_none() && !resent {
        Outcome::NotRun(NotRunReason::OwnerUnavailable)
    } else {
        Outcome::Unknown(UnknownReason::OwnerUnreachable)
    }
}

fn task_id_of(event: &Event) -> Option<TaskId> {
    match event {
        Event::Submit { task, .. } => Some(task.task_id),
        Event::Lookup { task_id, .. } | Event::Cancel { task_id, .. } => Some(*task_id),
        _ => None,
    }
}
