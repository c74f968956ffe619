//! Isolation of suspects: tasks under which workers have crashed run apart from the runs of other jobs.

use std::time;

use crate::event;
use crate::job;
use crate::journal;
use crate::losses;
use crate::maps;
use crate::scheduler;
use crate::worker;

/// How long the run of a suspect keeps the runs of other jobs off its worker.
const ISOLATION_TIME: time::Duration = time::Duration::from_secs(1);
/// At most one in this many workers of a pool is kept for suspects.
const ISOLATED_WORKERS_DIVISOR: usize = 4;
/// How long a suspect after its first crash waits for a worker without runs of other jobs.
const FIRST_EMPTY_WORKER_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// How long any other suspect waits for a worker without runs of other jobs.
const EMPTY_WORKER_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
/// How long a suspect waits for a worker without long-running tasks and other suspects.
const SPARING_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// What the next run of a task must not share a worker with; each variant permits more workers than
/// the one before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Isolation {
    /// Any run of another job.
    EmptyWorker,
    /// Long-running tasks and suspects of other jobs.
    Sparing,
    /// Suspects of other jobs; each keeps them off for `ISOLATION_TIME` at most.
    SuspectFree,
    /// Nothing: the task is no suspect.
    #[default]
    None,
}

/// Waiting tasks of a step that ordinary placement must not start.
#[derive(Debug, Default)]
pub(crate) struct WithheldTasks {
    indexes: maps::HashSet<u32>,
    /// How many of them wait for the fate of a worker.
    pub(crate) awaiting_verdict: u32,
}

/// Workers that have runs of suspects.
#[derive(Debug, Default)]
pub(crate) struct SuspectWorkers {
    workers: maps::HashMap<model::WorkerIncarnation, Suspects>,
    kept: maps::HashMap<model::PoolName, KeptWorkers>,
}

/// Workers of a pool that take only runs of a suspect's job.
#[derive(Debug)]
struct KeptWorkers {
    count: usize,
    limit: usize,
}

/// The suspects on a worker.
#[derive(Debug, Default)]
struct Suspects {
    job_ids: maps::HashSet<model::JobId>,
    /// Whether the worker takes no runs of other jobs.
    is_kept: bool,
}

impl WithheldTasks {
    pub(crate) fn contains(&self, index: u32) -> bool {
        self.indexes.contains(&index)
    }

    fn insert(&mut self, index: u32) {
        self.indexes.insert(index);
    }
}

impl SuspectWorkers {
    fn has_others(&self, incarnation: &model::WorkerIncarnation, job_id: model::JobId) -> bool {
        let suspects = self.workers.get(incarnation);
        suspects.is_some_and(|one| one.job_ids.iter().any(|other| *other != job_id))
    }

    fn is_kept_for_others(
        &self,
        incarnation: &model::WorkerIncarnation,
        job_id: model::JobId,
    ) -> bool {
        let suspects = self.workers.get(incarnation);
        suspects.is_some_and(|one| one.is_kept) && self.has_others(incarnation, job_id)
    }
}

impl Isolation {
    /// Returns the isolation of a suspect that has waited for so long; after its first crash it waits
    /// for a shorter time.
    pub(crate) fn after(waited: time::Duration, is_first: bool) -> Self {
        let (empty_timeout, sparing_timeout) = match is_first {
            true => (FIRST_EMPTY_WORKER_TIMEOUT, FIRST_EMPTY_WORKER_TIMEOUT),
            false => (EMPTY_WORKER_TIMEOUT, SPARING_TIMEOUT),
        };
        if waited < empty_timeout {
            Self::EmptyWorker
        } else if waited < sparing_timeout {
            Self::Sparing
        } else {
            Self::SuspectFree
        }
    }
}

impl scheduler::Scheduler {
    /// Returns the workers that have runs of suspects.
    pub(crate) fn suspect_workers(&self, clock: event::Clock) -> SuspectWorkers {
        let mut suspects = SuspectWorkers::default();
        let tasks = self.crashes.crashed_tasks.iter();
        let is_suspect = |task: &&model::TaskKey| {
            let losses = self.crashes.task(**task);
            losses.is_some_and(losses::TaskLosses::is_suspect)
        };
        for task in tasks.filter(is_suspect) {
            for (incarnation, run) in self.placed_runs_of(*task) {
                let has_settled = run.phase == worker::RunPhase::Running
                    && clock.now.saturating_duration_since(run.since) >= ISOLATION_TIME;
                if !has_settled {
                    self.add_suspect(incarnation, task.job_id, &mut suspects);
                }
            }
        }
        suspects
    }

