//! The platform's directory over HTTP.

use std::time;

use crate::api;
use crate::error;
use crate::transport;

const MAX_CONNECTIONS: usize = 2;
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Reads the platform's directory; clones share connections.
#[derive(Clone, Debug)]
pub struct HttpDirectory {
    transport: transport::Transport,
    address: String,
    timeout: time::Duration,
}

impl HttpDirectory {
    /// Creates a client of the directory at `address`, a `host:port`; each read ends within
    /// `timeout`.
    #[must_use]
    pub fn new(address: impl Into<String>, timeout: impl Into<time::Duration>) -> Self {
        let timeout = timeout.into();
        let limits = transport::Limits {
            max_connections: MAX_CONNECTIONS,
            connect_timeout: timeout,
            max_request_bytes: 0,
            max_response_bytes: MAX_RESPONSE_BYTES,
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
