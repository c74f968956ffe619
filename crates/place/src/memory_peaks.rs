//! Memory that tasks of a kind were seen to use, so that the next ones get as much.

use indexmap::IndexMap;

use crate::spread;

/// Part by which a remembered peak sinks at each end of a run that used less.
const DECAY_DIVISOR: u32 = 16;

/// Peaks of memory by customer and kind, as one holder has seen them.
///
/// Owners learn sizes too, each from its own tasks. The holder is the one that must not give a
/// worker more than it has, so it goes by what it saw itself at once.
#[derive(Debug)]
pub(crate) struct MemoryPeaks {
    peaks_mb: IndexMap<spread::KindKey, u32>,
    max_kinds: usize,
}

impl MemoryPeaks {
    pub(crate) fn new(max_kinds: usize) -> Self {
        Self {
            peaks_mb: IndexMap::new(),
            max_kinds,
        }
    }

    /// Notes what a run uses at the moment.
    pub(crate) fn record_use(&mut self, key: spread::KindKey, used_mb: u32) {
        if !self.peaks_mb.contains_key(&key) && self.peaks_mb.len() >= self.max_kinds {
            self.peaks_mb.swap_remove_index(0);
        }
        let peak_mb = self.peaks_mb.entry(key).or_default();
        *peak_mb = used_mb.max(*peak_mb);
    }

    /// Notes the largest use of a run that has ended.
    pub(crate) fn record_end(&mut self, key: spread::KindKey, used_mb: u32) {
        if let Some(peak_mb) = self.peaks_mb.get_mut(&key) {
            *peak_mb -= *peak_mb / DECAY_DIVISOR;
        }
        self.record_use(key, used_mb);
    }

    /// Returns what a task of a kind should get at least; 0 if nothing is known.
    pub(crate) fn expected_mb(&self, key: &spread::KindKey) -> u32 {
        self.peaks_mb.get(key).copied().unwrap_or_default()
    }
}
