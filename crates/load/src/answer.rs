//! Answer of the callers' API to a task.

use serde::Deserialize;

/// Body of an answer to a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct TaskAnswer {
    /// ID of the task; empty if it was refused before an ID was assigned.
    pub task_id: String,
    /// `done`, `not_run`, `unknown`, `queued` or `running`.
    pub outcome: String,
    /// Why the task did not run, or why its outcome is unknown.
    pub reason: Option<String>,
    /// Whether the task itself reported success.
    pub succeeded: Option<bool>,
    /// Output of each member.
    pub outputs: Option<Vec<String>>,
    /// Time from acceptance to the start, in milliseconds.
    pub waited_ms: Option<u64>,
    /// Longest run time of a member, in milliseconds.
    pub run_ms: Option<u64>,
    /// Number of attempts to run the task.
    pub attempts: Option<u32>,
    /// Delay before a retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}
