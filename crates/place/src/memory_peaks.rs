//! Observed memory peaks by kind of task, from which the reservations of later tasks are sized.

use indexmap::IndexMap;

use crate::spread;

/// A remembered peak decays by one part in this many at each end of a run that used less.
const DECAY_DIVISOR: u32 = 16;

/// Memory peaks by customer and kind, as observed by one holder.
///
/// Owners predict sizes too, each from its own tasks. The holder must not overcommit a worker, so it
/// applies its own observations at once.
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

    /// Records what a run uses at the moment.
    pub(crate) fn record_use(&mut self, key: spread::KindKey, used_mb: u32) {
        if !self.peaks_mb.contains_key(&key) && self.peaks_mb.len() >= self.max_kinds {
            self.peaks_mb.swap_remove_index(0);
        }
        let peak_mb = self.peaks_mb.entry(key).or_default();
        *peak_mb = used_mb.max(*peak_mb);
    }

    /// Decays the peak of the kind and records the largest use of a run that has ended.
    pub(crate) fn record_end(&mut self, key: spread::KindKey, used_mb: u32) {
        if let Some(peak_mb) = self.peaks_mb.get_mut(&key) {
            *peak_mb -= *peak_mb / DECAY_DIVISOR;
        }
        self.record_use(key, used_mb);
    }

    /// Returns the least memory to reserve for a task of a kind; 0 without an observation.
    pub(crate) fn expected_mb(&self, key: &spread::KindKey) -> u32 {
        self.peaks_mb.get(key).copied().unwrap_or_default()
    }
}
