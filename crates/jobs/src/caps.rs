//! Caps of tenants: how many tasks of a step may start, which gang other work of its tenant leaves room
//! for, and what is reported.

use std::time;

use crate::blocked;
use crate::event;
use crate::journal;
use crate::pass;
use crate::scheduler;
use crate::tenancy;
use crate::worker;
use crate::workers;

/// A gang that has waited for its job's objective divided by this has what it needs kept free under the
/// cap of its tenant.
const HOLD_AFTER_OBJECTIVE_DIVISOR: u32 = 3;
/// Most steps of a tenant held back by its cap whose wait is reported in one placement pass; the waits
/// of the others have the same cause.
const MAX_REPORTED_STEPS: u32 = 3;
/// Time without work held back after which a tenant has left its cap: its runs end and start all the time
/// while it is there.
const CAP_LEFT_AFTER: time::Duration = time::Duration::from_secs(5);
/// Interval in which at most `MAX_LINES` lines of one kind are logged.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(10);
/// Most lines of one kind in `LOG_INTERVAL`: hundreds of tenants may reach their caps at once.
const MAX_LINES: u32 = 20;

/// Room that a gang needs under the cap of its tenant.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hold {
    pub(crate) step: scheduler::WaitingStep,
    pub(crate) need: tenants::Amounts,
}

impl Hold {
    /// Returns what a step must leave to the gang: all that it needs if the step is later, of the same
    /// priority or a lower one, whether or not its job has become late.
    fn left_by(&self, step: &scheduler::WaitingStep) -> tenants::Amounts {
        match self.step < *step {
            true => self.need,
            false => tenants::Amounts::default(),
        }
    }
}

/// The time in which a cap holds back work.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CapReached {
    since: time::Instant,
    /// When a placement pass last met work held back.
    seen_at: time::Instant,
    is_logged: bool,
}

impl CapReached {
    /// Returns for how long the cap has held back work.
    pub(crate) fn age(&self, now: time::Instant) -> time::Duration {
        now.saturating_duration_since(self.since)
    }
}

/// Limits the log lines of one kind.
#[derive(Debug, Default)]
pub(crate) struct LogLimit {
    interval_started_at: Option<time::Instant>,
    in_interval: u32,
}

impl LogLimit {
    /// Returns whether one more line is within the limit, and counts it.
    pub(crate) fn try_log(&mut self, now: time::Instant) -> bool {
        let is_over = self
            .interval_started_at
            .is_none_or(|at| now.saturating_duration_since(at) >= LOG_INTERVAL);
        if is_over {
            self.interval_started_at = Some(now);
            self.in_interval = 0;
        }
        self.in_interval += 1;
        self.in_interval <= MAX_LINES
    }
}

impl tenancy::Tenancy {
    /// Returns what counts against the cap when a step is placed: the tenant's use, and what the step must
    /// leave to a gang.
    pub(crate) fn counted_use(&self, step: &scheduler::WaitingStep) -> tenants::Amounts {
        let hold = self.state(step.tenant).and_then(|state| state.hold);
        let held = hold.map_or_else(tenants::Amounts::default, |hold| hold.left_by(step));
        self.usage.of(step.tenant).plus(&held)
    }

    /// Returns whether a tenant's use exceeds its cap in a resource that a run needs.
    fn exceeds_cap(&self, run: &worker::WorkerRun) -> bool {
        let used = self.usage.of(run.tenant);
        self.terms(run.tenant)
            .is_some_and(|terms| terms.cap.is_exceeded(&used, &run.demand))
    }

    /// Logs which tenants have reached or left their caps since the last placement pass.
    pub(crate) fn log_caps(&mut self, now: time::Instant) {
        for (number, state) in (0..).zip(&mut self.states) {
            let Some(terms) = &state.terms else {
                state.cap_reached = None;
                continue;
            };
            let used = self.usage.of(number);
            if state.pass.capped_steps > 0 {
                let reached = state.cap_reached.get_or_insert(CapReached {
                    since: now,
                    seen_at: now,
                    is_logged: false,
                });
                reached.seen_at = now;
                if !reached.is_logged {
                    reached.is_logged = true;
                    if self.cap_log.try_log(now) {
                        log::info!(
                            tenant:% = terms.name,
                            steps = state.pass.capped_steps,
                            used:? = used,
                            cap:? = terms.cap;
                            "cap of the tenant reached; work waits for it"
                        );
                    }
                }
                continue;
            }
            let left = state
                .cap_reached
                .take_if(|one| now.saturating_duration_since(one.seen_at) >= CAP_LEFT_AFTER);
            if let Some(reached) = left
                && self.cap_log.try_log(now)
            {
                log::info!(
                    tenant:% = terms.name,
                    reached_ms = reached.age(now).as_millis() as u64,
                    used:? = used,
                    cap:? = terms.cap;
                    "cap of the tenant left"
                );
            }
        }
    }
}

