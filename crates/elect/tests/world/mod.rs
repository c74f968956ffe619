//! Some instances, a store and the ways between them, in virtual time.

use std::collections;
use std::time;

use rand::Rng as _;
use rand::SeedableRng as _;

/// Instances of the cell.
pub(crate) const INSTANCES: usize = 4;

const STEP_MS: u64 = 50;
const PULSE_INTERVAL_MS: u64 = 300;
const LOOK_INTERVAL_MS: u64 = 100;
const RENEWAL_MS: u64 = 500;
const LEASE_MS: u64 = 2_000;
const SILENCE_MS: u64 = 1_200;
const OFFICE_MS: u64 = 9_000;
/// Pauses before the cell is read anew after a watch has ended.
const REREAD_PAUSE_MS: std::ops::Range<u64> = 100..500;
/// Share of pulses that get lost.
const LOST_PULSES: f64 = 0.1;

/// The store: the entries of instances and of the leader, each with the end of its lease.
#[derive(Default)]
struct Store {
    is_up: bool,
    lapses: bool,
    revision: model::Revision,
    members: collections::BTreeMap<String, (elect::Member, u64)>,
    leader: Option<elect::Leader>,
    /// Every change, for watches.
    changes: Vec<(model::Revision, Change)>,
}

#[derive(Clone)]
enum Change {
    Joined(elect::Member),
    Left(String),
    Leader(Option<elect::Leader>),
}

impl Store {
    fn change(&mut self, change: Change) -> model::Revision {
        self.revision += 1;
        self.changes.push((self.revision, change));
        self.revision
    }
}

pub(crate) struct Instance {
    pub(crate) member: elect::Member,
    cell: elect::Cell,
    contact: elect::Contact,
    is_registered: bool,
    store_reachable: bool,
    confirmed_at_ms: u64,
    /// Changes that its watch has reported; `None` while it has none.
    watched: Option<usize>,
    /// When it reads the cell anew.
    reread_at_ms: u64,
    /// Term that it leads.
    leading: Option<model::Term>,
    /// Claim whose turn comes at this time.
    turn: Option<(u64, elect::Claim)>,
    pub(crate) is_frozen: bool,
    pub(crate) is_cut_from_store: bool,
    pub(crate) is_cut_from_others: bool,
}

pub(crate) struct World {
    base: time::Instant,
    now_ms: u64,
    rng: rand::rngs::StdRng,
    store: Store,
    pub(crate) instances: Vec<Instance>,
    boots: u32,
    /// Who has led in each term.
    terms: collections::BTreeMap<model::Term, model::InstanceId>,
}

impl Instance {
    fn new(index: usize, boot: u32) -> Self {
        Self {
            member: elect::Member {
                instance_id: format!("{index}#{boot}").into(),
                address: format!("address-{index}").into(),
                strength_milli: 250,
            },
            cell: elect::Cell::default(),
            contact: elect::Contact::default(),
            is_registered: false,
            store_reachable: true,
            confirmed_at_ms: 0,
            watched: None,
            reread_at_ms: 0,
            leading: None,
            turn: None,
            is_frozen: false,
            is_cut_from_store: false,
            is_cut_from_others: false,
        }
    }

