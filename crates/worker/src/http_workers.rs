//! Calls to workers over HTTP.

use std::time;

use crate::api;
use crate::error;
use crate::traffic;
use crate::transport;

const DEFAULT_MAX_CONNECTIONS: usize = 8;
const DEFAULT_CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
const DEFAULT_MAX_REQUEST_BYTES: usize = 16 << 20;
const DEFAULT_MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Sends requests to workers; clones share connections and counters.
#[derive(Clone, Debug)]
pub struct HttpWorkers {
    transport: transport::Transport,
}

/// Builds [`HttpWorkers`].
#[derive(Clone, Debug)]
#[must_use]
pub struct HttpWorkersBuilder {
    limits: transport::Limits,
}

impl HttpWorkers {
    /// Returns a builder with the default limits.
    pub fn builder() -> HttpWorkersBuilder {
        let limits = transport::Limits {
            max_connections: DEFAULT_MAX_CONNECTIONS,
            connect_timeout: DEFAULT_CONNECT_TIMEOUT,
            max_request_bytes: DEFAULT_MAX_REQUEST_BYTES,
            max_response_bytes: DEFAULT_MAX_RESPONSE_BYTES,
        };
        HttpWorkersBuilder { limits }
    }

    /// Returns the traffic of all clones since the client was built.
    #[must_use]
    pub fn traffic(&self) -> traffic::Traffic {
        self.transport.traffic()
    }
}

impl HttpWorkersBuilder {
    /// Sets the maximum number of connections to one worker, at least 2: a long-polling renewal
    /// occupies one.
    pub fn connections(mut self, connections: impl Into<usize>) -> Self {
        self.limits.max_connections = connections.into().max(2);
        self
    }

    /// Sets the connect timeout; the call's own timeout still bounds the call as a whole.
    pub fn connect_timeout(mut self, timeout: impl Into<time::Duration>) -> Self {
        self.limits.connect_timeout = timeout.into();
        self
    }

    /// Sets the largest request body, in bytes.
    pub fn max_request_bytes(mut self, bytes: impl Into<usize>) -> Self {
        self.limits.max_request_bytes = bytes.into();
        self
    }

    /// Sets the largest response body, in bytes.
    pub fn max_response_bytes(mut self, bytes: impl Into<usize>) -> Self {
        self.limits.max_response_bytes = bytes.into();
        self
    }

    /// Builds the client, which connects on the first call to each worker.
    #[must_use]
    pub fn build(self) -> HttpWorkers {
        HttpWorkers {
            transport: transport::Transport::new(self.limits),
        }
    }
}

/// A response whose content is ignored.
#[derive(Debug, serde::Deserialize)]
struct Empty {}

impl api::WorkerApi for HttpWorkers {
    async fn lease(
        &self,
        address: &str,
        request: &model::LeaseRequest,
        timeout: time::Duration,
    ) -> Result<model::LeaseReply, error::Error> {
        self.transport
            .post(address, "/v1/lease", request, timeout)
            .await
    }

    async fn release(
        &self,
        address: &str,
        request: &model::ReleaseRequest,
        timeout: time::Duration,
    ) -> Result<(), error::Error> {
        let _: Empty = self
            .transport
            .post(address, "/v1/release", request, timeout)
            .await?;
        Ok(())
    }

    async fn start(
        &self,
        address: &str,
        request: &model::StartRequest,
        timeout: time::Duration,
    ) -> Result<model::StartReply, error::Error> {
        let reply: model::StartReply = self
            .transport
            .post(address, "/v1/start", request, timeout)
            .await?;
        let (expected, got) = (request.runs.len(), reply.verdicts.len());
        if expected == got {
            return Ok(reply);
        }
        let context = format!("{address} returned {got} verdicts, expected {expected}");
        Err(error::Error::new(error::ErrorKind::Protocol, context))
    }

    async fn stop(
        &self,
        address: &str,
        request: &model::StopRequest,
        timeout: time::Duration,
    ) -> Result<model::StopReply, error::Error> {
        self.transport
            .post(address, "/v1/stop", request, timeout)
            .await
    }

    async fn throttle(
        &self,
        address: &str,
        request: &model::ThrottleRequest,
        timeout: time::Duration,
    ) -> Result<(), error::Error> {
        let _: Empty = self
            .transport
            .post(address, "/v1/throttle", request, timeout)
            .await?;
        Ok(())
    }

    async fn checkpoint(
        &self,
        address: &str,
        request: &model::StopRequest,
        timeout: time::Duration,
    ) -> Result<model::StopReply, error::Error> {
        self.transport
            .post(address, "/v1/checkpoint", request, timeout)
            .await
    }
}
