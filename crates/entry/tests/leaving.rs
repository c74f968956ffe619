//! A worker gets no new work once it has been marked as leaving for 5 seconds.

mod common;

use std::time;

/// Time within which new starts on a leaving worker must cease.
const START_BOUND: time::Duration = time::Duration::from_secs(5);
/// How long no start may occur after the bound.
const OBSERVATION_TIME: time::Duration = time::Duration::from_secs(2);

fn options() -> common::ClusterOptions {
    common::ClusterOptions {
        instances: 2,
        workers: 3,
        ..common::ClusterOptions::default()
    }
}

fn start_load(cluster: &common::Cluster) -> common::Load {
    let instances = cluster.instances.iter();
    common::Load::start(8, 20, instances.map(|instance| instance.callers).collect())
}

fn start_count(cluster: &common::Cluster, index: usize) -> usize {
    cluster.fleet.workers()[index].executions().len()
}

async fn wait_for_starts(cluster: &common::Cluster, index: usize) {
    let before = start_count(cluster, index);
    let more = || async { start_count(cluster, index) >= before + 5 };
    common::wait_until("starts on a worker", more).await;
}

/// Asserts that the worker with this index gets no starts after the bound while the others do.
async fn assert_no_starts_after_bound(cluster: &common::Cluster, index: usize) {
    tokio::time::sleep(START_BOUND).await;
    let before = start_count(cluster, index);
    let others = (0..3).filter(|other| *other != index);
    for other in others {
        wait_for_starts(cluster, other).await;
    }
    tokio::time::sleep(OBSERVATION_TIME).await;
    assert_eq!(
        start_count(cluster, index),
        before,
        "starts after the bound"
    );
}

async fn assert_load_done(load: common::Load) {
    for completed in load.finish().await {
        assert!(completed.has_expected_output(), "{completed:?}");
    }
}

#[tokio::test]
async fn listed_as_leaving_and_then_live_again() {
    let cluster = common::Cluster::start(options()).await;
    let load = start_load(&cluster);
    wait_for_starts(&cluster, 0).await;
    let state = model::EntryState::Leaving;
    cluster.directory.set_state("worker-001", state);
    assert_no_starts_after_bound(&cluster, 0).await;
    let state = model::EntryState::Live;
    cluster.directory.set_state("worker-001", state);
    wait_for_starts(&cluster, 0).await;
    assert_load_done(load).await;
}

#[tokio::test]
async fn reported_by_the_worker_while_listed_as_live() {
    let cluster = common::Cluster::start(options()).await;
    let load = start_load(&cluster);
    wait_for_starts(&cluster, 1).await;
    cluster.fleet.workers()[1].set_leaving(true);
    assert_no_starts_after_bound(&cluster, 1).await;
    assert_load_done(load).await;
}

#[tokio::test]
async fn reported_by_the_worker_while_list_and_store_are_unreachable() {
    let cluster = common::Cluster::start(options()).await;
    let load = start_load(&cluster);
    wait_for_starts(&cluster, 2).await;
    let unavailable = standin::DirectoryFaults {
        unavailable: true,
        ..standin::DirectoryFaults::default()
    };
    cluster.directory.set_faults(unavailable).await;
    let down = standin::StoreFaults {
        reachability: standin::Reachability::Down,
        ..standin::StoreFaults::default()
    };
    cluster.store.set_faults(down).await;
    cluster.fleet.workers()[2].set_leaving(true);
    assert_no_starts_after_bound(&cluster, 2).await;
    assert_load_done(load).await;
}

#[tokio::test]
async fn listed_as_leaving_while_its_holder_dies() {
    let mut cluster = common::Cluster::start(options()).await;
    run_one_task(&cluster).await;
    let state = model::EntryState::Leaving;
    cluster.directory.set_state("worker-001", state);
    cluster.instances.remove(0).kill();
    let load = start_load(&cluster);
    assert_no_starts_after_bound(&cluster, 0).await;
    for completed in load.finish().await {
        assert!(completed.has_expected_output(), "{completed:?}");
    }
}

async fn run_one_task(cluster: &common::Cluster) {
    let answer = cluster.submit(0, r#"{"kind":"pack"}"#).await;
    assert!(answer.is_done(), "{answer:?}");
}
