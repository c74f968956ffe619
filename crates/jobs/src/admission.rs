//! Admission of tenants' jobs: what can never run, and what is submitted beyond the owed rate.

use std::time;

use crate::event;
use crate::job;
use crate::journal;
use crate::maps;
use crate::scheduler;
use crate::tenancy;
use crate::workers;

/// Longest time for which owed jobs accumulate: callers that could submit nothing while the store was
/// unreachable, for up to 10 s, submit what they are owed for that time afterwards.
const OWED_BURST: time::Duration = time::Duration::from_secs(10);

/// How long the workers count as full, and work of others as waiting, after they last were: both change
/// with each run that ends until the next one starts.
pub(crate) const LOAD_MEMORY: time::Duration = time::Duration::from_secs(1);

/// Sets the rate of owed jobs, in jobs a second; the bucket is full at first.
pub(crate) fn set_rate(owed_jobs: &mut Option<tenants::Bucket>, weight: f64, now: time::Instant) {
    let rate_milli = rate_milli(weight);
    match owed_jobs {
        Some(bucket) => bucket.set_rate(rate_milli, now),
        None => *owed_jobs = Some(tenants::Bucket::full(OWED_BURST, rate_milli, now)),
    }
}

/// Returns the rate of owed jobs, in thousandths of a job per second.
fn rate_milli(weight: f64) -> u64 {
    // Out of range values become the nearest rate; a weight is above 0, and so is its rate.
    ((weight * 1_000.0).round() as u64).max(1)
}

/// Whether a job is within its tenant's rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rate {
    Owed,
    Beyond,
    /// Beyond the rate while the workers are full; the bucket has a job again after this time.
    Refused(time::Duration),
}

impl scheduler::Scheduler {
    /// Returns the refusal of a job that can never run under the cap of its tenant: a task, or a gang,
    /// needs more than the cap.
    pub(crate) fn refuse_beyond_cap(
        &mut self,
        state: &job::JobState,
        clock: event::Clock,
    ) -> Option<model::JobReply> {
        let number = self.tenancy.number_of(state);
        let terms = self.tenancy.terms(number)?;
        let nothing = tenants::Amounts::default();
        let impossible = state.job.steps.iter().position(|step| {
            let demand = workers::counted_demand(step);
            let together = if step.gang { step.task_count } else { 1 };
            let least = tenants::Amounts::of_tasks(&demand, together);
            !terms.cap.admits(&nothing, &least)
        })?;
        let (name, cap) = (model::TenantName::clone(&terms.name), terms.cap);
        if self.tenancy.refusal_log.try_log(clock.now) {
            log::info!(
                job:% = journal::job_id_hex(state.job.id),
                tenant:% = name,
                step = impossible,
                cap:? = cap;
                "job refused: a step needs more than the cap of its tenant"
            );
        }
        self.tenancy.states[number as usize].counters.refused_cap += 1;
        Some(model::JobReply::Refused {
            reason: model::RefusalReason::ExceedsTenantCap,
            retry_after_ms: 0,
        })
    }

    /// Marks a job that is beyond its tenant's rate, or returns its refusal if the workers are full.
    pub(crate) fn apply_rate(
        &mut self,
        state: &mut job::JobState,
        clock: event::Clock,
    ) -> Option<model::JobReply> {
        let number = self.tenancy.number_of(state);
        let rate = self.rate_of_next_job(number, clock);
        let counters = &mut self.tenancy.states[number as usize].counters;
        match rate {
            Rate::Owed => counters.owed_jobs += 1,
            Rate::Beyond => counters.beyond_jobs += 1,
            Rate::Refused(_) => counters.refused_rate += 1,
        }
        state.is_beyond_rate = rate == Rate::Beyond;
        let Rate::Refused(retry_after) = rate else {
            return None;
        };
        // Rounded up: a moment earlier there is no job yet.
        let retry_after_ms = retry_after.as_micros().div_ceil(1_000);
        if self.tenancy.refusal_log.try_log(clock.now) {
            log::info!(
                job:% = journal::job_id_hex(state.job.id),
                tenant:% = state.tenant.as_deref().unwrap_or_default(),
                retry_after_ms = retry_after.as_millis() as u64,
                load:? = self.tenancy.load;
                "job refused: beyond the rate of its tenant while the workers are full"
            );
        }
        Some(model::JobReply::Refused {
            reason: model::RefusalReason::TenantRate,
            retry_after_ms: u64::try_from(retry_after_ms).unwrap_or(u64::MAX),
        })
    }

    fn rate_of_next_job(&mut self, number: tenants::TenantNumber, clock: event::Clock) -> Rate {
        let load = self.load_for(number, clock.now);
        let Some(state) = self.tenancy.states.get_mut(number as usize) else {
            return Rate::Owed;
        };
        let (Some(_), Some(bucket)) = (&state.terms, &mut state.owed_jobs) else {
            return Rate::Owed;
        };
        if bucket.try_acquire(1, clock.now) {
            return Rate::Owed;
        }
        match bucket.time_to_token(clock.now) {
            Some(retry_after) if load.refuses_beyond_rate() => Rate::Refused(retry_after),
            _ => Rate::Beyond,
        }
    }

    /// Returns how busy the workers are for a tenant: its own work does not count as waiting.
    fn load_for(&self, number: tenants::TenantNumber, now: time::Instant) -> tenants::Load {
        let states = (0..).zip(&self.tenancy.states);
        let others = states.filter(|(other, _)| *other != number);
        let waited_at = others.filter_map(|(_, state)| state.long_waited_at).max();
        tenants::Load {
            others_wait: waited_at
                .is_some_and(|at| now.saturating_duration_since(at) < LOAD_MEMORY),
            waiting_steps: self.waiting.len(),
            ..self.tenancy.load
        }
    }

    /// Marks recovered jobs that were submitted beyond their tenants' rates, as far as the open jobs tell:
    /// the marks are not stored, and a backlog must not become owed with a change of leader.
    pub(crate) fn mark_recovered_jobs(&mut self, clock: event::Clock) {
        let mut accepted: Vec<_> = self
            .jobs
            .values()
            .filter(|state| state.tenant.is_some())
            .map(|state| (state.accepted_at_ms, state.job.id))
            .collect();
        accepted.sort_unstable();
        let Some((first_ms, _)) = accepted.first().copied() else {
            return;
        };
        let mut buckets = maps::HashMap::default();
        for (accepted_at_ms, job_id) in accepted {
            let Some(state) = self.jobs.get_mut(&job_id) else {
                continue;
            };
            let number = self.tenancy.number_of(state);
            let Some(terms) = self.tenancy.terms(number) else {
                continue;
            };
            let bucket = buckets.entry(number).or_insert_with(|| {
                tenants::Bucket::full(OWED_BURST, rate_milli(terms.weight), clock.now)
            });
            let at = clock.now + time::Duration::from_millis(accepted_at_ms - first_ms);
            state.is_beyond_rate = !bucket.try_acquire(1, at);
        }
    }
}

impl tenancy::Tenancy {
    /// Returns whether a step that finds no capacity waits for the share of its tenant: the tenant uses
    /// more than that, or the job is beyond its rate.
    pub(crate) fn waits_for_share(&self, state: &job::JobState) -> bool {
        let number = self.number_of(state);
        let used = self.usage.of(number);
        let is_above = self.band(number, &used) > tenants::Band::Within;
        self.is_active && self.terms(number).is_some() && (is_above || state.is_beyond_rate)
    }
}
