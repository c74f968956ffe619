//! A task as callers submit it.

use serde::Deserialize;
use serde::Serialize;
use serde_json::value;

/// Body of a submission; the work itself is kept as the text that was written.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskRequest {
    /// Kind of work.
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
    /// Members that start together.
    #[serde(default = "one")]
    pub members: u16,
    /// Urgency.
    #[serde(default)]
    pub urgency: model::Urgency,
    /// Time within which it must have started, in milliseconds.
    pub deadline_ms: u64,
    /// Whether it may be executed more than once.
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
    /// The work.
    pub body: Box<value::RawValue>,
}

fn one() -> u16 {
    1
}

fn yes() -> bool {
    true
}
