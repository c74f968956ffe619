//! Sends the requests of a samples file and reports each outcome.

use std::fmt::Write as _;
use std::net;
use std::sync;
use std::time;

use indexmap::IndexMap;
use serde::Deserialize;
use tokio::task;

use crate::client;
use crate::error;
use crate::request;
use crate::verify;

/// Time allowed for an answer in addition to the request's deadline.
const OUTCOME_MARGIN: time::Duration = time::Duration::from_secs(60);

/// One line of a samples file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sample {
    /// Customer that submits it.
    pub customer: String,
    /// The submission.
    pub request: request::TaskRequest,
}

/// Parses samples, one JSON object per line; blank lines are ignored.
///
/// # Errors
///
/// Returns an error with the number and the cause of every invalid line, or if there is no sample.
pub fn parse_samples(file_name: &str, text: &str) -> Result<Vec<Sample>, error::Error> {
    let mut samples = Vec::new();
    let mut findings = Vec::new();
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        match serde_json::from_str(line) {
            Ok(sample) => samples.push(sample),
            Err(cause) => findings.push(format!("{file_name}:{}: {cause}", index + 1)),
        }
    }
    if !findings.is_empty() {
        return Err(error::Error::file(findings.join("\n")));
    }
    if samples.is_empty() {
        let context = format!("{file_name}: no samples, expected one JSON object per line");
        return Err(error::Error::file(context));
    }
    Ok(samples)
}

/// Report of a replay.
#[derive(Clone, Debug)]
pub struct ReplayReport {
    /// One line per sample, and a summary.
    pub text: String,
    /// Whether every sample had a valid answer.
    pub all_valid: bool,
}

/// Sends `samples` to the instances in round-robin order, with at most `max_in_flight` in flight.
///
/// The token of a customer that is not in `tokens` is `CUSTOMER-token`.
pub async fn replay(
    samples: Vec<Sample>,
    instances: &[net::SocketAddr],
    tokens: &IndexMap<String, String>,
    max_in_flight: usize,
) -> ReplayReport {
    let client = client::Client::new(instances, max_in_flight);
    let in_flight = sync::Arc::new(tokio::sync::Semaphore::new(max_in_flight));
    let mut requests = task::JoinSet::new();
    let count = samples.len();
    for (number, sample) in samples.into_iter().enumerate() {
        let token = tokens.get(&sample.customer).cloned();
        let token = token.unwrap_or_else(|| format!("{}-token", sample.customer));
        let (client, in_flight) = (client.clone(), sync::Arc::clone(&in_flight));
        requests.spawn(async move {
            let _permit = in_flight.acquire_owned().await;
            (number, run_sample(&client, number, sample, token).await)
        });
    }
    let mut results = vec![None; count];
    while let Some(joined) = requests.join_next().await {
        if let Ok((number, result)) = joined {
            results[number] = Some(result);
        }
    }
    build_report(results)
}

/// Result of one sample.
#[derive(Clone, Debug)]
struct SampleResult {
    customer: String,
    kind: String,
    verdict: verify::Verdict,
    waited_ms: Option<u64>,
    run_ms: Option<u64>,
    latency: time::Duration,
}

async fn run_sample(
    client: &client::Client,
    number: usize,
    sample: Sample,
    token: String,
) -> SampleResult {
    let start = tokio::time::Instant::now();
    let request = sample.request;
    let deadline = time::Duration::from_millis(request.deadline_ms);
    let prepared = client::PreparedRequest {
        instance: number,
        token,
        kind: request.kind.clone(),
        members: request.members,
        wait: request.wait,
        body: request.body.get().to_owned(),
        json: serde_json::to_vec(&request).unwrap_or_default(),
        timeout: deadline + OUTCOME_MARGIN,
    };
    let verified = client.submit(&prepared).await;
    SampleResult {
        customer: sample.customer,
        kind: request.kind,
        verdict: verified.verdict,
        waited_ms: verified.answer.waited_ms,
        run_ms: verified.answer.run_ms,
        latency: start.elapsed(),
    }
}

fn build_report(results: Vec<Option<SampleResult>>) -> ReplayReport {
    let mut text = String::new();
    let mut outcomes: IndexMap<String, u64> = IndexMap::new();
    let mut waits_ms = Vec::new();
    let mut all_valid = true;
    for (index, result) in results.into_iter().enumerate() {
        let number = index + 1;
        let Some(result) = result else {
            let _ = writeln!(
                text,
                "{number:>4} missing: the request ended without a result"
            );
            *outcomes.entry("missing".to_owned()).or_default() += 1;
            all_valid = false;
            continue;
        };
        all_valid &= result.verdict.is_valid();
        let outcome = format_verdict(&result.verdict);
        let _ = writeln!(text, "{number:>4} {}", format_result(&result, &outcome));
        *outcomes.entry(outcome).or_default() += 1;
        waits_ms.extend(result.waited_ms);
    }
    text += &format_summary(&outcomes, waits_ms);
    ReplayReport { text, all_valid }
}

fn format_result(result: &SampleResult, outcome: &str) -> String {
    let time = |value: Option<u64>| value.map_or_else(|| "-".to_owned(), |ms| ms.to_string());
    format!(
        "{:<18} {:<18} {outcome} waited_ms={} run_ms={} total_ms={}",
        result.customer,
        result.kind,
        time(result.waited_ms),
        time(result.run_ms),
        result.latency.as_millis()
    )
}

fn format_summary(outcomes: &IndexMap<String, u64>, mut waits_ms: Vec<u64>) -> String {
    waits_ms.sort_unstable();
    let mut text = String::from("\n");
    for (outcome, count) in outcomes {
        let _ = writeln!(text, "{count:>6} {outcome}");
    }
    if let (Some(median), Some(longest)) = (waits_ms.get(waits_ms.len() / 2), waits_ms.last()) {
        let _ = writeln!(text, "waited: median {median} ms, longest {longest} ms");
    }
    text
}

fn format_verdict(verdict: &verify::Verdict) -> String {
    match verdict {
        verify::Verdict::Done => "done".to_owned(),
        verify::Verdict::Accepted => "accepted".to_owned(),
        verify::Verdict::NotRun(reason) => format!("not_run: {reason}"),
        verify::Verdict::Unknown(reason) => format!("unknown: {reason}"),
        verify::Verdict::Wrong(cause) => format!("wrong: {cause}"),
        verify::Verdict::Missing(cause) => format!("missing: {cause}"),
    }
}
