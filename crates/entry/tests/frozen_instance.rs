//! Requests that wait in the socket of an instance that stands still.

mod common;

use std::time;

const TASK: &str = r#"{"kind":"manual","class":"batch","processors_milli":100,
    "memory_mb":64,"deadline_ms":60000,"body":{"run_ms":50}}"#;
/// Longer than the longest stall after which requests are still handled.
const FREEZE: time::Duration = time::Duration::from_millis(1_500);

/// Guards against a task that runs, and an instance that drains, long after the sender has given up.
#[tokio::test]
async fn submissions_and_drains_that_waited_in_a_frozen_instance_are_refused() {
    let options = common::ClusterOptions {
        instances: 1,
        workers: 1,
        ..common::ClusterOptions::default()
    };
    let cluster = common::Cluster::start(options).await;
    let callers = cluster.instances[0].callers;
    cluster.instances[0].pause();
    let submission = tokio::spawn(common::request(
        callers,
        "POST",
        "/v1/tasks",
        common::TOKEN,
        TASK,
    ));
    let drain = tokio::spawn(common::request(
        callers,
        "POST",
        "/v1/operator/drain",
        common::SECRET,
        "",
    ));
    tokio::time::sleep(FREEZE).await;
    cluster.instances[0].resume();
    for answer in [submission.await.unwrap(), drain.await.unwrap()] {
        assert_eq!((answer.status, answer.text("error")), (503, "age_unknown"));
    }
    assert!(cluster.fleet.workers()[0].executions().is_empty());
    // The instance has not begun to drain.
    let is_served = || async { cluster.submit(0, TASK).await.is_done() };
    common::wait_until("tasks are served again", is_served).await;
}
