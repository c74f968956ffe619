//! A simulated worker that honours the protocol with the leader: fencing by term, leases,
//! tombstones and listings.

use std::collections;
use std::sync;
use std::time::Duration;

/// Default capacity of a worker.
pub(crate) const CAPACITY: model::Demand = model::Demand {
    processors_milli: 8_000,
    memory_mb: 16_000,
    accelerators: 0,
};
/// Time between two reports of a worker to the directory, in milliseconds.
pub(crate) const BEAT_MS: u64 = 1_500;
/// How long after the next report a smaller capacity binds the leader, in milliseconds.
pub(crate) const CONTACT_MS: u64 = 4_000;
/// How long a stopped run still occupies its capacity, in milliseconds.
const STOP_DURATION_MS: u64 = 200;
/// Longest lease that a worker grants, in milliseconds on its clock.
const MAX_LEASE_MS: i64 = 10_000;
/// Most ends in a listing.
const MAX_LISTED_ENDS: usize = 500;
/// Time after which a run on a worker that stands still ends, in milliseconds: longer than any test.
const STALL_MS: u64 = 1_000_000_000;
/// Time after which a run fails on a worker that fails all that it starts, in milliseconds.
const FAILURE_MS: u64 = 50;
/// Rate of a slow clock.
const SLOW_CLOCK_RATE: f64 = 0.98;

#[derive(Debug)]
struct Run {
    demand: model::Demand,
    /// Work of the whole task, in milliseconds at the usual speed.
    work_ms: u64,
    /// Work that it had done at `updated_at_ms`, without that in the checkpoint, in milliseconds.
    worked_ms: f64,
    /// When `worked_ms` was last updated, or when the run has restored its checkpoint and begins to work,
    /// in milliseconds.
    updated_at_ms: u64,
    ends_at_ms: u64,
    end: jobs::RunEnd,
    /// Work in the checkpoint that it resumed from, in milliseconds; `None` if the task has none.
    resumed_ms: Option<u64>,
    fills_idle: bool,
    /// Target of the task's tail latency, in milliseconds.
    target_ms: Option<u32>,
    /// Share of the idle processors, in percent.
    percent: u32,
    /// Since when best-effort runs have raised the tail latency above its target, in milliseconds.
    tail_violation_since_ms: Option<u64>,
}

/// Interval between two checkpoints, in milliseconds of work.
const CHECKPOINT_INTERVAL_MS: u64 = 500;

impl Run {
    /// Returns the work that it has done at a time on a worker of `speed`, in milliseconds, without that
    /// in the checkpoint that it resumed from.
    fn worked_ms(&self, speed: f64, now_ms: u64) -> f64 {
        let since_ms = now_ms
            .min(self.ends_at_ms)
            .saturating_sub(self.updated_at_ms);
        self.worked_ms + since_ms as f64 * speed
    }

    /// Returns how much of the task's work is done at a time, in milliseconds.
    fn done_ms(&self, speed: f64, now_ms: u64) -> f64 {
        self.resumed_ms.unwrap_or_default() as f64 + self.worked_ms(speed, now_ms)
    }

    /// Returns the progress at a time on a worker of `speed`, in percent.
    fn percent(&self, speed: f64, now_ms: u64) -> u32 {
        (100.0 * self.done_ms(speed, now_ms) / self.work_ms.max(1) as f64).min(99.0) as u32
    }

    /// Changes the speed of its worker.
    fn change_speed(&mut self, old: f64, new: f64, now_ms: u64) {
        self.worked_ms = self.worked_ms(old, now_ms);
        self.updated_at_ms = self.updated_at_ms.max(now_ms);
        if self.end != jobs::RunEnd::Stopped {
            let resumed_ms = self.resumed_ms.unwrap_or_default();
            let left_ms = self.work_ms.saturating_sub(resumed_ms) as f64 - self.worked_ms;
            self.ends_at_ms = self.updated_at_ms + duration_ms(left_ms, new);
        }
    }

