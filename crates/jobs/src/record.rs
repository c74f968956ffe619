//! What the store keeps of a job.
//!
//! A job has two values: its definition, written once at acceptance, and its progress, written at
//! each change. An ended job keeps only the progress value, with the outcome alone.

use std::sync;

use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

use crate::manifest;

/// Prefix of the keys of definitions.
pub const DEFINITION_PREFIX: &str = "ferry/job/";
/// Prefix of the keys of progress.
pub const PROGRESS_PREFIX: &str = "ferry/run/";

/// A job as it was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Definition {
    /// The job.
    pub job: model::Job,
    /// Its queue at acceptance; used once the manifest no longer has the queue.
    pub queue: manifest::Queue,
    /// Wall-clock time of the acceptance, in milliseconds since 1970.
    pub accepted_at_ms: u64,
}

/// How far a job has come.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Progress {
    /// Tasks wait or run.
    Open {
        /// The outcome, if it is known; some runs have not ended yet.
        outcome: Option<model::JobStatus>,
        /// Whether a task has started.
        started: bool,
        /// Worker lives that tasks refer to.
        lives: Vec<model::WorkerLife>,
        /// Tasks by occurrence, step and index.
        tasks: Vec<TaskRecord>,
    },
    /// Nothing is left to do.
    Ended {
        /// The outcome.
        outcome: model::JobStatus,
        /// Wall-clock time of the end, in milliseconds since 1970.
        ended_at_ms: u64,
    },
}

/// How far a task has come.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Whether it waits, runs or is done.
    pub phase: PhaseRecord,
    /// Number of its latest start; 0 before the first.
    pub last_run: model::RunNumber,
    /// Runs that failed.
    pub failures: u32,
    /// The latest run whose failure was counted.
    pub failed_run: model::RunNumber,
    /// Latest saved progress.
    pub checkpoint: Option<sync::Arc<str>>,
}

/// Whether a task waits, runs or is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PhaseRecord {
    /// It waits for a start.
    Waiting,
    /// Its latest run was, or is about to be, started on this entry of the worker lives.
    Placed(u16),
    /// It is done.
    Done,
}

/// Collects the worker lives that the tasks of one job refer to.
#[derive(Debug, Default)]
pub(crate) struct Lives(IndexSet<model::WorkerLife>);

impl Lives {
    /// Returns the index of a life, adding it if it is new.
    pub(crate) fn index_of(&mut self, life: &model::WorkerLife) -> u16 {
        let (index, _) = self.0.insert_full(life.clone());
        u16::try_from(index).unwrap_or(u16::MAX)
    }

    pub(crate) fn into_vec(self) -> Vec<model::WorkerLife> {
        self.0.into_iter().collect()
    }
}

/// Returns the key of a job's definition.
pub(crate) fn definition_key(job_id: model::JobId) -> String {
    format!("{DEFINITION_PREFIX}{job_id:016x}")
}

/// Returns the key of a job's progress.
pub(crate) fn progress_key(job_id: model::JobId) -> String {
    format!("{PROGRESS_PREFIX}{job_id:016x}")
}

/// Returns the job that a key below `prefix` belongs to.
pub(crate) fn job_id_of(key: &str, prefix: &str) -> Option<model::JobId> {
    model::JobId::from_str_radix(key.strip_prefix(prefix)?, 16).ok()
}

/// Encodes a value for the store.
pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Encoding to memory fails only for types that bincode cannot hold; the records are none.
    bincode::serde::encode_to_vec(value, bincode::config::standard()).unwrap_or_default()
}

/// Decodes a value of the store, or says what is wrong with it.
pub(crate) fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
    decoded
        .map(|(value, _)| value)
        .map_err(|error| error.to_string())
}
