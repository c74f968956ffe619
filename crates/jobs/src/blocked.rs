//! Reports why waiting tasks are not started.

use std::time;

use crate::candidate;
use crate::crashes;
use crate::event;
use crate::isolation;
use crate::job;
use crate::journal;
use crate::maps;
use crate::pass;
use crate::placement;
use crate::runs::run_name;
use crate::scheduler;
use crate::worker;
use crate::workers;

/// Time without a started run after which the reasons of a step are reported.
const REPORT_AFTER: time::Duration = time::Duration::from_secs(3);
/// Time between two reports of a step.
const REPORT_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// Most reports of all steps together in `REPORT_INTERVAL`: a backlog may hold thousands of steps.
const MAX_REPORTS: u32 = 20;

/// How long a gang leaves all free capacity to earlier gangs before the service is called for it once.
const CALL_AHEAD_PAUSE: time::Duration = time::Duration::from_secs(2);
/// Lower bound of the same time, as a multiple of the duration of a call: such calls may be in vain.
const CALL_AHEAD_PAUSE_FACTOR: u32 = 20;

/// Why a step with waiting tasks was not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BlockReason {
    /// Members of an earlier run of the gang have not ended.
    EarlierRunNotEnded,
    /// Its tasks are at their limit of starts after crashes, and the fate of workers is not known that held
    /// lost runs of them.
    AwaitsVerdict,
    /// Its tasks are suspects, and as many workers have suspects as may crash at once.
    BehindSuspects,
    /// No worker of the queue's pool with the required label accepts runs.
    NoUsableWorker,
    /// The workers that are not known to be refused have too little free capacity.
    NoCapacity,
    /// They would have enough if other steps had none of it reserved.
    ReservedByOthers,
    /// A call to the recommendation service for the step is in flight.
    AdviceInFlight,
    /// Gangs earlier in the scheduling order wait for all capacity that is free.
    BehindEarlierGangs,
    /// No instance can take another call to the recommendation service.
    AdvisorsBusy,
    /// The workers known to be allowed have too little free capacity.
    NoCapacityOnAllowed,
    /// They have enough, and their tickets have to be renewed.
    TicketsExpired,
    /// The cap of the job's tenant leaves no room for the step.
    TenantCap,
    /// There is too little free capacity, and the tenant uses more than its share or has submitted the
    /// job beyond its rate.
    TenantShare,
}

impl BlockReason {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::EarlierRunNotEnded => "earlier_run_not_ended",
            Self::AwaitsVerdict => "awaits_verdict",
            Self::BehindSuspects => "behind_suspects",
            Self::NoUsableWorker => "no_usable_worker",
            Self::NoCapacity => "no_capacity",
            Self::ReservedByOthers => "reserved_by_others",
            Self::AdviceInFlight => "advice_in_flight",
            Self::BehindEarlierGangs => "behind_earlier_gangs",
            Self::AdvisorsBusy => "advisors_busy",
            Self::NoCapacityOnAllowed => "no_capacity_on_allowed",
            Self::TicketsExpired => "tickets_expired",
            Self::TenantCap => "tenant_cap",
            Self::TenantShare => "tenant_share",
        }
    }
}

/// Since when a step waits, and when that was last reported.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportTimes {
    since: time::Instant,
    reported_at: Option<time::Instant>,
}

impl ReportTimes {
    fn new(now: time::Instant) -> Self {
        Self {
            since: now,
            reported_at: None,
        }
    }

    fn is_due(&self, now: time::Instant) -> bool {
        let has_waited = now.saturating_duration_since(self.since) >= REPORT_AFTER;
        has_waited
            && self
                .reported_at
                .is_none_or(|at| now.saturating_duration_since(at) >= REPORT_INTERVAL)
    }

    fn waited_ms(&self, now: time::Instant) -> u64 {
        now.saturating_duration_since(self.since).as_millis() as u64
    }
}

/// The time that tasks of a step have waited without any run of the step being started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wait {
    times: ReportTimes,
    /// How often runs were planned meanwhile; none of them started.
    pub(crate) plans: u32,
    /// When the service was last called although earlier gangs wait for all free capacity.
    called_ahead_at: Option<time::Instant>,
}

impl Wait {
    pub(crate) fn new(now: time::Instant) -> Self {
        Self {
            times: ReportTimes::new(now),
            plans: 0,
            called_ahead_at: None,
        }
    }

