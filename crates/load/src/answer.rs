//! The answer to a task, as callers get it.

use serde::Deserialize;

/// Body of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct TaskAnswer {
    /// The task's id; empty if it was refused before it got one.
    pub task_id: String,
    /// `done`, `not_run`, `unknown`, `queued` or `running`.
    pub outcome: String,
    /// Why it did not run, or why that is not known.
    pub reason: Option<String>,
    /// Whether the work reported success.
    pub succeeded: Option<bool>,
    /// Output of each member.
    pub outputs: Option<Vec<String>>,
    /// Time from acceptance to the start, in milliseconds.
    pub waited_ms: Option<u64>,
    /// Run time, in milliseconds.
    pub run_ms: Option<u64>,
    /// Executions it took.
    pub attempts: Option<u32>,
    /// When to try again, in milliseconds.
    pub retry_after_ms: Option<u64>,
}