    fn key(&self) -> String {
        self.member.instance_id.to_string()
    }
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            base: time::Instant::now(),
            now_ms: 1,
            rng: rand::rngs::StdRng::seed_from_u64(seed),
            store: Store {
                is_up: true,
                ..Store::default()
            },
            instances: (0..INSTANCES)
                .map(|index| Instance::new(index, 0))
                .collect(),
            boots: 0,
            terms: collections::BTreeMap::new(),
        }
    }

    pub(crate) fn set_store(&mut self, is_up: bool, lapses: bool) {
        self.store.is_up = is_up;
        self.store.lapses = lapses;
    }

    /// Kills a process; its machine starts another one.
    pub(crate) fn restart(&mut self, index: usize) {
        self.boots += 1;
        let before =
            std::mem::replace(&mut self.instances[index], Instance::new(index, self.boots));
        self.instances[index].is_cut_from_store = before.is_cut_from_store;
        self.instances[index].is_cut_from_others = before.is_cut_from_others;
    }

    pub(crate) fn mend(&mut self) {
        for instance in &mut self.instances {
            instance.is_frozen = false;
            instance.is_cut_from_store = false;
            instance.is_cut_from_others = false;
        }
    }

    pub(crate) fn run_ms(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.lapse();
            for index in 0..self.instances.len() {
                if !self.instances[index].is_frozen {
                    self.step(index);
                }
            }
        }
    }

    /// Checks that exactly the instance that the store names leads, and that all know it.
    pub(crate) fn assert_one_leads(&self) {
        let leader = self
            .store
            .leader
            .as_ref()
            .expect("the store names a leader");
        for instance in &self.instances {
            let leads = instance.leading == Some(leader.term);
            assert_eq!(
                leads,
                instance.member == leader.member,
                "{}",
                instance.key()
            );
            assert!(leads || instance.leading.is_none(), "{}", instance.key());
            assert_eq!(instance.cell.leader(), Some(leader), "{}", instance.key());
        }
    }

    fn now(&self) -> time::Instant {
        self.base + time::Duration::from_millis(self.now_ms)
    }

    fn is_due(&self, index: usize, interval_ms: u64) -> bool {
        // Instances do not act in the same step.
        (self.now_ms / STEP_MS + index as u64).is_multiple_of(interval_ms / STEP_MS)
    }

    /// Ends leases; they pause while the store is down, unless it lets them run out.
    fn lapse(&mut self) {
        if !self.store.is_up && !self.store.lapses {
            for (_, end_ms) in self.store.members.values_mut() {
                *end_ms += STEP_MS;
            }
            return;
        }
        let now_ms = self.now_ms;
        let ended = self.store.members.iter();
        let ended = ended.filter(|(_, (_, end_ms))| *end_ms <= now_ms);
        for key in ended.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            self.store.members.remove(&key);
            self.store.change(Change::Left(key));
        }
        if let Some(leader) = &self.store.leader
            && !self.store.members.contains_key(&*leader.member.instance_id)
        {
            self.store.leader = None;
            self.store.change(Change::Leader(None));
        }
    }

    fn reaches_store(&self, index: usize) -> bool {
        self.store.is_up && !self.instances[index].is_cut_from_store
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        from != to
            && !self.instances[from].is_cut_from_others
            && !self.instances[to].is_cut_from_others
            && !self.instances[to].is_frozen
    }

    fn step(&mut self, index: usize) {
        if self.is_due(index, RENEWAL_MS) {
            self.renew(index);
        }
        self.hear_store(index);
        if self.is_due(index, PULSE_INTERVAL_MS) {
            self.pulse(index);
        }
        self.check_office(index);
        if self.is_due(index, LOOK_INTERVAL_MS) && self.instances[index].leading.is_none() {
            self.look(index);
        }
    }

    fn renew(&mut self, index: usize) {
        let reachable = self.reaches_store(index);
        let end_ms = self.now_ms + LEASE_MS;
        let now_ms = self.now_ms;
        let instance = &mut self.instances[index];
        instance.store_reachable = reachable;
        if !reachable {
            return;
        }
        let key = instance.key();
        if let Some((_, end)) = self.store.members.get_mut(&key) {
            *end = end_ms;
        } else {
            let member = instance.member.clone();
            self.store.members.insert(key, (member.clone(), end_ms));
            self.store.change(Change::Joined(member));
        }
        instance.is_registered = true;
        instance.confirmed_at_ms = now_ms;
    }

    /// Follows the cell by a watch, and reads it anew after the watch has ended.
    fn hear_store(&mut self, index: usize) {
        let reachable = self.reaches_store(index);
        let now_ms = self.now_ms;
        let pause_ms = self.rng.random_range(REREAD_PAUSE_MS);
        let instance = &mut self.instances[index];
        if !reachable {
            instance.watched = None;
            instance.reread_at_ms = now_ms + pause_ms;
            return;
        }
        if let Some(watched) = instance.watched {
            for (revision, change) in &self.store.changes[watched..] {
                instance.cell.advance(*revision);
                match change.clone() {
                    Change::Joined(member) => {
                        let key = member.instance_id.to_string();
                        instance.cell.put_member(key, member);
                    }
                    Change::Left(key) => instance.cell.remove_member(&key),
                    Change::Leader(leader) => instance.cell.set_leader(leader),
                }
            }
        } else if instance.reread_at_ms <= now_ms {
            let mut cell = elect::Cell::new(self.store.revision);
            for (key, (member, _)) in &self.store.members {
                cell.put_member(key.clone(), member.clone());
            }
            cell.set_leader(self.store.leader.clone());
            instance.cell = cell;
        } else {
            return;
        }
        instance.watched = Some(self.store.changes.len());
    }

    fn pulse(&mut self, index: usize) {
        let now = self.now();
        let Some(leader) = self.instances[index].cell.leader().cloned() else {
            return self.ask_others(index);
        };
        if leader.member.instance_id != self.instances[index].member.instance_id {
            if self.instances[index].contact.term != leader.term {
                self.instances[index].contact = elect::Contact::new(leader.term, now);
            }
            let at = self.index_at(&leader.member.address);
            if self.reaches(index, at) && !self.rng.random_bool(LOST_PULSES) {
                let is_same = self.instances[at].member == leader.member;
                let has_lost_store =
                    self.instances[at].leading.is_some() && !self.reaches_store(at);
                let contact = &mut self.instances[index].contact;
                contact.is_gone = !is_same;
                if is_same {
                    contact.heard_at = Some(now);
                    contact.has_lost_store = has_lost_store;
                }
            }
        }
        self.ask_others(index);
    }

    fn index_at(&self, address: &str) -> usize {
        let mut instances = self.instances.iter();
        instances
            .position(|one| &*one.member.address == address)
            .unwrap()
    }

    /// Learns the leader from others, while the store does not answer.
    fn ask_others(&mut self, index: usize) {
        if self.instances[index].store_reachable || self.instances[index].leading.is_some() {
            return;
        }
        for other in 0..self.instances.len() {
            if self.reaches(index, other)
                && let Some(leader) = self.heard_leader(other)
            {
                self.instances[index].cell.learn(leader);
            }
        }
    }

    fn heard_leader(&self, index: usize) -> Option<elect::Leader> {
        let instance = &self.instances[index];
        if let Some(term) = instance.leading {
            let member = instance.member.clone();
            return Some(elect::Leader { member, term });
        }
        let leader = instance.cell.leader()?;
        let limit = time::Duration::from_millis(SILENCE_MS);
        instance
            .contact
            .hears(leader, limit, self.now())
            .then(|| leader.clone())
    }

    fn check_office(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let instance = &mut self.instances[index];
        let Some(term) = instance.leading else {
            return;
        };
        let is_replaced = instance
            .cell
            .leader()
            .is_some_and(|leader| leader.term > term);
        // Batches of a term that is over are refused.
        let is_refused = !instance.is_cut_from_store
            && self.store.is_up
            && self.store.leader.as_ref().map(|leader| leader.term) != Some(term);
        if is_replaced || is_refused || now_ms - instance.confirmed_at_ms > OFFICE_MS {
            instance.leading = None;
        }
    }

    fn look(&mut self, index: usize) {
        let claim = self.judge(index);
        let turn = self.instances[index].turn.take();
        let Some(claim) = claim.filter(|_| self.instances[index].is_registered) else {
            return;
        };
        let is_due = match turn {
            Some((at_ms, before)) => before == claim && at_ms <= self.now_ms,
            None => false,
        };
        if !is_due {
            let instance = &self.instances[index];
            let delay = instance.cell.delay_of(&instance.member);
            let at_ms = self.now_ms + delay.as_millis() as u64;
            self.instances[index].turn =
                Some(turn.filter(|one| one.1 == claim).unwrap_or((at_ms, claim)));
            return;
        }
        if claim.reason.needs_witness() && !self.others_miss_leader(index) {
            return;
        }
        self.claim(index, claim);
    }

    fn judge(&self, index: usize) -> Option<elect::Claim> {
        let instance = &self.instances[index];
        elect::judge(&elect::Situation {
            own: &instance.member,
            cell: &instance.cell,
            contact: &instance.contact,
            store_reachable: instance.store_reachable,
            silence_limit: time::Duration::from_millis(SILENCE_MS),
            now: self.now(),
        })
    }

    fn others_miss_leader(&self, index: usize) -> bool {
        let Some(leader) = self.instances[index].cell.leader() else {
            return false;
        };
        let mut missed = 0;
        for other in 0..self.instances.len() {
            if self.reaches(index, other) && self.instances[other].member != leader.member {
                if self.heard_leader(other).as_ref() == Some(leader) {
                    return false;
                }
                missed += 1;
            }
        }
        missed > 0
    }

    fn claim(&mut self, index: usize, claim: elect::Claim) {
        if !self.reaches_store(index) {
            return;
        }
        let member = self.instances[index].member.clone();
        if !self.store.members.contains_key(&*member.instance_id) {
            return;
        }
        let actual = self.store.leader.as_ref().map(|leader| leader.term);
        if actual != claim.expected {
            let told = self.store.leader.clone();
            self.instances[index]
                .cell
                .correct_leader(claim.expected, told);
            return;
        }
        let term = self.store.revision + 1;
        assert!(
            self.terms
                .insert(term, member.instance_id.clone())
                .is_none()
        );
        let leader = Some(elect::Leader { member, term });
        self.store.leader = leader.clone();
        self.store.change(Change::Leader(leader));
        self.instances[index].leading = Some(term);
        self.instances[index].confirmed_at_ms = self.now_ms;
    }
}
