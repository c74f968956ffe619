//! HTTP client for instances, with a pool of persistent connections.

use std::net;
use std::sync;
use std::time;

use http_body_util::BodyExt as _;
use hyper_util::client::legacy;
use hyper_util::rt;

use crate::answer;
use crate::verify;

/// Interval between polls for the outcome of an accepted task.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Maximum size of a response body, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

type Body = http_body_util::Full<bytes::Bytes>;

/// A serialised request and what is needed to check its answer.
#[derive(Clone, Debug)]
pub(crate) struct Prepared {
    pub(crate) instance: usize,
    pub(crate) token: String,
    pub(crate) kind: String,
    pub(crate) members: u16,
    /// Whether to wait for the outcome, by polling if the task is only accepted.
    pub(crate) wait: bool,
    /// The task's body, exactly as in `json`.
    pub(crate) body: String,
    pub(crate) json: Vec<u8>,
    /// Time allowed for the outcome.
    pub(crate) timeout: time::Duration,
}

/// An answer and the result of its verification.
#[derive(Clone, Debug)]
pub(crate) struct Judged {
    pub(crate) verdict: verify::Verdict,
    pub(crate) answer: answer::TaskAnswer,
}

struct Reply {
    status: http::StatusCode,
    answer: answer::TaskAnswer,
}

/// Sends tasks to instances, with a limited number of connections to each.
#[derive(Clone, Debug)]
pub struct Client {
    http: legacy::Client<legacy::connect::HttpConnector, Body>,
    instances: sync::Arc<[Target]>,
}

#[derive(Debug)]
struct Target {
    address: net::SocketAddr,
    connections: tokio::sync::Semaphore,
}

impl Client {
    /// Creates a client for `instances` that opens at most `connections` to each.
    #[must_use]
    pub fn new(instances: &[net::SocketAddr], connections: usize) -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        let http = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_timer(rt::TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(connections)
            .build(connector);
        let targets = instances.iter().map(|address| Target {
            address: *address,
            connections: tokio::sync::Semaphore::new(connections),
        });
        Self {
            http,
            instances: targets.collect(),
        }
    }

    /// Submits a task and verifies its answer.
    pub(crate) async fn submit(&self, prepared: &Prepared) -> Judged {
        match tokio::time::timeout(prepared.timeout, self.settle(prepared)).await {
            Ok(Ok(reply)) => Judged {
                verdict: verify::verify(
                    &prepared.kind,
                    &prepared.body,
                    prepared.members,
                    reply.status,
                    &reply.answer,
                ),
                answer: reply.answer,
            },
            Ok(Err(why)) => missing(why),
            Err(_) => missing("timed out".to_owned()),
        }
    }

    /// Cancels an accepted task; a failure is only logged, as the answer itself was valid.
    pub(crate) async fn cancel(&self, prepared: &Prepared, task_id: &str) {
        let target = &self.instances[prepared.instance % self.instances.len()];
        let path = format!("/v1/tasks/{task_id}");
        let call = self.call(target, http::Method::DELETE, &path, prepared, Vec::new());
        if !matches!(
            tokio::time::timeout(prepared.timeout, call).await,
            Ok(Ok(_))
        ) {
            log::warn!("event=cancel_failed task_id={task_id}");
        }
    }

    async fn settle(&self, prepared: &Prepared) -> Result<Reply, String> {
        let target = &self.instances[prepared.instance % self.instances.len()];
        let json = prepared.json.clone();
        let mut reply = self
            .call(target, http::Method::POST, "/v1/tasks", prepared, json)
            .await?;
        let path = format!("/v1/tasks/{}", reply.answer.task_id);
        while prepared.wait && reply.status == http::StatusCode::ACCEPTED {
            tokio::time::sleep(POLL_INTERVAL).await;
            reply = self
                .call(target, http::Method::GET, &path, prepared, Vec::new())
                .await?;
        }
        Ok(reply)
    }

    async fn call(
        &self,
        target: &Target,
        method: http::Method,
        path: &str,
        prepared: &Prepared,
        json: Vec<u8>,
    ) -> Result<Reply, String> {
        let permit = target.connections.acquire().await;
        let _permit = permit.map_err(|cause| cause.to_string())?;
        let request = http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", target.address))
            .header(http::header::CONTENT_TYPE, "application/json")
            .header(
                http::header::AUTHORIZATION,
                format!("Bearer {}", prepared.token),
            )
            .body(Body::from(json))
            .map_err(|cause| cause.to_string())?;
        let response = self.http.request(request).await;
        let response = response.map_err(|cause| describe(&cause))?;
        let status = response.status();
        let body = http_body_util::Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let collected = body.collect().await.map_err(|cause| cause.to_string())?;
        let answer = parse(status, &collected.to_bytes());
        Ok(Reply { status, answer })
    }
}

/// Parses `body`; for an invalid body, returns an answer whose outcome says so.
fn parse(status: http::StatusCode, body: &[u8]) -> answer::TaskAnswer {
    serde_json::from_slice(body).unwrap_or_else(|_| answer::TaskAnswer {
        outcome: format!("invalid response body with status {status}"),
        ..answer::TaskAnswer::default()
    })
}

fn describe(cause: &legacy::Error) -> String {
    if cause.is_connect() {
        "cannot connect".to_owned()
    } else {
        "connection lost".to_owned()
    }
}

fn missing(why: String) -> Judged {
    Judged {
        verdict: verify::Verdict::Missing(why),
        answer: answer::TaskAnswer::default(),
    }
}
