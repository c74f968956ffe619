//! Simulation of a queue and a fleet in virtual time, with generated arrivals.
#![allow(dead_code, reason = "each bench uses a part")]

use std::cmp;
use std::collections;
use std::sync;
use std::time;

pub(crate) const SLOTS: u32 = 8;
const WORKERS: usize = 48;
const WORKERS_PER_RACK: usize = 8;
const CHECKPOINT_TIME: time::Duration = time::Duration::from_millis(200);
const TICK: time::Duration = time::Duration::from_millis(50);

/// Quota without limits.
pub(crate) struct NoLimits;

impl place::Quota for NoLimits {
    fn try_acquire(&mut self, _: &model::PlanId, _: &model::QuotaAmount, _: time::Instant) -> bool {
        true
    }
}

/// A small generator of pseudo-random numbers (splitmix64).
pub(crate) struct Random(pub u64);

impl Random {
    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a uniformly distributed number from 0 to 1.
    pub(crate) fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns an exponentially distributed duration.
    pub(crate) fn exponential(&mut self, mean: time::Duration) -> time::Duration {
        mean.mul_f64(-(1.0 - self.unit()).ln())
    }
}

/// A kind of task.
#[derive(Clone, Copy)]
pub(crate) struct Kind {
    pub name: &'static str,
    pub plan: &'static str,
    pub run: time::Duration,
    /// Share of the slots that it occupies at load 1.
    pub share: f64,
    pub processors_milli: u32,
    pub memory_mb: u32,
    pub straggler_percent: u64,
    pub straggler_factor: u32,
    pub urgency: model::Urgency,
    pub deadline: time::Duration,
}

/// One experiment.
#[derive(Clone)]
pub(crate) struct Experiment {
    pub policy: place::Policy,
    pub kinds: Vec<Kind>,
    pub load: f64,
    pub length: time::Duration,
    pub warm_up: time::Duration,
    /// Start, length and load factor of a swing, a temporary surge of arrivals.
    pub swing: Option<(time::Duration, time::Duration, f64)>,
}

/// Statistics of the tasks of one kind.
pub(crate) struct KindStats {
    pub offered: u64,
    pub refused: u64,
    pub expired: u64,
    /// Waits in microseconds.
    pub waits: hdrhistogram::Histogram<u64>,
    pub in_time: u64,
}

impl KindStats {
    fn new() -> Self {
        Self {
            offered: 0,
            refused: 0,
            expired: 0,
            waits: hdrhistogram::Histogram::new(3).expect("three digits are allowed"),
            in_time: 0,
        }
    }
}

pub(crate) struct Outcome {
    pub kind_stats: Vec<KindStats>,
    /// Mean share of the slots that were busy after the warm-up.
    pub busy: f64,
    pub checkpoints: u64,
    /// Time from the end of the swing to the last start of a short task that was accepted after it
    /// and waited longer than 100 ms.
    pub recovered: Option<time::Duration>,
    /// Slot time of tasks that finished during the swing, divided by the available slot time.
    pub goodput_in_swing: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Finish(model::TaskAttempt),
    Checkpointed(model::TaskAttempt),
    Tick,
}

struct Running {
    kind: usize,
    queued: place::Queued,
    started_at: time::Instant,
    run: time::Duration,
}

struct Cell {
    experiment: Experiment,
    queue: place::Queue,
    fleet: place::Fleet,
    start: time::Instant,
    events: collections::BinaryHeap<cmp::Reverse<(time::Instant, u64, Event)>>,
    sequence: u64,
    random: Random,
    /// Kind and remaining run time of every queued or running task.
    remaining: indexmap::IndexMap<model::TaskId, (usize, time::Duration)>,
    running: indexmap::IndexMap<model::TaskAttempt, Running>,
    outcome: Outcome,
    busy_slot_time: f64,
    busy_since: time::Instant,
    goodput: f64,
}

/// Runs one experiment.
pub(crate) fn run(experiment: &Experiment) -> Outcome {
    let mut cell = Cell::new(experiment.clone());
    while let Some(cmp::Reverse((now, _, event))) = cell.events.pop() {
        if now.duration_since(cell.start) > experiment.length {
            break;
        }
        cell.record_busy_time(now);
        cell.handle(event, now);
        cell.dispatch(now);
    }
    let measured_s = (experiment.length - experiment.warm_up).as_secs_f64();
    let slots = f64::from(SLOTS) * WORKERS as f64;
    cell.outcome.busy = cell.busy_slot_time / measured_s / slots;
    if let Some((_, length, _)) = experiment.swing {
        cell.outcome.goodput_in_swing = cell.goodput / length.as_secs_f64() / slots;
    }
    cell.outcome
}

