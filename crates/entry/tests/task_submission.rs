//! Submissions from end to end: callers, instances as processes, and workers.

mod common;

const BADGE_FORM: &str =
    r#"{"kind":"badge-form","processors_milli":500,"memory_mb":256,"body":{"run_ms":20}}"#;

#[tokio::test]
async fn every_instance_serves_a_task() {
    let cluster = common::Cluster::start(common::ClusterOptions::default()).await;
    for index in 0..3 {
        let answer = cluster.submit(index, BADGE_FORM).await;
        assert!(answer.is_done(), "{answer:?}");
        let expected = standin::expected_output("badge-form", r#"{"run_ms":20}"#);
        assert_eq!(answer.body["outputs"][0], expected.as_str());
    }
}

#[tokio::test]
async fn a_keyed_task_submitted_to_every_instance_runs_once() {
    let cluster = common::Cluster::start(common::ClusterOptions::default()).await;
    let body = r#"{"kind":"registration","repeatable":false,"key":"club-7","body":{"run_ms":50}}"#;
    let (first, second, third) = tokio::join!(
        cluster.submit(0, body),
        cluster.submit(1, body),
        cluster.submit(2, body)
    );
    for answer in [first, second, third] {
        assert!(answer.is_done(), "{answer:?}");
    }
    assert_eq!(cluster.fleet.executions().len(), 1);
}

#[tokio::test]
async fn a_key_with_another_body_is_refused() {
    let cluster = common::Cluster::start(common::ClusterOptions::default()).await;
    let body = |form: u32| {
        format!(r#"{{"kind":"registration","key":"club-8","body":{{"run_ms":5,"form":{form}}}}}"#)
    };
    let first = cluster.submit(0, &body(1)).await;
    let second = cluster.submit(1, &body(2)).await;
    assert!(first.is_done(), "{first:?}");
    assert_eq!((second.status, second.text("error")), (422, "key_conflict"));
}
