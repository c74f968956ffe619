//! Runs the control state: threads, listeners and clients.

mod asker;
mod brain;
mod feeds;
mod instance;
mod keeper;
mod message;
mod platform;
mod traffic;

pub(crate) use asker::Asker;
pub(crate) use brain::Board;
pub use instance::Error;
pub use instance::Instance;
pub(crate) use message::CallerAnswer;
pub use platform::NetworkPlatform;
pub use platform::Platform;
