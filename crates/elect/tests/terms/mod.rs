//! Simulates terms of leaders, their voters and the store in virtual time.

use std::collections;
use std::time;

use rand::Rng as _;
use rand::SeedableRng as _;

/// Largest number of simulated instances.
pub(crate) const MAX_INSTANCES: usize = 9;

const STEP_MS: u64 = 10;
const AUTHORITY_MS: u64 = 1_000;
const LEADERSHIP_TIMEOUT_MS: u64 = 9_000;
const STORE_READ_INTERVAL_MS: u64 = 300;
const QUESTION_INTERVAL_MS: u64 = 250;
const WRITE_INTERVAL_MS: u64 = 1_000;
const HELLO_INTERVAL_MS: u64 = 100;
/// Probability that a message is lost, except in a calm cluster.
const LOSS_RATE: f64 = 0.05;
/// Probability that a process stands still for a moment after a step, except in a calm cluster.
const STOP_RATE: f64 = 0.002;
/// Longest such moment.
const MAX_STOP_MS: u64 = 2_500;
/// How long the entry of a process that has ended is still registered.
const ENTRY_TTL_MS: u64 = 2_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreState {
    Up,
    Down,
    RepliesLost,
}

struct Store {
    state: StoreState,
    revision: model::Revision,
    /// Revision of the leader's entry.
    term: Option<model::Term>,
    voters: Option<(model::Revision, elect::Voters)>,
    /// Entries, each with the time at which it ends.
    members: Vec<(elect::Member, Option<u64>)>,
}

/// A process of an instance.
struct Process {
    id: model::InstanceId,
    acknowledged_term: model::Term,
    frozen_until_ms: u64,
    /// When the process learns of the latest term.
    learns_at_ms: Option<(u64, model::Term)>,
    known_term: model::Term,
    said_hello_at_ms: Option<u64>,
    leader: Option<Leader>,
}

struct Leader {
    term: model::Term,
    claimed_at: time::Instant,
    authority: elect::LeaseAuthority,
    stored: elect::StoredVoters,
    succession: Option<elect::Succession>,
    is_first: bool,
    /// Instances whose channel is open.
    joined: collections::HashSet<model::InstanceId>,
    read_at_ms: u64,
    asked_at_ms: u64,
    wrote_at_ms: Option<u64>,
    is_reading_voters: bool,
}

/// What a successor has computed, and when leases were last granted in a term.
#[derive(Default)]
struct Term {
    claimed_at: Option<time::Instant>,
    ended_at: Option<time::Instant>,
    last_grant: Option<time::Instant>,
}

#[derive(Clone)]
enum Message {
    /// To the store.
    Claim {
        expected: Option<model::Term>,
        sent_at: time::Instant,
    },
    Read {
        term: model::Term,
        sent_at: time::Instant,
    },
    WriteVoters {
        term: model::Term,
        expected: Option<model::Revision>,
        list: elect::Voters,
    },
    ReadVoters {
        term: model::Term,
    },
    /// To a leader.
    Claimed {
        term: model::Term,
        sent_at: time::Instant,
        expected: Option<model::Term>,
        voters: Option<(model::Revision, elect::Voters)>,
    },
    Confirmed {
        term: model::Term,
        sent_at: time::Instant,
    },
    Wrote {
        term: model::Term,
        list: elect::Voters,
        revision: Option<model::Revision>,
    },
    VotersRead {
        term: model::Term,
        voters: Option<(model::Revision, elect::Voters)>,
    },
    Hello {
        term: model::Term,
        from: model::InstanceId,
    },
    Echo {
        term: model::Term,
        from: model::InstanceId,
        asked_at: time::Instant,
    },
    /// To a voter.
    Question {
        term: model::Term,
        asked_at: time::Instant,
    },
}

#[derive(Clone)]
enum Target {
    /// The store; the reply goes to this process.
    Store(model::InstanceId),
    /// A process, if it still lives.
    Process(model::InstanceId),
}

pub(crate) struct Cluster {
    base: time::Instant,
    now_ms: u64,
    rng: rand::rngs::StdRng,
    max_delay_ms: u64,
    /// Probability that a message is lost.
    loss_rate: f64,
    /// Probability that a process stands still for a moment after a step.
    stop_rate: f64,
    store: Store,
    processes: Vec<Process>,
    cut_from_store: Vec<bool>,
    cut_from_peers: Vec<bool>,
    boots: u32,
    messages: collections::BTreeMap<(u64, u64), (Target, Message)>,
    message_count: u64,
    terms: collections::BTreeMap<model::Term, Term>,
}

