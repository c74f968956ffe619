//! The partition table as known here, and the assignment of partitions to instances.

use std::time;

use indexmap::IndexMap;
use model::Generation;
use model::InstanceId;
use model::PARTITIONS;
use model::Partition;
use model::PartitionTable;
use model::Revision;
use model::Tenure;
use sha2::Digest as _;

/// Distance between the generations of claims. Delegations use those in between, so that a claim
/// and a delegation of the same partition never have the same generation.
const CLAIM_GENERATION_STEP: Generation = 1 << 16;

/// Delay before a failed read or write of the table is retried.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(200);

/// Interval at which the table is reread.
const REFRESH_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Returns the generation of the next claim after `generation`.
pub(crate) fn next_claim_generation(generation: Generation) -> Generation {
    (generation / CLAIM_GENERATION_STEP + 1) * CLAIM_GENERATION_STEP
}

/// Returns whether `generation` is that of the first claim of a partition.
pub(crate) fn is_first_claim(generation: Generation) -> bool {
    generation == CLAIM_GENERATION_STEP
}

/// The table as stored, with newer tenures that the store does not have yet.
#[derive(Debug)]
pub(crate) struct TableView {
    stored: PartitionTable,
    revision: Revision,
    /// Tenures of higher generations than the stored ones: delegations that are not stored yet, and
    /// tenures learned from fences and from peers' tables.
    newer: IndexMap<Partition, Tenure>,
    /// `stored` overlaid with `newer`.
    effective: PartitionTable,
    has_been_read: bool,
    is_reading: bool,
    next_read_at: time::Instant,
    pending_write: Option<PartitionTable>,
    next_write_at: time::Instant,
}

impl TableView {
    pub(crate) fn new(now: time::Instant) -> Self {
        Self {
            stored: PartitionTable::default(),
            revision: 0,
            newer: IndexMap::new(),
            effective: PartitionTable::default(),
            has_been_read: false,
            is_reading: false,
            next_read_at: now,
            pending_write: None,
            next_write_at: now,
        }
    }

    pub(crate) fn effective(&self) -> &PartitionTable {
        &self.effective
    }

    pub(crate) fn stored(&self) -> &PartitionTable {
        &self.stored
    }

    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    pub(crate) fn generation(&self, partition: Partition) -> Generation {
        self.effective
            .tenure(partition)
            .map_or(0, |tenure| tenure.generation)
    }

    /// Returns whether the table has been read, no read or write is outstanding, and the delay
    /// after a failed write has passed.
    pub(crate) fn may_write(&self, now: time::Instant) -> bool {
        self.has_been_read
            && self.pending_write.is_none()
            && !self.is_reading
            && now >= self.next_write_at
    }

    pub(crate) fn begin_write(&mut self, table: PartitionTable) {
        self.pending_write = Some(table);
    }

    /// Completes a write that took effect.
    pub(crate) fn write_succeeded(&mut self, revision: Revision) {
        if let Some(table) = self
            .pending_write
            .take()
            .filter(|_| revision > self.revision)
        {
            self.replace_stored(table, revision);
        }
    }

    /// Completes a write that did not take effect, or may not have; the next one is delayed.
    pub(crate) fn write_failed(&mut self, now: time::Instant) {
        self.pending_write = None;
        self.next_write_at = now + RETRY_DELAY;
    }

    /// Makes a read of the table due now.
    pub(crate) fn request_read(&mut self, now: time::Instant) {
        self.next_read_at = now;
    }

    /// Returns whether a read of the table is due, and marks it as outstanding if so.
    pub(crate) fn begin_due_read(&mut self, now: time::Instant) -> bool {
        let due = !self.is_reading && self.pending_write.is_none() && now >= self.next_read_at;
        self.is_reading |= due;
        due
    }

    pub(crate) fn apply_read(
        &mut self,
        table: PartitionTable,
        revision: Revision,
        now: time::Instant,
    ) {
        self.is_reading = false;
        self.next_read_at = now + REFRESH_INTERVAL;
        self.next_write_at = now;
        self.has_been_read = true;
        if revision > self.revision {
            self.replace_stored(table, revision);
        }
    }

    pub(crate) fn read_failed(&mut self, now: time::Instant) {
        self.is_reading = false;
        self.next_read_at = now + RETRY_DELAY;
    }

    /// Adds a tenure if it is newer than the known one.
    pub(crate) fn add_newer(&mut self, partition: Partition, tenure: Tenure) {
        if tenure.generation > self.generation(partition) {
            self.newer.insert(partition, tenure);
            self.rebuild_effective();
        }
    }

    /// Returns the tenures of higher generations than the stored ones.
    pub(crate) fn newer(&self) -> impl Iterator<Item = (Partition, &Tenure)> {
        self.newer
            .iter()
            .map(|(partition, tenure)| (*partition, tenure))
    }

    /// Returns tenures of `instance_id` that the store does not have yet.
    pub(crate) fn unwritten(&self, instance_id: &InstanceId) -> Vec<(Partition, Tenure)> {
        self.newer
            .iter()
            .filter(|(_, tenure)| tenure.instance_id == *instance_id)
            .map(|(partition, tenure)| (*partition, tenure.clone()))
            .collect()
    }

    fn replace_stored(&mut self, table: PartitionTable, revision: Revision) {
        self.stored = table;
        self.revision = revision;
        self.newer.retain(|partition, tenure| {
            self.stored
                .tenure(*partition)
                .is_none_or(|stored| stored.generation < tenure.generation)
        });
        self.rebuild_effective();
    }

    fn rebuild_effective(&mut self) {
        self.effective = self.stored.clone();
        for (partition, tenure) in &self.newer {
            if let Some(entry) = self.effective.tenures.get_mut(usize::from(*partition)) {
                *entry = tenure.clone();
            }
        }
    }
}

/// Assigns every partition for which `is_orphan` returns true to one of `candidates`, by
/// rendezvous hashing among those that own fewer partitions than an even share.
///
/// The same table and candidates give the same result on every instance.
pub(crate) fn assign(
    table: &PartitionTable,
    candidates: &[InstanceId],
    is_orphan: impl Fn(Partition) -> bool,
) -> IndexMap<Partition, InstanceId> {
    let mut loads: IndexMap<&InstanceId, usize> = candidates.iter().map(|id| (id, 0)).collect();
    for partition in (0..PARTITIONS).filter(|partition| !is_orphan(*partition)) {
        let tenure = table.tenure(partition);
        if let Some(load) = tenure.and_then(|tenure| loads.get_mut(&tenure.instance_id)) {
            *load += 1;
        }
    }
    let share = usize::from(PARTITIONS).div_ceil(candidates.len().max(1));
    let mut assigned = IndexMap::new();
    for partition in (0..PARTITIONS).filter(|partition| is_orphan(*partition)) {
        let best = loads
            .iter()
            .max_by_key(|(id, load)| (**load < share, score(partition, id)))
            .map(|(id, _)| *id);
        let Some(winner) = best else {
            break;
        };
        loads[winner] += 1;
        assigned.insert(partition, winner.clone());
    }
    assigned
}

fn score(partition: Partition, instance_id: &InstanceId) -> [u8; 32] {
    let mut hasher = sha2::Sha256::new();
    hasher.update(partition.to_be_bytes());
    hasher.update(instance_id.as_bytes());
    hasher.finalize().into()
}
