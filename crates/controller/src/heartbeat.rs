//! Heartbeats that followers send to the leader; its replies show that it is alive.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use rand::seq::IteratorRandom as _;

use crate::confirmation;
use crate::instance;
use crate::platform;

/// Time after which a heartbeat, or another request of this module, counts as unanswered.
const HEARTBEAT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Time between two checks for links to instances that have left.
const LINK_CHECK_INTERVAL: time::Duration = time::Duration::from_secs(60);
/// Intervals after which a heartbeat is sent although the leader's orders show that it is alive: its
/// reply also has the version of the manifest.
const MAX_SKIPPED_HEARTBEATS: u32 = 4;
/// Number of peers that an instance asks in turn for the leader while the store is unreachable.
const QUERIED_PEERS: usize = 3;

/// Sends heartbeats to the leader until the instance stops.
pub(crate) async fn run<P: platform::Platform>(shared: sync::Arc<instance::Shared<P>>) {
    let mut cluster = shared.cluster.subscribe();
    let mut sent_at = None;
    let mut links_checked_at = time::Instant::now();
    loop {
        if links_checked_at.elapsed() >= LINK_CHECK_INTERVAL && shared.is_store_reachable() {
            links_checked_at = time::Instant::now();
            close_unused_links(&shared).await;
        }
        let leader = cluster.borrow_and_update().leader().cloned();
        let mut pause = shared.settings.heartbeat_interval;
        if let Some(leader) = leader
            && leader.member.instance_id != shared.member.instance_id
            && !leader.is_unreadable()
        {
            match pause_after_orders(&shared, &leader, sent_at) {
                Some(shorter) => pause = shorter,
                None => {
                    sent_at = Some(time::Instant::now());
                    send_heartbeat(&shared, &leader).await;
                }
            }
        }
        if !shared.is_store_reachable() && shared.leading.borrow().is_none() {
            query_peers_for_leader(&shared).await;
        }
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            _ = cluster.changed() => {}
            () = shared.leader_lost.notified() => sent_at = None,
            () = shared.stop.cancelled() => return,
        }
    }
}

/// Returns the time until the next heartbeat if none is needed now, as orders of the leader show that
/// it is alive; `sent_at` is when the last one was sent.
fn pause_after_orders<P: platform::Platform>(
    shared: &instance::Shared<P>,
    leader: &elect::Leader,
    sent_at: Option<time::Instant>,
) -> Option<time::Duration> {
    let interval = shared.settings.heartbeat_interval;
    if sent_at?.elapsed() >= interval * MAX_SKIPPED_HEARTBEATS {
        return None;
    }
    let health = instance::lock(&shared.leader_health);
    if health.term != leader.term || health.is_gone {
        return None;
    }
    let age = health.last_reply_at?.elapsed();
    (age < interval).then(|| interval - age)
}

/// Records what the leader of `term` tells with its orders.
pub(crate) fn record_leader_state<P: platform::Platform>(
    shared: &instance::Shared<P>,
    term: model::Term,
    state: relay::LeaderState,
) {
    let mut health = instance::lock(&shared.leader_health);
    if health.term == term {
        health.record_reply(
            time::Instant::now(),
            state.has_lost_store,
            state.is_draining,
        );
    }
}

/// Closes links to instances that are no longer members.
async fn close_unused_links<P: platform::Platform>(shared: &instance::Shared<P>) {
    let in_use: collections::HashSet<_> = {
        let cluster = shared.cluster.borrow();
        let leader = cluster.leader().map(|leader| &leader.member);
        let members = cluster.members().chain(leader);
        members
            .map(|member| sync::Arc::clone(&member.address))
            .collect()
    };
    shared
        .links
        .retain(|address| in_use.contains(address))
        .await;
}

async fn send_heartbeat<P: platform::Platform>(
    shared: &instance::Shared<P>,
    leader: &elect::Leader,
) {
    {
        let mut health = instance::lock(&shared.leader_health);
        if health.term != leader.term {
            *health = elect::LeaderHealth::new(leader.term, time::Instant::now());
        }
    }
    let link = shared.links.to(&leader.member.address);
    let request = model::ControllerRequest::Heartbeat(build_heartbeat(shared));
    let reply = link.request(&request, HEARTBEAT_TIMEOUT).await;
    let newest_version = record_reply(shared, leader, reply);
    confirmation::record_peer_version(shared, &leader.member.address, newest_version);
}

/// Updates the leader's health from the reply to a heartbeat; returns the manifest version in the
/// reply, 0 without one.
fn record_reply<P: platform::Platform>(
    shared: &instance::Shared<P>,
    leader: &elect::Leader,
    reply: Result<model::ControllerReply, peer::Error>,
) -> model::ManifestVersion {
    let mut health = instance::lock(&shared.leader_health);
    match reply {
        Ok(model::ControllerReply::Heartbeat(heartbeat)) => {
            if heartbeat.instance_id == leader.member.instance_id {
                health.record_reply(
                    time::Instant::now(),
                    !heartbeat.store_reachable,
                    heartbeat.draining,
                );
            } else {
                health.is_gone = true;
            }
            return heartbeat.manifest_version;
        }
        Ok(_) => {
            log::warn!(leader:% = leader.member.instance_id; "unexpected reply to a heartbeat")
        }
        Err(cause) => {
            if cause.is_connection_refused() && !health.is_gone {
                health.is_gone = true;
                log::info!(
                    leader:% = leader.member.instance_id,
                    term = leader.term;
                    "leader refuses connections"
                );
            }
            log::debug!(leader:% = leader.member.instance_id, cause:% = cause; "heartbeat failed");
        }
    }
    0
}

