//! Tasks under which workers crash: attribution of crashes, and the jobs that are given up for them.
//!
//! A worker that crashes is silent at first: its runs are lost when its lease has expired, and only
//! its return proves the crash. Each lost run is therefore kept until the fate of its worker is
//! known. A worker that crashes takes innocent runs with it, so a task is given up only after crashes
//! that no other job can have caused, or once the number of starts after `LIMITED_AFTER_WORKERS`
//! crashes is used up. The runs that began last are the most suspicious: their next runs are kept
//! apart from those of other jobs.

use std::sync;
use std::time;

use crate::event;
use crate::isolation;
use crate::job;
use crate::journal;
use crate::losses;
use crate::maps;
use crate::record;
use crate::runs::run_name;
use crate::scheduler;
use crate::worker;

/// Longest time from the start of a run to the last listing of its worker for an early crash.
const EARLY_CRASH_TIME: time::Duration = time::Duration::from_millis(300);
/// Runs that were confirmed within this time of the last one count as having begun together: answers
/// to start orders may overtake each other.
const CONFIRMATION_JITTER: time::Duration = time::Duration::from_millis(100);
/// How long a lost run is kept whose worker has neither returned nor restarted.
const LOSS_RETENTION: time::Duration = time::Duration::from_secs(120);
/// Time between two checks whether losses have expired.
const EXPIRY_CHECK_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// How long a run must have worked to clear its task of earlier crashes.
const CLEARED_AFTER: time::Duration = time::Duration::from_secs(60);

/// Lost runs of the tasks of open jobs.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    /// By job, and by task; those of a gang are recorded at its first task.
    pub(crate) jobs:
        maps::IndexMap<model::JobId, maps::IndexMap<model::TaskKey, losses::TaskLosses>>,
    /// Tasks in `jobs` with lost runs on an incarnation whose fate is not known, and some tasks that
    /// are no longer in `jobs`.
    lost_on: maps::IndexMap<model::WorkerIncarnation, maps::IndexSet<model::TaskKey>>,
    /// Tasks in `jobs` with a proven crash.
    pub(crate) crashed_tasks: maps::IndexSet<model::TaskKey>,
    /// When losses were last checked for their expiry.
    expiry_checked_at: Option<time::Instant>,
    /// Stored addresses of incarnations that the directory may no longer list.
    addresses: maps::HashMap<model::WorkerIncarnation, sync::Arc<str>>,
    /// Worker incarnations that crashed with runs on them, since the term began.
    pub(crate) crashed_workers: u64,
    /// Jobs given up since the term began.
    pub(crate) given_up_jobs: u64,
}

impl Crashes {
    /// Restores the lost runs of a job; the time for which they are kept begins anew.
    pub(crate) fn restore(&mut self, stored: record::JobLosses, now: time::Instant) {
        self.addresses.extend(stored.addresses);
        for (task, records) in stored.tasks {
            for record in records {
                self.add(task, losses::Loss::new(record, now));
            }
        }
    }

    fn add(&mut self, task: model::TaskKey, loss: losses::Loss) {
        if loss.record.is_crash {
            self.crashed_tasks.insert(task);
        } else {
            let incarnation = loss.record.incarnation.clone();
            self.lost_on.entry(incarnation).or_default().insert(task);
        }
        let tasks = self.jobs.entry(task.job_id).or_default();
        tasks.entry(task).or_default().add(loss);
    }

    /// Forgets a job that has ended.
    pub(crate) fn remove_job(&mut self, job_id: model::JobId) {
        let tasks = self.jobs.swap_remove(&job_id).unwrap_or_default();
        for task in tasks.into_keys() {
            self.crashed_tasks.swap_remove(&task);
        }
    }

    /// Forgets the lost runs of a task that is done.
    pub(crate) fn remove_task(&mut self, task: model::TaskKey) {
        let Some(tasks) = self.jobs.get_mut(&task.job_id) else {
            return;
        };
        tasks.swap_remove(&task);
        if tasks.is_empty() {
            self.jobs.swap_remove(&task.job_id);
        }
        self.crashed_tasks.swap_remove(&task);
    }

    /// Returns how likely it is that a task crashes its workers.
    pub(crate) fn suspicion_of(&self, task: model::TaskKey) -> losses::Suspicion {
        let losses = self.task(task);
        losses.map_or(losses::Suspicion::None, losses::TaskLosses::suspicion)
    }

    /// Returns the isolation of the next run of a task.
    pub(crate) fn isolation_of(&self, task: model::TaskKey) -> isolation::Isolation {
        let losses = self.task(task);
        losses.map_or(isolation::Isolation::None, |losses| losses.isolation)
    }

