//! The lease and the runs of a worker, as a state machine without I/O that is passed the time.

mod lease;
mod orders;

use std::time;

use indexmap::IndexMap;

use super::capacity;
use super::config;
use super::executions;
use super::runs;
use crate::clock;
use crate::faults;

/// Interval at which outcomes past their retention time are removed.
const PRUNE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Minimum time that a stopped run or a tombstone is retained.
const TOMBSTONE_RETENTION: time::Duration = time::Duration::from_secs(600);

#[derive(Debug)]
struct Lease {
    holder: model::InstanceId,
    holder_address: String,
    expires_at: time::Instant,
    grace: time::Duration,
}

impl Lease {
    fn is_live(&self, now: time::Instant) -> bool {
        now < self.expires_at
    }
}

#[derive(Debug)]
struct RetainedOutcome {
    settled: runs::Settled,
    retained_until: time::Instant,
}

/// A granted or renewed lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Grant {
    /// Epoch of the lease.
    pub(super) epoch: model::Epoch,
    /// Whether the lease was claimed rather than renewed; the reply to a claim lists all runs.
    pub(super) claimed: bool,
}

/// The lease that a request of the holder names.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaseToken<'a> {
    /// The instance that sent the request.
    pub(super) instance_id: &'a model::InstanceId,
    /// Epoch of its lease.
    pub(super) epoch: model::Epoch,
}

/// The state of a worker.
#[derive(Debug)]
pub(super) struct WorkerState {
    config: config::WorkerConfig,
    faults: faults::WorkerFaults,
    incarnation: model::Incarnation,
    /// Epoch of the latest claim; survives restarts, so that no epoch is used twice.
    epoch: model::Epoch,
    lease: Option<Lease>,
    leaving: bool,
    running: IndexMap<model::TaskAttempt, runs::Running>,
    unacknowledged: IndexMap<model::TaskAttempt, runs::Finished>,
    settled: IndexMap<model::TaskAttempt, RetainedOutcome>,
    next_prune: Option<time::Instant>,
    /// Incremented by every change that a waiting renewal has to report immediately.
    changes: u64,
    /// Value of `changes` at the latest lease reply.
    reported_changes: u64,
    counts: capacity::WorkerCounts,
    executions: Vec<executions::Execution>,
}

impl WorkerState {
    /// Creates a worker without a lease or runs.
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
            executions: Vec::new(),
        }
    }

    pub(super) fn faults_mut(&mut self) -> &mut faults::WorkerFaults {
        &mut self.faults
    }

    pub(super) fn counts_mut(&mut self) -> &mut capacity::WorkerCounts {
        &mut self.counts
    }

    pub(super) fn executions(&self) -> &[executions::Execution] {
        &self.executions
    }

    pub(super) fn config(&self) -> &config::WorkerConfig {
        &self.config
    }

    pub(super) fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns whether there are changes that no lease reply has reported.
    pub(super) fn has_unreported_changes(&self) -> bool {
        self.changes != self.reported_changes
    }

    /// Sets whether the worker is leaving and accepts no new work.
    pub(super) fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
        self.changes += 1;
    }

    /// Discards the runs, results and lease, as a restart of the worker's process does.
    pub(super) fn restart(&mut self, incarnation: model::Incarnation, now: time::Instant) {
        for run in std::mem::take(&mut self.running).into_values() {
            self.record_end(run.execution_index, now, executions::ExecutionEnd::Crashed);
        }
        self.unacknowledged.clear();
        self.settled.clear();
        self.lease = None;
        self.incarnation = incarnation;
        self.changes += 1;
    }

    /// Returns when [`WorkerState::advance`] has something to do next.
    pub(super) fn next_wake(&self) -> Option<time::Instant> {
        let run_end = self.running.values().filter_map(|run| run.ends_at).min();
        let grace_end = self.grace_end().filter(|_| !self.running.is_empty());
        [run_end, grace_end, self.next_prune]
            .into_iter()
            .flatten()
            .min()
    }

    fn grace_end(&self) -> Option<time::Instant> {
        self.lease
            .as_ref()
            .map(|lease| lease.expires_at + lease.grace)
    }

    /// Ends runs that are due, stops all runs once the grace time has passed, and removes outcomes
    /// past their retention time.
    pub(super) fn advance(&mut self, now: time::Instant) {
        self.finish_due(now);
        if self.grace_end().is_some_and(|grace_end| grace_end <= now) {
            self.stop_all_after_grace(now);
        }
        if self.next_prune.is_some_and(|due| due <= now) {
            self.settled
                .retain(|_, retained| now < retained.retained_until);
            self.next_prune = (!self.settled.is_empty()).then(|| now + PRUNE_INTERVAL);
        }
    }

    fn finish_due(&mut self, now: time::Instant) {
        let grace_end = self.grace_end();
        let due = self.running.values().filter(|run| {
            run.ends_at.is_some_and(|ends_at| {
                ends_at <= now && grace_end.is_none_or(|grace_end| ends_at < grace_end)
            })
        });
        let due: Vec<_> = due.map(|run| run.start.run).collect();
        for id in due {
            let Some(run) = self.running.swap_remove(&id) else {
                continue;
            };
            let ended = run.ends_at.unwrap_or(now);
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
        self.record_end(run.execution_index, at, end);
        self.counts.finished += 1;
        self.changes += 1;
        self.unacknowledged.insert(finished.run, finished);
    }

    fn stop_all_after_grace(&mut self, now: time::Instant) {
        for run in std::mem::take(&mut self.running).into_values() {
            self.record_end(run.execution_index, now, executions::ExecutionEnd::Lapsed);
            self.counts.stopped_after_grace += 1;
            self.settle(run.start.run, runs::Settled::Stopped, now);
        }
    }

    fn settle(&mut self, run: model::TaskAttempt, settled: runs::Settled, now: time::Instant) {
        let retention = match settled {
            runs::Settled::Finished(_) => self.config.result_retention,
            runs::Settled::Stopped | runs::Settled::Tombstone => TOMBSTONE_RETENTION,
        };
        self.settled.insert(
            run,
            RetainedOutcome {
                settled,
                retained_until: now + retention,
            },
        );
        self.next_prune.get_or_insert(now + PRUNE_INTERVAL);
    }

    fn record_end(&mut self, index: usize, at: time::Instant, end: executions::ExecutionEnd) {
        if let Some(execution) = self.executions.get_mut(index) {
            execution.ended_us = Some(clock::to_us(at));
            execution.end = Some(end);
        }
    }

    /// Returns whether a request names the current lease, and the lease has not lapsed.
    fn is_current_token(&self, token: LeaseToken<'_>, now: time::Instant) -> bool {
        self.lease.as_ref().is_some_and(|lease| {
            lease.is_live(now) && lease.holder == *token.instance_id && self.epoch == token.epoch
        })
    }
}
