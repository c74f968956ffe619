//! HTTP/1.1 server for callers, with a connection limit and a graceful shutdown.

mod server;

pub use server::ServerLimits;
pub use server::serve;