    /// Returns the latest checkpoint at a time on a worker of `speed`; a run that is stopped saves one at
    /// its end.
    fn checkpoint(&self, task: model::TaskKey, speed: f64, now_ms: u64) -> Option<sync::Arc<str>> {
        let resumed_ms = self.resumed_ms?;
        let worked_ms = self.worked_ms(speed, now_ms) as u64;
        let is_stopped = self.end == jobs::RunEnd::Stopped && now_ms >= self.ends_at_ms;
        let checkpointed_ms = resumed_ms
            + match is_stopped {
                true => worked_ms,
                false => worked_ms / CHECKPOINT_INTERVAL_MS * CHECKPOINT_INTERVAL_MS,
            };
        let text = || format!("{checkpointed_ms}-{}-{}", task.job_id, task.index).into();
        (checkpointed_ms > 0).then(text)
    }
}

/// Returns how long work takes at a speed, in milliseconds; a stalled run does not end.
fn duration_ms(work_ms: f64, speed: f64) -> u64 {
    if speed <= 0.0 {
        return STALL_MS;
    }
    (work_ms.max(0.0) / speed).round() as u64
}

/// Returns the work that a checkpoint contains, in milliseconds.
pub(crate) fn checkpointed_ms(checkpoint: &str) -> u64 {
    let (checkpointed_ms, _) = checkpoint.split_once('-').unwrap_or_default();
    checkpointed_ms.parse().unwrap_or_default()
}

pub(crate) struct SimulatedWorker {
    pub(crate) incarnation: model::WorkerIncarnation,
    pub(crate) address: String,
    pub(crate) is_up: bool,
    /// Whether it is unreachable while its runs continue.
    /// Whether only a leader that was cut off reaches it, and no other one does.
    pub(crate) hears_only_former: bool,
    pub(crate) is_partitioned: bool,
    pub(crate) draining: bool,
    /// When it leaves, in milliseconds; `None` if that is not known.
    departs_at_ms: Option<u64>,
    /// Time until it leaves in its entry of the directory, in milliseconds.
    reported_remaining_ms: Option<u64>,
    /// How long a run takes to restore a checkpoint, in milliseconds.
    pub(crate) restore_ms: u64,
    /// How long a stopped run still occupies its capacity, in milliseconds.
    pub(crate) stop_ms: u64,
    /// Work of tasks whose runs have ended, and when they have, in milliseconds; not collected yet.
    ended_work: Vec<(model::TaskKey, u64, u64)>,
    /// Whether start orders are lost before they are executed.
    pub(crate) drops_starts: bool,
    /// Whether stop orders are lost before they are executed.
    pub(crate) drops_stops: bool,
    /// Its speed; the usual one is 1, and 0 lets its runs stand still.
    speed: f64,
    /// Whether it fails all that it starts.
    pub(crate) fails_starts: bool,
    /// Its present capacity; `change_capacity` changes it once the simulation runs.
    pub(crate) capacity: model::Demand,
    /// Earlier capacities, each with the time until which it was in force, in milliseconds.
    earlier_capacities: Vec<(u64, model::Demand)>,
    /// The capacity in its entry of the directory.
    reported_capacity: model::Demand,
    /// Whether it can replace its entry, which else does not count as current.
    pub(crate) is_report_current: bool,
    /// When it writes its entry next, in milliseconds.
    next_beat_ms: u64,
    /// By how much one best-effort run raises the tail latency of another run, as a share of its
    /// target.
    pub(crate) interference: f64,
    /// When its clock, which starts anew in each incarnation, was zero, in milliseconds; `None` until
    /// it is read.
    clock_zero_ms: Option<u64>,
    clock_rate: f64,
    /// Sequence number up to which it forgets ends.
    forgets_up_to: u64,
    /// The entry in the directory that it cannot replace, and until when, in milliseconds.
    stuck_report: Option<(jobs::WorkerReport, u64)>,
    fence: model::Term,
    lease_end_ms: u64,
    runs: indexmap::IndexMap<model::RunKey, Run>,
    ended: Vec<jobs::EndedRow>,
    last_sequence: u64,
    /// Highest run of each task that was stopped or has ended; later starts of it are rejected.
    tombstones: collections::HashMap<model::TaskKey, model::RunNumber>,
}

impl SimulatedWorker {
    pub(crate) fn new(number: usize) -> Self {
        Self {
            clock_rate: if number % 2 == 1 {
                SLOW_CLOCK_RATE
            } else {
                1.0
            },
            ..Self::in_incarnation(format!("w{number}").into(), 1)
        }
    }

