//! Tests of the decisions about relays, without network.

mod assignments;
mod in_flight;
mod message;
mod order_clock;
