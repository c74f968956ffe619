//! The HTTP interface to inject faults and read counters.

use std::net;
use std::sync;

use indexmap::IndexMap;

use crate::directory;
use crate::error;
use crate::faults;
use crate::fleet;
use crate::http_server;
use crate::relay;
use crate::store;
use crate::worker;

/// The components that run in this process.
#[derive(Debug, Default)]
pub struct Platform {
    /// The key-value store.
    pub store: Option<store::StoreServer>,
    /// The directory.
    pub directory: Option<directory::DirectoryServer>,
    /// The workers.
    pub fleet: Option<fleet::WorkerFleet>,
    /// The relays by name.
    pub relays: IndexMap<String, relay::Relay>,
}

/// Body of `POST /faults`. Fields that are left out of a set of faults are reset to no fault.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultCommand {
    /// Sets the faults of the key-value store.
    Store(faults::StoreFaults),
    /// Sets the faults of every worker.
    Workers(faults::WorkerFaults),
    /// Sets the faults of one worker.
    Worker {
        /// Id of the worker.
        worker_id: model::WorkerId,
        /// Faults to set.
        faults: faults::WorkerFaults,
    },
    /// Restarts a worker.
    RestartWorker {
        /// Id of the worker.
        worker_id: model::WorkerId,
    },
    /// Sets whether a worker is leaving, reports so and accepts no new work.
    WorkerLeaving {
        /// Id of the worker.
        worker_id: model::WorkerId,
        /// Whether the worker is leaving.
        leaving: bool,
    },
    /// Sets the faults of the directory.
    Directory(faults::DirectoryFaults),
    /// Adds a directory entry, or replaces the one with the same id.
    PutMachine(model::DirectoryEntry),
    /// Removes a directory entry.
    RemoveMachine {
        /// Id of the entry.
        id: model::WorkerId,
    },
    /// Sets the state of a directory entry.
    MachineState {
        /// Id of the entry.
        id: model::WorkerId,
        /// State to set.
        state: model::EntryState,
    },
    /// Sets the faults of a relay.
    Relay {
        /// Name of the relay.
        name: String,
        /// Faults to set.
        faults: faults::RelayFaults,
    },
}

/// Body of the response to `GET /counts`.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PlatformCounts {
    /// Requests to the key-value store.
    pub store: Option<store::StoreCounts>,
    /// Counters summed over the workers.
    pub workers: Option<worker::WorkerCounts>,
    /// Traffic of each relay by name.
    pub relays: IndexMap<String, relay::RelayTraffic>,
}

impl Platform {
    /// Applies a command; its faults are active once this returns.
    ///
    /// # Errors
    ///
    /// Fails if the command names a component that does not run in this process.
    pub async fn apply(&self, command: FaultCommand) -> Result<(), error::Error> {
        match command {
            FaultCommand::Store(faults) => self.store()?.set_faults(faults).await,
            FaultCommand::Workers(faults) => self.fleet()?.set_faults(faults).await,
            FaultCommand::Worker { worker_id, faults } => {
                self.worker(&worker_id)?.set_faults(faults).await;
            }
            FaultCommand::RestartWorker { worker_id } => self.worker(&worker_id)?.restart().await,
            FaultCommand::WorkerLeaving { worker_id, leaving } => {
                self.worker(&worker_id)?.set_leaving(leaving);
            }
            FaultCommand::Directory(faults) => self.directory()?.set_faults(faults).await,
            FaultCommand::PutMachine(entry) => self.directory()?.put(entry),
            FaultCommand::RemoveMachine { id } => self.directory()?.remove(&id),
            FaultCommand::MachineState { id, state } => self.directory()?.set_state(&id, state),
            FaultCommand::Relay { name, faults } => self.relay(&name)?.set_faults(faults).await,
        }
        Ok(())
    }

    /// Returns the counters of all components.
    #[must_use]
    pub fn counts(&self) -> PlatformCounts {
        let relays = self
            .relays
            .iter()
            .map(|(name, relay)| (name.clone(), relay.traffic()));
        PlatformCounts {
            store: self.store.as_ref().map(store::StoreServer::counts),
            workers: self.fleet.as_ref().map(fleet::WorkerFleet::counts),
            relays: relays.collect(),
        }
    }

