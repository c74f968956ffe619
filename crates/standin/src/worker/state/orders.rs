//! Orders of the lease holder: start, stop, checkpoint and throttle runs.

use std::time;

use super::LeaseToken;
use super::WorkerState;
use crate::clock;
use crate::worker::capacity;
use crate::worker::executions;
use crate::worker::runs;

impl WorkerState {
    /// Starts runs; returns a verdict for each, in order.
    pub(in crate::worker) fn start(
        &mut self,
        request: model::StartRequest,
        now: time::Instant,
    ) -> Vec<model::StartVerdict> {
        let token = LeaseToken {
            instance_id: &request.instance_id,
            epoch: request.epoch,
        };
        let count = request.runs.len();
        if request.incarnation != self.incarnation {
            self.counts.refused_wrong_incarnation += count as u64;
            return vec![model::StartVerdict::WrongIncarnation; count];
        }
        if !self.is_current_token(token, now) {
            self.counts.refused_stale_epoch += count as u64;
            return vec![model::StartVerdict::StaleEpoch; count];
        }
        request
            .runs
            .into_iter()
            .map(|run| self.start_one(run, now))
            .collect()
    }

    fn start_one(&mut self, run: model::StartRun, now: time::Instant) -> model::StartVerdict {
        if let Some(verdict) = self.verdict_if_known(&run.run) {
            return verdict;
        }
        if self.leaving {
            return model::StartVerdict::Leaving;
        }
        let total_reserved = self.reserved().plus(&run.reserved);
        if !capacity::fits_in_capacity(
            &self.config.capacity,
            &total_reserved,
            self.running.len() + 1,
        ) {
            self.counts.refused_full += 1;
            return model::StartVerdict::Full;
        }
        self.insert(run, now);
        model::StartVerdict::Started
    }

    fn verdict_if_known(&mut self, run: &model::TaskAttempt) -> Option<model::StartVerdict> {
        let retained = self.settled.get(run).map(|retained| &retained.settled);
        if matches!(retained, Some(runs::Settled::Tombstone)) {
            self.counts.refused_tombstoned += 1;
            return Some(model::StartVerdict::Tombstoned);
        }
        let known = retained.is_some()
            || self.running.contains_key(run)
            || self.unacknowledged.contains_key(run);
        self.counts.started_again += u64::from(known);
        known.then_some(model::StartVerdict::Started)
    }

    fn insert(&mut self, start: model::StartRun, now: time::Instant) {
        let id = start.run;
        self.executions.push(executions::Execution {
            run: id,
            worker_id: self.config.worker_id.clone(),
            started_us: clock::to_us(now),
            ended_us: None,
            end: None,
        });
        let run = runs::Running::new(start, &self.faults, now, self.executions.len() - 1);
        self.running.insert(id, run);
        self.counts.started += 1;
        self.count_capacity_overruns();
    }

    fn count_capacity_overruns(&mut self) {
        let fits =
            capacity::fits_in_capacity(&self.config.capacity, &self.reserved(), self.running.len());
        self.counts.overcommits += u64::from(!fits);
        let used_mb: u64 = self
            .running
            .values()
            .map(|run| u64::from(run.used().memory_mb))
            .sum();
        let overrun = used_mb > u64::from(self.config.capacity.resources.memory_mb);
        self.counts.memory_overruns += u64::from(overrun);
    }

    fn reserved(&self) -> model::Demand {
        let zero = model::Demand::default();
        self.running
            .values()
            .fold(zero, |sum, run| sum.plus(&run.start.reserved))
    }

    /// Stops a run, or records a tombstone for one that is not known.
    pub(in crate::worker) fn stop(
        &mut self,
        request: &model::StopRequest,
        now: time::Instant,
    ) -> model::StopReply {
        if let Some(reply) = self.reply_without_stopping(request, now) {
            return reply;
        }
        if let Some(run) = self.running.swap_remove(&request.run) {
            self.record_end(run.execution_index, now, executions::ExecutionEnd::Stopped);
            self.settle(request.run, runs::Settled::Stopped, now);
            return model::StopReply::Stopped;
        }
        self.settle(request.run, runs::Settled::Tombstone, now);
        model::StopReply::NeverStarted
    }

    /// Saves the state of a run and stops it, or records a tombstone for one that is not known.
    pub(in crate::worker) fn checkpoint(
        &mut self,
        request: &model::StopRequest,
        now: time::Instant,
    ) -> model::StopReply {
        if let Some(reply) = self.reply_without_stopping(request, now) {
            return reply;
        }
        let Some(run) = self.running.swap_remove(&request.run) else {
            self.settle(request.run, runs::Settled::Tombstone, now);
            return model::StopReply::NeverStarted;
        };
        let checkpoint = run.checkpoint(now);
        self.finish(&run, now, Some(checkpoint));
        self.outcome_reply(&request.run)
            .unwrap_or(model::StopReply::Stopped)
    }

    fn reply_without_stopping(
        &mut self,
        request: &model::StopRequest,
        now: time::Instant,
    ) -> Option<model::StopReply> {
        let token = LeaseToken {
            instance_id: &request.instance_id,
            epoch: request.epoch,
        };
        if !self.is_current_token(token, now) {
            self.counts.refused_stale_epoch += 1;
            return Some(model::StopReply::StaleEpoch);
        }
        self.outcome_reply(&request.run)
    }

    /// Returns the outcome of a run that has ended or has a tombstone.
    fn outcome_reply(&self, run: &model::TaskAttempt) -> Option<model::StopReply> {
        if let Some(finished) = self.unacknowledged.get(run) {
            return Some(model::StopReply::Finished(
                finished.report(false, &self.faults),
            ));
        }
        Some(match &self.settled.get(run)?.settled {
            runs::Settled::Finished(finished) => {
                model::StopReply::Finished(finished.report(false, &self.faults))
            }
            runs::Settled::Stopped => model::StopReply::Stopped,
            runs::Settled::Tombstone => model::StopReply::NeverStarted,
        })
    }

    /// Limits the processors of a run; returns false if the order does not name the current lease.
    pub(in crate::worker) fn throttle(
        &mut self,
        request: &model::ThrottleRequest,
        now: time::Instant,
    ) -> bool {
        let token = LeaseToken {
            instance_id: &request.instance_id,
            epoch: request.epoch,
        };
        if !self.is_current_token(token, now) {
            self.counts.refused_stale_epoch += 1;
            return false;
        }
        if let Some(run) = self.running.get_mut(&request.run) {
            run.throttle(request.percent, now);
        }
        true
    }
}