    fn in_incarnation(worker_id: model::WorkerId, born_ms: u64) -> Self {
        Self {
            address: format!("address-{worker_id}"),
            incarnation: model::WorkerIncarnation { worker_id, born_ms },
            is_up: true,
            hears_only_former: false,
            is_partitioned: false,
            draining: false,
            departs_at_ms: None,
            reported_remaining_ms: None,
            restore_ms: 0,
            stop_ms: STOP_DURATION_MS,
            ended_work: Vec::new(),
            drops_starts: false,
            drops_stops: false,
            speed: 1.0,
            fails_starts: false,
            capacity: CAPACITY,
            earlier_capacities: Vec::new(),
            reported_capacity: CAPACITY,
            is_report_current: true,
            next_beat_ms: 0,
            interference: 0.0,
            clock_zero_ms: None,
            clock_rate: 1.0,
            forgets_up_to: 0,
            stuck_report: None,
            fence: 0,
            lease_end_ms: 0,
            runs: indexmap::IndexMap::new(),
            ended: Vec::new(),
            last_sequence: 0,
            tombstones: collections::HashMap::new(),
        }
    }

    /// Restarts under the same id, with all state lost.
    pub(crate) fn restart(&mut self) {
        let (capacity, address) = (self.capacity, self.address.clone());
        let (clock_rate, speed) = (self.clock_rate, self.speed);
        *self = Self::in_incarnation(
            self.incarnation.worker_id.clone(),
            self.incarnation.born_ms + 1,
        );
        (self.capacity, self.address) = (capacity, address);
        self.reported_capacity = capacity;
        (self.clock_rate, self.speed) = (clock_rate, speed);
    }

    /// Restarts under the same id; the directory lists the earlier incarnation until `listed_at_ms`.
    pub(crate) fn restart_unlisted(&mut self, listed_at_ms: u64) {
        let report = self.report();
        self.restart();
        self.stuck_report = Some((report, listed_at_ms));
    }

    /// Makes the directory show an entry of another writer under its id until `until_ms`: in a pool that the
    /// manifest does not name, with a later start.
    pub(crate) fn show_foreign_entry(&mut self, until_ms: u64) {
        let mut report = self.report();
        report.pool = "foreign".into();
        report.incarnation.born_ms += 1_000;
        self.stuck_report = Some((report, until_ms));
    }

    /// Restarts like `restart_unlisted`, with a clock that is behind the one of the earlier incarnation by
    /// `behind_ms` on that clock.
    pub(crate) fn restart_unlisted_with_clock(&mut self, listed_at_ms: u64, behind_ms: u64) {
        let zero_ms = self.clock_zero_ms.expect("the clock has been read");
        self.restart_unlisted(listed_at_ms);
        let behind_ms = (behind_ms as f64 / self.clock_rate).round() as u64;
        self.clock_zero_ms = Some(zero_ms + behind_ms);
    }

    fn clock_ms(&mut self, now_ms: u64) -> i64 {
        let zero_ms = *self.clock_zero_ms.get_or_insert(now_ms);
        ((now_ms - zero_ms) as f64 * self.clock_rate) as i64
    }

    /// Extends the lease to a time on its clock.
    fn extend_lease(&mut self, lease_end_ms: i64, now_ms: u64) {
        let left_ms = (lease_end_ms - self.clock_ms(now_ms)).clamp(0, MAX_LEASE_MS);
        let left_ms = (left_ms as f64 / self.clock_rate) as u64;
        self.lease_end_ms = self.lease_end_ms.max(now_ms + left_ms);
    }

    /// Changes the speed, also that of the runs there.
    pub(crate) fn change_speed(&mut self, speed: f64, now_ms: u64) {
        self.expire(now_ms);
        for run in self.runs.values_mut() {
            run.change_speed(self.speed, speed, now_ms);
        }
        self.speed = speed;
    }

    /// Changes the capacity; the directory shows it from the next report on.
    pub(crate) fn change_capacity(&mut self, capacity: model::Demand, now_ms: u64) {
        self.earlier_capacities.push((now_ms, self.capacity));
        self.capacity = capacity;
    }

