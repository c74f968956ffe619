//! Speculative execution: a second run of a task that takes much longer than the others of its step.
//!
//! A task that is placed may have a copy beside its latest run. The first of the two that succeeds
//! counts, and the other one is stopped. If the latest run ends otherwise, the copy takes its place, so
//! that everything else sees one run of the task. The number of the copy is the one after that of the
//! latest run and is never used again.

use std::time;

use crate::crashes;
use crate::departure;
use crate::draining;
use crate::event;
use crate::job;
use crate::journal;
use crate::maps;
use crate::record;
use crate::runs;
use crate::scheduler;
use crate::tenancy;
use crate::worker;
use crate::worker_api;
use crate::workers;

/// Time between two searches for stragglers.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Multiple of the median run time from which a run may be a straggler: workers at half the speed of
/// the others are common, and waiting for them costs less than a copy.
const STRAGGLER_FACTOR: f64 = 2.0;
/// Time that a copy takes until it works, besides the run time itself: storing its plan and starting.
const START_TIME: time::Duration = time::Duration::from_millis(200);
/// At most one run in this many is a copy, but one always may be: copies use capacity twice.
const RUNS_PER_COPY: usize = 20;

/// The second run of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Copy {
    run: model::RunNumber,
    /// The incarnation of the worker that has it; `None` once it has ended.
    incarnation: Option<model::WorkerIncarnation>,
}

/// Steps whose runs may be copied.
#[derive(Debug, Default)]
pub(crate) struct Copies {
    /// Steps with run times to compare with.
    steps: maps::IndexSet<model::StepKey>,
    checked_at: Option<time::Instant>,
    /// Copies planned since the term began.
    pub(crate) planned: u64,
}

impl job::TaskState {
    /// Returns the run number and the worker of the copy, if one may exist.
    fn live_copy(&self) -> Option<(model::RunNumber, &model::WorkerIncarnation)> {
        let copy = self.copy.as_ref()?;
        Some((copy.run, copy.incarnation.as_ref()?))
    }

    /// Returns the copy of this task, if one may exist.
    pub(crate) fn copied_run(
        &self,
        task: model::TaskKey,
    ) -> Option<(model::WorkerIncarnation, model::RunKey)> {
        let (run, incarnation) = self.live_copy()?;
        Some((incarnation.clone(), model::RunKey { task, run }))
    }

    /// Returns the runs of this task that may exist beside `key`.
    pub(crate) fn other_runs(
        &self,
        key: model::RunKey,
    ) -> Vec<(model::WorkerIncarnation, model::RunKey)> {
        let job::Phase::Placed(incarnation) = &self.phase else {
            return Vec::new();
        };
        let latest = model::RunKey {
            run: self.last_run,
            ..key
        };
        let runs = [
            Some((incarnation.clone(), latest)),
            self.copied_run(key.task),
        ];
        let runs = runs.into_iter().flatten();
        // Without a copy, an earlier run that turns out to have succeeded is treated elsewhere.
        match self.copy {
            Some(_) => runs.filter(|(_, other)| *other != key).collect(),
            None => Vec::new(),
        }
    }
}

impl job::StepState {
    /// Ends the latest run of a task, which is placed: its copy takes the place, or the task waits.
    pub(crate) fn end_latest_run(&mut self, index: u32) {
        let Some(task) = self.tasks.get_mut(index as usize) else {
            return;
        };
        let copy = task.copy.take();
        task.last_run = copy.as_ref().map_or(task.last_run, |copy| copy.run);
        match copy.and_then(|copy| copy.incarnation) {
            Some(incarnation) => self.set_phase(index, job::Phase::Placed(incarnation)),
            None => self.set_phase(index, job::Phase::Waiting),
        }
    }

    /// Ends the copy of a task if it is `key`; returns whether it is.
    pub(crate) fn end_copy(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        key: model::RunKey,
    ) -> bool {
        let copy = self.copy_mut(incarnation, key);
        copy.map(|copy| copy.incarnation = None).is_some()
    }

    /// Moves the copy of a task to the next incarnation of its worker if it is `key`; returns whether it
    /// is.
    pub(crate) fn move_copy(
        &mut self,
        key: model::RunKey,
        incarnation: &model::WorkerIncarnation,
        successor: &model::WorkerIncarnation,
    ) -> bool {
        let copy = self.copy_mut(incarnation, key);
        let moved = copy.map(|copy| copy.incarnation = Some(successor.clone()));
        moved.is_some()
    }

    fn copy_mut(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        key: model::RunKey,
    ) -> Option<&mut Copy> {
        let task = self.tasks.get_mut(key.task.index as usize)?;
        let copy = task.copy.as_deref_mut()?;
        let is_same = copy.run == key.run && copy.incarnation.as_ref() == Some(incarnation);
        is_same.then_some(copy)
    }

    /// Returns the median run time of the tasks that are done; `None` before half of all are.
    fn median_done(&self) -> Option<time::Duration> {
        if self.done_ms.is_empty() || 2 * self.done_ms.len() < self.tasks.len() {
            return None;
        }
        let mut done_ms = self.done_ms.clone();
        done_ms.sort_unstable();
        let median_ms = done_ms.get(done_ms.len() / 2)?;
        Some(time::Duration::from_millis(*median_ms))
    }
}

