//! The workers of one holder and the runs on them.

use std::cmp;
use std::collections;
use std::time;

use crate::fleet_settings;
use crate::gang_queue;
use crate::health;
use crate::memory_peaks;
use crate::pool;
use crate::queue_settings;
use crate::run;
use crate::short_slots;
use crate::spread;
use crate::worker;

/// A task to place, or some members of a gang.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The task.
    pub task: &'a model::Task,
    /// Attempt of every member.
    pub attempt: model::Attempt,
    /// Members to place.
    pub members: &'a [u16],
    /// Resources to reserve for each member.
    pub reserve: model::Demand,
    /// Predicted run time.
    pub expected_run_time: time::Duration,
    /// Whether the task is predicted to be short.
    pub short: bool,
    /// Whether the members are only reserved until a second request commits them.
    pub reserve_only: bool,
}

/// Error for a request that does not fit in the current free capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InsufficientCapacity;

/// Maximum number of tasks for which the worker that failed them is remembered.
const MAX_FAILED_TASKS: usize = 1024;

/// How a run ended.
#[derive(Clone, Copy, Debug)]
pub struct RunOutcome {
    /// Whether the task reported success.
    pub succeeded: bool,
    /// Whether the failure was the worker's fault rather than the task's.
    pub worker_fault: bool,
    /// Run time.
    pub run_time: time::Duration,
    /// Largest observed use.
    pub peak: model::Demand,
}

pub(crate) type Due = cmp::Reverse<(time::Instant, model::TaskAttempt)>;

/// The workers of one holder, which alone accounts for their free capacity.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) settings: fleet_settings::FleetSettings,
    pub(crate) pool: pool::Pool,
    pub(crate) runs: indexmap::IndexMap<model::TaskAttempt, run::Run>,
    pub(crate) short_slots: short_slots::ShortSlots,
    /// Time of the latest event.
    pub(crate) last_event_at: Option<time::Instant>,
    /// Number of committed runs that count as short.
    pub(crate) short_running: u32,
    /// Number of runs that were handed to a worker.
    committed: usize,
    spread: spread::Spread,
    kinds: indexmap::IndexMap<spread::KindKey, health::KindHealth>,
    pub(crate) memory_peaks: memory_peaks::MemoryPeaks,
    pub(crate) on_probation: indexmap::IndexSet<usize>,
    /// Worker whose own fault last failed a task, for at most [`MAX_FAILED_TASKS`] tasks.
    pub(crate) failed_on: indexmap::IndexMap<model::TaskId, usize>,
    pub(crate) gang_queue: gang_queue::GangQueue,
    /// Long runs that may be checkpointed in favour of short ones, by start time.
    pub(crate) preemptible_runs: collections::BTreeSet<(time::Instant, model::TaskAttempt)>,
    /// Long batch runs that must not be repeated, by start time.
    pub(crate) unrepeatable_runs: collections::BTreeSet<(time::Instant, model::TaskAttempt)>,
    /// Runs whose checkpoint was requested to free a slot for short runs.
    pub(crate) checkpointing: indexmap::IndexSet<model::TaskAttempt>,
    /// When short runs start to count as long; may hold runs that have ended.
    pub(crate) demotions: collections::BinaryHeap<Due>,
    /// When reservations expire; may hold runs that have been committed or removed.
    pub(crate) reservation_expiries: collections::BinaryHeap<Due>,
    pub(crate) refreshed_at: Option<time::Instant>,
    pub(crate) preempted_at: Option<time::Instant>,
    pub(crate) throttled: indexmap::IndexSet<model::TaskAttempt>,
}

impl Fleet {
    /// Returns a fleet without workers.
    #[must_use]
    pub fn new(settings: fleet_settings::FleetSettings) -> Self {
        let separate_accelerated = settings.policy == queue_settings::Policy::Fair;
        let memory_peaks = memory_peaks::MemoryPeaks::new(settings.max_kinds);
        let short_slots = short_slots::ShortSlots::new(settings.short_slot_deviations);
        Self {
            settings,
            pool: pool::Pool::new(separate_accelerated),
            runs: indexmap::IndexMap::new(),
            short_slots,
            last_event_at: None,
            short_running: 0,
            committed: 0,
            spread: spread::Spread::default(),
            kinds: indexmap::IndexMap::new(),
            memory_peaks,
            on_probation: indexmap::IndexSet::new(),
            failed_on: indexmap::IndexMap::new(),
            gang_queue: gang_queue::GangQueue::default(),
            preemptible_runs: collections::BTreeSet::new(),
            unrepeatable_runs: collections::BTreeSet::new(),
            checkpointing: indexmap::IndexSet::new(),
            demotions: collections::BinaryHeap::new(),
            reservation_expiries: collections::BinaryHeap::new(),
            refreshed_at: None,
            preempted_at: None,
            throttled: indexmap::IndexSet::new(),
        }
    }

