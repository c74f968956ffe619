//! Leases of a worker: which instance may start and stop runs on it.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use model::StartVerdict;
use worker::WorkerApi as _;

#[tokio::test]
async fn a_claim_by_a_second_instance_returns_the_lease_holder() {
    let fixture = common::Fixture::start().await;
    fixture.claim("a").await;
    let model::LeaseReply::Held {
        holder,
        holder_address,
        remaining_ms,
    } = fixture.lease(&common::claim_request("b")).await
    else {
        panic!("the lease was granted twice");
    };
    assert_eq!((&*holder, &*holder_address), ("a", "a:1"));
    assert!(remaining_ms <= common::LONG_MS);
    fixture.server.shutdown().await;
}

#[tokio::test]
async fn requests_with_an_older_epoch_are_refused() {
    let fixture = common::Fixture::start().await;
    let a = fixture.claim("a").await;
    let running = common::endless_run(1);
    assert_eq!(
        fixture.start_one(&a, running.clone()).await,
        StartVerdict::Started
    );
    fixture
        .client
        .release(&fixture.address, &a.release_request(), common::LONG_TIMEOUT)
        .await
        .unwrap();
    let b = fixture.claim("b").await;
    assert!(b.epoch > a.epoch);

    assert_eq!(
        fixture.start_one(&a, common::batch_run(2, "{}")).await,
        StartVerdict::StaleEpoch
    );
    assert_eq!(
        fixture.stop(&a, running.run).await,
        model::StopReply::StaleEpoch
    );
    let throttle = model::ThrottleRequest {
        instance_id: a.instance_id.clone(),
        epoch: a.epoch,
        run: running.run,
        percent: 50,
    };
    let refused = fixture
        .client
        .throttle(&fixture.address, &throttle, common::LONG_TIMEOUT)
        .await
        .unwrap_err();
    assert_eq!(refused.kind(), worker::ErrorKind::Refused);
    let checkpoint = a.stop_request(running.run);
    let refused = fixture
        .client
        .checkpoint(&fixture.address, &checkpoint, common::LONG_TIMEOUT)
        .await;
    assert_eq!(refused.unwrap(), model::StopReply::StaleEpoch);
    // A late release with the older epoch must not end the newer lease.
    fixture
        .client
        .release(&fixture.address, &a.release_request(), common::LONG_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(
        fixture.start_one(&b, common::batch_run(3, "{}")).await,
        StartVerdict::Started
    );
    assert_eq!(
        fixture.stop(&b, running.run).await,
        model::StopReply::Stopped
    );
    fixture.server.shutdown().await;
}

#[tokio::test]
async fn another_instance_cannot_use_the_holders_epoch() {
    let fixture = common::Fixture::start().await;
    let a = fixture.claim("a").await;
    let impostor = common::LeaseHolder {
        instance_id: "b".into(),
        ..a
    };
    assert_eq!(
        fixture
            .start_one(&impostor, common::batch_run(1, "{}"))
            .await,
        StartVerdict::StaleEpoch
    );
    assert!(fixture.server.executions().is_empty());
    fixture.server.shutdown().await;
}

#[tokio::test]
async fn a_lapsed_lease_starts_nothing_and_cannot_be_renewed() {
    let fixture = common::Fixture::start().await;
    let short = model::LeaseRequest {
        ttl_ms: 1,
        ..common::claim_request("a")
    };
    let granted = match fixture.lease(&short).await {
        model::LeaseReply::Granted {
            epoch, incarnation, ..
        } => (epoch, incarnation),
        model::LeaseReply::Lapsed => (1, 0),
        held @ model::LeaseReply::Held { .. } => {
            panic!("held although no other instance has claimed: {held:?}")
        }
    };
    tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    let renewal = model::LeaseRequest {
        epoch: Some(granted.0),
        ..common::claim_request("a")
    };
    assert_eq!(fixture.lease(&renewal).await, model::LeaseReply::Lapsed);

    let fresh = fixture.claim("a").await;
    assert!(
        fresh.epoch > granted.0,
        "the same holder gets a new epoch after a lapse"
    );
    let stale = common::LeaseHolder {
        epoch: granted.0,
        ..fixture.claim("a").await
    };
    assert_eq!(
        fixture.start_one(&stale, common::batch_run(1, "{}")).await,
        StartVerdict::StaleEpoch
    );
    fixture.server.shutdown().await;
}

#[tokio::test]
async fn a_start_after_the_lease_lapsed_is_refused_even_without_another_claim() {
    let fixture = common::Fixture::start().await;
    let a = fixture.claim("a").await;
    let lapsing = model::LeaseRequest {
        epoch: Some(a.epoch),
        ttl_ms: 0,
        ..common::claim_request("a")
    };
    assert_eq!(fixture.lease(&lapsing).await, model::LeaseReply::Lapsed);
    assert_eq!(
        fixture.start_one(&a, common::batch_run(1, "{}")).await,
        StartVerdict::StaleEpoch
    );
    assert!(fixture.server.executions().is_empty());
    fixture.server.shutdown().await;
}

#[tokio::test]
async fn a_claim_by_the_lease_holder_raises_the_epoch_and_a_renewal_does_not() {
    let fixture = common::Fixture::start().await;
    let first = fixture.claim("a").await;
    assert_eq!(
        fixture.renew(&first, Vec::new(), 0).await.epoch,
        first.epoch
    );
    let second = fixture.claim("a").await;
    assert!(second.epoch > first.epoch);
    assert_eq!(
        fixture.start_one(&first, common::batch_run(1, "{}")).await,
        StartVerdict::StaleEpoch
    );
    fixture.server.shutdown().await;
}

#[tokio::test]
async fn the_next_lease_holder_adopts_runs_within_the_grace_time() {
    let fixture = common::Fixture::start().await;
    let a = fixture.claim("a").await;
    let started = common::endless_run(1);
    fixture.start_one(&a, started.clone()).await;
    fixture
        .client
        .release(&fixture.address, &a.release_request(), common::LONG_TIMEOUT)
        .await
        .unwrap();
    let claimed = common::Grant::from_reply(fixture.lease(&common::claim_request("b")).await);
    assert_eq!(claimed.running.len(), 1);
    assert_eq!(claimed.running[0].run, started.run);
    assert_eq!(claimed.running[0].task, started.task);
    assert_eq!(claimed.running[0].reserved, started.reserved);
    fixture.server.shutdown().await;
}

#[tokio::test]
async fn the_worker_stops_its_runs_after_the_grace_time() {
    let fixture = common::Fixture::start().await;
    let a = fixture.claim("a").await;
    let started = common::endless_run(1);
    fixture.start_one(&a, started.clone()).await;
    let lapsing = model::LeaseRequest {
        epoch: Some(a.epoch),
        ttl_ms: 0,
        grace_ms: 1,
        ..common::claim_request("a")
    };
    fixture.lease(&lapsing).await;
    common::wait_until(|| fixture.server.counts().stopped_after_grace == 1).await;
    let execution = &fixture.server.executions()[0];
    assert_eq!(execution.end, Some(standin::ExecutionEnd::Lapsed));

    let claimed = common::Grant::from_reply(fixture.lease(&common::claim_request("b")).await);
    assert!(claimed.running.is_empty() && claimed.finished.is_empty());
    let b = fixture.claim("b").await;
    assert_eq!(
        fixture.stop(&b, started.run).await,
        model::StopReply::Stopped
    );
    fixture.start_one(&b, started).await;
    assert_eq!(
        fixture.server.executions().len(),
        1,
        "a stopped run is never started again"
    );
    fixture.server.shutdown().await;
}

#[tokio::test]
async fn a_restarted_worker_refuses_starts_for_its_previous_incarnation() {
    let fixture = common::Fixture::start().await;
    let old = fixture.claim("a").await;
    fixture.start_one(&old, common::endless_run(1)).await;
    fixture.server.restart().await;
    assert_eq!(
        fixture.server.executions()[0].end,
        Some(standin::ExecutionEnd::Crashed),
    );
    let new = fixture.claim("a").await;
    assert!(new.epoch > old.epoch && new.incarnation != old.incarnation);
    let outdated = common::LeaseHolder {
        incarnation: old.incarnation,
        ..new
    };
    let verdict = fixture
        .start_one(&outdated, common::batch_run(2, "{}"))
        .await;
    assert_eq!(verdict, StartVerdict::WrongIncarnation);
    assert_eq!(fixture.server.executions().len(), 1);
    fixture.server.shutdown().await;
}

#[tokio::test]
async fn a_leaving_worker_reports_it_and_starts_no_new_runs() {
    let fixture = common::Fixture::start().await;
    let a = fixture.claim("a").await;
    let known = common::endless_run(1);
    fixture.start_one(&a, known.clone()).await;
    fixture.server.set_leaving(true);
    assert!(fixture.renew(&a, Vec::new(), common::LONG_MS).await.leaving);
    assert_eq!(
        fixture.start_one(&a, common::batch_run(2, "{}")).await,
        StartVerdict::Leaving
    );
    assert_eq!(fixture.start_one(&a, known).await, StartVerdict::Started);
    fixture.server.shutdown().await;
}
