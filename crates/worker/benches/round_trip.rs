//! Measures results per second with a fleet of stand-in workers, and the latency from a start to
//! the receipt of its result, minus the run time.

#![allow(clippy::unwrap_used, reason = "a benchmark fails by panicking")]

use std::sync;
use std::time;

use indexmap::IndexMap;
use worker::WorkerApi as _;

const WORKERS: usize = 48;
const SLOTS: u32 = 8;
const RUN_MS: u64 = 20;
const MEASUREMENT_TIME: time::Duration = time::Duration::from_secs(5);
const TIMEOUT: time::Duration = time::Duration::from_secs(5);
const WAIT_MS: u64 = 500;

#[tokio::main]
async fn main() {
    let config = standin::FleetConfig {
        count: WORKERS,
        workers_per_rack: 8,
        data_centres: vec![location()],
        worker: standin::WorkerConfig::new("", location()),
        first_address: "127.0.0.1:0".parse().unwrap(),
    };
    let fleet = standin::WorkerFleet::start(&config).await.unwrap();
    let client = worker::HttpWorkers::builder().build();
    let mut measurements = tokio::task::JoinSet::new();
    for entry in fleet.directory_entries() {
        measurements.spawn(keep_busy(client.clone(), entry.address));
    }
    let mut latency = hdrhistogram::Histogram::<u64>::new(3).unwrap();
    while let Some(measured) = measurements.join_next().await {
        latency.add(measured.unwrap()).unwrap();
    }
    report(&latency, client.traffic(), fleet.counts());
    fleet.shutdown().await;
}

fn report(
    latency: &hdrhistogram::Histogram<u64>,
    traffic: worker::Traffic,
    counts: standin::WorkerCounts,
) {
    let seconds = MEASUREMENT_TIME.as_secs_f64();
    println!("results per second: {:.0}", latency.len() as f64 / seconds);
    println!("calls per second: {:.0}", traffic.calls as f64 / seconds);
    println!(
        "received bytes per result: {}",
        traffic.received_bytes / latency.len().max(1)
    );
    for quantile in [0.5, 0.99, 0.999] {
        let microseconds = latency.value_at_quantile(quantile);
        println!(
            "latency from start to result minus run time, quantile {quantile}: {microseconds} us"
        );
    }
    println!(
        "starts refused for lack of capacity: {}",
        counts.refused_full
    );
    println!("overcommits: {}", counts.overcommits);
}

fn location() -> model::Location {
    model::Location {
        region: "r".into(),
        data_centre: "d".into(),
        rack: "".into(),
    }
}

/// Holds the lease of a worker, keeps its slots full and returns the latencies in microseconds.
async fn keep_busy(client: worker::HttpWorkers, address: String) -> hdrhistogram::Histogram<u64> {
    let mut latency = hdrhistogram::Histogram::new(3).unwrap();
    let mut start_times = IndexMap::new();
    let mut lease = lease_request(None, Vec::new());
    let (mut acknowledged, mut number) = (Vec::new(), 0);
    let end = time::Instant::now() + MEASUREMENT_TIME;
    while time::Instant::now() < end {
        lease.acknowledged = std::mem::take(&mut acknowledged);
        let reply = client.lease(&address, &lease, TIMEOUT).await.unwrap();
        let model::LeaseReply::Granted {
            epoch,
            incarnation,
            finished,
            ..
        } = reply
        else {
            panic!("the lease was lost: {reply:?}");
        };
        lease.epoch = Some(epoch);
        for result in finished {
            acknowledged.push(result.run);
            let Some(start) = start_times.swap_remove(&result.run) else {
                continue;
            };
            let elapsed = time::Instant::now().duration_since(start);
            let overhead = elapsed.saturating_sub(time::Duration::from_millis(result.run_ms));
            latency
                .record(u64::try_from(overhead.as_micros()).unwrap().max(1))
                .unwrap();
        }
        let free = SLOTS as usize - start_times.len();
        let runs: Vec<_> = (0..free).map(|index| run(number + index as u128)).collect();
        number += free as u128;
        let now = time::Instant::now();
        start_times.extend(runs.iter().map(|run| (run.run, now)));
        let instance_id = lease.instance_id.clone();
        let request = model::StartRequest {
            instance_id,
            epoch,
            incarnation,
            runs,
        };
        client.start(&address, &request, TIMEOUT).await.unwrap();
    }
    latency
}

fn lease_request(
    epoch: Option<model::Epoch>,
    acknowledged: Vec<model::TaskAttempt>,
) -> model::LeaseRequest {
    model::LeaseRequest {
        instance_id: "bench".into(),
        instance_address: "127.0.0.1:1".to_owned(),
        epoch,
        ttl_ms: 10_000,
        grace_ms: 10_000,
        acknowledged,
        wait_ms: WAIT_MS,
    }
}

fn run(number: u128) -> model::StartRun {
    let task_id = model::task_id_in_partition(0, number);
    let demand = model::Demand {
        processors_milli: 1000,
        memory_mb: 1000,
        accelerators: 0,
    };
    let spec = model::TaskSpec {
        kind: "badge-form".into(),
        class: model::Class::Batch,
        demand,
        members: 1,
        urgency: model::Urgency::Normal,
        deadline_ms: 1000,
        repeatable: true,
        key: None,
        declared_run_ms: None,
        body: format!(r#"{{"run_ms":{RUN_MS}}}"#).into(),
    };
    let task = model::Task {
        task_id,
        customer_id: "c".into(),
        plan_id: "p".into(),
        region: "r".into(),
        spec: sync::Arc::new(spec),
        wait: true,
    };
    let run = model::TaskAttempt {
        task_id,
        member: 0,
        attempt: 1,
    };
    model::StartRun {
        run,
        task,
        generation: 1,
        reserved: demand,
        checkpoint: None,
    }
}
