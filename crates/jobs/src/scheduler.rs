//! The scheduler's state, and the dispatch of events.

use std::collections;
use std::time;

use crate::advisors;
use crate::blocked;
use crate::cancel_marks;
use crate::crashes;
use crate::draining;
use crate::ended;
use crate::event;
use crate::job;
use crate::journal;
use crate::kept_runs;
use crate::loss_reason;
use crate::manifest;
use crate::maps;
use crate::orders;
use crate::pass;
use crate::placement;
use crate::priority_preemption;
use crate::quarantine;
use crate::requests;
use crate::reservations;
use crate::settings;
use crate::speculation;
use crate::speed_tracking;
use crate::takeover;
use crate::tenancy;
use crate::worker;
use crate::worker_api;

/// Shortest time between two placement passes.
const MIN_PLACEMENT_INTERVAL: time::Duration = time::Duration::from_millis(4);
/// Time added to the interval between placement passes for each step that a pass visits, so that
/// passes take a bounded share of the time.
const PLACEMENT_INTERVAL_PER_STEP: time::Duration = time::Duration::from_micros(150);

/// Decides which task of which job runs on which worker.
///
/// Pass events to [`Scheduler::handle`], then call [`Scheduler::finish`] and execute the returned
/// actions.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) settings: settings::Settings,
    pub(crate) term: model::Term,
    pub(crate) manifest: manifest::Manifest,
    pub(crate) jobs: maps::IndexMap<model::JobId, job::JobState>,
    /// Outcomes of ended jobs, in the order of their ends.
    pub(crate) ended: maps::IndexMap<model::JobId, ended::EndedJob>,
    pub(crate) workers: maps::IndexMap<model::WorkerIncarnation, worker::Worker>,
    /// The newest incarnation of each worker that the directory lists.
    pub(crate) newest_incarnations: maps::HashMap<model::WorkerId, model::WorkerIncarnation>,
    pub(crate) advisors: advisors::Advisors,
    /// Capacity reserved for steps that wait for tickets or for stopped runs to end.
    pub(crate) reservations: reservations::Reservations,
    pub(crate) priority_preemptions: priority_preemption::PriorityPreemptions,
    /// Steps with waiting tasks, by priority and age.
    pub(crate) waiting: collections::BTreeSet<WaitingStep>,
    /// Steps that have been enqueued, or got an answer about their tickets, since the last placement
    /// pass; some may have left the queue.
    pub(crate) changed_steps: maps::HashSet<model::StepKey>,
    /// Occurrences that are not due yet, by their due time in milliseconds since 1970.
    pub(crate) scheduled: collections::BTreeSet<(u64, model::JobId, u32)>,
    pub(crate) crashes: crashes::Crashes,
    pub(crate) drains: draining::Drains,
    pub(crate) copies: speculation::Copies,
    /// Runs moved to the next incarnation of their worker, since the term began.
    pub(crate) moved_runs: u64,
    /// How the term began.
    pub(crate) takeover: takeover::Takeover,
    /// Until when leases may be granted.
    pub(crate) authority_until: time::Instant,
    /// Until when leases may last that workers grant by orders of earlier leaders.
    pub(crate) earlier_orders_end_at: time::Instant,
    /// Number of the last renewal.
    pub(crate) last_renewal: worker_api::RenewalNumber,
    /// Runs kept beyond the lease of their worker, as its next incarnation may have them, since the term
    /// began.
    pub(crate) runs_kept_beyond_lease: u64,
    /// Start orders that another incarnation executed than they were addressed to, since the term began.
    pub(crate) starts_on_other_incarnations: u64,
    /// Ends listed of runs whose task had been started again, since the term began.
    pub(crate) ends_after_next_start: u64,
    pub(crate) journal: journal::Journal,
    pub(crate) cancel_marks: cancel_marks::CancelMarks,
    pub(crate) ended_job_effects: Vec<job::Effect>,
    pub(crate) actions: Vec<event::Action>,
    pub(crate) store_reachable: bool,
    /// When the store became unreachable.
    pub(crate) store_lost_at: Option<time::Instant>,
    /// Whether the state has changed since the last placement pass, so that a task may be placed.
    pub(crate) placement_needed: bool,
    /// When the last placement pass was made.
    pub(crate) last_placement_at: Option<time::Instant>,
    /// How far the steps behind the head of the scheduling order have been visited.
    pub(crate) sweep: pass::Sweep,
    /// How many times it was tried to place a waiting step.
    pub(crate) placement_visits: u64,
    /// The tenants, and what each has running.
    pub(crate) tenancy: tenancy::Tenancy,
    pub(crate) block_reports: blocked::BlockReports,
    pub(crate) kept_run_reports: kept_runs::KeptRunReports,
    /// Start orders that were due and not sent, since they were last taken for metrics.
    pub(crate) withheld_starts: maps::IndexMap<orders::StartObstacle, u64>,
    /// Runs given up since they were last taken for metrics.
    pub(crate) lost_runs: maps::IndexMap<loss_reason::LossReason, u64>,
    pub(crate) speeds: speed_tracking::SpeedTracking,
    pub(crate) quarantines: quarantine::Quarantines,
}

