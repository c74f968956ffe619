//! Workers that are about to leave: runs that cannot end there are stopped in time to save their
//! checkpoints, and resume on other workers.
//!
//! The state is only what the workers' reports and listings tell, so that a new leader goes on with
//! the next read of the directory. A run is stopped like any other: its task starts again once its end
//! is listed.

use std::time;

use crate::departure;
use crate::event;
use crate::job;
use crate::manifest;
use crate::maps;
use crate::pass;
use crate::reservations;
use crate::runs;
use crate::scheduler;
use crate::worker;
use crate::worker_api;
use crate::workers;

/// Longest wait of a listing of a worker that is about to leave: its progress and its checkpoints must
/// be known when it leaves.
pub(crate) const MAX_DRAINING_LISTING_WAIT: time::Duration = time::Duration::from_millis(200);
/// Time between two checks of the runs that are left or to be stopped later; their progress is listed
/// no more often.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// How long capacity stays reserved for a gang that is stopped, besides the time that the stop takes:
/// for the listings of the ends, a call to the recommendation service and the next start.
const RESUME_TIME: time::Duration = time::Duration::from_millis(2_000);
/// Time from the end of the last member of a stopped gang to its next start.
const END_LISTING_TIME: time::Duration = time::Duration::from_millis(300);
/// Time that a report needs to reach the directory, with a margin: workers that report every 1.5 s have
/// entries that are up to two seconds old.
const REPORT_TRANSFER: time::Duration = time::Duration::from_millis(500);

/// What became of a run on a worker that leaves, or of a member of its gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DrainOutcome {
    /// It is left to end there.
    Kept,
    /// It was ordered to stop.
    Stopped,
    /// It has ended with success.
    Done,
    /// It has ended otherwise, and its checkpoint was listed.
    Saved,
    /// It has ended otherwise without a checkpoint, or its end was not listed.
    Lost,
}

impl DrainOutcome {
    /// Returns its name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Kept => "kept",
            Self::Stopped => "stopped",
            Self::Done => "done",
            Self::Saved => "saved",
            Self::Lost => "lost",
        }
    }
}

/// Workers that are about to leave, and the decisions about their runs.
#[derive(Debug, Default)]
pub(crate) struct Drains {
    /// Workers that drain and have told when they leave.
    departures: maps::IndexMap<model::WorkerIncarnation, departure::Departure>,
    /// Runs that are left or have been ordered to stop, with their worker.
    decided: maps::IndexMap<model::RunKey, model::WorkerIncarnation>,
    /// Gangs that were stopped and have not been planned again, with the time until which capacity is
    /// reserved for them.
    resuming: maps::IndexMap<model::StepKey, time::Instant>,
    /// When the last read of the directory began.
    read_at: Option<time::Instant>,
    /// When the runs are to be checked next; `None` for as soon as possible.
    check_at: Option<time::Instant>,
    /// Outcomes since they were last taken for metrics.
    counts: maps::IndexMap<DrainOutcome, u64>,
}

impl Drains {
    /// Returns whether a worker is known to leave.
    pub(crate) fn is_leaving(&self, incarnation: &model::WorkerIncarnation) -> bool {
        self.departures.contains_key(incarnation)
    }

    /// Returns whether capacity is reserved for a gang that was stopped, so that its next run waits for
    /// that capacity.
    pub(crate) fn is_resuming(&self, step: model::StepKey, now: time::Instant) -> bool {
        self.resuming.get(&step).is_some_and(|until| now < *until)
    }

    /// Ends the wait of a gang that has been planned or has ended.
    pub(crate) fn end_resuming(&mut self, step: model::StepKey) {
        self.resuming.swap_remove(&step);
    }

    /// Returns since when a report that differs from that of the last read can have been written.
    fn written_after(
        &self,
        report: &worker_api::WorkerReport,
        report_interval: time::Duration,
        read_at: time::Instant,
    ) -> time::Instant {
        let oldest = read_at
            .checked_sub(report_interval + REPORT_TRANSFER)
            .unwrap_or(read_at);
        match self.read_at {
            // An outdated entry may be of any age, but is no older than the last read.
            Some(last) if report.is_current => last.max(oldest).min(read_at),
            Some(last) => last.min(read_at),
            None => oldest,
        }
    }

    fn count(&mut self, outcome: DrainOutcome) {
        *self.counts.entry(outcome).or_default() += 1;
    }
}

/// A run, or all members of a run of a gang, about which is decided.
#[derive(Debug)]
struct Subject {
    /// The run, or the members of the gang.
    runs: Vec<(model::WorkerIncarnation, model::RunKey)>,
    decision: departure::Decision,
    /// Progress of the run in percent, or the lowest of the members; `None` if it is not known.
    percent: Option<u32>,
}

