//! No worker is given more than its capacity.
//!
//! Workers check their own capacity, so a start rejected as `Full` already shows that a holder has
//! miscounted.

mod common;

use std::sync::atomic;
use std::time;

use serde_json::json;

static SUBMISSIONS: atomic::AtomicU32 = atomic::AtomicU32::new(0);

/// Submissions that each need a quarter of a worker.
fn submissions(count: usize, run_ms: u64) -> Vec<common::Submission> {
    let submission = |_| {
        let number = SUBMISSIONS.fetch_add(1, atomic::Ordering::Relaxed);
        let work = json!({"run_ms": run_ms, "number": number});
        common::Submission::new("booklet", &work, &json!({}))
    };
    (0..count).map(submission).collect()
}

fn options(instances: usize, workers: usize) -> common::ClusterOptions {
    common::ClusterOptions {
        instances,
        workers,
        ..common::ClusterOptions::default()
    }
}

fn assert_never_overcommitted(cluster: &common::Cluster) {
    let counts = cluster.fleet.counts();
    assert_eq!(
        (counts.overcommits, counts.refused_full),
        (0, 0),
        "{counts:?}"
    );
    assert_eq!(counts.memory_overruns, 0, "{counts:?}");
    assert!(cluster.fleet.summary().never_overlapped());
}

#[tokio::test]
async fn instances_that_claim_one_worker_and_a_holder_that_was_paused() {
    let cluster = common::Cluster::start(options(3, 1)).await;
    let first = cluster.wait_for_holder(&[0, 1, 2]).await;
    let others: Vec<usize> = (0..3).filter(|index| *index != first).collect();
    let burst = common::Burst::start(&cluster.callers(), submissions(30, 60));
    common::wait_until("the first starts", || async {
        cluster.fleet.counts().started > 4
    })
    .await;
    cluster.instances[first].pause();
    cluster.wait_for_holder(&others).await;
    let started = cluster.fleet.counts().started;
    let addresses = others.iter().map(|index| cluster.instances[*index].callers);
    let more = common::Burst::start(&addresses.collect::<Vec<_>>(), submissions(20, 60));
    common::wait_until("starts of the next holder", || async {
        cluster.fleet.counts().started > started
    })
    .await;
    cluster.instances[first].resume();
    let mut answers = burst.answers().await;
    answers.extend(more.answers().await);
    assert_never_overcommitted(&cluster);
    let done = answers.iter().filter(|(_, answer)| answer.is_done());
    assert!(done.count() > 30, "{answers:?}");
}

#[tokio::test]
async fn a_worker_that_restarts_and_start_replies_that_are_lost() {
    let cluster = common::Cluster::start(options(2, 2)).await;
    let burst = common::Burst::start(&cluster.callers(), submissions(60, 60));
    common::wait_until("the first starts", || async {
        cluster.fleet.counts().started > 4
    })
    .await;
    let lost = standin::WorkerFaults {
        lose_start_replies: 3,
        ..standin::WorkerFaults::default()
    };
    cluster.fleet.set_faults(lost).await;
    let started = cluster.fleet.counts().started;
    common::wait_until("more starts", || async {
        cluster.fleet.counts().started > started + 8
    })
    .await;
    cluster.fleet.workers()[0].restart().await;
    let answers = burst.answers().await;
    assert_never_overcommitted(&cluster);
    for (submission, answer) in answers {
        assert!(answer.is_done(), "{answer:?}");
        assert_eq!(
            answer.body["outputs"][0],
            submission.expected_output.as_str()
        );
    }
}

#[tokio::test]
async fn tasks_that_use_more_memory_than_they_declared() {
    let cluster = common::Cluster::start(options(2, 1)).await;
    let greedy = |number: u32| {
        let work = json!({"run_ms": 800, "use_memory_mb": 3000, "number": number});
        common::Submission::new("results", &work, &json!({"memory_mb": 2048}))
    };
    let callers = cluster.callers();
    let first = common::Burst::start(&callers, (0..2).map(greedy).collect());
    first.answers().await;
    // The peak memory of this kind is now known: four at once would use 12,000 MB of 8,192 MB.
    let burst = common::Burst::start(&callers, (2..10).map(greedy).collect());
    let answers = burst.answers().await;
    assert_never_overcommitted(&cluster);
    for (_, answer) in answers {
        assert!(answer.is_done(), "{answer:?}");
    }
}

#[tokio::test]
async fn a_holder_that_pauses_again_and_again_under_load() {
    let cluster = common::Cluster::start(options(2, 2)).await;
    let burst = common::Burst::start(&cluster.callers(), submissions(80, 80));
    for round in 0..3 {
        let index = round % 2;
        cluster.instances[index].pause();
        let other = 1 - index;
        common::wait_until("the other to hold every worker", || async {
            cluster.status_number(other, "workers_held").await == 2
        })
        .await;
        cluster.instances[index].resume();
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    burst.answers().await;
    assert_never_overcommitted(&cluster);
}
