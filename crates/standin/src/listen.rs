//! TCP listeners that can be closed and reopened without losing their port.

use std::future;
use std::net;
use std::sync;
use std::time;

use tokio::net as tokio_net;
use tokio_util::sync as tokio_sync;

use crate::error;

const BACKLOG: u32 = 1024;
const LISTEN_RETRY: time::Duration = time::Duration::from_millis(50);

/// Handles the connections of a [`Listener`].
pub(crate) trait Serve: Send + Sync + 'static {
    /// Handles `stream` until it is closed. The future is dropped when the listener closes.
    fn serve(&self, stream: tokio_net::TcpStream) -> impl future::Future<Output = ()> + Send;
}

/// A TCP listener whose connections are accepted in a separate task.
#[derive(Debug)]
pub(crate) struct Listener {
    address: net::SocketAddr,
    wanted: tokio::sync::watch::Sender<bool>,
    actual: tokio::sync::watch::Receiver<bool>,
    stop: tokio_sync::CancellationToken,
    task: tokio::task::JoinHandle<()>,
}

impl Listener {
    /// Listens on `address` and passes each connection to `serve`.
    pub(crate) fn start<S: Serve>(
        address: net::SocketAddr,
        serve: sync::Arc<S>,
    ) -> Result<Self, error::Error> {
        let reserved = reserve(address).map_err(|cause| cannot_listen(address, &cause))?;
        let address = reserved
            .local_addr()
            .map_err(|cause| cannot_listen(address, &cause))?;
        let first = listen(address).map_err(|cause| cannot_listen(address, &cause))?;
        let (wanted, wanted_changes) = tokio::sync::watch::channel(true);
        let (report, actual) = tokio::sync::watch::channel(true);
        let stop = tokio_sync::CancellationToken::new();
        let acceptor = Acceptor {
            reserved,
            address,
            serve,
            wanted: wanted_changes,
            report,
            stop: stop.clone(),
        };
        let task = tokio::spawn(acceptor.run(first));
        Ok(Self {
            address,
            wanted,
            actual,
            stop,
            task,
        })
    }

    /// Returns the bound address.
    pub(crate) fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Opens or closes the listener, and waits until that has taken effect.
    pub(crate) async fn set_up(&self, up: bool) {
        self.wanted
            .send_if_modified(|wanted| std::mem::replace(wanted, up) != up);
        let mut actual = self.actual.clone();
        // Fails only after the acceptor has ended, and then there is nothing to wait for.
        let _ = actual.wait_for(|state| *state == up).await;
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
    reserved: tokio_net::TcpSocket,
    address: net::SocketAddr,
    serve: sync::Arc<S>,
    wanted: tokio::sync::watch::Receiver<bool>,
    report: tokio::sync::watch::Sender<bool>,
    stop: tokio_sync::CancellationToken,
}

impl<S: Serve> Acceptor<S> {
    async fn run(mut self, first: tokio_net::TcpListener) {
        let mut listener = Some(first);
        loop {
            if *self.wanted.borrow_and_update() {
                self.accept(listener.take()).await;
            }
            if self.stop.is_cancelled() {
                break;
            }
            if *self.wanted.borrow() {
                continue;
            }
            drop(listener.take());
            self.report.send_replace(false);
            if !self.wait_for_change().await {
                break;
            }
        }
        drop(self.reserved);
    }

    /// Waits for a change of the requested state; returns false at shutdown.
    async fn wait_for_change(&mut self) -> bool {
        tokio::select! {
            changed = self.wanted.changed() => changed.is_ok(),
            () = self.stop.cancelled() => false,
        }
    }

    /// Accepts connections until the requested state changes or the listener shuts down, then
    /// closes them all.
    async fn accept(&mut self, first: Option<tokio_net::TcpListener>) {
        let listener = match first.map_or_else(|| listen(self.address), Ok) {
            Ok(listener) => listener,
            Err(cause) => {
                log::error!(
                    "cannot reopen the listener on {}; retrying: {cause}",
                    self.address
                );
                tokio::time::sleep(LISTEN_RETRY).await;
                return;
            }
        };
        self.report.send_replace(true);
        let mut connections = tokio::task::JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    let serve = sync::Arc::clone(&self.serve);
                    connections.spawn(async move { serve.serve(stream).await });
                }
                Some(_) = connections.join_next() => {}
                _ = self.wanted.changed() => break,
                () = self.stop.cancelled() => break,
            }
        }
        drop(listener);
        connections.shutdown().await;
    }
}

/// Binds a socket without listening, so that it reserves the port.
fn reserve(address: net::SocketAddr) -> std::io::Result<tokio_net::TcpSocket> {
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
    reserve(address)?.listen(BACKLOG)
}

fn cannot_listen(address: net::SocketAddr, cause: &std::io::Error) -> error::Error {
    error::Error::new(error::ErrorKind::Listen, format!("on {address}: {cause}"))
}
