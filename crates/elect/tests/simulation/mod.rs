//! Simulates instances, the store and the network between them in virtual time.

use std::collections;
use std::time;

use rand::Rng as _;
use rand::SeedableRng as _;

/// Number of simulated instances.
pub(crate) const INSTANCE_COUNT: usize = 4;

const STEP_MS: u64 = 50;
const HEARTBEAT_INTERVAL_MS: u64 = 300;
const CLAIM_CHECK_INTERVAL_MS: u64 = 100;
const RENEWAL_INTERVAL_MS: u64 = 500;
const LEASE_TTL_MS: u64 = 2_000;
const SILENCE_LIMIT_MS: u64 = 600;
const LEADERSHIP_TIMEOUT_MS: u64 = 9_000;
/// Range of the pause before an instance reloads the cluster after its watch has ended.
const RELOAD_PAUSE_MS: std::ops::Range<u64> = 100..500;
/// Probability that a heartbeat is lost.
const HEARTBEAT_LOSS_RATE: f64 = 0.1;

/// The store: the instances' entries, each with the end of its lease, and the leader's entry.
#[derive(Default)]
struct Store {
    is_up: bool,
    leases_expire: bool,
    revision: model::Revision,
    members: collections::BTreeMap<String, (elect::Member, u64)>,
    leader: Option<elect::Leader>,
    /// Every change so far, replayed by watches.
    changes: Vec<(model::Revision, Change)>,
}

#[derive(Clone)]
enum Change {
    Joined(elect::Member),
    Left(String),
    Leader(Option<elect::Leader>),
}

impl Store {
    fn record_change(&mut self, change: Change) -> model::Revision {
        self.revision += 1;
        self.changes.push((self.revision, change));
        self.revision
    }
}

pub(crate) struct Instance {
    pub(crate) member: elect::Member,
    cluster: elect::ClusterView,
    health: elect::LeaderHealth,
    is_registered: bool,
    store_reachable_since_ms: Option<u64>,
    lease_confirmed_at_ms: u64,
    /// Number of changes already reported by the watch; `None` without a watch.
    watch_position: Option<usize>,
    /// When the instance reloads the cluster from the store.
    reload_at_ms: u64,
    /// Term in which the instance leads.
    leading: Option<model::Term>,
    /// Claim to make, and when its delay ends.
    scheduled_claim: Option<(u64, elect::Claim)>,
    pub(crate) is_frozen: bool,
    pub(crate) is_cut_from_store: bool,
    pub(crate) is_cut_from_peers: bool,
}

pub(crate) struct Simulation {
    base: time::Instant,
    now_ms: u64,
    rng: rand::rngs::StdRng,
    store: Store,
    pub(crate) instances: Vec<Instance>,
    boots: u32,
    /// Leader of each term; a second one for the same term fails the test.
    leader_by_term: collections::BTreeMap<model::Term, model::InstanceId>,
}

impl Instance {
    fn new(index: usize, boot: u32) -> Self {
        Self {
            member: elect::Member {
                instance_id: format!("{index}#{boot}").into(),
                address: format!("address-{index}").into(),
                strength_milli: 250,
            },
            cluster: elect::ClusterView::default(),
            health: elect::LeaderHealth::default(),
            is_registered: false,
            store_reachable_since_ms: Some(0),
            lease_confirmed_at_ms: 0,
            watch_position: None,
            reload_at_ms: 0,
            leading: None,
            scheduled_claim: None,
            is_frozen: false,
            is_cut_from_store: false,
            is_cut_from_peers: false,
        }
    }

    fn key(&self) -> String {
        self.member.instance_id.to_string()
    }
}

