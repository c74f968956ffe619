//! Connections beyond the limit.

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use crate::server;
use crate::server::Server;

const TOTAL_BYTES: u64 = 5_000_000;
const MAX_CONNECTIONS: usize = 4;
/// Longer than the time without progress after which any connection may be closed for a new one.
const CLOSABLE_AFTER: std::time::Duration = std::time::Duration::from_millis(600);

async fn start() -> Server {
    Server::start(TOTAL_BYTES, 0, MAX_CONNECTIONS).await
}

async fn wait_for_answer(server: &Server) {
    let message = server::post(b"{}");
    while server::exchange(server.connect().await, &message)
        .await
        .is_none()
    {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

async fn call(stream: &mut tokio::net::TcpStream) -> Option<u16> {
    stream.write_all(&server::post(b"{}")).await.ok()?;
    let answer = server::read_response(stream).await;
    answer.map(|(status, _)| status)
}

/// Guards against clients that connect and send nothing, or no whole head, and lock out callers.
#[tokio::test]
async fn unused_connections_give_way_before_idle_ones() {
    let server = start().await;
    let mut idle = server.connect().await;
    assert_eq!(call(&mut idle).await, Some(200));
    let mut unused = Vec::new();
    for _ in 1..MAX_CONNECTIONS {
        let mut stream = server.connect().await;
        stream.write_all(b"POST / HTT").await.unwrap();
        unused.push(stream);
    }
    // The idle connection is older: at an earlier time it may be the only one that can be closed.
    tokio::time::sleep(CLOSABLE_AFTER).await;
    wait_for_answer(&server).await;
    assert!(server.count("shed.connection") > 0);
    assert_eq!(call(&mut idle).await, Some(200), "idle connection lives");
}

/// An idle connection gives way only when no other can.
#[tokio::test]
async fn idle_connections_give_way_when_all_are_idle() {
    let server = start().await;
    let mut idle = Vec::new();
    for _ in 0..MAX_CONNECTIONS {
        let mut stream = server.connect().await;
        assert_eq!(call(&mut stream).await, Some(200));
        idle.push(stream);
    }
    wait_for_answer(&server).await;
    let mut open = 0;
    for stream in &mut idle {
        open += usize::from(call(stream).await == Some(200));
    }
    assert_eq!(open, MAX_CONNECTIONS - 1);
}

/// A request that is being handled is never cut for a new connection.
#[tokio::test]
async fn connections_with_a_request_stay() {
    let server = start().await;
    let mut busy = Vec::new();
    for _ in 0..MAX_CONNECTIONS {
        let mut stream = server.connect().await;
        let request = b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n";
        stream.write_all(request).await.unwrap();
        busy.push(stream);
    }
    // Requests have begun once all wait for the semaphore; a new connection then finds no room for
    // longer than a connection without a request would stay.
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    for _ in 0..3 {
        let mut stream = server.connect().await;
        assert!(matches!(stream.read(&mut [0; 1]).await, Ok(0) | Err(_)));
    }
    assert_eq!(server.count("refused.connection_limit"), 3);
    server.slow.add_permits(MAX_CONNECTIONS);
    for stream in &mut busy {
        let answer = server::read_response(stream).await;
        assert_eq!(answer.map(|(status, _)| status), Some(200));
    }
}

/// Guards against heads that never end.
#[tokio::test]
async fn head_that_never_ends_is_cut_and_idle_connections_are_not() {
    let server = start().await;
    let mut idle = server.connect().await;
    assert_eq!(call(&mut idle).await, Some(200));
    let mut endless = server.connect().await;
    endless.write_all(b"POST / HTT").await.unwrap();
    server::wait_until("the head is cut", || server.count("shed.head_timeout") == 1).await;
    assert!(matches!(endless.read(&mut [0; 1]).await, Ok(0) | Err(_)));
    assert_eq!(call(&mut idle).await, Some(200), "idle connection lives");
}
