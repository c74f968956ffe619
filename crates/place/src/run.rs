//! A run as its holder keeps account of it.

use std::time;

/// Whether the run was handed to its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Its room is kept until then.
    Reserved {
        /// When the room is given up.
        expires_at: time::Instant,
    },
    /// It runs, or is on its way to the worker.
    Committed,
}

/// Limit on the processors of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Throttle {
    /// Share that it keeps.
    pub(crate) percent: u8,
    /// Processors that were set aside before.
    pub(crate) processors_milli: u32,
}

/// One run and what is reserved for it.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) worker: usize,
    pub(crate) task: model::Task,
    pub(crate) stage: Stage,
    pub(crate) reserved: model::Demand,
    /// Whether it counts as short: predicted so, and not running for too long.
    pub(crate) short: bool,
    pub(crate) started_at: time::Instant,
    /// Usage reports in a row above what is reserved.
    pub(crate) overruns: u32,
    pub(crate) throttle: Option<Throttle>,
    /// When it was told to checkpoint or stop.
    pub(crate) end_requested_at: Option<time::Instant>,
}

impl Run {
    pub(crate) fn is_committed(&self) -> bool {
        self.stage == Stage::Committed
    }

    /// Returns whether it may be ended for others and continued later.
    pub(crate) fn can_checkpoint(&self) -> bool {
        self.task.spec.class == model::Class::Batch && self.task.spec.repeatable
    }
}
