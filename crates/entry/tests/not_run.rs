//! A task answered as `not_run` has not run and does not run later.

mod common;

use std::time;

use serde_json::json;

fn submissions(count: u32, deadline_ms: u64) -> Vec<common::Submission> {
    let submission = |number| {
        let work = json!({"run_ms": 100, "number": number});
        let fields = json!({"deadline_ms": deadline_ms});
        common::Submission::new("start-list", &work, &fields)
    };
    (0..count).map(submission).collect()
}

/// Asserts that no task answered as `not_run` has an execution; returns the number of such tasks.
async fn assert_not_run(cluster: &common::Cluster, answers: &[common::Answer]) -> usize {
    // Starts that were in flight when the task was refused have arrived by then.
    tokio::time::sleep(time::Duration::from_millis(1500)).await;
    let executions = cluster.fleet.executions();
    let refused = answers.iter().filter(|a| a.text("outcome") == "not_run");
    let checked = refused.map(|answer| {
        let id = answer.text("task_id");
        let ran = executions.iter().any(|e| e.run.task_id.to_string() == id);
        assert!(!ran, "answered as not run, but has run: {answer:?}");
    });
    checked.count()
}

async fn start_cluster() -> common::Cluster {
    let options = common::ClusterOptions {
        workers: 2,
        ..common::ClusterOptions::default()
    };
    common::Cluster::start(options).await
}

fn answers_of(answers: common::Answers) -> Vec<common::Answer> {
    answers.into_iter().map(|(_, answer)| answer).collect()
}

#[tokio::test]
async fn starts_whose_replies_are_lost() {
    let cluster = start_cluster().await;
    let faults = standin::WorkerFaults {
        lose_start_replies: 6,
        ..standin::WorkerFaults::default()
    };
    cluster.fleet.set_faults(faults).await;
    let burst = common::Burst::start(&cluster.callers(), submissions(60, 400));
    let answers = answers_of(burst.answers().await);
    assert_not_run(&cluster, &answers).await;
    assert!(answers.iter().any(common::Answer::is_done));
}

#[tokio::test]
async fn starts_that_arrive_after_the_deadline() {
    let cluster = start_cluster().await;
    let faults = standin::WorkerFaults {
        delay_start_ms: 1200,
        ..standin::WorkerFaults::default()
    };
    cluster.fleet.set_faults(faults).await;
    let burst = common::Burst::start(&cluster.callers(), submissions(30, 300));
    let answers = answers_of(burst.answers().await);
    assert!(assert_not_run(&cluster, &answers).await > 0);
}

#[tokio::test]
async fn cancellations_that_race_with_starts() {
    let cluster = start_cluster().await;
    let faults = standin::WorkerFaults {
        delay_start_ms: 50,
        ..standin::WorkerFaults::default()
    };
    cluster.fleet.set_faults(faults).await;
    let mut cancels = tokio::task::JoinSet::new();
    for number in 0..30_usize {
        let work = json!({"run_ms": 200, "number": number});
        let submission = common::Submission::new("start-list", &work, &json!({"wait": false}));
        let accepted = cluster.submit(number % 3, &submission.body).await;
        let path = format!("/v1/tasks/{}", accepted.text("task_id"));
        let address = cluster.instances[(number + 1) % 3].callers;
        cancels.spawn(async move {
            tokio::time::sleep(time::Duration::from_millis(number as u64 * 5)).await;
            common::request(address, "DELETE", &path, common::TOKEN, "").await
        });
    }
    let answers = cancels.join_all().await;
    assert!(assert_not_run(&cluster, &answers).await > 0);
}

#[tokio::test]
async fn a_holder_killed_between_start_and_report() {
    let mut cluster = start_cluster().await;
    let holder = cluster.wait_for_holder(&[0, 1, 2]).await;
    let others: Vec<_> = (0..3).filter(|index| *index != holder).collect();
    let addresses: Vec<_> = others
        .iter()
        .map(|i| cluster.instances[*i].callers)
        .collect();
    let burst = common::Burst::start(&addresses, submissions(40, 1500));
    common::wait_until("starts", || async { cluster.fleet.counts().started > 0 }).await;
    cluster.instances[holder].kill();
    let answers = answers_of(burst.answers().await);
    assert_not_run(&cluster, &answers).await;
    assert!(answers.iter().any(common::Answer::is_done));
}