impl Process {
    fn new(id: model::InstanceId, now_ms: u64) -> Self {
        Self {
            id,
            acknowledged_term: 0,
            frozen_until_ms: now_ms,
            learns_at_ms: None,
            known_term: 0,
            said_hello_at_ms: None,
            leader: None,
        }
    }
}

impl Cluster {
    pub(crate) fn new(count: usize, seed: u64) -> Self {
        let mut cluster = Self {
            base: time::Instant::now(),
            now_ms: 1,
            rng: rand::rngs::StdRng::seed_from_u64(seed),
            max_delay_ms: 60,
            loss_rate: LOSS_RATE,
            stop_rate: STOP_RATE,
            store: Store {
                state: StoreState::Up,
                revision: 1,
                term: None,
                voters: None,
                members: Vec::new(),
            },
            processes: Vec::new(),
            cut_from_store: vec![false; count],
            cut_from_peers: vec![false; count],
            boots: 0,
            messages: collections::BTreeMap::new(),
            message_count: 0,
            terms: collections::BTreeMap::new(),
        };
        for index in 0..count {
            let id: model::InstanceId = format!("{index}#0").into();
            cluster.processes.push(Process::new(id.clone(), 1));
            cluster.register(index, id);
        }
        cluster
    }

    /// Loses no messages and stops no processes from now on, other than by the test's own faults.
    pub(crate) fn calm(mut self) -> Self {
        self.loss_rate = 0.0;
        self.stop_rate = 0.0;
        self
    }

    pub(crate) fn set_store(&mut self, state: StoreState) {
        self.store.state = state;
    }

    pub(crate) fn set_max_delay(&mut self, max_ms: u64) {
        self.max_delay_ms = max_ms;
    }

    pub(crate) fn cut_from_store(&mut self, index: usize) {
        let index = index % self.processes.len();
        self.cut_from_store[index] = true;
    }

    pub(crate) fn cut_from_peers(&mut self, index: usize) {
        let index = index % self.processes.len();
        self.cut_from_peers[index] = true;
    }

    pub(crate) fn restore_all(&mut self) {
        self.cut_from_store.fill(false);
        self.cut_from_peers.fill(false);
        self.store.state = StoreState::Up;
        self.max_delay_ms = 60;
    }

    pub(crate) fn freeze(&mut self, index: usize, pause_ms: u64) {
        let index = index % self.processes.len();
        let until = self.now_ms + pause_ms;
        let process = &mut self.processes[index];
        process.frozen_until_ms = process.frozen_until_ms.max(until);
    }

    /// Kills a process; its machine starts another, while the entry of the first is still registered.
    pub(crate) fn restart(&mut self, index: usize) {
        let index = index % self.processes.len();
        self.boots += 1;
        let id: model::InstanceId = format!("{index}#{}", self.boots).into();
        let process = Process::new(id.clone(), self.now_ms);
        let ended = std::mem::replace(&mut self.processes[index], process);
        let entry_ends_at = self.now_ms + ENTRY_TTL_MS;
        for (member, ends_at) in &mut self.store.members {
            if member.instance_id == ended.id {
                *ends_at = Some(entry_ends_at);
            }
        }
        self.register(index, id);
        let latest = self.terms.keys().next_back().copied().unwrap_or_default();
        self.inform(index, latest);
    }

    fn register(&mut self, index: usize, instance_id: model::InstanceId) {
        let member = elect::Member {
            instance_id,
            address: format!("address-{index}").into(),
            strength_milli: 250,
        };
        self.store.members.push((member, None));
    }

    /// Makes an instance claim the leadership.
    pub(crate) fn claim(&mut self, index: usize) {
        let index = index % self.processes.len();
        if self.processes[index].leader.is_some() {
            return;
        }
        let message = Message::Claim {
            expected: self.store.term,
            sent_at: self.now(),
        };
        self.send_to_store(index, message);
    }

    pub(crate) fn run_ms(&mut self, duration_ms: u64) {
        let end = self.now_ms + duration_ms;
        while self.now_ms < end {
            self.now_ms += STEP_MS;
            self.deliver();
            for index in 0..self.processes.len() {
                self.step(index);
            }
        }
    }

    /// Returns whether the instance leads and may grant leases now.
    pub(crate) fn has_authority(&mut self, index: usize) -> bool {
        let now = self.now();
        let leader = self.processes[index].leader.as_mut();
        leader.is_some_and(|leader| leader.authority.until() > now)
    }

