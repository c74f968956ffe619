//! Job records as they are written to the store.
//!
//! Each batch is written as one value, a segment, with the newest record of every job that has
//! changed, followed by the lost runs, the tenants and the copies of tasks of these jobs. A later
//! segment takes precedence over an earlier one. Outcomes of ended jobs are moved to values of their
//! own, the archives, which take precedence over every segment.

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
/// Most bytes of an encoded integer.
const MAX_INTEGER_BYTES: usize = 9;

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

/// Outcomes of ended jobs.
pub(crate) type Outcomes = Vec<(model::JobId, Ending)>;

/// The tenant of a job, and the queue that decides who else may see it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Owner {
    /// The tenant.
    pub(crate) tenant: model::TenantName,
    /// The queue.
    pub(crate) queue: model::QueueName,
}

/// Jobs of one tenant and queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct OwnedJobs {
    /// The tenant and the queue.
    pub(crate) owner: Owner,
    /// The jobs.
    pub(crate) job_ids: Vec<model::JobId>,
}

/// Records that are written as one value.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Segment {
    /// Records of the jobs.
    pub(crate) records: Vec<JobRecord>,
    /// Lost runs of some of them.
    pub(crate) losses: Vec<JobLosses>,
    /// Tenants of those with a definition or an end.
    pub(crate) owners: Vec<OwnedJobs>,
    /// Copies of the tasks of open jobs.
    pub(crate) copies: Vec<JobCopies>,
    /// Confirmed runs of open jobs.
    pub(crate) confirmations: Vec<JobConfirmations>,
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

/// Tasks of a job whose latest run is confirmed; see [`crate::job::TaskState::is_confirmed`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct JobConfirmations {
    /// The job.
    pub(crate) job_id: model::JobId,
    /// Positions of the tasks among the task records of the job, in ascending order.
    pub(crate) tasks: Vec<u32>,
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

/// Encodes a segment item by item, so that its size is known while it is filled.
///
/// The lost runs, the tenants, the copies and the confirmed runs follow the records in this order, and are
/// left out from where the rest is empty: builds that do not know them ignore what follows what they know.
#[derive(Debug, Default)]
pub(crate) struct SegmentWriter {
    records: SequenceWriter,
    losses: SequenceWriter,
    copies: SequenceWriter,
    confirmations: SequenceWriter,
    owners: Vec<(model::JobId, Owner)>,
    /// Upper bound of the encoded size of `owners`.
    owners_bytes: usize,
}

impl SegmentWriter {
    /// Adds a record; returns its encoded size in bytes.
    pub(crate) fn add_record(&mut self, record: &JobRecord) -> usize {
        self.records.add(record)
    }

    /// Adds the lost runs of a job.
    pub(crate) fn add_losses(&mut self, losses: &JobLosses) {
        self.losses.add(losses);
    }

    /// Adds the copies of the tasks of a job.
    pub(crate) fn add_copies(&mut self, copies: &JobCopies) {
        self.copies.add(copies);
    }

    /// Adds the confirmed runs of a job.
    pub(crate) fn add_confirmations(&mut self, confirmations: &JobConfirmations) {
        self.confirmations.add(confirmations);
    }

    /// Adds the tenant of a job.
    pub(crate) fn add_owner(&mut self, job_id: model::JobId, owner: Owner) {
        // At most a group of its own: two strings, a list and their lengths.
        self.owners_bytes += owner.tenant.len() + owner.queue.len() + 4 * MAX_INTEGER_BYTES;
        self.owners.push((job_id, owner));
    }

    /// Returns the number of records.
    pub(crate) fn record_count(&self) -> usize {
        self.records.count
    }

    /// Returns an upper bound of the encoded size in bytes.
    pub(crate) fn bytes(&self) -> usize {
        let sequences = [
            &self.records,
            &self.losses,
            &self.copies,
            &self.confirmations,
        ];
        let sequences = sequences.map(|one| one.bytes.len());
        let counts = 5 * MAX_INTEGER_BYTES;
        sequences.iter().sum::<usize>() + self.owners_bytes + counts
    }

