//! Accepts connections of HTTP/1.1 callers and finishes them at a planned stop.

mod server;

pub use server::ServerLimits;
pub use server::serve;