/// Builds the heartbeat of this instance.
pub(crate) fn build_heartbeat<P: platform::Platform>(
    shared: &instance::Shared<P>,
) -> model::ControllerHeartbeat {
    let leading = shared.leading.borrow().as_ref().map(|leading| leading.term);
    let (leader, term) = match leading {
        Some(term) => (Some(shared.member.clone()), term),
        None => reachable_leader(shared),
    };
    let store_reachable = match leading {
        Some(_) => !shared.store_rejects_batches.load(atomic::Ordering::Relaxed),
        None => shared.is_store_reachable(),
    };
    model::ControllerHeartbeat {
        instance_id: sync::Arc::clone(&shared.member.instance_id),
        address: shared.member.address.to_string(),
        leader_address: leader
            .as_ref()
            .map_or_else(String::new, |leader| leader.address.to_string()),
        leader: leader.map(|leader| leader.instance_id),
        term,
        manifest_version: shared.manifest_version(),
        draining: shared.is_draining(),
        store_reachable,
    }
}

/// Returns the known leader's term, and the leader itself if it has replied within the silence
/// limit.
fn reachable_leader<P: platform::Platform>(
    shared: &instance::Shared<P>,
) -> (Option<elect::Member>, model::Term) {
    let leader = shared.cluster.borrow().leader().cloned();
    let Some(leader) = leader else {
        return (None, 0);
    };
    let health = instance::lock(&shared.leader_health);
    let is_reachable = health.is_reachable(
        &leader,
        shared.settings.leader_silence_limit,
        time::Instant::now(),
    );
    (is_reachable.then_some(leader.member), leader.term)
}

/// Asks some peers who leads, while the store is unreachable.
async fn query_peers_for_leader<P: platform::Platform>(shared: &instance::Shared<P>) {
    let members: Vec<_> = shared.cluster.borrow().members().cloned().collect();
    let peers = members
        .into_iter()
        .filter(|member| member.instance_id != shared.member.instance_id)
        .choose_multiple(&mut rand::rng(), QUERIED_PEERS);
    for member in peers {
        let link = shared.links.to(&member.address);
        let request = model::ControllerRequest::Heartbeat(build_heartbeat(shared));
        let reply = link.request(&request, HEARTBEAT_TIMEOUT).await;
        if let Ok(model::ControllerReply::Heartbeat(heartbeat)) = reply {
            accept_reported_leader(shared, &heartbeat);
            confirmation::record_peer_version(shared, &member.address, heartbeat.manifest_version);
        }
    }
}

/// Accepts a leader of a later term that a peer has reported.
fn accept_reported_leader<P: platform::Platform>(
    shared: &instance::Shared<P>,
    heartbeat: &model::ControllerHeartbeat,
) {
    let Some(instance_id) = &heartbeat.leader else {
        return;
    };
    let leader = elect::Leader {
        member: elect::Member {
            instance_id: sync::Arc::clone(instance_id),
            address: heartbeat.leader_address.as_str().into(),
            strength_milli: 0,
        },
        term: heartbeat.term,
    };
    let accepted = shared
        .cluster
        .send_if_modified(|cluster| cluster.accept_reported_leader(leader));
    if accepted {
        log::info!(
            leader:% = instance_id,
            term = heartbeat.term,
            from:% = heartbeat.instance_id;
            "leader reported by a peer"
        );
    }
}

/// Returns whether `leader` is unreachable for every peer that replies, or for most of all peers:
/// others may have failed with the leader, and would be waited for in vain.
///
/// Returns `false` if no peer replies: this instance may be the one that is cut off.
pub(crate) async fn peers_confirm_leader_loss<P: platform::Platform>(
    shared: &instance::Shared<P>,
    leader: &elect::Leader,
) -> bool {
    let members: Vec<_> = shared.cluster.borrow().members().cloned().collect();
    let peers = members.into_iter().filter(|member| {
        member.instance_id != shared.member.instance_id
            && member.instance_id != leader.member.instance_id
    });
    let peers: Vec<_> = peers.collect();
    let majority = peers.len() / 2 + 1;
    let mut requests = tokio::task::JoinSet::new();
    for member in peers {
        let link = shared.links.to(&member.address);
        let request = model::ControllerRequest::Heartbeat(build_heartbeat(shared));
        requests.spawn(async move { link.request(&request, HEARTBEAT_TIMEOUT).await });
    }
    let mut confirmation_count = 0;
    while let Some(reply) = requests.join_next().await {
        match reply {
            Ok(Ok(model::ControllerReply::Heartbeat(heartbeat))) => {
                if heartbeat.leader.as_ref() == Some(&leader.member.instance_id) {
                    return false;
                }
                confirmation_count += 1;
                if confirmation_count >= majority {
                    return true;
                }
            }
            Ok(Ok(_) | Err(_)) => {}
            Err(cause) => log::error!(cause:% = cause; "heartbeat task failed"),
        }
    }
    confirmation_count > 0
}
