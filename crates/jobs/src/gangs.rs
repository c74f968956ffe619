//! Gang scheduling: tasks that run only all together.

use std::sync;

use crate::event;
use crate::job;
use crate::scheduler;

impl job::StepState {
    /// Records a failed run and returns the failures that count towards the job's limit.
    ///
    /// A run of a gang counts as one failure, however many of its members fail.
    pub(crate) fn record_failure(&mut self, key: model::RunKey, is_gang: bool) -> u32 {
        let index = if is_gang { 0 } else { key.task.index as usize };
        let Some(task) = self.tasks.get_mut(index) else {
            return 0;
        };
        if !task.failed_runs.contains(&key.run) {
            task.failed_runs.push(key.run);
        }
        u32::try_from(task.failed_runs.len()).unwrap_or(u32::MAX)
    }

    /// Sets the checkpoint of a task to one that its latest run has saved; that of any member of a gang
    /// applies to the whole gang.
    ///
    /// A checkpoint that a member has saved when it was stopped is newer than those of members that end
    /// because it has ended, whichever is listed first.
    pub(crate) fn offer_checkpoint(
        &mut self,
        key: model::RunKey,
        is_gang: bool,
        checkpoint: &sync::Arc<str>,
        is_stopped: bool,
    ) {
        if is_gang && is_stopped {
            self.stopped_run = Some(key.run);
        } else if is_gang && self.stopped_run == Some(key.run) {
            return;
        }
        let index = if is_gang { 0 } else { key.task.index as usize };
        if let Some(task) = self.tasks.get_mut(index) {
            task.checkpoint = Some(sync::Arc::clone(checkpoint));
        }
    }

    /// Returns the checkpoint that a run of a task resumes from; all members of a gang share it.
    pub(crate) fn checkpoint_of(&self, index: u32, is_gang: bool) -> Option<sync::Arc<str>> {
        let index = if is_gang { 0 } else { index as usize };
        self.tasks.get(index)?.checkpoint.clone()
    }

    /// Marks every member done: the end of one member ends the gang.
    pub(crate) fn mark_gang_done(&mut self) {
        for index in 0..self.tasks.len() {
            self.set_phase(u32::try_from(index).unwrap_or(u32::MAX), job::Phase::Done);
        }
    }
}

impl scheduler::Scheduler {
    /// Stops a run, and the other members if it belongs to a gang: they would wait for it in vain.
    pub(crate) fn stop_run_and_gang(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        key: model::RunKey,
        clock: event::Clock,
    ) {
        self.stop_run(incarnation, key, clock);
        self.stop_gang_members(key, clock);
    }

    /// Stops the other members of a gang after one of them has ended without success.
    pub(crate) fn stop_gang_members(&mut self, key: model::RunKey, clock: event::Clock) {
        let Some(state) = self.jobs.get(&key.task.job_id) else {
            return;
        };
        let step_key = key.task.step_key();
        if !state.step(step_key).is_some_and(|(step, _)| step.gang) {
            return;
        }
        let mut others = state.placed_runs();
        others.retain(|(_, other)| other.task.step_key() == step_key && other.run == key.run);
        for (incarnation, other) in others {
            self.stop_run(&incarnation, other, clock);
        }
    }
}
