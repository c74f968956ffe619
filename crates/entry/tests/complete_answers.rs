//! Each caller gets the complete result of its own request.

mod common;

use serde_json::json;

fn submissions(count: u32, run_ms: u64) -> Vec<common::Submission> {
    let submission = |number| {
        let work = json!({"run_ms": run_ms, "output_bytes": 3000, "number": number});
        common::Submission::new("badge-form", &work, &json!({}))
    };
    (0..count).map(submission).collect()
}

/// Asserts that each result is that of its own submission; returns the number of results.
fn assert_own_output(answers: &common::Answers) -> usize {
    let done = answers.iter().filter(|(_, answer)| answer.is_done());
    let checked = done.map(|(submission, answer)| {
        assert_eq!(answer.body["outputs"], json!([submission.expected_output]));
    });
    checked.count()
}

async fn answers_with_faults(faults: standin::WorkerFaults) -> (common::Cluster, common::Answers) {
    let options = common::ClusterOptions {
        workers: 3,
        ..common::ClusterOptions::default()
    };
    let cluster = common::Cluster::start(options).await;
    cluster.fleet.workers()[0].set_faults(faults).await;
    let answers = common::Burst::start(&cluster.callers(), submissions(60, 10))
        .answers()
        .await;
    (cluster, answers)
}

#[tokio::test]
async fn answers_that_are_cut_short() {
    let faults = standin::WorkerFaults {
        cut_answers: true,
        ..standin::WorkerFaults::default()
    };
    let (cluster, answers) = answers_with_faults(faults).await;
    assert!(cluster.fleet.workers()[0].counts().finished > 0);
    assert!(assert_own_output(&answers) > 0);
}

#[tokio::test]
async fn answers_that_are_crossed_with_others() {
    let faults = standin::WorkerFaults {
        crossed_answers: true,
        ..standin::WorkerFaults::default()
    };
    let (cluster, answers) = answers_with_faults(faults).await;
    assert!(cluster.fleet.workers()[0].counts().finished > 0);
    assert!(assert_own_output(&answers) > 0);
}

#[tokio::test]
async fn answers_that_are_delivered_twice() {
    let faults = standin::WorkerFaults {
        doubled_answers: true,
        ..standin::WorkerFaults::default()
    };
    let (cluster, answers) = answers_with_faults(faults).await;
    assert_eq!(assert_own_output(&answers), answers.len(), "{answers:?}");
    assert_eq!(cluster.fleet.summary().repeated, []);
}

#[tokio::test]
async fn the_owner_dies_while_callers_wait_elsewhere() {
    let mut cluster = common::Cluster::start(common::ClusterOptions::default()).await;
    let keyed = |number: u32| {
        let work = json!({"run_ms": 300, "number": number});
        let fields = json!({"key": format!("stand-{number}")});
        common::Submission::new("badge-form", &work, &fields)
    };
    let callers = cluster.callers();
    let burst = common::Burst::start(&callers[..2], (0..20).map(keyed).collect());
    common::wait_until("starts", || async { cluster.fleet.counts().started > 0 }).await;
    cluster.instances[2].kill();
    let answers = burst.answers().await;
    assert!(assert_own_output(&answers) > 0);
    assert!(answers.iter().all(|(_, answer)| answer.status != 0));
    assert!(cluster.fleet.summary().never_overlapped());
}
