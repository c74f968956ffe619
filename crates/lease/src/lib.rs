//! Decisions about worker leases.
