//! Reads and validates INI settings for every program.
//!
//! A [`Loader`] reads one document and collects all its faults, so that the [`Findings`] are
//! reported together, each with its location. [`Entry`] holds the settings of `ferry-entry`.

mod entry;
mod finding;
mod lines;
mod loader;
mod section;

pub use entry::Callers;
pub use entry::Cluster;
pub use entry::Entry;
pub use entry::Instance;
pub use entry::Lease;
pub use entry::Logs;
pub use entry::Metrics;
pub use entry::Owner;
pub use entry::Peer;
pub use entry::Platform;
pub use entry::Policy;
pub use entry::Queue;
pub use entry::Workers;
pub use finding::Finding;
pub use finding::Findings;
pub use loader::Loader;
pub use section::Section;
