//! One request and its response over an open connection.

use h2::client;

use crate::channel;
use crate::codec;
use crate::error;
use crate::handshake;

/// Target of a request.
const REQUEST_URI: &str = "http://peer/request";
/// Target of the request that opens a channel.
const CHANNEL_URI: &str = "http://peer/channel";
/// Path of the request that opens a channel.
pub(crate) const CHANNEL_PATH: &str = "/channel";

/// Progress of a request, which determines the kind of error if it fails.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Progress {
    /// Id of the connection in use, once there is one.
    pub(crate) connection_id: Option<u64>,
    /// Whether the end of the request was handed to the connection. Before that the receiver
    /// cannot have handled it, and never will once the stream is dropped.
    pub(crate) sent: bool,
}

impl Progress {
    /// Returns the error of a request that failed at this point.
    pub(crate) fn failure(self, context: impl Into<String>) -> error::Error {
        let kind = if self.sent {
            error::ErrorKind::Unanswered
        } else {
            error::ErrorKind::NotSent
        };
        error::Error::new(kind, context)
    }

    fn h2_failure(self, cause: &h2::Error) -> error::Error {
        if cause.is_remote() && cause.reason() == Some(h2::Reason::REFUSED_STREAM) {
            return error::Error::new(
                error::ErrorKind::NotSent,
                "the other end refused the stream",
            );
        }
        self.failure(format!("connection failed: {cause}"))
    }
}

/// Sends `message` on a new stream and returns the whole response.
pub(crate) async fn round_trip(
    sender: &mut client::SendRequest<bytes::Bytes>,
    message: bytes::Bytes,
    max_message_bytes: usize,
    progress: &mut Progress,
) -> Result<Vec<u8>, error::Error> {
    let (response, mut stream) = sender
        .send_request(request_head(http::Uri::from_static(REQUEST_URI)), false)
        .map_err(|cause| progress.h2_failure(&cause))?;
    let send_result = codec::send_all(&mut stream, message).await;
    progress.sent = send_result.is_ok();
    // A receiver that refuses a request responds before it has read all of it.
    let response = match (response.await, send_result) {
        (Ok(response), _) => response,
        (Err(_), Err(cause)) | (Err(cause), Ok(())) => return Err(progress.h2_failure(&cause)),
    };
    if let Some(reason) = handshake::refusal_reason(&response) {
        return Err(refused_error(reason));
    }
    if response.status() != http::StatusCode::OK {
        return Err(protocol_error(format!(
            "unexpected status {}",
            response.status()
        )));
    }
    read_response(response, max_message_bytes, *progress).await
}

/// Returns the error of a refused request.
pub(crate) fn refused_error(reason: error::RefusalReason) -> error::Error {
    error::Error::new(
        error::ErrorKind::Refused(reason),
        format!("refused by the other end: {reason}"),
    )
}

/// Returns the error of an invalid response.
pub(crate) fn protocol_error(context: impl Into<String>) -> error::Error {
    error::Error::new(error::ErrorKind::Protocol, context)
}

async fn read_response(
    response: http::Response<h2::RecvStream>,
    max_message_bytes: usize,
    progress: Progress,
) -> Result<Vec<u8>, error::Error> {
    let mut stream = response.into_body();
    match codec::read_all(&mut stream, max_message_bytes, |_| true).await {
        Ok(message) => Ok(message),
        Err(codec::ReadError::StreamFailed(cause)) => Err(progress.h2_failure(&cause)),
        Err(cause) => Err(protocol_error(format!("response cannot be read: {cause}"))),
    }
}

/// Opens a channel on a new stream.
pub(crate) async fn open_channel(
    sender: &mut client::SendRequest<bytes::Bytes>,
    max_message_bytes: usize,
    progress: &mut Progress,
) -> Result<channel::Channel, error::Error> {
    let head = request_head(http::Uri::from_static(CHANNEL_URI));
    let (response, send_stream) = sender
        .send_request(head, false)
        .map_err(|cause| progress.h2_failure(&cause))?;
    progress.sent = true;
    let response = response
        .await
        .map_err(|cause| progress.h2_failure(&cause))?;
    if let Some(reason) = handshake::refusal_reason(&response) {
        return Err(refused_error(reason));
    }
    if response.status() != http::StatusCode::OK {
        let status = response.status();
        return Err(protocol_error(format!("unexpected status {status}")));
    }
    let receive_stream = response.into_body();
    Ok(channel::Channel::new(
        send_stream,
        receive_stream,
        max_message_bytes,
    ))
}

fn request_head(uri: http::Uri) -> http::Request<()> {
    let mut request = http::Request::new(());
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = uri;
    request
}
