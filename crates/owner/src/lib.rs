//! State machine for partition ownership, idempotency and the intent journal.
//!
//! [`Owner`] takes an [`Event`] and the current time and returns [`Action`]s. It does no I/O and
//! reads no clock, so that one control thread can own it and property tests can drive it.

mod action;
mod delegation;
mod event;
mod fence_tracker;
mod fences;
mod journal;
mod journal_io;
mod journal_writer;
mod missing_runs;
mod outcome_cache;
mod owner;
mod ownership;
mod pending_answer;
mod reports;
mod requests;
mod runs;
mod settings;
mod settle;
mod table_view;
mod takeover;
mod task_record;
mod timers;

pub use action::Action;
pub use action::Answer;
pub use action::QueuedTask;
pub use action::RunSummary;
pub use action::SettledTask;
pub use event::Event;
pub use event::Member;
pub use event::WriteResult;
pub use fences::Fences;
pub use journal::JournalEntry;
pub use owner::Owner;
pub use settings::OwnerSettings;

/// Identifies a request of a caller, or of a peer acting for one, that this instance is to answer.
pub type RequestId = u64;
/// Identifies a batch of journal writes of this instance.
pub type BatchId = u64;