impl scheduler::Scheduler {
    /// Returns the room to keep for a gang, all members of which have to start, once it has waited for
    /// long.
    ///
    /// None is kept for a gang that needs more than a cap that has been lowered. Room for one that needs at
    /// most half of the cap leaves the other half to other work. One that needs more has all of the
    /// tenant's later work wait for it, which is why it must be the cap that holds it back: it starts when
    /// runs of its tenant have ended, while it may never find capacity.
    pub(crate) fn hold_for_gang(
        &self,
        step: &scheduler::WaitingStep,
        cap: &tenants::Cap,
        need: tenants::Amounts,
        is_capped: bool,
        clock: event::Clock,
    ) -> Option<Hold> {
        let state = self.jobs.get(&step.key.job_id)?;
        let (_, step_state) = state.step(step.key)?;
        let objective = time::Duration::from_millis(state.objective_ms);
        let waited = step_state.wait?.waited(clock.now);
        let is_due = waited >= objective / HOLD_AFTER_OBJECTIVE_DIVISOR;
        let nothing = tenants::Amounts::default();
        let is_possible = cap.admits(&nothing, &need);
        let leaves_half = cap.admits(&need, &need);
        (is_due && is_possible && (is_capped || leaves_half)).then_some(Hold { step: *step, need })
    }

    /// Returns how many further tasks of a step the cap of its tenant admits.
    pub(crate) fn cap_limit(&self, key: model::StepKey) -> u32 {
        if !self.tenancy.is_active {
            return u32::MAX;
        }
        let Some(state) = self.jobs.get(&key.job_id) else {
            return u32::MAX;
        };
        let tenant = self.tenancy.number_of(state);
        let (Some(terms), Some((step, _))) = (self.tenancy.terms(tenant), state.step(key)) else {
            return u32::MAX;
        };
        let priority = Self::queue_of(&self.manifest, state).priority;
        let waiting = scheduler::WaitingStep::new(state, key, priority, tenant);
        let used = self.tenancy.counted_use(&waiting);
        terms
            .cap
            .count_fitting(&used, &workers::counted_demand(step))
    }

    /// Returns whether a step, which fitted under the cap of its tenant when the pass began, does so no
    /// longer.
    pub(crate) fn is_capped(&self, step: &scheduler::WaitingStep, pass: &pass::Pass) -> bool {
        if !pass.is_cap_reached(step.tenant) {
            return false;
        }
        let state = self.jobs.get(&step.key.job_id);
        let Some((of, step_state)) = state.and_then(|state| state.step(step.key)) else {
            return false;
        };
        let needed = match of.gang {
            true if step_state.waiting_count < of.task_count => 0,
            true => of.task_count,
            false => 1,
        };
        self.cap_limit(step.key) < needed
    }

    /// Lets a step wait for the cap of its tenant: it keeps no capacity meanwhile.
    pub(crate) fn wait_for_cap(
        &mut self,
        key: model::StepKey,
        pass: &mut pass::Pass,
        clock: event::Clock,
    ) {
        let tenant = self.jobs.get(&key.job_id);
        if let Some(tenant) = tenant.map(|state| self.tenancy.number_of(state)) {
            pass.set_cap_reached(tenant);
        }
        self.release_for_cap(key);
        self.begin_wait(key, clock);
    }

    /// Releases what a step reserves that a cap holds back, also for the next run of a gang that was
    /// stopped as a worker leaves.
    fn release_for_cap(&mut self, key: model::StepKey) {
        self.reservations.release(key);
        self.drains.end_resuming(key);
    }

    /// Releases what steps reserve that caps hold back, and reports some of them for each tenant; each step
    /// is given with whether it is a gang.
    pub(crate) fn hold_back_capped(
        &mut self,
        capped: &[(scheduler::WaitingStep, bool)],
        clock: event::Clock,
    ) {
        let mut reported = vec![0; self.tenancy.states.len()];
        for (step, is_gang) in capped {
            self.release_for_cap(step.key);
            let of_tenant: &mut u32 = &mut reported[step.tenant as usize];
            *of_tenant += 1;
            // The wait of a gang tells from when room is kept for it.
            if *of_tenant <= MAX_REPORTED_STEPS || *is_gang {
                self.begin_wait(step.key, clock);
            }
            if *of_tenant <= MAX_REPORTED_STEPS {
                self.report_capped(step, clock);
            }
        }
    }

    /// Reports that the cap of its tenant holds back a step, if it has waited for long.
    fn report_capped(&mut self, step: &scheduler::WaitingStep, clock: event::Clock) {
        let key = step.key;
        if !self.is_report_due(key, clock) {
            return;
        }
        let state = self.jobs.get(&key.job_id);
        let Some((of, step_state)) = state.and_then(|state| state.step(key)) else {
            return;
        };
        let Some(terms) = self.tenancy.terms(step.tenant) else {
            return;
        };
        let waited = step_state.wait.map(|wait| wait.waited(clock.now));
        let used = self.tenancy.usage.of(step.tenant);
        let counted = self.tenancy.counted_use(step);
        log::info!(
            job:% = journal::job_id_hex(key.job_id),
            occurrence = key.occurrence,
            step = key.step,
            reason = blocked::BlockReason::TenantCap.as_str(),
            tenant:% = terms.name,
            waited_ms = waited.unwrap_or_default().as_millis() as u64,
            waiting = step_state.waiting_count,
            gang = of.gang,
            used:? = used,
            kept_for_gang = counted != used,
            cap:? = terms.cap;
            "step still not started"
        );
        self.record_report(key, blocked::BlockReason::TenantCap, clock);
    }

    /// Returns whether a planned run must wait, as the cap of its tenant has been lowered since: no order
    /// for it has been sent. The orders for other runs have, so that nothing is gained by not repeating
    /// them.
    pub(crate) fn is_beyond_cap(&self, run: &worker::WorkerRun) -> bool {
        self.tenancy.is_active
            && run.phase == worker::RunPhase::Planned
            && self.tenancy.exceeds_cap(run)
    }
}
