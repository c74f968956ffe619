//! Runs of a worker, in progress and ended.

use std::time;

use super::work;
use crate::clock;
use crate::faults;

const FULL_PERCENT: u32 = 100;

/// A run in progress.
#[derive(Debug)]
pub(super) struct Running {
    pub(super) start: model::StartRun,
    pub(super) work: work::Work,
    pub(super) started_at: time::Instant,
    /// When it ends at its current speed; `None` if it runs until it is stopped.
    pub(super) ends_at: Option<time::Instant>,
    /// Whether the run fails by a fault of the worker.
    pub(super) worker_fault: bool,
    /// Index of its entry in the log of executions.
    pub(super) execution_index: usize,
    /// Run time of its remaining work at full speed, as of `speed_changed_at`.
    remaining: time::Duration,
    /// When its speed was last changed.
    speed_changed_at: time::Instant,
    /// Share of its processors that it may use, in percent.
    processor_percent: u32,
    /// Factor by which injected faults lengthen its run time, in percent.
    run_time_percent: u32,
}

impl Running {
    /// Starts a run; the faults at this time apply to all of it.
    pub(super) fn new(
        start: model::StartRun,
        faults: &faults::WorkerFaults,
        now: time::Instant,
        execution_index: usize,
    ) -> Self {
        let work = work::Work::of(&start.task.spec);
        let mut run = Self {
            remaining: work.remaining(start.checkpoint.as_deref()),
            work,
            started_at: now,
            ends_at: None,
            worker_fault: faults.fail_all,
            execution_index,
            speed_changed_at: now,
            processor_percent: FULL_PERCENT,
            run_time_percent: FULL_PERCENT.saturating_add(faults.slower_percent),
            start,
        };
        run.ends_at = run.planned_end();
        run
    }

    fn planned_end(&self) -> Option<time::Instant> {
        if self.worker_fault {
            return Some(self.started_at);
        }
        if self.start.task.spec.class == model::Class::Service {
            return None;
        }
        let run_time = self.remaining * self.run_time_percent / self.processor_percent;
        Some(self.speed_changed_at + run_time)
    }

    /// Returns the remaining run time at full speed.
    fn remaining_at(&self, now: time::Instant) -> time::Duration {
        let passed = now.saturating_duration_since(self.speed_changed_at);
        self.remaining
            .saturating_sub(passed * self.processor_percent / self.run_time_percent)
    }

    /// Limits the run to `percent` of its processors, clamped to 1..=100.
    pub(super) fn throttle(&mut self, percent: u8, now: time::Instant) {
        self.remaining = self.remaining_at(now);
        self.speed_changed_at = now;
        self.processor_percent = u32::from(percent.clamp(1, 100));
        self.ends_at = self.planned_end();
    }

    /// Returns its state as the text of a checkpoint.
    pub(super) fn checkpoint(&self, now: time::Instant) -> String {
        let whole = time::Duration::from_millis(self.work.run_ms);
        let done = whole.saturating_sub(self.remaining_at(now));
        work::Checkpoint {
            done_ms: clock::whole_ms(done),
        }
        .to_text()
    }

    /// Returns the resources that it actually uses.
    pub(super) fn used(&self) -> model::Demand {
        let mut used = self.work.used(&self.start.reserved);
        let throttled = u64::from(used.processors_milli) * u64::from(self.processor_percent) / 100;
        used.processors_milli = u32::try_from(throttled).unwrap_or(u32::MAX);
        used
    }

    /// Returns its entry in the reply to a claim.
    pub(super) fn report(&self, now: time::Instant) -> model::RunningRun {
        model::RunningRun {
            run: self.start.run,
            task: self.start.task.clone(),
            generation: self.start.generation,
            running_ms: clock::whole_ms(now.saturating_duration_since(self.started_at)),
            reserved: self.start.reserved,
        }
    }
}

/// A run that has ended with a result; its output is generated on demand.
#[derive(Clone, Debug)]
pub(super) struct Finished {
    pub(super) run: model::TaskAttempt,
    pub(super) task: model::Task,
    pub(super) succeeded: bool,
    pub(super) worker_fault: bool,
    pub(super) run_ms: u64,
    pub(super) peak: model::Demand,
    pub(super) checkpoint: Option<String>,
}

impl Finished {
    /// Ends `run` at `at`; a `checkpoint` means that its work is not complete.
    pub(super) fn new(run: &Running, at: time::Instant, checkpoint: Option<String>) -> Self {
        Self {
            run: run.start.run,
            task: run.start.task.clone(),
            succeeded: !run.work.fail && !run.worker_fault && checkpoint.is_none(),
            worker_fault: run.worker_fault,
            run_ms: clock::whole_ms(at.saturating_duration_since(run.started_at)),
            peak: run.work.used(&run.start.reserved),
            checkpoint,
        }
    }

    fn output(&self) -> String {
        if self.worker_fault || self.checkpoint.is_some() {
            return String::new();
        }
        work::expected_output(&self.task.spec.kind, &self.task.spec.body)
    }

    /// Returns the result, corrupted as the injected faults require.
    pub(super) fn report(
        &self,
        with_task: bool,
        faults: &faults::WorkerFaults,
    ) -> model::FinishedRun {
        let mut report =
            model::FinishedRun::with_digest(self.run, self.succeeded, self.output(), self.run_ms);
        report.task = with_task.then(|| self.task.clone());
        report.worker_fault = self.worker_fault;
        report.peak = self.peak;
        report.checkpoint.clone_from(&self.checkpoint);
        if faults.crossed_answers {
            report.output = work::expected_output("other", &report.output_sha256);
        }
        if faults.cut_answers {
            let half = report.output.len() / 2;
            report.output.truncate(half);
        }
        report
    }
}

/// The outcome of a run that awaits no acknowledgement.
#[derive(Debug)]
pub(super) enum Settled {
    /// The run finished, and the holder acknowledged the result.
    Finished(Box<Finished>),
    /// The run was stopped before its end.
    Stopped,
    /// The run was stopped before its start arrived; the start will be refused.
    Tombstone,
}
