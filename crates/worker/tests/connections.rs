//! Behaviour of the clients when connections fail, limits are reached or the directory lags.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time;

use tokio::io::AsyncReadExt as _;
use worker::Directory as _;
use worker::WorkerApi as _;

async fn set_reachability(fixture: &common::Fixture, reachability: standin::Reachability) {
    fixture
        .server
        .set_faults(standin::WorkerFaults {
            reachability,
            ..Default::default()
        })
        .await;
}

async fn claim_error_kind(
    fixture: &common::Fixture,
    timeout: time::Duration,
) -> Option<worker::ErrorKind> {
    let claimed = fixture
        .client
        .lease(&fixture.address, &common::claim_request("a"), timeout)
        .await;
    claimed.err().map(|error| error.kind())
}

#[tokio::test]
async fn nothing_is_sent_to_a_worker_that_refuses_connections() {
    let fixture = common::Fixture::start().await;
    fixture.claim("a").await;
    set_reachability(&fixture, standin::Reachability::Down).await;
    // The first call may still reuse the pooled connection, whose close is not noticed yet.
    while claim_error_kind(&fixture, common::LONG_TIMEOUT).await
        == Some(worker::ErrorKind::Unanswered)
    {}
    assert_eq!(
        claim_error_kind(&fixture, common::LONG_TIMEOUT).await,
        Some(worker::ErrorKind::NotSent)
    );
    set_reachability(&fixture, standin::Reachability::Up).await;
    assert_eq!(claim_error_kind(&fixture, common::LONG_TIMEOUT).await, None);
    fixture.server.shutdown().await;
}

#[tokio::test]
async fn a_silent_connection_is_not_reused() {
    let fixture = common::Fixture::start().await;
    let target = fixture.server.address();
    let relay = standin::Relay::start(
        common::EPHEMERAL_ADDRESS.parse().unwrap(),
        target,
        time::Duration::ZERO,
    );
    let relay = relay.await.unwrap();
    let relayed = common::Fixture {
        address: relay.address().to_string(),
        ..fixture
    };
    relayed.claim("a").await;
    let faults = standin::RelayFaults {
        silent_existing: true,
        ..Default::default()
    };
    relay.set_faults(faults).await;
    assert_eq!(
        claim_error_kind(&relayed, common::SHORT_TIMEOUT).await,
        Some(worker::ErrorKind::Unanswered),
    );
    // The silent connection has left the pool, so the next call must open a new one.
    assert_eq!(claim_error_kind(&relayed, common::LONG_TIMEOUT).await, None);
    assert_eq!(relay.traffic().connections, 2);
    relay.shutdown().await;
    relayed.server.shutdown().await;
}

#[tokio::test]
async fn calls_beyond_the_connection_limit_are_not_sent() {
    let fixture = common::Fixture::start().await;
    let client = worker::HttpWorkers::builder().connections(2_usize).build();
    set_reachability(&fixture, standin::Reachability::Silent).await;
    let mut waiting = tokio::task::JoinSet::new();
    for _ in 0..2 {
        let (client, address) = (client.clone(), fixture.address.clone());
        waiting.spawn(async move {
            client
                .lease(&address, &common::claim_request("a"), common::LONG_TIMEOUT)
                .await
                .is_err()
        });
    }
    while client.traffic().calls < 2 {
        tokio::task::yield_now().await;
    }
    let third = client
        .lease(
            &fixture.address,
            &common::claim_request("b"),
            common::SHORT_TIMEOUT,
        )
        .await;
    assert_eq!(third.unwrap_err().kind(), worker::ErrorKind::NotSent);
    assert_eq!(client.traffic().calls, 2);
    waiting.shutdown().await;
    set_reachability(&fixture, standin::Reachability::Up).await;
    client
        .lease(
            &fixture.address,
            &common::claim_request("b"),
            common::LONG_TIMEOUT,
        )
        .await
        .unwrap();
    assert!(client.traffic().received_bytes > 0);
    fixture.server.shutdown().await;
}

