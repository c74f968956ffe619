//! Tests of links between instances over real connections.

mod channel;
mod common;
mod limits;
mod link;