    /// Writes the entry in the directory if that is due.
    pub(crate) fn beat(&mut self, now_ms: u64) {
        if self.is_report_current && now_ms >= self.next_beat_ms {
            self.next_beat_ms = now_ms + BEAT_MS;
            self.reported_capacity = self.capacity;
            self.reported_remaining_ms = self.departs_at_ms.map(|at_ms| at_ms - now_ms.min(at_ms));
        }
        self.stuck_report
            .take_if(|(_, listed_at_ms)| *listed_at_ms <= now_ms);
    }

    /// Gives notice that it leaves, which it reports at once; without a time if `is_timed` is false, as
    /// workers did before.
    pub(crate) fn give_notice(&mut self, remaining_ms: u64, is_timed: bool, now_ms: u64) {
        self.draining = true;
        self.departs_at_ms = is_timed.then_some(now_ms + remaining_ms);
        self.next_beat_ms = now_ms;
        self.beat(now_ms);
    }

    /// Makes its entry show another time until it leaves, unless it shows none.
    pub(crate) fn claim_remaining(&mut self, remaining_ms: u64, is_timed: bool) {
        self.reported_remaining_ms = is_timed.then_some(remaining_ms);
    }

    /// Takes its notice back, which it reports at once.
    pub(crate) fn withdraw_notice(&mut self, now_ms: u64) {
        self.draining = false;
        self.departs_at_ms = None;
        self.next_beat_ms = now_ms;
        self.beat(now_ms);
    }

    /// Leaves: all its runs end, and nobody learns of it.
    pub(crate) fn depart(&mut self, now_ms: u64) {
        self.is_up = false;
        let runs = std::mem::take(&mut self.runs);
        let work = runs
            .iter()
            .map(|(key, run)| (key.task, run.done_ms(self.speed, now_ms) as u64, now_ms));
        self.ended_work.extend(work);
    }

    /// Takes the work of tasks whose runs have ended, and when they have.
    pub(crate) fn take_ended_work(&mut self) -> Vec<(model::TaskKey, u64, u64)> {
        std::mem::take(&mut self.ended_work)
    }

    /// Ends a member of a gang of which another member has ended.
    pub(crate) fn break_run(&mut self, key: model::RunKey, now_ms: u64) {
        if let Some(run) = self.runs.get_mut(&key) {
            run.ends_at_ms = run.ends_at_ms.min(now_ms);
            run.end = jobs::RunEnd::GangBroken;
        }
        self.expire(now_ms);
    }

    /// Returns the capacity that starts must respect: a smaller one binds only once the leader has
    /// had the time to learn of it.
    pub(crate) fn binding_capacity(&self, now_ms: u64) -> model::Demand {
        let binding = self
            .earlier_capacities
            .iter()
            .filter(|(until_ms, _)| now_ms <= until_ms + BEAT_MS + CONTACT_MS);
        binding.fold(self.capacity, |most, (_, capacity)| most.max(capacity))
    }

    /// Takes an id that no other worker has had; the address stays.
    pub(crate) fn change_id(&mut self) {
        let id = self.incarnation.worker_id.to_string();
        let number: usize = id
            .trim_start_matches('w')
            .parse()
            .expect("ids are numbered");
        self.incarnation.worker_id = format!("w{}", number + 100).into();
    }

    pub(crate) fn report(&self) -> jobs::WorkerReport {
        if let Some((report, _)) = &self.stuck_report {
            return report.clone();
        }
        jobs::WorkerReport {
            incarnation: self.incarnation.clone(),
            pool: "pool".into(),
            address: self.address.as_str().into(),
            data_centre: "dc".into(),
            rack: "r".into(),
            labels: vec!["kind".into(), "r".into()],
            capacity: self.reported_capacity,
            draining: self.draining,
            remaining: self.reported_remaining_ms.map(Duration::from_millis),
            is_current: self.is_report_current,
        }
    }

    /// Returns the sum of the demands of its runs.
    pub(crate) fn used(&self) -> model::Demand {
        let runs = self.runs.values();
        runs.fold(model::Demand::default(), |sum, run| sum.plus(&run.demand))
    }

    pub(crate) fn has_run(&self, run: model::RunKey) -> bool {
        self.runs.contains_key(&run)
    }

    pub(crate) fn run_of(&self, task: model::TaskKey) -> Option<model::RunKey> {
        self.runs.keys().find(|run| run.task == task).copied()
    }