#[tokio::test]
async fn many_concurrent_calls_stay_within_the_connection_limit() {
    let fixture = common::Fixture::start().await;
    let client = worker::HttpWorkers::builder().connections(3_usize).build();
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..400_u64 {
        let (client, address) = (client.clone(), fixture.address.clone());
        calls.spawn(async move {
            // Calls come in bursts, so that some connect while others return a connection.
            tokio::time::sleep(time::Duration::from_millis(number / 20)).await;
            client
                .lease(&address, &common::claim_request("a"), common::LONG_TIMEOUT)
                .await
                .unwrap();
        });
    }
    while let Some(joined) = calls.join_next().await {
        joined.unwrap();
    }
    assert!(
        fixture.server.counts().most_connections <= 3,
        "{:?}",
        fixture.server.counts()
    );
    fixture.server.shutdown().await;
}

#[tokio::test]
async fn a_worker_closes_connections_beyond_its_limit() {
    let capacity = model::WorkerCapacity {
        connections: 1,
        ..common::capacity(8)
    };
    let fixture = common::Fixture::start_with(capacity).await;
    let _first = fixture.claim("a").await;
    let mut second = tokio::net::TcpStream::connect(&fixture.address)
        .await
        .unwrap();
    let mut buffer = [0_u8; 1];
    assert_eq!(
        second.read(&mut buffer).await.unwrap(),
        0,
        "closed without a response"
    );
    assert_eq!(fixture.server.counts().refused_connections, 1);
    fixture.server.shutdown().await;
}

#[tokio::test]
async fn request_and_response_sizes_are_limited() {
    let fixture = common::Fixture::start().await;
    let limited = worker::HttpWorkers::builder()
        .max_request_bytes(10_usize)
        .build();
    let too_large = limited
        .lease(
            &fixture.address,
            &common::claim_request("a"),
            common::LONG_TIMEOUT,
        )
        .await;
    assert_eq!(too_large.unwrap_err().kind(), worker::ErrorKind::TooLarge);
    assert_eq!(limited.traffic().calls, 0);
    let limited = worker::HttpWorkers::builder()
        .max_response_bytes(10_usize)
        .build();
    let unanswered = limited
        .lease(
            &fixture.address,
            &common::claim_request("a"),
            common::LONG_TIMEOUT,
        )
        .await;
    assert_eq!(
        unanswered.unwrap_err().kind(),
        worker::ErrorKind::Unanswered
    );
    fixture.server.shutdown().await;
}

fn worker_entry(id: &str) -> model::DirectoryEntry {
    model::DirectoryEntry {
        id: id.into(),
        role: model::Role::Worker,
        address: "127.0.0.1:1".to_owned(),
        location: common::location(),
        state: model::EntryState::Live,
    }
}

#[tokio::test]
async fn directory_changes_are_seen_after_its_lag() {
    let lag = time::Duration::from_millis(50);
    let entries = vec![worker_entry("a"), worker_entry("b")];
    let server = standin::DirectoryServer::start(
        entries.clone(),
        lag,
        common::EPHEMERAL_ADDRESS.parse().unwrap(),
    );
    let server = server.await.unwrap();
    let client = worker::HttpDirectory::new(server.address().to_string(), common::LONG_TIMEOUT);
    assert_eq!(client.list().await.unwrap(), entries);
    server.remove("a");
    server.set_state("b", model::EntryState::Leaving);
    let leaving = model::DirectoryEntry {
        state: model::EntryState::Leaving,
        ..worker_entry("b")
    };
    while client.list().await.unwrap() != [leaving.clone()] {
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    let faults = standin::DirectoryFaults {
        unavailable: true,
        ..Default::default()
    };
    server.set_faults(faults).await;
    assert_eq!(
        client.list().await.unwrap_err().kind(),
        worker::ErrorKind::Unanswered
    );
    server.shutdown().await;
}

#[tokio::test]
async fn the_directory_may_lag_for_an_hour() {
    let lag = time::Duration::from_secs(3600);
    let server = standin::DirectoryServer::start(
        vec![worker_entry("a")],
        lag,
        common::EPHEMERAL_ADDRESS.parse().unwrap(),
    );
    let server = server.await.unwrap();
    let client = worker::HttpDirectory::new(server.address().to_string(), common::LONG_TIMEOUT);
    server.put(worker_entry("b"));
    assert_eq!(client.list().await.unwrap(), [worker_entry("a")]);
    server.shutdown().await;
}