impl job::JobState {
    /// Returns the copies of the job's tasks to store; `None` if there are none.
    pub(crate) fn copies(&self) -> Option<record::JobCopies> {
        if !self.job.steps.iter().any(may_copy) {
            return None;
        }
        let mut copies = Vec::new();
        for key in self.step_keys() {
            let Some((step, step_state)) = self.step(key) else {
                continue;
            };
            if !may_copy(step) {
                continue;
            }
            for (index, task) in (0..).zip(&step_state.tasks) {
                if let Some(copy) = &task.copy {
                    let record = record::CopyRecord {
                        run: copy.run,
                        incarnation: copy.incarnation.clone(),
                    };
                    copies.push((crashes::task_of(key, index), record));
                }
            }
        }
        (!copies.is_empty()).then_some(record::JobCopies {
            job_id: self.job.id,
            copies,
        })
    }

    /// Restores the stored copies of the job's tasks.
    pub(crate) fn restore_copies(&mut self, stored: record::JobCopies) {
        for (task, record) in stored.copies {
            let Some((_, step_state)) = self.step_mut(task.step_key()) else {
                continue;
            };
            if let Some(state) = step_state.tasks.get_mut(task.index as usize)
                && matches!(state.phase, job::Phase::Placed(_))
            {
                state.copy = Some(Box::new(Copy {
                    run: record.run,
                    incarnation: record.incarnation,
                }));
            }
        }
    }
}

/// Returns whether the tasks of a step may have copies.
fn may_copy(step: &model::Step) -> bool {
    step.speculative && !step.gang && !step.long_running
}

/// Returns whether a run is so far behind those that are done that a copy would end before it.
fn is_straggler(
    progress: &departure::RunProgress,
    median: time::Duration,
    now: time::Instant,
) -> bool {
    if now.saturating_duration_since(progress.started_at) < median.mul_f64(STRAGGLER_FACTOR) {
        return false;
    }
    // Its own progress counts, not the estimate, by which it would have ended.
    let measured = departure::RunProgress {
        estimate: None,
        ..*progress
    };
    let end = measured.expected_end(now);
    end.is_none_or(|end| now + START_TIME + median < end.earliest)
}

impl scheduler::Scheduler {
    /// Notes how long a run took that has succeeded; to be called before the run is removed.
    pub(crate) fn note_run_time(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        ended: &runs::RunEnded,
        clock: event::Clock,
    ) {
        let key = ended.key.task.step_key();
        let worker = self.workers.get(incarnation);
        let run = worker.and_then(|worker| worker.runs.get(&ended.key));
        let state = self.jobs.get_mut(&key.job_id);
        let (Some(run), Some((step, step_state))) = (run, state.and_then(|one| one.step_mut(key)))
        else {
            return;
        };
        // A run that has resumed did only a part of the work.
        let is_whole = ended.end == worker_api::RunEnd::Done && run.checkpoint.is_none();
        if let Some(confirmed_at) = run.confirmed_at.filter(|_| is_whole && may_copy(step)) {
            let took = clock.now.saturating_duration_since(confirmed_at);
            step_state.done_ms.push(took.as_millis() as u64);
            self.copies.steps.insert(key);
        }
    }

    /// Plans copies of runs that are far behind the others of their steps, where capacity is left over.
    pub(crate) fn copy_stragglers(&mut self, clock: event::Clock) {
        let is_due = self
            .copies
            .checked_at
            .is_none_or(|at| clock.now.saturating_duration_since(at) >= CHECK_INTERVAL);
        // While steps are still to be visited, what is free may be theirs.
        if self.copies.steps.is_empty() || !is_due || self.placement_needed || !self.store_reachable
        {
            return;
        }
        self.copies.checked_at = Some(clock.now);
        let jobs = &self.jobs;
        self.copies.steps.retain(|key| {
            let state = jobs.get(&key.job_id);
            let state = state.filter(|state| state.outcome.is_none());
            state.is_some_and(|state| state.step(*key).is_some_and(|(_, step)| !step.is_done()))
        });
        if self.has_waiting_gang() {
            return;
        }
        let run_count: usize = self.workers.values().map(|worker| worker.runs.len()).sum();
        let mut allowed = (run_count / RUNS_PER_COPY).max(1);
        for key in self.copies.steps.iter().copied().collect::<Vec<_>>() {
            allowed = allowed.saturating_sub(self.copy_count(key));
        }
        for key in self.copies.steps.iter().copied().collect::<Vec<_>>() {
            for task in self.stragglers(key, clock) {
                if allowed == 0 {
                    return;
                }
                allowed -= usize::from(self.plan_copy(task, clock));
            }
        }
    }

    /// Returns whether a gang waits for capacity; one that waits for the cap of its tenant must not keep
    /// capacity from other work.
    fn has_waiting_gang(&self) -> bool {
        self.waiting.iter().any(|waiting| {
            let state = self.jobs.get(&waiting.key.job_id);
            let step = state.and_then(|state| state.step(waiting.key));
            step.is_some_and(|(step, _)| {
                step.gang && self.cap_limit(waiting.key) >= step.task_count
            })
        })
    }

