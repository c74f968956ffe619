//! Forwarding and faults of the relay, over plain TCP.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net as tokio_net;

const EPHEMERAL_ADDRESS: &str = "127.0.0.1:0";
const SILENCE_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// Starts a TCP echo server that runs until its task is aborted.
async fn start_echo_server() -> (net::SocketAddr, tokio::task::JoinSet<()>) {
    let listener = tokio_net::TcpListener::bind(EPHEMERAL_ADDRESS)
        .await
        .unwrap();
    let address = listener.local_addr().unwrap();
    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            connections.spawn(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    (address, tasks)
}

async fn round_trip(stream: &mut tokio_net::TcpStream, text: &str) -> String {
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut buffer = vec![0; text.len()];
    stream.read_exact(&mut buffer).await.unwrap();
    String::from_utf8(buffer).unwrap()
}

/// Returns whether nothing is received, not even the end of the stream.
async fn stays_silent(stream: &mut tokio_net::TcpStream) -> bool {
    stream.write_all(b"lost").await.unwrap();
    let mut buffer = [0; 1];
    tokio::time::timeout(SILENCE_TIMEOUT, stream.read(&mut buffer))
        .await
        .is_err()
}

#[tokio::test]
async fn data_and_ends_of_streams_are_forwarded_and_counted() {
    let (target, mut tasks) = start_echo_server().await;
    let delay = time::Duration::from_millis(1);
    let relay = standin::Relay::start(EPHEMERAL_ADDRESS.parse().unwrap(), target, delay)
        .await
        .unwrap();
    let mut stream = tokio_net::TcpStream::connect(relay.address())
        .await
        .unwrap();
    let large = "x".repeat(300_000);
    let (mut read, mut write) = stream.split();
    let send = async {
        write.write_all(large.as_bytes()).await.unwrap();
        write.shutdown().await.unwrap();
    };
    let mut echoed = String::new();
    let (_, received) = tokio::join!(send, read.read_to_string(&mut echoed));
    assert_eq!(received.unwrap(), large.len());
    assert_eq!(echoed, large);
    let expected = standin::RelayTraffic {
        connections: 1,
        forward_bytes: 300_000,
        backward_bytes: 300_000,
    };
    assert_eq!(relay.traffic(), expected);
    relay.shutdown().await;
    tasks.shutdown().await;
}

#[tokio::test]
async fn a_silent_connection_stays_open_while_a_new_one_works() {
    let (target, mut tasks) = start_echo_server().await;
    let relay = standin::Relay::start(
        EPHEMERAL_ADDRESS.parse().unwrap(),
        target,
        time::Duration::ZERO,
    );
    let relay = relay.await.unwrap();
    let mut old = tokio_net::TcpStream::connect(relay.address())
        .await
        .unwrap();
    assert_eq!(round_trip(&mut old, "before").await, "before");
    let faults = standin::RelayFaults {
        silent_existing: true,
        ..Default::default()
    };
    relay.set_faults(faults).await;
    assert!(stays_silent(&mut old).await);
    let mut new = tokio_net::TcpStream::connect(relay.address())
        .await
        .unwrap();
    assert_eq!(round_trip(&mut new, "after").await, "after");
    relay.set_faults(standin::RelayFaults::default()).await;
    assert!(
        stays_silent(&mut old).await,
        "a silenced connection must stay silent after the faults are cleared"
    );

    let faults = standin::RelayFaults {
        silent: true,
        ..Default::default()
    };
    relay.set_faults(faults).await;
    assert!(stays_silent(&mut new).await);
    relay.shutdown().await;
    tasks.shutdown().await;
}

#[tokio::test]
async fn a_cut_closes_connections_and_refuses_new_ones() {
    let (target, mut tasks) = start_echo_server().await;
    let relay = standin::Relay::start(
        EPHEMERAL_ADDRESS.parse().unwrap(),
        target,
        time::Duration::ZERO,
    );
    let relay = relay.await.unwrap();
    let mut stream = tokio_net::TcpStream::connect(relay.address())
        .await
        .unwrap();
    assert_eq!(round_trip(&mut stream, "before").await, "before");
    relay
        .set_faults(standin::RelayFaults {
            cut: true,
            ..Default::default()
        })
        .await;
    let mut buffer = [0; 1];
    assert_eq!(stream.read(&mut buffer).await.unwrap_or(0), 0);
    let refused = tokio_net::TcpStream::connect(relay.address())
        .await
        .unwrap_err();
    assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
    relay.set_faults(standin::RelayFaults::default()).await;
    let mut stream = tokio_net::TcpStream::connect(relay.address())
        .await
        .unwrap();
    assert_eq!(round_trip(&mut stream, "after").await, "after");
    relay.shutdown().await;
    tasks.shutdown().await;
}
