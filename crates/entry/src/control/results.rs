//! Ends of runs: results, lost runs, and the acknowledgement of a fence.

use std::time;

use indexmap::IndexSet;

use crate::control::runs;
use crate::control::state;

/// Number of damaged deliveries of a result after which the run counts as lost.
const MAX_DAMAGED: u32 = 3;

impl state::Control {
    /// Removes a run that has ended without a result and reports it.
    pub(super) fn end_run(&mut self, run: model::TaskAttempt, state: model::RunState) {
        let Some(held) = self.runs.live.swap_remove(&run) else {
            return;
        };
        self.fleet.release(run);
        let task = Some(held.start.task.clone());
        let report = self.report_of(run, task, held.worker_id, state);
        self.answer_withdrawers(&held.withdrawers, &report);
        self.outbox.push(report);
    }

    /// Records the finished runs of a lease reply, before the rest of the reply is handled.
    pub(super) fn finished_first(
        &mut self,
        worker_id: &model::WorkerId,
        finished: Vec<model::FinishedRun>,
        now: time::Instant,
    ) {
        for run in finished {
            self.run_finished(worker_id, run, now);
        }
    }

    pub(super) fn run_finished(
        &mut self,
        worker_id: &model::WorkerId,
        finished: model::FinishedRun,
        now: time::Instant,
    ) {
        let run = finished.run;
        if self.runs.finished.contains_key(&run) {
            return;
        }
        if !finished.is_intact() {
            self.damaged(worker_id, finished);
            return;
        }
        self.runs.damaged.swap_remove(&run);
        let facts = place::RunOutcome {
            succeeded: finished.succeeded,
            worker_fault: finished.worker_fault,
            run_time: time::Duration::from_millis(finished.run_ms),
            peak: finished.peak,
        };
        self.fleet.record_finished(run, &facts, now);
        let held = self.runs.live.swap_remove(&run);
        let task = held.as_ref().map(|held| held.start.task.clone());
        let task = task.or_else(|| finished.task.clone());
        let mut finished = finished;
        finished.task = None;
        let state = model::RunState::Finished(finished);
        let report = self.report_of(run, task, worker_id.clone(), state);
        if let Some(held) = held {
            self.answer_withdrawers(&held.withdrawers, &report);
        }
        let kept = runs::FinishedRun {
            worker_id: worker_id.clone(),
            report: report.clone(),
        };
        self.runs.finished.insert(run, kept);
        self.outbox.push(report);
    }

    /// Leaves a damaged result to be delivered again; after [`MAX_DAMAGED`] deliveries the run
    /// counts as lost.
    fn damaged(&mut self, worker_id: &model::WorkerId, finished: model::FinishedRun) {
        self.metrics.count("retry.result_damaged");
        let run = finished.run;
        let deliveries = self.runs.damaged.entry(run).or_default();
        *deliveries += 1;
        if *deliveries < MAX_DAMAGED {
            return;
        }
        self.runs.damaged.swap_remove(&run);
        self.fleet.release(run);
        let held = self.runs.live.swap_remove(&run);
        let task = held.as_ref().map(|held| held.start.task.clone());
        let task = task.or(finished.task);
        let report = self.report_of(run, task, worker_id.clone(), model::RunState::Lost);
        if let Some(held) = held {
            self.answer_withdrawers(&held.withdrawers, &report);
        }
        let kept = runs::FinishedRun {
            worker_id: worker_id.clone(),
            report: report.clone(),
        };
        self.runs.finished.insert(run, kept);
        self.outbox.push(report);
    }

    /// Forgets finished runs that the reply to a claim no longer contains.
    pub(super) fn prune_finished(
        &mut self,
        worker_id: &str,
        named: &[model::TaskAttempt],
        claim: bool,
    ) {
        if !claim {
            return;
        }
        self.runs
            .finished
            .retain(|run, kept| *kept.worker_id != *worker_id || named.contains(run));
    }

    /// Fences older generations and returns what this instance knows of the partitions.
    pub(super) fn fence_here(
        &mut self,
        partitions: &[(model::Partition, model::Generation)],
    ) -> model::FenceAck {
        let fenced: IndexSet<_> = partitions.iter().map(|(partition, _)| *partition).collect();
        for (partition, generation) in partitions {
            self.fences.raise(*partition, *generation);
        }
        let concerns =
            |run: &model::TaskAttempt| fenced.contains(&model::partition_of(run.task_id));
        let live = self.runs.live.iter().filter(|(run, _)| concerns(run));
        let mut reports: Vec<_> = live
            .map(|(run, held)| {
                let task = Some(held.start.task.clone());
                let state = model::RunState::Running { running_ms: 0 };
                self.report_of(*run, task, held.worker_id.clone(), state)
            })
            .collect();
        let finished = self.runs.finished.iter().filter(|(run, _)| concerns(run));
        let whole = finished
            .map(|(_, kept)| &kept.report)
            .filter(|report| matches!(report.state, model::RunState::Finished(_)));
        reports.extend(whole.cloned());
        model::FenceAck {
            runs: reports,
            workers: self.leases.held().cloned().collect(),
            held_elsewhere: self
                .leases
                .held_elsewhere()
                .map(|(worker, holder)| (worker.clone(), holder.clone()))
                .collect(),
            grants: self.shares.held(),
        }
    }
}