    /// Returns the time from the claim of the last leader to when it knows that no earlier one grants a
    /// lease.
    pub(crate) fn wait_of_the_last_leader(&self) -> Option<time::Duration> {
        let (_, term) = self.terms.last_key_value()?;
        Some(term.ended_at? - term.claimed_at?)
    }

    /// Asserts that no leader has granted a lease after the time that a later one has computed.
    pub(crate) fn assert_grants(&self) {
        for (later, term) in &self.terms {
            let Some(ended_at) = term.ended_at else {
                continue;
            };
            for (earlier, one) in self.terms.range(..later) {
                let Some(granted_at) = one.last_grant else {
                    continue;
                };
                assert!(
                    granted_at <= ended_at,
                    "term {earlier} granted a lease at {:?}, term {later} computed {:?}",
                    granted_at - self.base,
                    ended_at - self.base,
                );
            }
        }
    }

    fn now(&self) -> time::Instant {
        self.base + time::Duration::from_millis(self.now_ms)
    }

    fn index_of(&self, id: &model::InstanceId) -> Option<usize> {
        self.processes.iter().position(|process| process.id == *id)
    }

    fn send(&mut self, target: Target, message: Message) {
        if self.rng.random_bool(self.loss_rate) {
            return;
        }
        let delay_ms = self.rng.random_range(1..=self.max_delay_ms);
        self.message_count += 1;
        let key = (self.now_ms + delay_ms, self.message_count);
        self.messages.insert(key, (target, message));
    }

    fn send_to_store(&mut self, index: usize, message: Message) {
        if !self.cut_from_store[index] {
            let id = self.processes[index].id.clone();
            self.send(Target::Store(id), message);
        }
    }

    fn send_to_peer(&mut self, index: usize, to: &model::InstanceId, message: Message) {
        let Some(other) = self.index_of(to) else {
            return;
        };
        if !self.cut_from_peers[index] && !self.cut_from_peers[other] {
            self.send(Target::Process(to.clone()), message);
        }
    }

    fn deliver(&mut self) {
        let later = self.messages.split_off(&(self.now_ms + 1, 0));
        let due = std::mem::replace(&mut self.messages, later);
        for (_, (target, message)) in due {
            match target {
                Target::Store(reply_to) => {
                    if self.store.state == StoreState::Down {
                        continue;
                    }
                    let reply = self.handle_at_store(message);
                    let index = self.index_of(&reply_to);
                    let is_cut = index.is_none_or(|index| self.cut_from_store[index]);
                    if self.store.state == StoreState::Up && !is_cut {
                        self.send(Target::Process(reply_to), reply);
                    }
                }
                Target::Process(id) => {
                    let Some(index) = self.index_of(&id) else {
                        continue;
                    };
                    let thaws_at = self.processes[index].frozen_until_ms;
                    if thaws_at > self.now_ms {
                        // It waits in the socket.
                        self.message_count += 1;
                        let key = (thaws_at, self.message_count);
                        self.messages.insert(key, (Target::Process(id), message));
                        continue;
                    }
                    self.handle(index, message);
                }
            }
        }
    }

    fn handle_at_store(&mut self, message: Message) -> Message {
        let store = &mut self.store;
        match message {
            Message::Claim { expected, sent_at } => {
                let mut term = 0;
                if store.term == expected {
                    store.revision += 1;
                    term = store.revision;
                    store.term = Some(term);
                    self.terms.insert(term, Term::default());
                    for index in 0..self.processes.len() {
                        self.inform(index, term);
                    }
                }
                Message::Claimed {
                    term,
                    sent_at,
                    expected,
                    voters: self.store.voters.clone(),
                }
            }
            Message::Read { term, sent_at } => Message::Confirmed {
                // Another term is no confirmation.
                term: if store.term == Some(term) { term } else { 0 },
                sent_at,
            },
            Message::WriteVoters {
                term,
                expected,
                list,
            } => {
                let current = store.voters.as_ref().map(|(revision, _)| *revision);
                let mut written = None;
                if store.term == Some(term) && current == expected {
                    store.revision += 1;
                    written = Some(store.revision);
                    store.voters = Some((store.revision, list.clone()));
                }
                Message::Wrote {
                    term,
                    list,
                    revision: written,
                }
            }
            Message::ReadVoters { term } => Message::VotersRead {
                term,
                voters: store.voters.clone(),
            },
            other => other,
        }
    }

