//! The lease and the task table of a worker; decides without I/O, at given times.

use std::time;

use indexmap::IndexMap;

use super::capacity;
use super::config;
use super::executions;
use super::runs;
use crate::clock;
use crate::faults;

/// How often results past their time are dropped.
const PRUNE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// How long a stopped or forbidden run stays known, at least.
const TOMBSTONE_KEEP: time::Duration = time::Duration::from_secs(600);

#[derive(Debug)]
struct Lease {
    holder: model::InstanceId,
    holder_address: String,
    ends: time::Instant,
    grace: time::Duration,
}

impl Lease {
    fn is_live(&self, now: time::Instant) -> bool {
        now < self.ends
    }
}

#[derive(Debug)]
struct Kept {
    settled: runs::Settled,
    until: time::Instant,
}

/// A grant of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Grant {
    /// Epoch of the lease.
    pub(super) epoch: model::Epoch,
    /// Whether it is a new lease, whose reply lists every run.
    pub(super) claimed: bool,
}

/// An order of the holder that names its lease.
#[derive(Clone, Copy, Debug)]
pub(super) struct Authority<'a> {
    /// Who orders.
    pub(super) instance_id: &'a model::InstanceId,
    /// Epoch that it quotes.
    pub(super) epoch: model::Epoch,
}

/// The state of a worker.
#[derive(Debug)]
pub(super) struct Table {
    config: config::WorkerConfig,
    faults: faults::WorkerFaults,
    incarnation: model::Incarnation,
    /// Epoch of the latest grant; kept over restarts, so that none is ever used twice.
    epoch: model::Epoch,
    lease: Option<Lease>,
    leaving: bool,
    running: IndexMap<model::TaskAttempt, runs::Running>,
    unacknowledged: IndexMap<model::TaskAttempt, runs::Finished>,
    settled: IndexMap<model::TaskAttempt, Kept>,
    next_prune: Option<time::Instant>,
    /// Raised by whatever a waiting renewal should be answered for at once.
    changes: u64,
    /// Value of `changes` at the latest answer to the holder.
    reported_changes: u64,
    counts: capacity::WorkerCounts,
    log: Vec<executions::Execution>,
}

impl Table {
    /// Creates a worker without lease or runs.
    pub(super) fn new(config: config::WorkerConfig, incarnation: model::Incarnation) -> Self {
        Self {
            config,
            faults: faults::WorkerFaults::default(),
            incarnation,
            epoch: 0,
            lease: None,
            leaving: false,
            running: IndexMap::new(),
            unacknowledged: IndexMap::new(),
            settled: IndexMap::new(),
            next_prune: None,
            changes: 0,
            reported_changes: 0,
            counts: capacity::WorkerCounts::default(),
            log: Vec::new(),
        }
    }

    pub(super) fn faults_mut(&mut self) -> &mut faults::WorkerFaults {
        &mut self.faults
    }

    pub(super) fn counts_mut(&mut self) -> &mut capacity::WorkerCounts {
        &mut self.counts
    }

    pub(super) fn log(&self) -> &[executions::Execution] {
        &self.log
    }

    pub(super) fn config(&self) -> &config::WorkerConfig {
        &self.config
    }

    pub(super) fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns whether the holder was not told of something yet.
    pub(super) fn has_news(&self) -> bool {
        self.changes != self.reported_changes
    }

