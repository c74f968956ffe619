//! Decisions about the leadership: who leads, and when to claim it.
//!
//! The store's entry of the leader decides; its revision is the term. A [`Cell`] is what one
//! instance knows of that entry and of the live instances, a [`Contact`] what it has heard from
//! the leader itself. [`judge`] says whether there is a reason to claim.

mod cell;
mod contact;
mod judge;
mod member;

pub use cell::Cell;
pub use contact::Contact;
pub use judge::Claim;
pub use judge::Reason;
pub use judge::Situation;
pub use judge::judge;
pub use member::Leader;
pub use member::Member;
