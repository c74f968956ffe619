//! Calls to the recommendation service, balanced over the instances.
//!
//! The service handles one call at a time for each calling instance. A call is therefore sent
//! through the instance with the shortest backlog.

use std::time;

use indexmap::IndexMap;

use crate::event;
use crate::journal;
use crate::manifest;
use crate::scheduler;
use crate::tickets;

/// Time of a call without that of the service: the round trip to the instance.
const CALL_OVERHEAD: time::Duration = time::Duration::from_millis(10);
/// Time past the expected end of a call after which it times out.
const CALL_PATIENCE: time::Duration = time::Duration::from_millis(700);
/// Longest backlog of an instance that still gets another call: with more, the call would only
/// queue at the service, ahead of calls that are more urgent by then.
const MAX_BACKLOG: time::Duration = time::Duration::from_millis(60);
/// How long an instance gets no calls after one of its calls failed.
const FAILURE_PAUSE: time::Duration = time::Duration::from_millis(1_000);
/// Limit of the service for the workers in one call.
pub(crate) const MAX_NAMED: usize = 100;
/// Calls with a base time from this on leave some instances free for shorter ones.
const LONG_CALL: time::Duration = time::Duration::from_millis(200);
/// One in this many instances is left free for short calls, so that short jobs do not wait for long
/// calls.
const SHORT_CALL_PART: usize = 4;
/// Prior estimate of the share of workers that the service allows for a step.
const EXPECTED_ALLOWED_SHARE: f64 = 0.33;
/// Weight of the prior estimate, as a number of workers asked about.
const EXPECTED_WEIGHT: f64 = 20.0;
/// Factor by which earlier answers lose weight with each new one.
const SHARE_MEMORY: f64 = 0.95;
/// Time between log lines about the calls to the service.
const REPORT_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// Most time that the named workers may add to a call, as a share of its base time.
const NAMING_SHARE: f64 = 0.5;

/// The instances through which the service is called, and the calls in flight.
#[derive(Debug, Default)]
pub(crate) struct Advisors {
    instances: IndexMap<model::InstanceId, Advisor>,
    calls: IndexMap<event::CallId, Call>,
    next_call: event::CallId,
    shares: IndexMap<model::QueueName, Share>,
    reported_at: Option<time::Instant>,
}

/// Statistics of the calls for steps of a queue; older answers have less weight.
#[derive(Debug, Default)]
struct Share {
    asked: f64,
    allowed: f64,
    load: Load,
}

/// Calls since the last log line.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    calls: u32,
    named: usize,
    /// Time that they occupy the service.
    busy: time::Duration,
}

#[derive(Debug)]
struct Advisor {
    /// Expected end of the last call sent through it.
    busy_until: time::Instant,
}

#[derive(Debug)]
struct Call {
    step: model::StepKey,
    asked: Vec<model::WorkerId>,
    instance_id: model::InstanceId,
    terms: manifest::AdviceTerms,
}

impl Advisors {
    /// Sets the live instances.
    pub(crate) fn take(&mut self, instances: Vec<model::InstanceId>, now: time::Instant) {
        self.instances.retain(|id, _| instances.contains(id));
        for id in instances {
            self.instances
                .entry(id)
                .or_insert(Advisor { busy_until: now });
        }
    }

    /// Returns whether an instance can take a call.
    pub(crate) fn has_capacity(&self, now: time::Instant) -> bool {
        let mut instances = self.instances.values();
        instances.any(|advisor| advisor.busy_until <= now + MAX_BACKLOG)
    }

    /// Returns whether an instance can take a call for a gang; some are left free for short calls.
    pub(crate) fn has_capacity_for(
        &self,
        terms: &manifest::AdviceTerms,
        now: time::Instant,
    ) -> bool {
        if terms.base_time < LONG_CALL {
            return self.has_capacity(now);
        }
        let instances = self.instances.values();
        let idle = instances.filter(|advisor| advisor.busy_until <= now + MAX_BACKLOG);
        idle.count() > self.instances.len() / SHORT_CALL_PART
    }

    /// Returns the estimated share of workers that the service allows for steps of a queue.
    pub(crate) fn allowed_share(&self, queue: &model::QueueName) -> f64 {
        let (asked, allowed) = match self.shares.get(queue) {
            Some(share) => (share.asked, share.allowed),
            None => (0.0, 0.0),
        };
        (allowed + EXPECTED_ALLOWED_SHARE * EXPECTED_WEIGHT) / (asked + EXPECTED_WEIGHT)
    }

    fn note_share(&mut self, queue: &model::QueueName, asked: usize, allowed: usize) {
        let share = self.shares.entry(queue.clone()).or_default();
        share.asked = share.asked * SHARE_MEMORY + asked as f64;
        share.allowed = share.allowed * SHARE_MEMORY + allowed as f64;
    }

    fn note_call(&mut self, queue: &model::QueueName, named: usize, duration: time::Duration) {
        let load = &mut self.shares.entry(queue.clone()).or_default().load;
        load.calls += 1;
        load.named += named;
        load.busy += duration;
    }

    /// Logs the calls since the last log line if the next is due; returns whether it was.
    pub(crate) fn report_load(&mut self, now: time::Instant) -> bool {
        let reported_at = *self.reported_at.get_or_insert(now);
        if now.saturating_duration_since(reported_at) < REPORT_INTERVAL {
            return false;
        }
        self.reported_at = Some(now);
        for (queue, share) in &mut self.shares {
            let load = std::mem::take(&mut share.load);
            if load.calls > 0 {
                log::info!(
                    queue:% = queue,
                    calls = load.calls,
                    named = load.named,
                    busy_ms = load.busy.as_millis() as u64,
                    instances = self.instances.len();
                    "calls to the recommendation service since the last report"
                );
            }
        }
        true
    }

