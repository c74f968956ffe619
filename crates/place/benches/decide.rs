//! Measures the time of one scheduling decision, `Queue::next` + `Fleet::place` +
//! `Fleet::record_finished`, by number of workers.

mod cell;

use std::collections;
use std::time;

const RUNNING_PER_WORKER: usize = 21;
const SLOTS_PER_WORKER: u32 = 24;
const DECISIONS: usize = 100_000;
const PLANS: u64 = 180;
const TIME_LIMIT: time::Duration = time::Duration::from_secs(4);

fn main() {
    println!("workers running  decisions  p50 us  p99 us  p99.9 us");
    for workers in [48, 200, 800, 2600] {
        measure(workers);
    }
}

fn measure(workers: usize) {
    let now = time::Instant::now();
    let mut random = cell::Random(7);
    let mut fleet = cell::fleet(place::Policy::Fair, workers, SLOTS_PER_WORKER, now);
    let mut queue = place::Queue::new(place::QueueSettings::default());
    let mut running = collections::VecDeque::new();
    let mut times = hdrhistogram::Histogram::<u64>::new(3).expect("three digits are allowed");
    let target = workers * RUNNING_PER_WORKER;
    let mut decisions = 0;
    let bench_started_at = time::Instant::now();
    while decisions < DECISIONS && (decisions == 0 || bench_started_at.elapsed() < TIME_LIMIT) {
        push(&mut queue, &mut random, now);
        if decisions % 64 == 0 {
            fleet.tick(0, now);
        }
        let started = time::Instant::now();
        let local = place::Target::Local;
        queue.set_capacity(
            &local,
            place::Proximity::SameDataCentre,
            fleet.summary(),
            now,
        );
        let dispatch = queue
            .next(&mut cell::NoLimits, now)
            .expect("there is free capacity");
        let id = place(&mut fleet, &dispatch, now);
        let full = running.len() >= target;
        if full {
            // Ends an arbitrary run, so that the free slots are spread over all workers.
            let position = random.next() as usize % running.len();
            let ended = running
                .swap_remove_back(position)
                .expect("the position is within the queue");
            finish(&mut fleet, ended, now);
        }
        let elapsed = started.elapsed();
        running.push_back(id);
        if full {
            times
                .record(elapsed.as_nanos() as u64)
                .expect("the histogram resizes automatically");
            decisions += 1;
        }
    }
    let us = |quantile| times.value_at_quantile(quantile) as f64 / 1000.0;
    println!(
        "{workers:>7} {:>7} {decisions:>10} {:>7.1} {:>7.1} {:>9.1}",
        fleet.running(),
        us(0.5),
        us(0.99),
        us(0.999),
    );
}

fn push(queue: &mut place::Queue, random: &mut cell::Random, now: time::Instant) {
    let kind = cell::Kind {
        name: "booklet",
        plan: "expo",
        run: time::Duration::from_secs(5),
        share: 1.0,
        processors_milli: 500 + (random.next() % 8) as u32 * 500,
        memory_mb: 1024 + (random.next() % 8) as u32 * 1024,
        straggler_percent: 0,
        straggler_factor: 1,
        urgency: model::Urgency::Normal,
        deadline: time::Duration::from_secs(600),
    };
    let mut task = cell::task(&kind, kind.run, random.next());
    task.plan_id = format!("plan{}", random.next() % PLANS).into();
    let deadline = now + kind.deadline;
    let queued = place::Queued {
        task,
        attempt: 1,
        generation: 1,
        accepted_at: now,
        deadline,
        checkpoint: None,
        excluded_instances: Vec::new(),
    };
    queue.push(queued, now);
}

fn place(
    fleet: &mut place::Fleet,
    dispatch: &place::Dispatch,
    now: time::Instant,
) -> model::TaskAttempt {
    let request = place::Request {
        task: &dispatch.queued.task,
        attempt: dispatch.queued.attempt,
        members: &[0],
        reserve: dispatch.reserve,
        expected_run_time: dispatch.expected_run_time,
        short: dispatch.short,
        reserve_only: false,
    };
    fleet.place(&request, now).expect("there is free capacity");
    model::TaskAttempt {
        task_id: dispatch.queued.task.task_id,
        member: 0,
        attempt: dispatch.queued.attempt,
    }
}

fn finish(fleet: &mut place::Fleet, run: model::TaskAttempt, now: time::Instant) {
    let report = place::RunOutcome {
        succeeded: true,
        worker_fault: false,
        run_time: time::Duration::from_secs(1),
        peak: model::Demand::default(),
    };
    fleet.record_finished(run, &report, now);
}
