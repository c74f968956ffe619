//! Runs the job scheduler on a platform.
//!
//! Every instance serves callers; one of them is the leader and schedules jobs. [`Instance`] takes
//! part in the election, forwards callers' requests to the leader and, while it leads itself,
//! recovers the scheduler's state from the store and executes its actions. A [`Platform`] provides
//! access to the store, the workers and the recommendation service.

mod authority_clock;
mod call_lanes;
mod caller_request;
mod cluster_entries;
mod committer;
mod confirmation;
mod control_thread;
mod directory;
mod election;
mod error;
mod gateway;
mod heartbeat;
mod instance;
mod leadership;
mod lease_authority;
mod links;
mod mailbox;
mod orders;
mod peer_gauges;
mod pending_counts;
mod platform;
mod registration;
mod relay_worker;
mod relays;
mod settings;
mod tenant_metrics;
mod watches;

pub use caller_request::CallerRequest;
pub use error::Error;
pub use error::ErrorKind;
pub use gateway::Gateway;
pub use instance::Instance;
pub use platform::Advisor;
pub use platform::Keys;
pub use platform::Platform;
pub use platform::Workers;
pub use settings::Settings;
