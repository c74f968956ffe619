//! No two executions of a task overlap.

mod common;

use serde_json::json;

fn keyed(count: u32, run_ms: u64) -> Vec<common::Order> {
    let order = |number| {
        let work = json!({"run_ms": run_ms, "number": number});
        let fields = json!({"key": format!("club-{number}")});
        common::Order::new("registration", &work, &fields)
    };
    (0..count).map(order).collect()
}

fn assert_one_place(cluster: &common::Cluster) {
    let summary = cluster.fleet.summary();
    assert!(summary.never_overlapped(), "{:?}", summary.repeated);
}

async fn starts(cluster: &common::Cluster) {
    common::until("starts", || async { cluster.fleet.counts().started > 2 }).await;
}

#[tokio::test]
async fn the_same_keys_at_every_instance_and_again_after_a_kill() {
    let mut cluster = common::Cluster::start(common::ClusterOptions::default()).await;
    let callers = cluster.callers();
    let at_each = callers.iter();
    let bursts = at_each.map(|address| common::Burst::start(&[*address], keyed(12, 400)));
    let bursts: Vec<_> = bursts.collect();
    starts(&cluster).await;
    cluster.instances[0].kill();
    let again = callers[1..].iter();
    let again = again.map(|address| common::Burst::start(&[*address], keyed(12, 400)));
    let again: Vec<_> = again.collect();
    for burst in bursts.into_iter().chain(again) {
        burst.answers().await;
    }
    assert_one_place(&cluster);
}

#[tokio::test]
async fn an_owner_that_is_paused_while_another_takes_over() {
    let cluster = common::Cluster::start(common::ClusterOptions::default()).await;
    let callers = cluster.callers();
    let burst = common::Burst::start(&callers, keyed(20, 400));
    starts(&cluster).await;
    cluster.instances[0].pause();
    let again = common::Burst::start(&callers[1..], keyed(20, 400));
    common::until("the others to own every partition", || async {
        let second = cluster.number(1, "partitions_owned").await;
        second + cluster.number(2, "partitions_owned").await == 256
    })
    .await;
    cluster.instances[0].resume();
    again.answers().await;
    burst.answers().await;
    assert_one_place(&cluster);
}

#[tokio::test]
async fn workers_that_nobody_reaches_and_that_run_on() {
    let cluster = common::Cluster::start(common::ClusterOptions::default()).await;
    let burst = common::Burst::start(&cluster.callers(), keyed(20, 1500));
    starts(&cluster).await;
    let reachabilities = [standin::Reachability::Down, standin::Reachability::Silent];
    for (worker, reachability) in cluster.fleet.workers().iter().zip(reachabilities) {
        let faults = standin::WorkerFaults {
            reachability,
            ..standin::WorkerFaults::default()
        };
        worker.set_faults(faults).await;
    }
    let answers = burst.answers().await;
    assert!(answers.iter().any(|(_, answer)| answer.is_done()));
    assert_one_place(&cluster);
}