    pub(crate) fn run_keys(&self) -> impl Iterator<Item = model::RunKey> {
        self.runs.keys().copied()
    }

    pub(crate) fn run_count(&self, step: model::StepKey) -> u32 {
        let here = self.runs.keys().filter(|run| run.task.step_key() == step);
        here.count() as u32
    }

    /// Ends the runs that are due, and all of them once the lease has expired.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        let lapsed = self.lease_end_ms <= now_ms;
        let due: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, run)| lapsed || run.ends_at_ms <= now_ms)
            .map(|(key, run)| {
                let in_time = run.ends_at_ms <= self.lease_end_ms;
                (
                    *key,
                    if in_time {
                        run.end
                    } else {
                        jobs::RunEnd::Lapsed
                    },
                    run.checkpoint(key.task, self.speed, now_ms),
                )
            })
            .collect();
        for (key, end, checkpoint) in due {
            let run = self.runs.swap_remove(&key);
            if let Some(run) = run {
                let ended_at_ms = run.ends_at_ms.min(now_ms);
                let work = (
                    key.task,
                    run.done_ms(self.speed, now_ms) as u64,
                    ended_at_ms,
                );
                self.ended_work.push(work);
            }
            self.add_tombstone(key);
            self.last_sequence += 1;
            self.ended.push(jobs::EndedRow {
                sequence: self.last_sequence,
                run: key,
                end,
                checkpoint,
            });
        }
    }

    fn add_tombstone(&mut self, run: model::RunKey) {
        let tombstone = self.tombstones.entry(run.task).or_default();
        *tombstone = (*tombstone).max(run.run);
    }

    fn accept_term(&mut self, term: model::Term) -> bool {
        self.fence = self.fence.max(term);
        self.fence == term
    }

    /// Returns whether the leader of a term has called it.
    pub(crate) fn has_seen(&self, term: model::Term) -> bool {
        self.fence >= term
    }

    pub(crate) fn accept_start(
        &mut self,
        order: &jobs::StartOrder,
        now_ms: u64,
    ) -> jobs::StartOutcome {
        let rejected = jobs::StartOutcome::Rejected;
        if !self.accept_term(order.term) {
            return rejected(jobs::StartRejection::Fenced);
        }
        if order.lease_end_ms <= self.clock_ms(now_ms) {
            return rejected(jobs::StartRejection::Late);
        }
        self.extend_lease(order.lease_end_ms, now_ms);
        let started = jobs::StartOutcome::Started(Some(self.incarnation.born_ms));
        if self.has_run(order.run) {
            return started;
        }
        let tombstone = self
            .tombstones
            .get(&order.run.task)
            .copied()
            .unwrap_or_default();
        if order.run.run <= tombstone {
            return rejected(jobs::StartRejection::Outdated);
        }
        started
    }

    pub(crate) fn start_run(
        &mut self,
        order: &jobs::StartOrder,
        step: &model::Step,
        run_ms: u64,
        fails: bool,
        now_ms: u64,
    ) {
        let resumed_ms = order.checkpoint.as_deref().map_or(0, checkpointed_ms);
        let left_ms = match self.fails_starts {
            true => FAILURE_MS,
            false => duration_ms(run_ms.saturating_sub(resumed_ms) as f64, self.speed),
        };
        let restore_ms = match resumed_ms {
            0 => 0,
            _ => self.restore_ms,
        };
        let run = Run {
            demand: match step.fills_idle {
                true => model::Demand {
                    processors_milli: 0,
                    ..step.demand
                },
                false => step.demand,
            },
            work_ms: run_ms,
            worked_ms: 0.0,
            updated_at_ms: now_ms + restore_ms,
            ends_at_ms: now_ms + restore_ms + left_ms,
            resumed_ms: step.checkpointing.then_some(resumed_ms),
            fills_idle: step.fills_idle,
            target_ms: step.target_tail_ms,
            percent: 100,
            tail_violation_since_ms: None,
            end: if fails || self.fails_starts {
                jobs::RunEnd::Failed
            } else {
                jobs::RunEnd::Done
            },
        };
        self.runs.insert(order.run, run);
    }

    pub(crate) fn stop(&mut self, order: &jobs::StopOrder, now_ms: u64) -> jobs::StopOutcome {
        if !self.accept_term(order.term) {
            return jobs::StopOutcome::Fenced;
        }
        self.expire(now_ms);
        match self.runs.get_mut(&order.run) {
            Some(run) => {
                run.ends_at_ms = run.ends_at_ms.min(now_ms + self.stop_ms);
                run.end = jobs::RunEnd::Stopped;
            }
            None => self.add_tombstone(order.run),
        }
        jobs::StopOutcome::Accepted
    }

    pub(crate) fn throttle(&mut self, order: &jobs::ThrottleOrder) -> jobs::ThrottleOutcome {
        if !self.accept_term(order.term) {
            return jobs::ThrottleOutcome::Fenced;
        }
        let Some(run) = self.runs.get_mut(&order.run) else {
            return jobs::ThrottleOutcome::Failed;
        };
        run.percent = order.percent;
        jobs::ThrottleOutcome::Accepted
    }

    /// Returns the tail latency of a run: half of its target, and more for each best-effort run.
    fn tail_ms(&self, target_ms: u32) -> u32 {
        let best_effort: f64 = self
            .runs
            .values()
            .filter(|run| run.fills_idle)
            .map(|run| f64::from(run.percent) / 100.0)
            .sum();
        (f64::from(target_ms) * (0.5 + self.interference * best_effort)) as u32
    }

    /// Returns the longest time for which the tail latency of a run has been above its target, in
    /// milliseconds.
    pub(crate) fn tail_violation_ms(&mut self, now_ms: u64) -> u64 {
        let mut longest_ms = 0;
        for index in 0..self.runs.len() {
            let Some(target_ms) = self.runs[index].target_ms else {
                continue;
            };
            let is_over = self.tail_ms(target_ms) > target_ms;
            let since_ms = &mut self.runs[index].tail_violation_since_ms;
            *since_ms = is_over.then(|| since_ms.unwrap_or(now_ms));
            longest_ms = longest_ms.max(since_ms.map_or(0, |since_ms| now_ms - since_ms));
        }
        longest_ms
    }

    /// Returns the shares of the best-effort runs, in percent.
    pub(crate) fn best_effort_percents(&self) -> Vec<u32> {
        let best_effort = self.runs.values().filter(|run| run.fills_idle);
        best_effort.map(|run| run.percent).collect()
    }

    /// Handles a lease renewal; returns whether its term is accepted.
    pub(crate) fn accept_renewal(&mut self, order: &jobs::RenewalOrder, now_ms: u64) -> bool {
        if !self.accept_term(order.term) {
            return false;
        }
        self.expire(now_ms);
        if let Some(lease_end_ms) = order.lease_end_ms {
            self.extend_lease(lease_end_ms, now_ms);
        }
        self.forgets_up_to = self.forgets_up_to.max(order.forget_up_to);
        true
    }

    /// Forgets the ends that it was allowed to forget, and returns them.
    pub(crate) fn forget(&mut self) -> Vec<jobs::EndedRow> {
        let (forgotten, kept) = std::mem::take(&mut self.ended)
            .into_iter()
            .partition(|row| row.sequence <= self.forgets_up_to);
        self.ended = kept;
        forgotten
    }

    pub(crate) fn has_ended(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Returns when the next run ends.
    pub(crate) fn next_end_ms(&self, now_ms: u64) -> Option<u64> {
        let ends = self.runs.values().map(|run| run.ends_at_ms);
        ends.min().map(|end| end.min(self.lease_end_ms).max(now_ms))
    }

    pub(crate) fn listing(&mut self, now_ms: u64) -> jobs::Listing {
        self.expire(now_ms);
        let clock_ms = self.clock_ms(now_ms);
        let running = self.runs.iter().map(|(key, run)| jobs::RunningRow {
            run: *key,
            checkpoint: run.checkpoint(key.task, self.speed, now_ms),
            percent: run.percent(self.speed, now_ms),
            usage: run.target_ms.map(|target_ms| self.tail_ms(target_ms)),
        });
        jobs::Listing {
            born_ms: Some(self.incarnation.born_ms),
            clock_ms,
            age: std::time::Duration::ZERO,
            running: running.collect(),
            ended: self.ended.iter().take(MAX_LISTED_ENDS).cloned().collect(),
        }
    }
}
