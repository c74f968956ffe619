//! Tenants of the cluster: their API keys, weights and caps.
//!
//! Tenants compete for the workers. A tenant's weight is its share when all workers are busy; its cap
//! limits what it may have running on all workers together.

mod amounts;
mod bucket;
mod builder;
mod key;
mod load;
mod share;
mod tenant;
mod tenant_set;
mod usage;

pub use amounts::Amounts;
pub use bucket::Bucket;
pub use builder::Fault;
pub use builder::Finding;
pub use builder::Findings;
pub use builder::TenantEntry;
pub use builder::TenantsBuilder;
pub use key::KeyDigest;
pub use key::digest_key;
pub use load::FULL_WAIT;
pub use load::Load;
pub use share::Band;
pub use share::Division;
pub use tenant::Cap;
pub use tenant::Tenant;
pub use tenant_set::Tenants;
pub use usage::TenantNumber;
pub use usage::UnknownRun;
pub use usage::Usage;
