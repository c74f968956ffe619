//! Requests of callers: routes each one to the owner of its task and returns the answer.

use std::time;

use indexmap::IndexMap;

use crate::control::effect;
use crate::control::input;
use crate::control::state;

/// Timeout of a forwarded request; a lost connection to the peer ends it earlier.
const FORWARD_TIMEOUT: time::Duration = time::Duration::from_secs(3600);
/// Delay before a request is routed again.
const ROUTE_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);
/// How long after its deadline a request that may have reached an owner is still retried.
///
/// Also the deadline of a cancellation, from its arrival.
const ROUTE_GRACE: time::Duration = time::Duration::from_secs(15);

/// Kind of a caller's request.
#[derive(Clone, Debug)]
enum Request {
    Submit(model::Task),
    Lookup(model::CustomerId),
    Cancel(model::CustomerId),
}

/// How far the routing of a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RoutingState {
    /// Handled by the owner state machine of this instance.
    LocalOwner,
    /// Forwarded to a peer and not yet answered.
    Forwarded,
    /// Waiting until this time to be routed again.
    Delayed(time::Instant),
}

/// A request without an answer yet.
#[derive(Clone, Debug)]
struct PendingRequest {
    task_id: model::TaskId,
    request: Request,
    /// Start deadline of a submission, end of the wait of a lookup, or [`ROUTE_GRACE`] after the
    /// arrival of a cancellation.
    deadline: time::Instant,
    routing: RoutingState,
    /// Whether the request may have reached an owner.
    may_have_reached_owner: bool,
}

/// Unanswered requests of callers at this instance.
#[derive(Debug, Default)]
pub(super) struct Callers {
    pending: IndexMap<input::RequestId, PendingRequest>,
}

impl Callers {
    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.pending.len()
    }
}

impl state::Control {
    pub(super) fn submit(&mut self, submit: input::Submit, now: time::Instant) {
        let task_id = self.choose_task_id(&submit);
        let deadline = now + time::Duration::from_millis(submit.spec.deadline_ms);
        let task = model::Task {
            task_id,
            customer_id: submit.customer_id,
            plan_id: submit.plan_id,
            region: submit.region,
            spec: submit.spec,
            wait: submit.wait,
        };
        let request = Request::Submit(task);
        self.insert_request(submit.request_id, task_id, request, deadline, now);
    }

