//! HTTP/1.1 server for callers, with limits on what clients may hold and a graceful shutdown.
//!
//! An instance has one [`Budget`] for the memory that clients fill: connections, bodies, requests in
//! flight and responses that are not read. docs/design/untrusted-clients.md has the design.

mod body;
mod budget;
mod connections;
mod progress;
mod refusals;
mod response;
mod server;
mod sizes;
mod socket;

pub use body::BodyError;
pub use body::ReceivedBody;
pub use body::read_body;
pub use budget::Budget;
pub use budget::Charge;
pub use server::AgeUnknown;
pub use server::ServerLimits;
pub use server::serve;
pub use sizes::DEFAULT_MEMORY_MB;
pub use sizes::Machine;
