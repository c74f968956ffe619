//! HTTP client for the APIs of instances.

use std::net;
use std::time;

use http_body_util::BodyExt as _;
use hyper_util::client::legacy;
use hyper_util::rt;

use crate::error;

const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Largest response body that is accepted, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

type Client = legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<bytes::Bytes>>;

/// Sends requests to instances.
pub(crate) struct HttpClient {
    inner: Client,
}

/// One request to an instance.
pub(crate) struct Request<'a> {
    method: http::Method,
    address: net::SocketAddr,
    path: &'a str,
    bearer_token: &'a str,
    body: bytes::Bytes,
}

/// A response with its whole body.
pub(crate) struct Response {
    address: net::SocketAddr,
    pub(crate) status: http::StatusCode,
    pub(crate) body: bytes::Bytes,
}

impl<'a> Request<'a> {
    pub(crate) fn new(
        method: http::Method,
        address: net::SocketAddr,
        path: &'a str,
        bearer_token: &'a str,
    ) -> Self {
        Self {
            method,
            address,
            path,
            bearer_token,
            body: bytes::Bytes::new(),
        }
    }

    pub(crate) fn body(mut self, body: impl Into<bytes::Bytes>) -> Self {
        self.body = body.into();
        self
    }

    fn into_http_request(
        self,
    ) -> Result<http::Request<http_body_util::Full<bytes::Bytes>>, error::Error> {
        let request = http::Request::builder()
            .method(self.method)
            .uri(format!("http://{}{}", self.address, self.path))
            .header(
                http::header::AUTHORIZATION,
                format!("Bearer {}", self.bearer_token),
            )
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(http_body_util::Full::new(self.body));
        // The cause is left out because it could quote the secret.
        request.map_err(|_| {
            let message =
                "the token or path is not valid in an HTTP request, expected printable ASCII";
            error::Error::usage(message)
        })
    }
}

impl HttpClient {
    pub(crate) fn new() -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let builder = legacy::Client::builder(rt::TokioExecutor::new());
        Self {
            inner: builder.build(connector),
        }
    }

    /// Sends `request` and reads the whole response within `timeout`.
    ///
    /// Fails with [`error::ErrorKind::Unreachable`] if no connection was made, so that the request
    /// was certainly not sent, and with [`error::ErrorKind::Unknown`] if the response is lost.
    pub(crate) async fn send(
        &self,
        request: Request<'_>,
        timeout: time::Duration,
    ) -> Result<Response, error::Error> {
        let address = request.address;
        let http_request = request.into_http_request()?;
        let exchange = self.exchange(address, http_request);
        let timed_out = |_| {
            let message = format!(
                "{address} did not respond within {} ms",
                timeout.as_millis()
            );
            error::Error::new(error::ErrorKind::Unknown, message)
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .map_err(timed_out)?
    }

    async fn exchange(
        &self,
        address: net::SocketAddr,
        request: http::Request<http_body_util::Full<bytes::Bytes>>,
    ) -> Result<Response, error::Error> {
        let response = self.inner.request(request).await.map_err(|reason| {
            if reason.is_connect() {
                let message = format!("cannot connect to {address}");
                error::Error::new(error::ErrorKind::Unreachable, message)
            } else {
                connection_lost(address)
            }
        })?;
        let (head, body) = response.into_parts();
        let body = http_body_util::Limited::new(body, MAX_RESPONSE_BYTES);
        let body = body.collect().await.map_err(|_| connection_lost(address))?;
        Ok(Response {
            address,
            status: head.status,
            body: body.to_bytes(),
        })
    }
}

impl Response {
    /// Fails unless the status is a success status.
    pub(crate) fn expect_success(&self) -> Result<(), error::Error> {
        if self.status.is_success() {
            return Ok(());
        }
        let (address, status) = (self.address, self.status);
        let hint = match status {
            http::StatusCode::UNAUTHORIZED => ", expected the cluster's secret",
            _ => "",
        };
        let message = format!("{address} responded with status {status}{hint}");
        Err(error::Error::refused(message))
    }

    /// Parses the body as JSON.
    pub(crate) fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T, error::Error> {
        serde_json::from_slice(&self.body).map_err(|reason| {
            let (address, status) = (self.address, self.status);
            let message = format!(
                "{address} responded with status {status} and an unexpected body: {reason}"
            );
            error::Error::refused(message)
        })
    }
}

fn connection_lost(address: net::SocketAddr) -> error::Error {
    let message = format!("the connection to {address} was lost before the response was complete");
    error::Error::new(error::ErrorKind::Unknown, message)
}
