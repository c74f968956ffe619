//! Pulses: followers tell the leader that they live, and notice when it does not.

use std::sync;
use std::sync::atomic;
use std::time;

use indexmap::IndexMap;
use rand::seq::IteratorRandom as _;

use crate::feeds;
use crate::instance;
use crate::platform;

/// How long a pulse may take.
const PULSE_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Instances asked at once who leads.
const ASKED_AT_ONCE: usize = 3;
/// Silence after which a follower no longer counts as live.
const FOLLOWER_SILENCE: time::Duration = time::Duration::from_millis(1_500);

/// What a leader knows of its followers.
#[derive(Debug, Default)]
pub(crate) struct Followers(IndexMap<model::InstanceId, Follower>);

#[derive(Debug)]
struct Follower {
    address: sync::Arc<str>,
    heard_at: time::Instant,
}

impl Followers {
    /// Notes a pulse.
    pub(crate) fn heard(&mut self, pulse: &model::Pulse, now: time::Instant) {
        if pulse.draining {
            self.0.swap_remove(&pulse.instance_id);
            return;
        }
        let follower = Follower {
            address: pulse.address.as_str().into(),
            heard_at: now,
        };
        self.0
            .insert(sync::Arc::clone(&pulse.instance_id), follower);
    }

    /// Returns the address of a follower.
    pub(crate) fn address_of(&self, instance_id: &model::InstanceId) -> Option<sync::Arc<str>> {
        self.0
            .get(instance_id)
            .map(|follower| sync::Arc::clone(&follower.address))
    }

    /// Returns the followers that are live.
    pub(crate) fn live(&mut self, now: time::Instant) -> Vec<model::InstanceId> {
        self.0
            .retain(|_, one| now.saturating_duration_since(one.heard_at) < FOLLOWER_SILENCE);
        self.0.keys().cloned().collect()
    }
}

/// Sends pulses to the leader until the instance stops.
pub(crate) async fn run<P: platform::Platform>(shared: sync::Arc<instance::Shared<P>>) {
    let mut cell = shared.cell.subscribe();
    loop {
        let leader = cell.borrow_and_update().leader().cloned();
        if let Some(leader) = leader
            && leader.member.instance_id != shared.member.instance_id
        {
            pulse_leader(&shared, &leader).await;
        }
        let is_cut = !shared.store_reachable.load(atomic::Ordering::Relaxed);
        if is_cut && shared.leading.borrow().is_none() {
            ask_others_for_leader(&shared).await;
        }
        tokio::select! {
            () = tokio::time::sleep(shared.settings.pulse_interval) => {}
            _ = cell.changed() => {}
            () = shared.stop.cancelled() => return,
        }
    }
}

async fn pulse_leader<P: platform::Platform>(shared: &instance::Shared<P>, leader: &elect::Leader) {
    {
        let mut health = instance::lock(&shared.leader_health);
        if health.term != leader.term {
            *health = elect::LeaderHealth::new(leader.term, time::Instant::now());
        }
    }
    let link = shared.links.to(&leader.member.address);
    let request = model::LinkRequest::Pulse(own_pulse(shared));
    let answer = link.request(&request, PULSE_TIMEOUT).await;
    let newest = note_answer(shared, leader, answer);
    if newest > shared.manifest_version() {
        fetch_manifest(shared, &link).await;
    }
}

/// Notes what came of a pulse; returns the newest manifest that the leader has.
fn note_answer<P: platform::Platform>(
    shared: &instance::Shared<P>,
    leader: &elect::Leader,
    answer: Result<model::LinkReply, peer::Error>,
) -> model::ManifestVersion {
    let mut health = instance::lock(&shared.leader_health);
    match answer {
        Ok(model::LinkReply::Pulse(pulse)) => {
            if pulse.instance_id == leader.member.instance_id {
                health.last_reply_at = Some(time::Instant::now());
                health.has_lost_store = !pulse.store_reachable;
                health.is_leaving = pulse.draining;
            } else {
                health.is_gone = true;
            }
            return pulse.manifest_version;
        }
        Ok(_) => log::warn!(leader:% = leader.member.instance_id; "pulse answered out of protocol"),
        Err(cause) => {
            if cause.has_no_listener() && !health.is_gone {
                health.is_gone = true;
                log::info!(leader:% = leader.member.instance_id, term = leader.term; "leader refuses connections");
            }
            log::debug!(leader:% = leader.member.instance_id, cause:% = cause; "pulse failed");
        }
    }
    0
}

