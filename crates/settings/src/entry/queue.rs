//! Section `[queue]`.

use std::time;

use crate::section;

const DEFAULT_MAX_QUEUED: u64 = 4_000;
const DEFAULT_MAX_QUEUED_OF_PLAN: u64 = 2_000;
const DEFAULT_MAX_ATTEMPTS: u64 = 3;
const DEFAULT_OFFER_VALIDITY_MS: u64 = 2_000;
const FAIR: &str = "fair";
const BASELINE: &str = "baseline";

/// How queued tasks are ordered and placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Weighted shares over plans, with slots kept for short work.
    Fair,
    /// Order of arrival; the baseline that `Fair` is measured against.
    Baseline,
}

/// Queueing and placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Queue {
    /// How tasks are ordered and placed.
    pub policy: Policy,
    /// Largest number of tasks queued at this instance; at most the owner's `max_tasks`.
    pub max_queued: usize,
    /// Largest number of tasks of one plan queued at this instance; at most `max_queued`.
    pub max_queued_of_plan: usize,
    /// Largest number of executions of one repeatable task.
    pub max_attempts: u32,
    /// How long an offer to a lease holder remains valid.
    pub offer_validity: time::Duration,
}

impl Queue {
    pub(super) fn read(mut section: section::Section<'_>) -> Self {
        let policy = section.choice("policy", &[FAIR, BASELINE], FAIR);
        Self {
            policy: if policy == BASELINE {
                Policy::Baseline
            } else {
                Policy::Fair
            },
            max_queued: section.size("max_queued", DEFAULT_MAX_QUEUED, 1..=1_000_000),
            max_queued_of_plan: section.size(
                "max_queued_of_plan",
                DEFAULT_MAX_QUEUED_OF_PLAN,
                1..=1_000_000,
            ),
            max_attempts: section.count("max_attempts", DEFAULT_MAX_ATTEMPTS, 1..=100),
            offer_validity: section.duration_ms(
                "offer_validity_ms",
                DEFAULT_OFFER_VALIDITY_MS,
                50..=60_000,
            ),
        }
    }
}