    /// Returns the instance with the shortest backlog, unless all backlogs exceed the limit.
    fn least_busy(&mut self, now: time::Instant) -> Option<(&model::InstanceId, &mut Advisor)> {
        self.instances
            .iter_mut()
            .min_by_key(|(_, advisor)| advisor.busy_until)
            .filter(|(_, advisor)| advisor.busy_until <= now + MAX_BACKLOG)
    }
}

impl scheduler::Scheduler {
    /// Calls the service about the workers `asked`, unless no instance can take the call.
    pub(crate) fn ask_advice(
        &mut self,
        step: model::StepKey,
        terms: manifest::AdviceTerms,
        asked: Vec<model::WorkerId>,
        clock: event::Clock,
    ) {
        let call_id = self.advisors.next_call;
        let Some((instance_id, advisor)) = self.advisors.least_busy(clock.now) else {
            return;
        };
        let duration = duration(&terms, asked.len());
        advisor.busy_until = advisor.busy_until.max(clock.now) + duration;
        let timeout = advisor.busy_until - clock.now + CALL_PATIENCE;
        let call = event::AdviceCall {
            call: call_id,
            instance_id: instance_id.clone(),
            request: model::AdviceRequest {
                step,
                worker_ids: asked.clone(),
                timeout_ms: timeout.as_millis() as u64,
            },
        };
        let Some((_, step_state)) = self
            .jobs
            .get_mut(&step.job_id)
            .and_then(|state| state.step_mut(step))
        else {
            return;
        };
        step_state.tickets.calls += 1;
        if let Some(state) = self.jobs.get(&step.job_id) {
            self.advisors
                .note_call(&state.job.queue, asked.len(), duration);
        }
        self.advisors.next_call += 1;
        self.advisors.calls.insert(
            call.call,
            Call {
                step,
                asked,
                instance_id: call.instance_id.clone(),
                terms,
            },
        );
        self.actions.push(event::Action::Advise(call));
    }

    pub(crate) fn advised(
        &mut self,
        call: event::CallId,
        outcome: Result<model::AdviceReply, model::AdviceFailure>,
        clock: event::Clock,
    ) {
        let Some(call) = self.advisors.calls.swap_remove(&call) else {
            return;
        };
        self.may_place = true;
        let state = self.jobs.get_mut(&call.step.job_id);
        let Some((_, step_state)) = state.and_then(|one| one.step_mut(call.step)) else {
            return;
        };
        step_state.tickets.calls -= 1;
        match outcome {
            Ok(reply) => {
                log::info!(
                    job:% = journal::hex(call.step.job_id),
                    step = call.step.step,
                    asked = call.asked.len(),
                    allowed = reply.tickets.len(),
                    by:% = call.instance_id;
                    "tickets received from the recommendation service"
                );
                let validity = reply
                    .validity_ms
                    .map_or(call.terms.validity, time::Duration::from_millis);
                let valid_until = clock.now + validity;
                let learned = step_state
                    .tickets
                    .take(&call.asked, reply.tickets, valid_until);
                if let Some(state) = self.jobs.get(&call.step.job_id) {
                    let (asked, allowed) = learned;
                    self.advisors.note_share(&state.job.queue, asked, allowed);
                }
            }
            Err(failure) => {
                log::warn!(
                    job:% = journal::hex(call.step.job_id),
                    step = call.step.step,
                    failure:? = failure,
                    by:% = call.instance_id;
                    "call to the recommendation service failed"
                );
                if let Some(advisor) = self.advisors.instances.get_mut(&call.instance_id) {
                    let until = clock.now + FAILURE_PAUSE;
                    advisor.busy_until = advisor.busy_until.max(until);
                }
            }
        }
    }
}

/// Returns the expected duration of a call that names `count` workers.
pub(crate) fn duration(terms: &manifest::AdviceTerms, count: usize) -> time::Duration {
    let named = u32::try_from(count).unwrap_or(u32::MAX);
    terms.base_time + terms.time_per_worker * named + CALL_OVERHEAD
}

/// Returns the expected duration of a call that names `count` workers, with the longest backlog and
/// the expiry margin of a ticket.
pub(crate) fn longest(terms: &manifest::AdviceTerms, count: usize) -> time::Duration {
    duration(terms, count) + MAX_BACKLOG + tickets::EXPIRY_MARGIN
}

/// Returns the longest time until a call that names `count` workers has ended.
pub(crate) fn patience(terms: &manifest::AdviceTerms, count: usize) -> time::Duration {
    duration(terms, count) + MAX_BACKLOG + CALL_PATIENCE
}

/// Returns the most workers that a call should name: at least `needed`, more if they are cheap.
pub(crate) fn naming_limit(terms: &manifest::AdviceTerms, needed: usize) -> usize {
    let per_worker = terms.time_per_worker.as_secs_f64();
    if per_worker <= 0.0 {
        return MAX_NAMED;
    }
    let affordable = terms.base_time.as_secs_f64() * NAMING_SHARE / per_worker;
    // Truncation is fine: the number is a rough limit.
    (affordable as usize).max(needed).clamp(1, MAX_NAMED)
}
