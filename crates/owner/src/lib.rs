//! Decisions about partition ownership, idempotency and the intent journal.
//!
//! [`Owner`] takes an [`Event`] and the time and returns [`Action`]s. It does no I/O and reads no
//! clock, so that one control thread can own it and property tests can drive it.

mod action;
mod event;
mod fences;
mod journal;
mod owner;
mod settings;

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

/// Identifies an answer that a caller, or a peer on behalf of one, waits for at this instance.
pub type Ticket = u64;
/// Identifies a batch of journal writes of this instance.
pub type BatchId = u64;
