//! Runs the control state: threads, listeners and clients.

mod control_handle;
mod control_thread;
mod effect_runner;
mod instance;
mod message;
mod periodic;
mod platform;
mod state_store;

pub(crate) use control_handle::ControlHandle;
pub(crate) use control_thread::StateFlags;
pub use instance::Error;
pub use instance::Instance;
pub(crate) use message::CallerAnswer;
pub use platform::NetworkPlatform;
pub use platform::Platform;
