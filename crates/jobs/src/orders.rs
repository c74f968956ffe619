//! Start and stop orders for runs, and their retries.

use std::sync;
use std::time;

use crate::event;
use crate::job;
use crate::journal;
use crate::runs::run_name;
use crate::scheduler;
use crate::worker;
use crate::worker_api;

/// Delay before a start order that was not answered is sent again.
const START_RETRY_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Time after which a stop order is sent again if no result of it is reported.
const STOP_RESULT_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Why a start order that was due is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StartObstacle {
    /// The job has ended.
    JobEnded,
    /// The worker has left, is draining, does not answer or is suspended.
    WorkerUnavailable,
    /// The worker's report is so old that its capacity may have shrunk since.
    ReportOutdated,
    /// The ticket of the recommendation service has expired.
    TicketExpired,
    /// The worker's capacity has shrunk since the run was planned, or a run of unknown demand has
    /// been found there.
    NoCapacity,
    /// The cap of the job's tenant has been lowered since the run was planned.
    TenantCap,
    /// The leader has not been confirmed of late, and must not grant the lease that the start needs.
    NoLeaseAuthority,
}

impl StartObstacle {
    /// Returns its name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::JobEnded => "job_ended",
            Self::WorkerUnavailable => "worker_unavailable",
            Self::ReportOutdated => "report_outdated",
            Self::TicketExpired => "ticket_expired",
            Self::NoCapacity => "no_capacity",
            Self::TenantCap => "tenant_cap",
            Self::NoLeaseAuthority => "no_lease_authority",
        }
    }
}

impl scheduler::Scheduler {
    /// Returns a run that may exist on a worker.
    pub(crate) fn run_mut(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        key: model::RunKey,
    ) -> Option<&mut worker::WorkerRun> {
        let worker = self.workers.get_mut(incarnation)?;
        worker.request_call_check();
        worker.runs.get_mut(&key)
    }

    /// Sends the first start order of a planned run, once the plan is stored.
    pub(crate) fn send_first_start(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        key: model::RunKey,
        clock: event::Clock,
    ) {
        let planned = self
            .workers
            .get(incarnation)
            .and_then(|worker| worker.runs.get(&key));
        if planned.is_none_or(|run| run.phase != worker::RunPhase::Planned) {
            return;
        }
        if let Some((blocked_on, obstacle)) = self.gang_obstacle(key, clock) {
            self.withhold_planned(incarnation, key, &blocked_on, obstacle, clock);
        } else if let Err(obstacle) = self.send_start(incarnation, key, clock) {
            self.withhold_planned(incarnation, key, incarnation, obstacle, clock);
        }
    }

    /// Withdraws a planned run that may not be started now because of the worker `blocked_on`.
    fn withhold_planned(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        key: model::RunKey,
        blocked_on: &model::WorkerIncarnation,
        obstacle: StartObstacle,
        clock: event::Clock,
    ) {
        log::info!(
            run:% = run_name(key),
            worker:% = blocked_on.worker_id,
            reason = obstacle.as_str();
            "planned run withdrawn before its start order was sent"
        );
        self.count_withheld_start(obstacle);
        self.withdraw(incarnation, key, clock);
    }

    /// Returns a worker on which a planned member of a run's gang may not be started, and why: no
    /// member starts unless all may.
    fn gang_obstacle(
        &self,
        key: model::RunKey,
        clock: event::Clock,
    ) -> Option<(model::WorkerIncarnation, StartObstacle)> {
        let (step, step_state) = self.jobs.get(&key.task.job_id)?.step(key.task.step_key())?;
        if !step.gang {
            return None;
        }
        step_state.tasks.iter().zip(0..).find_map(|(task, index)| {
            let job::Phase::Placed(incarnation) = &task.phase else {
                return None;
            };
            let member = model::RunKey {
                task: model::TaskKey { index, ..key.task },
                run: key.run,
            };
            let run = self.workers.get(incarnation)?.runs.get(&member)?;
            if run.phase != worker::RunPhase::Planned {
                return None;
            }
            let obstacle = self.start_obstacle(incarnation, member, clock)?;
            Some((incarnation.clone(), obstacle))
        })
    }