    /// Returns the isolation of the next run of a gang.
    pub(crate) fn isolation_of_gang(&self, step: model::StepKey) -> isolation::Isolation {
        self.isolation_of(first_task(step))
    }

    /// Returns the strictest isolation of the waiting tasks of a step if all of them are suspects;
    /// else some can start on any worker.
    pub(crate) fn isolation_of_waiting(
        &self,
        step: model::StepKey,
        step_state: &job::StepState,
    ) -> isolation::Isolation {
        let Some(losses) = self.jobs.get(&step.job_id) else {
            return isolation::Isolation::None;
        };
        let tasks = (0_u32..).zip(&step_state.tasks);
        let waiting = tasks.filter(|(_, task)| task.phase == job::Phase::Waiting);
        let isolations = waiting.map(|(index, _)| {
            let losses = losses.get(&task_of(step, index));
            losses.map_or(isolation::Isolation::None, |losses| losses.isolation)
        });
        let (strictest, loosest) = isolations.fold(
            (
                isolation::Isolation::None,
                isolation::Isolation::EmptyWorker,
            ),
            |(strictest, loosest), one| (strictest.min(one), loosest.max(one)),
        );
        match loosest {
            isolation::Isolation::None => isolation::Isolation::None,
            _ => strictest,
        }
    }

    pub(crate) fn task(&self, task: model::TaskKey) -> Option<&losses::TaskLosses> {
        self.jobs.get(&task.job_id)?.get(&task)
    }

    pub(crate) fn task_mut(&mut self, task: model::TaskKey) -> Option<&mut losses::TaskLosses> {
        self.jobs.get_mut(&task.job_id)?.get_mut(&task)
    }

    /// Returns the incarnations whose fate is not known, with their last addresses.
    fn unresolved(&self) -> Vec<(model::WorkerIncarnation, Option<sync::Arc<str>>)> {
        let unresolved = self.lost_on.iter().filter_map(|(incarnation, tasks)| {
            let mut losses = tasks.iter().filter_map(|task| self.task(*task));
            let loss = losses.find_map(|losses| losses.unresolved_on(incarnation))?;
            Some((incarnation.clone(), loss.record.address.clone()))
        });
        unresolved.collect()
    }

    /// Removes unresolved losses of tasks by a condition; returns the tasks that had such.
    fn remove_unresolved(
        &mut self,
        tasks: impl IntoIterator<Item = model::TaskKey>,
        is_removed: impl Fn(&losses::Loss) -> bool,
    ) -> Vec<model::TaskKey> {
        let mut changed = Vec::new();
        for task in tasks {
            let Some(losses) = self.task_mut(task) else {
                continue;
            };
            let before = losses.losses.len();
            let is_kept = |loss: &losses::Loss| loss.record.is_crash || !is_removed(loss);
            losses.losses.retain(is_kept);
            let is_empty = losses.losses.is_empty();
            if losses.losses.len() < before {
                changed.push(task);
            }
            if is_empty {
                self.remove_task(task);
            }
        }
        changed
    }

    /// Forgets tasks without losses in the index of incarnations.
    fn prune_lost_on(&mut self) {
        let jobs = &self.jobs;
        self.lost_on.retain(|_, tasks| {
            tasks.retain(|task| {
                let losses = jobs.get(&task.job_id);
                losses.is_some_and(|losses| losses.contains_key(task))
            });
            !tasks.is_empty()
        });
    }
}

impl scheduler::Scheduler {
    /// Returns the lost runs of a job, to be stored with it.
    pub(crate) fn losses_of(&self, job_id: model::JobId) -> Option<record::JobLosses> {
        let tasks = self.crashes.jobs.get(&job_id)?;
        let placed = tasks.keys().flat_map(|task| self.placed_runs_of(*task));
        let addresses = placed.filter_map(|(incarnation, _)| {
            Some((incarnation.clone(), self.address_of(incarnation)?))
        });
        let addresses = addresses.collect();
        let tasks = tasks.iter().map(|(task, losses)| {
            let records = losses.losses.iter().map(|loss| loss.record.clone());
            (*task, records.collect())
        });
        Some(record::JobLosses {
            job_id,
            tasks: tasks.collect(),
            addresses,
        })
    }

    fn address_of(&self, incarnation: &model::WorkerIncarnation) -> Option<sync::Arc<str>> {
        let worker = self.workers.get(incarnation);
        let report = worker.and_then(|worker| worker.report.as_ref());
        let address = report.map(|report| &report.address);
        let address = address.or_else(|| self.crashes.addresses.get(incarnation));
        address.map(sync::Arc::clone)
    }

