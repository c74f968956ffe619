//! No two executions of a task overlap.

mod common;

use serde_json::json;

fn keyed_submissions(count: u32, run_ms: u64) -> Vec<common::Submission> {
    let submission = |number| {
        let work = json!({"run_ms": run_ms, "number": number});
        let fields = json!({"key": format!("club-{number}")});
        common::Submission::new("registration", &work, &fields)
    };
    (0..count).map(submission).collect()
}

fn assert_no_overlap(cluster: &common::Cluster) {
    let summary = cluster.fleet.summary();
    assert!(summary.never_overlapped(), "{:?}", summary.repeated);
}

async fn wait_for_starts(cluster: &common::Cluster) {
    common::wait_until("starts", || async { cluster.fleet.counts().started > 2 }).await;
}

#[tokio::test]
async fn the_same_keys_at_every_instance_and_again_after_a_kill() {
    let mut cluster = common::Cluster::start(common::ClusterOptions::default()).await;
    let callers = cluster.callers();
    let at_each = callers.iter();
    let bursts =
        at_each.map(|address| common::Burst::start(&[*address], keyed_submissions(12, 400)));
    let bursts: Vec<_> = bursts.collect();
    wait_for_starts(&cluster).await;
    cluster.instances[0].kill();
    let again = callers[1..].iter();
    let again = again.map(|address| common::Burst::start(&[*address], keyed_submissions(12, 400)));
    let again: Vec<_> = again.collect();
    for burst in bursts.into_iter().chain(again) {
        burst.answers().await;
    }
    assert_no_overlap(&cluster);
}

#[tokio::test]
async fn an_owner_that_is_paused_while_another_takes_over() {
    let cluster = common::Cluster::start(common::ClusterOptions::default()).await;
    let callers = cluster.callers();
    let burst = common::Burst::start(&callers, keyed_submissions(20, 400));
    wait_for_starts(&cluster).await;
    cluster.instances[0].pause();
    let again = common::Burst::start(&callers[1..], keyed_submissions(20, 400));
    common::wait_until("the others to own every partition", || async {
        let second = cluster.status_number(1, "partitions_owned").await;
        second + cluster.status_number(2, "partitions_owned").await == 256
    })
    .await;
    cluster.instances[0].resume();
    again.answers().await;
    burst.answers().await;
    assert_no_overlap(&cluster);
}

#[tokio::test]
async fn unreachable_workers_that_continue_their_runs() {
    let cluster = common::Cluster::start(common::ClusterOptions::default()).await;
    let burst = common::Burst::start(&cluster.callers(), keyed_submissions(20, 1500));
    wait_for_starts(&cluster).await;
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
    assert_no_overlap(&cluster);
}