    /// Adds a suspect to a worker, which is kept for it unless too many of the pool are.
    fn add_suspect(
        &self,
        incarnation: &model::WorkerIncarnation,
        job_id: model::JobId,
        suspects: &mut SuspectWorkers,
    ) {
        let on_worker = suspects.workers.entry(incarnation.clone()).or_default();
        on_worker.job_ids.insert(job_id);
        if on_worker.is_kept {
            return;
        }
        let worker = self.workers.get(incarnation);
        let is_isolated = |worker: &&worker::Worker| {
            let mut runs = worker.runs.keys();
            runs.all(|run| run.task.job_id == job_id)
        };
        let report = worker.filter(is_isolated);
        let Some(report) = report.and_then(|worker| worker.report.as_ref()) else {
            return;
        };
        let kept = suspects.kept.entry(report.pool.clone());
        let kept = kept.or_insert_with(|| KeptWorkers {
            count: 0,
            limit: self.kept_worker_limit(&report.pool),
        });
        if kept.count < kept.limit {
            kept.count += 1;
            on_worker.is_kept = true;
        }
    }

    /// Returns how many workers of a pool may be kept for suspects.
    fn kept_worker_limit(&self, pool: &model::PoolName) -> usize {
        let in_pool = self.workers.values().filter(|worker| {
            let report = worker.report.as_ref();
            report.is_some_and(|report| report.pool == *pool)
        });
        match in_pool.count() {
            0 | 1 => 0,
            count => (count / ISOLATED_WORKERS_DIVISOR).max(1),
        }
    }

    /// Returns whether the runs on a worker permit a run of a job there.
    pub(crate) fn permits_beside(
        &self,
        incarnation: &model::WorkerIncarnation,
        job_id: model::JobId,
        isolation: Isolation,
        suspects: &SuspectWorkers,
    ) -> bool {
        if suspects.is_kept_for_others(incarnation, job_id) {
            return false;
        }
        if isolation == Isolation::None {
            return true;
        }
        if suspects.has_others(incarnation, job_id) {
            return false;
        }
        let runs = self.workers.get(incarnation).map(|worker| &worker.runs);
        let others = runs.into_iter().flat_map(|runs| runs.keys());
        let mut others = others.filter(|other| other.task.job_id != job_id);
        match isolation {
            Isolation::EmptyWorker => others.next().is_none(),
            Isolation::Sparing => !others.any(|other| self.is_long_running(other.task)),
            Isolation::SuspectFree | Isolation::None => true,
        }
    }

    fn is_long_running(&self, task: model::TaskKey) -> bool {
        let state = self.jobs.get(&task.job_id);
        let step = state.and_then(|state| state.step(task.step_key()));
        step.is_some_and(|(step, _)| step.long_running)
    }

    /// Returns the waiting tasks of a step that ordinary placement must not start, and the suspects
    /// among them that may start now.
    pub(crate) fn withheld_tasks(
        &mut self,
        key: model::StepKey,
        clock: event::Clock,
    ) -> (WithheldTasks, Vec<model::TaskKey>) {
        let (mut withheld, mut suspects) = (WithheldTasks::default(), Vec::new());
        let Some(tasks) = self.crashes.jobs.get_mut(&key.job_id) else {
            return (withheld, suspects);
        };
        let Some((_, step_state)) = self.jobs.get(&key.job_id).and_then(|one| one.step(key)) else {
            return (withheld, suspects);
        };
        for (task, losses) in tasks.iter_mut().filter(|(task, _)| task.step_key() == key) {
            let state = step_state.tasks.get(task.index as usize);
            if state.is_none_or(|state| state.phase != job::Phase::Waiting) {
                continue;
            }
            losses.update_isolation(clock.now);
            if losses.awaits_verdict(clock.now) {
                withheld.insert(task.index);
                withheld.awaiting_verdict += 1;
            } else if losses.is_suspect() {
                withheld.insert(task.index);
                suspects.push(*task);
            }
        }
        (withheld, suspects)
    }

    /// Notes that runs of a suspect, or of all members of its gang, are planned.
    pub(crate) fn on_suspect_planned(
        &mut self,
        task: model::TaskKey,
        suspects: &mut SuspectWorkers,
        clock: event::Clock,
    ) {
        let Some(losses) = self
            .crashes
            .task_mut(task)
            .filter(|losses| losses.is_suspect())
        else {
            return;
        };
        let waited = losses.waiting_since.take();
        log::info!(
            job:% = journal::job_id_hex(task.job_id),
            step = task.step,
            task = task.index,
            isolation:? = losses.isolation,
            crashed_runs = losses.crashed_run_count(),
            waited_ms = waited.map_or(0, |at| {
                clock.now.saturating_duration_since(at).as_millis() as u64
            });
            "run of a suspect planned"
        );
        let incarnations = self.placed_runs_of(task).into_iter();
        for incarnation in incarnations
            .map(|(incarnation, _)| incarnation.clone())
            .collect::<Vec<_>>()
        {
            self.add_suspect(&incarnation, task.job_id, suspects);
        }
    }
}
