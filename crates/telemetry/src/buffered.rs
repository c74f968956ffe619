//! Buffered log output, written by a dedicated thread.

use std::io;
use std::sync;
use std::thread;
use std::time;

use crate::error;
use crate::logger;
use crate::metrics;

/// Time between two writes, in which lines are buffered.
const WRITE_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Most bytes in one write: collectors that read a process's output by the write cut a longer one.
const MAX_WRITE_BYTES: usize = 8 * 1024;

/// Lines that are not written yet.
#[derive(Debug, Default)]
struct PendingLines {
    bytes: Vec<u8>,
    dropped_lines: u64,
    is_closed: bool,
}

#[derive(Debug, Default)]
struct Shared {
    pending: sync::Mutex<PendingLines>,
    pending_changed: sync::Condvar,
}

/// Buffers lines without blocking on the output; lines beyond the limit are dropped.
#[derive(Debug)]
pub struct BufferedWriter {
    shared: sync::Arc<Shared>,
    limit_bytes: usize,
}

/// Handle of the thread that writes the buffered lines; close it before the process exits.
#[derive(Debug)]
pub struct BufferedLogs {
    shared: sync::Arc<Shared>,
    thread: thread::JoinHandle<()>,
}

impl io::Write for BufferedWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut pending = metrics::lock(&self.shared.pending);
        if pending.bytes.len() + line.len() > self.limit_bytes {
            if line.ends_with(b"\n") {
                pending.dropped_lines += 1;
            }
            return Ok(line.len());
        }
        let was_empty = pending.bytes.is_empty();
        pending.bytes.extend_from_slice(line);
        if was_empty {
            self.shared.pending_changed.notify_one();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl BufferedLogs {
    /// Writes the buffered lines and stops the thread.
    pub fn close(self) {
        metrics::lock(&self.shared.pending).is_closed = true;
        self.shared.pending_changed.notify_one();
        // Fails only if the thread panicked, which can no longer be logged.
        let _ = self.thread.join();
    }
}

/// Starts a thread that writes buffered lines to `output`; the buffer holds at most `limit_bytes`.
///
/// # Errors
///
/// Returns [`error::ErrorKind::LogThread`] if the thread cannot be started.
pub fn spawn_log_writer<W: io::Write + Send + 'static>(
    output: W,
    limit_bytes: usize,
) -> Result<(BufferedWriter, BufferedLogs), error::Error> {
    let shared = sync::Arc::new(Shared::default());
    let writer = BufferedWriter {
        shared: sync::Arc::clone(&shared),
        limit_bytes,
    };
    let thread_shared = sync::Arc::clone(&shared);
    let thread = thread::Builder::new()
        .name("logs".to_owned())
        .spawn(move || run_writer(&thread_shared, output))
        .map_err(|cause| error::Error::new(error::ErrorKind::LogThread, cause))?;
    Ok((writer, BufferedLogs { shared, thread }))
}

/// Installs the process's logger, which writes to standard output without blocking callers.
///
/// # Errors
///
/// Returns [`error::ErrorKind::LogThread`] if the thread cannot be started, and
/// [`error::ErrorKind::LoggerInstalled`] if a logger is already installed.
pub fn init_buffered_logs(
    level: log::LevelFilter,
    limit_bytes: usize,
) -> Result<BufferedLogs, error::Error> {
    let (writer, logs) = spawn_log_writer(io::stdout(), limit_bytes)?;
    let logger = logger::LineLogger::new(level, writer);
    log::set_boxed_logger(Box::new(logger))
        .map_err(|cause| error::Error::new(error::ErrorKind::LoggerInstalled, cause))?;
    log::set_max_level(level);
    Ok(logs)
}

fn run_writer<W: io::Write>(shared: &Shared, mut output: W) {
    loop {
        let (bytes, dropped_lines, is_closed) = {
            let mut pending = metrics::lock(&shared.pending);
            while pending.bytes.is_empty() && !pending.is_closed {
                pending = shared
                    .pending_changed
                    .wait(pending)
                    .unwrap_or_else(sync::PoisonError::into_inner);
            }
            (
                std::mem::take(&mut pending.bytes),
                std::mem::take(&mut pending.dropped_lines),
                pending.is_closed,
            )
        };
        // A failed write cannot be logged, since this is the output of the log.
        let _ = write_lines(&mut output, &bytes);
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

/// Writes whole lines, at most [`MAX_WRITE_BYTES`] at once; a longer line is written by itself.
fn write_lines<W: io::Write>(output: &mut W, mut lines: &[u8]) -> io::Result<()> {
    while !lines.is_empty() {
        let (chunk, rest) = lines.split_at(chunk_len(lines));
        output.write_all(chunk)?;
        lines = rest;
    }
    Ok(())
}

/// Returns the length of the whole lines that one write takes from the start of `lines`.
fn chunk_len(lines: &[u8]) -> usize {
    if lines.len() <= MAX_WRITE_BYTES {
        return lines.len();
    }
    let (first, rest) = lines.split_at(MAX_WRITE_BYTES);
    let is_newline = |byte: &u8| *byte == b'\n';
    match first.iter().rposition(is_newline) {
        Some(newline) => newline + 1,
        None => rest
            .iter()
            .position(is_newline)
            .map_or(lines.len(), |newline| MAX_WRITE_BYTES + newline + 1),
    }
}
