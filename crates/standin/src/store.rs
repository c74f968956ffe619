//! The key-value store: the JSON gateway of etcd v3 over a map in memory.

mod memory_store;
mod message;
mod server;

pub use server::StoreCounts;
pub use server::StoreServer;
