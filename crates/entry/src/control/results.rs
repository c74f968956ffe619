//! Ends of runs: results, lost runs, and the acknowledgement of a fence.

use std::time;

use indexmap::IndexSet;

use crate::control::runs;
use crate::control::state;

/// Number of damaged deliveries of a result after which the run counts as lost.
const MAX_DAMAGED_DELIVERIES: u32 = 3;

impl state::Control {
    /// Removes a run that has ended without a result and reports it.
    pub(super) fn end_run(&mut self, run: model::TaskAttempt, state: model::RunState) {
        let Some(worker_run) = self.runs.live.swap_remove(&run) else {
            return;
        };
        self.fleet.release(run);
        let task = Some(worker_run.start.task.clone());
        let report = self.build_report(run, task, worker_run.worker_id, state);
        self.answer_withdrawers(&worker_run.withdrawers, &report);
        self.outbox.push(report);
    }

    /// Records the finished runs of a lease reply, before the rest of the reply is handled.
    pub(super) fn on_runs_finished(
        &mut self,
        worker_id: &model::WorkerId,
        finished: Vec<model::FinishedRun>,
        now: time::Instant,
    ) {
        for run in finished {
            self.on_run_finished(worker_id, run, now);
        }
    }

    pub(super) fn on_run_finished(
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
            self.on_damaged_result(worker_id, finished);
            return;
        }
        self.runs.damaged.swap_remove(&run);
        let outcome = place::RunOutcome {
            succeeded: finished.succeeded,
            worker_fault: finished.worker_fault,
            run_time: time::Duration::from_millis(finished.run_ms),
            peak: finished.peak,
        };
        self.fleet.record_finished(run, &outcome, now);
        let worker_run = self.runs.live.swap_remove(&run);
        let task = worker_run
            .as_ref()
            .map(|worker_run| worker_run.start.task.clone());
        let task = task.or_else(|| finished.task.clone());
        let mut finished = finished;
        finished.task = None;
        let state = model::RunState::Finished(finished);
        let report = self.build_report(run, task, worker_id.clone(), state);
        if let Some(worker_run) = worker_run {
            self.answer_withdrawers(&worker_run.withdrawers, &report);
        }
        let unacknowledged = runs::UnacknowledgedRun {
            worker_id: worker_id.clone(),
            report: report.clone(),
        };
        self.runs.finished.insert(run, unacknowledged);
        self.outbox.push(report);
    }

    /// Leaves a damaged result to be delivered again; after [`MAX_DAMAGED_DELIVERIES`] the run
    /// counts as lost.
    fn on_damaged_result(&mut self, worker_id: &model::WorkerId, finished: model::FinishedRun) {
        self.metrics.count("retry.result_damaged");
        let run = finished.run;
        let deliveries = self.runs.damaged.entry(run).or_default();
        *deliveries += 1;
        if *deliveries < MAX_DAMAGED_DELIVERIES {
            return;
        }
        self.runs.damaged.swap_remove(&run);
        self.fleet.release(run);
        let worker_run = self.runs.live.swap_remove(&run);
        let task = worker_run
            .as_ref()
            .map(|worker_run| worker_run.start.task.clone());
        let task = task.or(finished.task);
        let report = self.build_report(run, task, worker_id.clone(), model::RunState::Lost);
        if let Some(worker_run) = worker_run {
            self.answer_withdrawers(&worker_run.withdrawers, &report);
        }
        let unacknowledged = runs::UnacknowledgedRun {
            worker_id: worker_id.clone(),
            report: report.clone(),
        };
        self.runs.finished.insert(run, unacknowledged);
        self.outbox.push(report);
    }

    /// Forgets finished runs that the reply to a claim no longer contains.
    pub(super) fn prune_finished(
        &mut self,
        worker_id: &str,
        reported: &[model::TaskAttempt],
        claim: bool,
    ) {
        if !claim {
            return;
        }
        self.runs.finished.retain(|run, unacknowledged| {
            *unacknowledged.worker_id != *worker_id || reported.contains(run)
        });
    }

    /// Fences older generations and returns what this instance knows of the partitions.
    pub(super) fn fence_local(
        &mut self,
        partitions: &[(model::Partition, model::Generation)],
    ) -> model::FenceAck {
        let fenced: IndexSet<_> = partitions.iter().map(|(partition, _)| *partition).collect();
        for (partition, generation) in partitions {
            self.fences.raise(*partition, *generation);
        }
        let is_fenced =
            |run: &model::TaskAttempt| fenced.contains(&model::partition_of(run.task_id));
        let live = self.runs.live.iter().filter(|(run, _)| is_fenced(run));
        let mut reports: Vec<_> = live
            .map(|(run, worker_run)| {
                let task = Some(worker_run.start.task.clone());
                let state = model::RunState::Running { running_ms: 0 };
                self.build_report(*run, task, worker_run.worker_id.clone(), state)
            })
            .collect();
        let finished = self.runs.finished.iter().filter(|(run, _)| is_fenced(run));
        let intact = finished
            .map(|(_, unacknowledged)| &unacknowledged.report)
            .filter(|report| matches!(report.state, model::RunState::Finished(_)));
        reports.extend(intact.cloned());
        model::FenceAck {
            runs: reports,
            workers: self.leases.held().cloned().collect(),
            held_elsewhere: self
                .leases
                .held_elsewhere()
                .map(|(worker, holder)| (worker.clone(), holder.clone()))
                .collect(),
            grants: self.shares.held_shares(),
        }
    }
}
