//! The authority of a leader to grant leases, which is shorter than its term.

use std::time;

use indexmap::IndexMap;

use crate::voters;

/// Until when a leader may grant leases to workers.
///
/// The authority lasts for a fixed time from when a question was sent whose answer proves that no later
/// claim had been committed before it. The store proves it, and so does a quorum of the voters, each of
/// which confirms no term once it has acknowledged a later one. A successor finds any quorum broken
/// after it has [resolved](crate::Succession) one more voter than may be missing from it.
///
/// All times are readings of the leader's clock, taken before a question is sent. The clock stands
/// still while the machine is suspended, for which the authority is longer.
#[derive(Clone, Debug)]
pub struct LeaseAuthority {
    term: model::Term,
    /// Time from the question to the end of the authority.
    duration: time::Duration,
    /// How long the voters can prolong the authority after the last evidence of the store.
    leadership_timeout: time::Duration,
    /// When the last question was sent that the store has answered.
    store_asked_at: time::Instant,
    /// When the last question was sent that each instance has answered.
    peers_asked_at: IndexMap<model::InstanceId, time::Instant>,
    /// Lists of voters one of which is stored; one if the outcome of every write is known. Empty if an
    /// earlier leader's list, or none, may be stored.
    lists: Vec<voters::Voters>,
    /// End of the authority. Never falls: what was proven stays true.
    until: time::Instant,
}

impl LeaseAuthority {
    /// Creates the authority of a leader whose claim was sent at `claim_sent_at`.
    #[must_use]
    pub fn new(
        term: model::Term,
        duration: time::Duration,
        leadership_timeout: time::Duration,
        claim_sent_at: time::Instant,
    ) -> Self {
        Self {
            term,
            duration,
            leadership_timeout,
            store_asked_at: claim_sent_at,
            peers_asked_at: IndexMap::new(),
            lists: Vec::new(),
            until: claim_sent_at + duration,
        }
    }

    /// Records that the store has confirmed the term in answer to a question sent at `asked_at`.
    pub fn record_store(&mut self, asked_at: time::Instant) {
        self.store_asked_at = self.store_asked_at.max(asked_at);
    }

    /// Records that an instance has confirmed the term in answer to a question sent at `asked_at`.
    pub fn record_peer(&mut self, instance_id: &model::InstanceId, asked_at: time::Instant) {
        let latest = self
            .peers_asked_at
            .entry(instance_id.clone())
            .or_insert(asked_at);
        *latest = (*latest).max(asked_at);
    }

    /// Records the lists one of which is stored, before a write of another one is begun and after its
    /// outcome is known. Without a list of this term for certain, the voters prove nothing.
    pub fn set_lists(&mut self, lists: Vec<voters::Voters>) {
        // What a quorum has proven before the write is begun, the write does not change.
        self.prolong();
        let is_own = lists.iter().all(|list| list.term == self.term);
        self.lists = if is_own { lists } else { Vec::new() };
    }

    /// Returns until when leases may be granted; takes time proportional to the number of voters.
    pub fn until(&mut self) -> time::Instant {
        self.prolong();
        self.until
    }

    /// Returns when the last question was sent that the store has answered.
    #[must_use]
    pub fn store_asked_at(&self) -> time::Instant {
        self.store_asked_at
    }

    /// Returns the latest time such that a quorum has answered questions sent at that time or later;
    /// `None` without a quorum.
    #[must_use]
    pub fn quorum_asked_at(&self) -> Option<time::Instant> {
        let times = self.lists.iter().map(|list| self.quorum_of(list));
        times.min().flatten()
    }

    fn quorum_of(&self, list: &voters::Voters) -> Option<time::Instant> {
        let members = list.members.iter();
        let asked_at = members.filter_map(|voter| self.peers_asked_at.get(&voter.instance_id));
        let mut asked_at: Vec<_> = asked_at.copied().collect();
        asked_at.sort_unstable_by_key(|at| std::cmp::Reverse(*at));
        // No voters are no quorum.
        let last = list.quorum().checked_sub(1)?;
        asked_at.get(last).copied()
    }

    fn prolong(&mut self) {
        let by_store = self.store_asked_at + self.duration;
        let by_quorum = self.quorum_asked_at().map(|asked_at| {
            let limit = self.store_asked_at + self.leadership_timeout;
            limit.min(asked_at + self.duration)
        });
        self.until = self.until.max(by_store).max(by_quorum.unwrap_or(by_store));
    }
}
