//! How current the manifest in force is, and how an instance learns from peers of a newer one.
//!
//! The store confirms the manifest with each reply to its watch. While it does not, peers are asked: one
//! that has a newer manifest passes it on, and one that has the same confirms it as of the time at which
//! the store has confirmed it there.

use std::collections;
use std::sync;
use std::time;

use rand::seq::IteratorRandom as _;

use crate::instance;
use crate::platform;
use crate::watches;

/// Time between two checks whether the manifest has to be confirmed by peers.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(400);
/// Age of the confirmation from which peers are asked. The store confirms every second as of a second
/// before, and a change must be in force after 4 s.
const PEER_CHECK_AGE: time::Duration = time::Duration::from_millis(2_100);
/// Age of the confirmation that is reported in the log: the time in which a change must be in force.
const REPORTED_AGE: time::Duration = time::Duration::from_millis(4_000);
/// Time after which a question for the state of a manifest counts as unanswered.
const STATE_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Time after which a manifest counts as not fetched: one with 10,000 keys is half a megabyte, which
/// takes half a second at 10 Mbit/s.
const FETCH_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Time for which a version that could not be put in force is not fetched again: peers of another build
/// may accept a manifest that this one finds invalid, and all of them report it.
const REJECTED_PAUSE: time::Duration = time::Duration::from_millis(2_000);
/// Most peers asked at once, besides the leader: the only one that can be reached is found in a round or
/// two, and a lost store causes a bounded number of messages.
const ASKED_PEERS: usize = 16;
/// Time between two rounds of questions without a confirmation: if the store is lost to all, nobody has
/// one.
const ROUND_PAUSE: time::Duration = time::Duration::from_millis(800);
/// Most peers remembered for a newer manifest; more report it with their next heartbeat.
const MAX_REPORTS: usize = 8;

/// How current the manifest in force is.
#[derive(Debug, Default)]
pub(crate) struct Confirmation {
    /// Latest time as of which the manifest in force is known to have been the newest.
    confirmed_at: sync::Mutex<Option<time::Instant>>,
    /// Addresses of peers that have a newer manifest, with its version.
    newer: sync::Mutex<collections::HashMap<sync::Arc<str>, model::ManifestVersion>>,
    /// Version of the last manifest of a peer that was not put in force, and when it was received.
    rejected: sync::Mutex<Option<(model::ManifestVersion, time::Instant)>>,
    /// Wakes the task that asks peers.
    wake: tokio::sync::Notify,
}

impl Confirmation {
    /// Records that the manifest in force was the newest at `at`.
    pub(crate) fn confirm(&self, at: time::Instant) {
        let mut confirmed_at = instance::lock(&self.confirmed_at);
        *confirmed_at = (*confirmed_at).max(Some(at));
    }

    /// Returns how long ago the manifest in force was the newest for certain; `None` if it never was.
    pub(crate) fn age(&self) -> Option<time::Duration> {
        let confirmed_at = *instance::lock(&self.confirmed_at);
        confirmed_at.map(|at| at.elapsed())
    }

    /// Returns whether the manifest in force was the newest within `limit`.
    pub(crate) fn is_within(&self, limit: time::Duration) -> bool {
        self.age().is_some_and(|age| age < limit)
    }

    /// Records that the store does not confirm the manifest at the moment.
    pub(crate) fn report_store_failure(&self) {
        self.wake.notify_one();
    }

    /// Returns whether a manifest of this version was received lately and not put in force.
    fn is_rejected(&self, version: model::ManifestVersion) -> bool {
        let rejected = *instance::lock(&self.rejected);
        rejected.is_some_and(|(rejected, at)| version <= rejected && at.elapsed() < REJECTED_PAUSE)
    }

