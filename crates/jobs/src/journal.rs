//! Tracks which jobs have changed since they were last stored, and writes them in batches.

use std::collections;
use std::time;

use crate::ended;
use crate::event;
use crate::job;
use crate::maps;
use crate::record;
use crate::requests;
use crate::scheduler;
use crate::segments;

/// Most keys that a batch deletes: a transaction of the store is limited to 32 entries, a few of
/// which are the segment, its conditions and archived outcomes.
const MAX_DELETES: usize = 24;
/// A segment is filled up to one part in this many of the largest value that the store accepts; the last
/// record may take the rest.
const BATCH_BYTES_DIVISOR: usize = 4;
/// Most ended jobs whose outcomes are archived into one value, which takes some 40 bytes for each.
const MAX_ARCHIVED_JOBS: usize = 4_096;
/// Most batches in flight; more than one only while the store is slow.
const MAX_IN_FLIGHT: usize = 16;
/// Shortest time between two batches: each is a call that the platform counts, and a job waits for
/// three of them in turn.
const MIN_BATCH_INTERVAL: time::Duration = time::Duration::from_millis(12);
/// Time after which the next batch is sent although the one before is not confirmed.
const MIN_PIPELINE_INTERVAL: time::Duration = time::Duration::from_millis(40);
/// Longest time for which a change waits for the next batch that is sent for others.
const MAX_DEFERRAL: time::Duration = time::Duration::from_millis(2_000);
/// Time between batches while the store is unreachable; each only probes whether it is back.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(300);
/// Shortest age of an unconfirmed batch from which no more batches are sent; a slow store still
/// answers within a quarter of a second.
const MIN_STALL_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Age of an unconfirmed batch from which no more batches are sent, as a multiple of the mean
/// commit latency.
const STALL_TIMEOUT_FACTOR: u32 = 3;
/// The newest latency has a weight of one part in this many in the mean commit latency.
const LATENCY_SMOOTHING: u32 = 4;
/// Outcomes are archived into one value once there are at least this many unarchived ended jobs.
const MIN_ARCHIVED_JOBS: usize = 64;
/// Number of segments, beyond twice the number of open jobs, above which the oldest are compacted;
/// an open job keeps two at the most.
const SEGMENT_ALLOWANCE: usize = 240;
/// Bytes of segments below which their size causes no compaction: a new leader reads them in a
/// fraction of a second even over a slow link.
const SEGMENT_BYTES_ALLOWANCE: usize = 512 * 1024;
/// Bytes of segments above which the oldest are compacted, as a multiple of the bytes of the open
/// jobs' records; `SEGMENT_BYTES_ALLOWANCE` is added.
const SEGMENT_BYTES_FACTOR: usize = 3;
/// Number of the oldest segments that are compacted at once.
const COMPACTED_SEGMENTS: usize = 16;

/// Jobs that have changed since they were last stored, and the batches in flight.
#[derive(Debug, Default)]
pub(crate) struct Journal {
    dirty: maps::IndexSet<model::JobId>,
    /// Jobs whose change is of use to a successor only: the next batch takes them, and they cause one of
    /// their own only after `MAX_DEFERRAL`.
    deferred: maps::IndexSet<model::JobId>,
    /// When the first of `deferred` was added.
    deferred_since: Option<time::Instant>,
    /// Jobs of batches that the store has refused, in halves, each of which becomes a batch; none of them
    /// is in `dirty`.
    halves: collections::VecDeque<maps::IndexSet<model::JobId>>,
    /// Whether the last batch was a half, so that the next one takes `dirty` jobs.
    was_half: bool,
    /// Jobs that failed because the store refuses their records.
    pub(crate) unwritable_jobs: u64,
    pub(crate) segments: segments::Segments,
    /// Batches in flight, oldest first.
    in_flight: Vec<InFlightBatch>,
    flushed_at: Option<time::Instant>,
    /// Moving average of the time until a batch is confirmed.
    mean_latency: time::Duration,
    next_batch: event::BatchId,
    /// Whether an attempt to write a batch has failed since a batch was last confirmed: the store
    /// may be down, and no more batches are sent until it answers.
    is_store_in_doubt: bool,
}

