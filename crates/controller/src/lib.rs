//! Runs the decisions about jobs on a platform.
//!
//! Every instance answers callers; one of them leads and decides. [`Instance`] elects the leader,
//! recovers its state from the store, carries out its orders and passes callers' requests to it.
//! A [`Platform`] says how the store, the workers and the recommendation service are reached.

mod cluster_entries;
mod committer;
mod control_thread;
mod election;
mod error;
mod gateway;
mod instance;
mod leadership;
mod links;
mod orders;
mod platform;
mod pulse;
mod registration;
mod settings;
mod watches;

pub use error::Error;
pub use error::ErrorKind;
pub use gateway::Gateway;
pub use instance::Instance;
pub use platform::Advisor;
pub use platform::Keys;
pub use platform::Platform;
pub use platform::Workers;
pub use settings::Settings;
