//! Decisions about the leadership: who leads, and when to claim it.
//!
//! The store's entry of the leader decides; its revision is the term. A [`Cell`] is what one
//! instance knows of that entry and of the live instances, a [`Contact`] what it has heard from
//! the leader itself. [`judge`] says whether there is a reason to claim.

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
