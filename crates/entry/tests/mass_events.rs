//! Mass cancellation, a failing worker, and the loss or replacement of several instances.

mod common;

use std::net;
use std::sync;
use std::time;

const WAVE_REQUESTS: usize = 1000;
/// Limit of concurrent requests.
const IN_FLIGHT: usize = 64;

fn addresses(cluster: &common::Cluster) -> Vec<net::SocketAddr> {
    let instances = cluster.instances.iter();
    instances.map(|instance| instance.callers).collect()
}

/// Sends the requests, up to [`IN_FLIGHT`] at once, and returns the answers in order.
async fn send_wave(
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

fn assert_all_done(completed: &[common::CompletedRequest]) {
    assert!(!completed.is_empty());
    for request in completed {
        assert!(request.has_expected_output(), "{request:?}");
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
    let blocking =
        r#"{"kind":"hold","processors_milli":2000,"wait":false,"body":{"run_ms":20000}}"#;
    for index in 0..4 {
        cluster.submit(index % 3, blocking).await;
    }
    let held = || async { cluster.fleet.summary().running >= 3 };
    common::wait_until("a full worker", held).await;
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
    let accepted = send_wave((0..WAVE_REQUESTS).map(submit).collect()).await;
    let tasks: Vec<_> = accepted
        .iter()
        .filter(|answer| answer.text("outcome") == "queued")
        .map(|answer| answer.text("task_id").to_owned())
        .collect();
    assert_eq!(tasks.len(), WAVE_REQUESTS, "{:?}", accepted.last());

    let cancels = tasks.iter().enumerate().map(|(index, id)| {
        let path = format!("/v1/tasks/{id}");
        (addresses[(index + 1) % 3], "DELETE", path, String::new())
    });
    let cancelled = send_wave(cancels.collect()).await;
    let executions = cluster.fleet.executions();
    for (id, answer) in tasks.iter().zip(&cancelled) {
        let ran = executions.iter().any(|e| e.run.task_id.to_string() == *id);
        let expected = if ran { "unknown" } else { "not_run" };
        assert_eq!(answer.text("outcome"), expected, "{answer:?}");
    }
    let not_run = cancelled.iter().filter(|a| a.text("outcome") == "not_run");
    assert!(not_run.count() >= WAVE_REQUESTS - 4);
    for index in 0..3 {
        let status = cluster.status(index).await;
        assert!(status["queued"].as_u64().is_some_and(|queued| queued <= 4));
    }
}

#[tokio::test]
async fn a_worker_that_fails_every_run_gets_only_trial_runs() {
    let cluster = common::Cluster::start(common::ClusterOptions::default()).await;
    let bad_worker = &cluster.fleet.workers()[0];
    let faults = standin::WorkerFaults {
        fail_all: true,
        ..standin::WorkerFaults::default()
    };
    bad_worker.set_faults(faults).await;
    let load = common::Load::start(8, 20, addresses(&cluster));
    tokio::time::sleep(time::Duration::from_secs(4)).await;
    let completed = load.finish().await;
    assert_all_done(&completed);
    // An equal share would be one in six; a worker that fails everything only gets trial runs.
    let bad_worker_runs = bad_worker.executions().len();
    assert!(
        bad_worker_runs * 20 < completed.len(),
        "{bad_worker_runs} of {}",
        completed.len()
    );
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
    load.set_addresses(addresses(&cluster));
    tokio::time::sleep(time::Duration::from_secs(4)).await;
    for request in load.finish().await {
        let lost_with_instance = dead.contains(&request.address) && request.answer.status == 0;
        assert!(
            request.has_expected_output() || lost_with_instance,
            "{request:?}"
        );
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
    common::wait_until("every partition served", owned).await;
}

#[tokio::test]
async fn all_instances_are_replaced_under_load() {
    let mut cluster = common::Cluster::start(common::ClusterOptions::default()).await;
    let load = common::Load::start(8, 50, addresses(&cluster));
    for number in 4..=6 {
        cluster.add_instance(&format!("almaty-{number}"));
        cluster.wait_until_ready().await;
        let mut replaced = cluster.instances.remove(0);
        load.set_addresses(addresses(&cluster));
        replaced.terminate();
        assert!(replaced.wait_for_exit().await, "{} failed", replaced.name);
    }
    assert_all_done(&load.finish().await);
    assert!(cluster.fleet.summary().never_overlapped());
}
