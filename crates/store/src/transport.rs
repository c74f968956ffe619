//! HTTP calls to the addresses of the service.

use std::sync;
use std::sync::atomic;
use std::time;

use http_body_util::BodyExt as _;
use hyper_util::client::legacy;
use hyper_util::rt;

use crate::calls;
use crate::error;
use crate::wire;

/// Largest response body accepted, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

type Client = legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<bytes::Bytes>>;

/// Sends requests to the addresses in turn; clones share connections and state.
#[derive(Clone, Debug)]
pub(crate) struct Transport {
    client: Client,
    shared: sync::Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    addresses: Vec<String>,
    /// Index of the address to try first: the last that responded, or the one after a failed one.
    preferred_index: atomic::AtomicUsize,
    timeout: time::Duration,
    counters: calls::CallCounters,
}

impl Transport {
    /// Creates a transport with no connection yet.
    pub(crate) fn new(addresses: Vec<String>, timeout: time::Duration) -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout / 2));
        let client = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_timer(rt::TokioTimer::new())
            .build(connector);
        let shared = Shared {
            addresses,
            preferred_index: atomic::AtomicUsize::new(0),
            timeout,
            counters: calls::CallCounters::default(),
        };
        Self {
            client,
            shared: sync::Arc::new(shared),
        }
    }

    /// Returns the number of calls made so far.
    pub(crate) fn call_counts(&self) -> calls::CallCounts {
        self.shared.counters.snapshot()
    }

    /// Sends a request and decodes the whole response.
    pub(crate) async fn call<Q, R>(
        &self,
        kind: calls::CallKind,
        path: &str,
        request: &Q,
    ) -> Result<R, error::Error>
    where
        Q: serde::Serialize + Sync,
        R: serde::de::DeserializeOwned,
    {
        let body = encode_body(request)?;
        let response = self
            .try_addresses(kind, |address| self.exchange(address, path, &body))
            .await?;
        serde_json::from_slice(&response).map_err(|cause| {
            wire::protocol_error(format!("response to {path} cannot be decoded: {cause}"))
        })
    }

    /// Sends a request and returns the body of the response as a stream.
    pub(crate) async fn open<Q>(
        &self,
        path: &str,
        request: &Q,
    ) -> Result<hyper::body::Incoming, error::Error>
    where
        Q: serde::Serialize + Sync,
    {
        let body = encode_body(request)?;
        self.try_addresses(calls::CallKind::Watch, |address| async {
            let send = self.send(address, path, &body);
            tokio::time::timeout(self.shared.timeout, send)
                .await
                .map_err(|_| timeout_error(address))?
        })
        .await
    }

    /// Tries each address until one responds.
    ///
    /// A write is sent to the next address only if it was certainly not sent to the previous one.
    async fn try_addresses<'a, F, T>(
        &'a self,
        kind: calls::CallKind,
        attempt: impl Fn(&'a str) -> F,
    ) -> Result<T, error::Error>
    where
        F: Future<Output = Result<T, error::Error>>,
    {
        let mut last_error =
            error::Error::new(error::ErrorKind::Unavailable, "no address is configured");
        let first_index = self.shared.preferred_index.load(atomic::Ordering::Relaxed);
        let count = self.shared.addresses.len();
        for index in (0..count).map(|offset| (first_index + offset) % count) {
            self.shared.counters.count(kind);
            match attempt(&self.shared.addresses[index]).await {
                Ok(response) => {
                    self.shared
                        .preferred_index
                        .store(index, atomic::Ordering::Relaxed);
                    return Ok(response);
                }
                Err(cause) => last_error = cause,
            }
            if !may_try_next(kind, last_error.kind()) {
                self.shared
                    .preferred_index
                    .store((index + 1) % count, atomic::Ordering::Relaxed);
                return Err(last_error);
            }
        }
        Err(last_error)
    }

    async fn exchange(
        &self,
        address: &str,
        path: &str,
        body: &bytes::Bytes,
    ) -> Result<bytes::Bytes, error::Error> {
        let exchange = async {
            let response = self.send(address, path, body).await?;
            read_body(response, address).await
        };
        tokio::time::timeout(self.shared.timeout, exchange)
            .await
            .map_err(|_| timeout_error(address))?
    }

    /// Sends a request and checks the status of the response.
    async fn send(
        &self,
        address: &str,
        path: &str,
        body: &bytes::Bytes,
    ) -> Result<hyper::body::Incoming, error::Error> {
        let request = http::Request::post(format!("http://{address}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(http_body_util::Full::new(body.clone()))
            .map_err(|cause| {
                wire::protocol_error(format!("address {address} is not valid in a URI: {cause}"))
            })?;
        let response = self.client.request(request).await.map_err(|cause| {
            let kind = if cause.is_connect() {
                error::ErrorKind::Unavailable
            } else {
                error::ErrorKind::OutcomeUnknown
            };
            error::Error::new(kind, format!("{address}: {cause}"))
        })?;
        let status = response.status();
        if status.is_success() {
            return Ok(response.into_body());
        }
        // The service may have forwarded the write internally before a server error, so the outcome
        // is unknown.
        let kind = if status.is_server_error() {
            error::ErrorKind::OutcomeUnknown
        } else {
            error::ErrorKind::Protocol
        };
        Err(error::Error::new(
            kind,
            format!("{address} responded to {path} with status {status}"),
        ))
    }
}

/// Returns whether the next address may be tried after this failure.
fn may_try_next(kind: calls::CallKind, failure: error::ErrorKind) -> bool {
    match failure {
        error::ErrorKind::Unavailable => true,
        error::ErrorKind::OutcomeUnknown => kind != calls::CallKind::Write,
        _ => false,
    }
}

fn timeout_error(address: &str) -> error::Error {
    error::Error::new(
        error::ErrorKind::OutcomeUnknown,
        format!("no response from {address} in time"),
    )
}

fn encode_body(request: &impl serde::Serialize) -> Result<bytes::Bytes, error::Error> {
    serde_json::to_vec(request)
        .map(bytes::Bytes::from)
        .map_err(|cause| wire::protocol_error(format!("request cannot be encoded: {cause}")))
}

/// Reads the whole body of a response.
async fn read_body(
    response: hyper::body::Incoming,
    address: &str,
) -> Result<bytes::Bytes, error::Error> {
    http_body_util::Limited::new(response, MAX_RESPONSE_BYTES)
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .map_err(|cause| {
            let context = format!("response of {address} could not be read: {cause}");
            error::Error::new(error::ErrorKind::OutcomeUnknown, context)
        })
}
