//! Messages between a lease holder and a worker, JSON over HTTP.
//!
//! `POST /v1/lease`, `/v1/release`, `/v1/start`, `/v1/stop`, `/v1/throttle`, `/v1/checkpoint`.

use std::fmt::Write as _;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;

use crate::capacity;
use crate::ids;
use crate::task;

/// Claims or renews the lease of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The claiming instance.
    pub instance_id: ids::InstanceId,
    /// `address:port` of the claiming instance's peer listener.
    pub instance_address: String,
    /// Epoch of the lease to renew; `None` claims a new one.
    pub epoch: Option<ids::Epoch>,
    /// How long the lease lasts from the worker's receipt, in milliseconds.
    pub ttl_ms: u64,
    /// How long running tasks continue after a lease has lapsed, in milliseconds.
    pub grace_ms: u64,
    /// Finished runs whose results the holder has delivered.
    pub acknowledged: Vec<ids::TaskAttempt>,
    /// How long the worker may delay the reply while no run has finished, in milliseconds.
    pub wait_ms: u64,
}

/// Answer to a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseReply {
    /// The lease is granted or renewed.
    Granted {
        /// Epoch to send with every order; increases with each grant that is not a renewal in time.
        epoch: ids::Epoch,
        /// Identifies the run of the worker process.
        incarnation: ids::Incarnation,
        /// The worker's total capacity.
        capacity: capacity::WorkerCapacity,
        /// Whether the worker accepts no new work.
        leaving: bool,
        /// Every task run known to the worker; only in the reply to a claim.
        running: Vec<RunningRun>,
        /// Finished runs that are not acknowledged yet.
        finished: Vec<FinishedRun>,
        /// Latest usage of running tasks; may lag.
        usage: Vec<RunUsage>,
    },
    /// Another instance holds the lease.
    Held {
        /// The holder.
        holder: ids::InstanceId,
        /// `address:port` of the holder's peer listener.
        holder_address: String,
        /// Time until the lease lapses unless it is renewed, in milliseconds.
        remaining_ms: u64,
    },
    /// The epoch in the request is no longer valid: claim again.
    Lapsed,
}

/// Releases a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// The holder.
    pub instance_id: ids::InstanceId,
    /// Epoch of the lease.
    pub epoch: ids::Epoch,
    /// Instance that should claim next.
    pub successor: Option<ids::InstanceId>,
}

/// A run that a worker executes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningRun {
    /// The run.
    pub run: ids::TaskAttempt,
    /// The complete task, so that another owner can adopt it.
    pub task: task::Task,
    /// Generation of the task's partition under which the start was ordered.
    pub generation: ids::Generation,
    /// Time since the start, in milliseconds.
    pub running_ms: u64,
    /// All resources reserved for the run.
    pub reserved: capacity::Demand,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishedRun {
    /// The run.
    pub run: ids::TaskAttempt,
    /// The complete task; only in the reply to a claim.
    pub task: Option<task::Task>,
    /// Whether the work reported success.
    pub succeeded: bool,
    /// Whether the worker caused the failure, so that the run may succeed on another worker.
    pub worker_fault: bool,
    /// Output; its length and digest are sent along.
    pub output: String,
    /// Length of `output` in bytes.
    pub output_bytes: u64,
    /// SHA-256 over the run and `output`, in hexadecimal, so that an answer for another run is
    /// detected.
    pub output_sha256: String,
    /// Run time, in milliseconds.
    pub run_ms: u64,
    /// Peak usage observed.
    pub peak: capacity::Demand,
    /// State saved by a checkpoint that stopped the run; the work is incomplete.
    pub checkpoint: Option<String>,
}

/// Resource usage of one active run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunUsage {
    /// The run.
    pub run: ids::TaskAttempt,
    /// Latest known usage.
    pub used: capacity::Demand,
}

/// Orders a worker to start runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRequest {
    /// The holder.
    pub instance_id: ids::InstanceId,
    /// Epoch of its lease; the worker refuses any but the current one, and a lapsed one.
    pub epoch: ids::Epoch,
    /// Run of the worker process that the order is intended for.
    pub incarnation: ids::Incarnation,
    /// Runs to start.
    pub runs: Vec<StartRun>,
}

/// One run to start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRun {
    /// The run.
    pub run: ids::TaskAttempt,
    /// The task.
    pub task: task::Task,
    /// Generation of the task's partition under which the start is ordered.
    pub generation: ids::Generation,
    /// Resources reserved, at least the declared demand.
    pub reserved: capacity::Demand,
    /// State saved by an earlier checkpoint.
    pub checkpoint: Option<String>,
}

/// Answer to a [`StartRequest`]: a verdict for each run, in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartReply {
    /// Verdicts in the order of the request's runs.
    pub verdicts: Vec<StartVerdict>,
}

/// Result of an order to start one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartVerdict {
    /// It is running, or was started before: starts are idempotent by run.
    Started,
    /// A tombstone for the run was recorded earlier; it never runs.
    Tombstoned,
    /// The epoch is not the current one, or the lease has lapsed; the run was not started.
    StaleEpoch,
    /// The incarnation is not the current one; the current one did not start the run.
    WrongIncarnation,
    /// The worker has no free capacity; the run was not started.
    Full,
    /// The worker accepts no new work; the run was not started.
    Leaving,
}

/// Stops a run, or prevents a run whose start has not arrived.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopRequest {
    /// The holder.
    pub instance_id: ids::InstanceId,
    /// Epoch of its lease.
    pub epoch: ids::Epoch,
    /// The run.
    pub run: ids::TaskAttempt,
}

/// Answer to a [`StopRequest`] or a checkpoint request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReply {
    /// The run had never started; a tombstone now prevents it.
    NeverStarted,
    /// The run was stopped before its end.
    Stopped,
    /// The run had finished, or was checkpointed.
    Finished(FinishedRun),
    /// The epoch is not the current one.
    StaleEpoch,
}

/// Limits the processors of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ThrottleRequest {
    /// The holder.
    pub instance_id: ids::InstanceId,
    /// Epoch of its lease.
    pub epoch: ids::Epoch,
    /// The run.
    pub run: ids::TaskAttempt,
    /// Percentage of its processors that it may still use, from 1 to 100.
    pub percent: u8,
}

impl FinishedRun {
    /// Returns a finished run with the length and digest of `output`.
    #[must_use]
    pub fn with_digest(
        run: ids::TaskAttempt,
        succeeded: bool,
        output: String,
        run_ms: u64,
    ) -> Self {
        Self {
            run,
            task: None,
            succeeded,
            worker_fault: false,
            output_bytes: output.len() as u64,
            output_sha256: output_digest(run, &output),
            output,
            run_ms,
            peak: capacity::Demand::default(),
            checkpoint: None,
        }
    }

    /// Returns whether the output matches the declared length and digest of this run.
    #[must_use]
    pub fn is_intact(&self) -> bool {
        self.output_bytes == self.output.len() as u64
            && self.output_sha256 == output_digest(self.run, &self.output)
    }
}

/// Returns the SHA-256 over `run` and `output` in hexadecimal.
fn output_digest(run: ids::TaskAttempt, output: &str) -> String {
    let mut hasher = sha2::Sha256::new();
    hasher.update(run.task_id.as_bytes());
    hasher.update(run.member.to_be_bytes());
    hasher.update(run.attempt.to_be_bytes());
    hasher.update(output.as_bytes());
    let digest = hasher.finalize();
    digest.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}
