//! Leader election.
//!
//! The leader is the instance named by the leader's entry in the store; the entry's revision is the
//! term. An instance becomes the leader by replacing the entry, and workers refuse orders of
//! earlier terms. The entry ends with the lease of the leader's instance. A leader that no instance
//! can reach is replaced before that.

use std::sync;
use std::sync::atomic;
use std::time;

use store::Store as _;

use crate::authority_clock;
use crate::cluster_entries;
use crate::heartbeat;
use crate::instance;
use crate::leadership;
use crate::platform;

/// Time between two checks for a reason to claim the leadership.
const CLAIM_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Pause after a failed claim or term.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(200);

/// A claim that has succeeded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Claimed {
    pub(crate) term: model::Term,
    /// Whether there was no leader's entry before.
    pub(crate) was_vacant: bool,
    /// When the claim was sent, by the authority clock; the store has confirmed the term since.
    pub(crate) sent_at: time::Instant,
    /// When its success was known.
    pub(crate) claimed_at: time::Instant,
}

/// Claims the leadership whenever there is a reason to, and leads until the term ends.
pub(crate) async fn run<P: platform::Platform>(shared: sync::Arc<instance::Shared<P>>) {
    let mut cluster = shared.cluster.subscribe();
    loop {
        tokio::select! {
            () = tokio::time::sleep(CLAIM_CHECK_INTERVAL) => {}
            _ = cluster.changed() => {}
            () = shared.stop.cancelled() => return,
        }
        if shared.is_draining() {
            continue;
        }
        let Some(due) = due_claim(&shared).await else {
            continue;
        };
        let Some(claimed) = claim(&shared, due.expected).await else {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        if let Err(cause) = leadership::lead(&shared, claimed).await {
            log::warn!(term = claimed.term, cause:% = cause; "leadership ended with an error");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Returns the claim to make now, if there still is one after this instance's claim delay.
async fn due_claim<P: platform::Platform>(shared: &instance::Shared<P>) -> Option<elect::Claim> {
    // The leader's entry depends on the lease of its instance.
    if !shared.has_confirmed_lease() {
        return None;
    }
    let claim = decide_claim(shared)?;
    let store_latency = *instance::lock(&shared.store_latency);
    let delay = shared
        .cluster
        .borrow()
        .claim_delay(&shared.member, store_latency);
    tokio::time::sleep(delay).await;
    if decide_claim(shared) != Some(claim) {
        return None;
    }
    let leader = shared.cluster.borrow().leader().cloned();
    if let Some(leader) = &leader
        && claim.reason.requires_peer_confirmation()
        && !heartbeat::peers_confirm_leader_loss(shared, leader).await
    {
        return None;
    }
    log::info!(
        reason = claim.reason.as_str(),
        leader:% = leader.map_or_else(|| "".into(), |leader| leader.member.instance_id),
        term:? = claim.expected;
        "claiming the leadership"
    );
    Some(claim)
}

fn decide_claim<P: platform::Platform>(shared: &instance::Shared<P>) -> Option<elect::Claim> {
    let health = instance::lock(&shared.leader_health).clone();
    elect::decide_claim(&elect::ClaimContext {
        own: &shared.member,
        cluster: &shared.cluster.borrow(),
        health: &health,
        store_reachable_since: *instance::lock(&shared.store_reachable_since),
        silence_limit: shared.settings.leader_silence_limit,
        now: time::Instant::now(),
    })
}

/// Replaces the leader's entry and acknowledges the new term, which is returned on success.
async fn claim<P: platform::Platform>(
    shared: &instance::Shared<P>,
    expected: Option<model::Term>,
) -> Option<Claimed> {
    let asked_at = authority_clock::now();
    let term = replace_leader(shared, expected, time::Instant::now()).await?;
    // This instance is known to have acknowledged the term from `claimed_at` on.
    shared.acknowledge(term);
    Some(Claimed {
        term,
        was_vacant: expected.is_none(),
        sent_at: asked_at,
        claimed_at: time::Instant::now(),
    })
}

/// Replaces the leader's entry by a transaction that is sent after `sent_at`; returns the new term on
/// success.
async fn replace_leader<P: platform::Platform>(
    shared: &instance::Shared<P>,
    expected: Option<model::Term>,
    sent_at: time::Instant,
) -> Option<model::Term> {
    let key = cluster_entries::LEADER_KEY.to_owned();
    let compare = match expected {
        Some(term) => store::Compare::ModifiedAt {
            key: key.clone(),
            revision: term,
        },
        None => store::Compare::Absent { key: key.clone() },
    };
    let lease_id = shared.store_lease_id.load(atomic::Ordering::Relaxed);
    let txn = store::Txn {
        compares: vec![compare],
        puts: vec![store::Put {
            key,
            value: cluster_entries::encode(&shared.member),
            lease_id: (lease_id != 0).then_some(lease_id),
        }],
        deletes: Vec::new(),
    };
    let committed = match shared.platform.store().commit(txn).await {
        Ok(committed) => committed,
        Err(cause) if cause.kind() == store::ErrorKind::LeaseEnded => {
            log::warn!(lease_id; "leadership not claimed: the store lease has ended");
            shared.lease_ended.notify_one();
            return None;
        }
        Err(cause) => {
            log::warn!(
                cause:% = cause;
                "outcome of the leadership claim unknown; reading the leader entry"
            );
            return resolve_claim(shared, expected).await;
        }
    };
    if !committed.succeeded {
        // The view of the leader is out of date.
        resolve_claim(shared, expected).await;
        return None;
    }
    *instance::lock(&shared.lease_confirmed_at) = Some(sent_at);
    log::info!(term = committed.revision, replaced:? = expected; "leadership claimed");
    Some(committed.revision)
}

/// Reads the leader's entry and corrects the view; returns the term if a claim of this instance has
/// succeeded without a reply.
async fn resolve_claim<P: platform::Platform>(
    shared: &instance::Shared<P>,
    expected: Option<model::Term>,
) -> Option<model::Term> {
    let entry = match shared
        .platform
        .store()
        .get(cluster_entries::LEADER_KEY)
        .await
    {
        Ok(entry) => entry,
        Err(cause) => {
            log::warn!(
                cause:% = cause;
                "leader entry not read; outcome of the leadership claim still unknown"
            );
            return None;
        }
    };
    let leader = entry.as_ref().map(cluster_entries::decode_leader);
    let term = leader.as_ref().map(|leader| leader.term);
    let is_own = leader
        .as_ref()
        .is_some_and(|leader| leader.member.instance_id == shared.member.instance_id);
    shared
        .cluster
        .send_if_modified(|view| view.correct_leader(expected, leader));
    term.filter(|_| is_own && term != expected)
}
