//! Leader election: which instance leads, and when another one claims the leadership.
//!
//! The leader is the instance named by the leader's entry in the store, and the revision of that
//! entry is the term. A [`ClusterView`] holds what one instance knows of that entry and of the live
//! instances, a [`LeaderHealth`] what the leader's replies to it have shown. [`decide_claim`]
//! returns the claim to make, if there is a reason for one.

mod claim;
mod cluster_view;
mod leader_health;
mod member;

pub use claim::Claim;
pub use claim::ClaimContext;
pub use claim::ClaimReason;
pub use claim::decide_claim;
pub use cluster_view::ClusterView;
pub use leader_health::LeaderHealth;
pub use member::Leader;
pub use member::Member;
