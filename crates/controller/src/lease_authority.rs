//! The leader's authority to grant leases: collects its evidence and maintains the list of voters.
//!
//! While the leader commits batches, these are the evidence. Otherwise it reads its own entry, and
//! while the store does not answer, it asks its relays, which are the voters. What a new leader learns
//! of the authority of earlier ones is reported to the scheduler from here, too.

use std::sync;
use std::time;

use store::Store as _;

use crate::authority_clock;
use crate::cluster_entries;
use crate::control_thread;
use crate::election;
use crate::error;
use crate::instance;
use crate::platform;
use crate::relays;

/// Time between two checks what is due.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Time between two checks whether the authority has grown at all.
const PUBLISH_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Growth of the authority that is reported at once, with the batch that has proven it.
const MIN_GROWTH: time::Duration = time::Duration::from_millis(50);
/// Age of the evidence of the store from which the leader's entry is read, and shortest time between
/// two reads: three reads fit into the authority.
const READ_INTERVAL: time::Duration = time::Duration::from_millis(300);
/// Time after which an unanswered read is repeated in parallel: its connection may be dead.
const HEDGE_DELAY: time::Duration = time::Duration::from_millis(300);
/// Age of the evidence of the store from which the voters are asked; reads fill the time before that.
const QUESTION_AGE: time::Duration = time::Duration::from_millis(500);
/// Time between two questions to a voter.
const QUESTION_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Time from the start of a term to the first list of voters, in which most instances join.
const FIRST_LIST_DELAY: time::Duration = time::Duration::from_millis(300);
/// Shortest time between two writes of the list of voters.
const LIST_INTERVAL: time::Duration = time::Duration::from_millis(1_000);

/// The evidence of a term, shared by the tasks that find it. Its times are readings of the authority clock.
#[derive(Clone, Debug)]
pub(crate) struct Evidence {
    control: control_thread::Handle,
    state: sync::Arc<sync::Mutex<EvidenceState>>,
}

#[derive(Debug)]
struct EvidenceState {
    authority: elect::LeaseAuthority,
    /// End of the authority that the control thread knows.
    published_until: time::Instant,
}

impl Evidence {
    /// Creates the evidence of a term that begins with `authority`, and reports that.
    pub(crate) fn new(
        mut authority: elect::LeaseAuthority,
        control: control_thread::Handle,
    ) -> Self {
        let until = authority.until();
        control.send_event(jobs::Event::LeaseAuthority { until });
        let state = EvidenceState {
            published_until: until,
            authority,
        };
        Self {
            control,
            state: sync::Arc::new(sync::Mutex::new(state)),
        }
    }

    /// Records that the store has confirmed the term in answer to a call sent at `sent_at`, and reports
    /// the authority if it has grown much.
    pub(crate) fn record_store(&self, sent_at: time::Instant) {
        let mut state = instance::lock(&self.state);
        state.authority.record_store(sent_at);
        self.publish(&mut state, MIN_GROWTH);
    }

    /// Records that a voter has confirmed the term in answer to a question sent at `asked_at`. Hundreds
    /// of relays do so many times a second, so that the quorum is determined at the next check.
    pub(crate) fn record_peer(&self, from: &model::InstanceId, asked_at: time::Instant) {
        let mut state = instance::lock(&self.state);
        state.authority.record_peer(from, asked_at);
    }

    fn set_lists(&self, lists: Vec<elect::Voters>) {
        instance::lock(&self.state).authority.set_lists(lists);
    }

    /// Returns the age of the evidence of the store.
    fn store_age(&self) -> time::Duration {
        let asked_at = instance::lock(&self.state).authority.store_asked_at();
        authority_clock::now().saturating_duration_since(asked_at)
    }

    /// Reports the authority if it has grown; returns its state.
    fn check(&self) -> elect::LeaseAuthority {
        let mut state = instance::lock(&self.state);
        self.publish(&mut state, time::Duration::from_nanos(1));
        state.authority.clone()
    }

    /// Sends while the state is locked, so that reports are in order.
    fn publish(&self, state: &mut EvidenceState, min_growth: time::Duration) {
        let until = state.authority.until();
        if until.saturating_duration_since(state.published_until) >= min_growth {
            state.published_until = until;
            self.control
                .send_event(jobs::Event::LeaseAuthority { until });
        }
    }
}

