//! Commands to workers about running tasks.

/// A command about one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunCommand {
    /// Limits the processors that the run may use.
    Throttle {
        /// Which run.
        run: model::TaskAttempt,
        /// Its worker.
        worker_id: model::WorkerId,
        /// Share of its processors that the run may use, in percent from 1 to 100.
        percent: u8,
    },
    /// Saves the state of the run and ends it, so that a later attempt resumes from there.
    Checkpoint {
        /// Which run.
        run: model::TaskAttempt,
        /// Its worker.
        worker_id: model::WorkerId,
    },
    /// Ends the run.
    Stop {
        /// Which run.
        run: model::TaskAttempt,
        /// Its worker.
        worker_id: model::WorkerId,
    },
}
