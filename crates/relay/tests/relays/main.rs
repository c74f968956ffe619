//! Tests of the decisions about relays, without network.

mod assignments;
mod in_flight;
mod message;
