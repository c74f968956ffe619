//! A worker and the runs on it.

use std::time;

use crate::fit_tree;
use crate::health;

/// A group of workers that share a capacity index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Group {
    /// Without accelerators.
    Plain,
    /// With accelerators.
    Accelerated,
    /// On probation.
    Probation,
}

/// A worker and the resources reserved on it.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) worker_id: model::WorkerId,
    pub(crate) location: model::Location,
    pub(crate) capacity: model::WorkerCapacity,
    pub(crate) leaving: bool,
    /// Sum of the reservations of `runs`; exceeds the capacity only if adopted runs did.
    pub(crate) reserved: model::Demand,
    /// Every run occupies one slot.
    pub(crate) runs: indexmap::IndexSet<model::TaskAttempt>,
    pub(crate) health: health::Health,
    /// Group whose tree holds the worker.
    pub(crate) group: Group,
    /// Capacity for new runs, as last entered in the tree and the totals.
    pub(crate) usable: fit_tree::FreeCapacity,
    /// Number of typical short tasks that fit in `usable`.
    pub(crate) short_task_capacity: u32,
}

impl Worker {
    pub(crate) fn new(
        worker_id: model::WorkerId,
        location: model::Location,
        capacity: model::WorkerCapacity,
        leaving: bool,
    ) -> Self {
        Self {
            worker_id,
            location,
            capacity,
            leaving,
            reserved: model::Demand::default(),
            runs: indexmap::IndexSet::new(),
            health: health::Health::new(),
            group: Group::Plain,
            usable: fit_tree::FreeCapacity::default(),
            short_task_capacity: 0,
        }
    }

    /// Returns what is not reserved, even if new runs may not use it.
    pub(crate) fn free(&self) -> fit_tree::FreeCapacity {
        let runs = u32::try_from(self.runs.len()).unwrap_or(u32::MAX);
        fit_tree::FreeCapacity {
            slots: self.capacity.slots.saturating_sub(runs),
            resources: self.capacity.resources.minus(&self.reserved),
        }
    }

    /// Returns the group that the worker belongs to at `now` and the capacity that new runs may use.
    pub(crate) fn group_and_usable(&self, now: time::Instant) -> (Group, fit_tree::FreeCapacity) {
        let mut usable = self.free();
        if self.leaving {
            usable.slots = 0;
        }
        if let Some(limit) = self.health.probation_limit(now) {
            let running = u32::try_from(self.runs.len()).unwrap_or(u32::MAX);
            usable.slots = usable.slots.min(limit.saturating_sub(running));
            return (Group::Probation, usable);
        }
        if self.capacity.resources.accelerators > 0 {
            (Group::Accelerated, usable)
        } else {
            (Group::Plain, usable)
        }
    }
}

/// Returns how many tasks of `demand` fit in `usable`; accelerators are not considered.
pub(crate) fn tasks_that_fit(usable: &fit_tree::FreeCapacity, demand: &model::Demand) -> u32 {
    let quotient = |free: u32, each: u32| free.checked_div(each).unwrap_or(u32::MAX);
    usable
        .slots
        .min(quotient(
            usable.resources.processors_milli,
            demand.processors_milli,
        ))
        .min(quotient(usable.resources.memory_mb, demand.memory_mb))
}