/// Placement class of a waiting step, by the lateness of its job; earlier variants are placed
/// first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Lateness {
    /// The step is long-running.
    LongRunning,
    InTime,
    /// Its objective has passed, so that its result is worth less.
    Late,
    /// Its tenant submitted it beyond the rate that it is owed, and uses more than
    /// twice its share.
    Beyond,
    /// Its result is worth nothing; it is completed nevertheless.
    Worthless,
}

/// Multiple of its objective after which a job's result is worth nothing.
pub(crate) const WORTHLESS_AFTER_OBJECTIVES: u64 = 3;

/// A step with waiting tasks, ordered by priority and age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WaitingStep {
    pub(crate) priority: u32,
    /// When the job was accepted or the occurrence was due, in milliseconds since 1970.
    pub(crate) since_ms: u64,
    pub(crate) key: model::StepKey,
    /// Tenant of the job; does not decide the order, as no two steps have the same key.
    pub(crate) tenant: tenants::TenantNumber,
}

impl WaitingStep {
    pub(crate) fn new(
        state: &job::JobState,
        key: model::StepKey,
        priority: u32,
        tenant: tenants::TenantNumber,
    ) -> Self {
        let occurrence = state.occurrences.get(key.occurrence as usize);
        let due_at_ms = occurrence.and_then(|one| one.due_at_ms);
        Self {
            priority,
            since_ms: due_at_ms.unwrap_or(state.accepted_at_ms),
            key,
            tenant,
        }
    }
}

/// What decides the scheduling order before the age of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub(crate) lateness: Lateness,
    pub(crate) priority: u32,
    /// The same for all steps without tenants.
    pub(crate) band: tenants::Band,
    /// Whether the step is late and has the class of steps in time, as its tenant is within its share;
    /// false without tenants.
    pub(crate) is_late: bool,
}

/// A waiting step at its place in the scheduling order.
pub(crate) type OrderedStep = (Rank, WaitingStep);

