//! Server side of a link: accepts connections.

use std::net;
use std::sync;
use std::time;

use tokio::task;
use tokio_util::sync::CancellationToken;

use crate::counts;
use crate::handler;
use crate::identity;
use crate::new_sessions;
use crate::received;
use crate::session;

/// Largest message unless set otherwise, in bytes.
const DEFAULT_MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;
/// Flow control window of a stream, in bytes: the largest message with some margin.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 9 * 1024 * 1024;
/// Flow control window of a connection, in bytes: several messages of the largest size at once.
pub(crate) const CONNECTION_WINDOW_BYTES: u32 = 36 * 1024 * 1024;
/// Data buffered for sending on a stream, in bytes.
pub(crate) const SEND_BUFFER_BYTES: usize = 1024 * 1024;
/// Maximum number of connections: one from each instance, and old ones until they are dropped.
const MAX_CONNECTIONS: usize = 4096;
/// Bytes of requests received and not handled unless set otherwise: no bound, as only the program
/// knows its machine.
const DEFAULT_MAX_RECEIVED_BYTES: usize = usize::MAX;
/// Unauthenticated connections unless set otherwise; an instance authenticates at once, so that this
/// many are there only if hundreds of instances connect at the same time.
const DEFAULT_MAX_NEW_CONNECTIONS: usize = 64;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Answers the requests of other instances; clones share the counters.
#[derive(Clone, Debug)]
pub struct Server {
    identity: identity::Identity,
    max_message_bytes: usize,
    received: received::ReceivedBytes,
    max_new_connections: usize,
    counters: sync::Arc<counts::Counters>,
}

impl Server {
    /// Creates a server that accepts only links with the same cluster name and secret.
    #[must_use]
    pub fn new(identity: identity::Identity) -> Self {
        Self {
            identity,
            max_message_bytes: DEFAULT_MAX_MESSAGE_BYTES,
            received: received::ReceivedBytes::new(DEFAULT_MAX_RECEIVED_BYTES),
            max_new_connections: DEFAULT_MAX_NEW_CONNECTIONS,
            counters: sync::Arc::default(),
        }
    }

    /// Sets the largest message sent or accepted, in bytes.
    #[must_use]
    pub fn max_message_bytes(mut self, bytes: impl Into<usize>) -> Self {
        self.max_message_bytes = bytes.into();
        self
    }

    /// Sets the most bytes of requests that are received and not handled, over all connections. A
    /// request beyond it is refused before it is handled, so that the sender may repeat it.
    #[must_use]
    pub fn max_received_bytes(mut self, bytes: impl Into<usize>) -> Self {
        self.received = received::ReceivedBytes::new(bytes.into());
        self
    }

    /// Sets the maximum number of connections that are not authenticated; the oldest one is closed
    /// for a further one.
    #[must_use]
    pub fn max_new_connections(mut self, count: impl Into<usize>) -> Self {
        self.max_new_connections = count.into();
        self
    }

    /// Serves connections until `shutdown`; returns once every open stream is answered.
    ///
    /// On shutdown each connection announces that no new streams are accepted. Requests that are
    /// being handled are answered first, however long that takes. A handler is never cancelled, not
    /// even when its connection is lost. The listener is closed first, so heartbeats of other
    /// instances fail from then on; for this reason a planned stop does this last.
    pub async fn serve<H: handler::Handler>(
        &self,
        listener: tokio::net::TcpListener,
        handler: H,
        shutdown: CancellationToken,
    ) {
        let mut sessions = task::JoinSet::new();
        let new_sessions = new_sessions::NewSessions::new(self.max_new_connections, &self.counters);
        loop {
            tokio::select! {
                () = shutdown.cancelled() => break,
                Some(_) = sessions.join_next() => {}
                accepted = listener.accept(), if sessions.len() < MAX_CONNECTIONS => {
                    match accepted {
                        Ok((stream, remote)) => {
                            let session = self.session(handler.clone(), remote, shutdown.clone());
                            sessions.spawn(session.run(stream, new_sessions.add(remote)));
                        }
                        Err(cause) => {
                            log::warn!("event=peer_accept_failed cause={cause:?}");
                            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                        }
                    }
                }
            }
        }
        drop(listener);
        while sessions.join_next().await.is_some() {}
    }

    /// Returns the counters since the server was created.
    #[must_use]
    pub fn counts(&self) -> counts::Counts {
        self.counters.snapshot()
    }

    fn session<H: handler::Handler>(
        &self,
        handler: H,
        remote: net::SocketAddr,
        shutdown: CancellationToken,
    ) -> session::Session<H> {
        session::Session {
            identity: self.identity.clone(),
            max_message_bytes: self.max_message_bytes,
            received: self.received.clone(),
            counters: sync::Arc::clone(&self.counters),
            handler,
            remote,
            shutdown,
        }
    }
}
