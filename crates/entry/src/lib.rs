//! The scheduler instance: accepts callers, owns tasks, holds workers.
//!
//! [`control`] decides without I/O, [`Instance`] runs it, [`api`] faces callers and operators.

pub mod api;
pub mod control;
mod drive;

pub use drive::Error;
pub use drive::Instance;
pub use drive::NetworkPlatform;
pub use drive::Platform;
