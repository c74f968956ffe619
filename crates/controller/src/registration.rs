//! This instance's entry in the store, and the lease that keeps it.

use std::sync;
use std::sync::atomic;
use std::time;

use store::Store as _;

use crate::cell;
use crate::instance;
use crate::platform;

/// Keeps the instance registered until it stops.
pub(crate) async fn run<P: platform::Platform>(shared: sync::Arc<instance::Shared<P>>) {
    loop {
        let sent_at = time::Instant::now();
        match renew(&shared).await {
            Ok(()) => {
                *instance::lock(&shared.confirmed_at) = Some(sent_at);
                note_reachable(&shared, true);
            }
            Err(cause) => {
                log::warn!(cause:% = cause; "store lease not renewed");
                note_reachable(&shared, false);
            }
        }
        tokio::select! {
            () = tokio::time::sleep(shared.settings.store_renewal) => {}
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
    }
}

async fn renew<P: platform::Platform>(shared: &instance::Shared<P>) -> Result<(), store::Error> {
    let store = shared.platform.store();
    let lease_id = shared.store_lease.load(atomic::Ordering::Relaxed);
    if lease_id != 0 {
        if store.keep_lease(lease_id).await? {
            return Ok(());
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

fn key_of(member: &elect::Member) -> String {
    format!("{}{}", cell::INSTANCES, member.instance_id)
}
