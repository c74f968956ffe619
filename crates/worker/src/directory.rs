//! The instance list over HTTP.

use std::time;

use crate::api;
use crate::error;
use crate::transport;

const CONNECTIONS: usize = 2;
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Reads the platform's list; clones share connections.
#[derive(Clone, Debug)]
pub struct HttpDirectory {
    transport: transport::Transport,
    address: String,
    timeout: time::Duration,
}

impl HttpDirectory {
    /// Creates a client of the list at `address`, a `host:port`; each read ends within `timeout`.
    #[must_use]
    pub fn new(address: impl Into<String>, timeout: impl Into<time::Duration>) -> Self {
        let timeout = timeout.into();
        let limits = transport::Limits {
            connections: CONNECTIONS,
            connect_timeout: timeout,
            request_bytes: 0,
            answer_bytes: MAX_ANSWER_BYTES,
        };
        Self {
            transport: transport::Transport::new(limits),
            address: address.into(),
            timeout,
        }
    }
}

impl api::Directory for HttpDirectory {
    async fn list(&self) -> Result<Vec<model::DirectoryEntry>, error::Error> {
        self.transport
            .get(&self.address, "/v1/machines", self.timeout)
            .await
    }
}
