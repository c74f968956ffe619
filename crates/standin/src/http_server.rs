//! An HTTP server that can also close connections without a response or stop responding.

use std::future;
use std::io;
use std::net;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;

use http_body_util::BodyExt as _;
use hyper_util::rt;
use tokio::net as tokio_net;
use tokio_util::sync as tokio_sync;
use tokio_util::task as tokio_task;

use crate::error;
use crate::faults;
use crate::listener;

/// Maximum size of a request body, in bytes.
const MAX_REQUEST_BYTES: usize = 64 << 20;

/// How a service responds to a request.
#[derive(Debug)]
pub(crate) enum Response {
    /// 200 with a JSON document.
    Json(Vec<u8>),
    /// A status code with a reason as the body.
    Status(http::StatusCode, String),
    /// 200 with a body of chunks, which ends when the sender is dropped.
    Stream(tokio::sync::mpsc::UnboundedReceiver<bytes::Bytes>),
    /// Closes the connection without a response.
    CloseConnection,
}

impl Response {
    /// Responds with `document` as JSON.
    pub(crate) fn json(document: &impl serde::Serialize) -> Self {
        match serde_json::to_vec(document) {
            Ok(body) => Self::Json(body),
            Err(cause) => Self::Status(http::StatusCode::INTERNAL_SERVER_ERROR, cause.to_string()),
        }
    }

    /// Responds with an empty JSON object.
    pub(crate) fn empty() -> Self {
        Self::Json(b"{}".to_vec())
    }

    /// Rejects a request with 400 and `reason` as the body.
    pub(crate) fn bad_request(reason: impl Into<String>) -> Self {
        Self::Status(http::StatusCode::BAD_REQUEST, reason.into())
    }

    /// Rejects an unknown path with 404.
    pub(crate) fn not_found(path: &str) -> Self {
        Self::Status(http::StatusCode::NOT_FOUND, format!("no such path: {path}"))
    }
}

/// A request whose body has been read completely.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) method: http::Method,
    /// Path, without the query.
    pub(crate) path: String,
    pub(crate) body: bytes::Bytes,
}

impl Request {
    /// Parses the body as JSON.
    pub(crate) fn parse<T: serde::de::DeserializeOwned>(&self) -> Result<T, Response> {
        serde_json::from_slice(&self.body)
            .map_err(|cause| Response::bad_request(format!("{}: {cause}", self.path)))
    }
}

/// Handles the requests of an [`HttpServer`].
pub(crate) trait Service: Send + Sync + 'static {
    /// Returns whether the service currently accepts connections and responds.
    fn reachability(&self) -> faults::Reachability;

    /// Returns a permit for a new connection, or `None` if too many are open.
    fn admit_connection(&self) -> Option<ConnectionPermit>;

    /// Returns whether a request to `path` is processed even after its connection was closed.
    fn outlives_connection(&self, path: &str) -> bool;

    /// Processes a request.
    fn handle(&self, request: Request) -> impl future::Future<Output = Response> + Send;
}

/// Counts an open connection until the permit is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionPermit(sync::Arc<atomic::AtomicU32>);

impl ConnectionPermit {
    /// Counts a connection in `open`, or returns `None` if `limit` of them are open already.
    pub(crate) fn new(open: &sync::Arc<atomic::AtomicU32>, limit: u32) -> Option<Self> {
        let permit = Self(sync::Arc::clone(open));
        let others = open.fetch_add(1, atomic::Ordering::Relaxed);
        (others < limit).then_some(permit)
    }