    /// Closes all connections and joins all tasks.
    pub async fn shutdown(self) {
        for (_, relay) in self.relays {
            relay.shutdown().await;
        }
        if let Some(fleet) = self.fleet {
            fleet.shutdown().await;
        }
        if let Some(directory) = self.directory {
            directory.shutdown().await;
        }
        if let Some(store) = self.store {
            store.shutdown().await;
        }
    }

    fn store(&self) -> Result<&store::StoreServer, error::Error> {
        self.store
            .as_ref()
            .ok_or_else(|| unknown_target("no store runs here"))
    }

    fn directory(&self) -> Result<&directory::DirectoryServer, error::Error> {
        self.directory
            .as_ref()
            .ok_or_else(|| unknown_target("no instance list runs here"))
    }

    fn fleet(&self) -> Result<&fleet::WorkerFleet, error::Error> {
        self.fleet
            .as_ref()
            .ok_or_else(|| unknown_target("no workers run here"))
    }

    fn worker(&self, worker_id: &str) -> Result<&worker::WorkerServer, error::Error> {
        let worker = self.fleet()?.worker(worker_id);
        worker.ok_or_else(|| unknown_target(format!("worker {worker_id}")))
    }

    fn relay(&self, name: &str) -> Result<&relay::Relay, error::Error> {
        self.relays
            .get(name)
            .ok_or_else(|| unknown_target(format!("relay {name}")))
    }
}

fn unknown_target(context: impl Into<String>) -> error::Error {
    error::Error::new(error::ErrorKind::UnknownTarget, context)
}

/// Serves `POST /faults`, `GET /counts`, `GET /executions` and `GET /executions/summary`.
#[derive(Debug)]
pub struct ControlServer {
    service: sync::Arc<ControlService>,
    http: http_server::HttpServer,
}

impl ControlServer {
    /// Serves the control interface of `platform` on `address`; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(platform: Platform, address: net::SocketAddr) -> Result<Self, error::Error> {
        let service = sync::Arc::new(ControlService { platform });
        let http = http_server::HttpServer::start(address, sync::Arc::clone(&service))?;
        Ok(Self { service, http })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.http.address()
    }

    /// Returns the controlled components.
    #[must_use]
    pub fn platform(&self) -> &Platform {
        &self.service.platform
    }

    /// Shuts down the control interface and all components: closes all connections and joins all
    /// tasks.
    pub async fn shutdown(self) {
        self.http.shutdown().await;
        // All tasks that shared the service have been joined, so this is the last reference.
        if let Some(service) = sync::Arc::into_inner(self.service) {
            service.platform.shutdown().await;
        }
    }
}

#[derive(Debug)]
struct ControlService {
    platform: Platform,
}

impl http_server::Service for ControlService {
    fn reachability(&self) -> faults::Reachability {
        faults::Reachability::Up
    }

    fn admit_connection(&self) -> Option<http_server::ConnectionPermit> {
        Some(http_server::ConnectionPermit::unlimited())
    }

    fn outlives_connection(&self, _path: &str) -> bool {
        true
    }

    async fn handle(&self, request: http_server::Request) -> http_server::Response {
        let result = match request.path.as_str() {
            "/faults" => self.apply(&request).await,
            "/counts" => Ok(http_server::Response::json(&self.platform.counts())),
            "/executions" => self
                .fleet()
                .map(|fleet| http_server::Response::json(&fleet.executions())),
            "/executions/summary" => self
                .fleet()
                .map(|fleet| http_server::Response::json(&fleet.summary())),
            path => Err(http_server::Response::not_found(path)),
        };
        result.unwrap_or_else(|response| response)
    }
}

impl ControlService {
    fn fleet(&self) -> Result<&fleet::WorkerFleet, http_server::Response> {
        self.platform.fleet().map_err(error_response)
    }

    async fn apply(
        &self,
        request: &http_server::Request,
    ) -> Result<http_server::Response, http_server::Response> {
        let command: FaultCommand = request.parse()?;
        log::info!("applying fault command: {command:?}");
        self.platform.apply(command).await.map_err(error_response)?;
        Ok(http_server::Response::empty())
    }
}

fn error_response(failure: error::Error) -> http_server::Response {
    http_server::Response::bad_request(failure.to_string())
}
