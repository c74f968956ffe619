//! Capacity check and counters of a worker.

/// Counters of a worker since it was created; restarts do not reset them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct WorkerCounts {
    /// Runs started.
    pub started: u64,
    /// Starts of a run that the worker already knew.
    pub started_again: u64,
    /// Runs that ended with a result, including checkpoints.
    pub finished: u64,
    /// Starts refused because capacity was exceeded, which means that the holder miscounted.
    pub refused_full: u64,
    /// Orders and renewals refused because their epoch was stale or the lease had lapsed.
    pub refused_stale_epoch: u64,
    /// Starts refused because they named another incarnation.
    pub refused_wrong_incarnation: u64,
    /// Starts refused because of a tombstone.
    pub refused_tombstoned: u64,
    /// Runs stopped by the worker because the lease had lapsed and the grace time had passed.
    pub stopped_after_grace: u64,
    /// Starts after which more was reserved than the worker's capacity; always 0 unless the worker
    /// has a bug.
    pub overcommits: u64,
    /// Starts after which the actual memory use of the runs exceeded the worker's memory.
    pub memory_overruns: u64,
    /// Highest number of connections open at the same time.
    pub most_connections: u32,
    /// Connections closed immediately because too many were open.
    pub refused_connections: u64,
}

impl WorkerCounts {
    /// Returns the sum of each counter, but the maximum of `most_connections`.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            started: self.started + other.started,
            started_again: self.started_again + other.started_again,
            finished: self.finished + other.finished,
            refused_full: self.refused_full + other.refused_full,
            refused_stale_epoch: self.refused_stale_epoch + other.refused_stale_epoch,
            refused_wrong_incarnation: self.refused_wrong_incarnation
                + other.refused_wrong_incarnation,
            refused_tombstoned: self.refused_tombstoned + other.refused_tombstoned,
            stopped_after_grace: self.stopped_after_grace + other.stopped_after_grace,
            overcommits: self.overcommits + other.overcommits,
            memory_overruns: self.memory_overruns + other.memory_overruns,
            most_connections: self.most_connections.max(other.most_connections),
            refused_connections: self.refused_connections + other.refused_connections,
        }
    }
}

/// Returns whether runs that reserve `reserved` in `slots` slots fit in `capacity`.
pub(super) fn fits_in_capacity(
    capacity: &model::WorkerCapacity,
    reserved: &model::Demand,
    slots: usize,
) -> bool {
    reserved.fits_in(&capacity.resources) && slots <= capacity.slots as usize
}