impl Simulation {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            base: time::Instant::now(),
            now_ms: 1,
            rng: rand::rngs::StdRng::seed_from_u64(seed),
            store: Store {
                is_up: true,
                ..Store::default()
            },
            instances: (0..INSTANCE_COUNT)
                .map(|index| Instance::new(index, 0))
                .collect(),
            boots: 0,
            leader_by_term: collections::BTreeMap::new(),
        }
    }

    pub(crate) fn set_store(&mut self, is_up: bool, leases_expire: bool) {
        self.store.is_up = is_up;
        self.store.leases_expire = leases_expire;
    }

    /// Kills an instance's process; its machine starts a new one.
    pub(crate) fn restart(&mut self, index: usize) {
        self.boots += 1;
        let before =
            std::mem::replace(&mut self.instances[index], Instance::new(index, self.boots));
        self.instances[index].is_cut_from_store = before.is_cut_from_store;
        self.instances[index].is_cut_from_peers = before.is_cut_from_peers;
    }

    pub(crate) fn restore_all(&mut self) {
        for instance in &mut self.instances {
            instance.is_frozen = false;
            instance.is_cut_from_store = false;
            instance.is_cut_from_peers = false;
        }
    }

    pub(crate) fn run_ms(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.expire_leases();
            for index in 0..self.instances.len() {
                if !self.instances[index].is_frozen {
                    self.step(index);
                }
            }
        }
    }

    /// Returns the number of terms so far.
    pub(crate) fn term_count(&self) -> usize {
        self.leader_by_term.len()
    }

    /// Asserts that only the instance named by the store leads, and that all instances know it.
    pub(crate) fn assert_single_leader(&self) {
        let leader = self
            .store
            .leader
            .as_ref()
            .expect("the store has no leader entry");
        for instance in &self.instances {
            let leads = instance.leading == Some(leader.term);
            assert_eq!(
                leads,
                instance.member == leader.member,
                "{}",
                instance.key()
            );
            assert!(leads || instance.leading.is_none(), "{}", instance.key());
            assert_eq!(
                instance.cluster.leader(),
                Some(leader),
                "{}",
                instance.key()
            );
        }
    }

    /// Returns the index of the instance that leads.
    pub(crate) fn leader_index(&self) -> usize {
        let mut instances = self.instances.iter();
        instances
            .position(|instance| instance.leading.is_some())
            .expect("no instance leads")
    }

    fn now(&self) -> time::Instant {
        self.base + time::Duration::from_millis(self.now_ms)
    }

    fn is_due(&self, index: usize, interval_ms: u64) -> bool {
        // Staggers the instances, so that they do not act in the same step.
        (self.now_ms / STEP_MS + index as u64).is_multiple_of(interval_ms / STEP_MS)
    }

    /// Expires leases; while the store is down they are suspended, unless `leases_expire` is set.
    fn expire_leases(&mut self) {
        if !self.store.is_up && !self.store.leases_expire {
            for (_, end_ms) in self.store.members.values_mut() {
                *end_ms += STEP_MS;
            }
            return;
        }
        let now_ms = self.now_ms;
        let expired = self.store.members.iter();
        let expired = expired.filter(|(_, (_, end_ms))| *end_ms <= now_ms);
        for key in expired.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            self.store.members.remove(&key);
            self.store.record_change(Change::Left(key));
        }
        if let Some(leader) = &self.store.leader
            && !self.store.members.contains_key(&*leader.member.instance_id)
        {
            self.store.leader = None;
            self.store.record_change(Change::Leader(None));
        }
    }

    fn can_reach_store(&self, index: usize) -> bool {
        self.store.is_up && !self.instances[index].is_cut_from_store
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        from != to
            && !self.instances[from].is_cut_from_peers
            && !self.instances[to].is_cut_from_peers
            && !self.instances[to].is_frozen
    }

    fn step(&mut self, index: usize) {
        if self.is_due(index, RENEWAL_INTERVAL_MS) {
            self.renew(index);
        }
        self.follow_store(index);
        if self.is_due(index, HEARTBEAT_INTERVAL_MS) {
            self.heartbeat(index);
        }
        self.check_leadership(index);
        if self.is_due(index, CLAIM_CHECK_INTERVAL_MS) && self.instances[index].leading.is_none() {
            self.consider_claim(index);
        }
    }

    fn renew(&mut self, index: usize) {
        let reachable = self.can_reach_store(index);
        let end_ms = self.now_ms + LEASE_TTL_MS;
        let now_ms = self.now_ms;
        let instance = &mut self.instances[index];
        if !reachable {
            instance.store_reachable_since_ms = None;
            return;
        }
        instance.store_reachable_since_ms.get_or_insert(now_ms);
        let key = instance.key();
        if let Some((_, end)) = self.store.members.get_mut(&key) {
            *end = end_ms;
        } else {
            let member = instance.member.clone();
            self.store.members.insert(key, (member.clone(), end_ms));
            self.store.record_change(Change::Joined(member));
        }
        instance.is_registered = true;
        instance.lease_confirmed_at_ms = now_ms;
    }

    /// Applies the changes of the watch, and reloads the cluster after the watch has ended.
    fn follow_store(&mut self, index: usize) {
        let reachable = self.can_reach_store(index);
        let now_ms = self.now_ms;
        let pause_ms = self.rng.random_range(RELOAD_PAUSE_MS);
        let instance = &mut self.instances[index];
        if !reachable {
            instance.watch_position = None;
            instance.reload_at_ms = now_ms + pause_ms;
            return;
        }
        if let Some(watch_position) = instance.watch_position {
            for (revision, change) in &self.store.changes[watch_position..] {
                instance.cluster.advance_revision(*revision);
                match change.clone() {
                    Change::Joined(member) => {
                        let key = member.instance_id.to_string();
                        instance.cluster.put_member(key, member);
                    }
                    Change::Left(key) => instance.cluster.remove_member(&key),
                    Change::Leader(leader) => instance.cluster.set_leader(leader),
                }
            }
        } else if instance.reload_at_ms <= now_ms {
            let mut cluster = elect::ClusterView::new(self.store.revision);
            for (key, (member, _)) in &self.store.members {
                cluster.put_member(key.clone(), member.clone());
            }
            cluster.set_leader(self.store.leader.clone());
            instance.cluster = cluster;
        } else {
            return;
        }
        instance.watch_position = Some(self.store.changes.len());
    }

    fn heartbeat(&mut self, index: usize) {
        let now = self.now();
        let Some(leader) = self.instances[index].cluster.leader().cloned() else {
            return self.query_peers_for_leader(index);
        };
        if leader.member.instance_id != self.instances[index].member.instance_id {
            if self.instances[index].health.term != leader.term {
                self.instances[index].health = elect::LeaderHealth::new(leader.term, now);
            }
            let at = self.index_at(&leader.member.address);
            if self.can_reach(index, at) && !self.rng.random_bool(HEARTBEAT_LOSS_RATE) {
                let is_same = self.instances[at].member == leader.member;
                let has_lost_store =
                    self.instances[at].leading.is_some() && !self.can_reach_store(at);
                let health = &mut self.instances[index].health;
                health.is_gone = !is_same;
                if is_same {
                    health.last_reply_at = Some(now);
                    health.has_lost_store = has_lost_store;
                }
            }
        }
        self.query_peers_for_leader(index);
    }

    fn index_at(&self, address: &str) -> usize {
        let mut instances = self.instances.iter();
        instances
            .position(|one| &*one.member.address == address)
            .unwrap()
    }

    /// Asks the peers who leads, while the store is unreachable.
    fn query_peers_for_leader(&mut self, index: usize) {
        if self.instances[index].store_reachable_since_ms.is_some()
            || self.instances[index].leading.is_some()
        {
            return;
        }
        for other in 0..self.instances.len() {
            if self.can_reach(index, other)
                && let Some(leader) = self.reachable_leader(other)
            {
                self.instances[index].cluster.accept_reported_leader(leader);
            }
        }
    }

    fn reachable_leader(&self, index: usize) -> Option<elect::Leader> {
        let instance = &self.instances[index];
        if let Some(term) = instance.leading {
            let member = instance.member.clone();
            return Some(elect::Leader { member, term });
        }
        let leader = instance.cluster.leader()?;
        let limit = time::Duration::from_millis(SILENCE_LIMIT_MS);
        instance
            .health
            .is_reachable(leader, limit, self.now())
            .then(|| leader.clone())
    }

    fn check_leadership(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let instance = &mut self.instances[index];
        let Some(term) = instance.leading else {
            return;
        };
        let is_replaced = instance
            .cluster
            .leader()
            .is_some_and(|leader| leader.term > term);
        // The store refuses batches of a term that has ended.
        let is_refused = !instance.is_cut_from_store
            && self.store.is_up
            && self.store.leader.as_ref().map(|leader| leader.term) != Some(term);
        if is_replaced
            || is_refused
            || now_ms - instance.lease_confirmed_at_ms > LEADERSHIP_TIMEOUT_MS
        {
            instance.leading = None;
        }
    }

    fn consider_claim(&mut self, index: usize) {
        let claim = self.decide_claim(index);
        let scheduled_claim = self.instances[index].scheduled_claim.take();
        let Some(claim) = claim.filter(|_| self.instances[index].is_registered) else {
            return;
        };
        let is_due = match scheduled_claim {
            Some((at_ms, before)) => before == claim && at_ms <= self.now_ms,
            None => false,
        };
        if !is_due {
            let instance = &self.instances[index];
            let delay = instance
                .cluster
                .claim_delay(&instance.member, time::Duration::ZERO);
            let at_ms = self.now_ms + delay.as_millis() as u64;
            self.instances[index].scheduled_claim = Some(
                scheduled_claim
                    .filter(|one| one.1 == claim)
                    .unwrap_or((at_ms, claim)),
            );
            return;
        }
        if claim.reason.requires_peer_confirmation() && !self.peers_confirm_leader_loss(index) {
            return;
        }
        self.claim(index, claim);
    }

    fn decide_claim(&self, index: usize) -> Option<elect::Claim> {
        let instance = &self.instances[index];
        elect::decide_claim(&elect::ClaimContext {
            own: &instance.member,
            cluster: &instance.cluster,
            health: &instance.health,
            store_reachable_since: instance
                .store_reachable_since_ms
                .map(|at_ms| self.base + time::Duration::from_millis(at_ms)),
            silence_limit: time::Duration::from_millis(SILENCE_LIMIT_MS),
            now: self.now(),
        })
    }

    fn peers_confirm_leader_loss(&self, index: usize) -> bool {
        let Some(leader) = self.instances[index].cluster.leader() else {
            return false;
        };
        let mut confirming_peers = 0;
        for other in 0..self.instances.len() {
            if self.can_reach(index, other) && self.instances[other].member != leader.member {
                if self.reachable_leader(other).as_ref() == Some(leader) {
                    return false;
                }
                confirming_peers += 1;
            }
        }
        confirming_peers > 0
    }

    fn claim(&mut self, index: usize, claim: elect::Claim) {
        if !self.can_reach_store(index) {
            return;
        }
        let member = self.instances[index].member.clone();
        if !self.store.members.contains_key(&*member.instance_id) {
            return;
        }
        let actual = self.store.leader.as_ref().map(|leader| leader.term);
        if actual != claim.expected {
            let stored = self.store.leader.clone();
            self.instances[index]
                .cluster
                .correct_leader(claim.expected, stored);
            return;
        }
        let term = self.store.revision + 1;
        assert!(
            self.leader_by_term
                .insert(term, member.instance_id.clone())
                .is_none()
        );
        let leader = Some(elect::Leader { member, term });
        self.store.leader = leader.clone();
        self.store.record_change(Change::Leader(leader));
        self.instances[index].leading = Some(term);
        self.instances[index].lease_confirmed_at_ms = self.now_ms;
    }
}
