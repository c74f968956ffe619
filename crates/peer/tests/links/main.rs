//! Tests of links between instances over real connections.

mod channel;
mod common;
mod former_build;
mod limits;
mod link;
