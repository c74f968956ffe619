//! A leaving worker gets no new work 5 seconds after it is marked.

mod common;

use std::time;

/// Time within which new starts on a leaving worker must cease.
const BOUND: time::Duration = time::Duration::from_secs(5);
/// How long no start may occur after the bound.
const LOOKED_FOR: time::Duration = time::Duration::from_secs(2);

fn options() -> common::ClusterOptions {
    common::ClusterOptions {
        instances: 2,
        workers: 3,
        ..common::ClusterOptions::default()
    }
}

fn load(cluster: &common::Cluster) -> common::Load {
    let instances = cluster.instances.iter();
    common::Load::start(8, 20, instances.map(|instance| instance.callers).collect())
}

fn starts(cluster: &common::Cluster, index: usize) -> usize {
    cluster.fleet.workers()[index].executions().len()
}

async fn is_used(cluster: &common::Cluster, index: usize) {
    let before = starts(cluster, index);
    let more = || async { starts(cluster, index) >= before + 5 };
    common::until("starts on a worker", more).await;
}

/// Asserts that the worker with this index gets no starts after the bound while the others do.
async fn assert_left(cluster: &common::Cluster, index: usize) {
    tokio::time::sleep(BOUND).await;
    let before = starts(cluster, index);
    let others = (0..3).filter(|other| *other != index);
    for other in others {
        is_used(cluster, other).await;
    }
    tokio::time::sleep(LOOKED_FOR).await;
    assert_eq!(starts(cluster, index), before, "starts after the bound");
}

async fn finish(load: common::Load) {
    for one in load.finish().await {
        assert!(one.is_whole(), "{one:?}");
    }
}

#[tokio::test]
async fn by_the_list_alone_and_back() {
    let cluster = common::Cluster::start(options()).await;
    let load = load(&cluster);
    is_used(&cluster, 0).await;
    let state = model::EntryState::Leaving;
    cluster.directory.set_state("worker-001", state);
    assert_left(&cluster, 0).await;
    let state = model::EntryState::Live;
    cluster.directory.set_state("worker-001", state);
    is_used(&cluster, 0).await;
    finish(load).await;
}

#[tokio::test]
async fn by_its_own_notice_while_the_list_still_calls_it_live() {
    let cluster = common::Cluster::start(options()).await;
    let load = load(&cluster);
    is_used(&cluster, 1).await;
    cluster.fleet.workers()[1].set_leaving(true);
    assert_left(&cluster, 1).await;
    finish(load).await;
}

#[tokio::test]
async fn by_its_own_notice_while_list_and_store_are_away() {
    let cluster = common::Cluster::start(options()).await;
    let load = load(&cluster);
    is_used(&cluster, 2).await;
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
    assert_left(&cluster, 2).await;
    finish(load).await;
}

#[tokio::test]
async fn by_the_list_although_its_holder_dies_meanwhile() {
    let mut cluster = common::Cluster::start(options()).await;
    is_used_by_one_task(&cluster).await;
    let state = model::EntryState::Leaving;
    cluster.directory.set_state("worker-001", state);
    cluster.instances.remove(0).kill();
    let load = load(&cluster);
    assert_left(&cluster, 0).await;
    for one in load.finish().await {
        assert!(one.is_whole(), "{one:?}");
    }
}

async fn is_used_by_one_task(cluster: &common::Cluster) {
    let answer = cluster.submit(0, r#"{"kind":"pack"}"#).await;
    assert!(answer.is_done(), "{answer:?}");
}
