//! The key-value service: the etcd v3 JSON interface over a map in memory.

mod data;
mod message;
mod server;

pub use server::StoreCounts;
pub use server::StoreServer;