    /// Adds a worker and adopts the runs it already has; replaces a worker of the same id.
    pub fn add_worker(
        &mut self,
        worker_id: model::WorkerId,
        location: model::Location,
        capacity: model::WorkerCapacity,
        leaving: bool,
        running: &[model::RunningRun],
        now: time::Instant,
    ) {
        self.last_event_at = Some(now);
        self.remove_worker(&worker_id);
        let worker = worker::Worker::new(worker_id, location, capacity, leaving);
        let index = self.pool.add(worker, now);
        for adopted in running {
            self.remove_run(&adopted.run, now);
            let running = time::Duration::from_millis(adopted.running_ms);
            let run = run::Run {
                worker: index,
                task: adopted.task.clone(),
                stage: run::Stage::Committed,
                reserved: adopted.reserved,
                short: false,
                started_at: now.checked_sub(running).unwrap_or(now),
                overruns: 0,
                throttle: None,
                end_requested_at: None,
            };
            self.add_run(adopted.run, run, now);
        }
    }

    /// Removes a worker and returns the runs that were handed to it.
    pub fn remove_worker(&mut self, worker_id: &model::WorkerId) -> Vec<model::TaskAttempt> {
        let Some(index) = self.pool.index_of(worker_id) else {
            return Vec::new();
        };
        let runs: Vec<_> = self.runs_of(index);
        let mut committed = Vec::new();
        for run in runs {
            if let Some(removed) = self.detach_run(&run) {
                committed.extend(removed.is_committed().then_some(run));
            }
        }
        self.on_probation.swap_remove(&index);
        self.pool.remove(worker_id);
        committed
    }

    /// Sets whether a worker is leaving and accepts no new runs.
    pub fn set_leaving(&mut self, worker_id: &model::WorkerId, leaving: bool) {
        let Some(now) = self.last_event_at else {
            return;
        };
        if let Some(index) = self.pool.index_of(worker_id) {
            self.pool
                .update(index, now, |worker| worker.leaving = leaving);
        }
    }

    /// Frees the resources of a run without recording a result.
    pub fn release(&mut self, run: model::TaskAttempt) {
        let Some(now) = self.last_event_at else {
            return;
        };
        if self.remove_run(&run, now).is_some() {
            self.reserve_for_active_gang(now);
        }
    }

    /// Frees the resources of a finished run and records its result.
    pub fn record_finished(
        &mut self,
        run: model::TaskAttempt,
        report: &RunOutcome,
        now: time::Instant,
    ) {
        self.last_event_at = Some(now);
        let Some(ended) = self.remove_run(&run, now) else {
            return;
        };
        if self.settings.policy == queue_settings::Policy::Fair {
            self.record_result(&ended, report, now);
        }
        self.reserve_for_active_gang(now);
    }

    /// Returns the capacity to advertise to owners; `queued` is left at 0.
    #[must_use]
    pub fn summary(&self) -> model::CapacitySummary {
        let free = self.pool.free();
        let long = self.free_long_slots().min(free.slots);
        model::CapacitySummary {
            workers: self.pool.len() as u32,
            free_slots: long,
            free_short_slots: free.slots - long,
            free: free.resources,
            largest_free: self.pool.largest_free(),
            largest_worker: self.pool.largest_worker(),
            slots: self.pool.slots(),
            queued: 0,
        }
    }

    /// Returns the worker of a reserved or committed run.
    #[must_use]
    pub fn worker_of(&self, run: &model::TaskAttempt) -> Option<&model::WorkerId> {
        let run = self.runs.get(run)?;
        Some(&self.pool.get(run.worker)?.worker_id)
    }

    /// Returns the runs that were handed to a worker.
    #[must_use]
    pub fn runs_on(&self, worker_id: &model::WorkerId) -> Vec<model::TaskAttempt> {
        let Some(index) = self.pool.index_of(worker_id) else {
            return Vec::new();
        };
        let mut runs = self.runs_of(index);
        runs.retain(|run| self.runs.get(run).is_some_and(run::Run::is_committed));
        runs
    }

    /// Returns the number of runs that were handed to a worker.
    #[must_use]
    pub fn running(&self) -> usize {
        self.committed
    }

    /// Returns the number of racks with a worker.
    #[must_use]
    pub fn racks(&self) -> u32 {
        self.pool.racks() as u32
    }

    /// Returns how many more slots may go to tasks that are not short.
    pub(crate) fn free_long_slots(&self) -> u32 {
        let for_short = self.pool.short_task_capacity() + self.short_running;
        for_short.saturating_sub(self.short_slots.slots())
    }