    /// Returns a permit that counts towards no limit.
    pub(crate) fn unlimited() -> Self {
        let open = sync::Arc::new(atomic::AtomicU32::new(1));
        Self(open)
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// An HTTP/1.1 server for a [`Service`], with its listener and tasks.
#[derive(Debug)]
pub(crate) struct HttpServer {
    listener: listener::Listener,
    requests: tokio_task::TaskTracker,
    stop: tokio_sync::CancellationToken,
}

impl HttpServer {
    /// Serves `service` on `address`.
    pub(crate) fn start<S: Service>(
        address: net::SocketAddr,
        service: sync::Arc<S>,
    ) -> Result<Self, error::Error> {
        let requests = tokio_task::TaskTracker::new();
        let stop = tokio_sync::CancellationToken::new();
        let handler = HttpHandler {
            service,
            requests: requests.clone(),
            stop: stop.clone(),
        };
        let listener = listener::Listener::start(address, sync::Arc::new(handler))?;
        Ok(Self {
            listener,
            requests,
            stop,
        })
    }

    /// Returns the bound address.
    pub(crate) fn address(&self) -> net::SocketAddr {
        self.listener.address()
    }

    /// Closes the listener if `reachability` is `Down`, else opens it; waits until that has taken
    /// effect.
    pub(crate) async fn set_reachability(&self, reachability: faults::Reachability) {
        self.listener
            .set_open(reachability != faults::Reachability::Down)
            .await;
    }

    /// Closes all connections and joins all tasks.
    pub(crate) async fn shutdown(self) {
        self.stop.cancel();
        self.listener.shutdown().await;
        self.requests.close();
        self.requests.wait().await;
    }
}

struct HttpHandler<S> {
    service: sync::Arc<S>,
    /// Tasks of requests that outlive their connections.
    requests: tokio_task::TaskTracker,
    stop: tokio_sync::CancellationToken,
}

impl<S: Service> listener::ConnectionHandler for HttpHandler<S> {
    async fn handle(&self, stream: tokio_net::TcpStream) {
        let Some(_permit) = self.service.admit_connection() else {
            return;
        };
        // Best effort: without TCP_NODELAY responses only take longer.
        let _ = stream.set_nodelay(true);
        let service = hyper::service::service_fn(|request| self.respond(request));
        // An error only means that the connection ended early, by a fault or by the client.
        let _ = hyper::server::conn::http1::Builder::new()
            .serve_connection(rt::TokioIo::new(stream), service)
            .await;
    }
}

impl<S: Service> HttpHandler<S> {
    async fn respond(
        &self,
        request: http::Request<hyper::body::Incoming>,
    ) -> Result<http::Response<ResponseBody>, io::Error> {
        let (head, body) = request.into_parts();
        let body = http_body_util::Limited::new(body, MAX_REQUEST_BYTES)
            .collect()
            .await
            .map_err(io::Error::other)?
            .to_bytes();
        hang_if_silent(&*self.service).await;
        let request = Request {
            method: head.method,
            path: head.uri.path().to_owned(),
            body,
        };
        let response = if self.service.outlives_connection(&request.path) {
            self.handle_in_task(request).await?
        } else {
            self.service.handle(request).await
        };
        hang_if_silent(&*self.service).await;
        into_http_response(response)
    }

    async fn handle_in_task(&self, request: Request) -> Result<Response, io::Error> {
        let service = sync::Arc::clone(&self.service);
        let stop = self.stop.clone();
        let task = self.requests.spawn(async move {
            tokio::select! {
                response = service.handle(request) => response,
                () = stop.cancelled() => Response::CloseConnection,
            }
        });
        task.await.map_err(io::Error::other)
    }
}

/// Never returns if the service is silent, not even after it is set to respond again.
async fn hang_if_silent<S: Service>(service: &S) {
    if service.reachability() == faults::Reachability::Silent {
        future::pending::<()>().await;
    }
}

fn into_http_response(response: Response) -> Result<http::Response<ResponseBody>, io::Error> {
    let (status, body) = match response {
        Response::Json(body) => (http::StatusCode::OK, ResponseBody::whole(body)),
        Response::Status(status, reason) => (status, ResponseBody::whole(reason)),
        Response::Stream(chunks) => (http::StatusCode::OK, ResponseBody::Chunks(chunks)),
        Response::CloseConnection => return Err(io::Error::other("injected fault: reply lost")),
    };
    http::Response::builder()
        .status(status)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(body)
        .map_err(io::Error::other)
}

/// The body of a response.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// A complete body.
    Whole(http_body_util::Full<bytes::Bytes>),
    /// Chunks sent as they arrive.
    Chunks(tokio::sync::mpsc::UnboundedReceiver<bytes::Bytes>),
}

impl ResponseBody {
    fn whole(body: impl Into<bytes::Bytes>) -> Self {
        Self::Whole(http_body_util::Full::new(body.into()))
    }
}

impl hyper::body::Body for ResponseBody {
    type Data = bytes::Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<hyper::body::Frame<Self::Data>, Self::Error>>> {
        match &mut *self {
            Self::Whole(whole) => pin::Pin::new(whole).poll_frame(context),
            Self::Chunks(chunks) => chunks
                .poll_recv(context)
                .map(|chunk| chunk.map(|data| Ok(hyper::body::Frame::data(data)))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(whole) => whole.is_end_stream(),
            Self::Chunks(_) => false,
        }
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            Self::Whole(whole) => whole.size_hint(),
            Self::Chunks(_) => hyper::body::SizeHint::default(),
        }
    }
}
