//! Mass cancellation, a failing worker, and the loss or replacement of several instances.

mod common;

use std::net;
use std::sync;
use std::time;

const WAVE: usize = 1000;
/// Limit of concurrent requests.
const IN_FLIGHT: usize = 64;

fn addresses(cluster: &common::Cluster) -> Vec<net::SocketAddr> {
    let instances = cluster.instances.iter();
    instances.map(|instance| instance.callers).collect()
}

/// Sends the requests, up to [`IN_FLIGHT`] at once, and returns the answers in order.
async fn wave(
    requests: Vec<(net::SocketAddr, &'static str, String, String)>,
) -> Vec<common::Answer> {
    let permits = sync::Arc::new(tokio::sync::Semaphore::new(IN_FLIGHT));
    let sent: Vec<_> = requests
        .into_iter()
        .map(|(address, method, path, body)| {
            let permits = permits.clone();
            tokio::spawn(async move {
                let _permit = permits.acquire().await.expect("open");
                common::request(address, method, &path, common::TOKEN, &body).await
            })
        })
        .collect();
    let mut answers = Vec::new();
    for answer in sent {
        answers.push(answer.await.expect("request"));
    }
    answers
}

fn assert_all_whole(served: &[common::Served]) {
    assert!(!served.is_empty());
    for one in served {
        assert!(one.is_whole(), "{one:?}");
    }
}

#[tokio::test]
async fn a_thousand_queued_tasks_are_cancelled_and_none_of_them_runs() {
    let options = common::ClusterOptions {
        workers: 1,
        slots: 4,
        ..common::ClusterOptions::default()
    };
    let cluster = common::Cluster::start(options).await;
    let addresses = addresses(&cluster);
    let holding = r#"{"kind":"hold","processors_milli":2000,"wait":false,"body":{"run_ms":20000}}"#;
    for index in 0..4 {
        cluster.submit(index % 3, holding).await;
    }
    let held = || async { cluster.fleet.summary().running >= 3 };
    common::until("a full worker", held).await;
    let queued = r#"{"kind":"hold","processors_milli":2000,"wait":false,"deadline_ms":600000,"body":{"run_ms":20000}}"#;
    let path = "/v1/tasks".to_owned();
    let submit = |index: usize| {
        (
            addresses[index % 3],
            "POST",
            path.clone(),
            queued.to_owned(),
        )
    };
    let accepted = wave((0..WAVE).map(submit).collect()).await;
    let tasks: Vec<_> = accepted
        .iter()
        .filter(|answer| answer.text("outcome") == "queued")
        .map(|answer| answer.text("task_id").to_owned())
        .collect();
    assert_eq!(tasks.len(), WAVE, "{:?}", accepted.last());

    let cancels = tasks.iter().enumerate().map(|(index, id)| {
        let path = format!("/v1/tasks/{id}");
        (addresses[(index + 1) % 3], "DELETE", path, String::new())
    });
    let cancelled = wave(cancels.collect()).await;
    let executions = cluster.fleet.executions();
    for (id, answer) in tasks.iter().zip(&cancelled) {
        let ran = executions.iter().any(|e| e.run.task_id.to_string() == *id);
        let truly = if ran { "unknown" } else { "not_run" };
        assert_eq!(answer.text("outcome"), truly, "{answer:?}");
    }
    let not_run = cancelled.iter().filter(|a| a.text("outcome") == "not_run");
    assert!(not_run.count() >= WAVE - 4);
    for index in 0..3 {
        let status = cluster.status(index).await;
        assert!(status["queued"].as_u64().is_some_and(|queued| queued <= 4));
    }
}

#[tokio::test]
async fn a_worker_that_fails_all_does_not_draw_the_work() {
    let cluster = common::Cluster::start(common::ClusterOptions::default()).await;
    let bad = &cluster.fleet.workers()[0];
    let faults = standin::WorkerFaults {
        fail_all: true,
        ..standin::WorkerFaults::default()
    };
    bad.set_faults(faults).await;
    let load = common::Load::start(8, 20, addresses(&cluster));
    tokio::time::sleep(time::Duration::from_secs(4)).await;
    let served = load.finish().await;
    assert_all_whole(&served);
    // An equal share would be one in six; a worker that fails everything only gets trial runs.
    let drawn = bad.executions().len();
    assert!(drawn * 20 < served.len(), "{drawn} of {}", served.len());
    assert!(cluster.fleet.summary().never_overlapped());
}

#[tokio::test]
async fn two_of_six_instances_die_at_once() {
    let options = common::ClusterOptions {
        instances: 6,
        ..common::ClusterOptions::default()
    };
    let mut cluster = common::Cluster::start(options).await;
    let load = common::Load::start(12, 300, addresses(&cluster));
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let mut dead = Vec::new();
    for mut instance in cluster.instances.drain(0..2).collect::<Vec<_>>() {
        instance.kill();
        dead.push(instance.callers);
    }
    load.route(addresses(&cluster));
    tokio::time::sleep(time::Duration::from_secs(4)).await;
    for one in load.finish().await {
        let lost_with_instance = dead.contains(&one.address) && one.answer.status == 0;
        assert!(one.is_whole() || lost_with_instance, "{one:?}");
    }
    assert!(cluster.fleet.summary().never_overlapped());
    let owned = || async {
        let mut owned = 0;
        for index in 0..4 {
            let status = cluster.status(index).await;
            owned += status["partitions_owned"].as_u64().unwrap_or_default();
        }
        owned == u64::from(model::PARTITIONS)
    };
    common::until("every partition served", owned).await;
}

#[tokio::test]
async fn all_instances_are_replaced_under_load() {
    let mut cluster = common::Cluster::start(common::ClusterOptions::default()).await;
    let load = common::Load::start(8, 50, addresses(&cluster));
    for number in 4..=6 {
        cluster.add_instance(&format!("almaty-{number}"));
        cluster.ready().await;
        let mut replaced = cluster.instances.remove(0);
        load.route(addresses(&cluster));
        replaced.terminate();
        assert!(replaced.ended().await, "{} failed", replaced.name);
    }
    assert_all_whole(&load.finish().await);
    assert!(cluster.fleet.summary().never_overlapped());
}
