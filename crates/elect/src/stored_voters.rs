//! What a leader knows of the stored list of voters.

use crate::voters;

/// The lists of voters that may be stored, as one leader knows them.
///
/// Each write requires the revision of the entry that was last seen, so that a write whose outcome
/// is unknown takes no effect once the entry has another revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredVoters {
    /// Revision of the entry when it was last seen; `None` if there was none.
    revision: Option<model::Revision>,
    /// Lists one of which is stored; `None` stands for no list, or one that cannot be decoded. Never
    /// empty.
    lists: Vec<Option<voters::Voters>>,
}

impl StoredVoters {
    /// Creates the state after a read that has found `list` at `revision`.
    #[must_use]
    pub fn new(revision: Option<model::Revision>, list: Option<voters::Voters>) -> Self {
        Self {
            revision,
            lists: vec![list],
        }
    }

    /// Returns the revision that a write must require; `None` if there must be no entry.
    #[must_use]
    pub fn revision(&self) -> Option<model::Revision> {
        self.revision
    }

    /// Records that a write of `list` is about to be sent.
    pub fn begin_write(&mut self, list: voters::Voters) {
        let list = Some(list);
        if !self.lists.contains(&list) {
            self.lists.push(list);
        }
    }

    /// Records that `list` was written at `revision`.
    pub fn record_write(&mut self, revision: model::Revision, list: voters::Voters) {
        *self = Self::new(Some(revision), Some(list));
    }

    /// Records that a read has found `list` at `revision`. An unchanged revision tells nothing of the
    /// writes that may still take effect.
    pub fn record_read(&mut self, revision: Option<model::Revision>, list: Option<voters::Voters>) {
        if revision != self.revision {
            *self = Self::new(revision, list);
        }
    }

    /// Returns whether exactly `list` is stored.
    #[must_use]
    pub fn is_stored(&self, list: &voters::Voters) -> bool {
        matches!(self.lists.as_slice(), [Some(stored)] if stored == list)
    }

    /// Returns the lists one of which is stored; none if there may be no list.
    #[must_use]
    pub fn lists(&self) -> Vec<voters::Voters> {
        let lists: Option<Vec<_>> = self.lists.iter().cloned().collect();
        lists.unwrap_or_default()
    }
}
