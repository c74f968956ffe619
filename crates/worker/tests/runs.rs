//! What becomes of runs, with and without faults of the worker.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use model::StartVerdict;
use worker::WorkerApi as _;

/// Starts a run and waits for its result.
async fn result_of(
    bench: &common::Bench,
    holder: &common::Holder,
    run: model::StartRun,
) -> Vec<model::FinishedRun> {
    let id = run.run;
    assert_eq!(bench.start_one(holder, run).await, StartVerdict::Started);
    loop {
        let finished = bench.renew(holder, Vec::new(), 10).await.finished;
        if finished.iter().any(|finished| finished.run == id) {
            return finished;
        }
    }
}

#[tokio::test]
async fn a_start_whose_reply_was_lost_can_be_repeated() {
    let bench = common::Bench::start().await;
    let a = bench.claim("a").await;
    let faults = standin::WorkerFaults {
        lose_start_replies: 1,
        ..Default::default()
    };
    bench.server.set_faults(faults).await;
    let run = common::endless(1);
    let request = a.start(run.clone());
    let lost = bench
        .client
        .start(&bench.address, &request, common::PATIENT)
        .await
        .unwrap_err();
    assert_eq!(lost.kind(), worker::ErrorKind::Unanswered);
    assert!(!lost.had_no_effect());
    assert_eq!(bench.start_one(&a, run).await, StartVerdict::Started);
    assert_eq!(bench.server.executions().len(), 1);
    assert_eq!(bench.server.counts().started_again, 1);
    bench.server.shutdown().await;
}

#[tokio::test]
async fn a_tombstone_forbids_a_start_that_arrives_later() {
    let bench = common::Bench::start().await;
    let a = bench.claim("a").await;
    let faults = standin::WorkerFaults {
        delay_start_ms: 1500,
        ..Default::default()
    };
    bench.server.set_faults(faults).await;
    let run = common::run(1, "{}");
    let request = a.start(run.clone());
    let lost = bench
        .client
        .start(&bench.address, &request, common::SHORT)
        .await
        .unwrap_err();
    assert_eq!(lost.kind(), worker::ErrorKind::Unanswered);

    assert_eq!(
        bench.stop(&a, run.run).await,
        model::StopReply::NeverStarted
    );
    assert_eq!(
        bench.stop(&a, run.run).await,
        model::StopReply::NeverStarted
    );
    common::until(|| bench.server.counts().refused_tombstoned == 1).await;
    bench
        .server
        .set_faults(standin::WorkerFaults::default())
        .await;
    assert_eq!(
        bench.start_one(&a, run.clone()).await,
        StartVerdict::Tombstoned
    );
    assert!(bench.server.executions().is_empty());

    let mut next = run;
    next.run.attempt = 2;
    assert_eq!(bench.start_one(&a, next).await, StartVerdict::Started);
    bench.server.shutdown().await;
}

#[tokio::test]
async fn a_result_comes_until_it_is_acknowledged_and_is_known_after() {
    let bench = common::Bench::start().await;
    let a = bench.claim("a").await;
    let body = r#"{"run_ms":1,"output_bytes":200}"#;
    let run = common::run(1, body);
    let finished = result_of(&bench, &a, run.clone()).await;
    assert_eq!(finished.len(), 1);
    assert!(finished[0].succeeded && finished[0].is_intact() && finished[0].task.is_none());
    assert_eq!(
        finished[0].output,
        standin::expected_output("badge-form", body)
    );
    assert_eq!(finished[0].output_bytes, 200);

    assert_eq!(bench.renew(&a, Vec::new(), 0).await.finished, finished);
    let claimed = common::Granted::of(bench.lease(&common::claim("a")).await);
    assert_eq!(
        claimed.finished[0].task.as_ref(),
        Some(&run.task),
        "a claim gets the task too"
    );

    let a = bench.claim("a").await;
    assert!(bench.renew(&a, vec![run.run], 0).await.finished.is_empty());
    let model::StopReply::Finished(known) = bench.stop(&a, run.run).await else {
        panic!("the result is forgotten");
    };
    assert!(known.is_intact());
    assert_eq!(bench.start_one(&a, run).await, StartVerdict::Started);
    assert_eq!(bench.server.executions().len(), 1);
    bench.server.shutdown().await;
}

