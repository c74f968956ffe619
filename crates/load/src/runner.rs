//! Sends the requests of an experiment at their intended times.

use std::sync;
use std::time;

use tokio::task;

use crate::arrivals;
use crate::client;
use crate::experiment;
use crate::request;
use crate::stats;
use crate::verify;

/// Maximum number of requests in flight; further requests are not sent and count as missing.
const MAX_IN_FLIGHT: usize = 100_000;

/// Runs an experiment; `run_id` makes its idempotency keys differ from those of other runs.
pub async fn run(experiment: &experiment::Experiment, run_id: u64) -> stats::Results {
    let client = client::Client::new(&experiment.instances, experiment.connections);
    let mut results = stats::Results::new(experiment);
    let mut requests = task::JoinSet::new();
    let kinds: sync::Arc<[experiment::Kind]> = experiment.kinds.clone().into();
    let start = tokio::time::Instant::now();
    for (number, arrival) in arrivals::Arrivals::new(experiment).enumerate() {
        let send_at = start + arrival.at;
        record_until(send_at, &mut requests, &mut results).await;
        if requests.len() >= MAX_IN_FLIGHT {
            results.record(&not_sent(arrival.kind));
            continue;
        }
        let scheduled = ScheduledRequest {
            number,
            run_id,
            arrival,
            timeout: experiment.timeout,
        };
        let (client, kinds) = (client.clone(), sync::Arc::clone(&kinds));
        requests.spawn(async move {
            run_request(&client, &kinds[arrival.kind], scheduled, send_at).await
        });
    }
    while let Some(joined) = requests.join_next().await {
        record(joined, &mut results);
    }
    results
}

/// Parameters of one request.
#[derive(Clone, Copy)]
struct ScheduledRequest {
    number: usize,
    run_id: u64,
    arrival: arrivals::Arrival,
    timeout: time::Duration,
}

/// Records the results of finished requests until `moment`.
async fn record_until(
    moment: tokio::time::Instant,
    requests: &mut task::JoinSet<stats::Observation>,
    results: &mut stats::Results,
) {
    loop {
        tokio::select! {
            biased;
            () = tokio::time::sleep_until(moment) => return,
            Some(joined) = requests.join_next() => record(joined, results),
        }
    }
}

fn record(joined: Result<stats::Observation, task::JoinError>, results: &mut stats::Results) {
    match joined {
        Ok(observation) => results.record(&observation),
        Err(cause) => results
            .notes
            .push(format!("a request ended without a result: {cause}")),
    }
}

async fn run_request(
    client: &client::Client,
    kind: &experiment::Kind,
    scheduled: ScheduledRequest,
    send_at: tokio::time::Instant,
) -> stats::Observation {
    let Some(prepared) = prepare(kind, scheduled) else {
        return not_sent(scheduled.arrival.kind);
    };
    let verified = client.submit(&prepared).await;
    let latency = send_at.elapsed();
    if verified.verdict == verify::Verdict::Accepted {
        // A service runs until it is cancelled, so it is cancelled after its run time.
        tokio::time::sleep(time::Duration::from_millis(scheduled.arrival.run_ms)).await;
        client.cancel(&prepared, &verified.answer.task_id).await;
    }
    stats::Observation {
        kind: scheduled.arrival.kind,
        verdict: verified.verdict,
        latency,
        waited_ms: verified.answer.waited_ms,
    }
}

fn prepare(
    kind: &experiment::Kind,
    scheduled: ScheduledRequest,
) -> Option<client::PreparedRequest> {
    let run_ms = scheduled.arrival.run_ms;
    // The number makes every body, and therefore every expected output, unique.
    let body = format!(
        r#"{{"number":{},"run":{},"run_ms":{run_ms},"output_bytes":{}}}"#,
        scheduled.number, scheduled.run_id, kind.output_bytes
    );
    let wait = kind.class != model::Class::Service;
    let request = request::TaskRequest {
        kind: kind.kind.clone(),
        class: kind.class,
        processors_milli: kind.processors_milli,
        memory_mb: kind.memory_mb,
        accelerators: 0,
        members: kind.members,
        urgency: kind.urgency,
        deadline_ms: kind.deadline_ms,
        repeatable: kind.repeatable,
        key: (!kind.repeatable)
            .then(|| format!("load-{:x}-{}", scheduled.run_id, scheduled.number)),
        declared_run_ms: Some(kind.run_ms),
        wait,
        body: serde_json::value::RawValue::from_string(body.clone()).ok()?,
    };
    let outcome_limit_ms = kind.deadline_ms + run_ms;
    Some(client::PreparedRequest {
        instance: scheduled.number,
        token: kind.token.clone(),
        kind: kind.kind.clone(),
        members: kind.members,
        wait,
        body,
        json: serde_json::to_vec(&request).ok()?,
        timeout: time::Duration::from_millis(outcome_limit_ms) + scheduled.timeout,
    })
}

fn not_sent(kind: usize) -> stats::Observation {
    stats::Observation {
        kind,
        verdict: verify::Verdict::Missing("not sent: too many requests in flight".to_owned()),
        latency: time::Duration::ZERO,
        waited_ms: None,
    }
}
