//! The scheduler instance: serves callers, owns tasks and holds workers.
//!
//! [`control`] makes the decisions without I/O, [`Instance`] runs it, and [`api`] serves callers
//! and operators over HTTP.

pub mod api;
pub mod control;
mod drive;

pub use drive::Error;
pub use drive::Instance;
pub use drive::NetworkPlatform;
pub use drive::Platform;
