//! Calls to the recommendation service, balanced over the instances.
//!
//! The service handles one call at a time for each calling instance. A call is therefore sent
//! through the instance with the shortest backlog.

use std::time;

use crate::event;
use crate::journal;
use crate::manifest;
use crate::maps;
use crate::scheduler;
use crate::tickets;

/// Time of a call without that of the service: the round trip to the instance.
const CALL_OVERHEAD: time::Duration = time::Duration::from_millis(10);
/// Time past the expected end of a call after which it times out.
const CALL_TIMEOUT_MARGIN: time::Duration = time::Duration::from_millis(700);
/// Longest backlog of an instance that still gets another call: with more, the call would only
/// queue at the service, ahead of calls that are more urgent by then.
const MAX_BACKLOG: time::Duration = time::Duration::from_millis(60);
/// How long an instance gets no calls after one of its calls failed.
const FAILURE_PAUSE: time::Duration = time::Duration::from_millis(1_000);
/// Most workers that one call may name.
const MAX_WORKERS_PER_CALL: usize = 100;
/// Base time from which a call is long: long calls leave some instances free for short ones.
const LONG_CALL_BASE_TIME: time::Duration = time::Duration::from_millis(200);
/// One in this many instances is left free for short calls, so that short jobs do not wait for long
/// calls.
const SHORT_CALL_INSTANCES_DIVISOR: usize = 4;
/// Prior estimate of the share of workers that the service allows for a step.
const PRIOR_ALLOWED_SHARE: f64 = 0.33;
/// Weight of the prior estimate, as a number of workers asked about.
const PRIOR_WEIGHT_WORKERS: f64 = 20.0;
/// Factor by which earlier answers lose weight with each new one.
const ANSWER_DECAY: f64 = 0.95;
/// Time between log lines about the calls to the service.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// Most time that the named workers may add to a call, as a share of its base time.
const MAX_NAMED_TIME_SHARE: f64 = 0.5;

/// The instances through which the service is called, and the calls in flight.
#[derive(Debug, Default)]
pub(crate) struct Advisors {
    instances: maps::IndexMap<model::InstanceId, Advisor>,
    calls: maps::IndexMap<event::CallId, Call>,
    next_call: event::CallId,
    queue_stats: maps::IndexMap<model::QueueName, QueueStats>,
    logged_at: Option<time::Instant>,
}

/// Statistics of the calls for steps of a queue; older answers have less weight.
#[derive(Debug, Default)]
struct QueueStats {
    asked: f64,
    allowed: f64,
    recent: RecentCalls,
}

/// Calls since the last log line.
#[derive(Clone, Copy, Debug, Default)]
struct RecentCalls {
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
    sent_at: time::Instant,
}

impl Advisors {
    /// Sets the live instances.
    pub(crate) fn set_instances(&mut self, instances: Vec<model::InstanceId>, now: time::Instant) {
        self.instances.retain(|id, _| instances.contains(id));
        for id in instances {
            self.instances
                .entry(id)
                .or_insert(Advisor { busy_until: now });
        }
    }

    /// Returns whether an instance can take a call.
    pub(crate) fn can_take_call(&self, now: time::Instant) -> bool {
        let mut instances = self.instances.values();
        instances.any(|advisor| advisor.busy_until <= now + MAX_BACKLOG)
    }

    /// Returns whether an instance can take a call for a gang; some are left free for short calls.
    pub(crate) fn can_take_gang_call(
        &self,
        terms: &manifest::AdviceTerms,
        now: time::Instant,
    ) -> bool {
        if terms.base_time < LONG_CALL_BASE_TIME {
            return self.can_take_call(now);
        }
        let instances = self.instances.values();
        let idle = instances.filter(|advisor| advisor.busy_until <= now + MAX_BACKLOG);
        idle.count() > self.instances.len() / SHORT_CALL_INSTANCES_DIVISOR
    }

    /// Returns the estimated share of workers that the service allows for steps of a queue.
    pub(crate) fn allowed_share(&self, queue: &model::QueueName) -> f64 {
        let (asked, allowed) = match self.queue_stats.get(queue) {
            Some(stats) => (stats.asked, stats.allowed),
            None => (0.0, 0.0),
        };
        (allowed + PRIOR_ALLOWED_SHARE * PRIOR_WEIGHT_WORKERS) / (asked + PRIOR_WEIGHT_WORKERS)
    }

    fn record_answer(&mut self, queue: &model::QueueName, asked: usize, allowed: usize) {
        let stats = self.queue_stats.entry(queue.clone()).or_default();
        stats.asked = stats.asked * ANSWER_DECAY + asked as f64;
        stats.allowed = stats.allowed * ANSWER_DECAY + allowed as f64;
    }

    fn record_call(&mut self, queue: &model::QueueName, named: usize, duration: time::Duration) {
        let recent = &mut self.queue_stats.entry(queue.clone()).or_default().recent;
        recent.calls += 1;
        recent.named += named;
        recent.busy += duration;
    }

