//! A TCP relay between two addresses, with a delay and fault injection.

use std::future;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net as tokio_net;

use crate::error;
use crate::faults;
use crate::listener;

const CHUNK_BYTES: usize = 16 << 10;
/// Chunks buffered per direction of a connection before reading pauses.
const MAX_CHUNKS_IN_FLIGHT: usize = 256;

/// Traffic counters of a relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RelayTraffic {
    /// Connections accepted.
    pub connections: u64,
    /// Bytes forwarded from clients to the target.
    pub forward_bytes: u64,
    /// Bytes forwarded from the target to clients.
    pub backward_bytes: u64,
}

/// Forwards TCP connections to a target. Data is delayed in both directions, connecting is not.
#[derive(Debug)]
pub struct Relay {
    service: sync::Arc<RelayService>,
    listener: listener::Listener,
}

impl Relay {
    /// Starts a relay from `address` to `target` with a one-way `delay`; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(
        address: net::SocketAddr,
        target: net::SocketAddr,
        delay: time::Duration,
    ) -> Result<Self, error::Error> {
        let service = sync::Arc::new(RelayService {
            target,
            delay,
            faults: sync::Mutex::default(),
            connections: atomic::AtomicU64::new(0),
            last_silenced_connection: atomic::AtomicU64::new(0),
            forward_bytes: atomic::AtomicU64::new(0),
            backward_bytes: atomic::AtomicU64::new(0),
        });
        let listener = listener::Listener::start(address, sync::Arc::clone(&service))?;
        Ok(Self { service, listener })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.listener.address()
    }

    /// Replaces the faults; they apply once this returns.
    pub async fn set_faults(&self, faults: faults::RelayFaults) {
        *self.service.faults() = faults;
        if faults.silent_existing {
            let accepted = self.service.connections.load(atomic::Ordering::SeqCst);
            self.service
                .last_silenced_connection
                .store(accepted, atomic::Ordering::SeqCst);
        }
        self.listener.set_open(!faults.cut).await;
    }

    /// Returns the traffic counters.
    #[must_use]
    pub fn traffic(&self) -> RelayTraffic {
        RelayTraffic {
            connections: self.service.connections.load(atomic::Ordering::SeqCst),
            forward_bytes: self.service.forward_bytes.load(atomic::Ordering::Relaxed),
            backward_bytes: self.service.backward_bytes.load(atomic::Ordering::Relaxed),
        }
    }

    /// Closes all connections and joins all tasks.
    pub async fn shutdown(self) {
        self.listener.shutdown().await;
    }
}

#[derive(Debug)]
struct RelayService {
    target: net::SocketAddr,
    delay: time::Duration,
    faults: sync::Mutex<faults::RelayFaults>,
    /// Connections accepted, which is also the number of the latest connection.
    connections: atomic::AtomicU64,
    /// This connection and all accepted before it never forward data again; 0 if none.
    last_silenced_connection: atomic::AtomicU64,
    forward_bytes: atomic::AtomicU64,
    backward_bytes: atomic::AtomicU64,
}

impl RelayService {
    fn faults(&self) -> sync::MutexGuard<'_, faults::RelayFaults> {
        self.faults
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn is_silent(&self, connection_number: u64) -> bool {
        connection_number <= self.last_silenced_connection.load(atomic::Ordering::SeqCst)
            || self.faults().silent
    }

    fn delay(&self) -> time::Duration {
        self.delay + time::Duration::from_millis(self.faults().delay_ms)
    }
}

impl listener::ConnectionHandler for RelayService {
    async fn handle(&self, stream: tokio_net::TcpStream) {
        let connection_number = self.connections.fetch_add(1, atomic::Ordering::SeqCst) + 1;
        let Ok(target) = tokio_net::TcpStream::connect(self.target).await else {
            return;
        };
        // Best effort: without TCP_NODELAY data only takes longer.
        let _ = (stream.set_nodelay(true), target.set_nodelay(true));
        let (client_read, client_write) = stream.into_split();
        let (target_read, target_write) = target.into_split();
        let forward = Direction {
            service: self,
            connection_number,
            byte_count: &self.forward_bytes,
        };
        let backward = Direction {
            service: self,
            connection_number,
            byte_count: &self.backward_bytes,
        };
        tokio::join!(
            forward.forward(client_read, target_write),
            backward.forward(target_read, client_write),
        );
    }
}

struct Chunk {
    due_at: tokio::time::Instant,
    data: bytes::Bytes,
}

struct Direction<'a> {
    service: &'a RelayService,
    connection_number: u64,
    byte_count: &'a atomic::AtomicU64,
}

impl Direction<'_> {
    async fn forward(
        &self,
        from: tokio_net::tcp::OwnedReadHalf,
        to: tokio_net::tcp::OwnedWriteHalf,
    ) {
        let (sender, receiver) = tokio::sync::mpsc::channel(MAX_CHUNKS_IN_FLIGHT);
        tokio::join!(
            self.read_chunks(from, sender),
            self.write_chunks(to, receiver)
        );
    }

    /// Reads until the end of the stream; data that arrives while silent is discarded.
    async fn read_chunks(
        &self,
        mut from: tokio_net::tcp::OwnedReadHalf,
        chunks: tokio::sync::mpsc::Sender<Chunk>,
    ) {
        loop {
            let mut buffer = bytes::BytesMut::with_capacity(CHUNK_BYTES);
            let length = from.read_buf(&mut buffer).await.unwrap_or(0);
            if self.service.is_silent(self.connection_number) {
                self.hang_at_end_of_stream(length).await;
                continue;
            }
            if length == 0 {
                return;
            }
            self.byte_count
                .fetch_add(length as u64, atomic::Ordering::Relaxed);
            let due_at = tokio::time::Instant::now() + self.service.delay();
            if chunks
                .send(Chunk {
                    due_at,
                    data: buffer.freeze(),
                })
                .await
                .is_err()
            {
                return;
            }
        }
    }

    /// Never returns at the end of the stream, so that the other side does not see it.
    async fn hang_at_end_of_stream(&self, length: usize) {
        if length == 0 {
            future::pending::<()>().await;
        }
    }

    /// Writes each chunk when it is due, then shuts down this direction.
    async fn write_chunks(
        &self,
        mut to: tokio_net::tcp::OwnedWriteHalf,
        mut chunks: tokio::sync::mpsc::Receiver<Chunk>,
    ) {
        while let Some(chunk) = chunks.recv().await {
            tokio::time::sleep_until(chunk.due_at).await;
            if self.service.is_silent(self.connection_number) {
                continue;
            }
            if to.write_all(&chunk.data).await.is_err() {
                return;
            }
        }
        if self.service.is_silent(self.connection_number) {
            future::pending::<()>().await;
        }
        // Fails only if the other side has closed the connection.
        let _ = to.shutdown().await;
    }
}
