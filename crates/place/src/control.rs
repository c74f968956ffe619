//! Orders to workers about running tasks.

/// An order about one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Control {
    /// Limits the run's processors.
    Throttle {
        /// Which run.
        run: model::TaskAttempt,
        /// Its worker.
        worker_id: model::WorkerId,
        /// Share of its processors that it keeps, from 1 to 100.
        percent: u8,
    },
    /// Saves the run's state and ends it, to be continued later.
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