impl scheduler::Scheduler {
    /// Returns how many runs on workers that leave came to which outcome since the last call.
    pub fn take_drain_outcomes(&mut self) -> impl Iterator<Item = (DrainOutcome, u64)> + use<> {
        std::mem::take(&mut self.drains.counts).into_iter()
    }

    /// Records what a worker's report, the read of which began at `read_at`, tells of its departure.
    pub(crate) fn note_departure(
        &mut self,
        report: &worker_api::WorkerReport,
        read_at: time::Instant,
        clock: event::Clock,
    ) {
        let incarnation = &report.incarnation;
        let known = self.drains.departures.get(incarnation).copied();
        if !report.draining {
            if known.is_some() {
                log::info!(worker:% = incarnation.worker_id; "worker stays after all");
                self.drains.departures.swap_remove(incarnation);
            }
            return;
        }
        // A report that does not tell leaves a known departure in force.
        let Some(remaining) = report.remaining else {
            return;
        };
        let written_after =
            self.drains
                .written_after(report, self.settings.report_interval, read_at);
        let departure = match known {
            Some(known) => known.update(remaining, written_after, read_at),
            None => departure::Departure::new(remaining, written_after, read_at),
        };
        if known == Some(departure) {
            return;
        }
        if known.is_none() {
            let left = departure.not_before.saturating_duration_since(clock.now);
            let runs = self.workers.get(incarnation).map(|one| one.runs.len());
            log::info!(
                worker:% = incarnation.worker_id,
                remaining_ms = remaining.as_millis() as u64,
                left_ms = left.as_millis() as u64,
                runs = runs.unwrap_or_default();
                "worker is about to leave"
            );
        }
        self.drains
            .departures
            .insert(incarnation.clone(), departure);
        self.drains.check_at = None;
    }

    /// Records that a read of the directory, begun at `read_at`, has been applied.
    pub(crate) fn note_directory_read(&mut self, read_at: time::Instant) {
        self.drains.read_at = Some(read_at);
    }

    /// Stops the runs that would not end before their workers leave, once that is due.
    pub(crate) fn leave_workers(&mut self, clock: event::Clock) {
        let (workers, drains) = (&self.workers, &mut self.drains);
        drains.resuming.retain(|_, until| clock.now < *until);
        if drains.departures.is_empty() && drains.decided.is_empty() {
            return;
        }
        if drains.check_at.is_some_and(|at| clock.now < at) {
            return;
        }
        drains
            .departures
            .retain(|incarnation, _| workers.contains_key(incarnation));
        drains.decided.retain(|key, incarnation| {
            let worker = workers.get(incarnation);
            worker.is_some_and(|worker| worker.runs.contains_key(key))
        });
        let mut check_at = clock.now + CHECK_INTERVAL;
        let mut pass = None;
        for subject in self.leaving_runs(clock) {
            match subject.decision {
                departure::Decision::Keep => self.keep_runs(&subject),
                departure::Decision::StopAt(at) => check_at = check_at.min(at),
                departure::Decision::StopNow => {
                    let pass = pass.get_or_insert_with(|| self.new_pass(clock));
                    self.stop_leaving_runs(&subject, pass, clock);
                }
            }
        }
        self.drains.check_at = Some(check_at);
    }

    /// Returns the runs on workers that leave, with a decision about each; those of long-running steps
    /// come first.
    fn leaving_runs(&self, clock: event::Clock) -> Vec<Subject> {
        let mut long_running = Vec::new();
        let mut others = Vec::new();
        let mut gangs = maps::HashSet::default();
        for (incarnation, departure) in &self.drains.departures {
            let Some(worker) = self.workers.get(incarnation) else {
                continue;
            };
            for (key, run) in &worker.runs {
                let Some((step, step_state)) = self.stoppable_step(incarnation, *key, run) else {
                    continue;
                };
                let kind = kind_of(step);
                let subject = if step.gang {
                    if !gangs.insert((key.task.step_key(), key.run)) {
                        continue;
                    }
                    self.leaving_gang(*key, step, step_state, clock)
                } else {
                    let end = progress_of(run, step).expected_end(clock.now);
                    let stop_grace = self.settings.stop_grace;
                    Subject {
                        runs: vec![(incarnation.clone(), *key)],
                        decision: departure::decide(kind, end, *departure, stop_grace, clock.now),
                        percent: run.progress.map(|(percent, _)| percent),
                    }
                };
                match kind {
                    departure::RunKind::LongRunning => long_running.push(subject),
                    _ => others.push(subject),
                }
            }
        }
        long_running.extend(others);
        long_running
    }

