//! Requests of callers: routes each one to the owner of its task and returns the answer.

use std::time;

use indexmap::IndexMap;

use crate::control::effect;
use crate::control::input;
use crate::control::state;

/// Timeout of a forwarded request; a lost connection to the peer ends it earlier.
const FORWARD_TIMEOUT: time::Duration = time::Duration::from_secs(3600);
/// Delay before a request is routed again.
const ROUTE_PAUSE: time::Duration = time::Duration::from_millis(50);
/// How long after its deadline a request that may have reached an owner is still retried.
const ROUTE_GRACE: time::Duration = time::Duration::from_secs(15);

/// Kind of a caller's request.
#[derive(Clone, Debug)]
enum Asked {
    Submit(model::Task),
    Lookup(model::CustomerId),
    Cancel(model::CustomerId),
}

/// How far the routing of a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// Handled by the owner state machine of this instance.
    Owner,
    /// Forwarded to a peer and not yet answered.
    Peer,
    /// Waiting until this time to be routed again.
    Parked(time::Instant),
}

/// A request without an answer yet.
#[derive(Clone, Debug)]
struct Waiting {
    task_id: model::TaskId,
    asked: Asked,
    /// Start deadline of a submission, end of the wait of a lookup.
    deadline: time::Instant,
    place: Place,
    /// Whether the request may have reached an owner.
    sent: bool,
}

/// Unanswered requests of callers at this instance.
#[derive(Debug, Default)]
pub(super) struct Callers {
    waiting: IndexMap<input::RequestId, Waiting>,
}

impl Callers {
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }
}

impl state::Control {
    pub(super) fn submit(&mut self, submit: input::Submit, now: time::Instant) {
        let task_id = self.id_of(&submit);
        let deadline = now + time::Duration::from_millis(submit.spec.deadline_ms);
        let task = model::Task {
            task_id,
            customer_id: submit.customer_id,
            plan_id: submit.plan_id,
            region: submit.region,
            spec: submit.spec,
            wait: submit.wait,
        };
        let asked = Asked::Submit(task);
        self.wait_for(submit.request_id, task_id, asked, deadline, now);
    }

    fn id_of(&self, submit: &input::Submit) -> model::TaskId {
        if let Some(key) = &submit.spec.key {
            return model::keyed_task_id(&submit.customer_id, key);
        }
        let serving = self.owner.served_partitions();
        let partition = if serving.is_empty() || self.draining {
            (submit.random % u128::from(model::PARTITIONS)) as model::Partition
        } else {
            serving[(submit.random % serving.len() as u128) as usize]
        };
        model::task_id_in_partition(partition, submit.random >> 8)
    }

    pub(super) fn lookup(
        &mut self,
        request_id: input::RequestId,
        customer_id: model::CustomerId,
        task_id: model::TaskId,
        until: time::Instant,
        now: time::Instant,
    ) {
        self.wait_for(request_id, task_id, Asked::Lookup(customer_id), until, now);
    }

    pub(super) fn cancel(
        &mut self,
        request_id: input::RequestId,
        customer_id: model::CustomerId,
        task_id: model::TaskId,
        now: time::Instant,
    ) {
        let until = now + ROUTE_GRACE;
        self.wait_for(request_id, task_id, Asked::Cancel(customer_id), until, now);
    }

    fn wait_for(
        &mut self,
        request_id: input::RequestId,
        task_id: model::TaskId,
        asked: Asked,
        deadline: time::Instant,
        now: time::Instant,
    ) {
        let waiting = Waiting {
            task_id,
            asked,
            deadline,
            place: Place::Owner,
            sent: false,
        };
        self.callers.waiting.insert(request_id, waiting);
        if self.callers.waiting.len() > self.settings.max_waiting {
            let reason = model::NotRunReason::InstanceOverloaded;
            self.refuse(request_id, reason);
            return;
        }
        self.route(request_id, now);
    }

