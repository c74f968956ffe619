//! Throttles and stops runs that use more than is reserved for them.

use std::time;

use crate::fleet;
use crate::queue_settings;
use crate::run_command;
use crate::spread;

const OVERRUNS_BEFORE_THROTTLE: u32 = 2;
const TOLERANCE_PERCENT: u64 = 110;
const MAX_RESERVED_MEMORY_PERCENT: u64 = 95;

impl fleet::Fleet {
    /// Processes the usage reports of workers and returns the commands that enforce reservations.
    ///
    /// Memory beyond the reservation is reserved too while the worker has it free; otherwise the
    /// run is stopped before other runs on the worker lose their memory. Processors are throttled
    /// to the reservation.
    pub fn apply_usage_reports(
        &mut self,
        usage: &[model::RunUsage],
        now: time::Instant,
    ) -> Vec<run_command::RunCommand> {
        if self.settings.policy == queue_settings::Policy::Baseline {
            return Vec::new();
        }
        let mut commands = Vec::new();
        for report in usage {
            commands.extend(self.limit_memory(report, now));
            commands.extend(self.limit_processors(report, now));
        }
        commands
    }

    fn limit_memory(
        &mut self,
        report: &model::RunUsage,
        now: time::Instant,
    ) -> Option<run_command::RunCommand> {
        let run = self.runs.get_mut(&report.run)?;
        let key = spread::KindKey::of(&run.task);
        self.memory_peaks.record_use(key, report.used.memory_mb);
        let excess_mb = report.used.memory_mb.saturating_sub(run.reserved.memory_mb);
        if excess_mb == 0 || run.end_requested_at.is_some() {
            return None;
        }
        let worker = self.pool.get(run.worker)?;
        let granted_mb = excess_mb.min(worker.free().resources.memory_mb);
        let capacity = u64::from(worker.capacity.resources.memory_mb);
        let reserved = u64::from(worker.reserved.memory_mb) + u64::from(excess_mb);
        let must_stop = worker.runs.len() > 1
            && granted_mb < excess_mb
            && reserved * 100 > capacity * MAX_RESERVED_MEMORY_PERCENT;
        run.reserved.memory_mb += granted_mb;
        let index = run.worker;
        if must_stop {
            run.end_requested_at = Some(now);
            self.preemptible_runs.remove(&(run.started_at, report.run));
        }
        self.pool.update(index, now, |worker| {
            worker.reserved.memory_mb += granted_mb;
        });
        if !must_stop {
            return None;
        }
        let worker_id = self.worker_of(&report.run)?.clone();
        Some(run_command::RunCommand::Stop {
            run: report.run,
            worker_id,
        })
    }

    fn limit_processors(
        &mut self,
        report: &model::RunUsage,
        now: time::Instant,
    ) -> Option<run_command::RunCommand> {
        let run = self.runs.get_mut(&report.run)?;
        let used = u64::from(report.used.processors_milli);
        let reserved = u64::from(run.reserved.processors_milli);
        if let Some(throttle) = run.throttle {
            let limit = u64::from(throttle.processors_milli) * u64::from(throttle.percent) / 100;
            if used <= limit && limit < reserved {
                self.release_unused_processors(&report.run, limit as u32, now);
                return None;
            }
        }
        let run = self.runs.get_mut(&report.run)?;
        if used * 100 <= reserved * TOLERANCE_PERCENT {
            run.overruns = 0;
            return None;
        }
        run.overruns += 1;
        if run.overruns < OVERRUNS_BEFORE_THROTTLE || run.throttle.is_some() || reserved == 0 {
            return None;
        }
        let percent = (reserved * 100 / used).clamp(1, 100) as u8;
        self.throttle_to_reserved(report.run, percent)
    }

    fn throttle_to_reserved(
        &mut self,
        id: model::TaskAttempt,
        percent: u8,
    ) -> Option<run_command::RunCommand> {
        let worker_id = self.worker_of(&id)?.clone();
        Some(run_command::RunCommand::Throttle {
            run: id,
            worker_id,
            percent,
        })
    }

    /// Releases reserved processors that a throttled run no longer uses.
    fn release_unused_processors(
        &mut self,
        id: &model::TaskAttempt,
        processors_milli: u32,
        now: time::Instant,
    ) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        let freed = run.reserved.processors_milli - processors_milli;
        run.reserved.processors_milli = processors_milli;
        let index = run.worker;
        self.pool.update(index, now, |worker| {
            worker.reserved.processors_milli -= freed;
        });
    }
}
