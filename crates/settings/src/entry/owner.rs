//! Section `[owner]`.

use std::time;

use crate::section;

const DEFAULT_JOURNAL_BATCH_MS: u64 = 20;
const DEFAULT_JOURNAL_RETENTION_S: u64 = 600;
const DEFAULT_RESULT_RETENTION_S: u64 = 120;
const DEFAULT_MAX_TASKS: u64 = 20_000;

/// Ownership of partitions, journal and results.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// How long intents are collected before they are written as one batch.
    pub journal_batch_delay: time::Duration,
    /// How long a journalled key is remembered; at least the callers' longest deadline.
    pub journal_retention: time::Duration,
    /// How long the outcome of a task is kept.
    pub result_retention: time::Duration,
    /// Largest number of tasks in memory, including settled ones whose outcome is still kept.
    pub max_tasks: usize,
}

impl Owner {
    pub(super) fn read(mut section: section::Section<'_>) -> Self {
        Self {
            journal_batch_delay: section.duration_ms(
                "journal_batch_ms",
                DEFAULT_JOURNAL_BATCH_MS,
                0..=1_000,
            ),
            journal_retention: section.duration_s(
                "journal_retention_s",
                DEFAULT_JOURNAL_RETENTION_S,
                1..=86_400,
            ),
            result_retention: section.duration_s(
                "result_retention_s",
                DEFAULT_RESULT_RETENTION_S,
                1..=86_400,
            ),
            max_tasks: section.size("max_tasks", DEFAULT_MAX_TASKS, 1..=10_000_000),
        }
    }
}
