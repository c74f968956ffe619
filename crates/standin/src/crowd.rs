//! A crowd of clients that don't behave as callers do, and the resources of the process that they
//! call.

use std::fs;
use std::net;
use std::sync;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// Size of the bodies that clients announce or send, in bytes: the largest that the system accepts.
pub const BODY_BYTES: usize = 256 * 1024;
/// Bytes at the end of a body that are never sent.
const WITHHELD_BYTES: usize = 16;
/// Size of the pieces of [`Behaviour::Pieces`], in bytes.
const PIECE_BYTES: usize = 2_000;
/// Size of the chunks of [`Behaviour::LargeChunks`], in bytes.
const LARGE_CHUNK_BYTES: usize = 64 * 1024;
/// Bytes of a head that never ends; less than the largest head that the system accepts.
const HEAD_BYTES: usize = 15 * 1024;
/// Requests of [`Behaviour::Pipelined`] on each connection.
const PIPELINED_REQUESTS: usize = 2_000;
/// Requests of [`Behaviour::Unread`] on each connection.
const UNREAD_REQUESTS: usize = 20_000;
/// Client preface of HTTP/2, and an empty SETTINGS frame.
const H2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";
/// Payload that the HEADERS frames of [`Behaviour::H2Withheld`] announce, in bytes.
const H2_FRAME_BYTES: usize = 16_384;
/// Time after which a client that can't send more stops trying; it bounds how long a crowd takes,
/// and no check depends on it.
const SEND_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// What each client of a crowd does after it has connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Sends a body as fast as it can and stops just short of its end.
    WholeBody,
    /// The same in pieces of 2,000 bytes.
    Pieces,
    /// Sends a chunked body in large chunks and stops just short of its end.
    LargeChunks,
    /// Sends a chunked body in chunks of one byte and stops just short of its end.
    OneByteChunks,
    /// Sends a head that never ends.
    EndlessHead,
    /// Sends nothing.
    Silent,
    /// Sends requests without reading any response.
    Unread,
    /// Sends many requests at once, and reads the responses.
    Pipelined,
    /// Sends the preface of HTTP/2 and nothing more.
    H2Preface,
    /// Announces frames of HTTP/2 and stops just short of their end.
    H2Withheld,
}

/// A crowd of clients; their connections stay open until it is dropped.
#[derive(Debug)]
pub struct Crowd {
    clients: tokio::task::JoinSet<()>,
    has_sent: sync::Arc<tokio::sync::Semaphore>,
    count: u32,
}

impl Crowd {
    /// Starts `count` clients that call `address`.
    ///
    /// `request` is the request line and the headers of the request that the clients send, each with
    /// its line end.
    #[must_use]
    pub fn start(
        address: net::SocketAddr,
        behaviour: Behaviour,
        count: u32,
        request: &str,
    ) -> Self {
        let has_sent = sync::Arc::new(tokio::sync::Semaphore::new(0));
        let mut clients = tokio::task::JoinSet::new();
        for _ in 0..count {
            let has_sent = sync::Arc::clone(&has_sent);
            let request = request.to_owned();
            clients.spawn(async move {
                let stream = connect(address).await;
                if let Some(mut stream) = stream {
                    let sending = send(&mut stream, behaviour, &request);
                    // A client whose connection is closed, or that can't send more, is done.
                    let _ = tokio::time::timeout(SEND_TIMEOUT, sending).await;
                    has_sent.add_permits(1);
                    hold(stream, behaviour).await;
                } else {
                    has_sent.add_permits(1);
                }
            });
        }
        Self {
            clients,
            has_sent,
            count,
        }
    }

    /// Waits until each client has sent what it sends, or can send no more.
    pub async fn wait_until_sent(&self) {
        // The semaphore is never closed.
        let _ = self.has_sent.acquire_many(self.count).await;
    }

    /// Returns the number of connections that the other end has not closed.
    #[must_use]
    pub fn open_connections(&mut self) -> usize {
        while self.clients.try_join_next().is_some() {}
        self.clients.len()
    }
}

async fn connect(address: net::SocketAddr) -> Option<tokio::net::TcpStream> {
    let connecting = tokio::net::TcpStream::connect(address);
    let connected = tokio::time::timeout(SEND_TIMEOUT, connecting).await;
    connected.ok()?.ok()
}

