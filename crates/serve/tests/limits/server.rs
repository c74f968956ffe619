//! A server with small limits.

use std::net;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// Largest body that the server accepts, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 256 * 1024;
/// Size of the responses to requests for `/large`, in bytes; more than the sockets' buffers take.
pub(crate) const LARGE_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Longest time to wait for a condition; no check depends on the time within it.
const TEST_TIMEOUT: time::Duration = time::Duration::from_secs(20);
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// A running server.
pub(crate) struct Server {
    pub(crate) address: net::SocketAddr,
    pub(crate) budget: serve::Budget,
    pub(crate) metrics: telemetry::Metrics,
    /// Requests for `/slow` wait for it.
    pub(crate) slow: std::sync::Arc<tokio::sync::Semaphore>,
}

impl Server {
    pub(crate) async fn start(
        total_bytes: u64,
        reserved_bytes: u64,
        max_connections: usize,
    ) -> Self {
        let metrics = telemetry::Metrics::without_exporter();
        let budget = serve::Budget::with_sizes(total_bytes, reserved_bytes, metrics.clone());
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let slow = std::sync::Arc::new(tokio::sync::Semaphore::new(0));
        let slow_requests = std::sync::Arc::clone(&slow);
        let router = axum::Router::new()
            .route("/", axum::routing::any(echo))
            .route(
                "/large",
                axum::routing::get(async || vec![b'x'; LARGE_RESPONSE_BYTES]),
            )
            .route(
                "/slow",
                axum::routing::get(async move || {
                    let _ = slow_requests.acquire().await;
                }),
            );
        let monitor = stall::Monitor::new(metrics.clone());
        let limits = serve::ServerLimits {
            max_header_bytes: 16 * 1024,
            max_connections,
            budget: budget.clone(),
            monitor: monitor.clone(),
        };
        tokio::spawn(monitor.run(tokio_util::sync::CancellationToken::new()));
        tokio::spawn(serve::serve(
            listener,
            router,
            limits,
            tokio_util::sync::CancellationToken::new(),
        ));
        Self {
            address,
            budget,
            metrics,
            slow,
        }
    }

    /// Returns how often something was counted.
    pub(crate) fn count(&self, name: &str) -> u64 {
        self.metrics.report().get(name).copied().unwrap_or_default()
    }

    pub(crate) async fn connect(&self) -> tokio::net::TcpStream {
        tokio::net::TcpStream::connect(self.address).await.unwrap()
    }

    /// Connects from another address of the loopback interface.
    pub(crate) async fn connect_from(&self, source: [u8; 4]) -> tokio::net::TcpStream {
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.bind((source, 0).into()).unwrap();
        socket.connect(self.address).await.unwrap()
    }

    /// Begins a body of the largest size and sends `sent_bytes` of it.
    pub(crate) async fn begin_body(&self, sent_bytes: usize) -> tokio::net::TcpStream {
        let mut stream = self.connect().await;
        send_part(&mut stream, sent_bytes).await;
        stream
    }
}

/// Responds with the length of the body and the sum of its bytes.
async fn echo(request: axum::extract::Request) -> (http::StatusCode, String) {
    match serve::read_body(request, MAX_BODY_BYTES, BODY_TIMEOUT).await {
        Ok(body) => (http::StatusCode::OK, digest(body.bytes())),
        Err(serve::BodyError::Overloaded) => (http::StatusCode::TOO_MANY_REQUESTS, String::new()),
        Err(serve::BodyError::TooLarge) => (http::StatusCode::PAYLOAD_TOO_LARGE, String::new()),
        Err(error) => (http::StatusCode::BAD_REQUEST, error.to_string()),
    }
}

pub(crate) fn digest(body: &[u8]) -> String {
    let sum: u64 = body
        .iter()
        .enumerate()
        .map(|(index, byte)| index as u64 * u64::from(*byte))
        .sum();
    format!("{} {sum}", body.len())
}

/// Sends the head of a body of the largest size, and `sent_bytes` of it.
pub(crate) async fn send_part(stream: &mut tokio::net::TcpStream, sent_bytes: usize) {
    let head = format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {MAX_BODY_BYTES}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&vec![b'x'; sent_bytes]).await.unwrap();
}

/// Sends a whole message and returns the status and the body of the response; `None` if the
/// connection was closed without one.
pub(crate) async fn exchange(
    mut stream: tokio::net::TcpStream,
    message: &[u8],
) -> Option<(u16, String)> {
    // The response may arrive before all is sent.
    let _ = stream.write_all(message).await;
    read_response(&mut stream).await
}

/// Reads a response, which ends with the connection or with the length of its body.
pub(crate) async fn read_response(stream: &mut tokio::net::TcpStream) -> Option<(u16, String)> {
    let mut response = Vec::new();
    let mut buffer = [0; 4096];
    let read = async {
        while let Ok(count @ 1..) = stream.read(&mut buffer).await {
            response.extend_from_slice(&buffer[..count]);
            if let Some(parsed) = parse_response(&response) {
                return Some(parsed);
            }
        }
        None
    };
    tokio::time::timeout(TEST_TIMEOUT, read).await.unwrap()
}

fn parse_response(response: &[u8]) -> Option<(u16, String)> {
    let text = std::str::from_utf8(response).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))?;
    (body.len() >= length.parse().ok()?).then(|| (status, body.to_owned()))
}

/// Returns a whole POST request.
pub(crate) fn post(body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

pub(crate) async fn wait_until(condition: &str, mut is_met: impl FnMut() -> bool) {
    let started = time::Instant::now();
    while !is_met() {
        assert!(started.elapsed() < TEST_TIMEOUT, "timed out: {condition}");
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
}