    /// Records that all runs of an incarnation are lost for a reason that may be a crash.
    ///
    /// Must be called before the runs are removed: whether a run was isolated depends on the
    /// others.
    pub(crate) fn record_losses(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        clock: event::Clock,
    ) {
        let runs = self.workers.get(incarnation).map(|worker| &worker.runs);
        let keys: Vec<_> = runs
            .into_iter()
            .flat_map(|runs| runs.keys().copied())
            .collect();
        self.record_losses_of(incarnation, &keys, clock);
    }

    /// Records that some runs of an incarnation are lost; otherwise as [`Self::record_losses`].
    pub(crate) fn record_losses_of(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        keys: &[model::RunKey],
        clock: event::Clock,
    ) {
        let Some(worker) = self.workers.get(incarnation) else {
            return;
        };
        let report = worker.report.as_ref();
        if report.is_some_and(|report| report.draining) {
            return;
        }
        let address = self.address_of(incarnation);
        let runs = keys.iter();
        let runs = runs.filter_map(|key| Some((*key, worker.runs.get(key)?)));
        let executed = runs.filter(|(_, run)| run.phase != worker::RunPhase::Planned);
        let executed: Vec<_> = executed
            .map(|(key, run)| (key, run.is_start_undecided()))
            .collect();
        let early = early_runs(worker);
        // Orders that no worker confirms are more often lost with it than the cause of its crash.
        let is_any_confirmed = early.iter().any(|key| {
            let run = worker.runs.get(key);
            run.is_some_and(|run| run.confirmed_at.is_some())
        });
        for (key, is_undecided) in &executed {
            let Some(task) = self.crash_key(key.task) else {
                continue;
            };
            let is_early = early.contains(key);
            let belongs_to_job = |other: &model::RunKey| other.task.job_id == key.task.job_id;
            let record = record::LossRecord {
                run: key.run,
                incarnation: incarnation.clone(),
                address: address.clone(),
                is_early,
                is_attributable: is_early && is_any_confirmed && early.iter().all(belongs_to_job),
                is_crash: false,
            };
            let loss = match is_undecided {
                true => losses::Loss::undecided(record, key.task, clock.now),
                false => losses::Loss::new(record, clock.now),
            };
            self.crashes.add(task, loss);
            self.journal.mark_dirty(task.job_id);
        }
    }

    /// Returns the task at which the crashes of a task are recorded, unless it needs no record.
    fn crash_key(&self, task: model::TaskKey) -> Option<model::TaskKey> {
        let state = self.jobs.get(&task.job_id)?;
        let (step, step_state) = state.step(task.step_key())?;
        let is_open = state.outcome.is_none()
            && step_state
                .tasks
                .get(task.index as usize)
                .is_some_and(|task| task.phase != job::Phase::Done);
        let index = if step.gang { 0 } else { task.index };
        is_open.then_some(model::TaskKey { index, ..task })
    }

    /// Handles the result of a start order whose run may have been lost meanwhile: a rejected order
    /// has crashed no worker.
    pub(crate) fn decide_lost_start(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        key: model::RunKey,
        is_rejected: bool,
        clock: event::Clock,
    ) {
        let Some(task) = self.crash_key(key.task) else {
            return;
        };
        let losses = self.crashes.task_mut(task);
        let loss = losses.and_then(|losses| losses.undecided_mut(key, incarnation));
        let Some(loss) = loss else {
            return;
        };
        loss.undecided.retain(|undecided| *undecided != key.task);
        loss.may_have_started |= !is_rejected;
        let (is_open, evidence) = (!loss.undecided.is_empty(), loss.evidence);
        if loss.may_have_started {
            if let Some(evidence) = evidence {
                self.attribute_crash(incarnation, evidence, clock);
            }
        } else if !is_open {
            self.crashes.remove_unresolved([task], |loss| {
                loss.record.run == key.run && loss.record.incarnation == *incarnation
            });
            self.journal.mark_dirty(key.task.job_id);
        }
        self.placement_needed = true;
    }