    /// Returns whether a gang has waited for so long that it need not leave the free capacity to earlier
    /// gangs, which may be unable to use it; `call_duration` is that of its call for advice.
    pub(crate) fn may_call_ahead(&self, call_duration: time::Duration, now: time::Instant) -> bool {
        let since = self.called_ahead_at.unwrap_or(self.times.since);
        let pause = CALL_AHEAD_PAUSE.max(call_duration * CALL_AHEAD_PAUSE_FACTOR);
        now.saturating_duration_since(since) >= pause
    }

    /// Returns how long the step has waited.
    pub(crate) fn waited(&self, now: time::Instant) -> time::Duration {
        now.saturating_duration_since(self.times.since)
    }
}

/// The limit of reports, and their number by reason.
#[derive(Debug, Default)]
pub(crate) struct BlockReports {
    interval_started_at: Option<time::Instant>,
    in_interval: u32,
    /// Reports since they were last taken.
    counts: maps::IndexMap<BlockReason, u64>,
    gangs_checked_at: Option<time::Instant>,
}

impl BlockReports {
    /// Returns whether one more report is within the limit.
    fn may_report(&mut self, now: time::Instant) -> bool {
        let is_over = self
            .interval_started_at
            .is_none_or(|at| now.saturating_duration_since(at) >= REPORT_INTERVAL);
        if is_over {
            self.interval_started_at = Some(now);
            self.in_interval = 0;
        }
        self.in_interval < MAX_REPORTS
    }

    fn record(&mut self, reason: BlockReason) {
        self.in_interval += 1;
        *self.counts.entry(reason).or_default() += 1;
    }

    /// Returns whether incomplete gangs are to be checked again.
    fn is_gang_check_due(&mut self, now: time::Instant) -> bool {
        let is_due = self
            .gangs_checked_at
            .is_none_or(|at| now.saturating_duration_since(at) >= REPORT_INTERVAL);
        if is_due {
            self.gangs_checked_at = Some(now);
        }
        is_due
    }
}

/// Number of tasks of a step that fit on workers, by what is taken into account.
#[derive(Clone, Copy, Debug, Default)]
struct Fit {
    /// Workers that accept runs, are in the queue's pool, have the label and are not refused.
    usable_workers: u32,
    /// Tasks that fit on them.
    on_usable: u32,
    /// Tasks that fit on them beside the reservations of other steps.
    beside_reservations: u32,
    /// Tasks that fit on the workers known to be allowed, beside reservations.
    on_allowed: u32,
}

impl scheduler::Scheduler {
    /// Returns how often each reason was reported since the last call.
    pub fn take_block_reports(&mut self) -> impl Iterator<Item = (BlockReason, u64)> + use<> {
        std::mem::take(&mut self.block_reports.counts).into_iter()
    }

    /// Begins the wait of a step, unless it waits already.
    pub(crate) fn begin_wait(&mut self, key: model::StepKey, clock: event::Clock) {
        let state = self.jobs.get_mut(&key.job_id);
        if let Some((_, step_state)) = state.and_then(|state| state.step_mut(key)) {
            step_state.wait.get_or_insert(Wait::new(clock.now));
        }
    }

    /// Notes that the service is called for a gang although earlier ones wait for all free capacity.
    pub(crate) fn mark_called_ahead(&mut self, key: model::StepKey, clock: event::Clock) {
        let state = self.jobs.get_mut(&key.job_id);
        let step = state.and_then(|state| state.step_mut(key));
        if let Some(wait) = step.and_then(|(_, step_state)| step_state.wait.as_mut()) {
            wait.called_ahead_at = Some(clock.now);
        }
    }

    /// Ends the wait of a step, a run of which has started.
    pub(crate) fn end_wait(&mut self, key: model::StepKey) {
        let state = self.jobs.get_mut(&key.job_id);
        if let Some((_, step_state)) = state.and_then(|state| state.step_mut(key)) {
            step_state.wait = None;
        }
    }

