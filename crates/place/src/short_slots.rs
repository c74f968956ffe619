//! Sizes the slots kept for short tasks from what arrived lately.

use std::time;

use crate::histogram;
use crate::rate;

const LONG_WINDOW_SECONDS: usize = 20;
const RECENT_WINDOW_SECONDS: usize = 3;
const SIZE_PERCENT: u32 = 90;
const MIN_SIZES: u32 = 8;

/// Measures the slots that short tasks keep busy.
#[derive(Debug)]
pub(crate) struct ShortSlots {
    /// Predicted run time of started short tasks, in microseconds.
    run_us: rate::RecentSum,
    processors_milli: histogram::Histogram,
    memory_mb: histogram::Histogram,
    /// Resources of a typical short task.
    size: model::Demand,
    /// Slots to keep.
    slots: u32,
    /// Standard deviations above the mean number busy that are kept.
    spread: f64,
}

impl ShortSlots {
    pub(crate) fn new(spread: f64) -> Self {
        Self {
            run_us: rate::RecentSum::default(),
            processors_milli: histogram::Histogram::new(),
            memory_mb: histogram::Histogram::new(),
            size: model::Demand::default(),
            slots: 0,
            spread,
        }
    }

    /// Records a short task that starts.
    pub(crate) fn arrived(
        &mut self,
        expected_run: time::Duration,
        reserve: &model::Demand,
        now: time::Instant,
    ) {
        self.run_us.add(expected_run.as_micros() as u64, now);
        self.processors_milli
            .record(u64::from(reserve.processors_milli));
        self.memory_mb.record(u64::from(reserve.memory_mb));
    }

    /// Sizes the slots anew: the mean number busy, room for its spread, and those that wait.
    pub(crate) fn refresh(&mut self, waiting: u32, max_slots: u32, now: time::Instant) {
        let long = self.run_us.mean(LONG_WINDOW_SECONDS, now);
        let recent = self.run_us.mean(RECENT_WINDOW_SECONDS, now);
        let second_us = time::Duration::from_secs(1).as_micros() as f64;
        let busy = long.max(recent) as f64 / second_us;
        let wanted = (busy + self.spread * busy.sqrt()).ceil() as u32;
        self.slots = wanted.saturating_add(waiting).min(max_slots);
        if self.memory_mb.count() >= MIN_SIZES {
            self.size = model::Demand {
                processors_milli: self.processors_milli.quantile(SIZE_PERCENT) as u32,
                memory_mb: self.memory_mb.quantile(SIZE_PERCENT) as u32,
                accelerators: 0,
            };
        }
    }

    /// Returns the number of slots to keep for short tasks.
    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the resources of a typical short task.
    pub(crate) fn size(&self) -> model::Demand {
        self.size
    }
}
