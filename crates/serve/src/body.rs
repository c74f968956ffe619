//! Receipt of request bodies within the budget.

use std::fmt;
use std::future;
use std::net;
use std::pin;
use std::sync;
use std::task;
use std::time;

use http_body_util::BodyExt as _;
use hyper::body::Body as _;

use crate::budget;
use crate::connections;
use crate::refusals::Refusal;

/// Why a body was not received. Nothing of the request was passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum BodyError {
    /// The memory budget has no room, or the sender was too slow while it was short.
    Overloaded,
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not arrive in time.
    TimedOut,
    /// The connection failed, or the body is malformed.
    Failed(String),
}

impl fmt::Display for BodyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Overloaded => formatter.write_str("no memory for the request body"),
            Self::TooLarge => formatter.write_str("request body too large"),
            Self::TimedOut => formatter.write_str("request body not received in time"),
            Self::Failed(cause) => formatter.write_str(cause),
        }
    }
}

impl std::error::Error for BodyError {}

/// A whole request body; its memory is charged until it is dropped.
#[derive(Debug)]
pub struct ReceivedBody {
    bytes: Vec<u8>,
    charge: budget::Charge,
}

impl ReceivedBody {
    /// Returns the bytes.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Drops the bytes; the charge becomes that of the decoded request of `request_bytes`, which is
    /// to be held as long as the request is in flight.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::Overloaded`] if the budget has no room for it.
    pub fn into_charge(self, request_bytes: usize) -> Result<budget::Charge, BodyError> {
        let Self { bytes, mut charge } = self;
        drop(bytes);
        if charge.resize(request_bytes as u64) {
            return Ok(charge);
        }
        Err(BodyError::Overloaded)
    }
}

/// Receives the body of a request into one buffer, however it is split.
///
/// The memory is charged to the budget of the listener that the request came through; a request that
/// came through none is charged to no budget.
///
/// # Errors
///
/// Fails if the budget has no room, or if the body is too large, too late or incomplete.
pub async fn read_body(
    request: axum::extract::Request,
    max_bytes: usize,
    timeout: time::Duration,
) -> Result<ReceivedBody, BodyError> {
    let connection = request.extensions().get::<connections::Handle>().cloned();
    let body = request.into_body();
    let announced_bytes = body.size_hint().exact();
    if announced_bytes.is_some_and(|bytes| bytes > max_bytes as u64) {
        return Err(BodyError::TooLarge);
    }
    let Some(connection) = connection else {
        let whole = axum::body::to_bytes(body, max_bytes);
        let bytes = tokio::time::timeout(timeout, whole)
            .await
            .map_err(|_| BodyError::TimedOut)?
            .map_err(|cause| BodyError::Failed(cause.to_string()))?;
        let source = net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED);
        return Ok(ReceivedBody {
            bytes: bytes.into(),
            charge: budget::Charge::none(source),
        });
    };
    receive(body, announced_bytes, max_bytes, timeout, &connection).await
}

/// Receives a body whose memory is charged to the budget of `connection`.
async fn receive(
    mut body: axum::body::Body,
    announced_bytes: Option<u64>,
    max_bytes: usize,
    timeout: time::Duration,
    connection: &connections::Handle,
) -> Result<ReceivedBody, BodyError> {
    let mut partial = Partial {
        connection,
        expected_bytes: announced_bytes.and_then(|bytes| usize::try_from(bytes).ok()),
        max_bytes,
        is_begun: false,
    };
    let first =
        future::poll_fn(|context| task::Poll::Ready(pin::Pin::new(&mut body).poll_frame(context)));
    if let task::Poll::Ready(Some(frame)) = first.await {
        let frame = frame.map_err(|cause| BodyError::Failed(cause.to_string()))?;
        if let Ok(data) = frame.into_data() {
            if body.is_end_stream() {
                return partial.whole(&data);
            }
            partial.append(&data)?;
        }
    }
    connection.begin_body();
    let reading = partial.read_rest(body);
    let read = match tokio::time::timeout(timeout, reading).await {
        Ok(read) => read,
        Err(_) => Err(BodyError::TimedOut),
    };
    connection.end_body();
    read
}

/// A body that is being received.
struct Partial<'a> {
    connection: &'a connections::Handle,
    /// Length that the client has announced.
    expected_bytes: Option<usize>,
    max_bytes: usize,
    /// Whether the budget keeps the body.
    is_begun: bool,
}

impl Partial<'_> {
    /// Returns a body that has arrived at once, which is the usual case: it is copied, so that the
    /// connection keeps its read buffer.
    fn whole(&self, data: &[u8]) -> Result<ReceivedBody, BodyError> {
        if data.len() > self.max_bytes {
            return Err(BodyError::TooLarge);
        }
        let (budget, source) = (self.connection.budget(), self.connection.source());
        let Some(charge) = budget.charge(source, data.len() as u64) else {
            budget.record(Refusal::BodyBudget, source);
            return Err(BodyError::Overloaded);
        };
        Ok(ReceivedBody {
            bytes: data.to_vec(),
            charge,
        })
    }

    fn append(&mut self, data: &[u8]) -> Result<(), BodyError> {
        let budget = self.connection.budget();
        let (id, source) = (self.connection.id(), self.connection.source());
        if !self.is_begun {
            budget.begin_body(id, source, sync::Arc::clone(self.connection.body_shed()));
            self.is_begun = true;
        }
        let appended = budget.append(id, data, self.expected_bytes, self.max_bytes);
        appended.map_err(|error| match error {
            budget::AppendError::TooLarge => BodyError::TooLarge,
            budget::AppendError::NoBudget => {
                // The dropping of a body for others is counted where it happens.
                if !budget.is_shed(id) {
                    budget.record(Refusal::BodyBudget, source);
                }
                BodyError::Overloaded
            }
        })
    }

    async fn read_rest(&mut self, mut body: axum::body::Body) -> Result<ReceivedBody, BodyError> {
        let budget = self.connection.budget();
        let id = self.connection.id();
        let shed = self.connection.body_shed();
        // Registered once and not for each chunk, of which a body may have one a byte.
        let mut dropped = pin::pin!(shed.notified());
        loop {
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                () = dropped.as_mut() => {
                    // A notification may be left from an earlier body.
                    if self.is_begun && budget.is_shed(id) {
                        return Err(BodyError::Overloaded);
                    }
                    dropped.set(shed.notified());
                    continue;
                }
            };
            let Some(frame) = frame else {
                break;
            };
            let frame = frame.map_err(|cause| BodyError::Failed(cause.to_string()))?;
            if let Ok(data) = frame.into_data() {
                self.append(&data)?;
            }
        }
        if !self.is_begun {
            return self.whole(&[]);
        }
        self.is_begun = false;
        let (bytes, charge) = budget.take_body(id).ok_or(BodyError::Overloaded)?;
        Ok(ReceivedBody { bytes, charge })
    }
}

impl Drop for Partial<'_> {
    fn drop(&mut self) {
        if self.is_begun {
            // The receipt has ended early, or the future was dropped; this releases the charge.
            drop(self.connection.budget().take_body(self.connection.id()));
        }
    }
}