    /// Returns why a run may not be started now; `None` if it may.
    fn start_obstacle(
        &self,
        incarnation: &model::WorkerIncarnation,
        key: model::RunKey,
        clock: event::Clock,
    ) -> Option<StartObstacle> {
        if !self.has_lease_authority(clock) {
            return Some(StartObstacle::NoLeaseAuthority);
        }
        let Some(state) = self.jobs.get(&key.task.job_id) else {
            return Some(StartObstacle::JobEnded);
        };
        let Some((_, step_state)) = state.step(key.task.step_key()) else {
            return Some(StartObstacle::JobEnded);
        };
        let Some(worker) = self.workers.get(incarnation) else {
            return Some(StartObstacle::WorkerUnavailable);
        };
        if !worker.has_recent_report(clock.now) {
            return Some(StartObstacle::ReportOutdated);
        }
        if !worker.accepts_runs(clock.now) {
            return Some(StartObstacle::WorkerUnavailable);
        }
        let needs_ticket = Self::queue_of(&self.manifest, state).advice.is_some();
        let tickets = &step_state.tickets;
        if needs_ticket
            && tickets
                .valid_token(&incarnation.worker_id, clock.now)
                .is_none()
        {
            return Some(StartObstacle::TicketExpired);
        }
        let run = worker.runs.get(&key)?;
        if !worker.fits_beside_others(&run.demand) {
            return Some(StartObstacle::NoCapacity);
        }
        self.is_beyond_cap(run).then_some(StartObstacle::TenantCap)
    }

    fn count_withheld_start(&mut self, obstacle: StartObstacle) {
        *self.withheld_starts.entry(obstacle).or_default() += 1;
    }

    /// Returns how many start orders were not sent since the last call, by the reason.
    pub fn take_withheld_starts(&mut self) -> impl Iterator<Item = (StartObstacle, u64)> {
        std::mem::take(&mut self.withheld_starts).into_iter()
    }

