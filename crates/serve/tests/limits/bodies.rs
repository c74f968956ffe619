//! Bodies within and beyond the budget.

use crate::server;
use crate::server::MAX_BODY_BYTES;
use crate::server::Server;

/// Budget with room for one body of the largest size beside the reserved part.
const TOTAL_BYTES: u64 = 500_000;
const RESERVED_BYTES: u64 = 100_000;
const MAX_CONNECTIONS: usize = 100;

async fn start() -> Server {
    Server::start(TOTAL_BYTES, RESERVED_BYTES, MAX_CONNECTIONS).await
}

fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|index| (index % 251) as u8).collect()
}

/// Guards against bytes lost or reordered where a body is gathered from parts.
#[tokio::test]
async fn body_arrives_whole_however_it_is_split() {
    let server = start().await;
    for length in [0, 1, 5_000, 70_000, MAX_BODY_BYTES] {
        let body = pattern(length);
        let expected = Some((200, server::digest(&body)));
        let answer = server::exchange(server.connect().await, &server::post(&body)).await;
        assert_eq!(answer, expected, "{length} bytes at once");
        for chunk_bytes in [1, 1_000, 100_000] {
            let mut message =
                b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
            for chunk in body.chunks(chunk_bytes) {
                message.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
                message.extend_from_slice(chunk);
                message.extend_from_slice(b"\r\n");
            }
            message.extend_from_slice(b"0\r\n\r\n");
            let answer = server::exchange(server.connect().await, &message).await;
            assert_eq!(answer, expected, "{length} bytes by {chunk_bytes}");
        }
    }
    server::wait_until("all is released", || server.budget.used_bytes() == 0).await;
}

#[tokio::test]
async fn body_that_is_too_large_is_refused() {
    let server = start().await;
    let body = pattern(MAX_BODY_BYTES + 1);
    let answer = server::exchange(server.connect().await, &server::post(&body)).await;
    assert!(answer.is_none_or(|(status, _)| status == 413));
    let message = [
        b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n40001\r\n".as_slice(),
        &body,
    ]
    .concat();
    let answer = server::exchange(server.connect().await, &message).await;
    assert!(answer.is_none_or(|(status, _)| status == 413));
    server::wait_until("all is released", || server.budget.used_bytes() == 0).await;
}

/// Guards against a charge that outlives its connection: the budget would be used up by clients
/// that come and go.
#[tokio::test]
async fn budget_of_clients_that_leave_is_released() {
    let server = start().await;
    let streams = [
        server.begin_body(100_000).await,
        server.begin_body(10_000).await,
        server.begin_body(0).await,
    ];
    server::wait_until("the bodies are charged", || {
        server.budget.used_bytes() > 150_000
    })
    .await;
    drop(streams);
    server::wait_until("all is released", || server.budget.used_bytes() == 0).await;
}

/// Guards against large bodies that lock out ordinary calls.
#[tokio::test]
async fn small_call_is_served_while_large_bodies_wait() {
    let server = start().await;
    let mut streams = Vec::new();
    for _ in 0..8 {
        streams.push(server.begin_body(MAX_BODY_BYTES - 1).await);
        let answer = server::exchange(server.connect().await, &server::post(b"{}")).await;
        assert_eq!(answer.map(|(status, _)| status), Some(200));
    }
    assert!(server.budget.used_bytes() <= TOTAL_BYTES);
    assert!(server.count("refused.body_budget") + server.count("refused.input_budget") > 0);
}

/// A stalled body gives way to one that arrives, and its sender is told that it has not run.
#[tokio::test]
async fn stalled_body_gives_way() {
    let server = start().await;
    let mut stalled = server.begin_body(MAX_BODY_BYTES - 1).await;
    server::wait_until("the body is charged", || {
        server.budget.used_bytes() > MAX_BODY_BYTES as u64
    })
    .await;
    let message = server::post(&pattern(MAX_BODY_BYTES));
    loop {
        // Refused until the other body counts as stalled.
        let answer = server::exchange(server.connect().await, &message).await;
        if answer.is_some_and(|(status, _)| status == 200) {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    let answer = server::read_response(&mut stalled).await;
    assert!(answer.is_none_or(|(status, _)| status == 429));
    assert_eq!(server.count("shed.body"), 1);
}

/// A source that holds most of the budget gives way to another one, also if it makes progress.
#[tokio::test]
async fn source_cannot_hold_the_whole_budget() {
    let server = Server::start(1_000_000, RESERVED_BYTES, MAX_CONNECTIONS).await;
    let mut streams = Vec::new();
    for _ in 0..2 {
        streams.push(server.begin_body(MAX_BODY_BYTES - 1).await);
    }
    server::wait_until("the bodies are charged", || {
        server.budget.used_bytes() > 500_000
    })
    .await;
    let mut other = server.connect_from([127, 0, 0, 2]).await;
    server::send_part(&mut other, 100_000).await;
    server::wait_until("the other source is served", || {
        server.budget.used_bytes() > 650_000 || server.count("shed.body") > 0
    })
    .await;
    // With another source there, the first one may not exceed its share.
    streams.push(server.begin_body(MAX_BODY_BYTES - 1).await);
    server::wait_until("the first source is refused", || {
        server.count("refused.body_budget") + server.count("refused.input_budget") > 0
    })
    .await;
}

/// Guards against responses that nobody reads, which held memory that nothing counted.
#[tokio::test]
async fn large_response_is_charged_until_it_is_read() {
    let server = Server::start(TOTAL_BYTES, RESERVED_BYTES, MAX_CONNECTIONS).await;
    let mut stream = server.connect().await;
    let request = b"GET /large HTTP/1.1\r\nhost: a\r\n\r\n";
    tokio::io::AsyncWriteExt::write_all(&mut stream, request)
        .await
        .unwrap();
    let large = server::LARGE_RESPONSE_BYTES as u64;
    server::wait_until("the response is charged", || {
        server.budget.used_bytes() > large
    })
    .await;
    // Small calls find no room either, as the memory is in use.
    let answer = server::exchange(server.connect().await, &server::post(b"{}")).await;
    assert_eq!(answer, None);
    let answer = server::read_response(&mut stream).await;
    assert_eq!(answer.map(|(status, _)| status), Some(200));
    server::wait_until("the response is released", || {
        server.budget.used_bytes() < TOTAL_BYTES
    })
    .await;
}