    /// Notes how many tasks of a step that is being visited wait for the fate of a worker, and reports
    /// them if they have waited for long.
    pub(crate) fn note_awaited_verdicts(
        &mut self,
        key: model::StepKey,
        withheld: &isolation::WithheldTasks,
        clock: event::Clock,
    ) {
        let state = self.jobs.get_mut(&key.job_id);
        let Some((step, step_state)) = state.and_then(|state| state.step_mut(key)) else {
            return;
        };
        if withheld.awaiting_verdict == 0 {
            step_state.awaits_verdict = None;
            return;
        }
        let times = step_state
            .awaits_verdict
            .get_or_insert(ReportTimes::new(clock.now));
        if !times.is_due(clock.now) || !self.block_reports.may_report(clock.now) {
            return;
        }
        times.reported_at = Some(clock.now);
        self.block_reports.record(BlockReason::AwaitsVerdict);
        // The losses of a gang are those of its first task.
        let awaiting_verdict = match step.gang {
            true => step_state.waiting_count,
            false => withheld.awaiting_verdict,
        };
        log::info!(
            job:% = journal::job_id_hex(key.job_id),
            occurrence = key.occurrence,
            step = key.step,
            reason = BlockReason::AwaitsVerdict.as_str(),
            waited_ms = times.waited_ms(clock.now),
            waiting = step_state.waiting_count,
            gang = step.gang,
            awaiting_verdict,
            left_ms = withheld.verdict_wait_left.as_millis() as u64;
            "step still not started"
        );
    }

    /// Reports why a step that has just been visited is not placed, if it has waited for long.
    pub(crate) fn report_blocked(
        &mut self,
        key: model::StepKey,
        pass: &mut pass::Pass,
        clock: event::Clock,
    ) {
        if !self.is_report_due(key, clock) {
            return;
        }
        let is_behind_gangs = !self.has_capacity_beyond_earlier_gangs(pass);
        let Some(context) = self.step_context(key) else {
            return;
        };
        let (step, step_state) = (context.step, context.step_state);
        let Some(wait) = step_state.wait else {
            return;
        };
        let fit = self.fit_of(&context, pass, clock);
        let needed = if step.gang { step.task_count } else { 1 };
        let can_take_call = match (&context.queue.advice, step.gang) {
            (Some(terms), true) => self.advisors.can_take_gang_call(terms, clock.now),
            _ => self.advisors.can_take_call(clock.now),
        };
        let tickets = &step_state.tickets;
        let reason = if self.is_behind_suspects(&context, pass, clock) {
            BlockReason::BehindSuspects
        } else if fit.usable_workers == 0 {
            BlockReason::NoUsableWorker
        } else if fit.on_usable < needed {
            let state = self.jobs.get(&key.job_id);
            match state.is_some_and(|state| self.tenancy.waits_for_share(state)) {
                true => BlockReason::TenantShare,
                false => BlockReason::NoCapacity,
            }
        } else if fit.beside_reservations < needed {
            BlockReason::ReservedByOthers
        } else if tickets.has_call_in_flight() {
            BlockReason::AdviceInFlight
        } else if step.gang && is_behind_gangs {
            BlockReason::BehindEarlierGangs
        } else if !can_take_call {
            BlockReason::AdvisorsBusy
        } else if fit.on_allowed < needed {
            BlockReason::NoCapacityOnAllowed
        } else {
            BlockReason::TicketsExpired
        };
        log::info!(
            job:% = journal::job_id_hex(key.job_id),
            occurrence = key.occurrence,
            step = key.step,
            reason = reason.as_str(),
            waited_ms = wait.times.waited_ms(clock.now),
            waiting = step_state.waiting_count,
            gang = step.gang,
            plans = wait.plans,
            usable_workers = fit.usable_workers,
            fit_usable = fit.on_usable,
            fit_beside_reservations = fit.beside_reservations,
            fit_allowed = fit.on_allowed,
            asked = tickets.asked_count(),
            allowed = tickets.allowed_count(),
            calls_in_flight = tickets.calls_in_flight();
            "step still not started"
        );
        self.record_report(key, reason, clock);
    }

    /// Returns whether each waiting task of a step is a suspect that has to wait for others, without those
    /// that wait for a verdict.
    fn is_behind_suspects(
        &self,
        context: &placement::StepContext<'_>,
        pass: &pass::Pass,
        clock: event::Clock,
    ) -> bool {
        let tasks = (0..).zip(&context.step_state.tasks);
        let mut waiting = tasks.filter(|(_, task)| task.phase == job::Phase::Waiting);
        waiting.all(|(index, _)| {
            let index = if context.step.gang { 0 } else { index };
            let task = crashes::task_of(context.key, index);
            let losses = self.crashes.task(task);
            let suspicion = self.crashes.suspicion_of(task);
            losses.is_some_and(|losses| losses.awaits_verdict(clock.now))
                || pass.suspects.is_full(&context.queue.pool, task, suspicion)
        })
    }

