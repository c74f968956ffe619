//! The API for callers and operators: JSON over HTTP.

pub mod answer;
mod gateway;
mod operators;
mod peers;
pub mod request;

pub(crate) use gateway::Gateway;
pub(crate) use gateway::GatewayParts;
pub(crate) use gateway::IN_FLIGHT_COPIES;
pub(crate) use peers::PeerGateway;
