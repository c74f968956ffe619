//! Which jobs have changed since they were last stored, and the batches that store them.

use std::time;

use indexmap::IndexSet;

use crate::event;
use crate::job;
use crate::record;
use crate::scheduler;
use crate::segments;

/// Most keys that a batch deletes: a transaction of the store takes 32 entries, of which the
/// segment, its conditions and gathered outcomes take a few.
const MAX_DELETES: usize = 24;
/// Most bytes of records in a batch, well below what a store takes in one value.
const MAX_BATCH_BYTES: usize = 256 * 1024;
/// Batches under way at once; more than one only while the store is slow.
const MAX_IN_FLIGHT: usize = 16;
/// Shortest time between two batches: each is a call that the platform counts, and a job waits for
/// three of them.
const BATCH_SPACING: time::Duration = time::Duration::from_millis(12);
/// Time after which another batch is handed out although the one before is not confirmed.
const PIPELINE_SPACING: time::Duration = time::Duration::from_millis(40);
/// Time between batches while the store is unreachable; each only asks whether it is back.
const PROBE_SPACING: time::Duration = time::Duration::from_millis(300);
/// Shortest age of an unconfirmed batch from which nothing more is handed out; a slow service still
/// answers within a quarter of a second.
const MIN_PATIENCE: time::Duration = time::Duration::from_millis(300);
/// Usual times of a confirmation that an unconfirmed batch may take.
const PATIENCE_FACTOR: u32 = 3;
/// Weight of the newest confirmation in the usual time, as one part in this many.
const SMOOTHING: u32 = 4;
/// Ended jobs whose outcomes are gathered into one value.
const GATHER_COUNT: usize = 64;
/// Segments beyond twice the open jobs above which the records of the oldest are written anew; an
/// open job keeps two at the most.
const SPARE_SEGMENTS: usize = 240;
/// Bytes of segments below which nothing is written anew: a new leader reads them in a fraction of a
/// second even over a slow link.
const SPARE_BYTES: usize = 512 * 1024;
/// Multiple of the bytes of the open jobs' records above which the oldest are written anew.
const BYTES_FACTOR: usize = 3;
/// About the bytes of a record without definition and progress.
const RECORD_HEAD_BYTES: usize = 64;
/// About the bytes of a step in a definition.
const STEP_BYTES: usize = 100;
/// About the bytes of a task's progress.
const TASK_BYTES: usize = 30;
/// About the bytes of a worker life that tasks refer to.
const LIFE_BYTES: usize = 30;
/// Oldest segments whose records are written anew at once.
const REWRITE_COUNT: usize = 16;

/// Which jobs have changed since they were last stored.
#[derive(Debug, Default)]
pub(crate) struct Journal {
    dirty: IndexSet<model::JobId>,
    pub(crate) segments: segments::Segments,
    /// Batches under way, oldest first.
    in_flight: Vec<InFlight>,
    flushed_at: Option<time::Instant>,
    /// Usual time until a batch is confirmed.
    usual: time::Duration,
    next_batch: event::BatchId,
}

#[derive(Debug)]
struct InFlight {
    batch: event::BatchId,
    sent_at: time::Instant,
    bytes: usize,
    jobs: Vec<Stored>,
    gathered: Vec<model::JobId>,
    deletes: Vec<String>,
    /// Key of the gathered outcomes, and the time of the newest end.
    archive: Option<(String, u64)>,
}

/// What a batch stores of a job.
#[derive(Debug)]
struct Stored {
    job_id: model::JobId,
    has_definition: bool,
    outcome: Option<model::JobStatus>,
    /// Set if nothing but the outcome is kept.
    ending: Option<record::Ending>,
    /// Done once the batch has taken effect.
    effects: Vec<job::Effect>,
}

impl Journal {
    pub(crate) fn mark(&mut self, job_id: model::JobId) {
        self.dirty.insert(job_id);
    }

    /// Forgets a job that was never part of a batch.
    pub(crate) fn unmark(&mut self, job_id: model::JobId) {
        self.dirty.shift_remove(&job_id);
    }

    /// Returns whether a job is part of a batch under way.
    pub(crate) fn is_in_flight(&self, job_id: model::JobId) -> bool {
        let mut jobs = self.in_flight.iter().flat_map(|batch| &batch.jobs);
        jobs.any(|stored| stored.job_id == job_id)
    }

    /// Returns the jobs that wait for a batch.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = model::JobId> {
        self.dirty.iter().copied()
    }

    /// Returns whether jobs wait for a batch.
    pub(crate) fn has_waiting(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Returns whether a batch may be handed out now.
    fn may_flush(&self, store_reachable: bool, now: time::Instant) -> bool {
        let age = self
            .flushed_at
            .map_or(time::Duration::MAX, |at| now.saturating_duration_since(at));
        let Some(oldest) = self.in_flight.first() else {
            return age
                >= if store_reachable {
                    BATCH_SPACING
                } else {
                    PROBE_SPACING
                };
        };
        // What is handed out while the store is silent stays in doubt for callers; what waits here
        // can still be refused.
        let patience = (self.usual * PATIENCE_FACTOR).max(MIN_PATIENCE);
        store_reachable
            && age >= PIPELINE_SPACING
            && self.in_flight.len() < MAX_IN_FLIGHT
            && now.saturating_duration_since(oldest.sent_at) < patience
    }

    fn take_in_flight(&mut self, batch: event::BatchId) -> Option<InFlight> {
        let index = self.in_flight.iter().position(|one| one.batch == batch)?;
        Some(self.in_flight.remove(index))
    }
}

