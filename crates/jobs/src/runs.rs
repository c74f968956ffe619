//! The life of a run: planned, started, ended or lost.

use std::sync;
use std::time;

use crate::event;
use crate::job;
use crate::journal;
use crate::scheduler;
use crate::worker;
use crate::worker_api;

/// Pause before an order that was not answered is sent again.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Pause before a stop order that was not answered is sent again.
const STOP_RETRY_PAUSE: time::Duration = time::Duration::from_millis(300);

/// An end of a run, as its worker lists it.
pub(crate) struct RunEnded {
    pub(crate) key: model::RunKey,
    pub(crate) how: worker_api::RunEnd,
    pub(crate) checkpoint: Option<sync::Arc<str>>,
    /// Number of the end, to be forgotten once what follows from it is stored.
    pub(crate) sequence: u64,
}

impl scheduler::Scheduler {
    /// Sends the first start order of a run whose intent is stored.
    pub(crate) fn launch(
        &mut self,
        life: &model::WorkerLife,
        key: model::RunKey,
        clock: event::Clock,
    ) {
        let planned = self
            .workers
            .get(life)
            .and_then(|worker| worker.runs.get(&key));
        if planned.is_none_or(|run| run.phase != worker::RunPhase::Planned) {
            return;
        }
        if !self.send_start(life, key, clock) {
            log::info!(
                run:% = run_name(key),
                worker:% = life.worker_id;
                "start withdrawn before it was sent"
            );
            self.withdraw(life, key, clock);
        }
    }

    /// Sends a start order; returns whether the worker may get it.
    fn send_start(
        &mut self,
        life: &model::WorkerLife,
        key: model::RunKey,
        clock: event::Clock,
    ) -> bool {
        let run_lease = self.settings.run_lease;
        let Some(state) = self.jobs.get(&key.task.job_id) else {
            return false;
        };
        let queue = Self::queue_of(&self.manifest, state);
        let Some((step, step_state)) = state.step(key.task.step_key()) else {
            return false;
        };
        let ticket = match queue.advice {
            None => None,
            Some(_) => match step_state.tickets.valid(&life.worker_id, clock.now) {
                Some(token) => Some(token.to_owned()),
                None => return false,
            },
        };
        let task = &step_state.tasks[key.task.index as usize];
        let checkpoint = task.checkpoint.clone().filter(|_| step.checkpointing);
        let spec = sync::Arc::clone(&state.job.spec);
        let Some(worker) = self.workers.get_mut(life) else {
            return false;
        };
        if !worker.takes_work(clock.now) {
            return false;
        }
        let (Some(report), Some(lease_end_ms)) =
            (&worker.report, worker.lease_end_ms(run_lease, clock.now))
        else {
            return false;
        };
        let order = worker_api::StartOrder {
            life: life.clone(),
            address: sync::Arc::clone(&report.address),
            run: key,
            spec,
            lease_end_ms,
            term: self.term,
            checkpoint,
            ticket,
        };
        worker.lapsed_at = worker
            .lapsed_at
            .max(clock.now + self.settings.lease_horizon());
        if let Some(run) = worker.runs.get_mut(&key) {
            run.tries += 1;
            run.set_phase(worker::RunPhase::Starting, clock.now);
        }
        self.actions.push(event::Action::Start(order));
        true
    }

    pub(crate) fn started(
        &mut self,
        life: &model::WorkerLife,
        key: model::RunKey,
        outcome: worker_api::StartOutcome,
        clock: event::Clock,
    ) {
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        let Some(run) = worker.runs.get_mut(&key) else {
            return;
        };
        let is_starting = run.phase == worker::RunPhase::Starting;
        match outcome {
            worker_api::StartOutcome::Started => {
                if is_starting {
                    run.set_phase(worker::RunPhase::Running, clock.now);
                }
                self.note_started(key);
            }
            worker_api::StartOutcome::NoAnswer => {
                run.unanswered = true;
                log::info!(
                    run:% = run_name(key),
                    worker:% = life.worker_id,
                    tries = run.tries;
                    "start not answered"
                );
                if is_starting {
                    let next = if run.may_try_again() {
                        worker::RunPhase::Retrying(clock.now + RETRY_PAUSE)
                    } else {
                        worker::RunPhase::Stopping(clock.now)
                    };
                    run.set_phase(next, clock.now);
                }
            }
            worker_api::StartOutcome::Rejected(reason) => {
                log::info!(
                    run:% = run_name(key),
                    worker:% = life.worker_id,
                    reason:? = reason,
                    earlier_unanswered = run.unanswered;
                    "start rejected"
                );
                self.start_rejected(life, key, reason, clock);
            }
        }
    }

