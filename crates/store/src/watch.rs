//! The stream of changes of a watch.

use http_body_util::BodyExt as _;

use crate::entry;
use crate::error;
use crate::store;
use crate::wire;

/// Largest line accepted from the service, in bytes.
const MAX_LINE_BYTES: usize = 16 << 20;

/// A watch over newline-delimited JSON.
#[derive(Debug)]
pub struct EtcdWatch {
    body: hyper::body::Incoming,
    /// Received bytes that were not returned yet: whole lines, or the start of one.
    buffer: Vec<u8>,
}

impl EtcdWatch {
    pub(crate) fn new(body: hyper::body::Incoming) -> Self {
        Self {
            body,
            buffer: Vec::new(),
        }
    }

    /// Removes the first whole line from the buffer.
    fn next_line(&mut self) -> Option<Vec<u8>> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        let rest = self.buffer.split_off(end + 1);
        Some(std::mem::replace(&mut self.buffer, rest))
    }

    /// Reads more bytes into the buffer.
    async fn fill_buffer(&mut self) -> Result<(), error::Error> {
        let frame = self
            .body
            .frame()
            .await
            .ok_or_else(|| watch_ended("the service closed the watch"))?;
        let frame =
            frame.map_err(|cause| watch_ended(format!("the watch stream failed: {cause}")))?;
        if let Ok(data) = frame.into_data() {
            self.buffer.extend_from_slice(&data);
        }
        if self.buffer.len() > MAX_LINE_BYTES {
            return Err(wire::protocol_error(format!(
                "line of a watch is longer than {MAX_LINE_BYTES} bytes"
            )));
        }
        Ok(())
    }
}

impl store::Watch for EtcdWatch {
    async fn next(&mut self) -> Result<Vec<entry::Change>, error::Error> {
        loop {
            while let Some(line) = self.next_line() {
                let changes = parse_line(&line)?;
                if !changes.is_empty() {
                    return Ok(changes);
                }
            }
            self.fill_buffer().await?;
        }
    }
}

fn watch_ended(context: impl Into<String>) -> error::Error {
    error::Error::new(error::ErrorKind::Unavailable, context)
}

fn parse_line(line: &[u8]) -> Result<Vec<entry::Change>, error::Error> {
    let line: wire::WatchLine = serde_json::from_slice(line).map_err(|cause| {
        wire::protocol_error(format!("line of a watch cannot be decoded: {cause}"))
    })?;
    let result = line.result;
    if result.compact_revision.0 > 0 {
        let context = format!(
            "the watch must start at revision {} or later",
            result.compact_revision.0
        );
        return Err(error::Error::new(error::ErrorKind::Compacted, context));
    }
    if result.canceled {
        return Err(watch_ended("the service cancelled the watch"));
    }
    result
        .events
        .into_iter()
        .map(wire::WatchEvent::into_change)
        .collect()
}