    pub(crate) fn spread_load(&self, key: &spread::KindKey, at: &model::Location) -> spread::Load {
        self.spread.load(key, at)
    }

    pub(crate) fn add_run(&mut self, id: model::TaskAttempt, run: run::Run, now: time::Instant) {
        let index = run.worker;
        let reserved = run.reserved;
        self.pool.update(index, now, |worker| {
            worker.reserved = worker.reserved.plus(&reserved);
            worker.runs.insert(id);
        });
        if run.task.spec.class == model::Class::Service
            && let Some(worker) = self.pool.get(index)
        {
            let key = spread::KindKey::of(&run.task);
            self.spread.add(key, &worker.location);
        }
        if let run::Stage::Reserved { expires_at } = run.stage {
            self.reservation_expiries
                .push(cmp::Reverse((expires_at, id)));
        }
        self.index_run(id, &run);
        self.runs.insert(id, run);
    }

    /// Adds a committed run to the counts and indexes by length.
    pub(crate) fn index_run(&mut self, id: model::TaskAttempt, run: &run::Run) {
        if !run.is_committed() {
            return;
        }
        self.committed += 1;
        if run.short {
            self.short_running += 1;
            let due = run.started_at + self.settings.demote_after;
            self.demotions.push(cmp::Reverse((due, id)));
        } else if run.can_checkpoint() {
            self.preemptible_runs.insert((run.started_at, id));
        } else if run.task.spec.class == model::Class::Batch {
            self.unrepeatable_runs.insert((run.started_at, id));
        }
    }

    /// Reverts [`Fleet::index_run`].
    pub(crate) fn unindex_run(&mut self, id: model::TaskAttempt, run: &run::Run) {
        if !run.is_committed() {
            return;
        }
        self.committed -= 1;
        if run.short {
            self.short_running -= 1;
        }
        self.preemptible_runs.remove(&(run.started_at, id));
        self.unrepeatable_runs.remove(&(run.started_at, id));
    }

    pub(crate) fn remove_run(
        &mut self,
        id: &model::TaskAttempt,
        now: time::Instant,
    ) -> Option<run::Run> {
        let run = self.detach_run(id)?;
        self.pool.refresh(run.worker, now);
        Some(run)
    }

    /// Removes a run; the caller refreshes the index of its worker.
    fn detach_run(&mut self, id: &model::TaskAttempt) -> Option<run::Run> {
        let run = self.runs.swap_remove(id)?;
        self.unindex_run(*id, &run);
        self.checkpointing.swap_remove(id);
        self.throttled.swap_remove(id);
        let worker = self.pool.get_mut(run.worker)?;
        worker.reserved = worker.reserved.minus(&run.reserved);
        worker.runs.swap_remove(id);
        if run.task.spec.class == model::Class::Service {
            let key = spread::KindKey::of(&run.task);
            self.spread.remove(&key, &worker.location);
        }
        Some(run)
    }

    fn record_result(&mut self, ended: &run::Run, report: &RunOutcome, now: time::Instant) {
        let task_id = ended.task.task_id;
        self.failed_on.swap_remove(&task_id);
        if report.worker_fault {
            if self.failed_on.len() >= MAX_FAILED_TASKS {
                self.failed_on.swap_remove_index(0);
            }
            self.failed_on.insert(task_id, ended.worker);
        }
        let key = spread::KindKey::of(&ended.task);
        self.memory_peaks
            .record_end(key.clone(), report.peak.memory_mb);
        if self.kinds.len() >= self.settings.max_kinds && !self.kinds.contains_key(&key) {
            self.kinds.swap_remove_index(0);
        }
        let kind = self.kinds.entry(key).or_default();
        let result = kind.classify(ended.worker, report.succeeded, report.worker_fault);
        let may_enter_probation = (self.on_probation.len() + 1) * self.settings.probation_divisor
            <= self.pool.len().max(self.settings.probation_divisor)
            && self.pool.len() > 1;
        self.pool.update(ended.worker, now, |worker| {
            worker.health.record(result, may_enter_probation, now);
        });
        let standing = self
            .pool
            .get(ended.worker)
            .map(|worker| worker.health.standing);
        match standing {
            Some(health::Standing::Probation { .. }) => {
                self.on_probation.insert(ended.worker);
            }
            _ => {
                self.on_probation.swap_remove(&ended.worker);
            }
        }
    }

    fn runs_of(&self, index: usize) -> Vec<model::TaskAttempt> {
        let worker = self.pool.get(index);
        worker.map_or_else(Vec::new, |worker| worker.runs.iter().copied().collect())
    }
}
