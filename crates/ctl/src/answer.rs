//! Answers of the callers' API.

use crate::error;
use crate::report;

/// Exit code of a task that did not run, or that ran and did not succeed.
const NOT_SUCCEEDED_EXIT_CODE: u8 = 1;

/// Answer to a submission, look-up or cancellation of a task.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TaskAnswer {
    /// ID of the task, if one was assigned.
    pub task_id: Option<String>,
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

impl report::Report for TaskAnswer {
    fn table(&self) -> String {
        let optional = [
            ("task_id", self.task_id.clone()),
            ("outcome", Some(self.outcome.clone())),
            ("reason", self.reason.clone()),
            ("succeeded", self.succeeded.map(|it| it.to_string())),
            ("waited_ms", self.waited_ms.map(|it| it.to_string())),
            ("run_ms", self.run_ms.map(|it| it.to_string())),
            ("attempts", self.attempts.map(|it| it.to_string())),
            (
                "retry_after_ms",
                self.retry_after_ms.map(|it| it.to_string()),
            ),
        ];
        let known = optional.into_iter();
        let known = known.filter_map(|(name, value)| Some(format!("{name}: {}\n", value?)));
        let mut text: String = known.collect();
        for output in self.outputs.iter().flatten() {
            text.push_str(&format!("output: {output}\n"));
        }
        text
    }

    fn exit_code(&self) -> u8 {
        match (self.outcome.as_str(), self.succeeded) {
            ("queued" | "running", _) | ("done", Some(true)) => 0,
            ("unknown", _) => error::ErrorKind::Unknown.exit_code(),
            _ => NOT_SUCCEEDED_EXIT_CODE,
        }
    }
}

/// Body of an error answer.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize)]
pub(crate) struct ErrorAnswer {
    /// Name of the error.
    pub(crate) error: String,
    /// Name of the first invalid field, if the error is about fields.
    pub(crate) field: Option<String>,
    /// What was expected of that field.
    pub(crate) expected: Option<String>,
    /// Every invalid field; empty if the error is not about fields.
    #[serde(default)]
    pub(crate) findings: Vec<FieldFinding>,
}

/// One invalid field.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize)]
pub(crate) struct FieldFinding {
    /// Name of the field; empty for the request as a whole.
    pub(crate) field: String,
    /// What was expected.
    pub(crate) expected: String,
}

impl ErrorAnswer {
    pub(crate) fn describe(&self) -> String {
        let mut text = self.error.clone();
        for finding in &self.findings {
            let field = match finding.field.as_str() {
                "" => "request",
                field => field,
            };
            text.push_str(&format!("\n{field}: expected {}", finding.expected));
        }
        if let (true, Some(expected)) = (self.findings.is_empty(), &self.expected) {
            let field = self.field.as_deref().unwrap_or("request");
            text.push_str(&format!("\n{field}: expected {expected}"));
        }
        text
    }
}