    /// Lets a process learn of a term some time later, unless it is cut off from the store.
    fn inform(&mut self, index: usize, term: model::Term) {
        if !self.cut_from_store[index] {
            let delay_ms = self.rng.random_range(1..=self.max_delay_ms);
            self.processes[index].learns_at_ms = Some((self.now_ms + delay_ms, term));
        }
    }

    fn handle(&mut self, index: usize, message: Message) {
        let process = &mut self.processes[index];
        match message {
            Message::Claimed {
                term,
                sent_at,
                expected,
                voters,
            } => {
                if term > 0 && term >= process.acknowledged_term {
                    process.acknowledged_term = term;
                    process.known_term = process.known_term.max(term);
                    self.begin_term(index, term, sent_at, expected, voters);
                }
            }
            Message::Question { term, asked_at } => {
                // The latest question is taken before the term is compared.
                let confirms = process.acknowledged_term <= term;
                let from = process.id.clone();
                if confirms && let Some(leader) = self.leader_of(term) {
                    let echo = Message::Echo {
                        term,
                        from,
                        asked_at,
                    };
                    self.send_to_peer(index, &leader, echo);
                }
            }
            Message::Confirmed { term, sent_at } => {
                if let Some(leader) = leader_mut(process, term) {
                    leader.authority.record_store(sent_at);
                }
            }
            Message::Echo {
                term,
                from,
                asked_at,
            } => {
                if let Some(leader) = leader_mut(process, term) {
                    leader.authority.record_peer(&from, asked_at);
                }
            }
            Message::Hello { term, from } => {
                if let Some(leader) = process.leader.as_mut()
                    && term >= leader.term
                {
                    if let Some(succession) = &mut leader.succession {
                        succession.resolve(&from);
                    }
                    if term == leader.term {
                        leader.joined.insert(from);
                    }
                }
            }
            Message::Wrote {
                term,
                list,
                revision,
            } => {
                if let Some(leader) = leader_mut(process, term) {
                    match revision {
                        Some(revision) => leader.stored.record_write(revision, list),
                        None => leader.is_reading_voters = true,
                    }
                    leader.authority.set_lists(leader.stored.lists());
                }
            }
            Message::VotersRead { term, voters } => {
                if let Some(leader) = leader_mut(process, term) {
                    let revision = voters.as_ref().map(|(revision, _)| *revision);
                    leader
                        .stored
                        .record_read(revision, voters.map(|(_, list)| list));
                    leader.authority.set_lists(leader.stored.lists());
                    leader.is_reading_voters = false;
                }
            }
            Message::Claim { .. }
            | Message::Read { .. }
            | Message::WriteVoters { .. }
            | Message::ReadVoters { .. } => {}
        }
    }

    fn leader_of(&self, term: model::Term) -> Option<model::InstanceId> {
        let leads =
            |process: &&Process| process.leader.as_ref().is_some_and(|one| one.term == term);
        self.processes.iter().find(leads).map(|one| one.id.clone())
    }

    fn begin_term(
        &mut self,
        index: usize,
        term: model::Term,
        sent_at: time::Instant,
        expected: Option<model::Term>,
        voters: Option<(model::Revision, elect::Voters)>,
    ) {
        let now = self.now();
        let own = elect::Member {
            instance_id: self.processes[index].id.clone(),
            address: format!("address-{index}").into(),
            strength_milli: 250,
        };
        let revision = voters.as_ref().map(|(revision, _)| *revision);
        let list = voters.map(|(_, list)| list);
        let ms = time::Duration::from_millis;
        let leader = Leader {
            term,
            claimed_at: now,
            authority: elect::LeaseAuthority::new(
                term,
                ms(AUTHORITY_MS),
                ms(LEADERSHIP_TIMEOUT_MS),
                sent_at,
            ),
            succession: list.clone().map(|list| elect::Succession::new(list, &own)),
            is_first: expected.is_none() && list.is_none(),
            stored: elect::StoredVoters::new(revision, list),
            joined: collections::HashSet::new(),
            read_at_ms: 0,
            asked_at_ms: 0,
            wrote_at_ms: None,
            is_reading_voters: false,
        };
        if let Some(entry) = self.terms.get_mut(&term) {
            entry.claimed_at = Some(now);
        }
        self.processes[index].leader = Some(leader);
    }

    fn cluster_view(&self) -> elect::ClusterView {
        let mut view = elect::ClusterView::new(self.store.revision);
        for (member, ends_at) in &self.store.members {
            if ends_at.is_none_or(|at| at > self.now_ms) {
                view.put_member(member.instance_id.to_string(), member.clone());
            }
        }
        view
    }