    fn start_rejected(
        &mut self,
        life: &model::WorkerLife,
        key: model::RunKey,
        reason: worker_api::StartRejection,
        clock: event::Clock,
    ) {
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        match reason {
            worker_api::StartRejection::Fenced => {
                self.actions.push(event::Action::StepDown);
                return;
            }
            worker_api::StartRejection::Unhealthy => {
                worker.health.note_failed(clock.now);
            }
            worker_api::StartRejection::Unreachable | worker_api::StartRejection::OtherLife => {
                worker.silent_since.get_or_insert(clock.now);
            }
            worker_api::StartRejection::Ticket => {
                let job_id = key.task.job_id;
                let state = self.jobs.get_mut(&job_id);
                if let Some((_, step)) = state.and_then(|one| one.step_mut(key.task.step_key())) {
                    step.tickets.expire(&life.worker_id, clock.now);
                }
            }
            _ => {}
        }
        let Some(run) = self
            .workers
            .get_mut(life)
            .and_then(|worker| worker.runs.get_mut(&key))
        else {
            return;
        };
        if run.phase != worker::RunPhase::Starting {
            return;
        }
        if run.unanswered || reason == worker_api::StartRejection::Outdated {
            // An earlier copy of the order may still be carried out.
            run.set_phase(worker::RunPhase::Stopping(clock.now), clock.now);
        } else {
            self.withdraw(life, key, clock);
        }
    }

    /// Takes back a run that has surely not started and never will.
    fn withdraw(&mut self, life: &model::WorkerLife, key: model::RunKey, clock: event::Clock) {
        if let Some(worker) = self.workers.get_mut(life) {
            worker.remove_run(&key);
        }
        self.requeue(life, key, clock);
        self.break_gang(key, clock);
    }

    /// Lets the task of a run that is gone wait again.
    pub(crate) fn requeue(
        &mut self,
        life: &model::WorkerLife,
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
        let Some(task) = step.tasks.get(key.task.index as usize) else {
            return;
        };
        if task.last_run != key.run || task.phase != job::Phase::Placed(life.clone()) {
            return;
        }
        step.set_phase(key.task.index, job::Phase::Waiting);
        self.journal.mark(job_id);
        self.enqueue(job_id, clock);
    }

    fn note_started(&mut self, key: model::RunKey) {
        let job_id = key.task.job_id;
        if let Some(state) = self.jobs.get_mut(&job_id)
            && !state.started
        {
            state.started = true;
            log::info!(job:% = journal::hex(job_id), run:% = run_name(key); "job started");
        }
    }

    pub(crate) fn stopped(
        &mut self,
        life: &model::WorkerLife,
        key: model::RunKey,
        outcome: worker_api::StopOutcome,
        clock: event::Clock,
    ) {
        let Some(run) = self
            .workers
            .get_mut(life)
            .and_then(|worker| worker.runs.get_mut(&key))
        else {
            return;
        };
        match outcome {
            worker_api::StopOutcome::Accepted => {
                run.set_phase(worker::RunPhase::Stopped, clock.now);
            }
            worker_api::StopOutcome::NoAnswer => {
                let next = worker::RunPhase::Stopping(clock.now + STOP_RETRY_PAUSE);
                run.set_phase(next, clock.now);
            }
            worker_api::StopOutcome::Fenced => self.actions.push(event::Action::StepDown),
            worker_api::StopOutcome::OtherLife => self.lose_run(life, key, "other_life", clock),
        }
    }

