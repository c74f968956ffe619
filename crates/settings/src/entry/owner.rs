//! Section `[owner]`.

use std::time;

use crate::section;

const JOURNAL_BATCH_MS: u64 = 20;
const JOURNAL_RETENTION_S: u64 = 600;
const RESULT_RETENTION_S: u64 = 120;
const MAX_TASKS: u64 = 20_000;

/// Ownership of partitions, journal and results.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// How long intents are gathered before they are written together.
    pub journal_batch: time::Duration,
    /// How long a journalled key is remembered; at least the callers' longest deadline.
    pub journal_retention: time::Duration,
    /// How long the outcome of a task is kept.
    pub result_retention: time::Duration,
    /// Tasks in memory at once, settled ones that are still kept included.
    pub max_tasks: usize,
}

impl Owner {
    pub(super) fn read(mut section: section::Section<'_>) -> Self {
        Self {
            journal_batch: section.duration_ms("journal_batch_ms", JOURNAL_BATCH_MS, 0..=1_000),
            journal_retention: section.duration_s(
                "journal_retention_s",
                JOURNAL_RETENTION_S,
                1..=86_400,
            ),
            result_retention: section.duration_s(
                "result_retention_s",
                RESULT_RETENTION_S,
                1..=86_400,
            ),
            max_tasks: section.size("max_tasks", MAX_TASKS, 1..=10_000_000),
        }
    }
}
