//! Decisions about cluster-wide plan limits.
