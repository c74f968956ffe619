//! The scheduler instance: accepts callers, owns tasks, holds workers.

pub mod api;
pub mod control;