    /// Takes note of a listed end.
    pub(crate) fn run_ended(
        &mut self,
        life: &model::WorkerLife,
        ended: RunEnded,
        clock: event::Clock,
    ) {
        let key = ended.key;
        if let Some(worker) = self.workers.get_mut(life) {
            worker.remove_run(&key);
            worker.note_how(ended.how, life, clock.now);
        }
        self.may_place = true;
        log::info!(
            run:% = run_name(key),
            worker:% = life.worker_id,
            sequence = ended.sequence,
            how = ended.how.as_str();
            "run ended"
        );
        let job_id = key.task.job_id;
        if !self.jobs.contains_key(&job_id) {
            if let Some(worker) = self.workers.get_mut(life) {
                worker.allow_forgetting(ended.sequence);
            }
            return;
        }
        self.note_started(key);
        self.apply_end(life, &ended, clock);
        if let Some(state) = self.jobs.get_mut(&job_id) {
            let forget = job::Effect::Forget(life.clone(), ended.sequence);
            state.effects.push(forget);
            self.journal.mark(job_id);
        }
    }

    /// Changes the task that a run belongs to.
    ///
    /// A run that was given up may turn out to have been done or to have failed before that.
    fn apply_end(&mut self, life: &model::WorkerLife, ended: &RunEnded, clock: event::Clock) {
        let key = ended.key;
        let job_id = key.task.job_id;
        let Some(state) = self.jobs.get_mut(&job_id) else {
            return;
        };
        let max_failures = Self::queue_of(&self.manifest, state).max_failures;
        let Some((step, step_state)) = state.step_mut(key.task.step_key()) else {
            return;
        };
        let (is_gang, is_lasting) = (step.gang, step.long_running);
        let Some(task) = step_state.tasks.get_mut(key.task.index as usize) else {
            return;
        };
        if task.phase == job::Phase::Done {
            return;
        }
        let is_latest = task.last_run == key.run && task.phase == job::Phase::Placed(life.clone());
        if let Some(checkpoint) = &ended.checkpoint
            && step.checkpointing
            && is_latest
        {
            task.checkpoint = Some(sync::Arc::clone(checkpoint));
        }
        if is_latest {
            step_state.set_phase(key.task.index, job::Phase::Waiting);
        }
        if is_lasting {
            self.enqueue(job_id, clock);
            return;
        }
        match ended.how {
            worker_api::RunEnd::Done => {
                if is_gang {
                    step_state.finish_gang();
                } else {
                    step_state.set_phase(key.task.index, job::Phase::Done);
                }
                if !is_latest {
                    self.stop_superfluous(key, clock);
                }
                self.task_done(job_id, clock);
            }
            worker_api::RunEnd::Failed => {
                let failures = step_state.count_failure(key, is_gang);
                let on_worker = step_state
                    .failures_by_worker
                    .entry(life.worker_id.clone())
                    .or_default();
                *on_worker += 1;
                if failures >= max_failures {
                    self.decide(job_id, model::JobStatus::Failed, clock);
                } else {
                    self.enqueue(job_id, clock);
                }
            }
            _ => self.enqueue(job_id, clock),
        }
    }

    /// Stops later runs of a task, or of its gang, that an earlier run has turned out to have done.
    fn stop_superfluous(&mut self, done: model::RunKey, clock: event::Clock) {
        let lives: Vec<_> = self.workers.keys().cloned().collect();
        let step = done.task.step_key();
        for life in lives {
            let Some(worker) = self.workers.get(&life) else {
                continue;
            };
            let is_superfluous = |key: &model::RunKey| {
                key.task.step_key() == step && key.run > done.run && self.is_task_done(key.task)
            };
            let keys = worker.runs.keys().filter(|key| is_superfluous(key));
            for key in keys.copied().collect::<Vec<_>>() {
                self.stop_run(&life, key, clock);
            }
        }
    }

