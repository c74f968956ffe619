//! Isolation of suspects: tasks under which workers have crashed run apart from the runs of other jobs.

use std::time;

use crate::event;
use crate::job;
use crate::journal;
use crate::losses;
use crate::maps;
use crate::scheduler;
use crate::worker;

/// How long the run of a suspect, as listed by its worker, keeps the runs of other jobs off it.
const ISOLATION_TIME: time::Duration = time::Duration::from_secs(1);
/// At most one in this many workers of a pool has suspects that may crash it, or is kept for them.
const SUSPECT_WORKERS_DIVISOR: usize = 3;
/// At most one in this many workers with suspects has one of strong suspicion while others wait: most of
/// these are neighbours of culprits.
const STRONG_SUSPECTS_DIVISOR: usize = 4;
/// One in this many workers that may have suspects is left to those of weak suspicion that have waited
/// longest: others of higher priority must not keep them waiting without end.
const LONGEST_WAITING_DIVISOR: usize = 4;
/// How long a suspect waits for a worker without runs of other jobs.
const EMPTY_WORKER_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// How long a suspect waits for a worker without long-running tasks and other suspects.
const SPARING_TIMEOUT: time::Duration = time::Duration::from_millis(2_000);

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
    /// How long the last of these waits if the fate remains unknown.
    pub(crate) verdict_wait_left: time::Duration,
    /// How many of them are suspects that wait for others.
    pub(crate) behind_suspects: u32,
}

/// Workers that have runs of suspects.
#[derive(Debug, Default)]
pub(crate) struct SuspectWorkers {
    workers: maps::HashMap<model::WorkerIncarnation, Suspects>,
    pools: maps::HashMap<model::PoolName, PoolSuspects>,
    /// Workers that only suspects may use, so that they become empty.
    set_aside: maps::HashSet<model::WorkerIncarnation>,
    /// Suspects of weak suspicion that have waited longest.
    longest_waiting: maps::HashSet<model::TaskKey>,
}

/// Workers of a pool that have runs of suspects.
#[derive(Debug)]
struct PoolSuspects {
    count: usize,
    strong: usize,
    /// How many of them take only runs of a suspect's job.
    kept: usize,
    /// How many suspects wait.
    waiting: usize,
    /// Those of weak suspicion, with the times since which they wait.
    waiting_weak: Vec<(time::Instant, model::TaskKey)>,
    /// How many workers may have suspects, and may be kept or set aside for them.
    limit: usize,
}

/// The suspects on a worker.
#[derive(Debug, Default)]
struct Suspects {
    job_ids: maps::HashSet<model::JobId>,
    /// Whether one of them is of strong suspicion.
    is_strong: bool,
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
    /// Returns whether no further worker of a pool may get a suspect, which may crash it.
    pub(crate) fn is_full(
        &self,
        pool: &model::PoolName,
        task: model::TaskKey,
        suspicion: losses::Suspicion,
    ) -> bool {
        self.pools.get(pool).is_some_and(|in_pool| {
            let mut limit = in_pool.limit.max(1);
            if !in_pool.waiting_weak.is_empty() && !self.longest_waiting.contains(&task) {
                limit = (limit - limit.div_ceil(LONGEST_WAITING_DIVISOR)).max(1);
            }
            let is_strong_limited = suspicion == losses::Suspicion::Strong
                && !in_pool.waiting_weak.is_empty()
                && in_pool.strong >= limit.div_ceil(STRONG_SUSPECTS_DIVISOR);
            suspicion != losses::Suspicion::None && (in_pool.count >= limit || is_strong_limited)
        })
    }

