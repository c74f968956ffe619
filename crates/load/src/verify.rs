//! Compares an answer with the output that the stand-in worker must have produced.

use std::fmt::Write as _;

use serde::Deserialize;
use sha2::Digest as _;

use crate::answer;

/// Result of verifying an answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// Done, with exactly the expected outputs.
    Done,
    /// Accepted, without waiting for the outcome.
    Accepted,
    /// Not run, for this reason.
    NotRun(model::NotRunReason),
    /// Outcome unknown, for this reason.
    Unknown(model::UnknownReason),
    /// The answer is not valid for the request.
    Wrong(String),
    /// There was no answer.
    Missing(String),
}

impl Verdict {
    /// Returns whether there was an answer that is valid for the request.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        !matches!(self, Self::Wrong(_) | Self::Missing(_))
    }
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Work {
    output_bytes: usize,
    fail: bool,
}

/// Returns the output that the stand-in worker produces for `body`, byte for byte as sent.
#[must_use]
pub fn expected_output(kind: &str, body: &str) -> String {
    let work: Work = serde_json::from_str(body).unwrap_or_default();
    let mut output = format!("{kind}:");
    for byte in sha2::Sha256::digest(body.as_bytes()) {
        let _ = write!(output, "{byte:02x}");
    }
    let padding = work.output_bytes.saturating_sub(output.len());
    output.extend(std::iter::repeat_n('.', padding));
    output
}

/// Verifies the answer to a request of `kind` with `body` and `members`.
#[must_use]
pub fn verify(
    kind: &str,
    body: &str,
    members: u16,
    status: http::StatusCode,
    answer: &answer::TaskAnswer,
) -> Verdict {
    let reason = answer.reason.as_deref();
    match (answer.outcome.as_str(), status.as_u16()) {
        ("done", 200) => verify_done(kind, body, members, answer),
        ("queued" | "running", 202) => Verdict::Accepted,
        ("unknown", 504) => find_reason(
            model::UnknownReason::ALL,
            reason,
            model::UnknownReason::as_str,
        )
        .map_or_else(
            || wrong("outcome unknown without a valid reason"),
            Verdict::Unknown,
        ),
        ("not_run", 410 | 422 | 429 | 503) => find_reason(
            model::NotRunReason::ALL,
            reason,
            model::NotRunReason::as_str,
        )
        .map_or_else(|| wrong("not run without a valid reason"), Verdict::NotRun),
        (outcome, status) => wrong(&format!("outcome '{outcome}' with status {status}")),
    }
}

fn verify_done(kind: &str, body: &str, members: u16, answer: &answer::TaskAnswer) -> Verdict {
    let work: Work = serde_json::from_str(body).unwrap_or_default();
    if answer.succeeded != Some(!work.fail) {
        return wrong("`succeeded` does not match `fail` in the body of the request");
    }
    let Some(outputs) = &answer.outputs else {
        return wrong("done without outputs");
    };
    if outputs.len() != usize::from(members) {
        return wrong(&format!("{} outputs for {members} members", outputs.len()));
    }
    let expected = expected_output(kind, body);
    if outputs.iter().any(|output| *output != expected) {
        return wrong("an output differs from the expected one");
    }
    Verdict::Done
}

fn wrong(why: &str) -> Verdict {
    Verdict::Wrong(why.to_owned())
}

fn find_reason<R: Copy>(
    all: &[R],
    name: Option<&str>,
    name_of: fn(R) -> &'static str,
) -> Option<R> {
    let mut all = all.iter().copied();
    all.find(|reason| Some(name_of(*reason)) == name)
}
