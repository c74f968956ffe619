//! State of an owned partition.

use std::time;

use model::Generation;

use crate::JournalEntry;

/// This instance's ownership of a partition.
#[derive(Debug)]
pub(crate) struct Tenancy {
    pub(crate) generation: Generation,
    pub(crate) phase: TenancyPhase,
    /// When serving began after an owner that could not hand its tasks over. For
    /// `result_retention` after that, a key may have been used before.
    pub(crate) taken_over_at: Option<time::Instant>,
    /// Whether the former owner delegated the partition, with its tasks.
    pub(crate) delegated: bool,
    pub(crate) journal: JournalState,
}

/// Phase of the ownership of a partition.
#[derive(Debug)]
pub(crate) enum TenancyPhase {
    /// Lease holders are being fenced and asked for their runs.
    TakingOver {
        /// Only fences sent at this event sequence or later count.
        since: u64,
        /// Latest time at which a holder that is now dead may have renewed a lease.
        silent_since: time::Instant,
        /// When the fences are repeated to find the holders of workers that had none.
        repeat_at: time::Instant,
    },
    /// Requests are handled.
    Serving,
    /// About to be delegated: requests are held and nothing is queued.
    Closing,
    /// Delegated; the answer of the new owner is outstanding.
    GivenAway,
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

impl Tenancy {
    pub(crate) fn is_serving(&self) -> bool {
        matches!(self.phase, TenancyPhase::Serving)
    }

    pub(crate) fn is_pending(&self) -> bool {
        matches!(self.phase, TenancyPhase::TakingOver { .. })
    }

    pub(crate) fn is_given_away(&self) -> bool {
        matches!(self.phase, TenancyPhase::GivenAway)
    }

    /// Returns whether the journal was applied; from then on an unknown id of a journalled task is
    /// unused.
    pub(crate) fn knows_journal(&self) -> bool {
        matches!(self.journal, JournalState::Applied)
    }
}
