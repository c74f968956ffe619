//! A planned stop of an instance interrupts no request.

mod common;

use std::net;
use std::time;

const CALLERS: usize = 9;
const RUN_MS: u64 = 1200;
/// Time until the simulated balancer stops sending requests to a stopping instance.
const BALANCER_LAG: time::Duration = time::Duration::from_millis(300);

fn addresses(cluster: &common::Cluster) -> Vec<net::SocketAddr> {
    let instances = cluster.instances.iter();
    instances.map(|instance| instance.callers).collect()
}

/// Stops an instance with SIGTERM and waits until its process exits.
async fn stop_instance(cluster: &mut common::Cluster, load: &common::Load, index: usize) {
    let stopped = cluster.instances.remove(index);
    stopped.terminate();
    tokio::time::sleep(BALANCER_LAG).await;
    load.set_addresses(addresses(cluster));
    let mut stopped = stopped;
    assert!(
        stopped.wait_for_exit().await,
        "{} reported a failure",
        stopped.name
    );
}

fn assert_all_done(completed: &[common::CompletedRequest]) {
    assert!(!completed.is_empty());
    for request in completed {
        assert!(request.has_expected_output(), "{request:?}");
    }
}

#[tokio::test]
async fn each_instance_is_stopped_and_replaced_under_load() {
    let mut cluster = common::Cluster::start(common::ClusterOptions::default()).await;
    let load = common::Load::start(CALLERS, RUN_MS, addresses(&cluster));
    for number in 4..=6 {
        cluster.add_instance(&format!("almaty-{number}"));
        cluster.wait_until_ready().await;
        load.set_addresses(addresses(&cluster));
        tokio::time::sleep(time::Duration::from_millis(500)).await;
        stop_instance(&mut cluster, &load, 0).await;
    }
    let completed = load.finish().await;
    assert_all_done(&completed);
    assert!(cluster.fleet.summary().repeated.is_empty());
}

#[tokio::test]
async fn instances_stop_in_turn_while_the_store_is_down() {
    let mut cluster = common::Cluster::start(common::ClusterOptions::default()).await;
    let load = common::Load::start(CALLERS, RUN_MS, addresses(&cluster));
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    let down = standin::StoreFaults {
        reachability: standin::Reachability::Down,
        ..standin::StoreFaults::default()
    };
    cluster.store.set_faults(down).await;
    stop_instance(&mut cluster, &load, 0).await;
    stop_instance(&mut cluster, &load, 0).await;
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    let completed = load.finish().await;
    assert_all_done(&completed);
    assert!(cluster.fleet.summary().repeated.is_empty());
}

#[tokio::test]
async fn a_waiting_keyed_request_is_answered_across_the_stop_of_its_instance() {
    let mut cluster = common::Cluster::start(common::ClusterOptions::default()).await;
    let mut waiting = tokio::task::JoinSet::new();
    for number in 0..6 {
        let address = cluster.instances[0].callers;
        waiting.spawn(async move {
            let body = format!(
                r#"{{"kind":"pack","repeatable":false,"key":"order-{number}","body":{{"run_ms":2000}}}}"#
            );
            common::request(address, "POST", "/v1/tasks", common::TOKEN, &body).await
        });
    }
    let all_started = || async { cluster.fleet.executions().len() == 6 };
    common::wait_until("starts", all_started).await;
    let mut stopped = cluster.instances.remove(0);
    stopped.terminate();
    let expected = standin::expected_output("pack", r#"{"run_ms":2000}"#);
    while let Some(answer) = waiting.join_next().await {
        let answer = answer.expect("caller");
        assert!(answer.is_done(), "{answer:?}");
        assert_eq!(answer.body["outputs"][0], expected.as_str());
    }
    assert!(stopped.wait_for_exit().await);
    assert_eq!(cluster.fleet.executions().len(), 6);
}