async fn send(
    stream: &mut tokio::net::TcpStream,
    behaviour: Behaviour,
    request: &str,
) -> std::io::Result<()> {
    match behaviour {
        Behaviour::WholeBody | Behaviour::Pieces => {
            let head = format!("{request}content-length: {BODY_BYTES}\r\n\r\n");
            stream.write_all(head.as_bytes()).await?;
            let body = vec![b' '; BODY_BYTES - WITHHELD_BYTES];
            if behaviour == Behaviour::WholeBody {
                return stream.write_all(&body).await;
            }
            stream.set_nodelay(true)?;
            for piece in body.chunks(PIECE_BYTES) {
                stream.write_all(piece).await?;
                // Other clients send in between, so that the pieces arrive one by one.
                tokio::task::yield_now().await;
            }
            Ok(())
        }
        Behaviour::LargeChunks => {
            send_chunked(stream, request, LARGE_CHUNK_BYTES, LARGE_CHUNK_BYTES).await
        }
        Behaviour::OneByteChunks => send_chunked(stream, request, 1, PIECE_BYTES).await,
        Behaviour::EndlessHead => {
            let filler = "a".repeat(HEAD_BYTES);
            let head = format!("{request}x-filler: {filler}");
            stream.write_all(head.as_bytes()).await
        }
        Behaviour::Silent => Ok(()),
        Behaviour::Unread => send_repeated(stream, request, UNREAD_REQUESTS).await,
        Behaviour::Pipelined => {
            let (mut reader, mut writer) = stream.split();
            let mut buffer = [0; PIECE_BYTES];
            let sending = send_repeated(&mut writer, request, PIPELINED_REQUESTS);
            tokio::select! {
                sent = sending => sent,
                () = async { while matches!(reader.read(&mut buffer).await, Ok(1..)) {} } => Ok(()),
            }
        }
        Behaviour::H2Preface => stream.write_all(H2_PREFACE).await,
        Behaviour::H2Withheld => {
            stream.write_all(H2_PREFACE).await?;
            // Length, type HEADERS, flag END_HEADERS, stream 1.
            let mut frame = vec![0, 0x40, 0, 1, 4, 0, 0, 0, 1];
            frame.resize(frame.len() + H2_FRAME_BYTES - WITHHELD_BYTES, 0x82);
            stream.write_all(&frame).await
        }
    }
}

/// Sends a chunked body; several chunks are written at once, up to `write_bytes` of the body.
async fn send_chunked(
    stream: &mut tokio::net::TcpStream,
    request: &str,
    chunk_bytes: usize,
    write_bytes: usize,
) -> std::io::Result<()> {
    let head = format!("{request}transfer-encoding: chunked\r\n\r\n");
    stream.write_all(head.as_bytes()).await?;
    let mut chunk = format!("{chunk_bytes:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + chunk_bytes, b' ');
    chunk.extend_from_slice(b"\r\n");
    let group = chunk.repeat(write_bytes / chunk_bytes);
    for _ in 0..BODY_BYTES / write_bytes - 1 {
        stream.write_all(&group).await?;
        tokio::task::yield_now().await;
    }
    // The last chunk of the last group is incomplete.
    stream.write_all(&group[..group.len() - 3]).await
}

async fn send_repeated<W: tokio::io::AsyncWrite + Unpin>(
    stream: &mut W,
    request: &str,
    count: usize,
) -> std::io::Result<()> {
    let group = format!("{request}\r\n").repeat(100);
    for _ in 0..count / 100 {
        stream.write_all(group.as_bytes()).await?;
        tokio::task::yield_now().await;
    }
    Ok(())
}

/// Keeps the connection open until the other end closes it.
async fn hold(mut stream: tokio::net::TcpStream, behaviour: Behaviour) {
    if behaviour == Behaviour::Unread {
        std::future::pending::<()>().await;
    }
    let mut buffer = [0; PIECE_BYTES];
    while matches!(stream.read(&mut buffer).await, Ok(1..)) {}
}

/// Sends one request on a new connection; returns the status code of the response, `None` if there
/// is none.
pub async fn ask(address: net::SocketAddr, request: &str, body: &str) -> Option<u16> {
    let length = body.len();
    let message = format!("{request}content-length: {length}\r\nconnection: close\r\n\r\n{body}");
    ask_raw(address, &message).await
}

/// Sends a whole message on a new connection that the other end closes after its response; returns
/// the status code of the response, `None` if there is none.
pub async fn ask_raw(address: net::SocketAddr, message: &str) -> Option<u16> {
    let mut stream = connect(address).await?;
    let exchange = async {
        stream.write_all(message.as_bytes()).await.ok()?;
        let mut response = Vec::new();
        // A response may be complete although the connection was then reset.
        let _ = stream.read_to_end(&mut response).await;
        let text = String::from_utf8_lossy(&response);
        text.split(' ').nth(1)?.parse().ok()
    };
    tokio::time::timeout(SEND_TIMEOUT, exchange).await.ok()?
}

/// Memory and descriptors of a process.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Resident memory, in kB.
    pub resident_kb: u64,
    /// Largest resident memory since the start of the process, in kB.
    pub peak_kb: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

impl Usage {
    /// Reads what the system reports of the process; `None` if it has ended.
    #[must_use]
    pub fn of_process(id: u32) -> Option<Self> {
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let field = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name))?;
            line.split_whitespace().next()?.parse().ok()
        };
        Some(Self {
            resident_kb: field("VmRSS:")?,
            peak_kb: field("VmHWM:")?,
            descriptors: fs::read_dir(format!("/proc/{id}/fd")).ok()?.count(),
        })
    }
}
