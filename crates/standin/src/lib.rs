//! In-memory stand-ins for the services of the platform, for tests: the key-value store, workers,
//! the directory, TCP relays between two addresses, and crowds of clients that misbehave.
//!
//! Each component listens on its own address, supports fault injection and joins its tasks at
//! shutdown. Nothing is written to disk.

mod clock;
mod control;
pub mod crowd;
mod directory;
mod error;
mod faults;
mod fleet;
mod http_server;
mod listener;
mod relay;
mod settings;
mod store;
mod worker;

pub use control::ControlServer;
pub use control::FaultCommand;
pub use control::Platform;
pub use control::PlatformCounts;
pub use directory::DirectoryServer;
pub use error::Error;
pub use error::ErrorKind;
pub use faults::DirectoryFaults;
pub use faults::Reachability;
pub use faults::RelayFaults;
pub use faults::StoreFaults;
pub use faults::WorkerFaults;
pub use fleet::FleetConfig;
pub use fleet::WorkerFleet;
pub use relay::Relay;
pub use relay::RelayTraffic;
pub use settings::DirectorySettings;
pub use settings::RelaySettings;
pub use settings::Settings;
pub use store::StoreCounts;
pub use store::StoreServer;
pub use worker::Execution;
pub use worker::ExecutionEnd;
pub use worker::ExecutionSummary;
pub use worker::RepeatedTask;
pub use worker::WorkerConfig;
pub use worker::WorkerCounts;
pub use worker::WorkerServer;
pub use worker::expected_output;
