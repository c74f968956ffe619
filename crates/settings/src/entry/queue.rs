//! Section `[queue]`.

use std::time;

use crate::section;

const MAX_QUEUED: u64 = 4_000;
const MAX_QUEUED_OF_PLAN: u64 = 2_000;
const MAX_ATTEMPTS: u64 = 3;
const OFFER_VALIDITY_MS: u64 = 2_000;
const FAIR: &str = "fair";
const BASELINE: &str = "baseline";

/// How queued tasks are ordered and placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Weighted shares over plans, with slots kept for short work.
    Fair,
    /// In order of arrival; the plain alternative that the other is measured against.
    Baseline,
}

/// Queueing and placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Queue {
    /// Order of tasks.
    pub policy: Policy,
    /// Tasks queued at this instance; at most the owner's `max_tasks`.
    pub max_queued: usize,
    /// Tasks of one plan queued at this instance; at most `max_queued`.
    pub max_queued_of_plan: usize,
    /// Executions of one repeatable task.
    pub max_attempts: u32,
    /// How long an offer to a lease holder stands.
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
            max_queued: section.size("max_queued", MAX_QUEUED, 1..=1_000_000),
            max_queued_of_plan: section.size(
                "max_queued_of_plan",
                MAX_QUEUED_OF_PLAN,
                1..=1_000_000,
            ),
            max_attempts: section.count("max_attempts", MAX_ATTEMPTS, 1..=100),
            offer_validity: section.duration_ms(
                "offer_validity_ms",
                OFFER_VALIDITY_MS,
                50..=60_000,
            ),
        }
    }
}
