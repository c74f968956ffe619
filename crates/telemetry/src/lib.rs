//! Structured logs and metrics.
//!
//! A log line is a sequence of `key=value` pairs: time, level, target, message, and the pairs that
//! the call site adds with `log::info!(key = value; "message")`. [`Metrics`] aggregates counters in
//! the process and sends them to a UDP address on each flush.

mod buffered;
mod error;
mod logger;
mod metrics;
mod pair;

pub use buffered::BufferedLogs;
pub use buffered::BufferedWriter;
pub use buffered::init_buffered_logs;
pub use buffered::spawn_log_writer;
pub use error::Error;
pub use error::ErrorKind;
pub use logger::LineLogger;
pub use logger::init_logs;
pub use metrics::Metrics;
pub use metrics::metric_part;
pub use pair::Pair;
pub use pair::kv;