#[tokio::test]
async fn a_waiting_renewal_is_answered_when_a_run_finishes() {
    let bench = common::Bench::start().await;
    let a = bench.claim("a").await;
    bench
        .start_one(&a, common::run(1, r#"{"run_ms":100}"#))
        .await;
    // The wait is longer than the call may take, so only the early answer lets it succeed.
    let renewed = bench.renew(&a, Vec::new(), common::LONG_MS).await;
    assert_eq!(renewed.finished.len(), 1);
    bench.server.shutdown().await;
}

#[tokio::test]
async fn no_more_is_started_than_there_is_room_for() {
    let bench = common::Bench::start_with(common::capacity(3)).await;
    let a = bench.claim("a").await;
    let mut large = common::endless(1);
    large.reserved.memory_mb = 7900;
    assert_eq!(
        bench.start_one(&a, large.clone()).await,
        StartVerdict::Started
    );
    assert_eq!(
        bench.start_one(&a, common::endless(2)).await,
        StartVerdict::Started
    );
    assert_eq!(
        bench.start_one(&a, common::endless(3)).await,
        StartVerdict::Full,
        "memory"
    );
    assert_eq!(bench.stop(&a, large.run).await, model::StopReply::Stopped);
    assert_eq!(
        bench.start_one(&a, common::endless(4)).await,
        StartVerdict::Started
    );
    assert_eq!(
        bench.start_one(&a, common::endless(5)).await,
        StartVerdict::Started
    );
    assert_eq!(
        bench.start_one(&a, common::endless(6)).await,
        StartVerdict::Full,
        "slots"
    );
    let mut huge = common::endless(7);
    huge.reserved.memory_mb = u32::MAX;
    assert_eq!(
        bench.start_one(&a, huge).await,
        StartVerdict::Full,
        "sums do not overflow"
    );
    let counts = bench.server.counts();
    assert_eq!((counts.overcommits, counts.refused_full), (0, 3));
    bench.server.shutdown().await;
}

#[tokio::test]
async fn untrue_sizes_show_in_usage_and_peak() {
    let bench = common::Bench::start().await;
    let a = bench.claim("a").await;
    let greedy = common::run(1, r#"{"run_ms":60000,"use_memory_mb":9000}"#);
    bench.start_one(&a, greedy.clone()).await;
    let usage = bench.renew(&a, Vec::new(), 0).await.usage;
    assert_eq!((usage[0].run, usage[0].used.memory_mb), (greedy.run, 9000));
    assert_eq!(bench.server.counts().memory_overruns, 1);
    bench.server.shutdown().await;
}

#[tokio::test]
async fn a_checkpoint_ends_the_attempt_and_the_next_goes_on_from_it() {
    let bench = common::Bench::start().await;
    let a = bench.claim("a").await;
    let run = common::run(1, r#"{"run_ms":600000}"#);
    bench.start_one(&a, run.clone()).await;
    let reply = bench
        .client
        .checkpoint(&bench.address, &a.stop(run.run), common::PATIENT)
        .await;
    let model::StopReply::Finished(saved) = reply.unwrap() else {
        panic!("nothing was saved");
    };
    assert!(!saved.succeeded && saved.checkpoint.is_some());
    assert_eq!(
        bench.server.executions()[0].end,
        Some(standin::ExecutionEnd::Checkpointed)
    );

    let mut next = run;
    next.run.attempt = 2;
    next.checkpoint = Some(r#"{"done_ms":600000}"#.to_owned());
    let finished = result_of(&bench, &a, next.clone()).await;
    let last = finished
        .iter()
        .find(|finished| finished.run == next.run)
        .unwrap();
    assert!(last.succeeded && last.is_intact());
    let summary = standin::ExecutionSummary::of(&bench.server.executions());
    assert_eq!((summary.executions, summary.members), (2, 1));
    assert!(summary.never_overlapped());
    bench.server.shutdown().await;
}

#[tokio::test]
async fn damaged_answers_are_not_whole() {
    let bench = common::Bench::start().await;
    let a = bench.claim("a").await;
    let damages = [
        standin::WorkerFaults {
            cut_answers: true,
            ..Default::default()
        },
        standin::WorkerFaults {
            crossed_answers: true,
            ..Default::default()
        },
    ];
    for (number, faults) in (1..).zip(damages) {
        bench.server.set_faults(faults).await;
        let finished = result_of(&bench, &a, common::run(number, "{}")).await;
        assert!(
            finished.iter().all(|finished| !finished.is_intact()),
            "{faults:?}"
        );
    }
    let faults = standin::WorkerFaults {
        doubled_answers: true,
        ..Default::default()
    };
    bench.server.set_faults(faults).await;
    let finished = result_of(&bench, &a, common::run(9, "{}")).await;
    let copies = finished
        .iter()
        .filter(|finished| finished.run == common::run(9, "").run);
    assert_eq!(copies.count(), 2);
    bench.server.shutdown().await;
}

#[tokio::test]
async fn failures_of_the_worker_and_of_the_work_are_told_apart() {
    let bench = common::Bench::start().await;
    let a = bench.claim("a").await;
    let failed = result_of(&bench, &a, common::run(1, r#"{"fail":true}"#)).await;
    assert_eq!(
        (failed[0].succeeded, failed[0].worker_fault),
        (false, false)
    );
    let faults = standin::WorkerFaults {
        fail_all: true,
        ..Default::default()
    };
    bench.server.set_faults(faults).await;
    let failed = result_of(&bench, &a, common::run(2, "{}")).await;
    assert_eq!((failed[1].succeeded, failed[1].worker_fault), (false, true));
    bench.server.shutdown().await;
}
