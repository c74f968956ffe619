//! Properties of a queue and a fleet under generated events in virtual time.

use std::cmp;
use std::collections;
use std::time;

use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::proptest;

mod support;

use support::ms;

const WORKERS: usize = 4;
const MAX_TASKS: usize = 120;
const LOCAL: place::Target = place::Target::Local;
const NEAR: place::Proximity = place::Proximity::SameDataCentre;

#[derive(Clone, Debug)]
struct Arrival {
    after_ms: u64,
    plan: usize,
    kind: usize,
    class: model::Class,
    members: u16,
    processors_milli: u32,
    memory_mb: u32,
    urgent: bool,
    repeatable: bool,
    deadline_ms: u64,
    run_ms: u64,
    succeeds: bool,
    cancelled: bool,
}

fn class() -> impl Strategy<Value = model::Class> {
    prop_oneof![
        6 => proptest::strategy::Just(model::Class::Batch),
        1 => proptest::strategy::Just(model::Class::Gang),
        1 => proptest::strategy::Just(model::Class::Service),
    ]
}

fn arrival() -> impl Strategy<Value = Arrival> {
    let origin = (0..50_u64, 0..3_usize, 0..3_usize, class(), 2..9_u16);
    let size = (0..9000_u32, 0..17_000_u32, any::<bool>(), any::<bool>());
    let timing = (0..20_000_u64, 1..8000_u64, 0..10_u8, 0..10_u8);
    (origin, size, timing).prop_map(|(origin, size, timing)| Arrival {
        after_ms: origin.0,
        plan: origin.1,
        kind: origin.2,
        class: origin.3,
        members: if origin.3 == model::Class::Gang {
            origin.4
        } else {
            1
        },
        processors_milli: size.0,
        memory_mb: size.1,
        urgent: size.2,
        repeatable: size.3,
        deadline_ms: timing.0,
        run_ms: timing.1,
        succeeds: timing.2 > 0,
        cancelled: timing.3 == 0,
    })
}

fn arrivals() -> impl Strategy<Value = Vec<Arrival>> {
    proptest::collection::vec(arrival(), 1..MAX_TASKS)
}

/// How a task left the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
enum TaskEnd {
    Started {
        at_ms: u128,
        workers: Vec<model::WorkerId>,
    },
    Cancelled,
    Expired,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Finish(model::TaskAttempt, bool),
    Checkpointed(model::TaskAttempt),
    Tick,
}

struct Cell {
    queue: place::Queue,
    fleet: place::Fleet,
    start: time::Instant,
    arrivals: Vec<Arrival>,
    events: collections::BinaryHeap<cmp::Reverse<(time::Instant, u64, Event)>>,
    sequence: u64,
    reserved: indexmap::IndexMap<model::TaskAttempt, (model::WorkerId, model::Demand)>,
    waiting: collections::BTreeSet<usize>,
    ends: Vec<Vec<TaskEnd>>,
}

impl Cell {
    fn new(policy: place::Policy, arrivals: Vec<Arrival>, start: time::Instant) -> Self {
        let settings = place::QueueSettings {
            policy,
            ..place::QueueSettings::default()
        };
        let mut cell = Self {
            queue: place::Queue::new(settings),
            fleet: support::fleet(WORKERS, policy, start),
            start,
            ends: vec![Vec::new(); arrivals.len()],
            events: collections::BinaryHeap::new(),
            sequence: 0,
            waiting: collections::BTreeSet::new(),
            reserved: indexmap::IndexMap::new(),
            arrivals,
        };
        let mut at = start;
        for index in 0..cell.arrivals.len() {
            at += ms(cell.arrivals[index].after_ms);
            cell.schedule(at, Event::Arrive(index));
        }
        for tick in 0..400 {
            cell.schedule(start + ms(100 * tick), Event::Tick);
        }
        cell
    }

    fn schedule(&mut self, at: time::Instant, event: Event) {
        self.sequence += 1;
        self.events.push(cmp::Reverse((at, self.sequence, event)));
    }

    fn run(mut self) -> Vec<Vec<TaskEnd>> {
        while let Some(cmp::Reverse((now, _, event))) = self.events.pop() {
            self.handle(event, now);
            self.dispatch(now);
            self.check_capacity();
            self.check_work_conserving(now);
        }
        assert!(self.queue.is_empty());
        self.ends
    }

    fn task(&self, index: usize) -> model::Task {
        let arrival = &self.arrivals[index];
        let spec = model::TaskSpec {
            kind: format!("kind{}", arrival.kind).into(),
            demand: support::demand(arrival.processors_milli, arrival.memory_mb, 0),
            members: arrival.members,
            urgency: match arrival.urgent {
                true => model::Urgency::Urgent,
                false => model::Urgency::Normal,
            },
            repeatable: arrival.repeatable,
            deadline_ms: arrival.deadline_ms,
            declared_run_ms: Some(arrival.run_ms / 2),
            ..support::spec(arrival.class)
        };
        support::task(index as u128, &format!("plan{}", arrival.plan), spec)
    }