impl scheduler::Scheduler {
    /// Hands out the next batch, unless the ones before are to be waited for.
    pub(crate) fn flush(&mut self, clock: event::Clock) {
        if !self.journal.may_flush(self.store_reachable, clock.now) {
            return;
        }
        self.rewrite_oldest();
        let is_idle = self.journal.dirty.is_empty();
        if is_idle && self.store_reachable && self.journal.segments.garbage.len() < MAX_DELETES {
            return;
        }
        let id = record::SegmentId {
            term: self.term,
            batch: self.journal.next_batch,
        };
        let mut in_flight = InFlight {
            batch: id.batch,
            sent_at: clock.now,
            bytes: 0,
            jobs: Vec::new(),
            gathered: Vec::new(),
            deletes: Vec::new(),
            archive: None,
        };
        let mut records = Vec::new();
        let mut bytes = 0;
        while bytes < MAX_BATCH_BYTES
            && let Some(job_id) = self.journal.dirty.shift_remove_index(0)
        {
            if let Some(record) = self.record_of(job_id, &mut in_flight, clock) {
                bytes += record_size(&record);
                records.push(record);
            }
        }
        let mut batch = event::Batch {
            id: id.batch,
            segment_key: id.key(record::SEGMENT_PREFIX),
            segment: record::encode(&records),
            outcomes: None,
            deletes: Vec::new(),
        };
        in_flight.bytes = batch.segment.len();
        self.gather_outcomes(id, &mut batch, &mut in_flight);
        let garbage = &mut self.journal.segments.garbage;
        let deleted = garbage.len().min(MAX_DELETES);
        batch.deletes.extend(garbage.drain(..deleted));
        in_flight.deletes.clone_from(&batch.deletes);
        self.journal.next_batch += 1;
        self.journal.flushed_at = Some(clock.now);
        self.journal.in_flight.push(in_flight);
        self.actions.push(event::Action::Commit(batch));
    }

    /// Marks the jobs whose records keep the oldest of too many segments.
    fn rewrite_oldest(&mut self) {
        if !self.keeps_too_much() || !self.journal.in_flight.is_empty() {
            return;
        }
        for job_id in self.journal.segments.jobs_of_oldest(REWRITE_COUNT) {
            if let Some(state) = self.jobs.get_mut(&job_id) {
                state.needs_definition = true;
                self.journal.mark(job_id);
            }
        }
    }

    fn keeps_too_much(&self) -> bool {
        let segments = &self.journal.segments;
        if segments.len() > SPARE_SEGMENTS + 2 * self.jobs.len() {
            return true;
        }
        segments.bytes() > SPARE_BYTES && {
            let open: usize = self.jobs.values().map(job::JobState::record_size).sum();
            segments.bytes() > SPARE_BYTES + BYTES_FACTOR * open
        }
    }