    fn copy_count(&self, key: model::StepKey) -> usize {
        let state = self.jobs.get(&key.job_id);
        let step = state.and_then(|state| state.step(key));
        step.map_or(0, |(_, step_state)| {
            let tasks = step_state.tasks.iter();
            tasks.filter(|task| task.live_copy().is_some()).count()
        })
    }

    /// Returns the tasks of a step whose run is a straggler and may get a copy.
    fn stragglers(&self, key: model::StepKey, clock: event::Clock) -> Vec<model::TaskKey> {
        let Some(state) = self.jobs.get(&key.job_id) else {
            return Vec::new();
        };
        let Some((step, step_state)) = state.step(key).filter(|(step, _)| may_copy(step)) else {
            return Vec::new();
        };
        let Some(median) = step_state.median_done() else {
            return Vec::new();
        };
        let max_failures = Self::queue_of(&self.manifest, state).max_failures;
        let tasks = (0..).zip(&step_state.tasks);
        let stragglers = tasks.filter_map(|(index, task)| {
            let job::Phase::Placed(incarnation) = &task.phase else {
                return None;
            };
            let task_key = crashes::task_of(key, index);
            let failures = u32::try_from(task.failed_runs.len()).unwrap_or(u32::MAX);
            // A copy that fails must not end the job while the latest run may still succeed, and a task
            // that may crash its workers starts as seldom as possible.
            let may_start = task.copy.is_none()
                && failures.saturating_add(2) <= max_failures
                && self.crashes.task(task_key).is_none();
            let run_key = model::RunKey {
                task: task_key,
                run: task.last_run,
            };
            let run = self.workers.get(incarnation)?.runs.get(&run_key)?;
            let is_running = run.phase == worker::RunPhase::Running;
            let progress = draining::progress_of(run, step);
            let is_copied = may_start && is_running && is_straggler(&progress, median, clock.now);
            is_copied.then_some(task_key)
        });
        stragglers.collect()
    }

    /// Plans a copy of a task on another worker; returns whether one has capacity and the cap of the
    /// tenant has room for it.
    fn plan_copy(&mut self, task: model::TaskKey, clock: event::Clock) -> bool {
        let key = task.step_key();
        let Some(context) = self.step_context(key) else {
            return false;
        };
        let (step, step_state) = (context.step, context.step_state);
        let Some(state) = step_state.tasks.get(task.index as usize) else {
            return false;
        };
        let job::Phase::Placed(latest) = &state.phase else {
            return false;
        };
        // What the latest run occupies counts already, also while it is being stopped.
        if self.cap_limit(key) == 0 {
            return false;
        }
        let demand = workers::counted_demand(step);
        let pass = self.new_pass(clock);
        let candidates = self.startable_workers(&context, &pass, clock);
        let fitting = candidates.into_iter().filter(|one| {
            let worker = self.workers.get(one.incarnation);
            let reserved = self
                .reservations
                .reserved_by_others(key, one.incarnation, |_| true);
            let free = worker.map_or_else(model::Demand::default, worker::Worker::free);
            one.incarnation.worker_id != latest.worker_id
                && one.fit_count(&demand) > 0
                && demand.fits_in(&free.minus(&reserved))
        });
        let best = fitting.min_by_key(|one| {
            let free = one.free.processors_milli;
            (!one.is_in_data_rack, one.failures, u32::MAX - free)
        });
        let Some(incarnation) = best.map(|one| one.incarnation.clone()) else {
            return false;
        };
        let run = model::RunKey {
            task,
            run: state.last_run + 1,
        };
        let checkpoint = step_state.checkpoint_of(task.index, false);
        let tenant = self.jobs.get(&key.job_id);
        let tenant = tenant.map_or(tenancy::NO_TENANT, |state| self.tenancy.number_of(state));
        let planned = worker::WorkerRun::new(demand, worker::RunPhase::Planned, clock.now)
            .with_tenant(tenant)
            .with_sharing_of(step)
            .with_checkpoint(checkpoint.filter(|_| step.checkpointing));
        log::info!(
            run:% = runs::run_name(run),
            worker:% = incarnation.worker_id,
            straggler:% = latest.worker_id,
            job:% = journal::job_id_hex(key.job_id);
            "copy of a straggler planned"
        );
        if let Some(worker) = self.workers.get_mut(&incarnation) {
            worker.add_run(run, planned, &mut self.tenancy.usage);
        }
        if let Some(state) = self.jobs.get_mut(&key.job_id) {
            let start = job::Effect::SendStart(incarnation.clone(), run);
            state.effects.push(start);
            if let Some((_, step_state)) = state.step_mut(key)
                && let Some(task) = step_state.tasks.get_mut(task.index as usize)
            {
                task.copy = Some(Box::new(Copy {
                    run: run.run,
                    incarnation: Some(incarnation),
                }));
            }
        }
        self.copies.planned += 1;
        self.journal.mark_dirty(key.job_id);
        true
    }
}