#[derive(Debug)]
struct InFlightBatch {
    batch: event::BatchId,
    sent_at: time::Instant,
    bytes: usize,
    jobs: Vec<StoredJob>,
    archived: Vec<model::JobId>,
    deletes: Vec<String>,
    /// Key of the archived outcomes, and the time of the newest end in milliseconds since 1970.
    archive: Option<(String, u64)>,
}

/// What a batch stores for one job.
#[derive(Debug)]
struct StoredJob {
    job_id: model::JobId,
    has_definition: bool,
    outcome: Option<model::JobStatus>,
    /// Set if the job has ended, so that only its outcome is kept.
    ending: Option<record::Ending>,
    /// Effects to apply once the batch is committed.
    effects: Vec<job::Effect>,
}

impl Journal {
    pub(crate) fn mark_dirty(&mut self, job_id: model::JobId) {
        if !self.halves.iter().any(|half| half.contains(&job_id)) {
            self.dirty.insert(job_id);
        }
    }

    /// Marks a job whose change may wait for the next batch of others.
    pub(crate) fn mark_deferred(&mut self, job_id: model::JobId, now: time::Instant) {
        self.deferred.insert(job_id);
        self.deferred_since.get_or_insert(now);
    }

    /// Makes deferred jobs wait for a batch if there is one to be sent or they have waited for long.
    fn release_deferred(&mut self, now: time::Instant) {
        let is_due = self
            .deferred_since
            .is_some_and(|since| now.saturating_duration_since(since) >= MAX_DEFERRAL);
        if is_due || self.has_dirty_jobs() {
            self.deferred_since = None;
            for job_id in std::mem::take(&mut self.deferred) {
                self.mark_dirty(job_id);
            }
        }
    }

    /// Removes a job from those that wait for a batch.
    pub(crate) fn clear_dirty(&mut self, job_id: model::JobId) {
        self.deferred.swap_remove(&job_id);
        self.dirty.shift_remove(&job_id);
        for half in &mut self.halves {
            half.shift_remove(&job_id);
        }
        self.halves.retain(|half| !half.is_empty());
    }

    /// Returns whether a job is part of a batch in flight.
    pub(crate) fn is_in_flight(&self, job_id: model::JobId) -> bool {
        let mut jobs = self.in_flight.iter().flat_map(|batch| &batch.jobs);
        jobs.any(|stored| stored.job_id == job_id)
    }

    /// Returns the jobs that wait for a batch.
    pub(crate) fn dirty_jobs(&self) -> impl Iterator<Item = model::JobId> {
        let halves = self.halves.iter().flatten();
        self.dirty.iter().chain(halves).copied()
    }

    /// Returns whether jobs wait for a batch.
    pub(crate) fn has_dirty_jobs(&self) -> bool {
        !self.dirty.is_empty() || !self.halves.is_empty()
    }

    /// Adds the jobs of a refused batch, to be written again in two halves.
    fn add_halves(&mut self, jobs: &[model::JobId]) {
        for job_id in jobs {
            self.dirty.shift_remove(job_id);
        }
        let (first, second) = jobs.split_at(jobs.len() / 2);
        let halves = [first, second].into_iter().filter(|half| !half.is_empty());
        self.halves
            .extend(halves.map(|half| half.iter().copied().collect()));
    }

    /// Takes the jobs of the next batch: a half of a refused one, or those that have changed. They take
    /// turns, so that neither waits behind the other.
    fn take_jobs(&mut self) -> maps::IndexSet<model::JobId> {
        let is_half = !self.was_half || self.dirty.is_empty();
        let half = match is_half {
            true => self.halves.pop_front(),
            false => None,
        };
        self.was_half = half.is_some();
        half.unwrap_or_else(|| std::mem::take(&mut self.dirty))
    }