/// Returns a fleet of `workers` workers of the size that the users run.
pub(crate) fn fleet(
    policy: place::Policy,
    workers: usize,
    slots: u32,
    now: time::Instant,
) -> place::Fleet {
    let mut fleet = place::Fleet::new(place::FleetSettings {
        policy,
        ..place::FleetSettings::default()
    });
    for worker in 0..workers {
        let rack = worker / WORKERS_PER_RACK;
        let location = model::Location {
            region: "almaty".into(),
            data_centre: format!("dc{}", rack % 3).into(),
            rack: format!("rack{rack}").into(),
        };
        let capacity = model::WorkerCapacity {
            resources: model::Demand {
                processors_milli: 64_000,
                memory_mb: 262_144,
                accelerators: 0,
            },
            slots,
            connections: 64,
        };
        let worker_id = format!("worker{worker:04}").into();
        fleet.add_worker(worker_id, location, capacity, false, &[], now);
    }
    fleet
}

/// Returns a task of a kind.
pub(crate) fn task(kind: &Kind, declared_run: time::Duration, random: u64) -> model::Task {
    model::Task {
        task_id: model::task_id_in_partition(
            0,
            u128::from(random) << 32 | u128::from(random >> 32),
        ),
        customer_id: kind.plan.into(),
        plan_id: kind.plan.into(),
        region: "almaty".into(),
        spec: sync::Arc::new(model::TaskSpec {
            kind: kind.name.into(),
            class: model::Class::Batch,
            demand: model::Demand {
                processors_milli: kind.processors_milli,
                memory_mb: kind.memory_mb,
                accelerators: 0,
            },
            members: 1,
            urgency: kind.urgency,
            deadline_ms: kind.deadline.as_millis() as u64,
            repeatable: true,
            key: None,
            declared_run_ms: Some(declared_run.as_millis() as u64),
            body: "".into(),
        }),
        wait: true,
    }
}

impl Cell {
    fn new(experiment: Experiment) -> Self {
        let start = time::Instant::now();
        let settings = place::QueueSettings {
            policy: experiment.policy,
            ..place::QueueSettings::default()
        };
        let kinds = experiment.kinds.len();
        let mut cell = Self {
            queue: place::Queue::new(settings),
            fleet: fleet(experiment.policy, WORKERS, SLOTS, start),
            start,
            events: collections::BinaryHeap::new(),
            sequence: 0,
            random: Random(42),
            remaining: indexmap::IndexMap::new(),
            running: indexmap::IndexMap::new(),
            outcome: Outcome {
                kind_stats: (0..kinds).map(|_| KindStats::new()).collect(),
                busy: 0.0,
                checkpoints: 0,
                recovered: None,
                goodput_in_swing: 0.0,
            },
            busy_slot_time: 0.0,
            busy_since: start,
            goodput: 0.0,
            experiment,
        };
        cell.queue.set_listed_workers(0);
        for kind in 0..kinds {
            cell.schedule(start, Event::Arrival(kind));
        }
        cell.schedule(start, Event::Tick);
        cell
    }

    fn schedule(&mut self, at: time::Instant, event: Event) {
        self.sequence += 1;
        self.events.push(cmp::Reverse((at, self.sequence, event)));
    }

    fn handle(&mut self, event: Event, now: time::Instant) {
        match event {
            Event::Arrival(kind) => self.arrive(kind, now),
            Event::Finish(run) => self.finish(run, now),
            Event::Checkpointed(run) => self.checkpointed(run, now),
            Event::Tick => self.tick(now),
        }
    }

    fn arrive(&mut self, index: usize, now: time::Instant) {
        let kind = self.experiment.kinds[index];
        let slots = f64::from(SLOTS) * WORKERS as f64;
        let mut rate = self.experiment.load * kind.share * slots / kind.run.as_secs_f64();
        if self.in_swing(now) {
            rate *= self.experiment.swing.map_or(1.0, |(_, _, factor)| factor);
        }
        let gap = self
            .random
            .exponential(time::Duration::from_secs_f64(1.0 / rate));
        self.schedule(now + gap, Event::Arrival(index));
        let is_straggler = self.random.next() % 100 < kind.straggler_percent;
        let factor = if is_straggler {
            kind.straggler_factor
        } else {
            1
        };
        let ordinary_mean = kind.run.mul_f64(1.0 / straggler_stretch(&kind));
        let run = self.random.exponential(ordinary_mean) * factor;
        let declared = kind.run.mul_f64(0.2 + 4.8 * self.random.unit());
        let task = task(&kind, declared, self.random.next());
        if self.is_measured(now) {
            self.outcome.kind_stats[index].offered += 1;
        }
        if self.queue.admit(&task, kind.deadline, now).is_err() {
            if self.is_measured(now) {
                self.outcome.kind_stats[index].refused += 1;
            }
            return;
        }
        self.remaining.insert(task.task_id, (index, run));
        let queued = place::Queued {
            task,
            attempt: 1,
            generation: 1,
            accepted_at: now,
            deadline: now + kind.deadline,
            checkpoint: None,
            excluded_instances: Vec::new(),
        };
        self.queue.push(queued, now);
    }