async fn fetch_manifest<P: platform::Platform>(shared: &instance::Shared<P>, link: &peer::Link) {
    match link
        .request(&model::LinkRequest::Manifest, PULSE_TIMEOUT)
        .await
    {
        Ok(model::LinkReply::Manifest(Some(text))) => feeds::take_manifest(shared, &text),
        Ok(_) => {}
        Err(cause) => log::warn!(cause:% = cause; "manifest not fetched from another instance"),
    }
}

/// Returns the pulse of this instance.
pub(crate) fn own_pulse<P: platform::Platform>(shared: &instance::Shared<P>) -> model::Pulse {
    let leading = shared.leading.borrow().as_ref().map(|one| one.term);
    let (leader, term) = match leading {
        Some(term) => (Some(shared.member.clone()), term),
        None => heard_leader(shared),
    };
    let store_reachable = match leading {
        Some(_) => !shared.batches_fail.load(atomic::Ordering::Relaxed),
        None => shared.store_reachable.load(atomic::Ordering::Relaxed),
    };
    model::Pulse {
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

/// Returns the leader that this instance has heard lately, and its term.
fn heard_leader<P: platform::Platform>(
    shared: &instance::Shared<P>,
) -> (Option<elect::Member>, model::Term) {
    let leader = shared.cell.borrow().leader().cloned();
    let Some(leader) = leader else {
        return (None, 0);
    };
    let health = instance::lock(&shared.leader_health);
    let is_heard = health.is_reachable(
        &leader,
        shared.settings.leader_silence,
        time::Instant::now(),
    );
    (is_heard.then_some(leader.member), leader.term)
}

/// Asks some other instances who leads, while the store cannot tell.
async fn ask_others_for_leader<P: platform::Platform>(shared: &instance::Shared<P>) {
    let members: Vec<_> = shared.cell.borrow().members().cloned().collect();
    let others = members
        .into_iter()
        .filter(|member| member.instance_id != shared.member.instance_id)
        .choose_multiple(&mut rand::rng(), ASKED_AT_ONCE);
    for member in others {
        let link = shared.links.to(&member.address);
        let request = model::LinkRequest::Pulse(own_pulse(shared));
        let answer = link.request(&request, PULSE_TIMEOUT).await;
        if let Ok(model::LinkReply::Pulse(pulse)) = answer {
            learn_leader(shared, &pulse);
        }
    }
}

/// Takes over a later leader that another instance knows.
fn learn_leader<P: platform::Platform>(shared: &instance::Shared<P>, pulse: &model::Pulse) {
    let Some(instance_id) = &pulse.leader else {
        return;
    };
    let leader = elect::Leader {
        member: elect::Member {
            instance_id: sync::Arc::clone(instance_id),
            address: pulse.leader_address.as_str().into(),
            strength_milli: 0,
        },
        term: pulse.term,
    };
    let learned = shared
        .cell
        .send_if_modified(|cell| cell.accept_reported_leader(leader));
    if learned {
        log::info!(
            leader:% = instance_id,
            term = pulse.term,
            from:% = pulse.instance_id;
            "leader learned from another instance"
        );
    }
}

/// Asks the other instances whether the leader of `term` is out of reach for all of them.
///
/// `false` if none answers: this instance may be the one that is cut off.
pub(crate) async fn others_miss_leader<P: platform::Platform>(
    shared: &instance::Shared<P>,
    leader: &elect::Leader,
) -> bool {
    let members: Vec<_> = shared.cell.borrow().members().cloned().collect();
    let others = members.into_iter().filter(|member| {
        member.instance_id != shared.member.instance_id
            && member.instance_id != leader.member.instance_id
    });
    let mut calls = tokio::task::JoinSet::new();
    for member in others {
        let link = shared.links.to(&member.address);
        let request = model::LinkRequest::Pulse(own_pulse(shared));
        calls.spawn(async move { link.request(&request, PULSE_TIMEOUT).await });
    }
    let mut missed = 0;
    while let Some(answer) = calls.join_next().await {
        match answer {
            Ok(Ok(model::LinkReply::Pulse(pulse))) => {
                if pulse.leader.as_ref() == Some(&leader.member.instance_id) {
                    return false;
                }
                missed += 1;
            }
            Ok(Ok(_) | Err(_)) => {}
            Err(cause) => log::error!(cause:% = cause; "pulse task failed"),
        }
    }
    missed > 0
}