    /// Puts back jobs for which the batch had no room.
    fn put_back(&mut self, jobs: maps::IndexSet<model::JobId>) {
        match self.was_half {
            _ if jobs.is_empty() => {}
            true => self.halves.push_front(jobs),
            false => self.dirty = jobs,
        }
    }

    /// Returns whether a batch may be sent now.
    fn may_flush(&self, store_reachable: bool, now: time::Instant) -> bool {
        let age = self
            .flushed_at
            .map_or(time::Duration::MAX, |at| now.saturating_duration_since(at));
        let Some(oldest) = self.in_flight.first() else {
            return age
                >= if store_reachable {
                    MIN_BATCH_INTERVAL
                } else {
                    PROBE_INTERVAL
                };
        };
        // The outcome of what is sent while the store does not answer is unknown to callers; jobs
        // that still wait here can be refused.
        let stall_timeout = (self.mean_latency * STALL_TIMEOUT_FACTOR).max(MIN_STALL_TIMEOUT);
        store_reachable
            && age >= MIN_PIPELINE_INTERVAL
            && !self.is_store_in_doubt
            && self.in_flight.len() < MAX_IN_FLIGHT
            && now.saturating_duration_since(oldest.sent_at) < stall_timeout
    }

    fn remove_in_flight(&mut self, batch: event::BatchId) -> Option<InFlightBatch> {
        let index = self.in_flight.iter().position(|one| one.batch == batch)?;
        Some(self.in_flight.remove(index))
    }
}

impl scheduler::Scheduler {
    /// Sends the next batch, unless it has to wait for the ones before.
    pub(crate) fn flush(&mut self, clock: event::Clock) {
        if !self.journal.may_flush(self.store_reachable, clock.now) {
            return;
        }
        self.compact_oldest_segments();
        self.journal.release_deferred(clock.now);
        let is_idle = !self.journal.has_dirty_jobs();
        let has_little_garbage = self.journal.segments.garbage.len() < MAX_DELETES;
        let has_cancels = self.cancel_marks.needs_batch();
        if is_idle && self.store_reachable && has_little_garbage && !has_cancels {
            return;
        }
        let id = record::SegmentId {
            term: self.term,
            batch: self.journal.next_batch,
        };
        let mut in_flight = InFlightBatch {
            batch: id.batch,
            sent_at: clock.now,
            bytes: 0,
            jobs: Vec::new(),
            archived: Vec::new(),
            deletes: Vec::new(),
            archive: None,
        };
        let mut segment = record::SegmentWriter::default();
        let mut jobs = self.journal.take_jobs();
        let mut taken = 0;
        while segment.bytes() < self.max_batch_bytes()
            && let Some(job_id) = jobs.get_index(taken).copied()
        {
            taken += 1;
            self.write_record(job_id, &mut segment, &mut in_flight, clock);
        }
        jobs.drain(..taken);
        self.journal.put_back(jobs);
        let mut batch = event::Batch {
            id: id.batch,
            segment_key: id.key(record::SEGMENT_PREFIX),
            record_count: segment.record_count(),
            segment: segment.finish(),
            outcomes: None,
            cancels: None,
            deletes: Vec::new(),
        };
        in_flight.bytes = batch.segment.len();
        if !self.journal.was_half {
            batch.cancels = self.cancel_marks.begin_batch(id.batch, clock.now);
            self.archive_outcomes(id, &mut batch, &mut in_flight);
        }
        let garbage = &mut self.journal.segments.garbage;
        let deleted = garbage.len().min(MAX_DELETES);
        batch.deletes.extend(garbage.drain(..deleted));
        in_flight.deletes.clone_from(&batch.deletes);
        self.journal.next_batch += 1;
        self.journal.flushed_at = Some(clock.now);
        self.journal.in_flight.push(in_flight);
        self.actions.push(event::Action::Commit(batch));
    }

