//! The holder's record of a run.

use std::time;

/// Whether the run is only reserved or was handed to its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Its slot and resources are reserved until `expires_at`.
    Reserved {
        /// When the reservation expires.
        expires_at: time::Instant,
    },
    /// It runs or is being sent to the worker.
    Committed,
}

/// Limit on the processors of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Throttle {
    /// Share of its processors that the run may use, in percent.
    pub(crate) percent: u8,
    /// Processors that were reserved before the limit.
    pub(crate) processors_milli: u32,
}

/// A run and what is reserved for it.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) worker: usize,
    pub(crate) task: model::Task,
    pub(crate) stage: Stage,
    pub(crate) reserved: model::Demand,
    /// Whether it counts as short: predicted to be short and not yet demoted for its run time.
    pub(crate) short: bool,
    pub(crate) started_at: time::Instant,
    /// Consecutive usage reports above the reserved processors.
    pub(crate) overruns: u32,
    pub(crate) throttle: Option<Throttle>,
    /// When a checkpoint or stop was requested.
    pub(crate) end_requested_at: Option<time::Instant>,
}

impl Run {
    pub(crate) fn is_committed(&self) -> bool {
        self.stage == Stage::Committed
    }

    /// Returns whether it may be preempted and resumed later.
    pub(crate) fn can_checkpoint(&self) -> bool {
        self.task.spec.class == model::Class::Batch && self.task.spec.repeatable
    }
}
