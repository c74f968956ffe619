//! Answers to callers: status codes and JSON bodies.

use axum::response::IntoResponse;
use http::StatusCode;
use http::header;
use serde::Serialize;

use crate::api::request;

/// Body of an answer about a task.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TaskAnswer {
    /// The task's id.
    pub task_id: String,
    /// `done`, `not_run`, `unknown`, `queued` or `running`.
    pub outcome: &'static str,
    /// Why the task did not run, or why its outcome is unknown.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<&'static str>,
    /// Whether the task itself reported success.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub succeeded: Option<bool>,
    /// Output of each member.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outputs: Option<Vec<String>>,
    /// Time from acceptance to start, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub waited_ms: Option<u64>,
    /// Longest run time of a member, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub run_ms: Option<u64>,
    /// Number of attempts to run the task.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempts: Option<u32>,
    /// Delay after which to retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Body of an error answer.
#[derive(Clone, Debug, Serialize)]
struct ErrorAnswer<'a> {
    error: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    field: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    expected: Option<&'a str>,
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    findings: Vec<Finding<'a>>,
}

#[derive(Clone, Debug, Serialize)]
struct Finding<'a> {
    field: &'a str,
    expected: &'a str,
}

const MILLIS_PER_SECOND: u64 = 1000;
/// Delay after which a caller should retry that was refused for lack of memory, in seconds: stalled
/// bodies give way within 300 ms, requests in flight within a few seconds.
const OVERLOAD_RETRY_S: u64 = 1;
/// Delay after which a caller should retry whose request may have waited while the instance stood still,
/// in seconds: the instance serves again, and others have all along.
const AGE_UNKNOWN_RETRY_S: u64 = 1;

/// Returns the answer to a lookup or a cancellation.
#[must_use]
pub fn status(task_id: model::TaskId, status: model::TaskStatus) -> axum::response::Response {
    match status {
        model::TaskStatus::Queued => progress(task_id, "queued"),
        model::TaskStatus::Running => progress(task_id, "running"),
        model::TaskStatus::Settled(outcome) => settled(task_id, outcome, None),
        model::TaskStatus::NotFound => error(StatusCode::NOT_FOUND, "not_found"),
    }
}

/// Returns the answer to a submission.
#[must_use]
pub fn submission(task_id: model::TaskId, reply: model::SubmitReply) -> axum::response::Response {
    match reply {
        model::SubmitReply::Settled(outcome) => settled(task_id, outcome, None),
        model::SubmitReply::Accepted => progress(task_id, "queued"),
        model::SubmitReply::KeyConflict => error(StatusCode::UNPROCESSABLE_ENTITY, "key_conflict"),
        model::SubmitReply::RetryLater {
            reason,
            retry_after_ms,
        } => {
            let outcome = model::Outcome::NotRun(reason);
            settled(task_id, outcome, Some(retry_after_ms))
        }
    }
}

/// Returns an error answer without findings.
#[must_use]
pub fn error(status: StatusCode, error: &str) -> axum::response::Response {
    let body = ErrorAnswer {
        error,
        field: None,
        expected: None,
        findings: Vec::new(),
    };
    (status, axum::Json(body)).into_response()
}

/// Returns the answer to a request that was refused, before it was passed on, for lack of memory.
#[must_use]
pub fn overloaded() -> axum::response::Response {
    let mut response = error(StatusCode::TOO_MANY_REQUESTS, "overloaded");
    let headers = response.headers_mut();
    headers.insert(header::RETRY_AFTER, OVERLOAD_RETRY_S.into());
    response
}

/// Returns the answer to a request that may have waited while the instance stood still.
#[must_use]
pub fn age_unknown() -> axum::response::Response {
    let mut response = error(StatusCode::SERVICE_UNAVAILABLE, "age_unknown");
    let headers = response.headers_mut();
    headers.insert(header::RETRY_AFTER, AGE_UNKNOWN_RETRY_S.into());
    response
}

/// Returns the answer to an invalid request, with every finding.
#[must_use]
pub fn findings(errors: &[request::FieldError]) -> axum::response::Response {
    let findings: Vec<_> = errors
        .iter()
        .map(|e| Finding {
            field: &e.field,
            expected: &e.expected,
        })
        .collect();
    let body = ErrorAnswer {
        error: "bad_request",
        field: errors.first().map(|e| e.field.as_str()),
        expected: errors.first().map(|e| e.expected.as_str()),
        findings,
    };
    (StatusCode::BAD_REQUEST, axum::Json(body)).into_response()
}

fn progress(task_id: model::TaskId, outcome: &'static str) -> axum::response::Response {
    let body = TaskAnswer {
        task_id: task_id.to_string(),
        outcome,
        ..TaskAnswer::default()
    };
    (StatusCode::ACCEPTED, axum::Json(body)).into_response()
}

fn settled(
    task_id: model::TaskId,
    outcome: model::Outcome,
    retry_after_ms: Option<u64>,
) -> axum::response::Response {
    let task_id = task_id.to_string();
    let (status, body) = match outcome {
        model::Outcome::Done(result) => (StatusCode::OK, done(task_id, result)),
        model::Outcome::NotRun(reason) => {
            let body = TaskAnswer {
                task_id,
                outcome: "not_run",
                reason: Some(reason.as_str()),
                retry_after_ms,
                ..TaskAnswer::default()
            };
            (not_run_status(reason), body)
        }
        model::Outcome::Unknown(reason) => {
            let body = TaskAnswer {
                task_id,
                outcome: "unknown",
                reason: Some(reason.as_str()),
                ..TaskAnswer::default()
            };
            (StatusCode::GATEWAY_TIMEOUT, body)
        }
    };
    let mut response = (status, axum::Json(body)).into_response();
    if let Some(wait_ms) = retry_after_ms {
        let seconds = wait_ms.div_ceil(MILLIS_PER_SECOND);
        let headers = response.headers_mut();
        headers.insert(header::RETRY_AFTER, seconds.into());
    }
    response
}

fn done(task_id: String, result: model::TaskResult) -> TaskAnswer {
    TaskAnswer {
        task_id,
        outcome: "done",
        succeeded: Some(result.succeeded),
        outputs: Some(result.outputs),
        waited_ms: Some(result.waited_ms),
        run_ms: Some(result.run_ms),
        attempts: Some(result.attempts),
        ..TaskAnswer::default()
    }
}

/// Returns the status code of a task that has not run.
#[must_use]
pub fn not_run_status(reason: model::NotRunReason) -> StatusCode {
    use model::NotRunReason as Reason;
    match reason {
        Reason::Cancelled => StatusCode::GONE,
        Reason::NeverFits | Reason::ExceedsPlanLimit | Reason::ClassNotAllowed => {
            StatusCode::UNPROCESSABLE_ENTITY
        }
        Reason::RateLimited
        | Reason::QueueFull
        | Reason::CannotStartInTime
        | Reason::InstanceOverloaded => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
