//! Enforcement of cluster-wide plan limits by distributed shares.
//!
//! The [`Grantor`] of a plan, at the owner of the plan's partition, divides the limit of the plan
//! into shares that it grants to instances; each instance uses its share through a [`LocalQuota`].
//! The sum of live grants never exceeds the limit, so neither does the total use.

mod amount;
mod divide;
mod grantor;
mod limits;
mod local_quota;

pub use grantor::Grantor;
pub use grantor::GrantorSettings;
pub use limits::Limits;
pub use local_quota::LocalQuota;
