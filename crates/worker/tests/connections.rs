//! How the clients behave when connections fail.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time;

use tokio::io::AsyncReadExt as _;
use worker::Directory as _;
use worker::WorkerApi as _;

async fn set_reachability(bench: &common::Bench, reachability: standin::Reachability) {
    bench
        .server
        .set_faults(standin::WorkerFaults {
            reachability,
            ..Default::default()
        })
        .await;
}

async fn claim_kind(bench: &common::Bench, timeout: time::Duration) -> Option<worker::ErrorKind> {
    let claimed = bench
        .client
        .lease(&bench.address, &common::claim("a"), timeout)
        .await;
    claimed.err().map(|failed| failed.kind())
}

#[tokio::test]
async fn nothing_is_sent_to_a_worker_that_refuses_connections() {
    let bench = common::Bench::start().await;
    bench.claim("a").await;
    set_reachability(&bench, standin::Reachability::Down).await;
    // The first call may still find the pooled connection, whose end is not noticed yet.
    while claim_kind(&bench, common::PATIENT).await == Some(worker::ErrorKind::Unanswered) {}
    assert_eq!(
        claim_kind(&bench, common::PATIENT).await,
        Some(worker::ErrorKind::NotSent)
    );
    set_reachability(&bench, standin::Reachability::Up).await;
    assert_eq!(claim_kind(&bench, common::PATIENT).await, None);
    bench.server.shutdown().await;
}

#[tokio::test]
async fn a_silent_connection_is_not_used_again() {
    let bench = common::Bench::start().await;
    let target = bench.server.address();
    let relay = standin::Relay::start(common::ANY.parse().unwrap(), target, time::Duration::ZERO);
    let relay = relay.await.unwrap();
    let through = common::Bench {
        address: relay.address().to_string(),
        ..bench
    };
    through.claim("a").await;
    let faults = standin::RelayFaults {
        silent_existing: true,
        ..Default::default()
    };
    relay.set_faults(faults).await;
    assert_eq!(
        claim_kind(&through, common::SHORT).await,
        Some(worker::ErrorKind::Unanswered),
    );
    // The stale connection is gone from the pool: the next call must make a new one.
    assert_eq!(claim_kind(&through, common::PATIENT).await, None);
    assert_eq!(relay.traffic().connections, 2);
    relay.shutdown().await;
    through.server.shutdown().await;
}

#[tokio::test]
async fn calls_beyond_the_connections_of_a_worker_are_not_sent() {
    let bench = common::Bench::start().await;
    let client = worker::HttpWorkers::builder().connections(2_usize).build();
    set_reachability(&bench, standin::Reachability::Silent).await;
    let mut waiting = tokio::task::JoinSet::new();
    for _ in 0..2 {
        let (client, address) = (client.clone(), bench.address.clone());
        waiting.spawn(async move {
            client
                .lease(&address, &common::claim("a"), common::PATIENT)
                .await
                .is_err()
        });
    }
    while client.traffic().calls < 2 {
        tokio::task::yield_now().await;
    }
    let third = client
        .lease(&bench.address, &common::claim("b"), common::SHORT)
        .await;
    assert_eq!(third.unwrap_err().kind(), worker::ErrorKind::NotSent);
    assert_eq!(client.traffic().calls, 2);
    waiting.shutdown().await;
    set_reachability(&bench, standin::Reachability::Up).await;
    client
        .lease(&bench.address, &common::claim("b"), common::PATIENT)
        .await
        .unwrap();
    assert!(client.traffic().received_bytes > 0);
    bench.server.shutdown().await;
}

#[tokio::test]
async fn a_worker_closes_connections_beyond_its_limit() {
    let capacity = model::WorkerCapacity {
        connections: 1,
        ..common::capacity(8)
    };
    let bench = common::Bench::start_with(capacity).await;
    let _first = bench.claim("a").await;
    let mut second = tokio::net::TcpStream::connect(&bench.address)
        .await
        .unwrap();
    let mut buffer = [0_u8; 1];
    assert_eq!(
        second.read(&mut buffer).await.unwrap(),
        0,
        "closed without an answer"
    );
    assert_eq!(bench.server.counts().refused_connections, 1);
    bench.server.shutdown().await;
}

#[tokio::test]
async fn requests_and_answers_are_bounded() {
    let bench = common::Bench::start().await;
    let narrow = worker::HttpWorkers::builder()
        .request_bytes(10_usize)
        .build();
    let refused = narrow
        .lease(&bench.address, &common::claim("a"), common::PATIENT)
        .await;
    assert_eq!(refused.unwrap_err().kind(), worker::ErrorKind::TooLarge);
    assert_eq!(narrow.traffic().calls, 0);
    let narrow = worker::HttpWorkers::builder()
        .answer_bytes(10_usize)
        .build();
    let broken = narrow
        .lease(&bench.address, &common::claim("a"), common::PATIENT)
        .await;
    assert_eq!(broken.unwrap_err().kind(), worker::ErrorKind::Unanswered);
    bench.server.shutdown().await;
}

fn machine(id: &str) -> model::DirectoryEntry {
    model::DirectoryEntry {
        id: id.into(),
        role: model::Role::Worker,
        address: "127.0.0.1:1".to_owned(),
        location: common::location(),
        state: model::EntryState::Live,
    }
}

#[tokio::test]
async fn the_instance_list_is_read_with_its_lag() {
    let lag = time::Duration::from_millis(50);
    let entries = vec![machine("a"), machine("b")];
    let server =
        standin::DirectoryServer::start(entries.clone(), lag, common::ANY.parse().unwrap());
    let server = server.await.unwrap();
    let client = worker::HttpDirectory::new(server.address().to_string(), common::PATIENT);
    assert_eq!(client.list().await.unwrap(), entries);
    server.remove("a");
    server.set_state("b", model::EntryState::Leaving);
    let leaving = model::DirectoryEntry {
        state: model::EntryState::Leaving,
        ..machine("b")
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
async fn the_instance_list_may_lag_for_long() {
    let lag = time::Duration::from_secs(3600);
    let server =
        standin::DirectoryServer::start(vec![machine("a")], lag, common::ANY.parse().unwrap());
    let server = server.await.unwrap();
    let client = worker::HttpDirectory::new(server.address().to_string(), common::PATIENT);
    server.put(machine("b"));
    assert_eq!(client.list().await.unwrap(), [machine("a")]);
    server.shutdown().await;
}
