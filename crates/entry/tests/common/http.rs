//! HTTP client of a caller.

use std::time;

use http_body_util::BodyExt as _;
use hyper_util::rt;

/// Token of the customer `press` in the lists of the test cluster.
pub(crate) const TOKEN: &str = "press-token";

/// Timeout after which a request counts as failed.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Status code, 0 if the request failed, and JSON body.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: serde_json::Value,
}

impl Answer {
    pub(crate) fn text(&self, field: &str) -> &str {
        self.body[field].as_str().unwrap_or_default()
    }

    pub(crate) fn is_done(&self) -> bool {
        self.text("outcome") == "done"
    }

    fn failed() -> Self {
        Self {
            status: 0,
            body: serde_json::Value::Null,
        }
    }
}

/// Sends one request on a new connection.
pub(crate) async fn request(
    address: std::net::SocketAddr,
    method: &str,
    path: &str,
    token: &str,
    body: &str,
) -> Answer {
    let sent = try_request(address, method, path, token, body);
    let answer = tokio::time::timeout(REQUEST_TIMEOUT, sent).await;
    answer.ok().flatten().unwrap_or_else(Answer::failed)
}

async fn try_request(
    address: std::net::SocketAddr,
    method: &str,
    path: &str,
    token: &str,
    body: &str,
) -> Option<Answer> {
    let stream = tokio::net::TcpStream::connect(address).await.ok()?;
    let io = rt::TokioIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.ok()?;
    let driver = tokio::spawn(connection);
    let request = http::Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .header("authorization", format!("Bearer {token}"))
        .body(http_body_util::Full::new(bytes::Bytes::from(
            body.to_owned(),
        )))
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    let status = response.status().as_u16();
    let bytes = response.into_body().collect().await.ok()?.to_bytes();
    driver.abort();
    let body = serde_json::from_slice(&bytes).unwrap_or(serde_json::Value::Null);
    Some(Answer { status, body })
}
