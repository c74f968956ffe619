//! Job records as they are written to the store.
//!
//! Each batch is written as one value, a segment, with the newest record of every job that has
//! changed, followed by the lost runs and the copies of these jobs. A later segment takes precedence over an
//! earlier one. Outcomes of ended jobs are moved to values of their own, the archives, which take
//! precedence over every segment.

use std::sync;

use serde::Deserialize;
use serde::Serialize;

use crate::event;
use crate::manifest;
use crate::maps;

/// Prefix of the keys of segments.
pub const SEGMENT_PREFIX: &str = "ferry/segment/";
/// Prefix of the keys of archived outcomes.
pub const OUTCOME_PREFIX: &str = "ferry/outcome/";

/// Identifies a segment; a later one is larger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct SegmentId {
    /// Term of the leader that wrote it.
    pub(crate) term: model::Term,
    /// The batch.
    pub(crate) batch: event::BatchId,
}

impl SegmentId {
    /// Returns the key below `prefix`; the order of keys is that of the ids.
    pub(crate) fn key(self, prefix: &str) -> String {
        format!("{prefix}{:016x}-{:08x}", self.term, self.batch)
    }

    /// Returns the id of a key below `prefix`.
    pub(crate) fn from_key(key: &str, prefix: &str) -> Option<Self> {
        let (term, batch) = key.strip_prefix(prefix)?.split_once('-')?;
        Some(Self {
            term: model::Term::from_str_radix(term, 16).ok()?,
            batch: event::BatchId::from_str_radix(batch, 16).ok()?,
        })
    }
}

/// The newest record of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct JobRecord {
    /// The job.
    pub(crate) job_id: model::JobId,
    /// The job as it was accepted; `None` if an earlier segment has it or the job has ended.
    pub(crate) definition: Option<Definition>,
    /// Its progress.
    pub(crate) progress: Progress,
}

/// A job as it was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Definition {
    /// The job.
    pub(crate) job: model::Job,
    /// Its queue at acceptance; used once the manifest no longer has the queue.
    pub(crate) queue: manifest::Queue,
    /// Wall-clock time of the acceptance, in milliseconds since 1970.
    pub(crate) accepted_at_ms: u64,
}

/// Progress of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Progress {
    /// The job has not ended: tasks wait or run.
    Open {
        /// The outcome, if it is decided but some runs have not ended yet.
        outcome: Option<model::JobStatus>,
        /// Whether a task has started.
        started: bool,
        /// Worker incarnations that tasks refer to.
        #[serde(rename = "lives")]
        incarnations: Vec<model::WorkerIncarnation>,
        /// Tasks by occurrence, step and index.
        tasks: Vec<TaskRecord>,
    },
    /// The outcome is decided and no run is left.
    Ended(Ending),
}

/// The end of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Ending {
    /// The outcome.
    pub(crate) outcome: model::JobStatus,
    /// Wall-clock time of the end, in milliseconds since 1970.
    pub(crate) ended_at_ms: u64,
}

/// Progress of a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct TaskRecord {
    /// Its phase.
    pub(crate) phase: PhaseRecord,
    /// Number of its latest run; 0 before the first.
    pub(crate) last_run: model::RunNumber,
    /// Runs that failed.
    pub(crate) failed_runs: Vec<model::RunNumber>,
    /// Latest checkpoint.
    pub(crate) checkpoint: Option<sync::Arc<str>>,
}

/// Lost runs of the tasks of a job, by task; those of a gang are recorded at its first task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct JobLosses {
    /// The job.
    pub(crate) job_id: model::JobId,
    /// Lost runs by task.
    pub(crate) tasks: Vec<(model::TaskKey, Vec<LossRecord>)>,
    /// Addresses of the workers that have runs of these tasks; a later leader may no longer find
    /// them in the directory.
    pub(crate) addresses: Vec<(model::WorkerIncarnation, sync::Arc<str>)>,
}

/// Copies of the tasks of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct JobCopies {
    /// The job.
    pub(crate) job_id: model::JobId,
    /// Copies by task.
    pub(crate) copies: Vec<(model::TaskKey, CopyRecord)>,
}

