//! Encodes messages, and transfers them over h2 streams within a size limit.

use std::future;

use h2::RecvStream;
use h2::SendStream;

/// Largest message that can be decoded, in bytes; bounds the sizes that length fields may claim.
const DECODE_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// Why a message could not be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ReadError {
    #[error("message is larger than {limit_bytes} bytes")]
    TooLarge { limit_bytes: usize },
    #[error("too many bytes are received and not handled")]
    NoRoom,
    #[error("stream failed: {0}")]
    StreamFailed(#[from] h2::Error),
}

/// Returns the encoded `message`, or `None` if it is longer than `max_bytes`.
pub(crate) fn encode<M: serde::Serialize>(message: &M, max_bytes: usize) -> Option<bytes::Bytes> {
    let encoded = bincode::serde::encode_to_vec(message, bincode::config::standard()).ok()?;
    (encoded.len() <= max_bytes).then(|| encoded.into())
}

/// Returns the message in `encoded`, or `None` unless it contains exactly one.
pub(crate) fn decode<M: serde::de::DeserializeOwned>(encoded: &[u8]) -> Option<M> {
    let config = bincode::config::standard().with_limit::<DECODE_LIMIT_BYTES>();
    let (message, used_bytes) = bincode::serde::decode_from_slice(encoded, config).ok()?;
    (used_bytes == encoded.len()).then_some(message)
}

/// Reads a stream to its end, releasing flow control as the data is read; stops if `has_room` doesn't
/// grant the bytes of a chunk.
pub(crate) async fn read_all(
    stream: &mut RecvStream,
    max_bytes: usize,
    mut has_room: impl FnMut(usize) -> bool,
) -> Result<Vec<u8>, ReadError> {
    let mut message = Vec::new();
    while let Some(chunk) = stream.data().await {
        let chunk = chunk?;
        stream.flow_control().release_capacity(chunk.len())?;
        if message.len() + chunk.len() > max_bytes {
            return Err(ReadError::TooLarge {
                limit_bytes: max_bytes,
            });
        }
        if !has_room(chunk.len()) {
            return Err(ReadError::NoRoom);
        }
        message.extend_from_slice(&chunk);
    }
    Ok(message)
}

/// Sends `message` as flow control allows, and ends the stream.
///
/// If this returns an error, or is dropped, the receiver never sees the end of the stream.
pub(crate) async fn send_all(
    stream: &mut SendStream<bytes::Bytes>,
    mut message: bytes::Bytes,
) -> Result<(), h2::Error> {
    while !message.is_empty() {
        let granted_bytes = wait_for_capacity(stream, message.len()).await?;
        let chunk = message.split_to(granted_bytes);
        stream.send_data(chunk, message.is_empty())?;
        if message.is_empty() {
            return Ok(());
        }
    }
    stream.send_data(message, true)
}

/// Sends `message` as flow control allows, and leaves the stream open.
pub(crate) async fn send_part(
    stream: &mut SendStream<bytes::Bytes>,
    mut message: bytes::Bytes,
) -> Result<(), h2::Error> {
    while !message.is_empty() {
        let granted_bytes = wait_for_capacity(stream, message.len()).await?;
        stream.send_data(message.split_to(granted_bytes), false)?;
    }
    Ok(())
}

async fn wait_for_capacity(
    stream: &mut SendStream<bytes::Bytes>,
    wanted_bytes: usize,
) -> Result<usize, h2::Error> {
    stream.reserve_capacity(wanted_bytes);
    loop {
        let available_bytes = stream.capacity();
        if available_bytes > 0 {
            return Ok(available_bytes.min(wanted_bytes));
        }
        match future::poll_fn(|context| stream.poll_capacity(context)).await {
            Some(Ok(_)) => {}
            Some(Err(error)) => return Err(error),
            None => return Err(h2::Reason::CANCEL.into()),
        }
    }
}