    /// Sends a pending request to the owner of its task.
    fn route(&mut self, request_id: input::RequestId, now: time::Instant) {
        let Some(waiting) = self.callers.waiting.get(&request_id) else {
            return;
        };
        let partition = model::partition_of(waiting.task_id);
        let owner_id = self.owner.owner_of(partition).cloned();
        match owner_id {
            Some(id) if self.is_self(&id) => self.route_here(request_id, now),
            Some(id) => match self.members.address_of(&id) {
                Some(address) => self.route_to(request_id, address, now),
                None => self.park(request_id, now),
            },
            None => self.park(request_id, now),
        }
    }

    fn route_here(&mut self, request_id: input::RequestId, now: time::Instant) {
        let Some(waiting) = self.callers.waiting.get_mut(&request_id) else {
            return;
        };
        waiting.place = Place::Owner;
        let task_id = waiting.task_id;
        let event = match &waiting.asked {
            Asked::Submit(task) => owner::Event::Submit {
                request_id,
                task: task.clone(),
                deadline: waiting.deadline,
                resent: waiting.sent,
            },
            Asked::Lookup(customer_id) => owner::Event::Lookup {
                request_id,
                customer_id: customer_id.clone(),
                task_id,
                until: waiting.deadline,
            },
            Asked::Cancel(customer_id) => owner::Event::Cancel {
                request_id,
                customer_id: customer_id.clone(),
                task_id,
            },
        };
        self.owner_event(event, now);
    }

    fn route_to(&mut self, request_id: input::RequestId, address: String, now: time::Instant) {
        let Some(waiting) = self.callers.waiting.get_mut(&request_id) else {
            return;
        };
        waiting.place = Place::Peer;
        let task_id = waiting.task_id;
        let remaining_ms = waiting.deadline.saturating_duration_since(now).as_millis() as u64;
        let request = match &waiting.asked {
            Asked::Submit(task) => model::PeerRequest::Submit(model::Submission {
                task: task.clone(),
                remaining_ms,
                resent: waiting.sent,
            }),
            Asked::Lookup(customer_id) => model::PeerRequest::Lookup {
                customer_id: customer_id.clone(),
                task_id,
                wait_ms: remaining_ms,
            },
            Asked::Cancel(customer_id) => model::PeerRequest::Cancel {
                customer_id: customer_id.clone(),
                task_id,
            },
        };
        self.metrics.count("caller.forwarded");
        self.effect(effect::Effect::Call {
            address,
            request: Box::new(request),
            timeout: FORWARD_TIMEOUT,
            context: effect::Context::Forward { request_id },
        });
    }

    fn park(&mut self, request_id: input::RequestId, now: time::Instant) {
        if let Some(waiting) = self.callers.waiting.get_mut(&request_id) {
            waiting.place = Place::Parked(now + ROUTE_PAUSE);
        }
    }

    /// Routes delayed requests again and fails those that are past their time limit.
    pub(super) fn retry_parked(&mut self, now: time::Instant) {
        let due: Vec<_> = self
            .callers
            .waiting
            .iter()
            .filter(|(_, waiting)| matches!(waiting.place, Place::Parked(at) if at <= now))
            .map(|(request_id, waiting)| (*request_id, waiting.gives_up(now)))
            .collect();
        for (request_id, gives_up) in due {
            if gives_up {
                self.give_up(request_id);
            } else {
                self.metrics.count("retry.route");
                self.route(request_id, now);
            }
        }
    }

    fn give_up(&mut self, request_id: input::RequestId) {
        let Some(waiting) = self.callers.waiting.get(&request_id) else {
            return;
        };
        let partition = model::partition_of(waiting.task_id);
        let owner_id = self.owner.owner_of(partition);
        log::warn!(
            "request timed out without an answer from the owner task={} partition={partition} owner={owner_id:?} address={:?} table={} sent={}",
            waiting.task_id,
            owner_id.and_then(|id| self.members.address_of(id)),
            self.owner.table_revision(),
            waiting.sent,
        );
        let Asked::Submit(task) = &waiting.asked else {
            let reason = model::UnknownReason::OwnerUnreachable;
            let outcome = model::Outcome::Unknown(reason);
            let status = model::TaskStatus::Settled(outcome);
            self.answer(request_id, effect::Answer::Status(status));
            return;
        };
        // An earlier request with the same key may have started the task, so `not_run` is certain
        // only for a task without a key.
        if waiting.sent || task.spec.key.is_some() {
            let outcome = model::Outcome::Unknown(model::UnknownReason::OwnerUnreachable);
            self.metrics.count("unknown.owner_unreachable");
            let reply = model::SubmitReply::Settled(outcome);
            self.answer(request_id, effect::Answer::Submit(reply));
        } else {
            self.refuse(request_id, model::NotRunReason::OwnerUnavailable);
        }
    }