/// The entry with the list of voters, as it was read after the claim.
#[derive(Debug)]
pub(crate) struct VotersEntry {
    revision: Option<model::Revision>,
    /// `None` without an entry, or if it cannot be decoded.
    list: Option<elect::Voters>,
}

impl VotersEntry {
    /// Decodes the entry.
    pub(crate) fn decode(entry: Option<&store::Entry>) -> Self {
        let list = entry.and_then(|entry| cluster_entries::decode::<elect::Voters>(&entry.value));
        if entry.is_some() && list.is_none() {
            log::warn!(key = cluster_entries::VOTERS_KEY; "list of voters cannot be decoded");
        }
        Self {
            revision: entry.map(|entry| entry.modified_revision),
            list,
        }
    }

    /// Returns whether there is no entry.
    pub(crate) fn is_absent(&self) -> bool {
        self.revision.is_none()
    }
}

/// Reply to an attempt to read the leader's entry.
struct LeaderRead {
    sent_at: time::Instant,
    entry: Result<Option<store::Entry>, store::Error>,
}

/// Reply of the store about the list of voters.
enum VotersReply {
    Written {
        list: elect::Voters,
        sent_at: time::Instant,
        outcome: Result<store::TxnOutcome, store::Error>,
    },
    Read(Result<Option<store::Entry>, store::Error>),
}

/// Keeps up the authority of a term.
pub(crate) struct Keeper<P: platform::Platform> {
    shared: sync::Arc<instance::Shared<P>>,
    claimed: election::Claimed,
    evidence: Evidence,
    relays: sync::Arc<relays::Relays>,
    started_at: time::Instant,
    /// What is known of the authority of earlier leaders, until it has ended; `None` also if nothing is
    /// known.
    succession: Option<elect::Succession>,
    /// From when a list of this term may be written: no earlier leader relies on another one then.
    may_write_from: time::Instant,
    stored: elect::StoredVoters,
    /// Whether the entry of the voters must be read before the next write.
    must_read_voters: bool,
    /// When the list was last written or read.
    list_call_at: Option<time::Instant>,
    list_calls: store::Hedged<VotersReply>,
    reads: store::Hedged<LeaderRead>,
    /// When the last attempt to read the leader's entry was made.
    read_at: Option<time::Instant>,
    is_hedged: bool,
    asked_at: Option<time::Instant>,
    published_at: time::Instant,
    is_lapsed: bool,
}

impl<P: platform::Platform> Keeper<P> {
    /// Creates the keeper of a term. `is_first` means that no leader can have granted a lease before.
    pub(crate) fn new(
        shared: &sync::Arc<instance::Shared<P>>,
        claimed: election::Claimed,
        voters: VotersEntry,
        is_first: bool,
        evidence: Evidence,
        relays: sync::Arc<relays::Relays>,
    ) -> Self {
        let VotersEntry { revision, list } = voters;
        let now = time::Instant::now();
        let may_write_from = match is_first {
            true => now,
            false => claimed.claimed_at + shared.settings.leadership_timeout,
        };
        let succession = list.clone();
        let succession = succession.map(|list| elect::Succession::new(list, &shared.member));
        if succession.is_none() {
            log::info!(
                term = claimed.term,
                is_first;
                "voters unknown; the authority of earlier leaders counts as long as their leadership"
            );
        }
        Self {
            shared: sync::Arc::clone(shared),
            claimed,
            evidence,
            relays,
            started_at: now,
            succession,
            may_write_from,
            stored: elect::StoredVoters::new(revision, list),
            must_read_voters: false,
            list_call_at: None,
            list_calls: store::Hedged::default(),
            reads: store::Hedged::default(),
            read_at: None,
            is_hedged: false,
            asked_at: None,
            published_at: now,
            is_lapsed: false,
        }
    }

