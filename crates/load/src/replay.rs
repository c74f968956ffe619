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
const RUN_ALLOWANCE: time::Duration = time::Duration::from_secs(60);

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
pub struct Replayed {
    /// One line per sample, and a summary.
    pub text: String,
    /// Whether every sample had a valid answer.
    pub is_sound: bool,
}

/// Sends `samples` to the instances in round-robin order, with at most `at_once` in flight.
///
/// The token of a customer that is not in `tokens` is `CUSTOMER-token`.
pub async fn replay(
    samples: Vec<Sample>,
    instances: &[net::SocketAddr],
    tokens: &IndexMap<String, String>,
    at_once: usize,
) -> Replayed {
    let client = client::Client::new(instances, at_once);
    let limit = sync::Arc::new(tokio::sync::Semaphore::new(at_once));
    let mut requests = task::JoinSet::new();
    let count = samples.len();
    for (number, sample) in samples.into_iter().enumerate() {
        let token = tokens.get(&sample.customer).cloned();
        let token = token.unwrap_or_else(|| format!("{}-token", sample.customer));
        let (client, limit) = (client.clone(), sync::Arc::clone(&limit));
        requests.spawn(async move {
            let _permit = limit.acquire_owned().await;
            (number, send(&client, number, sample, token).await)
        });
    }
    let mut lines = vec![None; count];
    while let Some(joined) = requests.join_next().await {
        if let Ok((number, line)) = joined {
            lines[number] = Some(line);
        }
    }
    summarize(lines)
}

/// Result of one sample.
#[derive(Clone, Debug)]
struct Line {
    customer: String,
    kind: String,
    verdict: verify::Verdict,
    waited_ms: Option<u64>,
    run_ms: Option<u64>,
    latency: time::Duration,
}

async fn send(client: &client::Client, number: usize, sample: Sample, token: String) -> Line {
    let start = tokio::time::Instant::now();
    let request = sample.request;
    let deadline = time::Duration::from_millis(request.deadline_ms);
    let prepared = client::Prepared {
        instance: number,
        token,
        kind: request.kind.clone(),
        members: request.members,
        wait: request.wait,
        body: request.body.get().to_owned(),
        json: serde_json::to_vec(&request).unwrap_or_default(),
        timeout: deadline + RUN_ALLOWANCE,
    };
    let judged = client.submit(&prepared).await;
    Line {
        customer: sample.customer,
        kind: request.kind,
        verdict: judged.verdict,
        waited_ms: judged.answer.waited_ms,
        run_ms: judged.answer.run_ms,
        latency: start.elapsed(),
    }
}

fn summarize(lines: Vec<Option<Line>>) -> Replayed {
    let mut text = String::new();
    let mut outcomes: IndexMap<String, u64> = IndexMap::new();
    let mut waits_ms = Vec::new();
    let mut is_sound = true;
    for (index, line) in lines.into_iter().enumerate() {
        let number = index + 1;
        let Some(line) = line else {
            let _ = writeln!(text, "{number:>4} missing: its task failed");
            *outcomes.entry("missing".to_owned()).or_default() += 1;
            is_sound = false;
            continue;
        };
        is_sound &= line.verdict.is_sound();
        let outcome = describe(&line.verdict);
        let _ = writeln!(text, "{number:>4} {}", print(&line, &outcome));
        *outcomes.entry(outcome).or_default() += 1;
        waits_ms.extend(line.waited_ms);
    }
    text += &summary(&outcomes, waits_ms);
    Replayed { text, is_sound }
}

fn print(line: &Line, outcome: &str) -> String {
    let time = |value: Option<u64>| value.map_or_else(|| "-".to_owned(), |ms| ms.to_string());
    format!(
        "{:<18} {:<18} {outcome} waited_ms={} run_ms={} total_ms={}",
        line.customer,
        line.kind,
        time(line.waited_ms),
        time(line.run_ms),
        line.latency.as_millis()
    )
}

fn summary(outcomes: &IndexMap<String, u64>, mut waits_ms: Vec<u64>) -> String {
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

fn describe(verdict: &verify::Verdict) -> String {
    match verdict {
        verify::Verdict::Done => "done".to_owned(),
        verify::Verdict::Accepted => "accepted".to_owned(),
        verify::Verdict::NotRun(reason) => format!("not_run: {reason}"),
        verify::Verdict::Unknown(reason) => format!("unknown: {reason}"),
        verify::Verdict::Wrong(why) => format!("wrong: {why}"),
        verify::Verdict::Missing(why) => format!("missing: {why}"),
    }
}