/// Values for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Jobs that have not ended.
    pub open_jobs: usize,
    /// Steps that have waiting tasks and are ready: all steps that they depend on are done.
    pub waiting_steps: usize,
    /// Runs that may exist on a worker.
    pub runs: usize,
    /// Worker incarnations that are listed in the directory and answer.
    pub usable_workers: usize,
    /// Attempts to place a waiting step since the term began.
    pub placement_visits: u64,
    /// Worker incarnations that crashed with runs on them, since the term began.
    pub crashed_workers: u64,
    /// Jobs given up because workers crashed under them, since the term began.
    pub given_up_jobs: u64,
    /// Runs that may be on the next incarnation of a worker that restarted under its id, since the
    /// term began.
    pub moved_runs: u64,
    /// Jobs that failed because the store refuses their records, since the term began.
    pub unwritable_jobs: u64,
    /// Cancels of unknown jobs that gave way to later ones, since the term began.
    pub forgotten_cancels: u64,
    /// Runs kept beyond the lease of their worker, as its next incarnation may have them, since the term
    /// began.
    pub runs_kept_beyond_lease: u64,
    /// Runs that may exist on workers that do not answer.
    pub kept_runs: kept_runs::KeptRuns,
    /// Start orders that another incarnation executed than they were addressed to, as its connection
    /// shows, since the term began.
    pub starts_on_other_incarnations: u64,
    /// Ends listed of runs whose task had been started again, since the term began.
    pub ends_after_next_start: u64,
    /// Copies of stragglers planned since the term began.
    pub planned_copies: u64,
    /// Runs stopped for steps of a higher priority, since the term began.
    pub stopped_for_priority: u64,
    /// Workers known to be faster than the usual one of their pool.
    pub fast_workers: usize,
    /// Workers known to be slower than that.
    pub slow_workers: usize,
    /// Comparisons of a run with other runs of its step, since the term began.
    pub speed_observations: u64,
    /// Runs planned on workers known to be slow, since the term began.
    pub runs_planned_on_slow: u64,
    /// Workers that get no work, as what they start fails or stands still.
    pub quarantined_workers: usize,
    /// Workers that get little work after that.
    pub workers_on_trial: usize,
    /// Quarantines of workers since the term began.
    pub quarantines: u64,
    /// Quarantines among these that were put off, as enough workers of the pool were avoided.
    pub quarantines_put_off: u64,
}

impl Scheduler {
    /// Handles one event.
    pub fn handle(&mut self, event: event::Event, clock: event::Clock) {
        match event {
            event::Event::Request {
                token,
                age,
                manifest_version,
                request,
                tenant,
                overload_retry_ms,
            } => {
                let arrived = requests::Arrived {
                    token,
                    age,
                    manifest_version,
                    tenant,
                    overload_retry_ms,
                };
                self.on_request(arrived, request, clock);
            }
            event::Event::LeaseAuthority { until } => self.set_lease_authority(until, clock),
            event::Event::EarlierAuthorityEnded { at } => {
                self.on_earlier_authority_ended(at, clock)
            }
            event::Event::Manifest(manifest) => self.apply_manifest(manifest, clock),
            event::Event::Directory { reports, read_at } => {
                self.apply_directory(reports, read_at, clock)
            }
            event::Event::AdviceInstances(instances) => {
                self.advisors.set_instances(instances, clock.now)
            }
            event::Event::Start {
                incarnation,
                run,
                outcome,
            } => {
                self.on_started(&incarnation, run, outcome, clock);
            }
            event::Event::Stop {
                incarnation,
                run,
                outcome,
            } => self.on_stopped(&incarnation, run, outcome, clock),
            event::Event::Throttle {
                incarnation,
                run,
                percent,
                outcome,
            } => self.on_throttled(&incarnation, run, percent, outcome),
            event::Event::Renewal {
                incarnation,
                number,
                outcome,
            } => self.on_renewal(&incarnation, number, outcome, clock),
            event::Event::Advice {
                call,
                outcome,
                elapsed,
            } => self.on_advice(call, outcome, elapsed, clock),
            event::Event::BatchCommitted(batch) => self.on_committed(batch, clock),
            event::Event::BatchUnconfirmed => self.on_unconfirmed(),
            event::Event::BatchRejected(batch) => self.on_rejected(batch),
            event::Event::BatchRefused(batch) => self.on_refused(batch, clock),
            event::Event::StoreReachable(reachable) => self.on_store_reachable(reachable, clock),
            event::Event::Tick => self.on_tick(clock),
        }
    }