    fn record_of(
        &mut self,
        job_id: model::JobId,
        in_flight: &mut InFlight,
        clock: event::Clock,
    ) -> Option<record::JobRecord> {
        let state = self.jobs.get_mut(&job_id)?;
        let ended = state.outcome.filter(|_| !state.has_runs());
        let ending = ended.map(|outcome| record::Ending {
            outcome,
            ended_at_ms: clock.wall_ms,
        });
        // An earlier batch with the definition may still fail.
        let has_definition = ending.is_none() && (state.needs_definition || !state.is_stored);
        state.needs_definition = false;
        in_flight.jobs.push(Stored {
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

    /// Adds the outcomes of ended jobs that segments still keep, if there are many.
    fn gather_outcomes(
        &mut self,
        id: record::SegmentId,
        batch: &mut event::Batch,
        in_flight: &mut InFlight,
    ) {
        if self.journal.segments.ungathered.len() < GATHER_COUNT {
            return;
        }
        let gathered = std::mem::take(&mut self.journal.segments.ungathered);
        let outcomes: Vec<_> = gathered
            .iter()
            .filter_map(|job_id| Some((*job_id, *self.ended.get(job_id)?)))
            .collect();
        let newest = outcomes.iter().map(|(_, ending)| ending.ended_at_ms).max();
        let key = id.key(record::OUTCOME_PREFIX);
        in_flight.archive = Some((key.clone(), newest.unwrap_or_default()));
        in_flight.gathered = gathered;
        batch.outcomes = Some((key, record::encode(&outcomes)));
    }

    /// Takes note that a batch has taken effect, and does what waited for it.
    pub(crate) fn committed(&mut self, batch: event::BatchId, clock: event::Clock) {
        let Some(in_flight) = self.journal.take_in_flight(batch) else {
            return;
        };
        let took = clock.now.saturating_duration_since(in_flight.sent_at);
        self.journal.usual = (self.journal.usual * (SMOOTHING - 1) + took) / SMOOTHING;
        let id = record::SegmentId {
            term: self.term,
            batch,
        };
        self.journal.segments.add(id, in_flight.bytes);
        let mut effects = Vec::new();
        for mut stored in in_flight.jobs {
            effects.append(&mut stored.effects);
            self.note_stored(id, &stored);
        }
        for job_id in in_flight.gathered {
            self.journal.segments.forget(job_id);
        }
        if let Some((key, newest_end_ms)) = in_flight.archive {
            self.journal.segments.add_archive(key, newest_end_ms);
        }
        self.journal.segments.collect_garbage();
        for effect in effects {
            self.carry_out(effect, clock);
        }
        while let Some(effect) = self.late_effects.pop() {
            self.carry_out(effect, clock);
        }
    }

    /// Takes a batch back that has not taken effect: its jobs wait for another one, and new jobs are
    /// refused if the store is unreachable.
    pub(crate) fn rejected(&mut self, batch: event::BatchId) {
        let Some(in_flight) = self.journal.take_in_flight(batch) else {
            return;
        };
        log::info!(batch, term = self.term, jobs = in_flight.jobs.len(); "batch taken back");
        self.journal.segments.garbage.extend(in_flight.deletes);
        self.journal.segments.ungathered.extend(in_flight.gathered);
        for stored in in_flight.jobs {
            let Some(state) = self.jobs.get_mut(&stored.job_id) else {
                // A later batch has stored its end, which was all that the effects waited for.
                self.late_effects.extend(stored.effects);
                continue;
            };
            state.needs_definition |= stored.has_definition;
            state.effects.splice(0..0, stored.effects);
            self.journal.mark(stored.job_id);
        }
        if !self.store_reachable {
            self.refuse_unstored();
        }
    }

    fn note_stored(&mut self, id: record::SegmentId, stored: &Stored) {
        let is_ended = stored.ending.is_some();
        let segments = &mut self.journal.segments;
        segments.note_record(id, stored.job_id, stored.has_definition, is_ended);
        let Some(state) = self.jobs.get_mut(&stored.job_id) else {
            return;
        };
        if !state.is_stored {
            state.is_stored = true;
            log::info!(job:% = hex(stored.job_id), batch = id.batch; "job accepted and stored");
        }
        if state.stored_outcome.is_none()
            && let Some(outcome) = stored.outcome
        {
            state.stored_outcome = Some(outcome);
            log::info!(
                job:% = hex(stored.job_id),
                outcome:? = outcome;
                "job outcome stored"
            );
        }
        let Some(ending) = stored.ending else {
            return;
        };
        // Whatever was asked meanwhile needs no further commit.
        self.late_effects.append(&mut state.effects);
        self.jobs.swap_remove(&stored.job_id);
        self.journal.unmark(stored.job_id);
        self.ended.insert(stored.job_id, ending);
    }

    fn carry_out(&mut self, effect: job::Effect, clock: event::Clock) {
        match effect {
            job::Effect::Reply(token, reply) => {
                self.actions.push(event::Action::Reply(token, reply));
            }
            job::Effect::Launch(life, run) => self.launch(&life, run, clock),
            job::Effect::Forget(life, sequence) => {
                if let Some(worker) = self.workers.get_mut(&life) {
                    worker.allow_forgetting(sequence);
                }
            }
        }
    }
}

/// Returns about how many bytes a record takes.
fn record_size(record: &record::JobRecord) -> usize {
    let definition = record.definition.as_ref();
    let definition = definition.map_or(0, |definition| definition_size(&definition.job));
    let progress = match &record.progress {
        record::Progress::Open { tasks, lives, .. } => progress_size(tasks.len(), lives.len()),
        record::Progress::Ended(_) => 0,
    };
    RECORD_HEAD_BYTES + definition + progress
}

impl job::JobState {
    /// Returns about how many bytes the definition and the progress take.
    fn record_size(&self) -> usize {
        let steps = self.occurrences.iter().flat_map(|one| &one.steps);
        let tasks: usize = steps.map(|step| step.tasks.len()).sum();
        RECORD_HEAD_BYTES + definition_size(&self.job) + progress_size(tasks, tasks)
    }
}

fn definition_size(job: &model::Job) -> usize {
    job.spec.len() + STEP_BYTES * job.steps.len()
}

fn progress_size(tasks: usize, lives: usize) -> usize {
    TASK_BYTES * tasks + LIFE_BYTES * lives
}

/// Formats the id of a job as callers write it.
pub(crate) fn hex(job_id: model::JobId) -> String {
    format!("{job_id:016x}")
}
