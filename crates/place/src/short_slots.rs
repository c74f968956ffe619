//! Estimates from recent starts how many slots to keep for short tasks.

use std::time;

use crate::histogram;
use crate::recent_sum;

const LONG_WINDOW_SECONDS: usize = 20;
const RECENT_WINDOW_SECONDS: usize = 3;
const DEMAND_PERCENTILE: u32 = 90;
const MIN_SAMPLES: u32 = 8;

/// Estimates how many slots short tasks occupy and how large they are.
#[derive(Debug)]
pub(crate) struct ShortSlots {
    /// Predicted run times of recently started short tasks, in microseconds.
    run_us: recent_sum::RecentSum,
    processors_milli: histogram::Histogram,
    memory_mb: histogram::Histogram,
    /// Resources of a typical short task.
    typical_demand: model::Demand,
    /// Number of slots to keep for short tasks.
    slots: u32,
    /// Slots kept above the mean number busy, in standard deviations.
    deviations: f64,
}

impl ShortSlots {
    pub(crate) fn new(deviations: f64) -> Self {
        Self {
            run_us: recent_sum::RecentSum::default(),
            processors_milli: histogram::Histogram::new(),
            memory_mb: histogram::Histogram::new(),
            typical_demand: model::Demand::default(),
            slots: 0,
            deviations,
        }
    }

    /// Records the start of a short task.
    pub(crate) fn record_start(
        &mut self,
        expected_run_time: time::Duration,
        reserve: &model::Demand,
        now: time::Instant,
    ) {
        self.run_us.add(expected_run_time.as_micros() as u64, now);
        self.processors_milli
            .record(u64::from(reserve.processors_milli));
        self.memory_mb.record(u64::from(reserve.memory_mb));
    }

    /// Updates the number of slots to keep: the mean number busy, a margin for its deviation and
    /// one for each waiting task.
    pub(crate) fn refresh(&mut self, waiting: u32, max_slots: u32, now: time::Instant) {
        let long = self.run_us.mean(LONG_WINDOW_SECONDS, now);
        let recent = self.run_us.mean(RECENT_WINDOW_SECONDS, now);
        let second_us = time::Duration::from_secs(1).as_micros() as f64;
        let mean_busy = long.max(recent) as f64 / second_us;
        let target = (mean_busy + self.deviations * mean_busy.sqrt()).ceil() as u32;
        self.slots = target.saturating_add(waiting).min(max_slots);
        if self.memory_mb.count() >= MIN_SAMPLES {
            self.typical_demand = model::Demand {
                processors_milli: self.processors_milli.percentile(DEMAND_PERCENTILE) as u32,
                memory_mb: self.memory_mb.percentile(DEMAND_PERCENTILE) as u32,
                accelerators: 0,
            };
        }
    }

    /// Returns the number of slots to keep for short tasks.
    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the resources of a typical short task.
    pub(crate) fn typical_demand(&self) -> model::Demand {
        self.typical_demand
    }
}
