//! Accepts and serves connections.

use std::sync;
use std::time;

use hyper_util::rt;
use hyper_util::service;
use tokio::net;
use tokio_util::sync as tokio_util_sync;
use tokio_util::task;

/// Smallest read buffer that hyper allows, in bytes.
const MIN_READ_BUFFER_BYTES: usize = 8192;
/// Time after the last response within which the headers of the next request must arrive.
///
/// Longer than callers keep idle connections open, so that the callers close them first and no
/// request is lost.
const HEADER_READ_TIMEOUT: time::Duration = time::Duration::from_secs(120);
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Largest request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum number of open connections; further ones are closed immediately.
    pub max_connections: usize,
}

/// Serves `router` until `shutdown` is cancelled, then completes the requests in flight.
pub async fn serve(
    listener: net::TcpListener,
    router: axum::Router,
    limits: ServerLimits,
    metrics: telemetry::Metrics,
    shutdown: tokio_util_sync::CancellationToken,
) {
    let permits = sync::Arc::new(tokio::sync::Semaphore::new(limits.max_connections));
    let tracker = task::TaskTracker::new();
    while let Some(accepted) = shutdown.run_until_cancelled(listener.accept()).await {
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("connection could not be accepted; retrying error={error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            metrics.count("refused.connection_limit");
            continue;
        };
        let connection = serve_connection(stream, router.clone(), limits, shutdown.clone());
        tracker.spawn(async move {
            connection.await;
            drop(permit);
        });
    }
    drop(listener);
    tracker.close();
    tracker.wait().await;
}

async fn serve_connection(
    stream: net::TcpStream,
    router: axum::Router,
    limits: ServerLimits,
    shutdown: tokio_util_sync::CancellationToken,
) {
    let _ = stream.set_nodelay(true);
    let service = service::TowerToHyperService::new(router);
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_buf_size(limits.max_header_bytes.max(MIN_READ_BUFFER_BYTES))
        .serve_connection(rt::TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = shutdown.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
