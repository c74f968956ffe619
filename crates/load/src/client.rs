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
pub(crate) struct PreparedRequest {
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
pub(crate) struct VerifiedAnswer {
    pub(crate) verdict: verify::Verdict,
    pub(crate) answer: answer::TaskAnswer,
}

struct Response {
    status: http::StatusCode,
    answer: answer::TaskAnswer,
}

/// Sends tasks to instances, with a limited number of connections to each.
#[derive(Clone, Debug)]
pub struct Client {
    http: legacy::Client<legacy::connect::HttpConnector, Body>,
    instances: sync::Arc<[Instance]>,
}

#[derive(Debug)]
struct Instance {
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
        let instances = instances.iter().map(|address| Instance {
            address: *address,
            connections: tokio::sync::Semaphore::new(connections),
        });
        Self {
            http,
            instances: instances.collect(),
        }
    }

    /// Submits a task and verifies its answer.
    pub(crate) async fn submit(&self, prepared: &PreparedRequest) -> VerifiedAnswer {
        match tokio::time::timeout(prepared.timeout, self.await_outcome(prepared)).await {
            Ok(Ok(response)) => VerifiedAnswer {
                verdict: verify::verify(
                    &prepared.kind,
                    &prepared.body,
                    prepared.members,
                    response.status,
                    &response.answer,
                ),
                answer: response.answer,
            },
            Ok(Err(cause)) => missing_answer(cause),
            Err(_) => missing_answer("timed out".to_owned()),
        }
    }

    /// Cancels an accepted task; a failure is only logged, as the answer itself was valid.
    pub(crate) async fn cancel(&self, prepared: &PreparedRequest, task_id: &str) {
        let instance = &self.instances[prepared.instance % self.instances.len()];
        let path = format!("/v1/tasks/{task_id}");
        let cancelled = self.send(instance, http::Method::DELETE, &path, prepared, Vec::new());
        if !matches!(
            tokio::time::timeout(prepared.timeout, cancelled).await,
            Ok(Ok(_))
        ) {
            log::warn!("event=cancel_failed task_id={task_id}");
        }
    }

    async fn await_outcome(&self, prepared: &PreparedRequest) -> Result<Response, String> {
        let instance = &self.instances[prepared.instance % self.instances.len()];
        let json = prepared.json.clone();
        let mut response = self
            .send(instance, http::Method::POST, "/v1/tasks", prepared, json)
            .await?;
        let path = format!("/v1/tasks/{}", response.answer.task_id);
        while prepared.wait && response.status == http::StatusCode::ACCEPTED {
            tokio::time::sleep(POLL_INTERVAL).await;
            response = self
                .send(instance, http::Method::GET, &path, prepared, Vec::new())
                .await?;
        }
        Ok(response)
    }

    async fn send(
        &self,
        instance: &Instance,
        method: http::Method,
        path: &str,
        prepared: &PreparedRequest,
        json: Vec<u8>,
    ) -> Result<Response, String> {
        let permit = instance.connections.acquire().await;
        let _permit = permit.map_err(|cause| cause.to_string())?;
        let request = http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", instance.address))
            .header(http::header::CONTENT_TYPE, "application/json")
            .header(
                http::header::AUTHORIZATION,
                format!("Bearer {}", prepared.token),
            )
            .body(Body::from(json))
            .map_err(|cause| cause.to_string())?;
        let response = self.http.request(request).await;
        let response = response.map_err(|cause| describe_error(&cause))?;
        let status = response.status();
        let body = http_body_util::Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let collected = body.collect().await.map_err(|cause| cause.to_string())?;
        let answer = parse(status, &collected.to_bytes());
        Ok(Response { status, answer })
    }
}

/// Parses `body`; for an invalid body, returns an answer whose outcome says so.
fn parse(status: http::StatusCode, body: &[u8]) -> answer::TaskAnswer {
    serde_json::from_slice(body).unwrap_or_else(|_| answer::TaskAnswer {
        outcome: format!("invalid response body with status {status}"),
        ..answer::TaskAnswer::default()
    })
}

fn describe_error(cause: &legacy::Error) -> String {
    if cause.is_connect() {
        "cannot connect".to_owned()
    } else {
        "connection lost".to_owned()
    }
}

fn missing_answer(cause: String) -> VerifiedAnswer {
    VerifiedAnswer {
        verdict: verify::Verdict::Missing(cause),
        answer: answer::TaskAnswer::default(),
    }
}
