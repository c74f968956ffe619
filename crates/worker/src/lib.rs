//! Client of workers and of the platform's directory of instances and workers.
//!
//! [`WorkerApi`] and [`Directory`] are the traits that the scheduler depends on;
//! [`HttpWorkers`] and [`HttpDirectory`] implement them with JSON over HTTP.

mod api;
mod connector;
mod directory;
mod error;
mod http_workers;
mod traffic;
mod transport;

pub use api::Directory;
pub use api::WorkerApi;
pub use directory::HttpDirectory;
pub use error::Error;
pub use error::ErrorKind;
pub use http_workers::HttpWorkers;
pub use http_workers::HttpWorkersBuilder;
pub use traffic::Traffic;