    /// Returns whether a worker is to become empty for suspects.
    pub(crate) fn is_set_aside(&self, incarnation: &model::WorkerIncarnation) -> bool {
        self.set_aside.contains(incarnation)
    }

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
    /// Returns the isolation of a suspect that has waited for so long.
    pub(crate) fn after(waited: time::Duration) -> Self {
        if waited < EMPTY_WORKER_TIMEOUT {
            Self::EmptyWorker
        } else if waited < SPARING_TIMEOUT {
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
        for task in &self.crashes.crashed_tasks {
            let suspicion = self.crashes.suspicion_of(*task);
            if suspicion == losses::Suspicion::None {
                continue;
            }
            if let Some(pool) = self.pool_of_waiting(*task) {
                let in_pool = self.pool_suspects(pool, &mut suspects);
                in_pool.waiting += 1;
                let wait = self.crashes.task(*task).and_then(|losses| losses.wait);
                if suspicion == losses::Suspicion::Weak {
                    let since = wait.map_or(clock.now, |wait| wait.since);
                    in_pool.waiting_weak.push((since, *task));
                }
            }
            for (incarnation, run) in self.placed_runs_of(*task) {
                // A worker that has crashed may not be known as silent yet.
                let worker = self.workers.get(incarnation);
                let heard_at = worker.and_then(worker::Worker::heard_at);
                let has_settled = run.phase == worker::RunPhase::Running
                    && heard_at.is_some_and(|at| {
                        at.saturating_duration_since(run.since) >= ISOLATION_TIME
                    });
                if !has_settled {
                    self.add_suspect(incarnation, task.job_id, suspicion, &mut suspects);
                }
            }
        }
        for in_pool in suspects.pools.values_mut() {
            in_pool.waiting_weak.sort_unstable();
            let count = in_pool.limit.max(1).div_ceil(LONGEST_WAITING_DIVISOR);
            let longest = in_pool.waiting_weak.iter().take(count);
            suspects
                .longest_waiting
                .extend(longest.map(|(_, task)| *task));
        }
        self.set_workers_aside(&mut suspects, clock);
        suspects
    }

    /// Returns the pool of a task that waits to be placed.
    fn pool_of_waiting(&self, task: model::TaskKey) -> Option<&model::PoolName> {
        let state = self.jobs.get(&task.job_id)?;
        let (_, step_state) = state.step(task.step_key())?;
        let phase = &step_state.tasks.get(task.index as usize)?.phase;
        let is_waiting = state.outcome.is_none() && *phase == job::Phase::Waiting;
        is_waiting.then(|| &Self::queue_of(&self.manifest, state).pool)
    }

    fn pool_suspects<'a>(
        &self,
        pool: &model::PoolName,
        suspects: &'a mut SuspectWorkers,
    ) -> &'a mut PoolSuspects {
        let in_pool = suspects.pools.entry(pool.clone());
        in_pool.or_insert_with(|| PoolSuspects {
            count: 0,
            strong: 0,
            kept: 0,
            waiting: 0,
            waiting_weak: Vec::new(),
            limit: self.suspect_worker_limit(pool),
        })
    }

    /// Sets the least used workers of each pool aside for waiting suspects: on busy workers none would
    /// become empty otherwise.
    fn set_workers_aside(&self, suspects: &mut SuspectWorkers, clock: event::Clock) {
        for (pool, in_pool) in &suspects.pools {
            let wanted = in_pool.limit.saturating_sub(in_pool.count);
            let wanted = wanted.min(in_pool.waiting);
            if wanted == 0 {
                continue;
            }
            let is_usable = |worker: &worker::Worker| {
                let report = worker.report.as_ref();
                worker.accepts_plans(clock.now)
                    && report.is_some_and(|report| report.pool == *pool)
                    && !worker.runs.keys().any(|run| self.is_long_running(run.task))
            };
            let workers = self.workers.iter();
            let mut usable: Vec<_> = workers
                .filter(|(incarnation, worker)| {
                    !suspects.workers.contains_key(*incarnation) && is_usable(worker)
                })
                .collect();
            usable.sort_by_key(|(_, worker)| worker.used.processors_milli);
            let chosen = usable.into_iter().take(wanted);
            let chosen = chosen.map(|(incarnation, _)| incarnation.clone());
            suspects.set_aside.extend(chosen);
        }
    }

    /// Adds a suspect to a worker, which is kept for it unless too many of the pool are.
    fn add_suspect(
        &self,
        incarnation: &model::WorkerIncarnation,
        job_id: model::JobId,
        suspicion: losses::Suspicion,
        suspects: &mut SuspectWorkers,
    ) {
        let worker = self.workers.get(incarnation);
        let Some((worker, report)) = worker.and_then(|one| Some((one, one.report.as_ref()?)))
        else {
            return;
        };
        let on_worker = suspects.workers.entry(incarnation.clone()).or_default();
        let is_new = on_worker.job_ids.is_empty();
        on_worker.job_ids.insert(job_id);
        let is_strong = suspicion == losses::Suspicion::Strong && !on_worker.is_strong;
        on_worker.is_strong |= is_strong;
        let is_kept = on_worker.is_kept;
        let in_pool = self.pool_suspects(&report.pool, suspects);
        in_pool.count += usize::from(is_new);
        in_pool.strong += usize::from(is_strong);
        let is_isolated = worker.runs.keys().all(|run| run.task.job_id == job_id);
        if !is_kept && is_isolated && in_pool.kept < in_pool.limit {
            in_pool.kept += 1;
            let on_worker = suspects.workers.entry(incarnation.clone()).or_default();
            on_worker.is_kept = true;
        }
    }

    /// Returns how many workers of a pool may have suspects or be kept for them.
    fn suspect_worker_limit(&self, pool: &model::PoolName) -> usize {
        let reports = self.workers.values().filter_map(|one| one.report.as_ref());
        let in_pool = reports.filter(|report| report.pool == *pool);
        // Incarnations that have crashed stay known for some time beside those that replace them.
        let addresses: maps::HashSet<_> = in_pool.map(|report| &report.address).collect();
        match addresses.len() {
            0 | 1 => 0,
            count => (count / SUSPECT_WORKERS_DIVISOR).max(1),
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
        suspect_workers: &SuspectWorkers,
        clock: event::Clock,
    ) -> (WithheldTasks, Vec<model::TaskKey>) {
        let (mut withheld, mut suspects) = (WithheldTasks::default(), Vec::new());
        let Some(tasks) = self.crashes.jobs.get_mut(&key.job_id) else {
            return (withheld, suspects);
        };
        let Some(state) = self.jobs.get(&key.job_id) else {
            return (withheld, suspects);
        };
        let Some((_, step_state)) = state.step(key) else {
            return (withheld, suspects);
        };
        let pool = &Self::queue_of(&self.manifest, state).pool;
        for (task, losses) in tasks.iter_mut().filter(|(task, _)| task.step_key() == key) {
            let state = step_state.tasks.get(task.index as usize);
            if state.is_none_or(|state| state.phase != job::Phase::Waiting) {
                continue;
            }
            let suspicion = losses.suspicion();
            let is_limited = suspect_workers.is_full(pool, *task, suspicion);
            losses.update_isolation(is_limited, clock.now);
            if let Some(left) = losses.verdict_wait_left(clock.now) {
                withheld.insert(task.index);
                withheld.awaiting_verdict += 1;
                withheld.verdict_wait_left = withheld.verdict_wait_left.max(left);
            } else if is_limited {
                withheld.insert(task.index);
                withheld.behind_suspects += 1;
            } else if suspicion != losses::Suspicion::None {
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
    ) {
        let suspicion = self.crashes.suspicion_of(task);
        let losses = self.crashes.task_mut(task);
        let Some(losses) = losses.filter(|_| suspicion != losses::Suspicion::None) else {
            return;
        };
        let waited = losses.wait.take().map(|wait| wait.waited);
        log::info!(
            job:% = journal::job_id_hex(task.job_id),
            step = task.step,
            task = task.index,
            isolation:? = losses.isolation,
            suspicion:? = suspicion,
            crashed_runs = losses.crashed_run_count(),
            waited_ms = waited.unwrap_or_default().as_millis() as u64;
            "run of a suspect planned"
        );
        let incarnations = self.placed_runs_of(task).into_iter();
        for incarnation in incarnations
            .map(|(incarnation, _)| incarnation.clone())
            .collect::<Vec<_>>()
        {
            self.add_suspect(&incarnation, task.job_id, suspicion, suspects);
        }
    }
}
