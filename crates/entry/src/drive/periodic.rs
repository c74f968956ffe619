//! Periodic tasks: ticks, polls of the list of machines, and gauges.

use std::time;

use tokio_util::sync;
use worker::Directory;

use crate::control;
use crate::drive::control_handle;
use crate::drive::effect_runner;
use crate::drive::platform;

/// Interval of [`control::Input::Tick`].
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(25);

/// Interval at which the gauges are published.
const GAUGES_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Sends ticks until `stop` is cancelled.
pub(super) async fn send_ticks(
    control_handle: control_handle::ControlHandle,
    stop: sync::CancellationToken,
) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    while stop.run_until_cancelled(interval.tick()).await.is_some() {
        control_handle.send(control::Input::Tick);
    }
}

/// Polls the platform's list of machines until `stop` is cancelled.
pub(super) async fn poll_directory<D: Directory>(
    directory: D,
    every: time::Duration,
    control_handle: control_handle::ControlHandle,
    stop: sync::CancellationToken,
) {
    let mut interval = tokio::time::interval(every);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while stop.run_until_cancelled(interval.tick()).await.is_some() {
        match stop.run_until_cancelled(directory.list()).await {
            Some(Ok(entries)) => control_handle.send(control::Input::Machines(entries)),
            Some(Err(error)) => log::warn!("failed to read the list of machines error={error}"),
            None => return,
        }
    }
}

/// Publishes the gauges of peer, worker and store traffic until `stop` is cancelled.
pub(super) async fn publish_gauges<P: platform::Platform>(
    effects: effect_runner::EffectRunner<P>,
    server: peer::Server,
    metrics: telemetry::Metrics,
    stop: sync::CancellationToken,
) {
    let mut interval = tokio::time::interval(GAUGES_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    while stop.run_until_cancelled(interval.tick()).await.is_some() {
        let mut counts = effects.link_counts();
        counts.push(server.counts());
        let sum = |of: fn(&peer::Counts) -> u64| counts.iter().map(of).sum();
        metrics.gauge("peer.control_bytes_sent", sum(|c| c.control.bytes_sent));
        metrics.gauge(
            "peer.control_bytes_received",
            sum(|c| c.control.bytes_received),
        );
        metrics.gauge("peer.traffic_bytes_sent", sum(|c| c.traffic.bytes_sent));
        metrics.gauge(
            "peer.traffic_bytes_received",
            sum(|c| c.traffic.bytes_received),
        );
        metrics.gauge("peer.connections_replaced", sum(|c| c.replaced));
        metrics.gauge("peer.refused_no_room", sum(|c| c.refused_no_room));
        metrics.gauge(
            "peer.closed_unauthenticated",
            sum(|c| c.closed_unauthenticated),
        );
        let workers = effects.platform.worker_traffic();
        metrics.gauge("worker.calls", workers.calls);
        metrics.gauge("worker.bytes_sent", workers.sent_bytes);
        metrics.gauge("worker.bytes_received", workers.received_bytes);
        let store = effects.platform.store_call_counts();
        metrics.gauge("store.reads", store.reads);
        metrics.gauge("store.writes", store.writes);
        metrics.flush();
    }
}
