//! Decisions about queueing and placement.
