//! Decisions about worker leases: which workers to claim, renew, hand over and release.
//!
//! [`Leases`] takes [`Event`]s with the current time and returns [`Action`]s. It has no sockets,
//! clocks or randomness of its own. The worker decides who holds its lease; an instance only
//! decides which workers to ask, and how long it may rely on the last answer.

mod action;
mod decider;
mod event;
mod leases;
mod placement;
mod replies;
mod settings;
mod worker;

pub use action::Acquired;
pub use action::Action;
pub use event::Event;
pub use event::Grant;
pub use event::Member;
pub use leases::Leases;
pub use leases::OrderTarget;
pub use settings::LeaseSettings;
