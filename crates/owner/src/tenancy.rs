//! The time in charge of one partition.

use std::time;

use model::Generation;

use crate::JournalEntry;

/// This instance's tenure of a partition.
#[derive(Debug)]
pub(crate) struct Tenancy {
    pub(crate) generation: Generation,
    pub(crate) phase: TenancyPhase,
    /// When serving began after an owner that could not hand its tasks over; until the retention
    /// of results has passed since, a key may have been used before.
    pub(crate) taken_over_at: Option<time::Instant>,
    /// Whether the partition was handed over by its former owner, with its tasks.
    pub(crate) delegated: bool,
    pub(crate) journal: JournalState,
}

/// How far a tenure has come.
#[derive(Debug)]
pub(crate) enum TenancyPhase {
    /// Holders are being fenced and asked for their runs.
    TakingOver {
        /// Fences sent from this sequence on count.
        since: u64,
        /// Latest time at which a holder that is dead now may have renewed a lease.
        silent_since: time::Instant,
        /// When workers that nobody holds yet are asked after again.
        repeat_at: time::Instant,
    },
    /// Requests are handled.
    Serving,
    /// About to be given away: requests are held and nothing is queued.
    Closing,
    /// Given away for good; the answer of the new owner is outstanding.
    GivenAway,
}

/// What is known of a partition's journal.
#[derive(Debug)]
pub(crate) enum JournalState {
    /// To be read from this time on.
    Unread(time::Instant),
    /// Being read.
    Reading,
    /// Read, and kept until the partition is served.
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

    /// Returns whether the journal was applied, so that unknown ids are known to be unused.
    pub(crate) fn knows_journal(&self) -> bool {
        matches!(self.journal, JournalState::Applied)
    }
}
