//! Serves one accepted connection.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use h2::server;
use tokio::task;
use tokio_util::sync::CancellationToken;

use crate::channel;
use crate::codec;
use crate::counts;
use crate::error;
use crate::exchange;
use crate::guarded_stream;
use crate::handler;
use crate::handshake;
use crate::identity;
use crate::message;
use crate::new_sessions;
use crate::received;
use crate::server::CONNECTION_WINDOW_BYTES;
use crate::server::SEND_BUFFER_BYTES;
use crate::server::STREAM_WINDOW_BYTES;

/// Maximum number of concurrent requests on one connection.
const MAX_STREAMS: u32 = 4096;
/// Maximum number of requests on one connection that were cancelled before they were accepted.
const MAX_PENDING_RESET_STREAMS: usize = 4096;
/// Largest head of a request, in bytes; those of instances take less than 1 KB.
const MAX_HEADER_LIST_BYTES: u32 = 16 * 1024;
/// Time within which a new connection must send its hello.
const HELLO_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Time within which one message must be received or sent.
const TRANSFER_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Time without any request after which a connection is closed.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Time within which the other end must close a connection that has no open streams any more.
const CLOSE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

type Connection = server::Connection<guarded_stream::GuardedStream, bytes::Bytes>;
type Respond = server::SendResponse<bytes::Bytes>;
type Request = http::Request<h2::RecvStream>;

/// Result of reading a request that is not refused for what it is.
enum ReadOutcome<R> {
    Complete(R, counts::Category),
    /// It was not received completely.
    Incomplete,
    /// Too many bytes are held for requests.
    NoRoom,
}

/// Serves one connection.
pub(crate) struct Session<H> {
    pub(crate) identity: identity::Identity,
    pub(crate) max_message_bytes: usize,
    pub(crate) received: received::ReceivedBytes,
    pub(crate) counters: sync::Arc<counts::Counters>,
    pub(crate) handler: H,
    pub(crate) remote: net::SocketAddr,
    pub(crate) shutdown: CancellationToken,
}

impl<H: handler::Handler> Session<H> {
    /// Serves until the connection ends, until it is closed before it is authenticated, or until `shutdown` is cancelled and every open stream is
    /// answered.
    pub(crate) async fn run(self, stream: tokio::net::TcpStream, new: new_sessions::NewSession) {
        let _ = stream.set_nodelay(true);
        let remote = self.remote;
        let shutdown = self.shutdown.clone();
        let opened = tokio::select! {
            opened = tokio::time::timeout(HELLO_TIMEOUT, self.open(stream)) => opened,
            () = new.closed() => return,
            () = shutdown.cancelled() => return,
        };
        drop(new);
        match opened {
            Ok(Ok(Some((connection, from)))) => self.serve(connection, from).await,
            Ok(Ok(None)) => {}
            Ok(Err(cause)) => log::debug!("event=peer_open_failed remote={remote} cause={cause:?}"),
            Err(_) => log::debug!("event=peer_open_timed_out remote={remote}"),
        }
    }

    /// Returns the connection and the instance at its other end, or `None` if it was refused.
    async fn open(
        &self,
        stream: tokio::net::TcpStream,
    ) -> Result<Option<(Connection, model::InstanceId)>, h2::Error> {
        let is_authenticated = sync::Arc::new(atomic::AtomicBool::new(false));
        let stream =
            guarded_stream::GuardedStream::new(stream, sync::Arc::clone(&is_authenticated));
        let mut connection: Connection = server::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .max_header_list_size(MAX_HEADER_LIST_BYTES)
            .max_concurrent_streams(MAX_STREAMS)
            .max_pending_accept_reset_streams(MAX_PENDING_RESET_STREAMS)
            .max_send_buffer_size(SEND_BUFFER_BYTES)
            .handshake(stream)
            .await?;
        let Some(hello) = connection.accept().await else {
            return Ok(None);
        };
        let (hello, mut respond) = hello?;
        match handshake::authenticate(&self.identity, &hello) {
            Ok(from) => {
                is_authenticated.store(true, atomic::Ordering::Relaxed);
                respond.send_response(http::Response::new(()), true)?;
                self.counters.count_connection();
                Ok(Some((connection, from)))
            }
            Err(reason) => {
                self.counters.count_refusal(reason);
                log::warn!("event=peer_refused remote={} reason={reason}", self.remote);
                respond.send_response(handshake::refusal_response(reason), true)?;
                connection.graceful_shutdown();
                while connection.accept().await.is_some() {}
                Ok(None)
            }
        }
    }