    fn handle(&mut self, event: Event, now: time::Instant) {
        match event {
            Event::Arrive(index) => self.push(support::queued(self.task(index), now), now),
            Event::Finish(run, succeeded) => self.finish(run, succeeded, now),
            Event::Checkpointed(run) => self.checkpointed(run, now),
            Event::Tick => self.tick(now),
        }
    }

    fn push(&mut self, queued: place::Queued, now: time::Instant) {
        self.waiting.insert(index_of_task(&queued.task));
        self.queue.push(queued, now);
    }

    fn finish(&mut self, run: model::TaskAttempt, succeeded: bool, now: time::Instant) {
        if self.reserved.swap_remove(&run).is_none() {
            return;
        }
        let task = self.task(index_of_run(&run));
        let report = support::finished(succeeded, !succeeded);
        self.fleet.record_finished(run, &report, now);
        let run_time = ms(self.arrivals[index_of_run(&run)].run_ms);
        let declared = task.spec.demand;
        let peak = model::Demand::default();
        self.queue.record_finished(
            &task.customer_id,
            &task.spec.kind,
            run_time,
            peak,
            declared,
            now,
        );
    }

    fn checkpointed(&mut self, run: model::TaskAttempt, now: time::Instant) {
        if self.reserved.swap_remove(&run).is_none() {
            return;
        }
        self.fleet.release(run);
        let mut queued = support::queued(self.task(index_of_run(&run)), now);
        queued.attempt = run.attempt + 1;
        self.push(queued, now);
    }

    fn tick(&mut self, now: time::Instant) {
        for expired in self.queue.expire(now) {
            assert!(expired.deadline <= now);
            assert!(expired.deadline + ms(100) >= now, "expired within a tick");
            self.waiting.remove(&index_of_task(&expired.task));
            self.ends[index_of_task(&expired.task)].push(TaskEnd::Expired);
        }
        for index in 0..self.arrivals.len() {
            let task_id = model::task_id_in_partition(0, index as u128);
            if self.arrivals[index].cancelled && self.queue.cancel(task_id) {
                self.waiting.remove(&index);
                self.ends[index].push(TaskEnd::Cancelled);
            }
        }
        let waiting = self.queue.short_waiting(now);
        for command in self.fleet.tick(waiting, now) {
            if let place::RunCommand::Checkpoint { run, .. } = command {
                self.schedule(now + ms(50), Event::Checkpointed(run));
            }
        }
    }

    fn dispatch(&mut self, now: time::Instant) {
        let summary = self.fleet.summary();
        self.queue.set_capacity(&LOCAL, NEAR, summary, now);
        while let Some(dispatch) = self.queue.next(&mut support::Limits::default(), now) {
            let task = &dispatch.queued.task;
            let members: Vec<u16> = (0..task.spec.members).collect();
            let request = place::Request {
                attempt: dispatch.queued.attempt,
                reserve: dispatch.reserve,
                expected_run_time: dispatch.expected_run_time,
                short: dispatch.short,
                ..support::request(task, &members)
            };
            match self.fleet.place(&request, now) {
                Err(place::InsufficientCapacity) => self.queue.requeue_refused(dispatch, now),
                Ok(placed) => self.start(&dispatch, &placed, now),
            }
            let summary = self.fleet.summary();
            self.queue.set_capacity(&LOCAL, NEAR, summary, now);
        }
    }

    fn start(
        &mut self,
        dispatch: &place::Dispatch,
        placed: &[(u16, model::WorkerId)],
        now: time::Instant,
    ) {
        let queued = &dispatch.queued;
        assert_eq!(
            placed.len(),
            usize::from(queued.task.spec.members),
            "all members"
        );
        assert!(queued.task.spec.demand.fits_in(&dispatch.reserve));
        let index = index_of_task(&queued.task);
        self.waiting.remove(&index);
        for (member, worker_id) in placed {
            let run = model::TaskAttempt {
                task_id: queued.task.task_id,
                member: *member,
                attempt: queued.attempt,
            };
            let previous = self
                .reserved
                .insert(run, (worker_id.clone(), dispatch.reserve));
            assert!(previous.is_none(), "each run is placed once");
            let succeeds = self.arrivals[index].succeeds;
            let end = now + ms(self.arrivals[index].run_ms);
            self.schedule(end, Event::Finish(run, succeeds));
        }
        self.ends[index].push(TaskEnd::Started {
            at_ms: now.duration_since(self.start).as_millis(),
            workers: placed
                .iter()
                .map(|(_, worker_id)| worker_id.clone())
                .collect(),
        });
    }

    /// Checks that no worker has more than its capacity reserved, counted independently of the
    /// fleet.
    fn check_capacity(&self) {
        for worker in 0..WORKERS {
            let worker_id = support::worker_id(worker);
            let runs = self.reserved.values().filter(|(on, _)| *on == worker_id);
            let sum = runs
                .clone()
                .fold(model::Demand::default(), |sum, (_, demand)| {
                    sum.plus(demand)
                });
            assert!(sum.fits_in(&support::capacity(0).resources));
            assert!(runs.count() <= support::capacity(0).slots as usize);
        }
        assert_eq!(self.fleet.running(), self.reserved.len());
    }