    /// Sends a start order, unless there is an obstacle.
    fn send_start(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        key: model::RunKey,
        clock: event::Clock,
    ) -> Result<(), StartObstacle> {
        if let Some(obstacle) = self.start_obstacle(incarnation, key, clock) {
            return Err(obstacle);
        }
        let Some(state) = self.jobs.get(&key.task.job_id) else {
            return Err(StartObstacle::JobEnded);
        };
        let needs_ticket = Self::queue_of(&self.manifest, state).advice.is_some();
        let step = state.step(key.task.step_key());
        let ticket = step.filter(|_| needs_ticket).and_then(|(_, step_state)| {
            let token = step_state
                .tickets
                .valid_token(&incarnation.worker_id, clock.now);
            token.map(str::to_owned)
        });
        let spec = sync::Arc::clone(&state.job.spec);
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return Err(StartObstacle::WorkerUnavailable);
        };
        let (Some(report), Some(lease_end_ms)) = (
            &worker.report,
            worker.lease_end_ms(&self.settings, clock.now),
        ) else {
            return Err(StartObstacle::WorkerUnavailable);
        };
        let run = worker.runs.get(&key);
        let checkpoint = run.and_then(|run| run.checkpoint.clone());
        let address = sync::Arc::clone(&report.address);
        let order = worker_api::StartOrder {
            incarnation: incarnation.clone(),
            address,
            run: key,
            spec,
            lease_end_ms,
            term: self.term,
            checkpoint,
            ticket,
        };
        worker.record_lease(&self.settings, clock.now);
        worker.request_call_check();
        if let Some(run) = worker.runs.get_mut(&key) {
            run.attempts += 1;
            run.ordered_at = Some(clock.now);
            run.awaits_answer = true;
            run.set_phase(worker::RunPhase::Starting, clock.now);
        }
        self.actions.push(event::Action::Start(order));
        Ok(())
    }

    pub(crate) fn on_started(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        key: model::RunKey,
        outcome: worker_api::StartOutcome,
        clock: event::Clock,
    ) {
        let is_rejected = matches!(outcome, worker_api::StartOutcome::Rejected(_));
        self.decide_lost_start(incarnation, key, is_rejected, clock);
        if let worker_api::StartOutcome::Started(Some(executed_by)) = outcome {
            self.attribute_start(incarnation, key, executed_by, clock);
        }
        if let Some(worker) = self.workers.get_mut(incarnation) {
            let is_answered = outcome != worker_api::StartOutcome::NoAnswer;
            worker.settle_removed(&key, is_answered);
        }
        let Some(run) = self.run_mut(incarnation, key) else {
            return;
        };
        let may_exist = !run.is_start_undecided();
        run.awaits_answer = false;
        let is_starting = run.phase == worker::RunPhase::Starting;
        match outcome {
            worker_api::StartOutcome::Started(_) => {
                if is_starting {
                    run.set_phase(worker::RunPhase::Running, clock.now);
                    if run.checkpoint.is_none() {
                        run.pace.begin(clock.now);
                    }
                }
                self.mark_job_started(key);
                self.end_wait(key.task.step_key());
            }
            worker_api::StartOutcome::NoAnswer => {
                run.unanswered = true;
                log::info!(
                    run:% = run_name(key),
                    worker:% = incarnation.worker_id,
                    tries = run.attempts;
                    "start order not answered"
                );
                let may_retry = run.may_retry_start();
                if is_starting && may_retry {
                    let next = worker::RunPhase::Retrying(clock.now + START_RETRY_PAUSE);
                    run.set_phase(next, clock.now);
                } else if is_starting {
                    self.stop_run_and_gang(incarnation, key, clock);
                }
                if is_starting && let Some(worker) = self.workers.get_mut(incarnation) {
                    worker.record_start_answer(false);
                }
            }
            worker_api::StartOutcome::Rejected(reason) => {
                log::info!(
                    run:% = run_name(key),
                    worker:% = incarnation.worker_id,
                    reason:? = reason,
                    earlier_unanswered = run.unanswered;
                    "start order rejected by the worker"
                );
                self.start_rejected(incarnation, key, reason, may_exist, clock);
            }
        }
    }

    /// Records which incarnation has executed a start order.
    ///
    /// If that is not the one to which the order was addressed, the worker has restarted: it gets no more
    /// starts or leases until a listing shows its incarnation.
    fn attribute_start(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        key: model::RunKey,
        executed_by: model::BornMs,
        clock: event::Clock,
    ) {
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        if executed_by == incarnation.born_ms {
            worker.record_start_answer(true);
            self.prove_run(incarnation, key, clock);
            return;
        }
        worker.silent_since.get_or_insert(clock.now);
        self.starts_on_other_incarnations += 1;
        log::warn!(
            run:% = run_name(key),
            worker:% = incarnation.worker_id,
            born_ms = incarnation.born_ms,
            executed_by_born_ms = executed_by;
            "start order executed by another incarnation of the worker"
        );
    }

    /// Handles the rejection of a start order; `may_exist` tells whether an earlier copy of it may
    /// still be executed, or has been.
    fn start_rejected(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        key: model::RunKey,
        reason: worker_api::StartRejection,
        may_exist: bool,
        clock: event::Clock,
    ) {
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        match reason {
            worker_api::StartRejection::Fenced => {
                self.actions.push(event::Action::StepDown);
                return;
            }
            worker_api::StartRejection::Unhealthy => {
                log::info!(
                    worker:% = incarnation.worker_id,
                    run:% = run_name(key),
                    term = self.term;
                    "start rejected by a worker that is unhealthy"
                );
                worker.health.record_failure(clock.now);
            }
            worker_api::StartRejection::Unreachable | worker_api::StartRejection::OtherLife => {
                worker.silent_since.get_or_insert(clock.now);
            }
            worker_api::StartRejection::Ticket => {
                let job_id = key.task.job_id;
                let state = self.jobs.get_mut(&job_id);
                if let Some((_, step)) = state.and_then(|one| one.step_mut(key.task.step_key())) {
                    step.tickets.expire(&incarnation.worker_id, clock.now);
                }
            }
            _ => {}
        }
        let Some(run) = self.run_mut(incarnation, key) else {
            return;
        };
        if !may_exist && reason != worker_api::StartRejection::Outdated {
            self.withdraw(incarnation, key, clock);
        } else if run.phase == worker::RunPhase::Starting {
            self.stop_run_and_gang(incarnation, key, clock);
        }
    }

    /// Removes a run that has certainly not started and never will, and requeues its task.
    fn withdraw(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        key: model::RunKey,
        clock: event::Clock,
    ) {
        if let Some(worker) = self.workers.get_mut(incarnation) {
            worker.remove_run(&key, &mut self.tenancy.usage);
        }
        self.requeue(incarnation, key, clock);
        self.stop_gang_members(key, clock);
    }

    /// Returns the task of a removed run to the waiting tasks.
    pub(crate) fn requeue(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        key: model::RunKey,
        clock: event::Clock,
    ) {
        let job_id = key.task.job_id;
        let Some(state) = self.jobs.get_mut(&job_id) else {
            return;
        };
        let Some((_, step)) = state.step_mut(key.task.step_key()) else {
            return;
        };
        if step.end_copy(incarnation, key) {
            self.journal.mark_dirty(job_id);
            return;
        }
        let Some(task) = step.tasks.get(key.task.index as usize) else {
            return;
        };
        if task.last_run != key.run || task.phase != job::Phase::Placed(incarnation.clone()) {
            return;
        }
        step.end_latest_run(key.task.index);
        self.journal.mark_dirty(job_id);
        self.enqueue_occurrence(job_id, key.task.occurrence, clock);
    }

    /// Records that the addressed incarnation has executed a start order of a run.
    ///
    /// A successor gives up a run that is stored as confirmed sooner once its worker is silent.
    pub(crate) fn prove_run(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        key: model::RunKey,
        clock: event::Clock,
    ) {
        let worker = self.workers.get_mut(incarnation);
        let Some(run) = worker.and_then(|worker| worker.runs.get_mut(&key)) else {
            return;
        };
        run.is_proven = true;
        if run.unanswered {
            return;
        }
        let job_id = key.task.job_id;
        let state = self.jobs.get_mut(&job_id);
        if state.is_some_and(|state| state.confirm_run(incarnation, key)) {
            self.journal.mark_deferred(job_id, clock.now);
        }
    }

    pub(crate) fn mark_job_started(&mut self, key: model::RunKey) {
        let job_id = key.task.job_id;
        if let Some(state) = self.jobs.get_mut(&job_id)
            && !state.started
        {
            state.started = true;
            log::info!(
                job:% = journal::job_id_hex(job_id),
                run:% = run_name(key);
                "first run of the job started"
            );
        }
    }

    /// Sends the due start and stop orders of a worker's runs.
    pub(crate) fn send_due_orders(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        clock: event::Clock,
    ) {
        let Some(worker) = self.workers.get(incarnation) else {
            return;
        };
        let due = worker.runs.iter().filter(|(_, run)| match run.phase {
            worker::RunPhase::Retrying(at) | worker::RunPhase::Stopping(at) => at <= clock.now,
            _ => false,
        });
        let due: Vec<_> = due.map(|(key, run)| (*key, run.phase)).collect();
        for (key, phase) in due {
            if matches!(phase, worker::RunPhase::Retrying(_)) {
                if let Err(obstacle) = self.send_start(incarnation, key, clock) {
                    if obstacle == StartObstacle::NoLeaseAuthority {
                        self.defer_start(incarnation, key, clock);
                        continue;
                    }
                    log::info!(
                        run:% = run_name(key),
                        worker:% = incarnation.worker_id,
                        reason = obstacle.as_str();
                        "start order not repeated"
                    );
                    self.count_withheld_start(obstacle);
                    self.stop_run_and_gang(incarnation, key, clock);
                }
            } else {
                self.send_stop(incarnation, key, clock);
            }
        }
    }

    /// Repeats a start order later, once the authority to grant a lease is back.
    fn defer_start(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        key: model::RunKey,
        clock: event::Clock,
    ) {
        if let Some(run) = self.run_mut(incarnation, key) {
            let next = worker::RunPhase::Retrying(clock.now + START_RETRY_PAUSE);
            run.set_phase(next, clock.now);
        }
    }

    fn send_stop(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        key: model::RunKey,
        clock: event::Clock,
    ) {
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        let Some(report) = &worker.report else {
            return;
        };
        let order = worker_api::StopOrder {
            incarnation: incarnation.clone(),
            address: sync::Arc::clone(&report.address),
            run: key,
            term: self.term,
        };
        if let Some(run) = worker.runs.get_mut(&key) {
            let next = worker::RunPhase::Stopping(clock.now + STOP_RESULT_TIMEOUT);
            run.set_phase(next, clock.now);
        }
        log::info!(run:% = run_name(key), worker:% = incarnation.worker_id; "stop order sent");
        self.actions.push(event::Action::Stop(order));
    }
}