    async fn serve(self, mut connection: Connection, from: model::InstanceId) {
        let session = sync::Arc::new(self);
        let mut streams = task::JoinSet::new();
        let mut closing = false;
        loop {
            // Time to wait for the other end to close the connection, or to send a request.
            let idle_limit = if closing { CLOSE_TIMEOUT } else { IDLE_TIMEOUT };
            let idle = streams.is_empty();
            tokio::select! {
                accepted = connection.accept() => match accepted {
                    Some(Ok((request, respond))) => {
                        let session = sync::Arc::clone(&session);
                        streams.spawn(session.handle_request(from.clone(), request, respond));
                    }
                    Some(Err(_)) | None => break,
                },
                Some(joined) = streams.join_next() => log_panic(joined),
                () = session.shutdown.cancelled(), if !closing => {
                    connection.graceful_shutdown();
                    closing = true;
                }
                () = tokio::time::sleep(idle_limit), if idle => {
                    if closing {
                        break;
                    }
                    connection.graceful_shutdown();
                    closing = true;
                }
            }
        }
        drop(connection);
        while let Some(joined) = streams.join_next().await {
            log_panic(joined);
        }
    }

    async fn handle_request(
        self: sync::Arc<Self>,
        from: model::InstanceId,
        request: Request,
        mut respond: Respond,
    ) {
        if request.uri().path() == exchange::CHANNEL_PATH {
            self.serve_channel(from, request, respond).await;
            return;
        }
        let mut held = self.received.begin();
        let (request, category) = match self.read_request(request, &mut held).await {
            Ok(ReadOutcome::Complete(request, category)) => (request, category),
            Ok(ReadOutcome::Incomplete) => return,
            Ok(ReadOutcome::NoRoom) => {
                // Tells the sender that the request was not handled.
                self.counters.count_refused_stream();
                respond.send_reset(h2::Reason::REFUSED_STREAM);
                return;
            }
            Err(reason) => {
                self.counters.count_refusal(reason);
                log::warn!("event=peer_request_refused from={from:?} reason={reason}");
                let _ = respond.send_response(handshake::refusal_response(reason), true);
                return;
            }
        };
        let response = self.handler.handle(from, request).await;
        drop(held);
        let sending = self.write_response(response, category, respond);
        if tokio::time::timeout(TRANSFER_TIMEOUT, sending)
            .await
            .is_err()
        {
            log::debug!("event=peer_response_timed_out remote={}", self.remote);
        }
    }

    async fn serve_channel(&self, from: model::InstanceId, request: Request, mut respond: Respond) {
        let Ok(send_stream) = respond.send_response(http::Response::new(()), false) else {
            return;
        };
        let receive_stream = request.into_body();
        let channel = channel::Channel::new(send_stream, receive_stream, self.max_message_bytes);
        self.handler.serve_channel(from, channel).await;
    }

    /// Reads a request; `held` counts its bytes.
    async fn read_request(
        &self,
        request: Request,
        held: &mut received::HeldBytes,
    ) -> Result<ReadOutcome<H::Request>, error::RefusalReason> {
        let mut stream = request.into_body();
        let has_room = |bytes| held.add(bytes);
        let reading = codec::read_all(&mut stream, self.max_message_bytes, has_room);
        let message = match tokio::time::timeout(TRANSFER_TIMEOUT, reading).await {
            Ok(Ok(message)) => message,
            Ok(Err(codec::ReadError::TooLarge { .. })) => {
                return Err(error::RefusalReason::TooLarge);
            }
            Ok(Err(codec::ReadError::NoRoom)) => return Ok(ReadOutcome::NoRoom),
            Ok(Err(codec::ReadError::StreamFailed(_))) | Err(_) => {
                return Ok(ReadOutcome::Incomplete);
            }
        };
        let request: H::Request = codec::decode(&message).ok_or(error::RefusalReason::Malformed)?;
        let category = counts::Category::of(&request);
        self.counters.count_received(category, message.len());
        Ok(ReadOutcome::Complete(request, category))
    }

    async fn write_response(
        &self,
        response: <H::Request as message::Message>::Response,
        category: counts::Category,
        mut respond: Respond,
    ) {
        let Some(message) = codec::encode(&response, self.max_message_bytes) else {
            log::error!("event=peer_response_too_large remote={}", self.remote);
            let mut error_response = http::Response::new(());
            *error_response.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR;
            let _ = respond.send_response(error_response, true);
            return;
        };
        let message_bytes = message.len();
        let Ok(mut stream) = respond.send_response(http::Response::new(()), false) else {
            return;
        };
        if codec::send_all(&mut stream, message).await.is_ok() {
            self.counters.count_sent(category, message_bytes);
        }
    }
}

fn log_panic(joined: Result<(), task::JoinError>) {
    if let Err(cause) = joined {
        log::error!("event=peer_handler_failed cause={cause}");
    }
}
