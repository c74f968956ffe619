//! Workers, which grant one lease at a time and run tasks for its holder.

mod capacity;
mod config;
mod executions;
mod runs;
mod server;
mod state;
mod work;

pub use capacity::WorkerCounts;
pub use config::WorkerConfig;
pub use executions::Execution;
pub use executions::ExecutionEnd;
pub use executions::ExecutionSummary;
pub use executions::RepeatedTask;
pub use server::WorkerServer;
pub use work::expected_output;