    fn is_task_done(&self, task: model::TaskKey) -> bool {
        let state = self.jobs.get(&task.job_id);
        let step = state.and_then(|state| state.step(task.step_key()));
        step.and_then(|(_, step)| step.tasks.get(task.index as usize))
            .is_some_and(|task| task.phase == job::Phase::Done)
    }

    fn task_done(&mut self, job_id: model::JobId, clock: event::Clock) {
        self.journal.mark(job_id);
        if self.jobs.get(&job_id).is_some_and(job::JobState::is_done) {
            self.decide(job_id, model::JobStatus::Completed, clock);
        } else {
            self.enqueue(job_id, clock);
        }
    }

    /// Gives up a run that has surely ended without its end being listed.
    pub(crate) fn lose_run(
        &mut self,
        life: &model::WorkerLife,
        key: model::RunKey,
        why: &str,
        clock: event::Clock,
    ) {
        log::info!(run:% = run_name(key), worker:% = life.worker_id, why; "run lost");
        if let Some(worker) = self.workers.get_mut(life) {
            worker.remove_run(&key);
        }
        self.may_place = true;
        self.requeue(life, key, clock);
        self.break_gang(key, clock);
        self.journal.mark(key.task.job_id);
    }

    /// Stops every run of a job.
    pub(crate) fn stop_runs_of(&mut self, job_id: model::JobId, clock: event::Clock) {
        let Some(state) = self.jobs.get(&job_id) else {
            return;
        };
        for (life, key) in state.placed_runs() {
            self.stop_run(&life, key, clock);
        }
    }

    /// Stops a run, or takes it back if no order has been sent.
    pub(crate) fn stop_run(
        &mut self,
        life: &model::WorkerLife,
        key: model::RunKey,
        clock: event::Clock,
    ) {
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        let Some(run) = worker.runs.get_mut(&key) else {
            return;
        };
        match run.phase {
            worker::RunPhase::Planned => {
                worker.remove_run(&key);
                self.requeue(life, key, clock);
            }
            worker::RunPhase::Stopping(_) | worker::RunPhase::Stopped => {}
            _ => run.set_phase(worker::RunPhase::Stopping(clock.now), clock.now),
        }
    }

    /// Sends the orders of a worker's runs that are due.
    pub(crate) fn send_due_orders(&mut self, life: &model::WorkerLife, clock: event::Clock) {
        let Some(worker) = self.workers.get(life) else {
            return;
        };
        let due = worker.runs.iter().filter(|(_, run)| match run.phase {
            worker::RunPhase::Retrying(at) | worker::RunPhase::Stopping(at) => at <= clock.now,
            _ => false,
        });
        let due: Vec<_> = due.map(|(key, run)| (*key, run.phase)).collect();
        for (key, phase) in due {
            if matches!(phase, worker::RunPhase::Retrying(_)) {
                if !self.send_start(life, key, clock) {
                    self.stop_run(life, key, clock);
                }
            } else {
                self.send_stop(life, key, clock);
            }
        }
    }

    fn send_stop(&mut self, life: &model::WorkerLife, key: model::RunKey, clock: event::Clock) {
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        let Some(report) = &worker.report else {
            return;
        };
        let order = worker_api::StopOrder {
            life: life.clone(),
            address: sync::Arc::clone(&report.address),
            run: key,
            term: self.term,
        };
        if let Some(run) = worker.runs.get_mut(&key) {
            // Replaced when the answer comes; the pause is for one that never does.
            let next = worker::RunPhase::Stopping(clock.now + time::Duration::from_secs(2));
            run.set_phase(next, clock.now);
        }
        log::info!(run:% = run_name(key), worker:% = life.worker_id; "stop sent");
        self.actions.push(event::Action::Stop(order));
    }
}

/// Formats a run for logs.
pub(crate) fn run_name(key: model::RunKey) -> String {
    let task = key.task;
    format!(
        "{:016x}.{}.{}.{}#{}",
        task.job_id, task.occurrence, task.step, task.index, key.run
    )
}