    /// Returns the encoded segment.
    pub(crate) fn finish(self) -> Vec<u8> {
        let mut owners = SequenceWriter::default();
        for group in group_by_owner(self.owners) {
            owners.add(&group);
        }
        let optional = [self.losses, owners, self.copies, self.confirmations];
        let last = optional.iter().rposition(|part| part.count > 0);
        let mut bytes = self.records.finish();
        for part in optional.into_iter().take(last.map_or(0, |last| last + 1)) {
            bytes.extend(part.finish());
        }
        bytes
    }
}

/// Encodes a sequence item by item.
#[derive(Debug, Default)]
struct SequenceWriter {
    count: usize,
    /// The encoded items, without the count that precedes them.
    bytes: Vec<u8>,
}

impl SequenceWriter {
    /// Adds an item; returns its encoded size in bytes.
    fn add<T: Serialize>(&mut self, item: &T) -> usize {
        let item = encode(item);
        self.count += 1;
        self.bytes.extend_from_slice(&item);
        item.len()
    }

    fn finish(self) -> Vec<u8> {
        let mut bytes = encode(&self.count);
        bytes.extend(self.bytes);
        bytes
    }
}

/// Decodes a segment; the error is the decoder's message.
pub(crate) fn decode_segment(bytes: &[u8]) -> Result<Segment, String> {
    let (records, rest) = decode_part(bytes)?;
    let (losses, rest) = decode_optional_part(rest)?;
    let (owners, rest) = decode_optional_part(rest)?;
    let (copies, rest) = decode_optional_part(rest)?;
    let (confirmations, _) = decode_optional_part(rest)?;
    Ok(Segment {
        records,
        losses,
        owners,
        copies,
        confirmations,
    })
}

/// Encodes archived outcomes. The tenants follow them, and are left out if there are none.
pub(crate) fn encode_outcomes(outcomes: &Outcomes, owners: &[OwnedJobs]) -> Vec<u8> {
    let mut bytes = encode(&outcomes);
    if !owners.is_empty() {
        bytes.extend(encode(&owners));
    }
    bytes
}

/// Decodes archived outcomes; the error is the decoder's message.
pub(crate) fn decode_outcomes(bytes: &[u8]) -> Result<(Outcomes, Vec<OwnedJobs>), String> {
    let (outcomes, rest) = decode_part(bytes)?;
    let (owners, _) = decode_optional_part(rest)?;
    Ok((outcomes, owners))
}

/// Decodes the first part of a value; returns it with what follows.
fn decode_part<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<(T, &[u8]), String> {
    let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
    let (part, length): (T, usize) = decoded.map_err(|error| error.to_string())?;
    Ok((part, bytes.get(length..).unwrap_or_default()))
}

/// Decodes a part that may have been left out.
fn decode_optional_part<T: serde::de::DeserializeOwned>(
    bytes: &[u8],
) -> Result<(Vec<T>, &[u8]), String> {
    if bytes.is_empty() {
        return Ok((Vec::new(), bytes));
    }
    decode_part(bytes)
}

/// Groups jobs by their tenants and queues.
pub(crate) fn group_by_owner(
    owners: impl IntoIterator<Item = (model::JobId, Owner)>,
) -> Vec<OwnedJobs> {
    let mut groups = maps::IndexMap::<Owner, Vec<model::JobId>>::default();
    for (job_id, owner) in owners {
        groups.entry(owner).or_default().push(job_id);
    }
    let groups = groups.into_iter();
    groups
        .map(|(owner, job_ids)| OwnedJobs { owner, job_ids })
        .collect()
}

/// Returns the tenant and queue of each job.
pub(crate) fn owners_by_job(groups: Vec<OwnedJobs>) -> impl Iterator<Item = (model::JobId, Owner)> {
    groups.into_iter().flat_map(|group| {
        let owner = group.owner;
        group
            .job_ids
            .into_iter()
            .map(move |job_id| (job_id, owner.clone()))
    })
}
