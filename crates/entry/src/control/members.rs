//! The other instances: addresses, heartbeats and liveness.

use std::time;

use indexmap::IndexMap;

use crate::control::effect;
use crate::control::input;
use crate::control::settings;
use crate::control::state;

/// How long a peer that is no longer listed is kept without a heartbeat.
const UNLISTED_PEER_RETENTION: time::Duration = time::Duration::from_secs(60);
/// Interval at which the live instances together read the lists from the store.
const LISTS_POLL_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Shortest interval at which one instance reads the lists from the store.
const LISTS_POLL_MIN_INTERVAL: time::Duration = time::Duration::from_millis(1000);
/// Timeout of fetching the lists or the partition table from a peer.
const FETCH_TIMEOUT: time::Duration = time::Duration::from_millis(1500);
/// Shortest interval between two fetches from one peer.
const FETCH_MIN_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Lengthens the poll interval with the number of instances, so that their total read rate does not
/// grow with it.
#[derive(Debug)]
pub(super) struct PollTimer {
    next_at: time::Instant,
}

impl PollTimer {
    pub(super) fn new(now: time::Instant) -> Self {
        Self { next_at: now }
    }

    /// Returns whether a poll is due; if so, schedules the next one.
    pub(super) fn is_due(&mut self, instances: usize, now: time::Instant) -> bool {
        if now < self.next_at {
            return false;
        }
        let instances = u32::try_from(instances).unwrap_or(u32::MAX);
        self.next_at = now
            + LISTS_POLL_INTERVAL
                .saturating_mul(instances)
                .max(LISTS_POLL_MIN_INTERVAL);
        true
    }
}

/// State of one peer.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) heartbeat: Option<model::Heartbeat>,
    pub(super) last_heartbeat_at: Option<time::Instant>,
    listed: bool,
    last_seen_at: time::Instant,
    heartbeat_in_flight: bool,
    next_heartbeat_at: time::Instant,
    next_fetch_at: time::Instant,
}

impl Peer {
    fn new(now: time::Instant) -> Self {
        Self {
            heartbeat: None,
            last_heartbeat_at: None,
            listed: false,
            last_seen_at: now,
            heartbeat_in_flight: false,
            next_heartbeat_at: now,
            next_fetch_at: now,
        }
    }

    pub(super) fn is_live(&self, dead_after: time::Duration, now: time::Instant) -> bool {
        self.last_heartbeat_at
            .is_some_and(|at| now.saturating_duration_since(at) < dead_after)
    }
}

/// The other instances, keyed by the address of their peer listener.
#[derive(Debug)]
pub(super) struct Members {
    pub(super) peers: IndexMap<String, Peer>,
    own_location: model::Location,
    live_count: usize,
    successor_count: usize,
    published_at: Option<time::Instant>,
    published_ids: Vec<model::InstanceId>,
}

impl Members {
    pub(super) fn new(settings: &settings::ControlSettings, _now: time::Instant) -> Self {
        Self {
            peers: IndexMap::new(),
            own_location: settings.location.clone(),
            live_count: 1,
            successor_count: 0,
            published_at: None,
            published_ids: Vec::new(),
        }
    }

    /// Returns the number of live instances, including this one.
    pub(super) fn live_count(&self) -> usize {
        self.live_count
    }

    /// Returns whether a live peer can take over partitions and workers.
    pub(super) fn has_successor(&self) -> bool {
        self.successor_count > 0
    }

    /// Marks a peer as draining, ahead of its next heartbeat.
    pub(super) fn mark_draining(&mut self, instance_id: &str) {
        let heartbeats = self
            .peers
            .values_mut()
            .filter_map(|peer| peer.heartbeat.as_mut());
        for heartbeat in heartbeats.filter(|h| *h.instance_id == *instance_id) {
            heartbeat.draining = true;
        }
    }

    pub(super) fn address_of(&self, instance_id: &str) -> Option<String> {
        self.peer(instance_id).map(|(address, _)| address.clone())
    }

    /// Returns the clock of a peer's latest heartbeat, in milliseconds.
    pub(super) fn clock_of(&self, instance_id: &str) -> u64 {
        self.peer(instance_id)
            .and_then(|(_, peer)| peer.heartbeat.as_ref())
            .map_or(0, |heartbeat| heartbeat.clock_ms)
    }

