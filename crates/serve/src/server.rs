//! Accepts and serves connections.

use std::sync;
use std::time;

use hyper_util::rt;
use hyper_util::service;
use tokio::net;
use tokio_util::sync as stop;
use tokio_util::task;

/// Smallest read buffer that hyper allows, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;
/// Time after the last response within which the headers of the next request must arrive.
///
/// Longer than callers keep idle connections open: the callers close them first, and no request is
/// lost.
const HEADER_TIMEOUT: time::Duration = time::Duration::from_secs(120);
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Largest request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum number of open connections; further ones are closed immediately.
    pub max_connections: usize,
}

/// Serves `router` until `stop` is cancelled, then completes the requests in flight.
pub async fn serve(
    listener: net::TcpListener,
    router: axum::Router,
    limits: ServerLimits,
    metrics: telemetry::Metrics,
    stop: stop::CancellationToken,
) {
    let permits = sync::Arc::new(tokio::sync::Semaphore::new(limits.max_connections));
    let tracker = task::TaskTracker::new();
    while let Some(accepted) = stop.run_until_cancelled(listener.accept()).await {
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("connection could not be accepted; retrying error={error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            metrics.count("refused.connection_limit");
            continue;
        };
        let connection = connection(stream, router.clone(), limits, stop.clone());
        tracker.spawn(async move {
            connection.await;
            drop(permit);
        });
    }
    drop(listener);
    tracker.close();
    tracker.wait().await;
}

async fn connection(
    stream: net::TcpStream,
    router: axum::Router,
    limits: ServerLimits,
    stop: stop::CancellationToken,
) {
    let _ = stream.set_nodelay(true);
    let service = service::TowerToHyperService::new(router);
    let served = hyper::server::conn::http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(rt::TokioIo::new(stream), service);
    let mut served = std::pin::pin!(served);
    tokio::select! {
        _ = served.as_mut() => return,
        () = stop.cancelled() => served.as_mut().graceful_shutdown(),
    }
    let _ = served.await;
}
