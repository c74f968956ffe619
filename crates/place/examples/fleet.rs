//! Packs batch tasks onto workers until one does not fit.

use std::sync;
use std::time;

const WORKERS: usize = 2;
const TASKS: u128 = 6;

fn capacity() -> model::WorkerCapacity {
    model::WorkerCapacity {
        resources: model::Demand {
            processors_milli: 4000,
            memory_mb: 8192,
            accelerators: 0,
        },
        slots: 2,
        connections: 64,
    }
}

fn task(number: u128) -> model::Task {
    let spec = model::TaskSpec {
        kind: "booklet".into(),
        class: model::Class::Batch,
        demand: model::Demand {
            processors_milli: 1000,
            memory_mb: 1024,
            accelerators: 0,
        },
        members: 1,
        urgency: model::Urgency::Normal,
        deadline_ms: 60_000,
        repeatable: true,
        key: None,
        declared_run_ms: None,
        body: "null".into(),
    };
    model::Task {
        task_id: model::task_id_in_partition(0, number),
        customer_id: "qazfair-print".into(),
        plan_id: "manuals".into(),
        region: "almaty".into(),
        spec: sync::Arc::new(spec),
        wait: true,
    }
}

fn main() {
    let now = time::Instant::now();
    let mut fleet = place::Fleet::new(place::FleetSettings::default());
    for worker in 0..WORKERS {
        let location = model::Location {
            region: "almaty".into(),
            data_centre: "almaty-a".into(),
            rack: "rack-1".into(),
        };
        let worker_id = format!("worker-{worker}").into();
        fleet.add_worker(worker_id, location, capacity(), false, &[], now);
    }
    for number in 0..TASKS {
        let task = task(number);
        let request = place::Request {
            task: &task,
            attempt: 1,
            members: &[0],
            reserve: task.spec.demand,
            expected_run_time: time::Duration::from_secs(10),
            short: false,
            reserve_only: false,
        };
        match fleet.place(&request, now) {
            Ok(placed) => println!("task {number}: {}", placed[0].1),
            Err(place::InsufficientCapacity) => println!("task {number}: no capacity"),
        }
    }
    println!("free slots: {}", fleet.summary().free_slots);
}
