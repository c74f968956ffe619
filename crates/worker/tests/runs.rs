//! Starts, stops, checkpoints and results of runs, with and without faults of the worker.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use model::StartVerdict;
use worker::WorkerApi as _;

/// Starts a run, waits for its result and returns all unacknowledged results.
async fn run_to_completion(
    fixture: &common::Fixture,
    holder: &common::LeaseHolder,
    run: model::StartRun,
) -> Vec<model::FinishedRun> {
    let id = run.run;
    assert_eq!(fixture.start_one(holder, run).await, StartVerdict::Started);
    loop {
        let finished = fixture.renew(holder, Vec::new(), 10).await.finished;
        if finished.iter().any(|finished| finished.run == id) {
            return finished;
        }
    }
}

#[tokio::test]
async fn a_start_whose_reply_was_lost_can_be_repeated() {
    let fixture = common::Fixture::start().await;
    let a = fixture.claim("a").await;
    let faults = standin::WorkerFaults {
        lose_start_replies: 1,
        ..Default::default()
    };
    fixture.server.set_faults(faults).await;
    let run = common::endless_run(1);
    let request = a.start_request(run.clone());
    let error = fixture
        .client
        .start(&fixture.address, &request, common::LONG_TIMEOUT)
        .await
        .unwrap_err();
    assert_eq!(error.kind(), worker::ErrorKind::Unanswered);
    assert!(!error.had_no_effect());
    assert_eq!(fixture.start_one(&a, run).await, StartVerdict::Started);
    assert_eq!(fixture.server.executions().len(), 1);
    assert_eq!(fixture.server.counts().started_again, 1);
    fixture.server.shutdown().await;
}

#[tokio::test]
async fn a_tombstone_forbids_a_start_that_arrives_later() {
    let fixture = common::Fixture::start().await;
    let a = fixture.claim("a").await;
    let faults = standin::WorkerFaults {
        delay_start_ms: 1500,
        ..Default::default()
    };
    fixture.server.set_faults(faults).await;
    let run = common::batch_run(1, "{}");
    let request = a.start_request(run.clone());
    let error = fixture
        .client
        .start(&fixture.address, &request, common::SHORT_TIMEOUT)
        .await
        .unwrap_err();
    assert_eq!(error.kind(), worker::ErrorKind::Unanswered);

    assert_eq!(
        fixture.stop(&a, run.run).await,
        model::StopReply::NeverStarted
    );
    assert_eq!(
        fixture.stop(&a, run.run).await,
        model::StopReply::NeverStarted
    );
    common::wait_until(|| fixture.server.counts().refused_tombstoned == 1).await;
    fixture
        .server
        .set_faults(standin::WorkerFaults::default())
        .await;
    assert_eq!(
        fixture.start_one(&a, run.clone()).await,
        StartVerdict::Tombstoned
    );
    assert!(fixture.server.executions().is_empty());

    let mut next = run;
    next.run.attempt = 2;
    assert_eq!(fixture.start_one(&a, next).await, StartVerdict::Started);
    fixture.server.shutdown().await;
}

#[tokio::test]
async fn a_result_is_resent_until_acknowledged_and_retained_afterwards() {
    let fixture = common::Fixture::start().await;
    let a = fixture.claim("a").await;
    let body = r#"{"run_ms":1,"output_bytes":200}"#;
    let run = common::batch_run(1, body);
    let finished = run_to_completion(&fixture, &a, run.clone()).await;
    assert_eq!(finished.len(), 1);
    assert!(finished[0].succeeded && finished[0].is_intact() && finished[0].task.is_none());
    assert_eq!(
        finished[0].output,
        standin::expected_output("badge-form", body)
    );
    assert_eq!(finished[0].output_bytes, 200);

    assert_eq!(fixture.renew(&a, Vec::new(), 0).await.finished, finished);
    let claimed = common::Grant::from_reply(fixture.lease(&common::claim_request("a")).await);
    assert_eq!(
        claimed.finished[0].task.as_ref(),
        Some(&run.task),
        "the reply to a claim includes the task"
    );

    let a = fixture.claim("a").await;
    assert!(
        fixture
            .renew(&a, vec![run.run], 0)
            .await
            .finished
            .is_empty()
    );
    let model::StopReply::Finished(known) = fixture.stop(&a, run.run).await else {
        panic!("the acknowledged result was not retained");
    };
    assert!(known.is_intact());
    assert_eq!(fixture.start_one(&a, run).await, StartVerdict::Started);
    assert_eq!(fixture.server.executions().len(), 1);
    fixture.server.shutdown().await;
}

