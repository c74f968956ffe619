//! Open-loop load generator with latency histograms, and replay of sample files.
//!
//! An [`Experiment`] is read from an INI file. Its arrival times are drawn from a seeded random
//! generator and do not depend on answers. Each latency is measured from the intended send time, so
//! that a slow server cannot reduce the load or hide its delay (coordinated omission). Every answer
//! is compared with the output that the stand-in worker must produce for exactly this request.

mod answer;
mod arrivals;
mod client;
mod command;
mod compare;
mod error;
mod experiment;
mod replay;
mod report;
mod request;
mod runner;
mod stats;
mod table;
mod verify;

pub use answer::TaskAnswer;
pub use arrivals::Arrival;
pub use arrivals::Arrivals;
pub use client::Client;
pub use command::CommandOutput;
pub use command::run_command;
pub use compare::compare;
pub use error::Error;
pub use error::ErrorKind;
pub use experiment::Experiment;
pub use experiment::Kind;
pub use experiment::Shape;
pub use replay::ReplayReport;
pub use replay::Sample;
pub use replay::parse_samples;
pub use replay::replay;
pub use report::csv;
pub use report::text;
pub use request::TaskRequest;
pub use runner::run;
pub use stats::KindStats;
pub use stats::Observation;
pub use stats::Results;
pub use verify::Verdict;
pub use verify::expected_output;
pub use verify::verify;