    /// Places waiting tasks, and returns the actions to execute.
    pub fn finish(&mut self, clock: event::Clock) -> Vec<event::Action> {
        self.enqueue_due_occurrences(clock);
        let is_due = self
            .last_placement_at
            .is_none_or(|at| clock.now.saturating_duration_since(at) >= self.placement_interval());
        if self.placement_needed && is_due {
            self.placement_needed = false;
            self.last_placement_at = Some(clock.now);
            self.place_waiting(clock);
        }
        self.copy_stragglers(clock);
        self.send_due_calls(clock);
        self.flush(clock);
        std::mem::take(&mut self.actions)
    }

    /// Returns the shortest time between two placement passes at the current backlog.
    fn placement_interval(&self) -> time::Duration {
        let visited = self
            .waiting
            .len()
            .min(placement::MAX_BLOCKED_STEPS_PER_PASS);
        let visited = u32::try_from(visited).unwrap_or(u32::MAX);
        MIN_PLACEMENT_INTERVAL + PLACEMENT_INTERVAL_PER_STEP * visited
    }

    /// Returns whether [`Scheduler::finish`] should be called again within some milliseconds.
    #[must_use]
    pub fn needs_finish(&self) -> bool {
        let placement_needed = self.placement_needed && !self.waiting.is_empty();
        placement_needed || self.journal.has_dirty_jobs() || self.cancel_marks.needs_batch()
    }

    /// Returns values for metrics.
    #[must_use]
    pub fn summary(&self) -> Summary {
        Summary {
            open_jobs: self.jobs.len(),
            waiting_steps: self.waiting.len(),
            runs: self.workers.values().map(|worker| worker.runs.len()).sum(),
            usable_workers: self
                .workers
                .values()
                .filter(|worker| worker.is_listed && worker.silent_since.is_none())
                .count(),
            placement_visits: self.placement_visits,
            crashed_workers: self.crashes.crashed_workers,
            given_up_jobs: self.crashes.given_up_jobs,
            unwritable_jobs: self.journal.unwritable_jobs,
            forgotten_cancels: self.cancel_marks.forgotten(),
            moved_runs: self.moved_runs,
            runs_kept_beyond_lease: self.runs_kept_beyond_lease,
            kept_runs: self.count_kept_runs(),
            starts_on_other_incarnations: self.starts_on_other_incarnations,
            ends_after_next_start: self.ends_after_next_start,
            planned_copies: self.copies.planned,
            stopped_for_priority: self.priority_preemptions.stopped_runs,
            fast_workers: self.speeds.fast_workers,
            slow_workers: self.speeds.slow_workers,
            speed_observations: self.speeds.observations,
            runs_planned_on_slow: self.speeds.planned_on_slow,
            quarantined_workers: self.quarantines.quarantined,
            workers_on_trial: self.quarantines.on_trial,
            quarantines: self.quarantines.count,
            quarantines_put_off: self.quarantines.put_off,
        }
    }

    /// Returns the leader's term.
    #[must_use]
    pub fn term(&self) -> model::Term {
        self.term
    }

    fn apply_manifest(&mut self, manifest: manifest::Manifest, clock: event::Clock) {
        if manifest.version <= self.manifest.version && self.manifest.version > 0 {
            return;
        }
        log::info!(
            version = manifest.version,
            queues = manifest.queues.len();
            "manifest applied by the leader"
        );
        let is_first = self.manifest.version == 0;
        self.manifest = manifest;
        self.apply_tenants(clock);
        if is_first {
            self.mark_recovered_jobs(clock);
        }
        self.placement_needed = true;
    }

    fn on_store_reachable(&mut self, reachable: bool, clock: event::Clock) {
        if reachable == self.store_reachable {
            return;
        }
        self.store_reachable = reachable;
        self.store_lost_at = (!reachable).then_some(clock.now);
        if !reachable {
            self.refuse_unstored();
        }
    }

