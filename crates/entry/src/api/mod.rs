//! The interface for callers and operators: JSON over HTTP.

pub mod answer;
pub mod request;
