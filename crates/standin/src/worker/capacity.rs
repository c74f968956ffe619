//! Room on a worker and counters of what it did.

/// What a worker has counted since it was created, over its restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct WorkerCounts {
    /// Runs that were started.
    pub started: u64,
    /// Starts of a run that was known already.
    pub started_again: u64,
    /// Runs that reached their end.
    pub finished: u64,
    /// Starts refused for want of room: the holder counted wrongly.
    pub refused_full: u64,
    /// Orders refused for their epoch, or a lapsed lease.
    pub refused_stale_epoch: u64,
    /// Starts refused for their incarnation.
    pub refused_wrong_incarnation: u64,
    /// Starts refused by a tombstone.
    pub refused_tombstoned: u64,
    /// Runs stopped by the worker because their lease had lapsed for the grace time.
    pub stopped_after_grace: u64,
    /// Times that more was set aside than the worker has; always 0 unless the worker is wrong.
    pub overcommits: u64,
    /// Starts after which the runs used more memory in truth than the worker has.
    pub memory_overruns: u64,
    /// Connections closed at once because there were too many.
    pub refused_connections: u64,
}

impl WorkerCounts {
    /// Returns the sum of both.
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
            refused_connections: self.refused_connections + other.refused_connections,
        }
    }
}

/// Returns whether runs that take `taken` in `slots` slots fit in `capacity`.
pub(super) fn has_room(
    capacity: &model::WorkerCapacity,
    taken: &model::Demand,
    slots: usize,
) -> bool {
    taken.fits_in(&capacity.resources) && slots <= capacity.slots as usize
}
