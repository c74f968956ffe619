//! TCP listeners that can be closed and reopened without losing their port.

use std::future;
use std::net;
use std::sync;
use std::time;

use tokio::net as tokio_net;
use tokio_util::sync as tokio_sync;

use crate::error;

const BACKLOG: u32 = 1024;
const REOPEN_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Handles the connections of a [`Listener`].
pub(crate) trait ConnectionHandler: Send + Sync + 'static {
    /// Handles `stream` until it is closed. The future is dropped when the listener closes.
    fn handle(&self, stream: tokio_net::TcpStream) -> impl future::Future<Output = ()> + Send;
}

/// A TCP listener whose connections are accepted in a separate task.
#[derive(Debug)]
pub(crate) struct Listener {
    address: net::SocketAddr,
    requested_open: tokio::sync::watch::Sender<bool>,
    actual_open: tokio::sync::watch::Receiver<bool>,
    stop: tokio_sync::CancellationToken,
    task: tokio::task::JoinHandle<()>,
}

impl Listener {
    /// Listens on `address` and passes each connection to `handler`.
    pub(crate) fn start<S: ConnectionHandler>(
        address: net::SocketAddr,
        handler: sync::Arc<S>,
    ) -> Result<Self, error::Error> {
        let reserving_socket = bind(address).map_err(|cause| cannot_listen(address, &cause))?;
        let address = reserving_socket
            .local_addr()
            .map_err(|cause| cannot_listen(address, &cause))?;
        let initial = listen(address).map_err(|cause| cannot_listen(address, &cause))?;
        let (requested_open, requested_open_changes) = tokio::sync::watch::channel(true);
        let (actual_open_sender, actual_open) = tokio::sync::watch::channel(true);
        let stop = tokio_sync::CancellationToken::new();
        let acceptor = Acceptor {
            reserving_socket,
            address,
            handler,
            requested_open: requested_open_changes,
            actual_open_sender,
            stop: stop.clone(),
        };
        let task = tokio::spawn(acceptor.run(initial));
        Ok(Self {
            address,
            requested_open,
            actual_open,
            stop,
            task,
        })
    }

    /// Returns the bound address.
    pub(crate) fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Opens or closes the listener, and waits until that has taken effect.
    pub(crate) async fn set_open(&self, open: bool) {
        self.requested_open
            .send_if_modified(|requested_open| std::mem::replace(requested_open, open) != open);
        let mut actual_open = self.actual_open.clone();
        // Fails only after the acceptor has ended, and then there is nothing to wait for.
        let _ = actual_open.wait_for(|is_open| *is_open == open).await;
    }

    /// Closes the listener and its connections, and joins their tasks.
    pub(crate) async fn shutdown(self) {
        self.stop.cancel();
        // Fails only if the acceptor panicked, and then there is nothing to join.
        let _ = self.task.await;
    }
}

struct Acceptor<S> {
    /// Bound but not listening: keeps the port reserved while the listener is closed.
    reserving_socket: tokio_net::TcpSocket,
    address: net::SocketAddr,
    handler: sync::Arc<S>,
    requested_open: tokio::sync::watch::Receiver<bool>,
    actual_open_sender: tokio::sync::watch::Sender<bool>,
    stop: tokio_sync::CancellationToken,
}

impl<S: ConnectionHandler> Acceptor<S> {
    async fn run(mut self, initial: tokio_net::TcpListener) {
        let mut listener = Some(initial);
        loop {
            if *self.requested_open.borrow_and_update() {
                self.accept_connections(listener.take()).await;
            }
            if self.stop.is_cancelled() {
                break;
            }
            if *self.requested_open.borrow() {
                continue;
            }
            drop(listener.take());
            self.actual_open_sender.send_replace(false);
            if !self.wait_for_request().await {
                break;
            }
        }
        drop(self.reserving_socket);
    }

    /// Waits for a change of the requested state; returns false at shutdown.
    async fn wait_for_request(&mut self) -> bool {
        tokio::select! {
            changed = self.requested_open.changed() => changed.is_ok(),
            () = self.stop.cancelled() => false,
        }
    }

    /// Accepts connections until the requested state changes or the listener shuts down, then
    /// closes them all.
    async fn accept_connections(&mut self, initial: Option<tokio_net::TcpListener>) {
        let listener = match initial.map_or_else(|| listen(self.address), Ok) {
            Ok(listener) => listener,
            Err(cause) => {
                log::error!(
                    "cannot reopen the listener on {}; retrying: {cause}",
                    self.address
                );
                tokio::time::sleep(REOPEN_RETRY_DELAY).await;
                return;
            }
        };
        self.actual_open_sender.send_replace(true);
        let mut connections = tokio::task::JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    let handler = sync::Arc::clone(&self.handler);
                    connections.spawn(async move { handler.handle(stream).await });
                }
                Some(_) = connections.join_next() => {}
                _ = self.requested_open.changed() => break,
                () = self.stop.cancelled() => break,
            }
        }
        drop(listener);
        connections.shutdown().await;
    }
}

/// Binds a socket without listening, so that it reserves the port.
fn bind(address: net::SocketAddr) -> std::io::Result<tokio_net::TcpSocket> {
    let socket = match address {
        net::SocketAddr::V4(_) => tokio_net::TcpSocket::new_v4()?,
        net::SocketAddr::V6(_) => tokio_net::TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}

fn listen(address: net::SocketAddr) -> std::io::Result<tokio_net::TcpListener> {
    bind(address)?.listen(BACKLOG)
}

fn cannot_listen(address: net::SocketAddr, cause: &std::io::Error) -> error::Error {
    error::Error::new(error::ErrorKind::Listen, format!("on {address}: {cause}"))
}
