//! A connector that limits the open connections to each address.

use std::future;
use std::io;
use std::pin;
use std::sync;
use std::task;
use std::time;

use hyper::rt;
use hyper_util::client::legacy::connect;
use hyper_util::rt as hyper_util_rt;
use indexmap::IndexMap;

type Stream = hyper_util_rt::TokioIo<tokio::net::TcpStream>;
type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Connects over TCP, waiting while an address is at its connection limit.
///
/// The client's connection pool does not enforce the limit: when another call returns a connection
/// first, the pool still completes its own connect in the background.
#[derive(Clone, Debug)]
pub(crate) struct BoundedConnector {
    inner: connect::HttpConnector,
    max_connections: usize,
    semaphores: sync::Arc<sync::Mutex<IndexMap<String, sync::Arc<tokio::sync::Semaphore>>>>,
}

impl BoundedConnector {
    /// Creates a connector with at most `max_connections` open connections to each address.
    pub(crate) fn new(max_connections: usize, timeout: time::Duration) -> Self {
        let mut inner = connect::HttpConnector::new();
        inner.set_nodelay(true);
        inner.set_connect_timeout(Some(timeout));
        Self {
            inner,
            max_connections,
            semaphores: sync::Arc::default(),
        }
    }

    fn semaphore(&self, uri: &http::Uri) -> sync::Arc<tokio::sync::Semaphore> {
        let address = uri.authority().map_or("", http::uri::Authority::as_str);
        let mut semaphores = self
            .semaphores
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        if let Some(existing) = semaphores.get(address) {
            return sync::Arc::clone(existing);
        }
        let created = sync::Arc::new(tokio::sync::Semaphore::new(self.max_connections));
        semaphores.insert(address.to_owned(), sync::Arc::clone(&created));
        created
    }
}

impl tower::Service<http::Uri> for BoundedConnector {
    type Response = BoundedConnection;
    type Error = BoxError;
    type Future =
        pin::Pin<Box<dyn future::Future<Output = Result<BoundedConnection, BoxError>> + Send>>;

    fn poll_ready(&mut self, context: &mut task::Context<'_>) -> task::Poll<Result<(), BoxError>> {
        self.inner.poll_ready(context).map_err(BoxError::from)
    }

    fn call(&mut self, uri: http::Uri) -> Self::Future {
        let semaphore = self.semaphore(&uri);
        let mut inner = self.inner.clone();
        Box::pin(async move {
            let permit = semaphore.acquire_owned().await?;
            let stream = inner.call(uri).await?;
            Ok(BoundedConnection {
                stream,
                _permit: permit,
            })
        })
    }
}

/// A connection that counts towards the limit until it is dropped.
#[derive(Debug)]
pub(crate) struct BoundedConnection {
    stream: Stream,
    _permit: tokio::sync::OwnedSemaphorePermit,
}

impl connect::Connection for BoundedConnection {
    fn connected(&self) -> connect::Connected {
        self.stream.connected()
    }
}

impl rt::Read for BoundedConnection {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: rt::ReadBufCursor<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl rt::Write for BoundedConnection {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        data: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write(context, data)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }
}
