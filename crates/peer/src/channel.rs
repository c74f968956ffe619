//! Long-lived streams of messages in both directions between two instances.
//!
//! A channel is one h2 stream on the connection of a [`crate::Link`]. Each message is preceded by
//! its length, so that many small messages cost no stream of their own.

use bytes::Buf as _;
use h2::RecvStream;
use h2::SendStream;

use crate::codec;
use crate::error;

/// Size of the length that precedes each message, in bytes.
const LENGTH_BYTES: usize = 4;

/// A channel to another instance.
#[derive(Debug)]
pub struct Channel {
    /// Sends messages to the other end.
    pub sender: ChannelSender,
    /// Receives messages of the other end.
    pub receiver: ChannelReceiver,
}

/// Sending half of a [`Channel`]; the other end sees the end of the channel once it is dropped.
#[derive(Debug)]
pub struct ChannelSender {
    stream: SendStream<bytes::Bytes>,
    max_message_bytes: usize,
}

/// Receiving half of a [`Channel`].
#[derive(Debug)]
pub struct ChannelReceiver {
    stream: RecvStream,
    max_message_bytes: usize,
    /// Received bytes of messages that are not complete yet.
    buffer: bytes::BytesMut,
}

impl Channel {
    pub(crate) fn new(
        send_stream: SendStream<bytes::Bytes>,
        receive_stream: RecvStream,
        max_message_bytes: usize,
    ) -> Self {
        Self {
            sender: ChannelSender {
                stream: send_stream,
                max_message_bytes,
            },
            receiver: ChannelReceiver {
                stream: receive_stream,
                max_message_bytes,
                buffer: bytes::BytesMut::new(),
            },
        }
    }
}

impl ChannelSender {
    /// Sends a message; returns once it is handed to the connection, which says nothing about its
    /// receipt.
    ///
    /// # Errors
    ///
    /// Fails if the message is too large, or if the channel has ended.
    pub async fn send<M: serde::Serialize>(&mut self, message: &M) -> Result<(), error::Error> {
        let encoded = codec::encode(message, self.max_message_bytes).ok_or_else(|| {
            let context = format!("message is larger than {} bytes", self.max_message_bytes);
            error::Error::new(error::ErrorKind::TooLarge, context)
        })?;
        // `encode` has checked the length against a limit that fits.
        let length = u32::try_from(encoded.len()).unwrap_or(u32::MAX);
        let mut frame = bytes::BytesMut::with_capacity(LENGTH_BYTES + encoded.len());
        frame.extend_from_slice(&length.to_be_bytes());
        frame.extend_from_slice(&encoded);
        codec::send_part(&mut self.stream, frame.freeze())
            .await
            .map_err(|cause| channel_ended(&cause))
    }
}

impl ChannelReceiver {
    /// Receives the next message; `None` once the other end has closed the channel.
    ///
    /// This method is cancel safe: no message is lost if the future is dropped before it completes.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost, or if a message is too large or cannot be decoded.
    pub async fn receive<M: serde::de::DeserializeOwned>(
        &mut self,
    ) -> Result<Option<M>, error::Error> {
        loop {
            if let Some(message) = self.take_message()? {
                return Ok(Some(message));
            }
            let chunk = match self.stream.data().await {
                Some(Ok(chunk)) => chunk,
                // The other end has dropped its half of the stream.
                Some(Err(cause)) if cause.reason() == Some(h2::Reason::CANCEL) => return Ok(None),
                Some(Err(cause)) => return Err(channel_ended(&cause)),
                None => return Ok(None),
            };
            self.buffer.extend_from_slice(&chunk);
            self.stream
                .flow_control()
                .release_capacity(chunk.len())
                .map_err(|cause| channel_ended(&cause))?;
        }
    }

    /// Removes the first message from the buffer if it is complete.
    fn take_message<M: serde::de::DeserializeOwned>(&mut self) -> Result<Option<M>, error::Error> {
        let Some(length) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        if length > self.max_message_bytes {
            return Err(protocol_error(format!("message of {length} bytes")));
        }
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let encoded = self.buffer.split_to(length);
        let message = codec::decode(&encoded);
        message
            .map(Some)
            .ok_or_else(|| protocol_error("message cannot be decoded"))
    }
}

fn channel_ended(cause: &h2::Error) -> error::Error {
    error::Error::new(
        error::ErrorKind::Unanswered,
        format!("channel ended: {cause}"),
    )
}

fn protocol_error(context: impl Into<String>) -> error::Error {
    error::Error::new(error::ErrorKind::Protocol, context)
}
