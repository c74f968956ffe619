//! Ends of runs: listed by their worker, stopped, or lost.

use std::sync;
use std::time;

use crate::draining;
use crate::event;
use crate::job;
use crate::loss_reason;
use crate::scheduler;
use crate::worker;
use crate::worker_api;

/// Pause before a stop order that was not answered is sent again.
const STOP_RETRY_PAUSE: time::Duration = time::Duration::from_millis(300);

/// The end of a run, as its worker lists it.
pub(crate) struct RunEnded {
    pub(crate) key: model::RunKey,
    pub(crate) end: worker_api::RunEnd,
    pub(crate) checkpoint: Option<sync::Arc<str>>,
    /// Sequence number of the end; the worker may forget it once its consequences are stored.
    pub(crate) sequence: u64,
}

impl scheduler::Scheduler {
    pub(crate) fn on_stopped(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        key: model::RunKey,
        outcome: worker_api::StopOutcome,
        clock: event::Clock,
    ) {
        let Some(run) = self.run_mut(incarnation, key) else {
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
            worker_api::StopOutcome::OtherIncarnation => {
                self.record_losses(incarnation, clock);
                self.lose_run(
                    incarnation,
                    key,
                    loss_reason::LossReason::StopMisdirected,
                    clock,
                )
            }
        }
    }

    /// Handles a listed end.
    pub(crate) fn on_run_ended(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        ended: RunEnded,
        clock: event::Clock,
    ) {
        let key = ended.key;
        self.note_drained_end(incarnation, &ended);
        self.note_run_time(incarnation, &ended, clock);
        let has_later_run = self.has_later_run(key);
        self.ends_after_next_start += u64::from(has_later_run);
        if let Some(worker) = self.workers.get_mut(incarnation) {
            if let Some(run) = worker.runs.get_mut(&key) {
                run.record_executed();
            }
            worker.remove_run(&key, &mut self.tenancy.usage);
            worker.record_run_end(ended.end, incarnation, clock.now);
        }
        self.placement_needed = true;
        log::info!(
            run:% = run_name(key),
            worker:% = incarnation.worker_id,
            sequence = ended.sequence,
            how = ended.end.as_str(),
            has_later_run;
            "run ended"
        );
        let job_id = key.task.job_id;
        if !self.jobs.contains_key(&job_id) {
            if let Some(worker) = self.workers.get_mut(incarnation) {
                worker.mark_end_processed(ended.sequence);
            }
            return;
        }
        self.mark_job_started(key);
        self.apply_end(incarnation, &ended, clock);
        if ended.end.leaves_gang_incomplete() {
            self.stop_gang_members(key, clock);
        }
        if let Some(state) = self.jobs.get_mut(&job_id) {
            let forget = job::Effect::ForgetEnd(incarnation.clone(), ended.sequence);
            state.effects.push(forget);
            self.journal.mark_dirty(job_id);
        }
    }

    /// Returns whether the task of a run has been started again since.
    fn has_later_run(&self, key: model::RunKey) -> bool {
        let state = self.jobs.get(&key.task.job_id);
        let step = state.and_then(|state| state.step(key.task.step_key()));
        let task = step.and_then(|(_, step)| step.tasks.get(key.task.index as usize));
        task.is_some_and(|task| task.last_run > key.run)
    }

    /// Updates the task of a run that has ended.
    ///
    /// A run that was marked as lost may turn out to have succeeded or failed before that.
    fn apply_end(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        ended: &RunEnded,
        clock: event::Clock,
    ) {
        let key = ended.key;
        let job_id = key.task.job_id;
        let Some(state) = self.jobs.get_mut(&job_id) else {
            return;
        };
        let max_failures = Self::queue_of(&self.manifest, state).max_failures;
        let Some((step, step_state)) = state.step_mut(key.task.step_key()) else {
            return;
        };
        let (is_gang, is_long_running) = (step.gang, step.long_running);
        let Some(task) = step_state.tasks.get(key.task.index as usize) else {
            return;
        };
        if task.phase == job::Phase::Done {
            return;
        }
        let is_latest =
            task.last_run == key.run && task.phase == job::Phase::Placed(incarnation.clone());
        let others = task.other_runs(key);
        if let Some(checkpoint) = &ended.checkpoint
            && step.checkpointing
            && is_latest
        {
            let is_stopped = ended.end == worker_api::RunEnd::Stopped;
            step_state.offer_checkpoint(key, is_gang, checkpoint, is_stopped);
        }
        if is_latest {
            step_state.end_latest_run(key.task.index);
        } else {
            step_state.end_copy(incarnation, key);
        }
        if is_long_running {
            self.enqueue_occurrence(job_id, key.task.occurrence, clock);
            return;
        }
        match ended.end {
            worker_api::RunEnd::Done => {
                if is_gang {
                    step_state.mark_gang_done();
                } else {
                    step_state.set_phase(key.task.index, job::Phase::Done);
                }
                let index = if is_gang { 0 } else { key.task.index };
                self.crashes
                    .remove_task(model::TaskKey { index, ..key.task });
                for (incarnation, other) in others {
                    self.stop_run(&incarnation, other, clock);
                }
                if !is_latest {
                    self.stop_superfluous_runs(key, clock);
                }
                self.on_task_done(key.task, clock);
            }
            worker_api::RunEnd::Failed => {
                let failures = step_state.record_failure(key, is_gang);
                let on_worker = step_state
                    .failures_by_worker
                    .entry(incarnation.worker_id.clone())
                    .or_default();
                *on_worker += 1;
                if failures >= max_failures {
                    self.decide_outcome(job_id, model::JobStatus::Failed, clock);
                } else {
                    self.enqueue_occurrence(job_id, key.task.occurrence, clock);
                }
            }
            _ => self.enqueue_occurrence(job_id, key.task.occurrence, clock),
        }
    }

