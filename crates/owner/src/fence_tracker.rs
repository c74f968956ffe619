//! Tracking of fences sent to the live members.
//!
//! Each fence is recorded with the sequence number of the event at which it was sent, so that its
//! answer is known to reflect everything before that event. A member has at most one outstanding
//! fence.

use std::time;

use indexmap::IndexMap;
use indexmap::IndexSet;
use model::InstanceId;
use model::Partition;
use model::WorkerId;

/// Delay before a member that did not answer is fenced again.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

/// A fence to send to one member.
pub(crate) struct FenceRequest {
    pub(crate) to: InstanceId,
    pub(crate) partitions: Vec<Partition>,
}

/// Tracks which members have answered which fences.
#[derive(Debug, Default)]
pub(crate) struct FenceTracker {
    /// Members whose last answer is older than this sequence are fenced. Kept for every owned
    /// partition, so that members that appear later are fenced too.
    due: IndexMap<Partition, u64>,
    /// Sequence of the outstanding fence of each member.
    outstanding: IndexMap<InstanceId, u64>,
    retry_at: IndexMap<InstanceId, time::Instant>,
    acked: IndexMap<InstanceId, IndexMap<Partition, u64>>,
    /// Sequence of the latest fence in whose answer each worker was listed as held.
    covered: IndexMap<Partition, IndexMap<WorkerId, u64>>,
    /// Workers that named another lease holder, by the member that reported this.
    held_elsewhere: IndexMap<InstanceId, Vec<(WorkerId, InstanceId)>>,
}

impl FenceTracker {
    /// Fences every member again for `partition`.
    pub(crate) fn request(&mut self, partition: Partition, sequence: u64) {
        self.due.insert(partition, sequence);
    }

    pub(crate) fn remove_partition(&mut self, partition: Partition) {
        self.due.swap_remove(&partition);
        self.covered.swap_remove(&partition);
    }

    /// Forgets the answers of members that are no longer live.
    pub(crate) fn retain_members(&mut self, is_live: impl Fn(&InstanceId) -> bool) {
        self.acked.retain(|member, _| is_live(member));
        self.held_elsewhere.retain(|member, _| is_live(member));
        self.retry_at.retain(|member, _| is_live(member));
    }

    /// Returns the fences to send to live members now, and marks them as outstanding.
    pub(crate) fn take_due<'a>(
        &mut self,
        live: impl Iterator<Item = &'a InstanceId>,
        sequence: u64,
        now: time::Instant,
    ) -> Vec<FenceRequest> {
        let mut requests = Vec::new();
        for member in live {
            let is_delayed = self.retry_at.get(member).is_some_and(|at| now < *at);
            if is_delayed || self.outstanding.contains_key(member) {
                continue;
            }
            let partitions = self.due_partitions(member);
            if partitions.is_empty() {
                continue;
            }
            self.outstanding.insert(member.clone(), sequence);
            requests.push(FenceRequest {
                to: member.clone(),
                partitions,
            });
        }
        requests
    }

    fn due_partitions(&self, member: &InstanceId) -> Vec<Partition> {
        let acked = self.acked.get(member);
        let is_due = |partition: &Partition, due: u64| {
            let answered = acked.and_then(|acked| acked.get(partition));
            answered.is_none_or(|sequence| *sequence < due)
        };
        self.due
            .iter()
            .filter(|(partition, due)| is_due(partition, **due))
            .map(|(partition, _)| *partition)
            .collect()
    }

    pub(crate) fn fence_failed(&mut self, from: &InstanceId, now: time::Instant) {
        if self.outstanding.swap_remove(from).is_some() {
            self.retry_at.insert(from.clone(), now + RETRY_DELAY);
        }
    }

    /// Records an answer; returns whether a fence was outstanding.
    pub(crate) fn fence_acked(
        &mut self,
        from: &InstanceId,
        partitions: &[Partition],
        workers: &[WorkerId],
        held_elsewhere: Vec<(WorkerId, InstanceId)>,
    ) -> bool {
        let Some(sequence) = self.outstanding.swap_remove(from) else {
            return false;
        };
        self.retry_at.swap_remove(from);
        self.held_elsewhere.insert(from.clone(), held_elsewhere);
        let acked = self.acked.entry(from.clone()).or_default();
        for partition in partitions {
            acked.insert(*partition, sequence);
            let covered = self.covered.entry(*partition).or_default();
            for worker in workers {
                covered.insert(worker.clone(), sequence);
            }
        }
        true
    }

    /// Returns whether every live member answered a fence sent at sequence `since_sequence` or
    /// later.
    pub(crate) fn all_acked<'a>(
        &self,
        partition: Partition,
        since_sequence: u64,
        mut live: impl Iterator<Item = &'a InstanceId>,
    ) -> bool {
        live.all(|member| {
            let acked = self.acked.get(member);
            let sequence = acked.and_then(|acked| acked.get(&partition));
            sequence.is_some_and(|sequence| *sequence >= since_sequence)
        })
    }

    /// Returns whether `worker` was listed as held in the answer to a fence sent at
    /// `since_sequence` or later.
    pub(crate) fn is_covered(
        &self,
        partition: Partition,
        worker: &WorkerId,
        since_sequence: u64,
    ) -> bool {
        let covered = self.covered.get(&partition);
        let sequence = covered.and_then(|covered| covered.get(worker));
        sequence.is_some_and(|sequence| *sequence >= since_sequence)
    }

    /// Returns the workers that name a lease holder that is not a live member.
    pub(crate) fn workers_of_nonlive_holders(
        &self,
        is_live: impl Fn(&InstanceId) -> bool,
    ) -> IndexSet<WorkerId> {
        self.held_elsewhere
            .values()
            .flatten()
            .filter(|(_, holder)| !is_live(holder))
            .map(|(worker, _)| worker.clone())
            .collect()
    }
}
