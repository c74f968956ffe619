//! This instance's entry in the store, and the lease that keeps it.

use std::sync;
use std::sync::atomic;
use std::time;

use store::Store as _;
use tokio::task;

use crate::cell;
use crate::instance;
use crate::platform;

/// Pause after a renewal that failed.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Time after which a renewal that is not answered is sent again beside the first: the store may be
/// back while the connection of the first is lost.
const HEDGE_PAUSE: time::Duration = time::Duration::from_millis(300);

/// Keeps the instance registered until it stops.
pub(crate) async fn run<P: platform::Platform>(shared: sync::Arc<instance::Shared<P>>) {
    loop {
        let sent_at = time::Instant::now();
        let pause = match renew(&shared).await {
            Ok(()) => {
                *instance::lock(&shared.confirmed_at) = Some(sent_at);
                note_reachable(&shared, true);
                shared.settings.store_renewal
            }
            Err(cause) => {
                log::warn!(cause:% = cause; "store lease not renewed");
                note_reachable(&shared, false);
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

/// Removes the instance's entries, as far as the store answers.
pub(crate) async fn leave<P: platform::Platform>(shared: &instance::Shared<P>) {
    let txn = store::Txn {
        deletes: vec![key_of(&shared.member)],
        ..store::Txn::default()
    };
    if let Err(cause) = shared.platform.store().commit(txn).await {
        log::warn!(cause:% = cause; "entry of this instance not removed, it ends with its lease");
    }
}

fn note_reachable<P: platform::Platform>(shared: &instance::Shared<P>, reachable: bool) {
    let before = shared
        .store_reachable
        .swap(reachable, atomic::Ordering::Relaxed);
    if before != reachable {
        log::info!(reachable; "store contact changed");
        shared.metrics.count(if reachable {
            "store.regained"
        } else {
            "store.lost"
        });
        if reachable {
            shared.store_regained.notify_waiters();
        }
    }
}

async fn renew<P: platform::Platform>(shared: &instance::Shared<P>) -> Result<(), store::Error> {
    let store = shared.platform.store();
    let lease_id = shared.store_lease.load(atomic::Ordering::Relaxed);
    if lease_id != 0 {
        if keep_lease(store, lease_id).await? {
            return record_strength(shared).await;
        }
        log::warn!(lease_id; "store lease has ended");
        shared.store_lease.store(0, atomic::Ordering::Relaxed);
    }
    let lease_id = store.grant_lease(shared.settings.store_lease).await?;
    let txn = store::Txn {
        puts: vec![store::Put {
            key: key_of(&shared.member),
            value: cell::encode(&shared.member),
            lease_id: Some(lease_id),
        }],
        ..store::Txn::default()
    };
    store.commit(txn).await?;
    log::info!(lease_id; "instance registered");
    shared
        .store_lease
        .store(lease_id, atomic::Ordering::Relaxed);
    Ok(())
}

/// Renews a lease, over another connection if the first is silent; returns whether it lasts.
async fn keep_lease<S: store::Store>(
    store: &S,
    lease_id: store::LeaseId,
) -> Result<bool, store::Error> {
    let mut calls = task::JoinSet::new();
    loop {
        let store = store.clone();
        calls.spawn(async move { store.keep_lease(lease_id).await });
        tokio::select! {
            Some(ended) = calls.join_next() => {
                return ended.unwrap_or_else(|cause| {
                    Err(store::Error::new(store::ErrorKind::Timeout, cause.to_string()))
                });
            }
            () = tokio::time::sleep(HEDGE_PAUSE) => {}
        }
    }
}

/// Records the strength of this machine if none is recorded that is as strong.
async fn record_strength<P: platform::Platform>(
    shared: &instance::Shared<P>,
) -> Result<(), store::Error> {
    if !shared
        .cell
        .borrow()
        .exceeds_recorded_strength(&shared.member)
    {
        return Ok(());
    }
    let txn = store::Txn {
        puts: vec![store::Put {
            key: cell::STRONGEST.to_owned(),
            value: cell::encode(&shared.member.strength_milli),
            lease_id: None,
        }],
        ..store::Txn::default()
    };
    shared.platform.store().commit(txn).await.map(|_| ())
}

fn key_of(member: &elect::Member) -> String {
    format!("{}{}", cell::INSTANCES, member.instance_id)
}
