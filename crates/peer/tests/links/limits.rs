//! Limits on what the other end of a connection may send.

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use crate::common;

/// Client preface and an empty SETTINGS frame.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";
/// Size of the submissions, in bytes; two of them exceed the bound.
const BODY_BYTES: usize = 80_000;
const MAX_RECEIVED_BYTES: usize = 100_000;

/// Guards against a refusal that the sender takes for a request that may have been handled, and
/// against bytes that stay counted.
#[tokio::test]
async fn request_beyond_the_bound_is_refused_unhandled() {
    let server = peer::Server::new(common::identity("server#1"));
    let server = server.max_received_bytes(MAX_RECEIVED_BYTES);
    let test_server = common::TestServer::start(server).await;
    let link = common::link(common::identity("client#1"), &test_server.address);
    let held = common::submission("held".repeat(BODY_BYTES / 4));
    let other = common::submission("b".repeat(BODY_BYTES));
    let first = tokio::spawn({
        let link = link.clone();
        async move { link.request(&held, common::LONG_TIMEOUT).await }
    });
    test_server.handler.started.notified().await;
    let refused = link.request(&other, common::LONG_TIMEOUT).await;
    assert!(refused.expect_err("refused").is_unhandled());
    assert_eq!(test_server.handled(), 1);
    assert_eq!(test_server.server.counts().refused_no_room, 1);
    let small = common::lookup("customer", 1);
    let answered = link.request(&small, common::LONG_TIMEOUT).await;
    assert_eq!(answered.expect("answered"), common::text_response("1"));
    test_server.handler.release.notify_one();
    first.await.expect("no panic").expect("answered");
    let answered = link.request(&other, common::LONG_TIMEOUT).await;
    answered.expect("there is room again");
    assert_eq!(link.counts().connections, 1, "the connection lives");
    test_server.stop().await;
    link.close().await;
}

/// Guards against connections that never say hello and take the place of instances.
#[tokio::test]
async fn oldest_unauthenticated_connection_is_closed_for_a_new_one() {
    let server = peer::Server::new(common::identity("server#1")).max_new_connections(2_usize);
    let test_server = common::TestServer::start(server).await;
    let mut silent = Vec::new();
    for _ in 0..3 {
        let connected = tokio::net::TcpStream::connect(&test_server.address).await;
        silent.push(connected.expect("connects"));
    }
    let mut buffer = Vec::new();
    // Ends also if the connection is reset.
    let _ = silent[0].read_to_end(&mut buffer).await;
    assert_eq!(test_server.server.counts().closed_unauthenticated, 1);
    let link = common::link(common::identity("client#1"), &test_server.address);
    let request = common::lookup("customer", 1);
    let answered = link.request(&request, common::LONG_TIMEOUT).await;
    answered.expect("an instance is served");
    test_server.stop().await;
    link.close().await;
}

/// Guards against memory that an unauthenticated connection fills.
#[tokio::test]
async fn unauthenticated_connection_that_sends_much_is_closed() {
    let server = peer::Server::new(common::identity("server#1"));
    let test_server = common::TestServer::start(server).await;
    let connected = tokio::net::TcpStream::connect(&test_server.address).await;
    let mut stream = connected.expect("connects");
    stream.write_all(PREFACE).await.expect("sends the preface");
    // Frames of an unknown type, which h2 ignores: 1,024 bytes on stream 0.
    let mut frame = vec![0, 4, 0, 0xff, 0, 0, 0, 0, 0];
    frame.resize(9 + 1_024, 0);
    let frames = frame.repeat(1_024);
    let mut sent = Ok(());
    for _ in 0..64 {
        sent = stream.write_all(&frames).await;
        if sent.is_err() {
            break;
        }
    }
    assert!(sent.is_err(), "64 MB were taken");
    test_server.stop().await;
}