    fn step(&mut self, index: usize) {
        if self.processes[index].frozen_until_ms > self.now_ms {
            return;
        }
        self.learn(index);
        self.say_hello(index);
        self.lead(index);
        if self.rng.random_bool(self.stop_rate) {
            let pause_ms = self.rng.random_range(1..MAX_STOP_MS);
            self.freeze(index, pause_ms);
        }
    }

    fn learn(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let process = &mut self.processes[index];
        if let Some((_, term)) = process.learns_at_ms.take_if(|(at, _)| *at <= now_ms) {
            process.known_term = process.known_term.max(term);
            process.said_hello_at_ms = None;
        }
    }

    /// Acknowledges the known term and says hello to its leader again and again, as a channel that breaks
    /// is opened again.
    fn say_hello(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let process = &mut self.processes[index];
        let term = process.known_term;
        let is_due = process
            .said_hello_at_ms
            .is_none_or(|at| now_ms >= at + HELLO_INTERVAL_MS);
        if !is_due || term < process.acknowledged_term || term == 0 {
            return;
        }
        process.said_hello_at_ms = Some(now_ms);
        process.acknowledged_term = term;
        let from = process.id.clone();
        if let Some(leader) = self.leader_of(term)
            && leader != from
        {
            self.send_to_peer(index, &leader, Message::Hello { term, from });
        }
    }

    fn lead(&mut self, index: usize) {
        if self.processes[index].leader.is_none() {
            return;
        }
        let now = self.now();
        let now_ms = self.now_ms;
        let view = self.cluster_view();
        let live: collections::HashSet<_> =
            self.processes.iter().map(|one| one.id.clone()).collect();
        let Some(leader) = &mut self.processes[index].leader else {
            return;
        };
        let term = leader.term;
        let timeout = time::Duration::from_millis(LEADERSHIP_TIMEOUT_MS);
        if now > leader.authority.store_asked_at() + timeout {
            self.processes[index].leader = None;
            return;
        }
        let entry = self.terms.entry(term).or_default();
        if leader.authority.until() > now {
            entry.last_grant = Some(now);
        }
        if let Some(succession) = &mut leader.succession
            && entry.ended_at.is_none()
        {
            for member in view.members() {
                succession.resolve_address(&member.address, &member.instance_id);
            }
            if succession.is_ended() {
                let authority = time::Duration::from_millis(AUTHORITY_MS);
                entry.ended_at = Some(now.max(leader.claimed_at) + authority);
            }
        }
        let may_write =
            leader.is_first || entry.ended_at.is_some() || now >= leader.claimed_at + timeout;
        // A channel to a process that has ended is closed.
        leader.joined.retain(|id| live.contains(id));
        let mut questions = Vec::new();
        if now_ms >= leader.asked_at_ms + QUESTION_INTERVAL_MS {
            leader.asked_at_ms = now_ms;
            questions.extend(leader.joined.iter().cloned());
            questions.sort();
        }
        let mut to_store = Vec::new();
        if now_ms >= leader.read_at_ms + STORE_READ_INTERVAL_MS {
            leader.read_at_ms = now_ms;
            to_store.push(Message::Read { term, sent_at: now });
        }
        let list = elect::Voters::new(term, &leader.joined, &view);
        let is_due = leader
            .wrote_at_ms
            .is_none_or(|at| now_ms >= at + WRITE_INTERVAL_MS);
        if may_write && is_due && !leader.stored.is_stored(&list) {
            leader.wrote_at_ms = Some(now_ms);
            if leader.is_reading_voters {
                to_store.push(Message::ReadVoters { term });
            } else {
                let expected = leader.stored.revision();
                leader.stored.begin_write(list.clone());
                leader.authority.set_lists(leader.stored.lists());
                // Until the outcome is known, the entry is read before the next write.
                leader.is_reading_voters = true;
                to_store.push(Message::WriteVoters {
                    term,
                    expected,
                    list,
                });
            }
        }
        for message in to_store {
            self.send_to_store(index, message);
        }
        for id in questions {
            let message = Message::Question {
                term,
                asked_at: now,
            };
            self.send_to_peer(index, &id, message);
        }
    }
}

fn leader_mut(process: &mut Process, term: model::Term) -> Option<&mut Leader> {
    process.leader.as_mut().filter(|one| one.term == term)
}
