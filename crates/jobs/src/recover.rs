//! Taking over from an earlier leader.
//!
//! What the store keeps tells which run may exist on which worker. A worker that has answered
//! under the new term refuses earlier leaders, and its lists are complete; on any other, a run
//! may exist until the lease that the earlier leader may have given has lapsed.

use indexmap::IndexMap;

use crate::event;
use crate::job;
use crate::record;
use crate::scheduler;
use crate::settings;
use crate::worker;
use crate::workers;

/// Collects what the store keeps, then builds the scheduler of a new term.
#[derive(Debug, Default)]
pub struct Recovery {
    definitions: IndexMap<model::JobId, record::Definition>,
    progress: IndexMap<model::JobId, record::Progress>,
}

impl Recovery {
    /// Adds a key of the store; keys of other kinds are passed over.
    ///
    /// # Errors
    ///
    /// Says what is wrong with a value that cannot be read.
    pub fn add(&mut self, key: &str, value: &[u8]) -> Result<(), String> {
        if let Some(job_id) = record::job_id_of(key, record::DEFINITION_PREFIX) {
            self.definitions.insert(job_id, record::decode(value)?);
        } else if let Some(job_id) = record::job_id_of(key, record::PROGRESS_PREFIX) {
            self.progress.insert(job_id, record::decode(value)?);
        }
        Ok(())
    }

    /// Builds the scheduler of `term`.
    ///
    /// An earlier leader may have been in office until `clock`; `office` is how long it may go on
    /// before it notices that it no longer is.
    #[must_use]
    pub fn build(
        mut self,
        settings: settings::Settings,
        term: model::Term,
        office: std::time::Duration,
        clock: event::Clock,
    ) -> scheduler::Scheduler {
        let mut scheduler = scheduler::Scheduler {
            settings,
            term,
            manifest: crate::Manifest::default(),
            jobs: IndexMap::new(),
            ended: IndexMap::new(),
            workers: IndexMap::new(),
            advisors: crate::advice::Advisors::default(),
            waiting: std::collections::BTreeSet::new(),
            scheduled: std::collections::BTreeSet::new(),
            journal: crate::journal::Journal::default(),
            late_effects: Vec::new(),
            actions: Vec::new(),
            store_reachable: true,
            may_place: true,
        };
        self.progress.sort_keys();
        let mut ended = Vec::new();
        for (job_id, progress) in self.progress {
            if let record::Progress::Ended {
                outcome,
                ended_at_ms,
            } = progress
            {
                ended.push((ended_at_ms, job_id, outcome));
            } else if let Some(definition) = self.definitions.swap_remove(&job_id) {
                let state = job::JobState::restore(definition, progress);
                scheduler.jobs.insert(job_id, state);
            }
        }
        ended.sort_unstable_by_key(|(ended_at_ms, job_id, _)| (*ended_at_ms, *job_id));
        for (ended_at_ms, job_id, outcome) in ended {
            scheduler.ended.insert(job_id, (outcome, ended_at_ms));
        }
        scheduler.inherit_runs(office, clock);
        scheduler
    }
}

impl scheduler::Scheduler {
    /// Notes every run that an earlier leader may have started.
    fn inherit_runs(&mut self, office: std::time::Duration, clock: event::Clock) {
        let lapsed_at = clock.now + office + self.settings.lease_horizon();
        let mut inherited = Vec::new();
        for state in self.jobs.values() {
            for key in state.step_keys() {
                let Some((step, step_state)) = state.step(key) else {
                    continue;
                };
                let demand = workers::counted_demand(step);
                for (index, task) in step_state.tasks.iter().enumerate() {
                    if let job::Phase::Placed(life) = &task.phase {
                        let task_key = model::TaskKey {
                            job_id: key.job_id,
                            occurrence: key.occurrence,
                            step: key.step,
                            index: u32::try_from(index).unwrap_or(u32::MAX),
                        };
                        let run = model::RunKey {
                            task: task_key,
                            run: task.last_run,
                        };
                        inherited.push((life.clone(), run, demand, state.outcome.is_some()));
                    }
                }
            }
        }
        log::info!(
            term = self.term,
            open_jobs = self.jobs.len(),
            ended_jobs = self.ended.len(),
            runs = inherited.len();
            "state recovered"
        );
        for (life, key, demand, is_over) in inherited {
            let worker = self
                .workers
                .entry(life)
                .or_insert_with(|| worker::Worker::new(None, lapsed_at));
            let phase = if is_over {
                worker::RunPhase::Stopping(clock.now)
            } else {
                worker::RunPhase::Inherited
            };
            worker.add_run(key, worker::WorkerRun::new(demand, phase, clock.now));
        }
        for job_id in self.jobs.keys().copied().collect::<Vec<_>>() {
            self.enqueue(job_id, clock);
            let is_over = self
                .jobs
                .get(&job_id)
                .is_some_and(|state| state.outcome.is_some());
            if is_over {
                self.journal.mark(job_id);
            }
        }
    }
}
