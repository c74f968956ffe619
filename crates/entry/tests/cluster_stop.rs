//! All instances of a cluster stop at once: each answers its requests and exits, although no other
//! instance can take over its partitions and workers.

mod common;

#[tokio::test]
async fn instances_that_all_stop_at_once_answer_and_exit() {
    let mut cluster = common::Cluster::start(common::ClusterOptions::default()).await;
    let body = r#"{"kind":"exhibitor-pack","body":{"run_ms":800}}"#;
    let address = cluster.instances[0].callers;
    let waiting = tokio::spawn(common::request(
        address,
        "POST",
        "/v1/tasks",
        common::TOKEN,
        body,
    ));
    common::wait_until("a start", || async {
        !cluster.fleet.executions().is_empty()
    })
    .await;
    for instance in &cluster.instances {
        instance.terminate();
    }
    let answer = waiting.await.expect("request ends");
    assert!(answer.is_done(), "{answer:?}");
    let instances = std::sync::Mutex::new(&mut cluster.instances);
    common::wait_until("the end of every process", || async {
        let mut instances = instances.lock().expect("not poisoned");
        instances
            .iter_mut()
            .all(common::InstanceProcess::has_exited)
    })
    .await;
}
