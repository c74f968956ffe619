//! Structured logs and metrics.
//!
//! A line of the log is a row of `key=value` pairs: time, level, target, message, and the pairs
//! that the call site adds with `log::info!(key = value; "message")`. [`Metrics`] counts in the
//! process and sends the counts to a UDP address when it is flushed.

mod error;
mod logger;
mod metrics;
mod pair;

pub use error::Error;
pub use error::ErrorKind;
pub use logger::LineLogger;
pub use logger::init_logs;
pub use metrics::Metrics;
pub use pair::Pair;
pub use pair::kv;