    /// Records that the peer at `address` has a newer manifest.
    fn report_newer(&self, address: &sync::Arc<str>, version: model::ManifestVersion) {
        let mut newer = instance::lock(&self.newer);
        if newer.len() < MAX_REPORTS || newer.contains_key(address) {
            newer.insert(sync::Arc::clone(address), version);
        }
        drop(newer);
        self.wake.notify_one();
    }
}

/// Fetches the manifest of the peer at `address` if it is newer.
pub(crate) fn record_peer_version<P: platform::Platform>(
    shared: &instance::Shared<P>,
    address: &sync::Arc<str>,
    version: model::ManifestVersion,
) {
    if version > shared.manifest_version() {
        shared.confirmation.report_newer(address, version);
    }
}

/// Fetches the manifest of the instance `from`, which has sent a request, if it is newer.
pub(crate) fn record_sender_version<P: platform::Platform>(
    shared: &instance::Shared<P>,
    from: &model::InstanceId,
    version: model::ManifestVersion,
) {
    if version <= shared.manifest_version() {
        return;
    }
    let address = {
        let cluster = shared.cluster.borrow();
        let mut members = cluster.members();
        let member = members.find(|member| member.instance_id == *from);
        member.map(|member| sync::Arc::clone(&member.address))
    };
    if let Some(address) = address {
        shared.confirmation.report_newer(&address, version);
    }
}

/// Returns the state of the manifest in force, for a peer that asks.
pub(crate) fn state<P: platform::Platform>(shared: &instance::Shared<P>) -> model::ControllerReply {
    // The age is read first: a newer manifest that comes into force meanwhile is not older.
    let age = shared.confirmation.age();
    model::ControllerReply::ManifestState {
        version: shared.manifest_version(),
        confirmed_age_ms: age.map(|age| age.as_millis() as u64 + 1),
    }
}

/// Keeps the manifest current with the help of peers until the instance stops.
pub(crate) async fn run<P: platform::Platform>(shared: sync::Arc<instance::Shared<P>>) {
    let mut is_reported = false;
    let mut asked_at = None;
    loop {
        tokio::select! {
            () = shared.confirmation.wake.notified() => {}
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
            () = shared.stop.cancelled() => return,
        }
        tokio::select! {
            () = update(&shared, &mut asked_at) => {}
            () = shared.stop.cancelled() => return,
        }
        if shared.has_tenants() {
            report(&shared, &mut is_reported);
        }
    }
}

/// Fetches newer manifests, and asks peers if the store does not confirm the one in force; `asked_at` is
/// when they were last asked.
async fn update<P: platform::Platform>(
    shared: &instance::Shared<P>,
    asked_at: &mut Option<time::Instant>,
) {
    fetch_newer(shared).await;
    let may_ask = asked_at.is_none_or(|at| at.elapsed() >= ROUND_PAUSE);
    if shared.has_tenants() && may_ask && !shared.confirmation.is_within(PEER_CHECK_AGE) {
        *asked_at = Some(time::Instant::now());
        confirm_by_peers(shared).await;
    }
}

/// Logs when the manifest has become unconfirmed, and when it is confirmed again.
fn report<P: platform::Platform>(shared: &instance::Shared<P>, is_reported: &mut bool) {
    let is_confirmed = shared.confirmation.is_within(REPORTED_AGE);
    if is_confirmed != *is_reported {
        return;
    }
    *is_reported = !is_confirmed;
    let version = shared.manifest_version();
    if is_confirmed {
        log::info!(version; "manifest confirmed again");
    } else {
        shared.metrics.count("manifest.unconfirmed");
        log::warn!(
            version,
            age_ms = shared.confirmation.age().map_or(0, |age| age.as_millis() as u64);
            "manifest not confirmed by the store or a peer; its API keys may be outdated"
        );
    }
}

/// Fetches the manifest from peers that have a newer one, the newest first.
async fn fetch_newer<P: platform::Platform>(shared: &instance::Shared<P>) {
    let reports = std::mem::take(&mut *instance::lock(&shared.confirmation.newer));
    let mut reports: Vec<_> = reports.into_iter().collect();
    reports.sort_by_key(|(_, version)| std::cmp::Reverse(*version));
    for (address, version) in reports {
        fetch(shared, &address, version).await;
    }
}

