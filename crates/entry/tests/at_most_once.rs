//! A task that is not repeatable runs at most once, and the answered outcome is true.

mod common;

use std::time;

use store::Store as _;

const RUN_MS: u64 = 1500;
const DEADLINE_MS: u64 = 8000;

fn submission_body(key: &str, deadline_ms: u64) -> String {
    format!(
        r#"{{"kind":"pack","repeatable":false,"key":"{key}","deadline_ms":{deadline_ms},"body":{{"run_ms":{RUN_MS}}}}}"#
    )
}

fn spawn_submit(
    cluster: &common::Cluster,
    index: usize,
    body: &str,
) -> tokio::task::JoinHandle<common::Answer> {
    let address = cluster.instances[index].callers;
    let body = body.to_owned();
    tokio::spawn(async move {
        common::request(address, "POST", "/v1/tasks", common::TOKEN, &body).await
    })
}

async fn set_store_reachability(cluster: &common::Cluster, reachability: standin::Reachability) {
    let faults = standin::StoreFaults {
        reachability,
        ..standin::StoreFaults::default()
    };
    cluster.store.set_faults(faults).await;
}

/// Returns the index of the instance that owns the key's partition by the partition table.
async fn owner_of(cluster: &common::Cluster, key: &str) -> usize {
    let client = store::Etcd::builder()
        .addresses([cluster.store.address().to_string()])
        .build();
    let entry = client.get("/ferry/table").await.expect("store read");
    let value = entry.expect("a partition table").value;
    let table: model::PartitionTable = serde_json::from_slice(&value).expect("table");
    let partition = model::partition_of(model::keyed_task_id("press", key));
    let owner_id = &table
        .tenure(partition)
        .expect("an owner of the partition")
        .instance_id;
    let instances = &cluster.instances;
    let owner = instances
        .iter()
        .position(|instance| owner_id.starts_with(&format!("{}#", instance.name)));
    owner.expect("the owner is an instance of the cluster")
}

async fn wait_for_start(cluster: &common::Cluster) -> standin::Execution {
    let any = || async { !cluster.fleet.executions().is_empty() };
    common::wait_until("start", any).await;
    cluster.fleet.executions().remove(0)
}