    fn choose_task_id(&self, submit: &input::Submit) -> model::TaskId {
        if let Some(key) = &submit.spec.key {
            return model::keyed_task_id(&submit.customer_id, key);
        }
        let served = self.owner.served_partitions();
        let partition = if served.is_empty() || self.draining {
            (submit.random % u128::from(model::PARTITIONS)) as model::Partition
        } else {
            served[(submit.random % served.len() as u128) as usize]
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
        self.insert_request(
            request_id,
            task_id,
            Request::Lookup(customer_id),
            until,
            now,
        );
    }

    pub(super) fn cancel(
        &mut self,
        request_id: input::RequestId,
        customer_id: model::CustomerId,
        task_id: model::TaskId,
        now: time::Instant,
    ) {
        let until = now + ROUTE_GRACE;
        self.insert_request(
            request_id,
            task_id,
            Request::Cancel(customer_id),
            until,
            now,
        );
    }

    fn insert_request(
        &mut self,
        request_id: input::RequestId,
        task_id: model::TaskId,
        request: Request,
        deadline: time::Instant,
        now: time::Instant,
    ) {
        let pending = PendingRequest {
            task_id,
            request,
            deadline,
            routing: RoutingState::LocalOwner,
            may_have_reached_owner: false,
        };
        self.callers.pending.insert(request_id, pending);
        if self.callers.pending.len() > self.settings.max_waiting {
            let reason = model::NotRunReason::InstanceOverloaded;
            self.refuse(request_id, reason);
            return;
        }
        self.route(request_id, now);
    }

    /// Sends a pending request to the owner of its task.
    fn route(&mut self, request_id: input::RequestId, now: time::Instant) {
        let Some(pending) = self.callers.pending.get(&request_id) else {
            return;
        };
        let partition = model::partition_of(pending.task_id);
        let owner_id = self.owner.owner_of(partition).cloned();
        match owner_id {
            Some(id) if self.is_self(&id) => self.route_to_local_owner(request_id, now),
            Some(id) => match self.members.address_of(&id) {
                Some(address) => self.forward(request_id, address, now),
                None => self.delay_routing(request_id, now),
            },
            None => self.delay_routing(request_id, now),
        }
    }

    fn route_to_local_owner(&mut self, request_id: input::RequestId, now: time::Instant) {
        let Some(pending) = self.callers.pending.get_mut(&request_id) else {
            return;
        };
        pending.routing = RoutingState::LocalOwner;
        let task_id = pending.task_id;
        let event = match &pending.request {
            Request::Submit(task) => owner::Event::Submit {
                request_id,
                task: task.clone(),
                deadline: pending.deadline,
                resent: pending.may_have_reached_owner,
            },
            Request::Lookup(customer_id) => owner::Event::Lookup {
                request_id,
                customer_id: customer_id.clone(),
                task_id,
                until: pending.deadline,
            },
            Request::Cancel(customer_id) => owner::Event::Cancel {
                request_id,
                customer_id: customer_id.clone(),
                task_id,
            },
        };
        self.owner_event(event, now);
    }

    fn forward(&mut self, request_id: input::RequestId, address: String, now: time::Instant) {
        let Some(pending) = self.callers.pending.get_mut(&request_id) else {
            return;
        };
        pending.routing = RoutingState::Forwarded;
        let task_id = pending.task_id;
        let remaining_ms = pending.deadline.saturating_duration_since(now).as_millis() as u64;
        let request = match &pending.request {
            Request::Submit(task) => model::PeerRequest::Submit(model::Submission {
                task: task.clone(),
                remaining_ms,
                resent: pending.may_have_reached_owner,
            }),
            Request::Lookup(customer_id) => model::PeerRequest::Lookup {
                customer_id: customer_id.clone(),
                task_id,
                wait_ms: remaining_ms,
            },
            Request::Cancel(customer_id) => model::PeerRequest::Cancel {
                customer_id: customer_id.clone(),
                task_id,
            },
        };
        self.metrics.count("caller.forwarded");
        self.push_effect(effect::Effect::Call {
            address,
            request: Box::new(request),
            timeout: FORWARD_TIMEOUT,
            context: effect::CallContext::Forward { request_id },
        });
    }

    fn delay_routing(&mut self, request_id: input::RequestId, now: time::Instant) {
        if let Some(pending) = self.callers.pending.get_mut(&request_id) {
            pending.routing = RoutingState::Delayed(now + ROUTE_RETRY_DELAY);
        }
    }

    /// Routes delayed requests again and fails those that are past their time limit.
    pub(super) fn retry_delayed_requests(&mut self, now: time::Instant) {
        let due: Vec<_> = self
            .callers
            .pending
            .iter()
            .filter(
                |(_, pending)| matches!(pending.routing, RoutingState::Delayed(at) if at <= now),
            )
            .map(|(request_id, pending)| (*request_id, pending.is_expired(now)))
            .collect();
        for (request_id, is_expired) in due {
            if is_expired {
                self.fail_expired(request_id);
            } else {
                self.metrics.count("retry.route");
                self.route(request_id, now);
            }
        }
    }

    fn fail_expired(&mut self, request_id: input::RequestId) {
        let Some(pending) = self.callers.pending.get(&request_id) else {
            return;
        };
        let partition = model::partition_of(pending.task_id);
        let owner_id = self.owner.owner_of(partition);
        log::warn!(
            "request timed out without an answer from the owner task={} partition={partition} owner={owner_id:?} address={:?} table={} sent={}",
            pending.task_id,
            owner_id.and_then(|id| self.members.address_of(id)),
            self.owner.table_revision(),
            pending.may_have_reached_owner,
        );
        let Request::Submit(task) = &pending.request else {
            let reason = model::UnknownReason::OwnerUnreachable;
            let outcome = model::Outcome::Unknown(reason);
            let status = model::TaskStatus::Settled(outcome);
            self.answer(request_id, effect::Answer::Status(status));
            return;
        };
        // An earlier request with the same key may have started the task, so `not_run` is certain
        // only for a task without a key.
        if pending.may_have_reached_owner || task.spec.key.is_some() {
            let outcome = model::Outcome::Unknown(model::UnknownReason::OwnerUnreachable);
            self.metrics.count("unknown.owner_unreachable");
            let reply = model::SubmitReply::Settled(outcome);
            self.answer(request_id, effect::Answer::Submit(reply));
        } else {
            self.refuse(request_id, model::NotRunReason::OwnerUnavailable);
        }
    }

    /// Answers a request that this instance does not route.
    ///
    /// The answer is `not_run` only for a submission without a key: an earlier request may have
    /// started any other task.
    fn refuse(&mut self, request_id: input::RequestId, reason: model::NotRunReason) {
        let Some(pending) = self.callers.pending.get(&request_id) else {
            return;
        };
        let outcome = match &pending.request {
            Request::Submit(task) if task.spec.key.is_some() => {
                model::Outcome::Unknown(model::UnknownReason::OwnerUnreachable)
            }
            Request::Lookup(_) | Request::Cancel(_) => {
                model::Outcome::Unknown(model::UnknownReason::OwnerUnreachable)
            }
            Request::Submit(_) => {
                self.metrics.count(&format!("refused.{reason}"));
                model::Outcome::NotRun(reason)
            }
        };
        let answer = match pending.request {
            Request::Submit(_) => effect::Answer::Submit(model::SubmitReply::Settled(outcome)),
            Request::Lookup(_) | Request::Cancel(_) => {
                effect::Answer::Status(model::TaskStatus::Settled(outcome))
            }
        };
        self.answer(request_id, answer);
    }

    /// Sends an answer to the caller, unless the request has been answered or abandoned.
    pub(super) fn answer(&mut self, request_id: input::RequestId, answer: effect::Answer) {
        let Some(pending) = self.callers.pending.swap_remove(&request_id) else {
            return;
        };
        self.push_effect(effect::Effect::Answer {
            request_id,
            task_id: pending.task_id,
            answer,
        });
    }

    /// Handles the owner's answer to a caller's request.
    ///
    /// Returns `false` if the request is not a caller's.
    pub(super) fn on_owner_answer(
        &mut self,
        request_id: input::RequestId,
        answer: owner::Answer,
        now: time::Instant,
    ) -> bool {
        let Some(pending) = self.callers.pending.get_mut(&request_id) else {
            return false;
        };
        match answer {
            owner::Answer::Submit(reply) => self.answer(request_id, effect::Answer::Submit(reply)),
            owner::Answer::Status(status) => {
                self.answer(request_id, effect::Answer::Status(status))
            }
            owner::Answer::NotOwner => {
                pending.may_have_reached_owner = true;
                self.delay_routing(request_id, now);
            }
        }
        true
    }

    /// Handles the result of a forwarded request.
    pub(super) fn on_forward_ended(
        &mut self,
        request_id: input::RequestId,
        address: &str,
        result: Result<model::PeerResponse, input::CallError>,
        now: time::Instant,
    ) {
        let Some(pending) = self.callers.pending.get_mut(&request_id) else {
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
                self.delay_routing(request_id, now);
                self.fetch_table(address, now);
            }
            Err(input::CallError::NotHandled) => self.delay_routing(request_id, now),
            Ok(_) | Err(input::CallError::Unanswered) => {
                pending.may_have_reached_owner = true;
                self.metrics.count("retry.forward_unanswered");
                self.delay_routing(request_id, now);
            }
        }
    }

    pub(super) fn abandon(&mut self, request_id: input::RequestId, now: time::Instant) {
        self.metrics.count("caller.abandoned");
        let pending = self.callers.pending.swap_remove(&request_id);
        // An unknown id is that of a peer's request, which only the owner state machine keeps.
        if pending.is_none_or(|pending| pending.routing == RoutingState::LocalOwner) {
            self.owner_event(owner::Event::Abandon { request_id }, now);
        }
    }
}

impl PendingRequest {
    fn is_expired(&self, now: time::Instant) -> bool {
        let until = if self.may_have_reached_owner {
            self.deadline + ROUTE_GRACE
        } else {
            self.deadline
        };
        now >= until
    }
}
