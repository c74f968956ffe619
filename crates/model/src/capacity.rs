//! Resources that tasks demand and workers provide.

use serde::Deserialize;
use serde::Serialize;

/// Resources of one member of a task, besides the slot that every member occupies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Demand {
    /// Processor time in thousandths of a core.
    pub processors_milli: u32,
    /// Memory in MiB.
    pub memory_mb: u32,
    /// Whole accelerators.
    pub accelerators: u32,
}

impl Demand {
    /// Returns whether every resource of `self` is at most that of `other`.
    #[must_use]
    pub fn fits_in(&self, other: &Self) -> bool {
        self.processors_milli <= other.processors_milli
            && self.memory_mb <= other.memory_mb
            && self.accelerators <= other.accelerators
    }

    /// Returns the sum of both, saturating.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            processors_milli: self.processors_milli.saturating_add(other.processors_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns `self` minus `other`, saturating at zero for each resource.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            processors_milli: self.processors_milli.saturating_sub(other.processors_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns `self` multiplied by `count`, saturating.
    #[must_use]
    pub fn times(&self, count: u32) -> Self {
        Self {
            processors_milli: self.processors_milli.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Returns the larger amount of each resource.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        Self {
            processors_milli: self.processors_milli.max(other.processors_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }
}

/// Total capacity of one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCapacity {
    /// Processors, memory and accelerators.
    pub resources: Demand,
    /// Number of members that may run at the same time.
    pub slots: u32,
    /// Number of open connections that the worker accepts, from all callers together.
    pub connections: u32,
}

/// Capacity of the workers held by an instance, as it advertises it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacitySummary {
    /// Workers held.
    pub workers: u32,
    /// Slots free for any task.
    pub free_slots: u32,
    /// Slots free for short tasks only, in addition to `free_slots`.
    pub free_short_slots: u32,
    /// Free resources over all held workers.
    pub free: Demand,
    /// Largest free amount of each resource on one worker with a free slot.
    pub largest_free: Demand,
    /// Largest capacity of each resource on one held worker, busy or not.
    pub largest_worker: Demand,
    /// Slots over all held workers, busy or not.
    pub slots: u32,
    /// Tasks queued at the instance as their owner.
    pub queued: u32,
}