    /// Stops later runs of a task, or of its gang, after an earlier run turned out to have
    /// succeeded.
    fn stop_superfluous_runs(&mut self, done: model::RunKey, clock: event::Clock) {
        let incarnations: Vec<_> = self.workers.keys().cloned().collect();
        let step = done.task.step_key();
        for incarnation in incarnations {
            let Some(worker) = self.workers.get(&incarnation) else {
                continue;
            };
            let is_superfluous = |key: &model::RunKey| {
                key.task.step_key() == step && key.run > done.run && self.is_task_done(key.task)
            };
            let keys = worker.runs.keys().filter(|key| is_superfluous(key));
            for key in keys.copied().collect::<Vec<_>>() {
                self.stop_run(&incarnation, key, clock);
            }
        }
    }

    fn is_task_done(&self, task: model::TaskKey) -> bool {
        let state = self.jobs.get(&task.job_id);
        let step = state.and_then(|state| state.step(task.step_key()));
        step.and_then(|(_, step)| step.tasks.get(task.index as usize))
            .is_some_and(|task| task.phase == job::Phase::Done)
    }

    fn on_task_done(&mut self, task: model::TaskKey, clock: event::Clock) {
        let job_id = task.job_id;
        self.journal.mark_dirty(job_id);
        if self.jobs.get(&job_id).is_some_and(job::JobState::is_done) {
            self.decide_outcome(job_id, model::JobStatus::Completed, clock);
        } else {
            self.enqueue_occurrence(job_id, task.occurrence, clock);
        }
    }

    /// Removes a run that has certainly ended without a listed end, and requeues its task.
    pub(crate) fn lose_run(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        key: model::RunKey,
        why: loss_reason::LossReason,
        clock: event::Clock,
    ) {
        self.log_loss(incarnation, key, why, clock);
        *self.lost_runs.entry(why).or_default() += 1;
        self.note_drained(incarnation, key, draining::DrainOutcome::Lost);
        if let Some(worker) = self.workers.get_mut(incarnation) {
            worker.remove_run(&key, &mut self.tenancy.usage);
        }
        self.placement_needed = true;
        self.requeue(incarnation, key, clock);
        self.stop_gang_members(key, clock);
        self.journal.mark_dirty(key.task.job_id);
    }

    /// Returns how many runs were given up since the last call, by the reason.
    pub fn take_lost_runs(&mut self) -> impl Iterator<Item = (loss_reason::LossReason, u64)> {
        std::mem::take(&mut self.lost_runs).into_iter()
    }

    /// Logs a loss with what is known of the run and its worker: how long ago it was ordered, whether the
    /// worker has listed it, and how long ago the worker was last heard of.
    fn log_loss(
        &self,
        incarnation: &model::WorkerIncarnation,
        key: model::RunKey,
        why: loss_reason::LossReason,
        clock: event::Clock,
    ) {
        let worker = self.workers.get(incarnation);
        let run = worker.and_then(|worker| worker.runs.get(&key));
        log::info!(
            run:% = run_name(key),
            worker:% = incarnation.worker_id,
            born_ms = incarnation.born_ms,
            is_listed = run.is_some_and(worker::WorkerRun::is_listed),
            is_unanswered = run.is_some_and(|run| run.unanswered),
            ordered_ms_ago = run.and_then(|run| run.ordered_at).map(|at| clock.ms_since(at)),
            heard_ms_ago = worker.and_then(worker::Worker::heard_at).map(|at| clock.ms_since(at)),
            why = why.describe();
            "run lost"
        );
    }

    /// Stops every run of a job.
    pub(crate) fn stop_runs_of(&mut self, job_id: model::JobId, clock: event::Clock) {
        let Some(state) = self.jobs.get(&job_id) else {
            return;
        };
        for (incarnation, key) in state.placed_runs() {
            self.stop_run(&incarnation, key, clock);
        }
    }

    /// Stops a run, or removes it if no order has been sent.
    pub(crate) fn stop_run(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        key: model::RunKey,
        clock: event::Clock,
    ) {
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        worker.request_call_check();
        let Some(run) = worker.runs.get_mut(&key) else {
            return;
        };
        match run.phase {
            worker::RunPhase::Planned => {
                worker.remove_run(&key, &mut self.tenancy.usage);
                self.requeue(incarnation, key, clock);
            }
            worker::RunPhase::Stopping(_) | worker::RunPhase::Stopped => {}
            _ => run.set_phase(worker::RunPhase::Stopping(clock.now), clock.now),
        }
    }
}

/// Formats a run for logs.
#[must_use]
pub fn run_name(key: model::RunKey) -> String {
    let task = key.task;
    format!(
        "{:016x}.{}.{}.{}#{}",
        task.job_id, task.occurrence, task.step, task.index, key.run
    )
}
