//! Publishes what the peer listener has refused.

use std::sync;
use std::time;

use crate::instance;
use crate::platform;

/// Time between two updates of the gauges.
const INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Publishes the counters of `server` until the instance stops.
pub(crate) async fn run<P: platform::Platform>(
    shared: sync::Arc<instance::Shared<P>>,
    server: peer::Server,
) {
    let mut interval = tokio::time::interval(INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    let stop = shared.stop.clone();
    while stop.run_until_cancelled(interval.tick()).await.is_some() {
        let counts = server.counts();
        let metrics = &shared.metrics;
        metrics.gauge("peer.refused_no_room", counts.refused_no_room);
        metrics.gauge("peer.closed_unauthenticated", counts.closed_unauthenticated);
    }
}