    /// Counts the lost runs of an incarnation as crashes, and gives up jobs that reach their limit.
    ///
    /// Runs that may not have started are counted once that is known.
    pub(crate) fn attribute_crash(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        evidence: &'static str,
        clock: event::Clock,
    ) {
        let tasks = self.crashes.lost_on.swap_remove(incarnation);
        let mut crashed = Vec::new();
        for task in tasks.into_iter().flatten() {
            let Some(losses) = self.crashes.task_mut(task) else {
                continue;
            };
            let mut is_undecided = false;
            let own = losses
                .losses
                .iter_mut()
                .filter(|loss| loss.record.incarnation == *incarnation && !loss.record.is_crash);
            for loss in own {
                if !loss.may_have_started {
                    loss.evidence = Some(evidence);
                    is_undecided = true;
                    continue;
                }
                loss.record.is_crash = true;
                crashed.push((
                    model::RunKey {
                        task,
                        run: loss.record.run,
                    },
                    loss.record.is_early,
                    loss.record.is_attributable,
                ));
            }
            if is_undecided {
                let lost_on = self.crashes.lost_on.entry(incarnation.clone());
                lost_on.or_default().insert(task);
            }
        }
        if crashed.is_empty() {
            return;
        }
        self.crashes.crashed_workers += 1;
        for (key, is_early, is_attributable) in crashed {
            let Some(losses) = self.crashes.task(key.task) else {
                continue;
            };
            log::warn!(
                run:% = run_name(key),
                worker:% = incarnation.worker_id,
                born_ms = incarnation.born_ms,
                evidence,
                crashed_runs = losses.crashed_run_count(),
                crashed_workers = losses.crashed_worker_count(),
                is_early,
                is_attributable;
                "worker crashed under a run"
            );
            let reason = losses.reason_to_give_up(clock.now);
            self.crashes.crashed_tasks.insert(key.task);
            self.journal.mark_dirty(key.task.job_id);
            if let Some(reason) = reason {
                self.give_up(key, reason, clock);
            }
        }
        self.placement_needed = true;
    }

    fn give_up(&mut self, key: model::RunKey, reason: &str, clock: event::Clock) {
        let job_id = key.task.job_id;
        let state = self.jobs.get(&job_id);
        if state.is_none_or(|state| state.outcome.is_some()) {
            return;
        }
        let losses = self.crashes.task(key.task);
        log::warn!(
            job:% = journal::job_id_hex(job_id),
            run:% = run_name(key),
            crashed_runs = losses.map_or(0, losses::TaskLosses::crashed_run_count),
            crashed_workers = losses.map_or(0, losses::TaskLosses::crashed_worker_count),
            reason;
            "job given up because workers crash under it"
        );
        self.crashes.given_up_jobs += 1;
        self.decide_outcome(job_id, model::JobStatus::Failed, clock);
    }

    /// Resolves lost runs by what the directory lists.
    pub(crate) fn resolve_losses(&mut self, clock: event::Clock) {
        let unresolved = self.crashes.unresolved();
        if unresolved.is_empty() {
            return;
        }
        let listed = self.workers.iter().filter(|(_, worker)| worker.is_listed);
        let by_address: maps::HashMap<_, _> = listed
            .filter_map(|(incarnation, worker)| {
                let address = sync::Arc::clone(&worker.report.as_ref()?.address);
                Some((address, incarnation.clone()))
            })
            .collect();
        for (incarnation, address) in unresolved {
            let worker = self.workers.get(&incarnation);
            let report = worker.and_then(|worker| worker.report.as_ref());
            if report.is_some_and(|report| report.draining) {
                self.clear_losses_on(&incarnation);
                continue;
            }
            let newest = self.newest_incarnations.get(&incarnation.worker_id);
            let has_restarted = newest.is_some_and(|newest| newest.born_ms > incarnation.born_ms);
            let is_listed = worker.is_some_and(|worker| worker.is_listed);
            let is_replaced = !is_listed
                && address
                    .and_then(|address| by_address.get(&address))
                    .is_some_and(|other| other.born_ms > incarnation.born_ms);
            if has_restarted {
                self.attribute_crash(&incarnation, "a later incarnation is listed", clock);
            } else if is_replaced {
                self.attribute_crash(&incarnation, "another worker has its address", clock);
            }
        }
    }

    /// Forgets the unresolved losses on an incarnation that has not crashed.
    pub(crate) fn clear_losses_on(&mut self, incarnation: &model::WorkerIncarnation) {
        let Some(tasks) = self.crashes.lost_on.swap_remove(incarnation) else {
            return;
        };
        let cleared = self
            .crashes
            .remove_unresolved(tasks, |loss| loss.record.incarnation == *incarnation);
        self.mark_all_dirty(cleared);
    }