    fn refuse(&mut self, request_id: input::RequestId, reason: model::NotRunReason) {
        let Some(waiting) = self.callers.waiting.get(&request_id) else {
            return;
        };
        let outcome = match &waiting.asked {
            Asked::Submit(task) if task.spec.key.is_some() => {
                model::Outcome::Unknown(model::UnknownReason::OwnerUnreachable)
            }
            Asked::Lookup(_) | Asked::Cancel(_) => {
                model::Outcome::Unknown(model::UnknownReason::OwnerUnreachable)
            }
            Asked::Submit(_) => {
                self.metrics.count(&format!("refused.{reason}"));
                model::Outcome::NotRun(reason)
            }
        };
        let answer = match waiting.asked {
            Asked::Submit(_) => effect::Answer::Submit(model::SubmitReply::Settled(outcome)),
            Asked::Lookup(_) | Asked::Cancel(_) => {
                effect::Answer::Status(model::TaskStatus::Settled(outcome))
            }
        };
        self.answer(request_id, answer);
    }

    /// Sends an answer to the caller, unless the request has been answered or abandoned.
    pub(super) fn answer(&mut self, request_id: input::RequestId, answer: effect::Answer) {
        let Some(waiting) = self.callers.waiting.swap_remove(&request_id) else {
            return;
        };
        self.effect(effect::Effect::Answer {
            request_id,
            task_id: waiting.task_id,
            answer,
        });
    }

    /// Handles the owner's answer to a caller's request.
    ///
    /// Returns `false` if the request is not a caller's.
    pub(super) fn owner_answered(
        &mut self,
        request_id: input::RequestId,
        answer: owner::Answer,
        now: time::Instant,
    ) -> bool {
        let Some(waiting) = self.callers.waiting.get_mut(&request_id) else {
            return false;
        };
        match answer {
            owner::Answer::Submit(reply) => self.answer(request_id, effect::Answer::Submit(reply)),
            owner::Answer::Status(status) => {
                self.answer(request_id, effect::Answer::Status(status))
            }
            owner::Answer::NotOwner => {
                waiting.sent = true;
                self.park(request_id, now);
            }
        }
        true
    }

    /// Handles the result of a forwarded request.
    pub(super) fn forwarded(
        &mut self,
        request_id: input::RequestId,
        address: &str,
        result: Result<model::PeerResponse, input::CallError>,
        now: time::Instant,
    ) {
        let Some(waiting) = self.callers.waiting.get_mut(&request_id) else {
            return;
        };
        match result {
            Ok(model::PeerResponse::Submit(reply)) => {
                self.answer(request_id, effect::Answer::Submit(reply));
            }
            Ok(model::PeerResponse::Status(status)) => {
                self.answer(request_id, effect::Answer::Status(status));
            }
            Ok(model::PeerResponse::NotOwner) => {
                self.park(request_id, now);
                self.fetch_table(address, now);
            }
            Err(input::CallError::NotHandled) => self.park(request_id, now),
            Ok(_) | Err(input::CallError::Unanswered) => {
                waiting.sent = true;
                self.metrics.count("retry.forward_unanswered");
                self.park(request_id, now);
            }
        }
    }

    pub(super) fn abandon(&mut self, request_id: input::RequestId, now: time::Instant) {
        self.metrics.count("caller.abandoned");
        let waiting = self.callers.waiting.swap_remove(&request_id);
        // An unknown id is that of a peer's request, which only the owner state machine keeps.
        if waiting.is_none_or(|waiting| waiting.place == Place::Owner) {
            self.owner_event(owner::Event::Abandon { request_id }, now);
        }
    }
}

impl Waiting {
    fn gives_up(&self, now: time::Instant) -> bool {
        let until = if self.sent {
            self.deadline + ROUTE_GRACE
        } else {
            self.deadline
        };
        now >= until
    }
}
