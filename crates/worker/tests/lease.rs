//! Who may give orders to a worker.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use model::StartVerdict;
use worker::WorkerApi as _;

#[tokio::test]
async fn a_second_instance_learns_who_holds_the_lease() {
    let bench = common::Bench::start().await;
    bench.claim("a").await;
    let model::LeaseReply::Held {
        holder,
        holder_address,
        remaining_ms,
    } = bench.lease(&common::claim("b")).await
    else {
        panic!("the lease was granted twice");
    };
    assert_eq!((&*holder, &*holder_address), ("a", "a:1"));
    assert!(remaining_ms <= common::LONG_MS);
    bench.server.shutdown().await;
}

#[tokio::test]
async fn orders_of_an_older_epoch_are_refused() {
    let bench = common::Bench::start().await;
    let a = bench.claim("a").await;
    let running = common::endless(1);
    assert_eq!(
        bench.start_one(&a, running.clone()).await,
        StartVerdict::Started
    );
    bench
        .client
        .release(&bench.address, &a.release(), common::PATIENT)
        .await
        .unwrap();
    let b = bench.claim("b").await;
    assert!(b.epoch > a.epoch);

    assert_eq!(
        bench.start_one(&a, common::run(2, "{}")).await,
        StartVerdict::StaleEpoch
    );
    assert_eq!(
        bench.stop(&a, running.run).await,
        model::StopReply::StaleEpoch
    );
    let throttle = model::ThrottleRequest {
        instance_id: a.instance_id.clone(),
        epoch: a.epoch,
        run: running.run,
        percent: 50,
    };
    let refused = bench
        .client
        .throttle(&bench.address, &throttle, common::PATIENT)
        .await
        .unwrap_err();
    assert_eq!(refused.kind(), worker::ErrorKind::Refused);
    let checkpoint = a.stop(running.run);
    let refused = bench
        .client
        .checkpoint(&bench.address, &checkpoint, common::PATIENT)
        .await;
    assert_eq!(refused.unwrap(), model::StopReply::StaleEpoch);
    // A late release of the older epoch must not end the newer lease.
    bench
        .client
        .release(&bench.address, &a.release(), common::PATIENT)
        .await
        .unwrap();
    assert_eq!(
        bench.start_one(&b, common::run(3, "{}")).await,
        StartVerdict::Started
    );
    assert_eq!(bench.stop(&b, running.run).await, model::StopReply::Stopped);
    bench.server.shutdown().await;
}

#[tokio::test]
async fn another_instance_cannot_use_the_holders_epoch() {
    let bench = common::Bench::start().await;
    let a = bench.claim("a").await;
    let thief = common::Holder {
        instance_id: "b".into(),
        ..a
    };
    assert_eq!(
        bench.start_one(&thief, common::run(1, "{}")).await,
        StartVerdict::StaleEpoch
    );
    assert!(bench.server.executions().is_empty());
    bench.server.shutdown().await;
}

#[tokio::test]
async fn a_lapsed_lease_starts_nothing_and_cannot_be_renewed() {
    let bench = common::Bench::start().await;
    let short = model::LeaseRequest {
        ttl_ms: 1,
        ..common::claim("a")
    };
    let granted = match bench.lease(&short).await {
        model::LeaseReply::Granted {
            epoch, incarnation, ..
        } => (epoch, incarnation),
        model::LeaseReply::Lapsed => (1, 0),
        held @ model::LeaseReply::Held { .. } => panic!("nobody else claimed: {held:?}"),
    };
    tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    let renewal = model::LeaseRequest {
        epoch: Some(granted.0),
        ..common::claim("a")
    };
    assert_eq!(bench.lease(&renewal).await, model::LeaseReply::Lapsed);

    let fresh = bench.claim("a").await;
    assert!(
        fresh.epoch > granted.0,
        "the same holder gets a new epoch after a lapse"
    );
    let stale = common::Holder {
        epoch: granted.0,
        ..bench.claim("a").await
    };
    assert_eq!(
        bench.start_one(&stale, common::run(1, "{}")).await,
        StartVerdict::StaleEpoch
    );
    bench.server.shutdown().await;
}

