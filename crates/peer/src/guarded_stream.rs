//! A socket that takes little before its other end is authenticated.

use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net;

/// Bytes that an unauthenticated connection may send: the preface, settings and a hello take less
/// than 2 KB.
const MAX_NEW_BYTES: usize = 64 * 1024;

/// A socket that fails once an unauthenticated other end has sent too much.
#[derive(Debug)]
pub(crate) struct GuardedStream {
    stream: net::TcpStream,
    received_bytes: usize,
    is_authenticated: sync::Arc<atomic::AtomicBool>,
}

impl GuardedStream {
    /// Guards `stream` until `is_authenticated` is set.
    pub(crate) fn new(
        stream: net::TcpStream,
        is_authenticated: sync::Arc<atomic::AtomicBool>,
    ) -> Self {
        Self {
            stream,
            received_bytes: 0,
            is_authenticated,
        }
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = pin::Pin::new(&mut self.stream).poll_read(context, buffer);
        if self.is_authenticated.load(atomic::Ordering::Relaxed) {
            return read;
        }
        self.received_bytes += buffer.filled().len() - before;
        if self.received_bytes > MAX_NEW_BYTES {
            let error = io::Error::other("too much received before authentication");
            return task::Poll::Ready(Err(error));
        }
        read
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        data: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write(context, data)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
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
}
