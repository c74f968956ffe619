//! Accepts and serves connections.

use std::convert;
use std::time;

use hyper::body::Body as _;
use hyper_util::rt;
use tokio::net;
use tokio_util::sync as tokio_util_sync;
use tokio_util::task;
use tower::Service as _;

use crate::budget;
use crate::connections;
use crate::response;
use crate::socket;

/// Smallest read buffer that hyper allows, in bytes.
const MIN_READ_BUFFER_BYTES: usize = 8192;
/// Time after the last response within which the headers of the next request must arrive.
///
/// Longer than callers keep idle connections open, so that the callers close them first and no
/// request is lost.
const HEADER_READ_TIMEOUT: time::Duration = time::Duration::from_secs(120);
/// Time between two looks for connections that take too long; short against their limits of
/// seconds.
const OVERDUE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Limits of a listener.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// Largest request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum number of open connections. A further one is accepted if an idle or stalled one can
    /// be closed for it, else it is closed immediately.
    pub max_connections: usize,
    /// Memory that clients may fill.
    pub budget: budget::Budget,
}

/// Serves `router` until `shutdown` is cancelled, then completes the requests in flight.
pub async fn serve(
    listener: net::TcpListener,
    router: axum::Router,
    limits: ServerLimits,
    shutdown: tokio_util_sync::CancellationToken,
) {
    let open = connections::Connections::new(limits.budget.clone(), limits.max_connections);
    let tracker = task::TaskTracker::new();
    let mut overdue_check = tokio::time::interval(OVERDUE_CHECK_INTERVAL);
    overdue_check.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = overdue_check.tick() => {
                open.close_overdue();
                continue;
            }
            () = shutdown.cancelled() => break,
        };
        let (stream, address) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("connection could not be accepted; retrying error={error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Some(handle) = open.admit(address.ip()) else {
            continue;
        };
        let open = open.clone();
        let connection = serve_connection(
            stream,
            router.clone(),
            limits.max_header_bytes,
            handle.clone(),
            shutdown.clone(),
        );
        tracker.spawn(async move {
            connection.await;
            open.remove(&handle);
        });
    }
    drop(listener);
    tracker.close();
    let finish = tracker.wait();
    let mut finish = std::pin::pin!(finish);
    loop {
        tokio::select! {
            () = finish.as_mut() => return,
            _ = overdue_check.tick() => open.close_overdue(),
        }
    }
}

async fn serve_connection(
    stream: net::TcpStream,
    router: axum::Router,
    max_header_bytes: usize,
    handle: connections::Handle,
    shutdown: tokio_util_sync::CancellationToken,
) {
    let _ = stream.set_nodelay(true);
    let io = rt::TokioIo::new(socket::Socket::new(stream, handle.clone()));
    let service = hyper::service::service_fn(|request| {
        handle_request(router.clone(), handle.clone(), request)
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_buf_size(max_header_bytes.max(MIN_READ_BUFFER_BYTES))
        .serve_connection(io, service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = handle.closed() => return,
        () = shutdown.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        _ = connection => {}
        () = handle.closed() => {}
    }
}

/// Passes a request to the router, and tells the connection when it begins and ends.
///
/// Only a request with a body carries the handle of its connection, since each extension allocates.
async fn handle_request(
    mut router: axum::Router,
    connection: connections::Handle,
    mut request: hyper::Request<hyper::body::Incoming>,
) -> Result<axum::response::Response, convert::Infallible> {
    connection.begin_request();
    if !request.body().is_end_stream() {
        request.extensions_mut().insert(connection.clone());
    }
    let handled = router.call(request).await;
    connection.end_request();
    handled.map(|handled| response::charge(handled, &connection))
}
