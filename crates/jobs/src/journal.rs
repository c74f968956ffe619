//! Which jobs have changed since they were last stored.

use indexmap::IndexSet;

use crate::event;
use crate::job;
use crate::record;
use crate::scheduler;

/// Most keys that a batch sets or deletes: a transaction of the store takes 32 entries, of which
/// the leader's own conditions and its log entry take a few.
const MAX_BATCH_KEYS: usize = 28;
/// Most bytes of values in a batch, well below what a store takes in one call.
const MAX_BATCH_BYTES: usize = 256 * 1024;

/// Which jobs have changed since they were last stored.
#[derive(Debug, Default)]
pub(crate) struct Journal {
    dirty: IndexSet<model::JobId>,
    /// Keys of jobs whose outcome need not be kept any longer.
    pub(crate) obsolete: Vec<String>,
    in_flight: Option<InFlight>,
    next_batch: event::BatchId,
}

#[derive(Debug)]
struct InFlight {
    batch: event::BatchId,
    jobs: Vec<Stored>,
    effects: Vec<job::Effect>,
}

/// What a batch stores of a job.
#[derive(Debug)]
struct Stored {
    job_id: model::JobId,
    outcome: Option<model::JobStatus>,
    /// Set if nothing but the outcome is kept.
    ended_at_ms: Option<u64>,
}

impl Journal {
    pub(crate) fn mark(&mut self, job_id: model::JobId) {
        self.dirty.insert(job_id);
    }

    /// Forgets a job that was never part of a batch.
    pub(crate) fn unmark(&mut self, job_id: model::JobId) {
        self.dirty.shift_remove(&job_id);
    }

    /// Returns whether a job is part of the batch under way.
    pub(crate) fn is_in_flight(&self, job_id: model::JobId) -> bool {
        let mut jobs = self.in_flight.iter().flat_map(|batch| &batch.jobs);
        jobs.any(|stored| stored.job_id == job_id)
    }

    /// Returns the jobs that wait for a batch.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = model::JobId> {
        self.dirty.iter().copied()
    }
}

impl scheduler::Scheduler {
    /// Hands out the next batch, unless one is under way or nothing has changed.
    pub(crate) fn flush(&mut self, clock: event::Clock) {
        if self.journal.in_flight.is_some() {
            return;
        }
        let mut batch = event::Batch {
            id: self.journal.next_batch,
            puts: Vec::new(),
            deletes: Vec::new(),
        };
        let mut in_flight = InFlight {
            batch: batch.id,
            jobs: Vec::new(),
            effects: Vec::new(),
        };
        let mut bytes = 0;
        while batch.puts.len() + batch.deletes.len() + 2 <= MAX_BATCH_KEYS
            && bytes < MAX_BATCH_BYTES
        {
            let Some(job_id) = self.journal.dirty.shift_remove_index(0) else {
                break;
            };
            let before = batch.puts.len();
            self.add_to_batch(job_id, &mut batch, &mut in_flight, clock);
            bytes += batch.puts[before..]
                .iter()
                .map(|(_, value)| value.len())
                .sum::<usize>();
        }
        let room = MAX_BATCH_KEYS - batch.puts.len() - batch.deletes.len();
        let obsolete = self.journal.obsolete.len().min(room);
        batch
            .deletes
            .extend(self.journal.obsolete.drain(..obsolete));
        if batch.puts.is_empty() && batch.deletes.is_empty() {
            return;
        }
        self.journal.next_batch += 1;
        self.journal.in_flight = Some(in_flight);
        self.actions.push(event::Action::Commit(batch));
    }

    fn add_to_batch(
        &mut self,
        job_id: model::JobId,
        batch: &mut event::Batch,
        in_flight: &mut InFlight,
        clock: event::Clock,
    ) {
        let Some(state) = self.jobs.get_mut(&job_id) else {
            return;
        };
        in_flight.effects.append(&mut state.effects);
        let ended = state.outcome.filter(|_| !state.has_runs());
        let progress = match ended {
            Some(outcome) => record::Progress::Ended {
                outcome,
                ended_at_ms: clock.wall_ms,
            },
            None => state.progress(),
        };
        batch
            .puts
            .push((record::progress_key(job_id), record::encode(&progress)));
        if ended.is_some() {
            if state.is_stored {
                batch.deletes.push(record::definition_key(job_id));
            }
        } else if !state.is_stored {
            let definition = record::encode(&state.definition());
            batch
                .puts
                .push((record::definition_key(job_id), definition));
        }
        in_flight.jobs.push(Stored {
            job_id,
            outcome: state.outcome,
            ended_at_ms: ended.map(|_| clock.wall_ms),
        });
    }

    /// Takes note that a batch has taken effect, and does what waited for it.
    pub(crate) fn committed(&mut self, batch: event::BatchId, clock: event::Clock) {
        let Some(in_flight) = self.journal.in_flight.take_if(|one| one.batch == batch) else {
            return;
        };
        for stored in in_flight.jobs {
            self.note_stored(&stored);
        }
        for effect in in_flight.effects {
            self.carry_out(effect, clock);
        }
    }

    fn note_stored(&mut self, stored: &Stored) {
        let Some(state) = self.jobs.get_mut(&stored.job_id) else {
            return;
        };
        state.is_stored = true;
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
        let (Some(outcome), Some(ended_at_ms)) = (stored.outcome, stored.ended_at_ms) else {
            return;
        };
        // Whatever was asked meanwhile needs no further commit.
        let late = std::mem::take(&mut state.effects);
        self.jobs.swap_remove(&stored.job_id);
        self.journal.unmark(stored.job_id);
        self.ended.insert(stored.job_id, (outcome, ended_at_ms));
        for effect in late {
            self.late_effects.push(effect);
        }
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
        while let Some(effect) = self.late_effects.pop() {
            self.carry_out(effect, clock);
        }
    }
}

/// Formats the id of a job as callers write it.
pub(crate) fn hex(job_id: model::JobId) -> String {
    format!("{job_id:016x}")
}