    pub(super) fn proximity_of(&self, instance_id: &str) -> Option<place::Proximity> {
        let (_, peer) = self.peer(instance_id)?;
        let location = &peer.heartbeat.as_ref()?.location;
        Some(if location.region != self.own_location.region {
            place::Proximity::OtherRegion
        } else if location.data_centre != self.own_location.data_centre {
            place::Proximity::SameRegion
        } else {
            place::Proximity::SameDataCentre
        })
    }

    fn peer(&self, instance_id: &str) -> Option<(&String, &Peer)> {
        self.peers.iter().find(|(_, peer)| {
            peer.heartbeat
                .as_ref()
                .is_some_and(|heartbeat| *heartbeat.instance_id == *instance_id)
        })
    }
}

impl state::Control {
    /// Applies the instances of the platform's list of machines.
    pub(super) fn on_instances_listed(&mut self, addresses: &[String], now: time::Instant) {
        for peer in self.members.peers.values_mut() {
            peer.listed = false;
        }
        for address in addresses {
            if *address == self.settings.address {
                continue;
            }
            let peers = &mut self.members.peers;
            let peer = peers
                .entry(address.clone())
                .or_insert_with(|| Peer::new(now));
            peer.listed = true;
            peer.last_seen_at = now;
        }
    }

    /// Sends heartbeats that are due and passes the live instances to the state machines.
    pub(super) fn update_members(&mut self, now: time::Instant) {
        self.members.peers.retain(|_, peer| {
            peer.listed
                || now.saturating_duration_since(peer.last_seen_at) < UNLISTED_PEER_RETENTION
        });
        self.send_heartbeats(now);
        self.publish_members(now);
    }

    fn send_heartbeats(&mut self, now: time::Instant) {
        let interval = self.settings.heartbeat;
        let mut due = Vec::new();
        for (address, peer) in &mut self.members.peers {
            if peer.heartbeat_in_flight || now < peer.next_heartbeat_at {
                continue;
            }
            peer.heartbeat_in_flight = true;
            peer.next_heartbeat_at = now + interval;
            due.push(address.clone());
        }
        for address in due {
            let heartbeat = self.build_heartbeat(&address, now);
            self.push_effect(effect::Effect::Call {
                address,
                request: Box::new(model::PeerRequest::Heartbeat(Box::new(heartbeat))),
                timeout: self.settings.heartbeat_timeout,
                context: effect::CallContext::Heartbeat,
            });
        }
    }

    pub(super) fn build_heartbeat(&self, address: &str, now: time::Instant) -> model::Heartbeat {
        let received = self.members.peers.get(address);
        let received = received.and_then(|peer| peer.heartbeat.as_ref());
        let mut capacity = self.fleet.summary();
        capacity.queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        model::Heartbeat {
            instance_id: self.own_id().clone(),
            address: self.settings.address.clone(),
            location: self.settings.location.clone(),
            clock_ms: self.clock_ms(now),
            echo_clock_ms: received.map_or(0, |heartbeat| heartbeat.clock_ms),
            draining: self.draining,
            customers_revision: self.lists.state().customers.revision,
            plans_revision: self.lists.state().plans.revision,
            table_revision: self.owner.table_revision(),
            pending_partitions: self.owner.pending_partitions(),
            capacity,
            racks: self.fleet.racks(),
        }
    }

    /// Handles the result of a heartbeat call.
    pub(super) fn on_heartbeat_ended(
        &mut self,
        address: &str,
        result: Result<model::PeerResponse, input::CallError>,
        now: time::Instant,
    ) {
        if let Some(peer) = self.members.peers.get_mut(address) {
            peer.heartbeat_in_flight = false;
        }
        match result {
            Ok(model::PeerResponse::Heartbeat(heartbeat)) => {
                self.on_heartbeat(address, *heartbeat, now);
            }
            _ => self.metrics.count("peer.heartbeat_failed"),
        }
    }

    /// Handles a heartbeat, received as a request or as a response.
    pub(super) fn on_heartbeat(
        &mut self,
        address: &str,
        heartbeat: model::Heartbeat,
        now: time::Instant,
    ) {
        if self.is_self(&heartbeat.instance_id) {
            return;
        }
        let instance_id = heartbeat.instance_id.clone();
        let capacity = heartbeat.capacity;
        let draining = heartbeat.draining;
        let peers = &mut self.members.peers;
        let peer = peers
            .entry(address.to_owned())
            .or_insert_with(|| Peer::new(now));
        let replaced = peer.heartbeat.replace(heartbeat);
        peer.last_heartbeat_at = Some(now);
        peer.last_seen_at = now;
        if let Some(replaced) = replaced.filter(|r| r.instance_id != instance_id) {
            log::info!(
                "peer restarted old={} new={instance_id}",
                replaced.instance_id
            );
            self.queue.remove_target(&replaced.instance_id);
        }
        if draining {
            self.queue.remove_target(&instance_id);
        } else if let Some(proximity) = self.members.proximity_of(&instance_id) {
            let target = place::Target::Peer(instance_id);
            self.queue.set_capacity(&target, proximity, capacity, now);
        }
        self.fetch_newer_state(address, now);
    }