    /// Forgets unresolved losses after their retention time, and the crashes of tasks that have
    /// worked for long since.
    pub(crate) fn expire_losses(&mut self, clock: event::Clock) {
        let checked_at = self.crashes.expiry_checked_at;
        let is_due = checked_at
            .is_none_or(|at| clock.now.saturating_duration_since(at) >= EXPIRY_CHECK_INTERVAL);
        if self.crashes.jobs.is_empty() || !is_due {
            return;
        }
        self.crashes.expiry_checked_at = Some(clock.now);
        let tasks = self.crashes.jobs.values().flat_map(|tasks| tasks.keys());
        let tasks: Vec<_> = tasks.copied().collect();
        let expired = self.crashes.remove_unresolved(tasks, |loss| {
            clock.now.saturating_duration_since(loss.lost_at) >= LOSS_RETENTION
        });
        self.mark_all_dirty(expired);
        self.crashes.prune_lost_on();
        for task in self
            .crashes
            .crashed_tasks
            .iter()
            .copied()
            .collect::<Vec<_>>()
        {
            let runs = self.confirmed_runs(task);
            let is_cleared = !runs.is_empty()
                && runs
                    .iter()
                    .all(|(_, since)| clock.now.saturating_duration_since(*since) >= CLEARED_AFTER);
            let losses = self.crashes.task(task);
            if let Some(reason) = losses.and_then(|losses| losses.reason_to_give_up(clock.now)) {
                let run = losses
                    .and_then(losses::TaskLosses::last_run)
                    .unwrap_or_default();
                self.give_up(model::RunKey { task, run }, reason, clock);
            } else if is_cleared {
                log::info!(task:? = task; "task cleared of earlier crashes");
                self.crashes.remove_task(task);
                self.journal.mark_dirty(task.job_id);
            }
        }
    }

    fn mark_all_dirty(&mut self, tasks: Vec<model::TaskKey>) {
        for task in tasks {
            self.journal.mark_dirty(task.job_id);
        }
    }

    /// Returns the workers of the confirmed runs of a task, or of all members of its gang, and since
    /// when they have run.
    fn confirmed_runs(
        &self,
        task: model::TaskKey,
    ) -> Vec<(&model::WorkerIncarnation, time::Instant)> {
        let runs = self.placed_runs_of(task).into_iter();
        let running = runs.filter(|(_, run)| run.phase == worker::RunPhase::Running);
        let running = running.map(|(incarnation, run)| (incarnation, run.since));
        running.collect()
    }

    /// Returns the runs of a task, or of all members of its gang, with their workers.
    pub(crate) fn placed_runs_of(
        &self,
        task: model::TaskKey,
    ) -> Vec<(&model::WorkerIncarnation, &worker::WorkerRun)> {
        let state = self.jobs.get(&task.job_id);
        let Some((step, step_state)) = state.and_then(|state| state.step(task.step_key())) else {
            return Vec::new();
        };
        let members = if step.gang {
            0..step.task_count
        } else {
            task.index..task.index + 1
        };
        let placed = members.filter_map(|index| {
            let member = step_state.tasks.get(index as usize)?;
            let job::Phase::Placed(incarnation) = &member.phase else {
                return None;
            };
            let key = model::RunKey {
                task: model::TaskKey { index, ..task },
                run: member.last_run,
            };
            let run = self.workers.get(incarnation)?.runs.get(&key)?;
            Some((incarnation, run))
        });
        placed.collect()
    }
}

/// Returns the runs of a worker that had begun last when it was last heard of: those whose start it
/// has not confirmed, and the youngest of the others.
///
/// Runs that an earlier leader started are left out, as their age is not known.
fn early_runs(worker: &worker::Worker) -> maps::HashSet<model::RunKey> {
    let started = worker.runs.iter().filter(|(_, run)| run.attempts > 0);
    let last_confirmed_at = started
        .clone()
        .filter_map(|(_, run)| run.confirmed_at)
        .max();
    let is_early = |run: &worker::WorkerRun| match (run.confirmed_at, last_confirmed_at) {
        (Some(at), Some(last)) => {
            let age = worker
                .heard_at()
                .map(|heard_at| heard_at.saturating_duration_since(at));
            age.is_some_and(|age| age < EARLY_CRASH_TIME)
                && last.saturating_duration_since(at) <= CONFIRMATION_JITTER
        }
        _ => true,
    };
    let early = started.filter(|(_, run)| is_early(run));
    early.map(|(key, _)| *key).collect()
}

/// Returns the task at which the losses of a gang are recorded.
fn first_task(step: model::StepKey) -> model::TaskKey {
    task_of(step, 0)
}

pub(crate) fn task_of(step: model::StepKey, index: u32) -> model::TaskKey {
    model::TaskKey {
        job_id: step.job_id,
        occurrence: step.occurrence,
        step: step.step,
        index,
    }
}
