//! Accepts and serves connections.

use std::convert;
use std::future;
use std::io;
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
    /// Detects stalls, after which requests carry [`AgeUnknown`].
    pub monitor: stall::Monitor,
}

/// Extension of a request of which a part may have waited in a socket while the process stood still.
///
/// The caller may have given up since and cancelled elsewhere, so that a request that changes something
/// must be refused; it has not been passed on.
#[derive(Clone, Copy, Debug)]
pub struct AgeUnknown;

/// Serves `router` until `shutdown` is cancelled, then completes the requests in flight.
pub async fn serve(
    listener: net::TcpListener,
    router: axum::Router,
    limits: ServerLimits,
    shutdown: tokio_util_sync::CancellationToken,
) {
    let open = connections::Connections::new(limits.budget.clone(), limits.max_connections);
    let tracker = task::TaskTracker::new();
    let mut overdue_check = OverdueCheck::new(open.clone());
    let mut waiting = stall::Input::empty_at(limits.monitor.clone(), stall::uptime());
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &mut waiting) => accepted,
            () = overdue_check.wait() => {
                overdue_check.run();
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
        let _ = stream.set_nodelay(true);
        // What the client has sent may be as old as the connection, which has waited for the accept.
        let socket = socket::Socket::new(stream, handle.clone(), waiting.clone());
        let connection = serve_connection(
            socket,
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
            () = overdue_check.wait() => overdue_check.run(),
        }
    }
}

/// Accepts a connection; records in `waiting` when none waits.
async fn accept(
    listener: &net::TcpListener,
    waiting: &mut stall::Input,
) -> io::Result<(net::TcpStream, std::net::SocketAddr)> {
    future::poll_fn(|context| {
        let accepted = listener.poll_accept(context);
        if accepted.is_pending() {
            waiting.record_nothing(stall::uptime());
        }
        accepted
    })
    .await
}

/// Closes connections that take too long.
struct OverdueCheck {
    open: connections::Connections,
    interval: tokio::time::Interval,
    last_at: time::Instant,
    /// Whether the last check was left out.
    is_skipped: bool,
}

impl OverdueCheck {
    fn new(open: connections::Connections) -> Self {
        let mut interval = tokio::time::interval(OVERDUE_CHECK_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        Self {
            open,
            interval,
            last_at: time::Instant::now(),
            is_skipped: false,
        }
    }

    /// Waits until the next check is due.
    async fn wait(&mut self) {
        self.interval.tick().await;
    }

    /// Checks the connections. After a time in which the process stood still one check is left out:
    /// what clients have sent meanwhile is read first.
    fn run(&mut self) {
        let now = time::Instant::now();
        let is_late = now.duration_since(self.last_at) > 2 * OVERDUE_CHECK_INTERVAL;
        self.last_at = now;
        self.is_skipped = is_late && !self.is_skipped;
        if !self.is_skipped {
            self.open.close_overdue();
        }
    }
}

async fn serve_connection(
    socket: socket::Socket,
    router: axum::Router,
    max_header_bytes: usize,
    handle: connections::Handle,
    shutdown: tokio_util_sync::CancellationToken,
) {
    let io = rt::TokioIo::new(socket);
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
/// Only a request that needs an extension carries one, since each allocates.
async fn handle_request(
    mut router: axum::Router,
    connection: connections::Handle,
    mut request: hyper::Request<hyper::body::Incoming>,
) -> Result<axum::response::Response, convert::Infallible> {
    connection.begin_request();
    if !request.body().is_end_stream() {
        request.extensions_mut().insert(connection.clone());
    }
    if connection.is_age_unknown() {
        request.extensions_mut().insert(AgeUnknown);
    }
    let handled = router.call(request).await;
    connection.end_request();
    handled.map(|handled| response::charge(handled, &connection))
}