    /// If there are too many segments, marks the jobs whose records keep the oldest from being
    /// deleted, so that they are written again.
    fn compact_oldest_segments(&mut self) {
        if !self.needs_compaction() || !self.journal.in_flight.is_empty() {
            return;
        }
        for job_id in self.journal.segments.jobs_in_oldest(COMPACTED_SEGMENTS) {
            if let Some(state) = self.jobs.get_mut(&job_id) {
                state.needs_definition = true;
                self.journal.mark_dirty(job_id);
            }
        }
    }

    /// Returns the size in bytes from which a segment gets no further record.
    fn max_batch_bytes(&self) -> usize {
        self.settings.max_value_bytes / BATCH_BYTES_DIVISOR
    }

    /// Returns the size in bytes of the largest record that fits into a segment with others.
    pub(crate) fn max_record_bytes(&self) -> usize {
        self.settings.max_value_bytes - self.max_batch_bytes()
    }

    fn needs_compaction(&self) -> bool {
        let segments = &self.journal.segments;
        if segments.len() > SEGMENT_ALLOWANCE + 2 * self.jobs.len() {
            return true;
        }
        segments.bytes() > SEGMENT_BYTES_ALLOWANCE && {
            let open: usize = self.jobs.values().map(|state| state.record_bytes).sum();
            segments.bytes() > SEGMENT_BYTES_ALLOWANCE + SEGMENT_BYTES_FACTOR * open
        }
    }

    /// Adds the record of a job, and what belongs to it, to a segment.
    fn write_record(
        &mut self,
        job_id: model::JobId,
        segment: &mut record::SegmentWriter,
        in_flight: &mut InFlightBatch,
        clock: event::Clock,
    ) {
        let Some(record) = self.record_of(job_id, in_flight, clock) else {
            return;
        };
        let is_open = matches!(record.progress, record::Progress::Open { .. });
        if let Some(lost) = self.losses_of(job_id).filter(|_| is_open) {
            segment.add_losses(&lost);
        }
        let record_bytes = segment.add_record(&record);
        let Some(state) = self.jobs.get_mut(&job_id) else {
            return;
        };
        state.record_bytes = match record.definition {
            Some(_) => record_bytes,
            None => state.definition_bytes + record_bytes,
        };
        if (record.definition.is_some() || !is_open)
            && let Some(owner) = state.owner()
        {
            segment.add_owner(job_id, owner);
        }
        if is_open && let Some(copies) = state.copies() {
            segment.add_copies(&copies);
        }
        if is_open && let Some(confirmations) = state.confirmations() {
            segment.add_confirmations(&confirmations);
        }
    }

    fn record_of(
        &mut self,
        job_id: model::JobId,
        in_flight: &mut InFlightBatch,
        clock: event::Clock,
    ) -> Option<record::JobRecord> {
        let state = self.jobs.get_mut(&job_id)?;
        let ended = state.outcome.filter(|_| !state.has_runs());
        if state.is_unwritable && ended.is_none() {
            // Written once its runs have ended.
            return None;
        }
        let ending = ended.map(|outcome| record::Ending {
            outcome,
            ended_at_ms: clock.wall_ms,
        });
        // An earlier batch that contains the definition may still be rejected.
        let has_definition = ending.is_none() && (state.needs_definition || !state.is_stored);
        state.needs_definition = false;
        in_flight.jobs.push(StoredJob {
            job_id,
            has_definition,
            outcome: state.outcome,
            ending,
            effects: std::mem::take(&mut state.effects),
        });
        Some(record::JobRecord {
            job_id,
            definition: has_definition.then(|| state.definition()),
            progress: ending.map_or_else(|| state.progress(), record::Progress::Ended),
        })
    }

