//! A fleet of workers in one process.

use std::net;

use crate::error;
use crate::faults;
use crate::worker;

/// Configuration of a fleet. Racks are assigned to the data centres round robin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// Number of workers.
    pub count: usize,
    /// Workers per rack; the last rack may have fewer.
    pub workers_per_rack: usize,
    /// Data centres, at least one, as locations with an empty rack.
    pub data_centres: Vec<model::Location>,
    /// Configuration of each worker; its id and location are replaced.
    pub worker: worker::WorkerConfig,
    /// Address of the first worker; the others use consecutive ports. With port 0 each worker picks
    /// a free port.
    pub first_address: net::SocketAddr,
}

impl FleetConfig {
    fn location(&self, index: usize) -> model::Location {
        let rack = index / self.workers_per_rack.max(1);
        let unset_location = || model::Location {
            region: "".into(),
            data_centre: "".into(),
            rack: "".into(),
        };
        let data_centre = self.data_centres.get(rack % self.data_centres.len().max(1));
        model::Location {
            rack: format!("rack-{:02}", rack + 1).into(),
            ..data_centre.cloned().unwrap_or_else(unset_location)
        }
    }

    fn address(&self, index: usize) -> net::SocketAddr {
        let mut address = self.first_address;
        if address.port() != 0 {
            let offset = u16::try_from(index).unwrap_or(u16::MAX);
            address.set_port(address.port().saturating_add(offset));
        }
        address
    }
}

/// Workers, each with its own listener.
#[derive(Debug)]
pub struct WorkerFleet {
    workers: Vec<worker::WorkerServer>,
}

impl WorkerFleet {
    /// Starts all workers.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound; workers already started are shut down.
    pub async fn start(config: &FleetConfig) -> Result<Self, error::Error> {
        let mut fleet = Self {
            workers: Vec::with_capacity(config.count),
        };
        for index in 0..config.count {
            let worker = worker::WorkerConfig {
                worker_id: format!("worker-{:03}", index + 1).into(),
                location: config.location(index),
                ..config.worker.clone()
            };
            match worker::WorkerServer::start(worker, config.address(index)).await {
                Ok(worker) => fleet.workers.push(worker),
                Err(start_error) => {
                    fleet.shutdown().await;
                    return Err(start_error);
                }
            }
        }
        Ok(fleet)
    }

    /// Returns the workers in order.
    #[must_use]
    pub fn workers(&self) -> &[worker::WorkerServer] {
        &self.workers
    }

    /// Returns the worker with the id `worker_id`.
    #[must_use]
    pub fn worker(&self, worker_id: &str) -> Option<&worker::WorkerServer> {
        self.workers
            .iter()
            .find(|worker| &*worker.config().worker_id == worker_id)
    }

    /// Returns the directory entries of the workers.
    #[must_use]
    pub fn directory_entries(&self) -> Vec<model::DirectoryEntry> {
        self.workers.iter().map(directory_entry).collect()
    }

    /// Replaces the faults of every worker.
    pub async fn set_faults(&self, faults: faults::WorkerFaults) {
        for worker in &self.workers {
            worker.set_faults(faults).await;
        }
    }

    /// Returns all executions of all workers.
    #[must_use]
    pub fn executions(&self) -> Vec<worker::Execution> {
        self.workers
            .iter()
            .flat_map(worker::WorkerServer::executions)
            .collect()
    }

    /// Returns a summary of all executions.
    #[must_use]
    pub fn summary(&self) -> worker::ExecutionSummary {
        worker::ExecutionSummary::of(&self.executions())
    }

    /// Returns the counters summed over the workers.
    #[must_use]
    pub fn counts(&self) -> worker::WorkerCounts {
        let zero = worker::WorkerCounts::default();
        self.workers
            .iter()
            .fold(zero, |sum, worker| sum.plus(&worker.counts()))
    }

    /// Closes all connections and joins all tasks.
    pub async fn shutdown(self) {
        for worker in self.workers {
            worker.shutdown().await;
        }
    }
}

fn directory_entry(worker: &worker::WorkerServer) -> model::DirectoryEntry {
    let config = worker.config();
    model::DirectoryEntry {
        id: config.worker_id,
        role: model::Role::Worker,
        address: worker.address().to_string(),
        location: config.location,
        state: model::EntryState::Live,
    }
}
