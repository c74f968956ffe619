//! Calls to the recommendation service, spread over the instances.
//!
//! The service handles one call at a time for each calling instance. Calls are therefore given to
//! the instance whose calls are done first.

use std::time;

use indexmap::IndexMap;

use crate::event;
use crate::journal;
use crate::manifest;
use crate::scheduler;
use crate::tickets;

/// Time that a call takes beside that of the service: the way to the instance and back.
const CALL_OVERHEAD: time::Duration = time::Duration::from_millis(10);
/// How long an answer may be late before the call is given up.
const CALL_PATIENCE: time::Duration = time::Duration::from_millis(700);
/// Most time that the calls given to an instance may still take when it gets another: more would
/// only wait at the service, ahead of calls that are more urgent by then.
const MAX_BACKLOG: time::Duration = time::Duration::from_millis(60);
/// Pause of an instance whose call was not answered.
const FAILURE_PAUSE: time::Duration = time::Duration::from_millis(1_000);
/// Most workers that a call may name.
pub(crate) const MAX_NAMED: usize = 100;
/// Calls that take longer leave some instances to shorter ones.
const LONG_CALL: time::Duration = time::Duration::from_millis(200);
/// One in so many instances is left to short calls, so that short work does not wait for long calls.
const SHORT_CALL_PART: usize = 4;
/// Share of workers that may run a step, until calls about the queue have shown otherwise.
const EXPECTED_ALLOWED_SHARE: f64 = 0.33;
/// Workers asked about that the expected share counts for.
const EXPECTED_WEIGHT: f64 = 20.0;
/// How much what was seen counts at the next call.
const SHARE_MEMORY: f64 = 0.95;
/// Time between reports of the calls to the service.
const REPORT_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// Share of the service's time that naming workers may add to that of the call itself.
const NAMING_SHARE: f64 = 0.5;

/// The instances through which the service is asked, and the calls under way.
#[derive(Debug, Default)]
pub(crate) struct Advisors {
    instances: IndexMap<model::InstanceId, Advisor>,
    calls: IndexMap<event::CallId, Call>,
    next_call: event::CallId,
    shares: IndexMap<model::QueueName, Share>,
    reported_at: Option<time::Instant>,
}

/// What calls about steps of a queue have shown, older ones counting less.
#[derive(Debug, Default)]
struct Share {
    asked: f64,
    allowed: f64,
    load: Load,
}

/// Calls since the last report.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    calls: u32,
    named: usize,
    /// Time that the service needs for them.
    busy: time::Duration,
}

#[derive(Debug)]
struct Advisor {
    /// When the calls given to it will be done.
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
    /// Takes the list of live instances.
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

    /// Returns whether an instance can take a call about a gang; some are left to short calls.
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

    /// Returns the share of workers that steps of a queue may use, as far as calls have shown.
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

    /// Logs the calls since the last report, if one is due; returns whether it was.
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
                    "advice asked for since the last report"
                );
            }
        }
        true
    }

    /// Returns the instance whose calls are done first, unless all have enough to do.
    fn least_busy(&mut self, now: time::Instant) -> Option<(&model::InstanceId, &mut Advisor)> {
        self.instances
            .iter_mut()
            .min_by_key(|(_, advisor)| advisor.busy_until)
            .filter(|(_, advisor)| advisor.busy_until <= now + MAX_BACKLOG)
    }
}

impl scheduler::Scheduler {
    /// Asks the service about `asked`, unless no instance can.
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
                    "advice received"
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
                    "advice failed"
                );
                if let Some(advisor) = self.advisors.instances.get_mut(&call.instance_id) {
                    let until = clock.now + FAILURE_PAUSE;
                    advisor.busy_until = advisor.busy_until.max(until);
                }
            }
        }
    }
}

/// Returns about how long a call that names `count` workers takes.
pub(crate) fn duration(terms: &manifest::AdviceTerms, count: usize) -> time::Duration {
    let named = u32::try_from(count).unwrap_or(u32::MAX);
    terms.base_time + terms.time_per_worker * named + CALL_OVERHEAD
}

/// Returns how long a call that names `count` workers takes at the most as a rule.
pub(crate) fn longest(terms: &manifest::AdviceTerms, count: usize) -> time::Duration {
    duration(terms, count) + MAX_BACKLOG + tickets::EXPIRY_MARGIN
}

/// Returns how long the answer to a call that names `count` workers is waited for.
pub(crate) fn patience(terms: &manifest::AdviceTerms, count: usize) -> time::Duration {
    duration(terms, count) + MAX_BACKLOG + CALL_PATIENCE
}

/// Returns how many workers a call should name when `needed` allowed ones are wanted.
pub(crate) fn naming_limit(terms: &manifest::AdviceTerms, needed: usize) -> usize {
    let per_worker = terms.time_per_worker.as_secs_f64();
    if per_worker <= 0.0 {
        return MAX_NAMED;
    }
    let affordable = terms.base_time.as_secs_f64() * NAMING_SHARE / per_worker;
    // Truncation is fine: the figure is a rough bound.
    (affordable as usize).max(needed).clamp(1, MAX_NAMED)
}