    /// Moves the outcomes of ended jobs from segments to an archive, if there are enough of them.
    fn archive_outcomes(
        &mut self,
        id: record::SegmentId,
        batch: &mut event::Batch,
        in_flight: &mut InFlightBatch,
    ) {
        if self.journal.segments.unarchived.len() < MIN_ARCHIVED_JOBS {
            return;
        }
        let unarchived = &mut self.journal.segments.unarchived;
        let later = unarchived.split_off(unarchived.len().min(MAX_ARCHIVED_JOBS));
        let archived = std::mem::replace(unarchived, later);
        let outcomes: Vec<_> = archived
            .iter()
            .filter_map(|job_id| Some((*job_id, self.ended.get(job_id)?.ending)))
            .collect();
        let owners = archived.iter().filter_map(|job_id| {
            let owner = self.ended.get(job_id)?.owner.clone()?;
            Some((*job_id, owner))
        });
        let owners = record::group_by_owner(owners);
        let newest = outcomes.iter().map(|(_, ending)| ending.ended_at_ms).max();
        let key = id.key(record::OUTCOME_PREFIX);
        in_flight.archive = Some((key.clone(), newest.unwrap_or_default()));
        in_flight.archived = archived;
        batch.outcomes = Some((key, record::encode_outcomes(&outcomes, &owners)));
    }

    /// Handles the commit of a batch, and applies the effects that waited for it.
    pub(crate) fn on_committed(&mut self, batch: event::BatchId, clock: event::Clock) {
        let Some(in_flight) = self.journal.remove_in_flight(batch) else {
            return;
        };
        self.journal.is_store_in_doubt = false;
        let took = clock.now.saturating_duration_since(in_flight.sent_at);
        self.journal.mean_latency =
            (self.journal.mean_latency * (LATENCY_SMOOTHING - 1) + took) / LATENCY_SMOOTHING;
        let id = record::SegmentId {
            term: self.term,
            batch,
        };
        self.journal.segments.add(id, in_flight.bytes);
        for token in self.cancel_marks.on_committed(batch, clock.now) {
            let reply = model::JobReply::Unknown;
            self.actions.push(event::Action::Reply(token, reply));
        }
        let mut effects = Vec::new();
        for mut stored in in_flight.jobs {
            effects.append(&mut stored.effects);
            self.apply_stored(id, &stored);
        }
        for job_id in in_flight.archived {
            self.journal.segments.remove_job(job_id);
        }
        if let Some((key, newest_end_ms)) = in_flight.archive {
            self.journal.segments.add_archive(key, newest_end_ms);
        }
        self.journal.segments.collect_garbage();
        for effect in effects {
            self.apply_effect(effect, clock);
        }
        while let Some(effect) = self.ended_job_effects.pop() {
            self.apply_effect(effect, clock);
        }
    }

    /// Handles a failed attempt to write a batch, which is repeated.
    pub(crate) fn on_unconfirmed(&mut self) {
        self.journal.is_store_in_doubt = true;
    }

    /// Handles the rejection of a batch: its jobs wait for another one, and new jobs are refused if
    /// the store is unreachable.
    pub(crate) fn on_rejected(&mut self, batch: event::BatchId) {
        let Some(in_flight) = self.journal.remove_in_flight(batch) else {
            return;
        };
        log::info!(
            batch,
            term = self.term,
            jobs = in_flight.jobs.len();
            "batch rejected by the store; its jobs wait for another"
        );
        for job_id in self.take_back(in_flight) {
            self.journal.mark_dirty(job_id);
        }
        if !self.store_reachable {
            self.refuse_unstored();
        }
    }

    /// Handles the refusal of a batch for its content: it is written again in two halves, and a job that
    /// is refused by itself fails if its record is too large.
    pub(crate) fn on_refused(&mut self, batch: event::BatchId, clock: event::Clock) {
        let Some(in_flight) = self.journal.remove_in_flight(batch) else {
            return;
        };
        let bytes = in_flight.bytes;
        let jobs = self.take_back(in_flight);
        log::error!(
            batch,
            term = self.term,
            jobs = jobs.len(),
            bytes,
            limit_bytes = self.settings.max_value_bytes;
            "batch refused by the store"
        );
        match jobs[..] {
            [job_id] if bytes > self.max_batch_bytes() => {
                self.fail_unwritable(job_id, bytes, clock)
            }
            _ => self.journal.add_halves(&jobs),
        }
    }

