//! Decisions about cluster-wide plan limits.
//!
//! A plan's [`Grantor`], at the owner of the plan's partition, divides the plan's limit into
//! grants; each instance spends its grant through a [`Spender`]. The sum of live grants never
//! exceeds the limit, so the sum of use does not either.

mod amount;
mod bucket;
mod divide;
mod grantor;
mod limits;
mod spender;

pub use grantor::Grantor;
pub use grantor::GrantorSettings;
pub use limits::Limits;
pub use spender::Spender;