#[tokio::test]
async fn a_start_after_the_lapse_is_refused_though_nobody_else_claimed() {
    let bench = common::Bench::start().await;
    let a = bench.claim("a").await;
    let last = model::LeaseRequest {
        epoch: Some(a.epoch),
        ttl_ms: 0,
        ..common::claim("a")
    };
    assert_eq!(bench.lease(&last).await, model::LeaseReply::Lapsed);
    assert_eq!(
        bench.start_one(&a, common::run(1, "{}")).await,
        StartVerdict::StaleEpoch
    );
    assert!(bench.server.executions().is_empty());
    bench.server.shutdown().await;
}

#[tokio::test]
async fn a_claim_by_the_holder_itself_raises_the_epoch_and_a_renewal_does_not() {
    let bench = common::Bench::start().await;
    let first = bench.claim("a").await;
    assert_eq!(bench.renew(&first, Vec::new(), 0).await.epoch, first.epoch);
    let second = bench.claim("a").await;
    assert!(second.epoch > first.epoch);
    assert_eq!(
        bench.start_one(&first, common::run(1, "{}")).await,
        StartVerdict::StaleEpoch
    );
    bench.server.shutdown().await;
}

#[tokio::test]
async fn the_next_holder_adopts_what_runs_within_the_grace_time() {
    let bench = common::Bench::start().await;
    let a = bench.claim("a").await;
    let started = common::endless(1);
    bench.start_one(&a, started.clone()).await;
    bench
        .client
        .release(&bench.address, &a.release(), common::PATIENT)
        .await
        .unwrap();
    let claimed = common::Granted::of(bench.lease(&common::claim("b")).await);
    assert_eq!(claimed.running.len(), 1);
    assert_eq!(claimed.running[0].run, started.run);
    assert_eq!(claimed.running[0].task, started.task);
    assert_eq!(claimed.running[0].reserved, started.reserved);
    bench.server.shutdown().await;
}

#[tokio::test]
async fn the_worker_stops_its_runs_after_the_grace_time() {
    let bench = common::Bench::start().await;
    let a = bench.claim("a").await;
    let started = common::endless(1);
    bench.start_one(&a, started.clone()).await;
    let last = model::LeaseRequest {
        epoch: Some(a.epoch),
        ttl_ms: 0,
        grace_ms: 1,
        ..common::claim("a")
    };
    bench.lease(&last).await;
    common::until(|| bench.server.counts().stopped_after_grace == 1).await;
    let execution = &bench.server.executions()[0];
    assert_eq!(execution.end, Some(standin::ExecutionEnd::Lapsed));

    let claimed = common::Granted::of(bench.lease(&common::claim("b")).await);
    assert!(claimed.running.is_empty() && claimed.finished.is_empty());
    let b = bench.claim("b").await;
    assert_eq!(bench.stop(&b, started.run).await, model::StopReply::Stopped);
    bench.start_one(&b, started).await;
    assert_eq!(
        bench.server.executions().len(),
        1,
        "a stopped run is never started again"
    );
    bench.server.shutdown().await;
}

#[tokio::test]
async fn a_restarted_worker_refuses_starts_meant_for_its_predecessor() {
    let bench = common::Bench::start().await;
    let old = bench.claim("a").await;
    bench.start_one(&old, common::endless(1)).await;
    bench.server.restart().await;
    assert_eq!(
        bench.server.executions()[0].end,
        Some(standin::ExecutionEnd::Crashed),
    );
    let new = bench.claim("a").await;
    assert!(new.epoch > old.epoch && new.incarnation != old.incarnation);
    let mixed = common::Holder {
        incarnation: old.incarnation,
        ..new
    };
    let verdict = bench.start_one(&mixed, common::run(2, "{}")).await;
    assert_eq!(verdict, StartVerdict::WrongIncarnation);
    assert_eq!(bench.server.executions().len(), 1);
    bench.server.shutdown().await;
}

#[tokio::test]
async fn a_leaving_worker_says_so_and_starts_nothing_new() {
    let bench = common::Bench::start().await;
    let a = bench.claim("a").await;
    let known = common::endless(1);
    bench.start_one(&a, known.clone()).await;
    bench.server.set_leaving(true);
    assert!(bench.renew(&a, Vec::new(), common::LONG_MS).await.leaving);
    assert_eq!(
        bench.start_one(&a, common::run(2, "{}")).await,
        StartVerdict::Leaving
    );
    assert_eq!(bench.start_one(&a, known).await, StartVerdict::Started);
    bench.server.shutdown().await;
}