    /// Keeps up the authority; returns why the term has ended if the store shows that.
    pub(crate) async fn run(mut self) -> error::Error {
        let shared = sync::Arc::clone(&self.shared);
        let mut check = tokio::time::interval(CHECK_INTERVAL);
        check.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                read = self.reads.next_reply() => {
                    if let Err(cause) = self.handle_read(read) {
                        return cause;
                    }
                }
                reply = self.list_calls.next_reply() => self.handle_voters_reply(reply),
                () = shared.store_regained.notified() => {
                    // The connections of the attempts in flight may be dead.
                    self.reads = store::Hedged::default();
                    self.read_at = None;
                }
                _ = check.tick() => {
                    self.check_succession();
                    self.read_leader();
                    self.ask_voters();
                    self.update_list();
                    self.publish();
                }
            }
        }
    }

    /// Reports to the scheduler once no earlier leader can prolong its authority.
    fn check_succession(&mut self) {
        if time::Instant::now() >= self.may_write_from {
            // Even by their leadership, earlier leaders have ended.
            self.succession = None;
        }
        let Some(succession) = &mut self.succession else {
            return;
        };
        for instance_id in self.relays.take_joined() {
            succession.resolve(&instance_id);
        }
        let cluster = self.shared.cluster.borrow();
        // An older view may still have entries that had ended when the list was made.
        if cluster.includes(self.claimed.term) {
            for member in cluster.members() {
                succession.resolve_address(&member.address, &member.instance_id);
            }
        }
        drop(cluster);
        if !succession.is_ended() {
            return;
        }
        let claimed_at = self.claimed.claimed_at;
        let known_at = match succession.voter_count() {
            0 => claimed_at,
            _ => time::Instant::now(),
        };
        let at = known_at.max(claimed_at) + self.shared.settings.lease_authority;
        self.evidence
            .control
            .send_event(jobs::Event::EarlierAuthorityEnded { at });
        let waited = known_at.saturating_duration_since(claimed_at);
        self.shared.metrics.time("takeover.authority_ended", waited);
        log::info!(
            term = self.claimed.term,
            voters = succession.voter_count(),
            resolved = succession.resolved_count(),
            since_claim_ms = waited.as_millis() as u64;
            "no earlier leader can prolong its authority"
        );
        self.succession = None;
        self.may_write_from = time::Instant::now();
    }

    /// Reads the leader's entry if the evidence of the store is old.
    fn read_leader(&mut self) {
        let now = time::Instant::now();
        let since_read = self.read_at.map(|at| now.saturating_duration_since(at));
        if self.reads.is_empty() {
            let age = self.evidence.store_age();
            let is_due = since_read.is_none_or(|since| since >= READ_INTERVAL);
            if age >= READ_INTERVAL && is_due {
                self.is_hedged = false;
                self.start_read(now);
            }
        } else if !self.is_hedged && since_read.is_some_and(|since| since >= HEDGE_DELAY) {
            self.is_hedged = true;
            self.start_read(now);
        }
    }

    fn start_read(&mut self, now: time::Instant) {
        self.read_at = Some(now);
        let store = self.shared.platform.store().clone();
        self.reads.start(async move {
            let sent_at = authority_clock::now();
            let entry = store.get(cluster_entries::LEADER_KEY).await;
            LeaderRead { sent_at, entry }
        });
    }

    /// Fails if the store shows that the term has ended.
    fn handle_read(&mut self, read: LeaderRead) -> Result<(), error::Error> {
        match read.entry {
            Ok(Some(entry)) if entry.modified_revision == self.claimed.term => {
                self.evidence.record_store(read.sent_at);
                self.reads = store::Hedged::default();
                Ok(())
            }
            Ok(entry) => {
                let term = entry.map_or(0, |entry| entry.modified_revision);
                let context = format!("the leader entry has changed; its term is {term}");
                Err(error::Error::new(error::ErrorKind::LeadershipLost, context))
            }
            Err(cause) => {
                log::debug!(term = self.claimed.term, cause:% = cause; "leader entry not read");
                Ok(())
            }
        }
    }

    /// Asks the voters if the store has not confirmed the term for a while.
    fn ask_voters(&mut self) {
        let age = self.evidence.store_age();
        let is_due = self
            .asked_at
            .is_none_or(|at| at.elapsed() >= QUESTION_INTERVAL);
        if age >= QUESTION_AGE && is_due {
            self.asked_at = Some(time::Instant::now());
            self.relays.ask();
        }
    }

    /// Stores the list of voters if it has changed.
    fn update_list(&mut self) {
        let now = time::Instant::now();
        let is_due = self
            .list_call_at
            .is_none_or(|at| now.saturating_duration_since(at) >= LIST_INTERVAL);
        if !is_due || !self.list_calls.is_empty() || !self.accepts_writes() {
            return;
        }
        if now < self.may_write_from || now < self.started_at + FIRST_LIST_DELAY {
            return;
        }
        if self.must_read_voters {
            self.list_call_at = Some(now);
            let store = self.shared.platform.store().clone();
            self.list_calls.start(async move {
                VotersReply::Read(store.get(cluster_entries::VOTERS_KEY).await)
            });
            return;
        }
        let ids = self.relays.voters();
        let list = elect::Voters::new(self.claimed.term, &ids, &self.shared.cluster.borrow());
        if !self.stored.is_stored(&list) {
            self.list_call_at = Some(now);
            self.write_list(list);
        }
    }

    /// Returns whether the store is known to take writes.
    fn accepts_writes(&self) -> bool {
        let rejects = &self.shared.store_rejects_batches;
        self.shared.is_store_reachable() && !rejects.load(sync::atomic::Ordering::Relaxed)
    }

    fn write_list(&mut self, list: elect::Voters) {
        let key = cluster_entries::VOTERS_KEY.to_owned();
        let voters = match self.stored.revision() {
            Some(revision) => store::Compare::ModifiedAt {
                key: key.clone(),
                revision,
            },
            None => store::Compare::Absent { key: key.clone() },
        };
        let leader = store::Compare::ModifiedAt {
            key: cluster_entries::LEADER_KEY.to_owned(),
            revision: self.claimed.term,
        };
        let txn = store::Txn {
            compares: vec![leader, voters],
            puts: vec![store::Put {
                key,
                value: cluster_entries::encode(&list),
                lease_id: None,
            }],
            deletes: Vec::new(),
        };
        self.stored.begin_write(list.clone());
        self.evidence.set_lists(self.stored.lists());
        let store = self.shared.platform.store().clone();
        self.list_calls.start(async move {
            let sent_at = authority_clock::now();
            let outcome = store.commit(txn).await;
            VotersReply::Written {
                list,
                sent_at,
                outcome,
            }
        });
    }

    fn handle_voters_reply(&mut self, reply: VotersReply) {
        let term = self.claimed.term;
        match reply {
            VotersReply::Written {
                list,
                sent_at,
                outcome: Ok(outcome),
            } if outcome.succeeded => {
                log::info!(
                    term,
                    voters = list.members.len(),
                    max_missing = list.max_missing();
                    "voters stored"
                );
                self.stored.record_write(outcome.revision, list);
                self.evidence.record_store(sent_at);
            }
            VotersReply::Written { outcome, .. } => {
                // An earlier write has taken effect, the term has ended, or the outcome is unknown.
                self.must_read_voters = true;
                match outcome {
                    Ok(_) => log::info!(term; "voters not stored: an entry has changed"),
                    Err(cause) => log::warn!(term, cause:% = cause; "voters not stored"),
                }
            }
            VotersReply::Read(Ok(entry)) => {
                let VotersEntry { revision, list } = VotersEntry::decode(entry.as_ref());
                self.stored.record_read(revision, list);
                self.must_read_voters = false;
            }
            VotersReply::Read(Err(cause)) => {
                log::warn!(term, cause:% = cause; "voters not read");
            }
        }
        self.evidence.set_lists(self.stored.lists());
    }

    /// Reports the authority if it has grown, and logs when it has lapsed and when it is back.
    fn publish(&mut self) {
        let now = time::Instant::now();
        if now < self.published_at + PUBLISH_INTERVAL {
            return;
        }
        self.published_at = now;
        let mut authority = self.evidence.check();
        let now = authority_clock::now();
        let is_lapsed = authority.until() <= now;
        if is_lapsed == self.is_lapsed {
            return;
        }
        self.is_lapsed = is_lapsed;
        let age_ms = |at| now.saturating_duration_since(at).as_millis() as u64;
        let term = self.claimed.term;
        let store_age_ms = age_ms(authority.store_asked_at());
        let quorum_age_ms = authority.quorum_asked_at().map(age_ms);
        if is_lapsed {
            self.shared.metrics.count("leader.authority_lapsed");
            log::warn!(term, store_age_ms, quorum_age_ms:?; "authority to grant leases lapsed");
        } else {
            log::info!(term, store_age_ms, quorum_age_ms:?; "authority to grant leases regained");
        }
    }
}
