//! State machine for partition ownership, idempotency and the intent journal.
//!
//! [`Owner`] takes an [`Event`] and the current time and returns [`Action`]s. It does no I/O and
//! reads no clock, so that one control thread can own it and property tests can drive it.

mod action;
mod delegation;
mod event;
mod fence_rounds;
mod fences;
mod journal;
mod journal_io;
mod journal_writer;
mod owner;
mod record;
mod reports;
mod runs;
mod settings;
mod settle;
mod settled;
mod submit;
mod suspects;
mod table;
mod takeover;
mod tenancy;
mod tickets;
mod timers;

pub use action::Action;
pub use action::Answer;
pub use action::QueuedTask;
pub use action::RunFacts;
pub use action::SettledTask;
pub use event::Event;
pub use event::Member;
pub use event::WriteResult;
pub use fences::Fences;
pub use journal::JournalEntry;
pub use owner::Owner;
pub use settings::OwnerSettings;

/// Identifies an outstanding answer to a caller, or to a peer acting for one, at this instance.
pub type Ticket = u64;
/// Identifies a batch of journal writes of this instance.
pub type BatchId = u64;
