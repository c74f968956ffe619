//! Open-loop load with latency histograms, and replay of committed samples.
//!
//! An [`Experiment`] is read from an INI file. Its arrivals are drawn in advance from a seed, and
//! each latency counts from the intended moment of sending, so a slow server cannot slow the load
//! down or hide its delay. Every answer is compared with the output that the stand-in worker must
//! give for exactly this request.

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
pub use command::Finished;
pub use command::run_command;
pub use compare::compare;
pub use error::Error;
pub use error::ErrorKind;
pub use experiment::Experiment;
pub use experiment::Kind;
pub use experiment::Shape;
pub use replay::Replayed;
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
