//! Chooses the worker that runs a task.

use std::time;

use crate::control;
use crate::fleet_settings;

/// A task to place, or some members of a gang.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The task.
    pub task: &'a model::Task,
    /// Attempt of every member.
    pub attempt: model::Attempt,
    /// Members to place.
    pub members: &'a [u16],
    /// Resources to set aside for each member.
    pub reserve: model::Demand,
    /// Predicted run time.
    pub expected_run: time::Duration,
    /// Whether the task is predicted to be short.
    pub short: bool,
    /// Whether the members are only reserved until a second request commits them.
    pub reserve_only: bool,
}

/// Says that the fleet cannot take a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

/// How a run ended.
#[derive(Clone, Copy, Debug)]
pub struct Finished {
    /// Whether the work reported success.
    pub succeeded: bool,
    /// Whether the failure is the worker's own.
    pub worker_fault: bool,
    /// Run time.
    pub run: time::Duration,
    /// Largest use that was seen.
    pub peak: model::Demand,
}

/// The workers of one holder.
#[derive(Debug)]
pub struct Fleet {
    settings: fleet_settings::FleetSettings,
}

impl Fleet {
    /// Returns a fleet without workers.
    #[must_use]
    pub fn new(settings: fleet_settings::FleetSettings) -> Self {
        Self { settings }
    }

    /// Adds a worker with the runs it already has.
    pub fn add_worker(
        &mut self,
        _worker_id: model::WorkerId,
        _location: model::Location,
        _capacity: model::WorkerCapacity,
        _leaving: bool,
        _running: &[model::RunningRun],
        _now: time::Instant,
    ) {
    }

    /// Removes a worker and returns the runs it had.
    pub fn remove_worker(&mut self, _worker_id: &model::WorkerId) -> Vec<model::TaskAttempt> {
        Vec::new()
    }

    /// Sets whether a worker takes no new work.
    pub fn set_leaving(&mut self, _worker_id: &model::WorkerId, _leaving: bool) {}

    /// Chooses a worker for every member, or for none.
    ///
    /// # Errors
    ///
    /// Returns [`NoRoom`] if not every member fits.
    pub fn place(
        &mut self,
        _request: &Request<'_>,
        _now: time::Instant,
    ) -> Result<Vec<(u16, model::WorkerId)>, NoRoom> {
        Err(NoRoom)
    }

    /// Frees what a run holds, without learning from it.
    pub fn release(&mut self, _run: model::TaskAttempt) {}

    /// Frees what a run held and learns from its end.
    pub fn finished(&mut self, _run: model::TaskAttempt, _report: &Finished, _now: time::Instant) {}

    /// Takes in a usage report.
    pub fn usage(
        &mut self,
        _usage: &[model::RunUsage],
        _now: time::Instant,
    ) -> Vec<control::Control> {
        Vec::new()
    }

    /// Does what is due, given the number of short tasks that wait for this fleet.
    pub fn tick(&mut self, _short_waiting: u32, _now: time::Instant) -> Vec<control::Control> {
        Vec::new()
    }

    /// Returns what to advertise.
    #[must_use]
    pub fn summary(&self) -> model::CapacitySummary {
        model::CapacitySummary::default()
    }

    /// Returns the worker of a run.
    #[must_use]
    pub fn worker_of(&self, _run: &model::TaskAttempt) -> Option<&model::WorkerId> {
        None
    }

    /// Returns the runs on a worker.
    #[must_use]
    pub fn runs_on(&self, _worker_id: &model::WorkerId) -> Vec<model::TaskAttempt> {
        Vec::new()
    }

    /// Returns the number of runs.
    #[must_use]
    pub fn running(&self) -> usize {
        0
    }

    /// Returns the number of racks with a worker.
    #[must_use]
    pub fn racks(&self) -> u32 {
        let _ = &self.settings;
        0
    }
}