    /// Returns the step of a run that may be going on and is not being stopped.
    fn stoppable_step(
        &self,
        incarnation: &model::WorkerIncarnation,
        key: model::RunKey,
        run: &worker::WorkerRun,
    ) -> Option<(&model::Step, &job::StepState)> {
        let may_run = matches!(
            run.phase,
            worker::RunPhase::Starting | worker::RunPhase::Running | worker::RunPhase::Inherited
        );
        let (step, step_state) = self.jobs.get(&key.task.job_id)?.step(key.task.step_key())?;
        let task = step_state.tasks.get(key.task.index as usize)?;
        let is_placed_here = task.last_run == key.run
            && matches!(&task.phase, job::Phase::Placed(placed) if placed == incarnation);
        (may_run && is_placed_here).then_some((step, step_state))
    }

    /// Decides about all members of a run of a gang.
    fn leaving_gang(
        &self,
        key: model::RunKey,
        step: &model::Step,
        step_state: &job::StepState,
        clock: event::Clock,
    ) -> Subject {
        let mut runs = Vec::new();
        let mut members = Vec::new();
        let mut percent = None;
        for (index, task) in (0..).zip(&step_state.tasks) {
            let job::Phase::Placed(incarnation) = &task.phase else {
                continue;
            };
            let member = model::RunKey {
                task: model::TaskKey { index, ..key.task },
                ..key
            };
            let worker = self.workers.get(incarnation);
            let Some(run) = worker.and_then(|worker| worker.runs.get(&member)) else {
                continue;
            };
            let own = run.progress.map(|(percent, _)| percent);
            percent = match percent {
                None => own,
                Some(lowest) => Some(own.map_or(lowest, |own| own.min(lowest))),
            };
            members.push(departure::Member {
                end: progress_of(run, step).expected_end(clock.now),
                departure: self.drains.departures.get(incarnation).copied(),
            });
            runs.push((incarnation.clone(), member));
        }
        let stop_grace = self.settings.stop_grace;
        Subject {
            runs,
            decision: departure::decide_gang(kind_of(step), &members, stop_grace, clock.now),
            percent,
        }
    }

    fn is_gang(&self, key: model::RunKey) -> bool {
        let state = self.jobs.get(&key.task.job_id);
        let step = state.and_then(|state| state.step(key.task.step_key()));
        step.is_some_and(|(step, _)| step.gang)
    }

    fn keep_runs(&mut self, subject: &Subject) {
        let mut is_new = false;
        for (incarnation, key) in &subject.runs {
            let leaves = self.drains.is_leaving(incarnation);
            if leaves && !self.drains.decided.contains_key(key) {
                is_new = true;
                self.drains.decided.insert(*key, incarnation.clone());
                self.drains.count(DrainOutcome::Kept);
            }
        }
        if let Some((incarnation, key)) = subject.runs.first().filter(|_| is_new) {
            log::info!(
                run:% = runs::run_name(*key),
                worker:% = incarnation.worker_id,
                members = subject.runs.len(),
                percent:? = subject.percent;
                "run left to end before its worker leaves"
            );
        }
    }

    /// Stops a run, or all members of a gang.
    fn stop_leaving_runs(&mut self, subject: &Subject, pass: &pass::Pass, clock: event::Clock) {
        if let Some((incarnation, key)) = subject.runs.first() {
            log::info!(
                run:% = runs::run_name(*key),
                worker:% = incarnation.worker_id,
                members = subject.runs.len(),
                percent:? = subject.percent;
                "run stopped before its worker leaves"
            );
        }
        self.reserve_for_next_run(subject, pass, clock);
        for (incarnation, key) in &subject.runs {
            self.stop_run(incarnation, *key, clock);
            self.drains.decided.insert(*key, incarnation.clone());
            self.drains.count(DrainOutcome::Stopped);
        }
    }