/// Asserts that an answer agrees with the recorded executions of the cluster's only task.
fn assert_matches_executions(cluster: &common::Cluster, answer: &common::Answer) {
    let executions = cluster.fleet.executions();
    assert!(executions.len() <= 1, "{executions:?}");
    match answer.text("outcome") {
        "done" => {
            let expected = standin::expected_output("pack", &format!(r#"{{"run_ms":{RUN_MS}}}"#));
            assert_eq!(answer.body["outputs"][0], expected.as_str());
            assert_eq!(executions[0].end, Some(standin::ExecutionEnd::Finished));
        }
        "not_run" => assert!(executions.is_empty(), "{answer:?} {executions:?}"),
        "unknown" => {}
        _ => panic!("neither done, not run nor unknown: {answer:?}"),
    }
}

/// Submits the same body to each instance in turn and checks each answer.
async fn submit_to_each_instance(cluster: &common::Cluster, body: &str) -> Vec<common::Answer> {
    let mut answers = Vec::new();
    for index in 0..cluster.instances.len() {
        let answer = cluster.submit(index, body).await;
        assert_matches_executions(cluster, &answer);
        answers.push(answer);
    }
    answers
}

#[tokio::test]
async fn owner_and_worker_die_together_after_the_start() {
    for owner_first in [true, false] {
        let mut cluster = common::Cluster::start(common::ClusterOptions::default()).await;
        let body = submission_body("entry-1", DEADLINE_MS);
        let owner = owner_of(&cluster, "entry-1").await;
        let answer = spawn_submit(&cluster, (owner + 1) % 3, &body);
        let execution = wait_for_start(&cluster).await;
        let worker = cluster.fleet.worker(&execution.worker_id).expect("worker");
        if owner_first {
            cluster.instances[owner].kill();
            worker.restart().await;
        } else {
            worker.restart().await;
            cluster.instances[owner].kill();
        }
        cluster.instances.remove(owner);
        let answer = answer.await.expect("caller");
        assert_eq!(answer.text("outcome"), "unknown", "{answer:?}");
        for answer in submit_to_each_instance(&cluster, &body).await {
            assert_eq!(answer.text("outcome"), "unknown", "{answer:?}");
        }
        assert_eq!(cluster.fleet.executions().len(), 1);
    }
}

#[tokio::test]
async fn a_run_outlives_its_owner_and_is_answered_by_the_next() {
    let mut cluster = common::Cluster::start(common::ClusterOptions::default()).await;
    let body = submission_body("entry-2", DEADLINE_MS);
    let owner = owner_of(&cluster, "entry-2").await;
    let at_owner = spawn_submit(&cluster, owner, &body);
    wait_for_start(&cluster).await;
    cluster.instances.remove(owner).kill();
    assert_eq!(at_owner.await.expect("caller").status, 0);
    for answer in submit_to_each_instance(&cluster, &body).await {
        assert!(answer.is_done(), "{answer:?}");
    }
}

#[tokio::test]
async fn replies_to_journal_writes_are_lost() {
    for lost in [1, 2, 3, u32::MAX] {
        let cluster = common::Cluster::start(common::ClusterOptions::default()).await;
        let faults = standin::StoreFaults {
            lose_replies: lost,
            ..standin::StoreFaults::default()
        };
        cluster.store.set_faults(faults).await;
        let body = submission_body("entry-3", DEADLINE_MS);
        let answers = [0, 1, 2].map(|index| spawn_submit(&cluster, index, &body));
        for answer in answers {
            assert_matches_executions(&cluster, &answer.await.expect("caller"));
        }
        set_store_reachability(&cluster, standin::Reachability::Up).await;
        submit_to_each_instance(&cluster, &body).await;
    }
}

#[tokio::test]
async fn the_store_is_unreachable_before_and_during_the_request() {
    let cluster = common::Cluster::start(common::ClusterOptions::default()).await;
    for reachability in [standin::Reachability::Down, standin::Reachability::Silent] {
        set_store_reachability(&cluster, reachability).await;
        let body = submission_body("entry-4", 1000);
        for answer in submit_to_each_instance(&cluster, &body).await {
            assert_eq!(answer.text("outcome"), "not_run", "{answer:?}");
        }
        assert!(cluster.fleet.executions().is_empty());
        set_store_reachability(&cluster, standin::Reachability::Up).await;
    }
    set_store_reachability(&cluster, standin::Reachability::Silent).await;
    let body = submission_body("entry-5", DEADLINE_MS);
    let answers = [0, 1, 2].map(|index| spawn_submit(&cluster, index, &body));
    tokio::time::sleep(time::Duration::from_millis(700)).await;
    set_store_reachability(&cluster, standin::Reachability::Up).await;
    for answer in answers {
        let answer = answer.await.expect("caller");
        assert!(answer.is_done(), "{answer:?}");
        assert_matches_executions(&cluster, &answer);
    }
}

#[tokio::test]
async fn the_store_is_unreachable_after_the_start_and_the_owner_dies() {
    let mut cluster = common::Cluster::start(common::ClusterOptions::default()).await;
    let body = submission_body("entry-6", 4000);
    let owner = owner_of(&cluster, "entry-6").await;
    let answer = spawn_submit(&cluster, (owner + 1) % 3, &body);
    wait_for_start(&cluster).await;
    set_store_reachability(&cluster, standin::Reachability::Down).await;
    let answer = answer.await.expect("caller");
    assert!(answer.is_done(), "{answer:?}");
    for answer in submit_to_each_instance(&cluster, &body).await {
        assert!(answer.is_done(), "{answer:?}");
    }
    cluster.instances.remove(owner).kill();
    submit_to_each_instance(&cluster, &body).await;
    set_store_reachability(&cluster, standin::Reachability::Up).await;
    submit_to_each_instance(&cluster, &body).await;
}
