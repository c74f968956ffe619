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
    /// How long running tasks outlive a lapsed lease, in milliseconds.
    pub grace_ms: u64,
    /// Finished runs whose results the holder has passed on.
    pub acknowledged: Vec<ids::TaskAttempt>,
    /// How long the worker may hold the reply back while nothing has finished, in milliseconds.
    pub wait_ms: u64,
}

/// Answer to a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseReply {
    /// The lease is granted or renewed.
    Granted {
        /// Epoch to quote in every order; raised at each grant that is not a renewal in time.
        epoch: ids::Epoch,
        /// This run of the worker process.
        incarnation: ids::Incarnation,
        /// What the worker has.
        capacity: capacity::WorkerCapacity,
        /// Whether the worker wants no new work.
        leaving: bool,
        /// Every run known to the worker; only in the reply to a claim.
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
    /// The quoted epoch is no longer valid: claim again.
    Lapsed,
}

/// Gives a lease back.
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
    /// Which run.
    pub run: ids::TaskAttempt,
    /// The task, whole, so that another owner can adopt it.
    pub task: task::Task,
    /// Generation of the partition that ordered the start.
    pub generation: ids::Generation,
    /// Time since the start, in milliseconds.
    pub running_ms: u64,
    /// Whole resources set aside for the run.
    pub reserved: capacity::Demand,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishedRun {
    /// Which run.
    pub run: ids::TaskAttempt,
    /// The task, whole; only in the reply to a claim.
    pub task: Option<task::Task>,
    /// Whether the work reported success.
    pub succeeded: bool,
    /// Whether the failure is the worker's own, so that another worker may do better.
    pub worker_fault: bool,
    /// Output, whose length and digest are declared beside it.
    pub output: String,
    /// Length of `output` in bytes.
    pub output_bytes: u64,
    /// SHA-256 over the run and `output`, in hexadecimal, so that a crossed answer is noticed.
    pub output_sha256: String,
    /// Run time, in milliseconds.
    pub run_ms: u64,
    /// Largest use that was seen.
    pub peak: capacity::Demand,
    /// State saved by a checkpoint that stopped the run; the run has not ended its work.
    pub checkpoint: Option<String>,
}

/// Usage of one running run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunUsage {
    /// Which run.
    pub run: ids::TaskAttempt,
    /// Latest known use.
    pub used: capacity::Demand,
}

/// Orders a worker to start runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRequest {
    /// The holder.
    pub instance_id: ids::InstanceId,
    /// Epoch of its lease; any other than the current one, or a lapsed one, is refused.
    pub epoch: ids::Epoch,
    /// Run of the worker process that the order is meant for.
    pub incarnation: ids::Incarnation,
    /// What to start.
    pub runs: Vec<StartRun>,
}

/// One run to start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRun {
    /// Which run.
    pub run: ids::TaskAttempt,
    /// The task.
    pub task: task::Task,
    /// Generation of the partition that orders the start.
    pub generation: ids::Generation,
    /// Resources set aside, at least the declared demand.
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

/// What a worker did about one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartVerdict {
    /// It runs now, or ran before: starts are idempotent by run.
    Started,
    /// A tombstone for the run was placed first; it never runs.
    Tombstoned,
    /// The epoch is not the current one, or the lease has lapsed; the run was not started.
    StaleEpoch,
    /// The incarnation is not the current one; the run was not started by this one.
    WrongIncarnation,
    /// The worker has no room; the run was not started.
    Full,
    /// The worker takes no new work; the run was not started.
    Leaving,
}

/// Stops a run, or forbids one that has not arrived.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopRequest {
    /// The holder.
    pub instance_id: ids::InstanceId,
    /// Epoch of its lease.
    pub epoch: ids::Epoch,
    /// Which run.
    pub run: ids::TaskAttempt,
}

/// Answer to a [`StopRequest`], and to a checkpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReply {
    /// The run had never started; a tombstone now forbids it.
    NeverStarted,
    /// The run was stopped in the middle.
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
    /// Which run.
    pub run: ids::TaskAttempt,
    /// Share of its processors that it keeps, from 1 to 100.
    pub percent: u8,
}

impl FinishedRun {
    /// Returns a finished run whose declared length and digest match `output`.
    #[must_use]
    pub fn whole(run: ids::TaskAttempt, succeeded: bool, output: String, run_ms: u64) -> Self {
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

    /// Returns whether the output has its declared length and belongs to its run.
    #[must_use]
    pub fn is_whole(&self) -> bool {
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
