//! Leader election: which instance leads, and when another one claims the leadership.
//!
//! The leader is the instance named by the leader's entry in the store, and the revision of that
//! entry is the term. A [`ClusterView`] holds what one instance knows of that entry and of the live
//! instances, a [`LeaderHealth`] what the leader's replies to it have shown. [`decide_claim`]
//! returns the claim to make, if there is a reason for one.
//!
//! A leader grants leases to workers only while it has a [`LeaseAuthority`], which the store or a
//! quorum of the stored [`Voters`] prolongs and which ends long before the leader notices that it was
//! replaced. A [`Succession`] tells a new leader when no earlier one can prolong its own.

mod authority;
mod claim;
mod cluster_view;
mod leader_health;
mod member;
mod stored_voters;
mod succession;
mod voters;

pub use authority::LeaseAuthority;
pub use claim::Claim;
pub use claim::ClaimContext;
pub use claim::ClaimReason;
pub use claim::decide_claim;
pub use cluster_view::ClusterView;
pub use leader_health::LeaderHealth;
pub use member::Leader;
pub use member::Member;
pub use stored_voters::StoredVoters;
pub use succession::Succession;
pub use voters::Voter;
pub use voters::Voters;
