//! Tasks as callers submit them.

use std::sync;

use serde::Deserialize;
use serde::Serialize;

use crate::capacity;
use crate::ids;

/// The scheduling class of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Runs until it is cancelled, and is restarted when it is lost.
    Service,
    /// Runs once to its end.
    Batch,
    /// Runs once, with all members started together.
    Gang,
}

/// Priority of a task within its plan.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Ahead of every normal task of the same plan.
    Urgent,
    /// In order of arrival.
    #[default]
    Normal,
}

/// The task as specified by the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSpec {
    /// Kind of work, such as `badge-form`; run times are predicted for each customer and kind.
    pub kind: sync::Arc<str>,
    /// Scheduling class.
    pub class: Class,
    /// Resources of each member.
    pub demand: capacity::Demand,
    /// Members that start together; 1 unless the class is [`Class::Gang`].
    pub members: u16,
    /// Urgency within the plan.
    pub urgency: Urgency,
    /// Time from acceptance within which the task must have started, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the task may be executed more than once.
    pub repeatable: bool,
    /// Idempotency key, unique to the customer; always present when `repeatable` is false.
    pub key: Option<String>,
    /// Run time that the caller expects, in milliseconds.
    pub declared_run_ms: Option<u64>,
    /// JSON text handed to the worker.
    pub body: sync::Arc<str>,
}

/// An accepted task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// The task's id.
    pub task_id: ids::TaskId,
    /// Customer that submitted it.
    pub customer_id: ids::CustomerId,
    /// Plan it is charged to.
    pub plan_id: ids::PlanId,
    /// Region of the customer.
    pub region: ids::Region,
    /// Specification from the caller.
    pub spec: sync::Arc<TaskSpec>,
    /// Whether the caller waits for the result on its connection.
    pub wait: bool,
}
