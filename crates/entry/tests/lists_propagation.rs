//! A committed change of the operators' lists comes into force at all instances within the bound
//! and is never reverted.

mod common;

use std::time;

use store::Store as _;

const PLANS_KEY: &str = "/ferry/lists/plans";
/// Time within which a committed change is in force at all instances.
const PROPAGATION_BOUND: time::Duration = time::Duration::from_secs(8);

fn plans(weight: u32) -> String {
    format!("[manuals]\nweight = {weight}\nclasses = service, batch, gang\n")
}

fn store_down() -> standin::StoreFaults {
    standin::StoreFaults {
        reachability: standin::Reachability::Down,
        ..standin::StoreFaults::default()
    }
}

fn store_client(cluster: &common::Cluster) -> store::Etcd {
    store::Etcd::builder()
        .addresses([cluster.store.address().to_string()])
        .build()
}

async fn stored_revision(cluster: &common::Cluster) -> i64 {
    let entry = store_client(cluster)
        .get(PLANS_KEY)
        .await
        .expect("store read");
    entry.expect("plans are stored").modified_revision
}

async fn plans_revision(cluster: &common::Cluster, index: usize) -> i64 {
    let status = cluster.status(index).await;
    status["plans_revision"].as_i64().unwrap_or_default()
}

async fn all_have_revision(cluster: &common::Cluster, revision: i64) -> bool {
    for index in 0..cluster.instances.len() {
        if plans_revision(cluster, index).await != revision {
            return false;
        }
    }
    true
}

async fn assert_propagates(cluster: &common::Cluster, revision: i64) {
    let propagated = common::wait_until("revision everywhere", || {
        all_have_revision(cluster, revision)
    });
    let propagated = tokio::time::timeout(PROPAGATION_BOUND, propagated).await;
    assert!(
        propagated.is_ok(),
        "revision {revision} is not in force everywhere"
    );
}

/// Polls the plans revision of an instance until aborted; panics if it decreases.
async fn assert_revision_never_falls(address: std::net::SocketAddr) {
    let mut highest = 0;
    loop {
        let path = "/v1/operator/status";
        let answer = common::request(address, "GET", path, common::SECRET, "").await;
        // An unreachable instance has no revision in its answer.
        if let Some(revision) = answer.body["plans_revision"].as_i64() {
            assert!(
                revision >= highest,
                "revision fell from {highest} to {revision}"
            );
            highest = revision;
        }
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn one_of_two_concurrent_writes_wins_and_comes_into_force() {
    let cluster = common::Cluster::start(common::ClusterOptions::default()).await;
    for round in 0..5 {
        let edited_from = stored_revision(&cluster).await;
        let write = |weight| {
            let key = PLANS_KEY.to_owned();
            let txn = store::Txn {
                compares: vec![store::Compare::ModifiedAt {
                    key: key.clone(),
                    revision: edited_from,
                }],
                puts: vec![store::Put {
                    key,
                    value: plans(weight).into_bytes(),
                    lease_id: None,
                }],
                ..store::Txn::default()
            };
            let client = store_client(&cluster);
            async move { client.commit(txn).await.expect("store answers") }
        };
        let (first, second) = tokio::join!(write(10 + round), write(20 + round));
        assert!(first.succeeded != second.succeeded, "{first:?} {second:?}");
        let winner = if first.succeeded { first } else { second };
        assert_propagates(&cluster, winner.revision).await;
    }
}

#[tokio::test]
async fn a_change_known_to_one_instance_propagates_while_the_store_is_down() {
    let mut cluster = common::Cluster::start(common::ClusterOptions::default()).await;
    cluster.write_list(PLANS_KEY, &plans(7)).await;
    let revision = stored_revision(&cluster).await;
    let known_to_one = || async {
        let mut highest = 0;
        for index in 0..3 {
            highest = highest.max(plans_revision(&cluster, index).await);
        }
        highest == revision
    };
    common::wait_until("first instance", known_to_one).await;
    cluster.store.set_faults(store_down()).await;
    assert_propagates(&cluster, revision).await;

    cluster.add_instance("almaty-4");
    assert_propagates(&cluster, revision).await;
    cluster.wait_until_ready().await;
    let body = r#"{"kind":"pack","body":{"run_ms":10}}"#;
    let answer = cluster.submit(3, body).await;
    assert!(answer.is_done(), "{answer:?}");
}

#[tokio::test]
async fn an_instance_without_the_store_gets_changes_from_its_peers() {
    let mut cluster = common::Cluster::start(common::ClusterOptions::default()).await;
    let any = ([127, 0, 0, 1], 0).into();
    let relay = standin::Relay::start(any, cluster.store.address(), time::Duration::ZERO);
    let relay = relay.await.expect("relay");
    let address = relay.address().to_string();
    cluster.add_instance_with("almaty-4", &[("store_addresses", address)]);
    cluster.wait_until_ready().await;
    let cuts = [
        standin::RelayFaults {
            cut: true,
            ..standin::RelayFaults::default()
        },
        standin::RelayFaults {
            silent: true,
            ..standin::RelayFaults::default()
        },
    ];
    for (weight, cut) in (2..).zip(cuts) {
        relay.set_faults(cut).await;
        cluster.write_list(PLANS_KEY, &plans(weight)).await;
        assert_propagates(&cluster, stored_revision(&cluster).await).await;
        relay.set_faults(standin::RelayFaults::default()).await;
    }
}

#[tokio::test]
async fn a_stale_peer_never_reverts_a_change() {
    let mut cluster = common::Cluster::start(common::ClusterOptions::default()).await;
    let mut watchers = tokio::task::JoinSet::new();
    cluster.instances[1].pause();
    cluster.write_list(PLANS_KEY, &plans(9)).await;
    let revision = stored_revision(&cluster).await;
    let others = || async {
        plans_revision(&cluster, 0).await == revision
            && plans_revision(&cluster, 2).await == revision
    };
    common::wait_until("revision at the others", others).await;
    cluster.store.set_faults(store_down()).await;

    cluster.instances.remove(0).kill();
    for instance in &cluster.instances {
        watchers.spawn(assert_revision_never_falls(instance.callers));
    }
    cluster.add_instance("almaty-1");
    watchers.spawn(assert_revision_never_falls(cluster.instances[2].callers));
    cluster.instances[0].resume();
    assert_propagates(&cluster, revision).await;
    cluster
        .store
        .set_faults(standin::StoreFaults::default())
        .await;
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    assert!(all_have_revision(&cluster, revision).await);
    watchers.abort_all();
    while let Some(watch) = watchers.join_next().await {
        assert!(
            watch.is_err_and(|error| error.is_cancelled()),
            "a revision fell"
        );
    }
}
