//! The scheduler instance.
