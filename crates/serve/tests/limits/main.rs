//! Tests of the limits on what clients may hold, against a server in the test process.
#![allow(clippy::unwrap_used)]

mod bodies;
mod connections;
mod server;
mod sizes;
