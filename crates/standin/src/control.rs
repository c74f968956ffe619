//! Faults and counts over HTTP.

use std::net;
use std::sync;

use indexmap::IndexMap;

use crate::answer;
use crate::directory;
use crate::error;
use crate::faults;
use crate::fleet;
use crate::relay;
use crate::store;
use crate::worker;

/// Every part that runs in this process.
#[derive(Debug, Default)]
pub struct Platform {
    /// The key-value service.
    pub store: Option<store::StoreServer>,
    /// The instance list.
    pub directory: Option<directory::DirectoryServer>,
    /// The workers.
    pub fleet: Option<fleet::WorkerFleet>,
    /// The relays by name.
    pub relays: IndexMap<String, relay::Relay>,
}

/// Body of `POST /faults`; faults that are left out are cleared.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultCommand {
    /// Sets the faults of the key-value service.
    Store(faults::StoreFaults),
    /// Sets the faults of every worker.
    Workers(faults::WorkerFaults),
    /// Sets the faults of one worker.
    Worker {
        /// Which.
        worker_id: model::WorkerId,
        /// Its faults.
        faults: faults::WorkerFaults,
    },
    /// Restarts a worker.
    RestartWorker {
        /// Which.
        worker_id: model::WorkerId,
    },
    /// Sets whether a worker says that it wants no new work.
    WorkerLeaving {
        /// Which.
        worker_id: model::WorkerId,
        /// Whether it wants none.
        leaving: bool,
    },
    /// Sets the faults of the instance list.
    Directory(faults::DirectoryFaults),
    /// Adds or replaces an entry of the instance list.
    PutMachine(model::DirectoryEntry),
    /// Removes an entry of the instance list.
    RemoveMachine {
        /// Which.
        id: model::WorkerId,
    },
    /// Sets the state of an entry of the instance list.
    MachineState {
        /// Which.
        id: model::WorkerId,
        /// Its state.
        state: model::EntryState,
    },
    /// Sets the faults of a relay.
    Relay {
        /// Which.
        name: String,
        /// Its faults.
        faults: faults::RelayFaults,
    },
}

/// Body of the answer to `GET /counts`.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PlatformCounts {
    /// Calls to the key-value service.
    pub store: Option<store::StoreCounts>,
    /// Sums over the workers.
    pub workers: Option<worker::WorkerCounts>,
    /// Traffic of each relay by name.
    pub relays: IndexMap<String, relay::RelayTraffic>,
}

impl Platform {
    /// Carries out a command; when it returns the faults are in force.
    ///
    /// # Errors
    ///
    /// Fails if the command names a part that does not run here.
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

    /// Returns what every part has counted.
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

    /// Closes every connection and joins every task.
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
            .ok_or_else(|| unknown("no store runs here"))
    }

    fn directory(&self) -> Result<&directory::DirectoryServer, error::Error> {
        self.directory
            .as_ref()
            .ok_or_else(|| unknown("no instance list runs here"))
    }

    fn fleet(&self) -> Result<&fleet::WorkerFleet, error::Error> {
        self.fleet
            .as_ref()
            .ok_or_else(|| unknown("no workers run here"))
    }

    fn worker(&self, worker_id: &str) -> Result<&worker::WorkerServer, error::Error> {
        let worker = self.fleet()?.worker(worker_id);
        worker.ok_or_else(|| unknown(format!("worker {worker_id}")))
    }

    fn relay(&self, name: &str) -> Result<&relay::Relay, error::Error> {
        self.relays
            .get(name)
            .ok_or_else(|| unknown(format!("relay {name}")))
    }
}

fn unknown(context: impl Into<String>) -> error::Error {
    error::Error::new(error::ErrorKind::UnknownTarget, context)
}

/// Serves `POST /faults`, `GET /counts`, `GET /executions` and `GET /executions/summary`.
#[derive(Debug)]
pub struct ControlServer {
    service: sync::Arc<ControlService>,
    http: answer::HttpServer,
}

impl ControlServer {
    /// Starts to serve `platform` on `address`; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub async fn start(platform: Platform, address: net::SocketAddr) -> Result<Self, error::Error> {
        let service = sync::Arc::new(ControlService { platform });
        let http = answer::HttpServer::start(address, sync::Arc::clone(&service))?;
        Ok(Self { service, http })
    }

    /// Returns the address, with the real port.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.http.address()
    }

    /// Returns the parts.
    #[must_use]
    pub fn platform(&self) -> &Platform {
        &self.service.platform
    }

    /// Closes every connection of every part and joins every task.
    pub async fn shutdown(self) {
        self.http.shutdown().await;
        // Every task that shared the service has been joined, so it is the only one left.
        if let Some(service) = sync::Arc::into_inner(self.service) {
            service.platform.shutdown().await;
        }
    }
}

#[derive(Debug)]
struct ControlService {
    platform: Platform,
}

impl answer::Service for ControlService {
    fn reachability(&self) -> faults::Reachability {
        faults::Reachability::Up
    }

    fn admit(&self) -> Option<answer::Admission> {
        Some(answer::Admission::unlimited())
    }

    fn outlives_connection(&self, _path: &str) -> bool {
        true
    }

    async fn answer(&self, call: answer::Call) -> answer::Answer {
        let answered = match call.path.as_str() {
            "/faults" => self.apply(&call).await,
            "/counts" => Ok(answer::Answer::json(&self.platform.counts())),
            "/executions" => self
                .fleet()
                .map(|fleet| answer::Answer::json(&fleet.executions())),
            "/executions/summary" => self
                .fleet()
                .map(|fleet| answer::Answer::json(&fleet.summary())),
            path => Err(answer::Answer::not_found(path)),
        };
        answered.unwrap_or_else(|refusal| refusal)
    }
}

impl ControlService {
    fn fleet(&self) -> Result<&fleet::WorkerFleet, answer::Answer> {
        self.platform.fleet().map_err(refused)
    }

    async fn apply(&self, call: &answer::Call) -> Result<answer::Answer, answer::Answer> {
        let command: FaultCommand = call.parse()?;
        log::info!("fault: {command:?}");
        self.platform.apply(command).await.map_err(refused)?;
        Ok(answer::Answer::empty())
    }
}

fn refused(failed: error::Error) -> answer::Answer {
    answer::Answer::bad_request(failed.to_string())
}