    /// Takes back what a batch would have changed; returns its jobs, which have to be written again.
    fn take_back(&mut self, in_flight: InFlightBatch) -> Vec<model::JobId> {
        self.cancel_marks.on_rejected(in_flight.batch);
        self.journal.segments.garbage.extend(in_flight.deletes);
        self.journal.segments.unarchived.extend(in_flight.archived);
        let mut jobs = Vec::new();
        for stored in in_flight.jobs {
            let Some(state) = self.jobs.get_mut(&stored.job_id) else {
                // A later batch has stored the end of the job: its effects wait for no other.
                self.ended_job_effects.extend(stored.effects);
                continue;
            };
            state.needs_definition |= stored.has_definition;
            state.effects.splice(0..0, stored.effects);
            jobs.push(stored.job_id);
        }
        jobs
    }

    /// Ends a job whose record the store refuses: one that is not stored yet is refused, any other fails.
    fn fail_unwritable(&mut self, job_id: model::JobId, bytes: usize, clock: event::Clock) {
        let Some(state) = self.jobs.get_mut(&job_id) else {
            return;
        };
        self.journal.unwritable_jobs += 1;
        log::error!(
            job:% = job_id_hex(job_id),
            is_stored = state.is_stored,
            bytes,
            limit_bytes = self.settings.max_value_bytes;
            "job ended, as the store refuses its record"
        );
        if !state.is_stored {
            let reason = model::RefusalReason::TooLarge;
            self.drop_job(job_id, &requests::refused(reason, 0));
            return;
        }
        state.is_unwritable = true;
        match state.outcome {
            Some(_) => self.journal.mark_dirty(job_id),
            None => self.decide_outcome(job_id, model::JobStatus::Failed, clock),
        }
    }

    fn apply_stored(&mut self, id: record::SegmentId, stored: &StoredJob) {
        let is_ended = stored.ending.is_some();
        let segments = &mut self.journal.segments;
        segments.add_record(id, stored.job_id, stored.has_definition, is_ended);
        let Some(state) = self.jobs.get_mut(&stored.job_id) else {
            return;
        };
        if !state.is_stored {
            state.is_stored = true;
            log::info!(
                job:% = job_id_hex(stored.job_id),
                batch = id.batch;
                "job accepted and stored"
            );
        }
        if state.stored_outcome.is_none()
            && let Some(outcome) = stored.outcome
        {
            state.stored_outcome = Some(outcome);
            log::info!(
                job:% = job_id_hex(stored.job_id),
                outcome:? = outcome;
                "job outcome stored"
            );
        }
        let Some(ending) = stored.ending else {
            return;
        };
        // Effects added meanwhile need no further commit of this job.
        self.ended_job_effects.append(&mut state.effects);
        let owner = state.owner();
        self.remove_job(stored.job_id);
        let ended = ended::EndedJob { ending, owner };
        self.ended.insert(stored.job_id, ended);
    }

    fn apply_effect(&mut self, effect: job::Effect, clock: event::Clock) {
        match effect {
            job::Effect::Reply(token, reply) => {
                self.actions.push(event::Action::Reply(token, reply));
            }
            job::Effect::SendStart(incarnation, run) => {
                self.send_first_start(&incarnation, run, clock)
            }
            job::Effect::ForgetEnd(incarnation, sequence) => {
                if let Some(worker) = self.workers.get_mut(&incarnation) {
                    worker.mark_end_processed(sequence);
                }
            }
        }
    }
}

/// Formats a job id as in callers' requests.
pub(crate) fn job_id_hex(job_id: model::JobId) -> String {
    format!("{job_id:016x}")
}
