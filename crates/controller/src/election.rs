//! Election: which instance leads.
//!
//! The store's entry of the leader decides; its revision is the term. Whoever replaces the entry
//! leads, and workers refuse the orders of earlier terms. The entry ends with the lease of the
//! leader's instance. A leader that nobody reaches any more is replaced before that.

use std::sync;
use std::sync::atomic;
use std::time;

use store::Store as _;

use crate::cell;
use crate::instance;
use crate::leader;
use crate::platform;
use crate::pulse;

/// Time between two looks at the leader.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// How much longer each instance waits than the one before it in the order of strength, so that
/// one claims at a time and weak machines lead only when no strong one does.
const RANK_DELAY: time::Duration = time::Duration::from_millis(30);
/// Pause after a claim or a term that failed.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Claims the leadership whenever it is free, and leads until the term is over.
pub(crate) async fn run<P: platform::Platform>(shared: sync::Arc<instance::Shared<P>>) {
    let mut cell = shared.cell.subscribe();
    loop {
        tokio::select! {
            () = tokio::time::sleep(LOOK_INTERVAL) => {}
            _ = cell.changed() => {}
            () = shared.stop.cancelled() => return,
        }
        if shared.is_draining() {
            continue;
        }
        let Some(expected) = claimable(&shared).await else {
            continue;
        };
        let Some(term) = claim(&shared, expected).await else {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        if let Err(cause) = leader::lead(&shared, term).await {
            log::warn!(term, cause:% = cause; "term ended");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Returns what the leader's entry must be for a claim, or `None` if there is no reason for one.
async fn claimable<P: platform::Platform>(
    shared: &instance::Shared<P>,
) -> Option<Option<model::Term>> {
    if shared.store_lease.load(atomic::Ordering::Relaxed) == 0 {
        return None;
    }
    let (leader, rank, is_known) = {
        let cell = shared.cell.borrow();
        let rank = cell.rank_of(&shared.member);
        (cell.leader.clone(), rank, cell.revision > 0)
    };
    if !is_known {
        return None;
    }
    let delay = RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX);
    let Some(leader) = leader else {
        tokio::time::sleep(delay).await;
        return shared.cell.borrow().leader.is_none().then_some(None);
    };
    if leader.member.address == shared.member.address {
        // An earlier process of this machine, or an earlier term of this one.
        return Some(Some(leader.term));
    }
    let contact = instance::lock(&shared.leader_contact).clone();
    if contact.term != leader.term {
        return None;
    }
    let is_silent = contact
        .heard_at
        .is_some_and(|at| at.elapsed() >= shared.settings.leader_silence);
    let store_reachable = shared.store_reachable.load(atomic::Ordering::Relaxed);
    if (contact.has_lost_store || contact.is_leaving) && store_reachable {
        tokio::time::sleep(delay).await;
        log::info!(
            leader:% = leader.member.instance_id,
            term = leader.term,
            has_lost_store = contact.has_lost_store,
            is_leaving = contact.is_leaving;
            "leader is to be replaced"
        );
        let is_same = shared.cell.borrow().leader.as_ref() == Some(&leader);
        return is_same.then_some(Some(leader.term));
    }
    if !contact.is_gone && !is_silent {
        return None;
    }
    tokio::time::sleep(delay).await;
    let is_same = shared.cell.borrow().leader.as_ref() == Some(&leader);
    if !is_same || !pulse::others_miss_leader(shared, &leader).await {
        return None;
    }
    log::info!(
        leader:% = leader.member.instance_id,
        term = leader.term,
        is_gone = contact.is_gone,
        silent_ms = contact.heard_at.map_or(0, |at| at.elapsed().as_millis() as u64);
        "leader suspected"
    );
    Some(Some(leader.term))
}

/// Replaces the leader's entry; returns the new term if that succeeded.
async fn claim<P: platform::Platform>(
    shared: &instance::Shared<P>,
    expected: Option<model::Term>,
) -> Option<model::Term> {
    let key = cell::LEADER.to_owned();
    let compare = match expected {
        Some(term) => store::Compare::ModifiedAt {
            key: key.clone(),
            revision: term,
        },
        None => store::Compare::Absent { key: key.clone() },
    };
    let lease_id = shared.store_lease.load(atomic::Ordering::Relaxed);
    let txn = store::Txn {
        compares: vec![compare],
        puts: vec![store::Put {
            key,
            value: cell::encode(&shared.member),
            lease_id: (lease_id != 0).then_some(lease_id),
        }],
        deletes: Vec::new(),
    };
    let sent_at = time::Instant::now();
    let committed = match shared.platform.store().commit(txn).await {
        Ok(committed) => committed,
        Err(cause) => {
            log::warn!(cause:% = cause; "claim of the leadership not answered");
            return settle_claim(shared, expected).await;
        }
    };
    if !committed.succeeded {
        return None;
    }
    *instance::lock(&shared.confirmed_at) = Some(sent_at);
    log::info!(term = committed.revision, replaced:? = expected; "leadership claimed");
    Some(committed.revision)
}

/// Finds out whether a claim took effect whose answer was lost.
async fn settle_claim<P: platform::Platform>(
    shared: &instance::Shared<P>,
    expected: Option<model::Term>,
) -> Option<model::Term> {
    let entry = match shared.platform.store().get(cell::LEADER).await {
        Ok(entry) => entry?,
        Err(cause) => {
            log::warn!(cause:% = cause; "claim of the leadership not settled");
            return None;
        }
    };
    let member = cell::decode::<cell::Member>(&entry.value)?;
    let term = entry.modified_revision;
    (member.instance_id == shared.member.instance_id && Some(term) != expected).then_some(term)
}