    /// Reserves capacity for the next run of a gang: what its members free on workers that stay, and as
    /// much on others as it loses; otherwise work of other steps would take one slot after the other
    /// while the last members stop.
    fn reserve_for_next_run(&mut self, subject: &Subject, pass: &pass::Pass, clock: event::Clock) {
        let Some((_, first)) = subject.runs.first() else {
            return;
        };
        let key = first.task.step_key();
        let Some(context) = self.step_context(key) else {
            return;
        };
        if !context.step.gang || context.step.long_running || self.reservations.has_reservation(key)
        {
            return;
        }
        let demand = workers::counted_demand(context.step);
        let runs = subject.runs.iter().map(|(incarnation, _)| incarnation);
        let mut slots: Vec<_> = runs
            .filter(|incarnation| {
                let worker = self.workers.get(*incarnation);
                worker.is_some_and(|worker| worker.accepts_runs(clock.now))
            })
            .cloned()
            .collect();
        let terms = context.queue.advice;
        let mut others = self.allowed_workers(&context, pass, clock);
        let allowed_count = others.len();
        if terms.is_some() {
            others.extend(self.usable_candidates(&context, pass));
        }
        let mut others: Vec<_> = others.into_iter().enumerate().collect();
        others.sort_by_cached_key(|(position, one)| {
            let reserved = self
                .reservations
                .reserved_by_others(key, one.incarnation, |_| true);
            let has_room = one.fit_count(&demand) > 0;
            let is_allowed = *position < allowed_count;
            (!is_allowed, !has_room, reserved.processors_milli)
        });
        for (_, one) in others {
            if slots.len() >= context.step.task_count as usize {
                break;
            }
            if one.idle_fit_count(&demand) > 0 && !slots.contains(one.incarnation) {
                slots.push(one.incarnation.clone());
            }
        }
        let until = clock.now + self.settings.stop_grace + RESUME_TIME;
        let exclusivity = reservations::Exclusivity::AllSteps;
        self.reservations
            .reserve(key, &slots, &demand, exclusivity, until);
        self.drains.resuming.insert(key, until);
        if let Some(terms) = terms {
            self.renew_tickets(key, terms, &slots, clock);
        }
    }

    /// Calls the recommendation service about the workers on which a gang is to start once its members
    /// have stopped, so that the tickets are there by then.
    fn renew_tickets(
        &mut self,
        key: model::StepKey,
        terms: manifest::AdviceTerms,
        slots: &[model::WorkerIncarnation],
        clock: event::Clock,
    ) {
        let state = self.jobs.get(&key.job_id);
        let Some((_, step_state)) = state.and_then(|state| state.step(key)) else {
            return;
        };
        let tickets = &step_state.tickets;
        if !tickets.may_call(clock.now) || !self.advisors.can_take_gang_call(&terms, clock.now) {
            return;
        }
        let needed_until = clock.now + self.settings.stop_grace + END_LISTING_TIME;
        let ids: maps::IndexSet<_> = slots.iter().map(|slot| slot.worker_id.clone()).collect();
        let asked = ids
            .into_iter()
            .filter(|worker_id| tickets.valid_token(worker_id, needed_until).is_none());
        let asked: Vec<_> = asked.collect();
        if !asked.is_empty() {
            self.request_gang_advice(key, terms, &asked, clock);
        }
    }

    /// Records the listed end of a run about which was decided; to be called before the run is removed.
    pub(crate) fn note_drained_end(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        ended: &runs::RunEnded,
    ) {
        let outcome = match (ended.end, &ended.checkpoint) {
            (worker_api::RunEnd::Done, _) => DrainOutcome::Done,
            (_, Some(_)) => DrainOutcome::Saved,
            (_, None) => DrainOutcome::Lost,
        };
        self.note_drained(incarnation, ended.key, outcome);
    }

    /// Records what became of a run about which was decided; to be called before the run is removed.
    pub(crate) fn note_drained(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        key: model::RunKey,
        outcome: DrainOutcome,
    ) {
        if self.drains.decided.get(&key) != Some(incarnation) {
            return;
        }
        self.drains.decided.swap_remove(&key);
        self.drains.count(outcome);
        if outcome == DrainOutcome::Done && self.is_gang(key) {
            self.drains.end_resuming(key.task.step_key());
            self.reservations.release(key.task.step_key());
        }
        let worker = self.workers.get(incarnation);
        let run = worker.and_then(|worker| worker.runs.get(&key));
        log::info!(
            run:% = runs::run_name(key),
            worker:% = incarnation.worker_id,
            outcome = outcome.as_str(),
            percent:? = run.and_then(|run| run.progress).map(|(percent, _)| percent);
            "run on a worker that leaves has ended"
        );
    }
}

fn kind_of(step: &model::Step) -> departure::RunKind {
    match (step.long_running, step.checkpointing) {
        (true, _) => departure::RunKind::LongRunning,
        (false, true) => departure::RunKind::Checkpointing,
        (false, false) => departure::RunKind::Plain,
    }
}

pub(crate) fn progress_of(run: &worker::WorkerRun, step: &model::Step) -> departure::RunProgress {
    let estimate = u64::from(step.estimated_ms);
    departure::RunProgress {
        started_at: run.confirmed_at.unwrap_or(run.since),
        estimate: (estimate > 0).then(|| time::Duration::from_millis(estimate)),
        listed: run
            .first_progress
            .zip(run.progress)
            .map(|(first, last)| [first, last]),
    }
}