    fn on_tick(&mut self, clock: event::Clock) {
        self.lose_runs_on_expired(clock);
        self.report_kept_runs(clock);
        self.expire_losses(clock);
        self.expire_outcomes(clock);
        self.report_incomplete_gangs(clock);
        self.refresh_speeds(clock);
        self.leave_workers(clock);
        if self.advisors.log_recent_calls(clock.now) {
            self.log_utilisation();
        }
        self.placement_needed = true;
    }

    /// Logs the utilisation of the workers and the number of waiting steps.
    fn log_utilisation(&self) {
        let sum = |of: fn(&worker::Worker) -> model::Demand| {
            let demands = self.workers.values().map(of);
            demands.fold(model::Demand::default(), |sum, one| sum.plus(&one))
        };
        let (used, capacity) = (sum(|one| one.used), sum(worker::Worker::capacity));
        let waiting = |is_gang: bool| {
            let steps = self.waiting.iter().filter(|waiting| {
                let state = self.jobs.get(&waiting.key.job_id);
                let step = state.and_then(|state| state.step(waiting.key));
                step.is_some_and(|(step, _)| step.gang == is_gang)
            });
            steps.count()
        };
        log::info!(
            processors_used_milli = used.processors_milli,
            processors_milli = capacity.processors_milli,
            memory_used_mb = used.memory_mb,
            memory_mb = capacity.memory_mb,
            gangs_waiting = waiting(true),
            other_steps_waiting = waiting(false);
            "utilisation of the workers"
        );
    }

    /// Drops outcomes whose retention time has passed.
    fn expire_outcomes(&mut self, clock: event::Clock) {
        let retention_ms = self.settings.outcome_retention.as_millis() as u64;
        let limit_ms = clock.wall_ms.saturating_sub(retention_ms);
        let expired = self
            .ended
            .values()
            .take_while(|ended| ended.ending.ended_at_ms < limit_ms)
            .count();
        for (job_id, _) in self.ended.drain(..expired) {
            self.journal.segments.remove_job(job_id);
        }
        self.journal.segments.expire_archives(limit_ms);
    }