    /// Sets whether the worker wants no new work.
    pub(super) fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
        self.changes += 1;
    }

    /// Loses every run and the lease, as a new process of the same worker would.
    pub(super) fn restart(&mut self, incarnation: model::Incarnation, now: time::Instant) {
        for run in std::mem::take(&mut self.running).into_values() {
            self.log_end(run.log_index, now, executions::ExecutionEnd::Crashed);
        }
        self.unacknowledged.clear();
        self.settled.clear();
        self.lease = None;
        self.incarnation = incarnation;
        self.changes += 1;
    }

    /// Returns when [`Table::advance`] has something to do next.
    pub(super) fn next_wake(&self) -> Option<time::Instant> {
        let ends = self.running.values().filter_map(|run| run.ends).min();
        let grace = self.grace_end().filter(|_| !self.running.is_empty());
        [ends, grace, self.next_prune].into_iter().flatten().min()
    }

    fn grace_end(&self) -> Option<time::Instant> {
        self.lease.as_ref().map(|lease| lease.ends + lease.grace)
    }

    /// Ends runs whose time has come, and forgets what was kept long enough.
    pub(super) fn advance(&mut self, now: time::Instant) {
        self.finish_due(now);
        if self.grace_end().is_some_and(|grace_end| grace_end <= now) {
            self.stop_all_after_grace(now);
        }
        if self.next_prune.is_some_and(|due| due <= now) {
            self.settled.retain(|_, kept| now < kept.until);
            self.next_prune = (!self.settled.is_empty()).then(|| now + PRUNE_INTERVAL);
        }
    }

    fn finish_due(&mut self, now: time::Instant) {
        let grace_end = self.grace_end();
        let due = self.running.values().filter(|run| {
            run.ends
                .is_some_and(|ends| ends <= now && grace_end.is_none_or(|grace| ends < grace))
        });
        let due: Vec<_> = due.map(|run| run.start.run).collect();
        for id in due {
            let Some(run) = self.running.swap_remove(&id) else {
                continue;
            };
            let ended = run.ends.unwrap_or(now);
            self.finish(&run, ended, None);
        }
    }

    fn finish(&mut self, run: &runs::Running, at: time::Instant, checkpoint: Option<String>) {
        let checkpointed = checkpoint.is_some();
        let finished = runs::Finished::new(run, at, checkpoint);
        let end = match (checkpointed, finished.succeeded) {
            (true, _) => executions::ExecutionEnd::Checkpointed,
            (false, true) => executions::ExecutionEnd::Finished,
            (false, false) => executions::ExecutionEnd::Failed,
        };
        self.log_end(run.log_index, at, end);
        self.counts.finished += 1;
        self.changes += 1;
        self.unacknowledged.insert(finished.run, finished);
    }

    fn stop_all_after_grace(&mut self, now: time::Instant) {
        for run in std::mem::take(&mut self.running).into_values() {
            self.log_end(run.log_index, now, executions::ExecutionEnd::Lapsed);
            self.counts.stopped_after_grace += 1;
            self.settle(run.start.run, runs::Settled::Stopped, now);
        }
    }

    fn settle(&mut self, run: model::TaskAttempt, settled: runs::Settled, now: time::Instant) {
        let keep = match settled {
            runs::Settled::Finished(_) => self.config.keep,
            runs::Settled::Stopped | runs::Settled::Tombstone => TOMBSTONE_KEEP,
        };
        self.settled.insert(
            run,
            Kept {
                settled,
                until: now + keep,
            },
        );
        self.next_prune.get_or_insert(now + PRUNE_INTERVAL);
    }

    fn log_end(&mut self, index: usize, at: time::Instant, end: executions::ExecutionEnd) {
        if let Some(execution) = self.log.get_mut(index) {
            execution.ended_us = Some(clock::to_us(at));
            execution.end = Some(end);
        }
    }

    /// Claims or renews the lease.
    pub(super) fn grant(
        &mut self,
        request: &model::LeaseRequest,
        now: time::Instant,
    ) -> Result<Grant, model::LeaseReply> {
        let claimed = match request.epoch {
            Some(epoch)
                if self.allows(
                    Authority {
                        instance_id: &request.instance_id,
                        epoch,
                    },
                    now,
                ) =>
            {
                false
            }
            Some(_) => {
                self.counts.refused_stale_epoch += 1;
                return Err(model::LeaseReply::Lapsed);
            }
            None => {
                self.check_free_for(&request.instance_id, now)?;
                self.epoch += 1;
                true
            }
        };
        self.lease = Some(Lease {
            holder: request.instance_id.clone(),
            holder_address: request.instance_address.clone(),
            ends: now + time::Duration::from_millis(request.ttl_ms),
            grace: time::Duration::from_millis(request.grace_ms),
        });
        self.acknowledge(&request.acknowledged, now);
        Ok(Grant {
            epoch: self.epoch,
            claimed,
        })
    }

    /// Refuses a claim while another instance holds the lease.
    fn check_free_for(
        &self,
        instance_id: &model::InstanceId,
        now: time::Instant,
    ) -> Result<(), model::LeaseReply> {
        let Some(lease) = self.lease.as_ref().filter(|lease| lease.is_live(now)) else {
            return Ok(());
        };
        if lease.holder == *instance_id {
            return Ok(());
        }
        Err(model::LeaseReply::Held {
            holder: lease.holder.clone(),
            holder_address: lease.holder_address.clone(),
            remaining_ms: clock::whole_ms(lease.ends - now),
        })
    }

    fn acknowledge(&mut self, acknowledged: &[model::TaskAttempt], now: time::Instant) {
        for run in acknowledged {
            if let Some(finished) = self.unacknowledged.shift_remove(run) {
                self.settle(*run, runs::Settled::Finished(Box::new(finished)), now);
            }
        }
    }

    /// Returns whether an order comes from the holder of the current lease, still in its time.
    fn allows(&self, authority: Authority<'_>, now: time::Instant) -> bool {
        self.lease.as_ref().is_some_and(|lease| {
            lease.is_live(now)
                && lease.holder == *authority.instance_id
                && self.epoch == authority.epoch
        })
    }

    /// Answers a grant, possibly some time after it.
    pub(super) fn lease_reply(&mut self, grant: Grant, now: time::Instant) -> model::LeaseReply {
        let live = self.lease.as_ref().is_some_and(|lease| lease.is_live(now));
        if grant.epoch != self.epoch || !live {
            return model::LeaseReply::Lapsed;
        }
        self.reported_changes = self.changes;
        let running = self.running.values().filter(|_| grant.claimed);
        model::LeaseReply::Granted {
            epoch: grant.epoch,
            incarnation: self.incarnation,
            capacity: self.config.capacity,
            leaving: self.leaving,
            running: running.map(|run| run.report(now)).collect(),
            finished: self.finished_reports(grant.claimed),
            usage: self.usage(now),
        }
    }

    fn finished_reports(&self, with_task: bool) -> Vec<model::FinishedRun> {
        let copies = if self.faults.doubled_answers { 2 } else { 1 };
        self.unacknowledged
            .values()
            .flat_map(|finished| {
                let report = finished.report(with_task, &self.faults);
                std::iter::repeat_n(report, copies)
            })
            .collect()
    }

    fn usage(&self, now: time::Instant) -> Vec<model::RunUsage> {
        self.running
            .values()
            .filter(|run| run.started + self.config.usage_lag <= now)
            .map(|run| model::RunUsage {
                run: run.start.run,
                used: run.used(),
            })
            .collect()
    }

    /// Gives the lease back; its runs live on for the grace time.
    pub(super) fn release(&mut self, authority: Authority<'_>, now: time::Instant) {
        if !self.allows(authority, now) {
            return;
        }
        if let Some(lease) = &mut self.lease {
            lease.ends = now;
        }
        self.changes += 1;
    }

    /// Starts runs; a verdict for each, in order.
    pub(super) fn start(
        &mut self,
        request: model::StartRequest,
        now: time::Instant,
    ) -> Vec<model::StartVerdict> {
        let authority = Authority {
            instance_id: &request.instance_id,
            epoch: request.epoch,
        };
        let count = request.runs.len();
        if request.incarnation != self.incarnation {
            self.counts.refused_wrong_incarnation += count as u64;
            return vec![model::StartVerdict::WrongIncarnation; count];
        }
        if !self.allows(authority, now) {
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
        if let Some(verdict) = self.verdict_of_known(&run.run) {
            return verdict;
        }
        if self.leaving {
            return model::StartVerdict::Leaving;
        }
        let taken = self.reserved().plus(&run.reserved);
        if !capacity::has_room(&self.config.capacity, &taken, self.running.len() + 1) {
            self.counts.refused_full += 1;
            return model::StartVerdict::Full;
        }
        self.insert(run, now);
        model::StartVerdict::Started
    }

    fn verdict_of_known(&mut self, run: &model::TaskAttempt) -> Option<model::StartVerdict> {
        let kept = self.settled.get(run).map(|kept| &kept.settled);
        if matches!(kept, Some(runs::Settled::Tombstone)) {
            self.counts.refused_tombstoned += 1;
            return Some(model::StartVerdict::Tombstoned);
        }
        let known = kept.is_some()
            || self.running.contains_key(run)
            || self.unacknowledged.contains_key(run);
        self.counts.started_again += u64::from(known);
        known.then_some(model::StartVerdict::Started)
    }

    fn insert(&mut self, start: model::StartRun, now: time::Instant) {
        let id = start.run;
        self.log.push(executions::Execution {
            run: id,
            worker_id: self.config.worker_id.clone(),
            started_us: clock::to_us(now),
            ended_us: None,
            end: None,
        });
        let run = runs::Running::new(start, &self.faults, now, self.log.len() - 1);
        self.running.insert(id, run);
        self.counts.started += 1;
        self.check_invariants();
    }

    fn check_invariants(&mut self) {
        let fits = capacity::has_room(&self.config.capacity, &self.reserved(), self.running.len());
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
        let none = model::Demand::default();
        self.running
            .values()
            .fold(none, |sum, run| sum.plus(&run.start.reserved))
    }

    /// Stops a run, or forbids one that has not arrived.
    pub(super) fn stop(
        &mut self,
        request: &model::StopRequest,
        now: time::Instant,
    ) -> model::StopReply {
        if let Some(reply) = self.reply_without_stopping(request, now) {
            return reply;
        }
        if let Some(run) = self.running.swap_remove(&request.run) {
            self.log_end(run.log_index, now, executions::ExecutionEnd::Stopped);
            self.settle(request.run, runs::Settled::Stopped, now);
            return model::StopReply::Stopped;
        }
        self.settle(request.run, runs::Settled::Tombstone, now);
        model::StopReply::NeverStarted
    }

    /// Saves the state of a run and stops it; one that is not known is forbidden.
    pub(super) fn checkpoint(
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
        let state = run.checkpoint(now);
        self.finish(&run, now, Some(state));
        self.reply_of_known(&request.run)
            .unwrap_or(model::StopReply::Stopped)
    }

    fn reply_without_stopping(
        &mut self,
        request: &model::StopRequest,
        now: time::Instant,
    ) -> Option<model::StopReply> {
        let authority = Authority {
            instance_id: &request.instance_id,
            epoch: request.epoch,
        };
        if !self.allows(authority, now) {
            self.counts.refused_stale_epoch += 1;
            return Some(model::StopReply::StaleEpoch);
        }
        self.reply_of_known(&request.run)
    }

    /// Returns what became of a run that has ended or was forbidden.
    fn reply_of_known(&self, run: &model::TaskAttempt) -> Option<model::StopReply> {
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

    /// Limits the processors of a run; returns whether the order was allowed.
    pub(super) fn throttle(
        &mut self,
        request: &model::ThrottleRequest,
        now: time::Instant,
    ) -> bool {
        let authority = Authority {
            instance_id: &request.instance_id,
            epoch: request.epoch,
        };
        if !self.allows(authority, now) {
            self.counts.refused_stale_epoch += 1;
            return false;
        }
        if let Some(run) = self.running.get_mut(&request.run) {
            run.throttle(request.percent, now);
        }
        true
    }
}