#[tokio::test]
async fn a_long_polling_renewal_returns_when_a_run_finishes() {
    let fixture = common::Fixture::start().await;
    let a = fixture.claim("a").await;
    fixture
        .start_one(&a, common::batch_run(1, r#"{"run_ms":100}"#))
        .await;
    // `wait_ms` exceeds the call timeout, so the call succeeds only if the reply is sent early.
    let renewed = fixture.renew(&a, Vec::new(), common::LONG_MS).await;
    assert_eq!(renewed.finished.len(), 1);
    fixture.server.shutdown().await;
}

#[tokio::test]
async fn runs_beyond_the_capacity_are_refused() {
    let fixture = common::Fixture::start_with(common::capacity(3)).await;
    let a = fixture.claim("a").await;
    let mut large = common::endless_run(1);
    large.reserved.memory_mb = 7900;
    assert_eq!(
        fixture.start_one(&a, large.clone()).await,
        StartVerdict::Started
    );
    assert_eq!(
        fixture.start_one(&a, common::endless_run(2)).await,
        StartVerdict::Started
    );
    assert_eq!(
        fixture.start_one(&a, common::endless_run(3)).await,
        StartVerdict::Full,
        "memory"
    );
    assert_eq!(fixture.stop(&a, large.run).await, model::StopReply::Stopped);
    assert_eq!(
        fixture.start_one(&a, common::endless_run(4)).await,
        StartVerdict::Started
    );
    assert_eq!(
        fixture.start_one(&a, common::endless_run(5)).await,
        StartVerdict::Started
    );
    assert_eq!(
        fixture.start_one(&a, common::endless_run(6)).await,
        StartVerdict::Full,
        "slots"
    );
    let mut huge = common::endless_run(7);
    huge.reserved.memory_mb = u32::MAX;
    assert_eq!(
        fixture.start_one(&a, huge).await,
        StartVerdict::Full,
        "sums do not overflow"
    );
    let counts = fixture.server.counts();
    assert_eq!((counts.overcommits, counts.refused_full), (0, 3));
    fixture.server.shutdown().await;
}

#[tokio::test]
async fn memory_use_beyond_the_reservation_is_reported_as_usage() {
    let fixture = common::Fixture::start().await;
    let a = fixture.claim("a").await;
    let greedy = common::batch_run(1, r#"{"run_ms":60000,"use_memory_mb":9000}"#);
    fixture.start_one(&a, greedy.clone()).await;
    let usage = fixture.renew(&a, Vec::new(), 0).await.usage;
    assert_eq!((usage[0].run, usage[0].used.memory_mb), (greedy.run, 9000));
    assert_eq!(fixture.server.counts().memory_overruns, 1);
    fixture.server.shutdown().await;
}

#[tokio::test]
async fn a_checkpoint_ends_the_attempt_and_the_next_resumes_from_it() {
    let fixture = common::Fixture::start().await;
    let a = fixture.claim("a").await;
    let run = common::batch_run(1, r#"{"run_ms":600000}"#);
    fixture.start_one(&a, run.clone()).await;
    let reply = fixture
        .client
        .checkpoint(
            &fixture.address,
            &a.stop_request(run.run),
            common::LONG_TIMEOUT,
        )
        .await;
    let model::StopReply::Finished(saved) = reply.unwrap() else {
        panic!("no checkpoint was saved");
    };
    assert!(!saved.succeeded && saved.checkpoint.is_some());
    assert_eq!(
        fixture.server.executions()[0].end,
        Some(standin::ExecutionEnd::Checkpointed)
    );

    let mut next = run;
    next.run.attempt = 2;
    next.checkpoint = Some(r#"{"done_ms":600000}"#.to_owned());
    let finished = run_to_completion(&fixture, &a, next.clone()).await;
    let last = finished
        .iter()
        .find(|finished| finished.run == next.run)
        .unwrap();
    assert!(last.succeeded && last.is_intact());
    let summary = standin::ExecutionSummary::of(&fixture.server.executions());
    assert_eq!((summary.executions, summary.members), (2, 1));
    assert!(summary.never_overlapped());
    fixture.server.shutdown().await;
}

#[tokio::test]
async fn damaged_results_are_not_intact_and_duplicates_are_delivered() {
    let fixture = common::Fixture::start().await;
    let a = fixture.claim("a").await;
    let damaging_faults = [
        standin::WorkerFaults {
            cut_answers: true,
            ..Default::default()
        },
        standin::WorkerFaults {
            crossed_answers: true,
            ..Default::default()
        },
    ];
    for (number, faults) in (1..).zip(damaging_faults) {
        fixture.server.set_faults(faults).await;
        let finished = run_to_completion(&fixture, &a, common::batch_run(number, "{}")).await;
        assert!(
            finished.iter().all(|finished| !finished.is_intact()),
            "{faults:?}"
        );
    }
    let faults = standin::WorkerFaults {
        doubled_answers: true,
        ..Default::default()
    };
    fixture.server.set_faults(faults).await;
    let finished = run_to_completion(&fixture, &a, common::batch_run(9, "{}")).await;
    let copies = finished
        .iter()
        .filter(|finished| finished.run == common::batch_run(9, "").run);
    assert_eq!(copies.count(), 2);
    fixture.server.shutdown().await;
}

#[tokio::test]
async fn failures_of_the_worker_and_of_the_task_are_distinguished() {
    let fixture = common::Fixture::start().await;
    let a = fixture.claim("a").await;
    let failed = run_to_completion(&fixture, &a, common::batch_run(1, r#"{"fail":true}"#)).await;
    assert_eq!(
        (failed[0].succeeded, failed[0].worker_fault),
        (false, false)
    );
    let faults = standin::WorkerFaults {
        fail_all: true,
        ..Default::default()
    };
    fixture.server.set_faults(faults).await;
    let failed = run_to_completion(&fixture, &a, common::batch_run(2, "{}")).await;
    assert_eq!((failed[1].succeeded, failed[1].worker_fault), (false, true));
    fixture.server.shutdown().await;
}
