//! HTTP requests over pooled connections, limited in number for each address.

use std::sync;
use std::time;

use http_body_util::BodyExt as _;
use hyper_util::client::legacy;
use hyper_util::rt;

use crate::connector;
use crate::error;
use crate::traffic;

type Client = legacy::Client<connector::BoundedConnector, http_body_util::Full<bytes::Bytes>>;

/// Bounds of a [`Transport`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// Maximum number of open connections to one address.
    pub(crate) max_connections: usize,
    /// Timeout of connecting.
    pub(crate) connect_timeout: time::Duration,
    /// Largest request body, in bytes.
    pub(crate) max_request_bytes: usize,
    /// Largest response body, in bytes.
    pub(crate) max_response_bytes: usize,
}

/// Sends requests over pooled connections; clones share them.
///
/// A call that is abandoned drops its connection rather than returning it to the pool, so that a
/// silent connection is never reused.
#[derive(Clone, Debug)]
pub(crate) struct Transport {
    client: Client,
    shared: sync::Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    limits: Limits,
    /// Limits of the calls in flight, by address.
    semaphores: sync::Mutex<indexmap::IndexMap<String, sync::Arc<tokio::sync::Semaphore>>>,
    counters: traffic::TrafficCounters,
}

impl Transport {
    /// Creates a transport with no connection yet.
    pub(crate) fn new(limits: Limits) -> Self {
        let connector =
            connector::BoundedConnector::new(limits.max_connections, limits.connect_timeout);
        let client = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_timer(rt::TokioTimer::new())
            .pool_max_idle_per_host(limits.max_connections)
            .build(connector);
        let shared = Shared {
            limits,
            semaphores: sync::Mutex::default(),
            counters: traffic::TrafficCounters::default(),
        };
        Self {
            client,
            shared: sync::Arc::new(shared),
        }
    }

    /// Returns the traffic since the transport was created.
    pub(crate) fn traffic(&self) -> traffic::Traffic {
        self.shared.counters.snapshot()
    }

    /// Sends `request` by POST to `path` and decodes the response.
    pub(crate) async fn post<Q, R>(
        &self,
        address: &str,
        path: &str,
        request: &Q,
        timeout: time::Duration,
    ) -> Result<R, error::Error>
    where
        Q: serde::Serialize + Sync,
        R: serde::de::DeserializeOwned,
    {
        let body = self.encode(request)?;
        let response = self
            .call(http::Method::POST, address, path, body, timeout)
            .await?;
        decode(address, path, &response)
    }

    /// Gets `path` and decodes the response.
    pub(crate) async fn get<R>(
        &self,
        address: &str,
        path: &str,
        timeout: time::Duration,
    ) -> Result<R, error::Error>
    where
        R: serde::de::DeserializeOwned,
    {
        let body = bytes::Bytes::new();
        let response = self
            .call(http::Method::GET, address, path, body, timeout)
            .await?;
        decode(address, path, &response)
    }

    fn encode(&self, request: &impl serde::Serialize) -> Result<bytes::Bytes, error::Error> {
        let body = serde_json::to_vec(request)
            .map_err(|cause| too_large(format!("request cannot be encoded: {cause}")))?;
        let limit = self.shared.limits.max_request_bytes;
        if body.len() > limit {
            let length = body.len();
            return Err(too_large(format!(
                "request of {length} bytes, expected at most {limit}"
            )));
        }
        Ok(body.into())
    }

    async fn call(
        &self,
        method: http::Method,
        address: &str,
        path: &str,
        body: bytes::Bytes,
        timeout: time::Duration,
    ) -> Result<bytes::Bytes, error::Error> {
        let deadline = tokio::time::Instant::now() + timeout;
        let semaphore = self.semaphore(address);
        let permit = tokio::time::timeout_at(deadline, semaphore.acquire_owned()).await;
        let Ok(Ok(_permit)) = permit else {
            return Err(not_sent(format!(
                "all connections to {address} stayed in use until the timeout"
            )));
        };
        let response = self.send(method, address, path, body);
        tokio::time::timeout_at(deadline, response)
            .await
            .unwrap_or_else(|_| {
                Err(unanswered(format!(
                    "no response from {address} before the timeout"
                )))
            })
    }

    fn semaphore(&self, address: &str) -> sync::Arc<tokio::sync::Semaphore> {
        let mut semaphores = self
            .shared
            .semaphores
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        if let Some(existing) = semaphores.get(address) {
            return sync::Arc::clone(existing);
        }
        let created = sync::Arc::new(tokio::sync::Semaphore::new(
            self.shared.limits.max_connections,
        ));
        semaphores.insert(address.to_owned(), sync::Arc::clone(&created));
        created
    }

    async fn send(
        &self,
        method: http::Method,
        address: &str,
        path: &str,
        body: bytes::Bytes,
    ) -> Result<bytes::Bytes, error::Error> {
        let sent_bytes = body.len();
        let request = http::Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(http_body_util::Full::new(body))
            .map_err(|cause| {
                not_sent(format!(
                    "address {address} does not form a valid URI: {cause}"
                ))
            })?;
        self.shared.counters.count_sent(sent_bytes);
        let response = self.client.request(request).await.map_err(|cause| {
            let context = format!("{address}: {cause}");
            if cause.is_connect() {
                not_sent(context)
            } else {
                unanswered(context)
            }
        })?;
        check_status(address, path, response.status())?;
        self.read_body(address, response.into_body()).await
    }

    async fn read_body(
        &self,
        address: &str,
        body: hyper::body::Incoming,
    ) -> Result<bytes::Bytes, error::Error> {
        let collected = http_body_util::Limited::new(body, self.shared.limits.max_response_bytes)
            .collect()
            .await
            .map_err(|cause| {
                unanswered(format!("response of {address} could not be read: {cause}"))
            })?
            .to_bytes();
        self.shared.counters.count_received(collected.len());
        Ok(collected)
    }
}

fn check_status(address: &str, path: &str, status: http::StatusCode) -> Result<(), error::Error> {
    if status.is_success() {
        return Ok(());
    }
    let context = format!("{address} answered {path} with status {status}");
    if status.is_client_error() {
        return Err(error::Error::new(error::ErrorKind::Refused, context));
    }
    Err(unanswered(context))
}

fn decode<R: serde::de::DeserializeOwned>(
    address: &str,
    path: &str,
    response: &[u8],
) -> Result<R, error::Error> {
    serde_json::from_slice(response).map_err(|cause| {
        let context = format!("response of {address} to {path} could not be decoded: {cause}");
        error::Error::new(error::ErrorKind::Protocol, context)
    })
}

fn not_sent(context: String) -> error::Error {
    error::Error::new(error::ErrorKind::NotSent, context)
}

fn unanswered(context: String) -> error::Error {
    error::Error::new(error::ErrorKind::Unanswered, context)
}

fn too_large(context: String) -> error::Error {
    error::Error::new(error::ErrorKind::TooLarge, context)
}