    /// Checks that no task waits although the fleet would place it, except for gangs and on the
    /// slots kept for short tasks.
    fn check_work_conserving(&mut self, now: time::Instant) {
        for index in self.waiting.clone() {
            let task = self.task(index);
            if task.spec.class == model::Class::Gang {
                continue;
            }
            let probe = model::Task {
                task_id: model::task_id_in_partition(1, index as u128),
                ..task.clone()
            };
            let placed = self.fleet.place(&support::request(&probe, &[0]), now);
            assert!(placed.is_err(), "{task:?} waits and fits");
        }
    }
}

fn index_of_task(task: &model::Task) -> usize {
    task.task_id.as_u128() as usize
}

fn index_of_run(run: &model::TaskAttempt) -> usize {
    run.task_id.as_u128() as usize
}

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 16,
        max_shrink_iters: 32,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

fn check_ends(arrivals: &[Arrival], ends: &[Vec<TaskEnd>]) {
    for (arrival, ends) in arrivals.iter().zip(ends) {
        let (last, earlier) = ends.split_last().expect("every task ends");
        let restarts = earlier
            .iter()
            .all(|end| matches!(end, TaskEnd::Started { .. }));
        assert!(restarts, "nothing follows a cancellation or expiry");
        assert!(
            earlier.is_empty() || arrival.repeatable,
            "a task that must not be repeated starts once"
        );
        let fits = arrival.processors_milli <= 8000 && arrival.memory_mb <= 16_384;
        assert!(fits || !matches!(last, TaskEnd::Started { .. }));
    }
}

proptest! {
    #![proptest_config(config(11))]

    #[test]
    fn every_task_ends_and_no_worker_is_overcommitted(arrivals in arrivals()) {
        let start = time::Instant::now();
        let ends = Cell::new(place::Policy::Fair, arrivals.clone(), start).run();
        check_ends(&arrivals, &ends);
    }

    #[test]
    fn the_baseline_policy_keeps_the_same_invariants(arrivals in arrivals()) {
        let start = time::Instant::now();
        let ends = Cell::new(place::Policy::Baseline, arrivals.clone(), start).run();
        check_ends(&arrivals, &ends);
    }

    #[test]
    fn the_same_events_give_the_same_decisions(arrivals in arrivals()) {
        let start = time::Instant::now();
        let first = Cell::new(place::Policy::Fair, arrivals.clone(), start).run();
        let later = start + ms(12_345);
        let second = Cell::new(place::Policy::Fair, arrivals, later).run();
        assert_eq!(first, second);
    }
}

const SHORT_KIND: usize = 0;
const LONG_KIND: usize = 1;

/// Returns short tasks of 200 ms among long ones of 8 s, together more than the fleet can run at
/// once.
fn mixed_arrivals(gaps_ms: &[u64]) -> Vec<Arrival> {
    let arrivals = gaps_ms.iter().enumerate();
    arrivals
        .map(|(index, gap_ms)| {
            let long = index % 12 == 0;
            Arrival {
                after_ms: *gap_ms,
                plan: 0,
                kind: if long { LONG_KIND } else { SHORT_KIND },
                class: model::Class::Batch,
                members: 1,
                processors_milli: 1000,
                memory_mb: 1024,
                urgent: false,
                repeatable: true,
                deadline_ms: 300_000,
                run_ms: if long { 8000 } else { 200 },
                succeeds: true,
                cancelled: false,
            }
        })
        .collect()
}

/// Returns the 99th percentile of the wait of short tasks, in milliseconds.
fn short_wait_p99(policy: place::Policy, arrivals: &[Arrival]) -> u128 {
    let ends = Cell::new(policy, arrivals.to_vec(), time::Instant::now()).run();
    let mut accepted_at_ms = 0;
    let mut waits = Vec::new();
    for (arrival, ends) in arrivals.iter().zip(ends) {
        accepted_at_ms += u128::from(arrival.after_ms);
        if let Some(TaskEnd::Started { at_ms, .. }) = ends.first()
            && arrival.kind == SHORT_KIND
        {
            waits.push(at_ms - accepted_at_ms);
        }
    }
    waits.sort_unstable();
    waits[waits.len() * 99 / 100]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 8, ..config(12) })]

    #[test]
    fn short_tasks_wait_less_behind_long_ones_than_under_the_baseline_policy(
        gaps_ms in proptest::collection::vec(30..70_u64, 480)
    ) {
        let arrivals = mixed_arrivals(&gaps_ms);
        let fair = short_wait_p99(place::Policy::Fair, &arrivals);
        let baseline = short_wait_p99(place::Policy::Baseline, &arrivals);
        assert!(baseline > 1000, "the load is too small: {baseline} ms");
        assert!(fair * 4 < baseline, "fair {fair} ms, baseline {baseline} ms");
    }
}
