//! Orders to workers over HTTP.

use std::time;

use crate::api;
use crate::error;
use crate::traffic;
use crate::transport;

const DEFAULT_CONNECTIONS: usize = 8;
const DEFAULT_CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
const DEFAULT_REQUEST_BYTES: usize = 16 << 20;
const DEFAULT_ANSWER_BYTES: usize = 64 << 20;

/// Sends orders to workers; clones share connections and counters.
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
    /// Starts to build a client.
    pub fn builder() -> HttpWorkersBuilder {
        let limits = transport::Limits {
            connections: DEFAULT_CONNECTIONS,
            connect_timeout: DEFAULT_CONNECT_TIMEOUT,
            request_bytes: DEFAULT_REQUEST_BYTES,
            answer_bytes: DEFAULT_ANSWER_BYTES,
        };
        HttpWorkersBuilder { limits }
    }

    /// Returns the traffic so far, over all clones.
    #[must_use]
    pub fn traffic(&self) -> traffic::Traffic {
        self.transport.traffic()
    }
}

impl HttpWorkersBuilder {
    /// Sets the number of connections to one worker, at least 2: a waiting renewal takes one.
    pub fn connections(mut self, connections: impl Into<usize>) -> Self {
        self.limits.connections = connections.into().max(2);
        self
    }

    /// Sets the longest time to make a connection; a call's own timeout still bounds the whole.
    pub fn connect_timeout(mut self, timeout: impl Into<time::Duration>) -> Self {
        self.limits.connect_timeout = timeout.into();
        self
    }

    /// Sets the largest request body, in bytes.
    pub fn request_bytes(mut self, bytes: impl Into<usize>) -> Self {
        self.limits.request_bytes = bytes.into();
        self
    }

    /// Sets the largest answer body, in bytes.
    pub fn answer_bytes(mut self, bytes: impl Into<usize>) -> Self {
        self.limits.answer_bytes = bytes.into();
        self
    }

    /// Builds the client; it connects at the first call to each worker.
    #[must_use]
    pub fn build(self) -> HttpWorkers {
        HttpWorkers {
            transport: transport::Transport::new(self.limits),
        }
    }
}

/// Stands for an answer without content that matters.
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
        let context = format!("{address} gave {got} verdicts, expected {expected}");
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
