//! Log lines that are written by a thread of their own.

use std::io;
use std::sync;
use std::thread;
use std::time;

use crate::error;
use crate::logger;
use crate::metrics;

/// How long lines are collected before they are written together.
const WRITE_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Lines that wait to be written.
#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped_lines: u64,
    is_closed: bool,
}

#[derive(Debug, Default)]
struct Shared {
    waiting: sync::Mutex<Waiting>,
    is_waiting: sync::Condvar,
}

/// Takes lines without ever blocking on the output; lines beyond the limit are dropped.
#[derive(Debug)]
pub struct BufferedWriter {
    shared: sync::Arc<Shared>,
    limit_bytes: usize,
}

/// The thread that writes the lines; close it before the process ends.
#[derive(Debug)]
pub struct BufferedLogs {
    shared: sync::Arc<Shared>,
    thread: thread::JoinHandle<()>,
}

impl io::Write for BufferedWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut waiting = metrics::lock(&self.shared.waiting);
        if waiting.bytes.len() + line.len() > self.limit_bytes {
            if line.ends_with(b"\n") {
                waiting.dropped_lines += 1;
            }
            return Ok(line.len());
        }
        let was_empty = waiting.bytes.is_empty();
        waiting.bytes.extend_from_slice(line);
        if was_empty {
            self.shared.is_waiting.notify_one();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl BufferedLogs {
    /// Writes what waits, and ends the thread.
    pub fn close(self) {
        metrics::lock(&self.shared.waiting).is_closed = true;
        self.shared.is_waiting.notify_one();
        // Fails only if the thread panicked; there is nobody left to tell.
        let _ = self.thread.join();
    }
}

/// Starts the thread that writes to `output` at most `limit_bytes` at a time.
///
/// # Errors
///
/// Returns [`error::ErrorKind::LogThread`] if the thread cannot be started.
pub fn buffered<W: io::Write + Send + 'static>(
    output: W,
    limit_bytes: usize,
) -> Result<(BufferedWriter, BufferedLogs), error::Error> {
    let shared = sync::Arc::new(Shared::default());
    let writer = BufferedWriter {
        shared: sync::Arc::clone(&shared),
        limit_bytes,
    };
    let of_thread = sync::Arc::clone(&shared);
    let thread = thread::Builder::new()
        .name("logs".to_owned())
        .spawn(move || write_all(&of_thread, output))
        .map_err(|cause| error::Error::new(error::ErrorKind::LogThread, cause))?;
    Ok((writer, BufferedLogs { shared, thread }))
}

/// Installs the process's logger, which writes to standard output without ever blocking.
///
/// # Errors
///
/// Returns [`error::ErrorKind::LoggerInstalled`] if there is a logger already.
pub fn init_buffered_logs(
    level: log::LevelFilter,
    limit_bytes: usize,
) -> Result<BufferedLogs, error::Error> {
    let (writer, logs) = buffered(io::stdout(), limit_bytes)?;
    let logger = logger::LineLogger::new(level, writer);
    log::set_boxed_logger(Box::new(logger))
        .map_err(|cause| error::Error::new(error::ErrorKind::LoggerInstalled, cause))?;
    log::set_max_level(level);
    Ok(logs)
}

fn write_all<W: io::Write>(shared: &Shared, mut output: W) {
    loop {
        let (bytes, dropped_lines, is_closed) = {
            let mut waiting = metrics::lock(&shared.waiting);
            while waiting.bytes.is_empty() && !waiting.is_closed {
                waiting = shared
                    .is_waiting
                    .wait(waiting)
                    .unwrap_or_else(sync::PoisonError::into_inner);
            }
            (
                std::mem::take(&mut waiting.bytes),
                std::mem::take(&mut waiting.dropped_lines),
                waiting.is_closed,
            )
        };
        // An output that fails leaves nowhere to say so.
        let _ = output.write_all(&bytes);
        if dropped_lines > 0 {
            let _ = writeln!(
                output,
                "level=warn message=\"log lines dropped\" lines={dropped_lines}"
            );
        }
        let _ = output.flush();
        if is_closed {
            return;
        }
        thread::sleep(WRITE_INTERVAL);
    }
}
