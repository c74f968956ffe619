//! Submission of a task to the callers' API.

use serde::Deserialize;
use serde::Serialize;
use serde_json::value;

/// Body of a submission; the task's own body keeps its exact text.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskRequest {
    /// Kind of task.
    pub kind: String,
    /// Scheduling class.
    pub class: model::Class,
    /// Processor time of each member, in thousandths of a core.
    pub processors_milli: u32,
    /// Memory of each member, in MiB.
    pub memory_mb: u32,
    /// Accelerators of each member.
    #[serde(default)]
    pub accelerators: u32,
    /// Number of members, which start together.
    #[serde(default = "one")]
    pub members: u16,
    /// Scheduling urgency.
    #[serde(default)]
    pub urgency: model::Urgency,
    /// Time within which the task must start, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the task may be executed more than once.
    pub repeatable: bool,
    /// Idempotency key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Expected run time, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub declared_run_ms: Option<u64>,
    /// Whether to wait for the result.
    #[serde(default = "yes")]
    pub wait: bool,
    /// Body for the worker.
    pub body: Box<value::RawValue>,
}

fn one() -> u16 {
    1
}

fn yes() -> bool {
    true
}
