//! Memory that open jobs take, and the limit on it.
//!
//! What a job may take is counted once, when it is accepted, from its decoded form. A new leader holds the
//! same jobs, so that the limit bounds it as well; it counts what it recovers, and refuses none of it.

use std::collections;
use std::time;

use crate::event;
use crate::job;
use crate::journal;
use crate::requests;
use crate::scheduler;
use crate::worker;

/// Memory of a list or a text beside its content, in bytes: what the allocator adds.
const ALLOCATION_BYTES: usize = 24;
/// Maps and sets are half full at worst.
const MAP_FACTOR: usize = 2;
/// A job is small if it takes at most one part in this many of the limit.
const SMALL_JOB_DIVISOR: usize = 512;
/// One part in this many of the limit is for small jobs only.
const SMALL_JOBS_SHARE_DIVISOR: usize = 4;
/// Time over which the rate of ending jobs is measured.
const RATE_WINDOW: time::Duration = time::Duration::from_secs(10);
/// Shortest delay before callers should retry.
const MIN_RETRY_MS: u64 = 2_000;
/// Longest delay before callers should retry; jobs that end later than expected free room all the same.
const MAX_RETRY_MS: u64 = 30_000;

impl job::JobState {
    /// Returns the memory that the job may take, in bytes: its state, with each task placed, and its entries
    /// in the queue and at the workers. Checkpoints, failed runs and tickets are not counted.
    pub(crate) fn count_memory(&self) -> usize {
        let per_job = MAP_FACTOR * size_of::<(model::JobId, Self)>() + self.job.memory_bytes();
        let occurrences: usize = self.occurrences.iter().map(occurrence_bytes).sum();
        per_job + occurrences
    }
}

fn occurrence_bytes(occurrence: &job::Occurrence) -> usize {
    let scheduled = MAP_FACTOR * size_of::<(u64, model::JobId, u32)>();
    let steps: usize = occurrence.steps.iter().map(step_bytes).sum();
    size_of::<job::Occurrence>() + ALLOCATION_BYTES + scheduled + steps
}

fn step_bytes(step: &job::StepState) -> usize {
    let waiting = size_of::<scheduler::WaitingStep>() + size_of::<model::StepKey>();
    let tasks = step.tasks.len() * (size_of::<job::TaskState>() + run_bytes());
    size_of::<job::StepState>() + ALLOCATION_BYTES + MAP_FACTOR * waiting + tasks
}

/// Returns the memory of a run at its worker.
fn run_bytes() -> usize {
    MAP_FACTOR * size_of::<(model::RunKey, worker::WorkerRun)>()
}

/// Memory of the open jobs.
#[derive(Debug, Default)]
pub(crate) struct OpenMemory {
    /// Sum of what was counted for each open job.
    bytes: usize,
    /// Jobs that have ended within `RATE_WINDOW`, oldest first: when, and what was counted for them.
    ended: collections::VecDeque<(time::Instant, usize)>,
    /// Sum over `ended`.
    ended_bytes: usize,
    /// Jobs refused as there was no memory, since the term began.
    pub(crate) refused_jobs: u64,
}

impl OpenMemory {
    /// Returns the sum of what was counted for the open jobs, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn add(&mut self, state: &job::JobState) {
        self.bytes += state.memory_bytes;
    }

    pub(crate) fn remove(&mut self, state: &job::JobState) {
        self.bytes -= state.memory_bytes;
    }

    /// Records that a job has ended, for the rate at which room becomes free.
    pub(crate) fn record_end(&mut self, memory_bytes: usize, now: time::Instant) {
        self.ended.push_back((now, memory_bytes));
        self.ended_bytes += memory_bytes;
        self.forget_ends(now);
    }

    fn forget_ends(&mut self, now: time::Instant) {
        while let Some((ended_at, bytes)) = self.ended.front().copied()
            && now.saturating_duration_since(ended_at) > RATE_WINDOW
        {
            self.ended.pop_front();
            self.ended_bytes -= bytes;
        }
    }

    /// Returns the delay after which `missing_bytes` are free if jobs go on to end at the same rate.
    fn retry_ms(&mut self, missing_bytes: usize, now: time::Instant) -> u64 {
        self.forget_ends(now);
        let window_ms = RATE_WINDOW.as_millis() as u64;
        let delay_ms = match self.ended_bytes as u64 {
            0 => window_ms,
            ended_bytes => (missing_bytes as u64 * window_ms).div_ceil(ended_bytes),
        };
        delay_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS)
    }
}

impl scheduler::Scheduler {
    /// Refuses a job for which there is no memory.
    pub(crate) fn refuse_without_memory(
        &mut self,
        state: &job::JobState,
        clock: event::Clock,
    ) -> Option<model::JobReply> {
        let limit_bytes = self.settings.max_open_bytes;
        let is_small = state.memory_bytes <= limit_bytes / SMALL_JOB_DIVISOR;
        let limit_bytes = match is_small {
            true => limit_bytes,
            false => limit_bytes - limit_bytes / SMALL_JOBS_SHARE_DIVISOR,
        };
        let needed_bytes = self.open_memory.bytes() + state.memory_bytes;
        if needed_bytes <= limit_bytes {
            return None;
        }
        log::info!(
            job:% = journal::job_id_hex(state.job.id),
            bytes = state.memory_bytes,
            open_bytes = self.open_memory.bytes(),
            limit_bytes;
            "submission refused: no memory for the job"
        );
        self.open_memory.refused_jobs += 1;
        if state.memory_bytes > limit_bytes {
            return Some(requests::refused(model::RefusalReason::TooLarge, 0));
        }
        let missing_bytes = needed_bytes - limit_bytes;
        let retry_ms = self.open_memory.retry_ms(missing_bytes, clock.now);
        let reason = model::RefusalReason::NoMemory;
        Some(requests::refused(reason, retry_ms))
    }
}
