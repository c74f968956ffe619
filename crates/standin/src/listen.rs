//! Listeners that can be taken down and keep their port meanwhile.

use std::future;
use std::net;
use std::sync;
use std::time;

use tokio::net as tokio_net;
use tokio_util::sync as tokio_sync;

use crate::error;

const BACKLOG: u32 = 1024;
const LISTEN_RETRY: time::Duration = time::Duration::from_millis(50);

/// Serves one connection.
pub(crate) trait Serve: Send + Sync + 'static {
    /// Serves `stream` until it is closed; dropped when the listener is taken down.
    fn serve(&self, stream: tokio_net::TcpStream) -> impl future::Future<Output = ()> + Send;
}

/// Accepts connections in a task of its own.
#[derive(Debug)]
pub(crate) struct Listener {
    address: net::SocketAddr,
    wanted: tokio::sync::watch::Sender<bool>,
    actual: tokio::sync::watch::Receiver<bool>,
    stop: tokio_sync::CancellationToken,
    task: tokio::task::JoinHandle<()>,
}

impl Listener {
    /// Listens on `address` and serves each connection with `serve`.
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

    /// Returns the address, with the real port.
    pub(crate) fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Takes the listener up or down, and waits until that is done.
    pub(crate) async fn set_up(&self, up: bool) {
        self.wanted
            .send_if_modified(|wanted| std::mem::replace(wanted, up) != up);
        let mut actual = self.actual.clone();
        // Fails only after the acceptor has ended, and then nothing is left to wait for.
        let _ = actual.wait_for(|state| *state == up).await;
    }

    /// Closes the listener and its connections, and joins their tasks.
    pub(crate) async fn shutdown(self) {
        self.stop.cancel();
        // Fails only if the acceptor panicked; there is nothing left to join then.
        let _ = self.task.await;
    }
}

struct Acceptor<S> {
    /// Holds the port while nothing listens on it.
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

    /// Returns whether the wanted state changed before the stop.
    async fn wait_for_change(&mut self) -> bool {
        tokio::select! {
            changed = self.wanted.changed() => changed.is_ok(),
            () = self.stop.cancelled() => false,
        }
    }

    /// Accepts connections until the wanted state changes, then closes them all.
    async fn accept(&mut self, first: Option<tokio_net::TcpListener>) {
        let listener = match first.map_or_else(|| listen(self.address), Ok) {
            Ok(listener) => listener,
            Err(cause) => {
                log::error!("cannot listen on {} again: {cause}", self.address);
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

/// Binds a socket that never listens.
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