    /// Returns the queue of a job from the current manifest, else as it was at acceptance.
    pub(crate) fn queue_of<'a>(
        manifest: &'a manifest::Manifest,
        state: &'a job::JobState,
    ) -> &'a manifest::Queue {
        let newest = manifest.queues.get(&state.job.queue);
        newest.unwrap_or(&state.accepted_queue)
    }

    /// Enqueues every step of a job that has waiting tasks and is ready and due.
    pub(crate) fn enqueue(&mut self, job_id: model::JobId, clock: event::Clock) {
        let Some(state) = self.jobs.get(&job_id) else {
            return;
        };
        if state.outcome.is_some() {
            return;
        }
        let count = u32::try_from(state.occurrences.len()).unwrap_or(u32::MAX);
        for occurrence in 0..count {
            self.enqueue_occurrence(job_id, occurrence, clock);
        }
    }

    /// Enqueues the steps of an occurrence that are ready and have waiting tasks, once it is due.
    pub(crate) fn enqueue_occurrence(
        &mut self,
        job_id: model::JobId,
        occurrence: u32,
        clock: event::Clock,
    ) {
        let Some(state) = self.jobs.get(&job_id) else {
            return;
        };
        let Some(of) = state.occurrences.get(occurrence as usize) else {
            return;
        };
        if state.outcome.is_some() {
            return;
        }
        if let Some(due_at_ms) = of.due_at_ms
            && due_at_ms > clock.wall_ms
        {
            self.scheduled.insert((due_at_ms, job_id, occurrence));
            return;
        }
        let priority = Self::queue_of(&self.manifest, state).priority;
        for (step, step_state) in (0..).zip(&of.steps) {
            let key = model::StepKey {
                job_id,
                occurrence,
                step,
            };
            if step_state.waiting_count > 0 && state.is_ready(key) {
                let tenant = self.tenancy.number_of(state);
                self.waiting
                    .insert(WaitingStep::new(state, key, priority, tenant));
                self.changed_steps.insert(key);
                self.placement_needed = true;
            }
        }
    }

    /// Returns the waiting steps in scheduling order without tenants.
    ///
    /// Jobs that can still end in time precede jobs that cannot, whatever their priorities: after
    /// an outage the former would become late while they wait for the latter.
    pub(crate) fn scheduling_order(&self, clock: event::Clock) -> Vec<OrderedStep> {
        let steps = self.waiting.iter();
        let mut order: Vec<_> = steps.map(|step| (self.rank(step, clock), *step)).collect();
        order.sort();
        order
    }

    fn rank(&self, step: &WaitingStep, clock: event::Clock) -> Rank {
        Rank {
            lateness: self.lateness(step, clock),
            priority: step.priority,
            band: tenants::Band::default(),
            is_late: false,
        }
    }

    fn lateness(&self, step: &WaitingStep, clock: event::Clock) -> Lateness {
        let Some(state) = self.jobs.get(&step.key.job_id) else {
            return Lateness::InTime;
        };
        match state.step(step.key) {
            Some((of, _)) => self.lateness_of(state, of, step, clock),
            None => Lateness::InTime,
        }
    }

    /// Returns the class of a waiting step, the definition of which is `of`.
    pub(crate) fn lateness_of(
        &self,
        state: &job::JobState,
        of: &model::Step,
        step: &WaitingStep,
        clock: event::Clock,
    ) -> Lateness {
        if of.long_running {
            return Lateness::LongRunning;
        }
        let waited_ms = clock.wall_ms.saturating_sub(step.since_ms);
        if waited_ms < state.objective_ms {
            Lateness::InTime
        } else if waited_ms < WORTHLESS_AFTER_OBJECTIVES * state.objective_ms {
            Lateness::Late
        } else {
            Lateness::Worthless
        }
    }

    /// Removes every step of a job from the queue, and releases the capacity reserved for them.
    pub(crate) fn dequeue(&mut self, job_id: model::JobId) {
        self.waiting.retain(|step| step.key.job_id != job_id);
        self.scheduled.retain(|(_, of, _)| *of != job_id);
        self.reservations.release_job(job_id);
    }

    /// Removes a job that has left the queue, and frees the capacity that its planned runs occupy.
    pub(crate) fn remove_job(&mut self, job_id: model::JobId) -> Option<job::JobState> {
        let state = self.jobs.swap_remove(&job_id)?;
        self.journal.clear_dirty(job_id);
        self.crashes.remove_job(job_id);
        for (incarnation, key) in state.placed_runs() {
            let Some(worker) = self.workers.get_mut(&incarnation) else {
                continue;
            };
            let run = worker.runs.get(&key);
            if run.is_some_and(|run| run.phase == worker::RunPhase::Planned) {
                worker.remove_run(&key, &mut self.tenancy.usage);
                self.placement_needed = true;
            }
        }
        Some(state)
    }

    /// Enqueues occurrences that have become due.
    fn enqueue_due_occurrences(&mut self, clock: event::Clock) {
        while let Some((due_at_ms, job_id, occurrence)) = self.scheduled.first().copied() {
            if due_at_ms > clock.wall_ms {
                break;
            }
            self.scheduled.pop_first();
            self.enqueue_occurrence(job_id, occurrence, clock);
        }
    }

    /// Sets the final outcome of a job, and stops its runs.
    pub(crate) fn decide_outcome(
        &mut self,
        job_id: model::JobId,
        outcome: model::JobStatus,
        clock: event::Clock,
    ) {
        let Some(state) = self.jobs.get_mut(&job_id) else {
            return;
        };
        if state.outcome.is_some() {
            return;
        }
        log::info!(
            job:% = journal::job_id_hex(job_id),
            outcome:? = outcome,
            term = self.term;
            "job outcome decided"
        );
        state.outcome = Some(outcome);
        self.journal.mark_dirty(job_id);
        self.dequeue(job_id);
        self.stop_runs_of(job_id, clock);
    }
}
