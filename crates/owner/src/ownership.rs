//! State of an owned partition.

use std::time;

use model::Generation;

use crate::JournalEntry;

/// This instance's ownership of a partition.
#[derive(Debug)]
pub(crate) struct Ownership {
    pub(crate) generation: Generation,
    pub(crate) phase: OwnershipPhase,
    /// When serving began after an owner that could not hand its tasks over. For
    /// `result_retention` after that, a key may have been used before.
    pub(crate) taken_over_at: Option<time::Instant>,
    /// Whether the former owner delegated the partition, with its tasks.
    pub(crate) received_by_delegation: bool,
    pub(crate) journal: JournalState,
}

/// Phase of the ownership of a partition.
#[derive(Debug)]
pub(crate) enum OwnershipPhase {
    /// Lease holders are being fenced and asked for their runs.
    TakingOver {
        /// Only fences sent at this event sequence or later count.
        since_sequence: u64,
        /// Latest time at which a holder that is now dead may have renewed a lease.
        last_renewal_at: time::Instant,
        /// When the fences are repeated, for workers that no member held yet.
        repeat_fence_at: time::Instant,
    },
    /// Requests are handled.
    Serving,
    /// About to be delegated, or just received by delegation: requests are held and nothing is
    /// queued.
    Suspended,
    /// Delegated to a peer, whose answer is outstanding.
    Delegated,
}

/// Progress of reading a partition's journal.
#[derive(Debug)]
pub(crate) enum JournalState {
    /// To be read from this time on.
    Unread(time::Instant),
    /// Being read.
    Reading,
    /// Read; its entries are kept until the partition is served.
    Read(Vec<JournalEntry>),
    /// Applied to the tasks.
    Applied,
}

impl Ownership {
    pub(crate) fn is_serving(&self) -> bool {
        matches!(self.phase, OwnershipPhase::Serving)
    }

    pub(crate) fn is_pending(&self) -> bool {
        matches!(self.phase, OwnershipPhase::TakingOver { .. })
    }

    pub(crate) fn is_delegated(&self) -> bool {
        matches!(self.phase, OwnershipPhase::Delegated)
    }

    /// Returns whether the journal was applied; from then on an unknown id of a journalled task is
    /// unused.
    pub(crate) fn has_applied_journal(&self) -> bool {
        matches!(self.journal, JournalState::Applied)
    }
}