/// A copy of a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct CopyRecord {
    /// The run.
    pub(crate) run: model::RunNumber,
    /// The incarnation of the worker that has it; `None` once it has ended.
    pub(crate) incarnation: Option<model::WorkerIncarnation>,
}

/// A lost run whose worker may have crashed under it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LossRecord {
    /// The run.
    pub(crate) run: model::RunNumber,
    /// The incarnation of the worker that had it.
    pub(crate) incarnation: model::WorkerIncarnation,
    /// Address of the worker, if known.
    pub(crate) address: Option<sync::Arc<str>>,
    /// Whether the run was among those that had begun last on the worker.
    pub(crate) is_early: bool,
    /// Whether a run of its job is known to have started last on the worker, and no run of another job
    /// can have caused a crash at its start.
    pub(crate) is_attributable: bool,
    /// Whether the worker has crashed; otherwise its fate is not known.
    pub(crate) is_crash: bool,
}

/// Phase of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PhaseRecord {
    /// It waits to be placed.
    Waiting,
    /// Its latest run was, or is about to be, started on the entry of `incarnations` with this
    /// index.
    Placed(u16),
    /// It is done.
    Done,
}

/// Table of the worker incarnations that the tasks of one job refer to by index.
#[derive(Debug, Default)]
pub(crate) struct IncarnationTable(maps::IndexSet<model::WorkerIncarnation>);

impl IncarnationTable {
    /// Returns the index of an incarnation, adding it if it is new.
    pub(crate) fn index_of(&mut self, incarnation: &model::WorkerIncarnation) -> u16 {
        let (index, _) = self.0.insert_full(incarnation.clone());
        u16::try_from(index).unwrap_or(u16::MAX)
    }

    pub(crate) fn into_vec(self) -> Vec<model::WorkerIncarnation> {
        self.0.into_iter().collect()
    }
}

/// Encodes a value for the store.
pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Encoding to memory fails only for types that bincode does not support; records have none.
    bincode::serde::encode_to_vec(value, bincode::config::standard()).unwrap_or_default()
}

/// Encodes a segment.
///
/// The lost runs follow the records, and the copies follow these; what is empty is left out at the
/// end. Builds that do not know them ignore what follows.
pub(crate) fn encode_segment(
    records: &[JobRecord],
    losses: &[JobLosses],
    copies: &[JobCopies],
) -> Vec<u8> {
    let mut bytes = encode(&records);
    if !losses.is_empty() || !copies.is_empty() {
        bytes.extend(encode(&losses));
    }
    if !copies.is_empty() {
        bytes.extend(encode(&copies));
    }
    bytes
}

/// Contents of a segment.
#[derive(Debug)]
pub(crate) struct Segment {
    pub(crate) records: Vec<JobRecord>,
    pub(crate) losses: Vec<JobLosses>,
    pub(crate) copies: Vec<JobCopies>,
}

/// Decodes a segment; the error is the decoder's message.
pub(crate) fn decode_segment(bytes: &[u8]) -> Result<Segment, String> {
    let mut rest = bytes;
    let records = decode_next(&mut rest)?;
    let mut losses = Vec::new();
    let mut copies = Vec::new();
    if !rest.is_empty() {
        losses = decode_next(&mut rest)?;
    }
    if !rest.is_empty() {
        copies = decode_next(&mut rest)?;
    }
    Ok(Segment {
        records,
        losses,
        copies,
    })
}

/// Decodes the first value of `rest`, and removes it from there.
fn decode_next<T: serde::de::DeserializeOwned>(rest: &mut &[u8]) -> Result<T, String> {
    let decoded = bincode::serde::decode_from_slice(rest, bincode::config::standard());
    let (value, length): (T, usize) = decoded.map_err(|error| error.to_string())?;
    *rest = rest.get(length..).unwrap_or_default();
    Ok(value)
}

/// Decodes a value of the store; the error is the decoder's message.
pub(crate) fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
    decoded
        .map(|(value, _)| value)
        .map_err(|error| error.to_string())
}
