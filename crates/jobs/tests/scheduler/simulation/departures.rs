//! Workers that leave after a notice, and the work that is lost with them.

use std::collections;

use super::Event;
use super::Simulation;

/// What is measured of the work that tasks do more than once.
#[derive(Debug, Default)]
pub(crate) struct Rework {
    /// Work of each task when its last run ended, and when that was, in milliseconds.
    ended: collections::HashMap<model::TaskKey, (u64, u64)>,
    /// Number of runs that followed an earlier one of their task, and the time between them, in
    /// milliseconds.
    resumed: (u64, u64),
    /// Work that later runs have had to repeat, in thousandths of a core times milliseconds.
    lost: u64,
}

impl Simulation {
    /// Makes a worker give notice and leave after `remaining_ms`; `is_timed` tells whether its reports
    /// contain the time.
    pub(crate) fn give_notice(&mut self, index: usize, remaining_ms: u64, is_timed: bool) {
        let now_ms = self.now_ms;
        self.workers[index].give_notice(remaining_ms, is_timed, now_ms);
        self.push(remaining_ms, Event::Depart(index));
    }

    /// Adds a worker.
    pub(crate) fn add_worker(&mut self) {
        let mut worker = super::SimulatedWorker::new(self.workers.len());
        worker.stop_ms = self.workers[0].stop_ms;
        worker.restore_ms = self.workers[0].restore_ms;
        self.workers.push(worker);
    }

    /// Makes a worker take its notice back.
    pub(crate) fn withdraw_notice(&mut self, index: usize) {
        let now_ms = self.now_ms;
        self.workers[index].withdraw_notice(now_ms);
    }

    /// Makes a worker leave, unless it has taken its notice back.
    pub(super) fn depart(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let worker = &mut self.workers[index];
        if worker.draining && worker.is_up {
            worker.expire(now_ms);
            worker.depart(now_ms);
            self.break_gangs();
        }
    }

    /// Ends the members of complete gangs of which a member has ended.
    pub(super) fn break_gangs(&mut self) {
        if !self.breaks_gangs {
            return;
        }
        let now_ms = self.now_ms;
        let mut present: collections::HashMap<_, Vec<_>> = collections::HashMap::new();
        for (index, worker) in self.workers.iter_mut().enumerate() {
            worker.expire(now_ms);
            if worker.is_up {
                for run in worker.run_keys() {
                    let gang = (run.task.step_key(), run.run);
                    present.entry(gang).or_default().push((index, run));
                }
            }
        }
        for (gang, members) in present {
            let step = &self.accepted[&gang.0.job_id].steps[usize::from(gang.0.step)];
            let was_complete = self.incomplete_gangs.get(&gang) == Some(&None);
            if step.gang && was_complete && members.len() < step.task_count as usize {
                for (index, run) in members {
                    self.workers[index].break_run(run, now_ms);
                }
            }
        }
    }

    /// Collects the work of runs that have ended, and counts what a run that starts now repeats.
    pub(super) fn record_rework(&mut self, order: &jobs::StartOrder) {
        for worker in &mut self.workers {
            for (task, worked_ms, ended_at_ms) in worker.take_ended_work() {
                self.rework.ended.insert(task, (worked_ms, ended_at_ms));
            }
        }
        let task = order.run.task;
        let resumed_ms = order.checkpoint.as_deref();
        let resumed_ms = resumed_ms.map_or(0, super::worker::checkpointed_ms);
        let Some((worked_ms, ended_at_ms)) = self.rework.ended.remove(&task) else {
            return;
        };
        self.rework.resumed.0 += 1;
        self.rework.resumed.1 += self.now_ms - ended_at_ms;
        let step = &self.accepted[&task.job_id].steps[usize::from(task.step)];
        let cores_milli = u64::from(step.demand.processors_milli);
        self.rework.lost += worked_ms.saturating_sub(resumed_ms) * cores_milli;
    }

    /// Returns how many runs on workers that leave came to an outcome since the last call.
    pub(crate) fn take_drain_outcomes(&mut self) -> collections::HashMap<jobs::DrainOutcome, u64> {
        let scheduler = self.scheduler.as_mut();
        scheduler.map_or_else(Default::default, |one| one.take_drain_outcomes().collect())
    }

    /// Returns the number of stop orders so far that are executed late.
    pub(crate) fn late_stop_count(&self) -> usize {
        self.late_stops.len()
    }

    /// Returns the work that later runs have had to repeat, in core-seconds.
    pub(crate) fn lost_core_seconds(&self) -> u64 {
        self.rework.lost / 1_000_000
    }

    /// Returns the mean time from the end of a run to the next one of its task, in milliseconds.
    pub(crate) fn mean_resume_ms(&self) -> u64 {
        let (count, total_ms) = self.rework.resumed;
        total_ms / count.max(1)
    }
}