    fn fit_of(
        &self,
        context: &placement::StepContext<'_>,
        pass: &pass::Pass,
        clock: event::Clock,
    ) -> Fit {
        let demand = workers::counted_demand(context.step);
        let usable = self.suitable_workers(context, pass);
        let beside_reservations = |candidates: Vec<candidate::Candidate<'_>>| {
            candidates
                .iter()
                .map(|one| one.fit_count(&demand))
                .fold(0, u32::saturating_add)
        };
        let mut fit = Fit {
            beside_reservations: beside_reservations(self.usable_candidates(context, pass)),
            on_allowed: beside_reservations(self.allowed_workers(context, pass, clock)),
            ..Fit::default()
        };
        for worker in usable {
            fit.usable_workers += 1;
            let here = candidate::count_fitting(&demand, &worker.free());
            fit.on_usable = fit.on_usable.saturating_add(here);
        }
        fit
    }

    /// Reports gangs that wait for members of an earlier run to end; they are not in the queue.
    pub(crate) fn report_incomplete_gangs(&mut self, clock: event::Clock) {
        if !self.block_reports.is_gang_check_due(clock.now) {
            return;
        }
        let states = self.jobs.values().filter(|state| state.outcome.is_none());
        let keys = states.flat_map(job::JobState::step_keys);
        let incomplete = keys.filter(|key| {
            let state = self.jobs.get(&key.job_id);
            let step = state.and_then(|state| state.step(*key));
            step.is_some_and(|(step, step_state)| {
                step.gang && (1..step.task_count).contains(&step_state.waiting_count)
            })
        });
        for key in incomplete.collect::<Vec<_>>() {
            self.report_incomplete_gang(key, clock);
        }
    }

    fn report_incomplete_gang(&mut self, key: model::StepKey, clock: event::Clock) {
        if !self.is_report_due(key, clock) {
            return;
        }
        let Some(state) = self.jobs.get(&key.job_id) else {
            return;
        };
        let Some((_, step_state)) = state.step(key) else {
            return;
        };
        let Some(wait) = step_state.wait else {
            return;
        };
        let left = state.placed_runs();
        let mut left = left.iter().filter(|(_, run)| run.task.step_key() == key);
        let Some((incarnation, run)) = left.next() else {
            return;
        };
        let worker = self.workers.get(incarnation);
        let worker_run = worker.and_then(|worker| worker.runs.get(run));
        let elapsed_ms = |at| clock.now.saturating_duration_since(at).as_millis() as u64;
        let silent_ms = worker.and_then(|worker| worker.silent_since);
        log::info!(
            job:% = journal::job_id_hex(key.job_id),
            occurrence = key.occurrence,
            step = key.step,
            reason = BlockReason::EarlierRunNotEnded.as_str(),
            waited_ms = wait.times.waited_ms(clock.now),
            waiting = step_state.waiting_count,
            not_ended = 1 + left.count(),
            run:% = run_name(*run),
            worker:% = incarnation.worker_id,
            phase = worker_run.map_or("unknown", |run| phase_name(run.phase)),
            phase_ms = worker_run.map_or(0, |run| elapsed_ms(run.since)),
            worker_silent_ms = silent_ms.map_or(0, elapsed_ms);
            "step still not started"
        );
        self.record_report(key, BlockReason::EarlierRunNotEnded, clock);
    }

    pub(crate) fn is_report_due(&mut self, key: model::StepKey, clock: event::Clock) -> bool {
        let state = self.jobs.get(&key.job_id);
        let wait = state.and_then(|state| state.step(key)?.1.wait);
        wait.is_some_and(|wait| wait.times.is_due(clock.now))
            && self.block_reports.may_report(clock.now)
    }

    pub(crate) fn record_report(
        &mut self,
        key: model::StepKey,
        reason: BlockReason,
        clock: event::Clock,
    ) {
        self.block_reports.record(reason);
        let state = self.jobs.get_mut(&key.job_id);
        let step = state.and_then(|state| state.step_mut(key));
        if let Some(wait) = step.and_then(|(_, step_state)| step_state.wait.as_mut()) {
            wait.times.reported_at = Some(clock.now);
        }
    }
}

fn phase_name(phase: worker::RunPhase) -> &'static str {
    match phase {
        worker::RunPhase::Planned => "planned",
        worker::RunPhase::Starting => "starting",
        worker::RunPhase::Retrying(_) => "retrying",
        worker::RunPhase::Running => "running",
        worker::RunPhase::Stopping(_) => "stopping",
        worker::RunPhase::Stopped => "stopped",
        worker::RunPhase::Inherited => "inherited",
    }
}