    fn finish(&mut self, id: model::TaskAttempt, now: time::Instant) {
        let Some(running) = self.running.swap_remove(&id) else {
            return;
        };
        self.remaining.swap_remove(&id.task_id);
        if self.in_swing(now) {
            self.goodput += running.run.as_secs_f64();
        }
        let report = place::RunOutcome {
            succeeded: true,
            worker_fault: false,
            run_time: running.run,
            peak: running.queued.task.spec.demand,
        };
        self.fleet.record_finished(id, &report, now);
        let task = &running.queued.task;
        let declared = task.spec.demand;
        self.queue.record_finished(
            &task.customer_id,
            &task.spec.kind,
            running.run,
            report.peak,
            declared,
            now,
        );
    }

    fn checkpointed(&mut self, id: model::TaskAttempt, now: time::Instant) {
        let Some(running) = self.running.swap_remove(&id) else {
            return;
        };
        self.fleet.release(id);
        let done = now.duration_since(running.started_at);
        let remaining = running.run.saturating_sub(done);
        self.remaining.insert(id.task_id, (running.kind, remaining));
        let mut queued = running.queued;
        queued.attempt += 1;
        queued.checkpoint = Some(String::new());
        queued.accepted_at = now;
        queued.deadline = now + time::Duration::from_secs(3600);
        self.queue.push(queued, now);
    }

    fn tick(&mut self, now: time::Instant) {
        self.schedule(now + TICK, Event::Tick);
        for expired in self.queue.expire(now) {
            let remaining = self.remaining.swap_remove(&expired.task.task_id);
            if let Some((kind, _)) = remaining
                && self.is_measured(expired.accepted_at)
            {
                self.outcome.kind_stats[kind].expired += 1;
            }
        }
        let waiting = self.queue.short_waiting(now);
        for command in self.fleet.tick(waiting, now) {
            if let place::RunCommand::Checkpoint { run, .. } = command {
                self.outcome.checkpoints += 1;
                self.schedule(now + CHECKPOINT_TIME, Event::Checkpointed(run));
            }
        }
    }

    fn dispatch(&mut self, now: time::Instant) {
        let near = place::Proximity::SameDataCentre;
        let summary = self.fleet.summary();
        self.queue
            .set_capacity(&place::Target::Local, near, summary, now);
        while let Some(dispatch) = self.queue.next(&mut NoLimits, now) {
            let request = place::Request {
                task: &dispatch.queued.task,
                attempt: dispatch.queued.attempt,
                members: &[0],
                reserve: dispatch.reserve,
                expected_run_time: dispatch.expected_run_time,
                short: dispatch.short,
                reserve_only: false,
            };
            if self.fleet.place(&request, now).is_err() {
                self.queue.requeue_refused(dispatch, now);
                continue;
            }
            self.start(dispatch, now);
        }
    }

    fn start(&mut self, dispatch: place::Dispatch, now: time::Instant) {
        let queued = dispatch.queued;
        let waited = now.duration_since(queued.accepted_at);
        self.queue.record_start(waited, dispatch.short, now);
        let task_id = queued.task.task_id;
        let (kind, run) = self.remaining[&task_id];
        if queued.attempt == 1 && self.is_measured(queued.accepted_at) {
            self.record_start(kind, waited, queued.accepted_at, now);
        }
        let id = model::TaskAttempt {
            task_id,
            member: 0,
            attempt: queued.attempt,
        };
        self.schedule(now + run, Event::Finish(id));
        let running = Running {
            kind,
            queued,
            started_at: now,
            run,
        };
        self.running.insert(id, running);
    }

    fn record_start(
        &mut self,
        kind: usize,
        waited: time::Duration,
        accepted_at: time::Instant,
        now: time::Instant,
    ) {
        let stats = &mut self.outcome.kind_stats[kind];
        stats
            .waits
            .record(waited.as_micros() as u64)
            .expect("the histogram resizes automatically");
        stats.in_time += u64::from(waited <= time::Duration::from_millis(6300));
        let short = self.experiment.kinds[kind].run < time::Duration::from_secs(1);
        let Some((start, length, _)) = self.experiment.swing else {
            return;
        };
        let end = self.start + start + length;
        if short && accepted_at > end && waited > time::Duration::from_millis(100) {
            self.outcome.recovered = Some(now.duration_since(end));
        }
    }

    fn record_busy_time(&mut self, now: time::Instant) {
        if self.is_measured(now) {
            let elapsed = now.duration_since(self.busy_since).as_secs_f64();
            self.busy_slot_time += elapsed * self.fleet.running() as f64;
        }
        self.busy_since = now;
    }

    fn is_measured(&self, at: time::Instant) -> bool {
        at.duration_since(self.start) >= self.experiment.warm_up
    }

    fn in_swing(&self, now: time::Instant) -> bool {
        let elapsed = now.duration_since(self.start);
        self.experiment
            .swing
            .is_some_and(|(start, length, _)| elapsed >= start && elapsed < start + length)
    }
}

/// Returns the ratio of the mean run time to that of tasks that are not stragglers.
fn straggler_stretch(kind: &Kind) -> f64 {
    let share = kind.straggler_percent as f64 / 100.0;
    1.0 + share * f64::from(kind.straggler_factor - 1)
}
