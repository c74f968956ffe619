//! Tenants of the cluster: their API keys, weights and caps.
//!
//! Tenants compete for the workers. A tenant's weight is its share when all workers are busy; its cap
//! limits what it may have running on all workers together.

mod builder;
mod key;
mod tenant;
mod tenant_set;

pub use builder::Fault;
pub use builder::Finding;
pub use builder::Findings;
pub use builder::TenantEntry;
pub use builder::TenantsBuilder;
pub use key::KeyDigest;
pub use key::digest_key;
pub use tenant::Cap;
pub use tenant::Tenant;
pub use tenant_set::Tenants;
