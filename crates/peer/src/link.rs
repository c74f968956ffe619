//! Client side of a link: sends requests.

use std::sync;
use std::sync::atomic;
use std::time;

use h2::client;
use tokio::net;
use tokio_util::sync::CancellationToken;
use tokio_util::task;

use crate::channel;
use crate::codec;
use crate::counts;
use crate::error;
use crate::exchange;
use crate::handshake;
use crate::identity;
use crate::message;
use crate::server;

/// Maximum number of concurrent requests on one connection until the other end sends its own limit.
const INITIAL_MAX_STREAMS: usize = 1024;
/// Maximum number of connections tried for one request: the first may turn out to be closed.
const MAX_CONNECTION_ATTEMPTS: u32 = 2;

/// Settings of a [`Link`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkSettings {
    /// Time within which a new connection must be ready for requests.
    pub connect_timeout: time::Duration,
    /// Largest message sent or accepted, in bytes.
    pub max_message_bytes: usize,
}

/// Sends requests to one other instance.
///
/// Clones share one connection, which is opened by the first request and reopened after a loss.
#[derive(Clone, Debug)]
pub struct Link {
    shared: sync::Arc<Shared>,
}

impl Link {
    /// Creates a link to the peer listener at `address`; connects at the first request.
    #[must_use]
    pub fn new(
        identity: identity::Identity,
        address: impl Into<String>,
        settings: LinkSettings,
    ) -> Self {
        Self {
            shared: sync::Arc::new(Shared {
                identity,
                address: address.into(),
                settings,
                counters: counts::Counters::default(),
                current: sync::Mutex::new(None),
                connecting: tokio::sync::Mutex::new(()),
                next_id: atomic::AtomicU64::new(0),
                stop: CancellationToken::new(),
                connection_tasks: task::TaskTracker::new(),
            }),
        }
    }

    /// Sends a request and waits for its response.
    ///
    /// A heartbeat that is not answered in time replaces the connection, see [`Link::replace`].
    ///
    /// # Errors
    ///
    /// The kind of the error tells whether the other end may have handled the request; see
    /// [`error::Error::is_unhandled`].
    pub async fn request<M: message::Message>(
        &self,
        request: &M,
        timeout: time::Duration,
    ) -> Result<M::Response, error::Error> {
        let mut progress = exchange::Progress::default();
        let response = self.shared.exchange(request, &mut progress);
        if let Ok(response) = tokio::time::timeout(timeout, response).await {
            return response;
        }
        if request.is_heartbeat() {
            self.shared.replace(progress.connection_id);
        }
        Err(progress.failure(format!(
            "no response from {} within {} ms",
            self.shared.address,
            timeout.as_millis()
        )))
    }

    /// Opens a channel on the link's connection; it ends with the connection.
    ///
    /// # Errors
    ///
    /// Fails if the other end cannot be reached, does not answer in time, or refuses.
    pub async fn open_channel(
        &self,
        timeout: time::Duration,
    ) -> Result<channel::Channel, error::Error> {
        let mut progress = exchange::Progress::default();
        let opening = self.shared.open_channel(&mut progress);
        if let Ok(opened) = tokio::time::timeout(timeout, opening).await {
            return opened;
        }
        let context = format!(
            "{} did not open a channel within {} ms",
            self.shared.address,
            timeout.as_millis()
        );
        Err(progress.failure(context))
    }

    /// Drops the connection; requests in flight fail, as unanswered if they were sent, and the next
    /// one reconnects.
    pub fn replace(&self) {
        let current_id = lock(&self.shared.current)
            .as_ref()
            .map(|current| current.id);
        self.shared.replace(current_id);
    }

    /// Closes the link permanently and waits until the tasks of its connections have ended.
    pub async fn close(&self) {
        self.shared.stop.cancel();
        self.shared.connection_tasks.close();
        self.shared.connection_tasks.wait().await;
    }

    /// Returns the address of the other end.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.shared.address
    }

    /// Returns the counters since the link was created; clones share them.
    #[must_use]
    pub fn counts(&self) -> counts::Counts {
        self.shared.counters.snapshot()
    }
}

/// An open connection that the other end has accepted.
#[derive(Clone, Debug)]
struct Connection {
    id: u64,
    sender: client::SendRequest<bytes::Bytes>,
    /// Ends the connection's task, and with it every request in flight.
    stop: CancellationToken,
}

#[derive(Debug)]
struct Shared {
    identity: identity::Identity,
    address: String,
    settings: LinkSettings,
    counters: counts::Counters,
    current: sync::Mutex<Option<Connection>>,
    /// Locked while a connection is opened, so that only one is opened at a time.
    connecting: tokio::sync::Mutex<()>,
    next_id: atomic::AtomicU64,
    /// Parent of every connection's token.
    stop: CancellationToken,
    connection_tasks: task::TaskTracker,
}

impl Drop for Shared {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl Shared {
    async fn exchange<M: message::Message>(
        &self,
        request: &M,
        progress: &mut exchange::Progress,
    ) -> Result<M::Response, error::Error> {
        let category = counts::Category::of(request);
        let max_bytes = self.settings.max_message_bytes;
        let message = codec::encode(request, max_bytes).ok_or_else(|| too_large(max_bytes))?;
        let mut sender = self.ready_sender(progress).await?;
        self.counters.count_sent(category, message.len());
        let response = exchange::round_trip(&mut sender, message, max_bytes, progress).await?;
        self.counters.count_received(category, response.len());
        codec::decode(&response)
            .ok_or_else(|| exchange::protocol_error("response cannot be decoded"))
    }