/// Fetches the manifest of `version` from a peer, if it is newer than the one in force.
async fn fetch<P: platform::Platform>(
    shared: &instance::Shared<P>,
    address: &sync::Arc<str>,
    version: model::ManifestVersion,
) {
    if version <= shared.manifest_version() || shared.confirmation.is_rejected(version) {
        return;
    }
    let link = shared.links.to(address);
    let reply = link.request(&model::ControllerRequest::Manifest, FETCH_TIMEOUT);
    match reply.await {
        Ok(model::ControllerReply::Manifest(Some(encoded))) => {
            watches::apply_manifest(shared, &encoded);
            if shared.manifest_version() < version {
                shared.metrics.count("manifest.fetch_rejected");
                let rejected = Some((version, time::Instant::now()));
                *instance::lock(&shared.confirmation.rejected) = rejected;
            }
        }
        Ok(_) => {}
        Err(cause) => {
            shared.metrics.count("manifest.fetch_failed");
            log::warn!(peer:% = address, cause:% = cause; "manifest not fetched from a peer");
        }
    }
}

/// Asks the leader and some other peers at once for the state of their manifests.
async fn confirm_by_peers<P: platform::Platform>(shared: &instance::Shared<P>) {
    let leader = leader_address(&shared.cluster.borrow()).cloned();
    let mut requests = tokio::task::JoinSet::new();
    for address in peers(shared) {
        let link = shared.links.to(&address);
        let is_leader = leader.as_ref() == Some(&address);
        requests.spawn(async move {
            let asked_at = time::Instant::now();
            let request = model::ControllerRequest::ManifestState;
            let reply = link.request(&request, STATE_TIMEOUT).await;
            // Heartbeats replace a silent connection to the leader; it carries requests of callers.
            if reply.is_err() && !is_leader {
                link.replace();
            }
            (address, asked_at, reply)
        });
    }
    while let Some(reply) = requests.join_next().await {
        match reply {
            Ok((
                address,
                asked_at,
                Ok(model::ControllerReply::ManifestState {
                    version,
                    confirmed_age_ms,
                }),
            )) => {
                fetch(shared, &address, version).await;
                let age = confirmed_age_ms.map(time::Duration::from_millis);
                let confirmed_at = age.and_then(|age| asked_at.checked_sub(age));
                if let Some(at) = confirmed_at.filter(|_| version == shared.manifest_version()) {
                    shared.confirmation.confirm(at);
                    shared.metrics.count("manifest.confirmed_by_peer");
                }
            }
            Ok((address, _, Ok(_))) => {
                log::warn!(peer:% = address; "unexpected reply to a question for the manifest");
            }
            Ok((address, _, Err(cause))) => {
                log::debug!(peer:% = address, cause:% = cause; "manifest not confirmed by a peer");
            }
            Err(cause) => log::error!(cause:% = cause; "request to a peer failed"),
        }
    }
}

fn leader_address(cluster: &elect::ClusterView) -> Option<&sync::Arc<str>> {
    cluster.leader().map(|leader| &leader.member.address)
}

/// Returns the addresses of the leader and of some other peers.
fn peers<P: platform::Platform>(shared: &instance::Shared<P>) -> Vec<sync::Arc<str>> {
    let cluster = shared.cluster.borrow();
    let own = &shared.member.address;
    let leader = leader_address(&cluster);
    let leader = leader.filter(|address| *address != own && !address.is_empty());
    let members = cluster.members().map(|member| &member.address);
    let others = members.filter(|address| *address != own && Some(*address) != leader);
    let others = others.choose_multiple(&mut rand::rng(), ASKED_PEERS);
    leader.into_iter().chain(others).cloned().collect()
}
