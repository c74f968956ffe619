//! A socket whose progress is recorded.

use std::io;
use std::pin;
use std::task;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net;

use crate::connections;

/// Socket of a connection; tells the connection what it reads and whether it can write.
#[derive(Debug)]
pub(crate) struct Socket {
    stream: net::TcpStream,
    connection: connections::Handle,
    input: stall::Input,
    /// Whether the last write could not be completed.
    is_blocked: bool,
}

impl Socket {
    pub(crate) fn new(
        stream: net::TcpStream,
        connection: connections::Handle,
        input: stall::Input,
    ) -> Self {
        Self {
            stream,
            connection,
            input,
            is_blocked: false,
        }
    }

    fn record_write(
        &mut self,
        written: task::Poll<io::Result<usize>>,
    ) -> task::Poll<io::Result<usize>> {
        let is_blocked = written.is_pending();
        if is_blocked || self.is_blocked {
            self.is_blocked = is_blocked;
            self.connection.record_write(is_blocked);
        }
        written
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = pin::Pin::new(&mut self.stream).poll_read(context, buffer);
        let received = buffer.filled().len() - before;
        // The clock is read after the socket: a stall between the two counts.
        let now = stall::uptime();
        if received == 0 {
            if read.is_pending() {
                self.input.record_nothing(now);
            }
            return read;
        }
        let is_empty = buffer.remaining() > 0;
        let is_age_known = self.input.record_read(is_empty, now);
        if !self.connection.record_read(received, is_age_known) {
            let error = io::Error::new(io::ErrorKind::OutOfMemory, "no memory for large input");
            return task::Poll::Ready(Err(error));
        }
        read
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        data: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.stream).poll_write(context, data);
        self.record_write(written)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(written)
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