    /// Logs the calls since the last log line if the next is due; returns whether it was.
    pub(crate) fn log_recent_calls(&mut self, now: time::Instant) -> bool {
        let logged_at = *self.logged_at.get_or_insert(now);
        if now.saturating_duration_since(logged_at) < LOG_INTERVAL {
            return false;
        }
        self.logged_at = Some(now);
        for (queue, stats) in &mut self.queue_stats {
            let recent = std::mem::take(&mut stats.recent);
            if recent.calls > 0 {
                log::info!(
                    queue:% = queue,
                    calls = recent.calls,
                    named = recent.named,
                    busy_ms = recent.busy.as_millis() as u64,
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
    /// Calls the service about the workers `asked` for a gang, in several calls if one may not name all
    /// of them. They are sent together so that their tickets are valid at the same time.
    pub(crate) fn request_gang_advice(
        &mut self,
        step: model::StepKey,
        terms: manifest::AdviceTerms,
        asked: &[model::WorkerId],
        clock: event::Clock,
    ) {
        for part in asked.chunks(even_call_size(asked.len())) {
            self.request_advice(step, terms, part.to_vec(), clock);
        }
    }

    /// Calls the service about the workers `asked`, unless no instance can take the call.
    pub(crate) fn request_advice(
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
        let duration = call_duration(&terms, asked.len());
        advisor.busy_until = advisor.busy_until.max(clock.now) + duration;
        let timeout = advisor.busy_until - clock.now + CALL_TIMEOUT_MARGIN;
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
        step_state.tickets.begin_call(call_id);
        if let Some(state) = self.jobs.get(&step.job_id) {
            self.advisors
                .record_call(&state.job.queue, asked.len(), duration);
        }
        self.advisors.next_call += 1;
        self.advisors.calls.insert(
            call.call,
            Call {
                step,
                asked,
                instance_id: call.instance_id.clone(),
                terms,
                sent_at: clock.now,
            },
        );
        self.actions.push(event::Action::Advise(call));
    }

    pub(crate) fn on_advice(
        &mut self,
        call_id: event::CallId,
        outcome: Result<model::AdviceReply, model::AdviceFailure>,
        elapsed: time::Duration,
        clock: event::Clock,
    ) {
        let Some(call) = self.advisors.calls.swap_remove(&call_id) else {
            return;
        };
        self.placement_needed = true;
        let state = self.jobs.get_mut(&call.step.job_id);
        let step = state.and_then(|one| one.step_mut(call.step));
        let step = step.and_then(|(_, step_state)| {
            let is_for_this_job = step_state.tickets.end_call(call_id);
            is_for_this_job.then_some(step_state)
        });
        let Some(step_state) = step else {
            log::info!(
                job:% = journal::job_id_hex(call.step.job_id),
                step = call.step.step,
                call = call_id,
                succeeded = outcome.is_ok(),
                by:% = call.instance_id;
                "answer of the recommendation service dropped, as its job has ended"
            );
            return;
        };
        self.changed_steps.insert(call.step);
        match outcome {
            Ok(reply) => {
                log::info!(
                    job:% = journal::job_id_hex(call.step.job_id),
                    step = call.step.step,
                    asked = call.asked.len(),
                    allowed = reply.tickets.len(),
                    by:% = call.instance_id;
                    "answer received from the recommendation service"
                );
                let validity = reply
                    .validity_ms
                    .map_or(call.terms.validity, time::Duration::from_millis);
                // The answer may have waited for the leader since.
                let answered_at = clock.now.min(call.sent_at + elapsed);
                let valid_until = answered_at + validity;
                let learned =
                    step_state
                        .tickets
                        .record_answer(&call.asked, reply.tickets, valid_until);
                if let Some(state) = self.jobs.get(&call.step.job_id) {
                    let (asked, allowed) = learned;
                    self.advisors
                        .record_answer(&state.job.queue, asked, allowed);
                }
            }
            Err(failure) => {
                log::warn!(
                    job:% = journal::job_id_hex(call.step.job_id),
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

/// Returns how many workers each call names if `count` are divided evenly among as few as possible.
pub(crate) fn even_call_size(count: usize) -> usize {
    let calls = count.div_ceil(MAX_WORKERS_PER_CALL).max(1);
    count.div_ceil(calls).max(1)
}

/// Returns the expected duration of a call that names `count` workers.
pub(crate) fn call_duration(terms: &manifest::AdviceTerms, count: usize) -> time::Duration {
    let named = u32::try_from(count).unwrap_or(u32::MAX);
    terms.base_time + terms.time_per_worker * named + CALL_OVERHEAD
}

/// Returns the expected duration of a call that names `count` workers, with the longest backlog and
/// the expiry margin of a ticket.
pub(crate) fn duration_with_backlog(terms: &manifest::AdviceTerms, count: usize) -> time::Duration {
    call_duration(terms, count) + MAX_BACKLOG + tickets::EXPIRY_MARGIN
}

/// Returns the longest time until a call that names `count` workers has ended.
pub(crate) fn call_timeout(terms: &manifest::AdviceTerms, count: usize) -> time::Duration {
    call_duration(terms, count) + MAX_BACKLOG + CALL_TIMEOUT_MARGIN
}

/// Returns the most workers that a call should name: at least `needed`, more if they are cheap.
pub(crate) fn call_size_limit(terms: &manifest::AdviceTerms, needed: usize) -> usize {
    let per_worker = terms.time_per_worker.as_secs_f64();
    if per_worker <= 0.0 {
        return MAX_WORKERS_PER_CALL;
    }
    let affordable = terms.base_time.as_secs_f64() * MAX_NAMED_TIME_SHARE / per_worker;
    // Truncation is fine: the number is a rough limit.
    (affordable as usize)
        .max(needed)
        .clamp(1, MAX_WORKERS_PER_CALL)
}
