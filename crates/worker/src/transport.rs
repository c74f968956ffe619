//! Pooled HTTP calls with a bound on the connections to each address.

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
    /// Open connections to one address.
    pub(crate) connections: usize,
    /// Longest time to make a connection.
    pub(crate) connect_timeout: time::Duration,
    /// Largest request body, in bytes.
    pub(crate) request_bytes: usize,
    /// Largest answer body, in bytes.
    pub(crate) answer_bytes: usize,
}

/// Sends requests over pooled connections; clones share them.
///
/// A call that is given up drops its connection, so that a silent one is never used again.
#[derive(Clone, Debug)]
pub(crate) struct Transport {
    client: Client,
    shared: sync::Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    limits: Limits,
    /// Permits to have a call in flight, by address.
    permits: sync::Mutex<indexmap::IndexMap<String, sync::Arc<tokio::sync::Semaphore>>>,
    counters: traffic::TrafficCounters,
}

impl Transport {
    /// Creates a transport with no connection yet.
    pub(crate) fn new(limits: Limits) -> Self {
        let connector =
            connector::BoundedConnector::new(limits.connections, limits.connect_timeout);
        let client = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_timer(rt::TokioTimer::new())
            .pool_max_idle_per_host(limits.connections)
            .build(connector);
        let shared = Shared {
            limits,
            permits: sync::Mutex::default(),
            counters: traffic::TrafficCounters::default(),
        };
        Self {
            client,
            shared: sync::Arc::new(shared),
        }
    }

    /// Returns the traffic so far.
    pub(crate) fn traffic(&self) -> traffic::Traffic {
        self.shared.counters.snapshot()
    }

    /// Posts `request` and reads the answer.
    pub(crate) async fn post<Q, A>(
        &self,
        address: &str,
        path: &str,
        request: &Q,
        timeout: time::Duration,
    ) -> Result<A, error::Error>
    where
        Q: serde::Serialize + Sync,
        A: serde::de::DeserializeOwned,
    {
        let body = self.encode(request)?;
        let answer = self
            .call(http::Method::POST, address, path, body, timeout)
            .await?;
        decode(address, path, &answer)
    }

    /// Reads `path`.
    pub(crate) async fn get<A>(
        &self,
        address: &str,
        path: &str,
        timeout: time::Duration,
    ) -> Result<A, error::Error>
    where
        A: serde::de::DeserializeOwned,
    {
        let body = bytes::Bytes::new();
        let answer = self
            .call(http::Method::GET, address, path, body, timeout)
            .await?;
        decode(address, path, &answer)
    }

    fn encode(&self, request: &impl serde::Serialize) -> Result<bytes::Bytes, error::Error> {
        let body = serde_json::to_vec(request)
            .map_err(|cause| too_large(format!("request cannot be encoded: {cause}")))?;
        let limit = self.shared.limits.request_bytes;
        if body.len() > limit {
            let length = body.len();
            return Err(too_large(format!(
                "{length} bytes, expected at most {limit}"
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
        let permits = self.permits(address);
        let permit = tokio::time::timeout_at(deadline, permits.acquire_owned()).await;
        let Ok(Ok(_permit)) = permit else {
            return Err(not_sent(format!(
                "no connection to {address} was free in time"
            )));
        };
        let exchange = self.exchange(method, address, path, body);
        tokio::time::timeout_at(deadline, exchange)
            .await
            .unwrap_or_else(|_| Err(unanswered(format!("no answer from {address} in time"))))
    }

    fn permits(&self, address: &str) -> sync::Arc<tokio::sync::Semaphore> {
        let mut permits = self
            .shared
            .permits
            .lock()
            .unwrap_or_else(|lock| lock.into_inner());
        if let Some(found) = permits.get(address) {
            return sync::Arc::clone(found);
        }
        let created = sync::Arc::new(tokio::sync::Semaphore::new(self.shared.limits.connections));
        permits.insert(address.to_owned(), sync::Arc::clone(&created));
        created
    }

    async fn exchange(
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
            .map_err(|cause| not_sent(format!("address {address} makes no URI: {cause}")))?;
        self.shared.counters.count_sent(sent_bytes);
        let answer = self.client.request(request).await.map_err(|cause| {
            let context = format!("{address}: {cause}");
            if cause.is_connect() {
                not_sent(context)
            } else {
                unanswered(context)
            }
        })?;
        check_status(address, path, answer.status())?;
        self.collect(address, answer.into_body()).await
    }

    async fn collect(
        &self,
        address: &str,
        body: hyper::body::Incoming,
    ) -> Result<bytes::Bytes, error::Error> {
        let collected = http_body_util::Limited::new(body, self.shared.limits.answer_bytes)
            .collect()
            .await
            .map_err(|cause| unanswered(format!("answer of {address} broke off: {cause}")))?
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

fn decode<A: serde::de::DeserializeOwned>(
    address: &str,
    path: &str,
    answer: &[u8],
) -> Result<A, error::Error> {
    serde_json::from_slice(answer).map_err(|cause| {
        let context = format!("expected an answer to {path} from {address}: {cause}");
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