    async fn open_channel(
        &self,
        progress: &mut exchange::Progress,
    ) -> Result<channel::Channel, error::Error> {
        let mut sender = self.ready_sender(progress).await?;
        let max_bytes = self.settings.max_message_bytes;
        exchange::open_channel(&mut sender, max_bytes, progress).await
    }

    async fn ready_sender(
        &self,
        progress: &mut exchange::Progress,
    ) -> Result<client::SendRequest<bytes::Bytes>, error::Error> {
        for _ in 0..MAX_CONNECTION_ATTEMPTS {
            let connection = self.connection().await?;
            progress.connection_id = Some(connection.id);
            match connection.sender.ready().await {
                Ok(sender) => return Ok(sender),
                Err(_) => drop(self.detach(connection.id)),
            }
        }
        Err(not_sent(format!(
            "{} closed the connection before the request was sent",
            self.address
        )))
    }

    async fn connection(&self) -> Result<Connection, error::Error> {
        if let Some(current) = self.current() {
            return Ok(current);
        }
        let _connecting = self.connecting.lock().await;
        if let Some(current) = self.current() {
            return Ok(current);
        }
        let connect = tokio::time::timeout(self.settings.connect_timeout, self.connect());
        let connection = match connect.await {
            Ok(connected) => connected?,
            Err(_) => {
                return Err(not_sent(format!(
                    "connection to {} not established in time",
                    self.address
                )));
            }
        };
        self.counters.count_connection();
        *lock(&self.current) = Some(connection.clone());
        Ok(connection)
    }

    async fn connect(&self) -> Result<Connection, error::Error> {
        if self.stop.is_cancelled() {
            return Err(not_sent(format!("link to {} is closed", self.address)));
        }
        let stream = net::TcpStream::connect(&self.address)
            .await
            .map_err(|cause| self.connect_failure(&cause))?;
        let _ = stream.set_nodelay(true);
        let (sender, driver) = client::Builder::new()
            .initial_window_size(server::STREAM_WINDOW_BYTES)
            .initial_connection_window_size(server::CONNECTION_WINDOW_BYTES)
            .initial_max_send_streams(INITIAL_MAX_STREAMS)
            .max_send_buffer_size(server::SEND_BUFFER_BYTES)
            .enable_push(false)
            .handshake::<_, bytes::Bytes>(stream)
            .await
            .map_err(|cause| not_sent(format!("connection to {} failed: {cause}", self.address)))?;
        let stop = self.stop.child_token();
        // Ends the task if the hello fails or is cancelled.
        let guard = stop.clone().drop_guard();
        self.connection_tasks.spawn(drive_connection(driver, stop));
        let sender = self.send_hello(sender).await?;
        Ok(Connection {
            id: self.next_id.fetch_add(1, atomic::Ordering::Relaxed),
            sender,
            stop: guard.disarm(),
        })
    }

    async fn send_hello(
        &self,
        sender: client::SendRequest<bytes::Bytes>,
    ) -> Result<client::SendRequest<bytes::Bytes>, error::Error> {
        let failed =
            |cause: h2::Error| not_sent(format!("hello to {} failed: {cause}", self.address));
        let hello = handshake::hello(&self.identity)
            .ok_or_else(|| not_sent("identity is not valid as HTTP header values"))?;
        let mut sender = sender.ready().await.map_err(failed)?;
        let (response, _) = sender.send_request(hello, true).map_err(failed)?;
        let response = response.await.map_err(failed)?;
        if let Some(reason) = handshake::refusal_reason(&response) {
            self.counters.count_refusal(reason);
            log::warn!(
                "event=peer_refused_us address={} reason={reason}",
                self.address
            );
            return Err(exchange::refused_error(reason));
        }
        if response.status() != http::StatusCode::OK {
            let status = response.status();
            return Err(not_sent(format!(
                "{} rejected the hello with status {status}",
                self.address
            )));
        }
        Ok(sender)
    }

    fn connect_failure(&self, cause: &std::io::Error) -> error::Error {
        let context = format!("cannot connect to {}: {cause}", self.address);
        match cause.kind() {
            std::io::ErrorKind::ConnectionRefused => error::Error::connection_refused(context),
            _ => not_sent(context),
        }
    }

    fn current(&self) -> Option<Connection> {
        lock(&self.current).clone()
    }

    /// Makes the next request reconnect; requests in flight on the old connection continue.
    fn detach(&self, id: u64) -> Option<Connection> {
        let mut current = lock(&self.current);
        current.take_if(|connection| connection.id == id)
    }

    fn replace(&self, id: Option<u64>) {
        let Some(connection) = id.and_then(|id| self.detach(id)) else {
            return;
        };
        connection.stop.cancel();
        self.counters.count_replacement();
        log::info!("event=peer_connection_replaced address={}", self.address);
    }
}

async fn drive_connection(
    connection: client::Connection<net::TcpStream, bytes::Bytes>,
    stop: CancellationToken,
) {
    tokio::select! {
        ended = connection => {
            if let Err(cause) = ended {
                log::debug!("event=peer_connection_ended cause={cause:?}");
            }
        }
        () = stop.cancelled() => {}
    }
}

fn lock(current: &sync::Mutex<Option<Connection>>) -> sync::MutexGuard<'_, Option<Connection>> {
    current.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

fn not_sent(context: impl Into<String>) -> error::Error {
    error::Error::new(error::ErrorKind::NotSent, context)
}

fn too_large(limit_bytes: usize) -> error::Error {
    error::Error::new(
        error::ErrorKind::TooLarge,
        format!("request is larger than {limit_bytes} bytes"),
    )
}