    fn fetch_newer_state(&mut self, address: &str, now: time::Instant) {
        let own = self.lists.state();
        let (customers, plans) = (own.customers.revision, own.plans.revision);
        let table = self.owner.table_revision();
        let Some(peer) = self.members.peers.get_mut(address) else {
            return;
        };
        let Some(heartbeat) = &peer.heartbeat else {
            return;
        };
        let newer_lists =
            heartbeat.customers_revision > customers || heartbeat.plans_revision > plans;
        let newer_table = heartbeat.table_revision > table;
        if now < peer.next_fetch_at {
            return;
        }
        if newer_lists {
            peer.next_fetch_at = now + FETCH_MIN_INTERVAL;
            self.push_effect(effect::Effect::Call {
                address: address.to_owned(),
                request: Box::new(model::PeerRequest::Lists),
                timeout: FETCH_TIMEOUT,
                context: effect::CallContext::Lists,
            });
        }
        if newer_table {
            self.fetch_table(address, now);
        }
    }

    /// Fetches the partition table of a peer.
    pub(super) fn fetch_table(&mut self, address: &str, now: time::Instant) {
        let Some(peer) = self.members.peers.get_mut(address) else {
            return;
        };
        if now < peer.next_fetch_at {
            return;
        }
        peer.next_fetch_at = now + FETCH_MIN_INTERVAL;
        self.push_effect(effect::Effect::Call {
            address: address.to_owned(),
            request: Box::new(model::PeerRequest::Table),
            timeout: FETCH_TIMEOUT,
            context: effect::CallContext::Table,
        });
    }

    fn publish_members(&mut self, now: time::Instant) {
        let dead_after = self.settings.dead_after;
        let mut live = vec![owner::Member {
            instance_id: self.own_id().clone(),
            location: self.settings.location.clone(),
            draining: self.draining,
        }];
        let mut unreachable = Vec::new();
        for peer in self.members.peers.values() {
            let Some(heartbeat) = &peer.heartbeat else {
                continue;
            };
            if peer.is_live(dead_after, now) {
                live.push(owner::Member {
                    instance_id: heartbeat.instance_id.clone(),
                    location: heartbeat.location.clone(),
                    draining: heartbeat.draining,
                });
            } else {
                unreachable.push(heartbeat.instance_id.clone());
            }
        }
        live.sort_by(|a, b| a.instance_id.cmp(&b.instance_id));
        let ids: Vec<_> = live.iter().map(|m| m.instance_id.clone()).collect();
        let due = self
            .members
            .published_at
            .is_none_or(|at| now.saturating_duration_since(at) >= self.settings.heartbeat);
        if ids == self.members.published_ids && !due {
            return;
        }
        for instance_id in &unreachable {
            self.queue.remove_target(instance_id);
        }
        self.members.published_at = Some(now);
        self.members.live_count = ids.len();
        let own_id = self.own_id().clone();
        let successors = live
            .iter()
            .filter(|m| !m.draining && m.instance_id != own_id);
        self.members.successor_count = successors.count();
        self.members.published_ids = ids.clone();
        self.set_grantor_instances(ids, unreachable.clone(), now);
        let lease_members = live.iter().map(lease_member).collect();
        self.lease_event(lease::Event::Members(lease_members), now);
        self.owner_event(owner::Event::Members { live, unreachable }, now);
    }

    /// Sends a request to an instance; returns whether its address is known.
    pub(super) fn call(
        &mut self,
        to: &str,
        request: model::PeerRequest,
        timeout: time::Duration,
        context: effect::CallContext,
    ) -> bool {
        let Some(address) = self.members.address_of(to) else {
            return false;
        };
        self.push_effect(effect::Effect::Call {
            address,
            request: Box::new(request),
            timeout,
            context,
        });
        true
    }
}

fn lease_member(member: &owner::Member) -> lease::Member {
    lease::Member {
        instance_id: member.instance_id.clone(),
        location: member.location.clone(),
        draining: member.draining,
    }
}
