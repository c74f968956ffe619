//! Registration of this instance in the store: its entry and the lease that keeps it.

use std::sync;
use std::sync::atomic;
use std::time;

use store::Store as _;

use crate::cluster_entries;
use crate::instance;
use crate::platform;

/// Pause after a failed renewal.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Time after which an unanswered renewal is sent again in parallel: the store may have recovered
/// while the connection of the first attempt is dead.
const HEDGE_DELAY: time::Duration = time::Duration::from_millis(300);

/// Smoothing of the store latency: the newest reply has a weight of one in this many.
const LATENCY_SMOOTHING: u32 = 4;

/// Keeps the instance registered until it stops.
pub(crate) async fn run<P: platform::Platform>(shared: sync::Arc<instance::Shared<P>>) {
    loop {
        let sent_at = time::Instant::now();
        let pause = match renew(&shared).await {
            Ok(()) => {
                *instance::lock(&shared.lease_confirmed_at) = Some(sent_at);
                record_store_latency(&shared, sent_at.elapsed());
                set_store_reachable(&shared, true);
                shared.settings.store_renewal_interval
            }
            Err(cause) => {
                log::warn!(cause:% = cause; "store lease not renewed; retrying");
                set_store_reachable(&shared, false);
                RETRY_PAUSE
            }
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = shared.lease_ended.notified() => {}
            () = shared.stop.cancelled() => return,
        }
    }
}

fn record_store_latency<P: platform::Platform>(
    shared: &instance::Shared<P>,
    latency: time::Duration,
) {
    let mut smoothed = instance::lock(&shared.store_latency);
    *smoothed = (*smoothed * (LATENCY_SMOOTHING - 1) + latency) / LATENCY_SMOOTHING;
}

/// Removes this instance's entry; if the store does not reply, the entry ends with its lease.
pub(crate) async fn deregister<P: platform::Platform>(shared: &instance::Shared<P>) {
    let txn = store::Txn {
        deletes: vec![instance_key(&shared.member)],
        ..store::Txn::default()
    };
    if let Err(cause) = shared.platform.store().commit(txn).await {
        log::warn!(cause:% = cause; "entry of this instance not removed; it ends with its lease");
    }
}

fn set_store_reachable<P: platform::Platform>(shared: &instance::Shared<P>, reachable: bool) {
    let mut reachable_since = instance::lock(&shared.store_reachable_since);
    if reachable_since.is_some() != reachable {
        *reachable_since = reachable.then(time::Instant::now);
        drop(reachable_since);
        log::info!(reachable; "store reachability changed");
        shared.metrics.count(if reachable {
            "store.regained"
        } else {
            "store.lost"
        });
        if reachable {
            *instance::lock(&shared.store_regained_at) = Some(time::Instant::now());
            shared.store_regained.notify_waiters();
        }
    }
}

async fn renew<P: platform::Platform>(shared: &instance::Shared<P>) -> Result<(), store::Error> {
    let store = shared.platform.store();
    let lease_id = shared.store_lease_id.load(atomic::Ordering::Relaxed);
    if lease_id != 0 {
        if renew_lease(store, lease_id).await? {
            return record_strength(shared).await;
        }
        log::warn!(lease_id; "store lease has ended; registering again");
        shared.store_lease_id.store(0, atomic::Ordering::Relaxed);
    }
    let lease_id = store.grant_lease(shared.settings.store_lease_ttl).await?;
    let txn = store::Txn {
        puts: vec![store::Put {
            key: instance_key(&shared.member),
            value: cluster_entries::encode(&shared.member),
            lease_id: Some(lease_id),
        }],
        ..store::Txn::default()
    };
    store.commit(txn).await?;
    log::info!(lease_id; "instance registered");
    shared
        .store_lease_id
        .store(lease_id, atomic::Ordering::Relaxed);
    Ok(())
}

/// Renews a lease and repeats an unanswered call on another connection; returns whether the lease
/// still exists.
async fn renew_lease<S: store::Store>(
    store: &S,
    lease_id: store::LeaseId,
) -> Result<bool, store::Error> {
    let mut attempts = store::Hedged::default();
    loop {
        let store = store.clone();
        attempts.start(async move { store.renew_lease(lease_id).await });
        tokio::select! {
            reply = attempts.next_reply() => return reply,
            () = tokio::time::sleep(HEDGE_DELAY) => {}
        }
    }
}

/// Records the strength of this machine unless one at least as strong is recorded.
async fn record_strength<P: platform::Platform>(
    shared: &instance::Shared<P>,
) -> Result<(), store::Error> {
    if !shared
        .cluster
        .borrow()
        .exceeds_recorded_strength(&shared.member)
    {
        return Ok(());
    }
    let txn = store::Txn {
        puts: vec![store::Put {
            key: cluster_entries::STRONGEST_KEY.to_owned(),
            value: cluster_entries::encode(&shared.member.strength_milli),
            lease_id: None,
        }],
        ..store::Txn::default()
    };
    shared.platform.store().commit(txn).await.map(|_| ())
}

fn instance_key(member: &elect::Member) -> String {
    format!("{}{}", cluster_entries::INSTANCE_PREFIX, member.instance_id)
}
