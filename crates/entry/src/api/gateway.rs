//! HTTP handlers: authenticate callers, validate requests and pass them to the control thread.

use std::sync;
use std::sync::atomic;
use std::time;

use axum::extract;
use axum::extract::rejection;
use axum::response;
use axum::routing;
use http::StatusCode;
use http::header;
use serde::Deserialize;
use sha2::Digest as _;
use subtle::ConstantTimeEq as _;
use tokio::sync::watch;

use crate::api::answer;
use crate::api::operators;
use crate::api::request;
use crate::control;
use crate::drive;

const BEARER: &str = "Bearer ";
const MAX_LOOKUP_WAIT_MS: u64 = 60_000;
/// Timeout for receiving a request body; the largest one arrives at 9 KB/s.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Copies of a request in flight: that of the control thread, one for an attempt at another
/// instance, and the encoded one. Parsed requests are about as large as their bodies.
pub(crate) const IN_FLIGHT_COPIES: usize = 3;

/// State shared by the HTTP handlers of one instance.
#[derive(Clone)]
pub(crate) struct Gateway {
    shared: sync::Arc<Shared>,
}

struct Shared {
    control_handle: drive::ControlHandle,
    lists: watch::Receiver<sync::Arc<lists::Lists>>,
    flags: sync::Arc<drive::StateFlags>,
    metrics: telemetry::Metrics,
    secret_sha256: [u8; 32],
    limits: request::Limits,
    max_body_bytes: usize,
}

/// The id in a path; a rejection if it is not UTF-8.
type PathId = Result<extract::Path<String>, rejection::PathRejection>;

/// Query parameters of a lookup.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct LookupQuery {
    /// How long to wait for the outcome, in milliseconds.
    #[serde(default)]
    wait_ms: u64,
}

/// Arguments of [`Gateway::new`].
pub(crate) struct GatewayParts {
    /// Sends requests to the control thread.
    pub(crate) control_handle: drive::ControlHandle,
    /// Lists in force.
    pub(crate) lists: watch::Receiver<sync::Arc<lists::Lists>>,
    /// State flags of the control thread.
    pub(crate) flags: sync::Arc<drive::StateFlags>,
    /// Metrics of the instance.
    pub(crate) metrics: telemetry::Metrics,
    /// Token of operators: the cluster secret.
    pub(crate) secret: String,
    /// Settings of the listener for callers.
    pub(crate) callers: settings::Callers,
}

impl Gateway {
    pub(crate) fn new(parts: GatewayParts) -> Self {
        let shared = Shared {
            control_handle: parts.control_handle,
            lists: parts.lists,
            flags: parts.flags,
            metrics: parts.metrics,
            secret_sha256: sha2::Sha256::digest(parts.secret.as_bytes()).into(),
            limits: request::Limits {
                max_deadline: parts.callers.max_deadline,
                default_deadline: parts.callers.default_deadline,
            },
            max_body_bytes: parts.callers.max_body_bytes,
        };
        Self {
            shared: sync::Arc::new(shared),
        }
    }

    /// Returns the router of all paths.
    pub(crate) fn router(self) -> axum::Router {
        axum::Router::new()
            .route("/v1/tasks", routing::post(submit))
            .route("/v1/tasks/{id}", routing::get(lookup).delete(cancel))
            .route("/healthz", routing::get(operators::healthz))
            .route("/readyz", routing::get(operators::readyz))
            .route("/v1/operator/status", routing::get(operators::status))
            .route("/v1/operator/drain", routing::post(operators::drain))
            .fallback(unknown_path)
            .method_not_allowed_fallback(wrong_method)
            .with_state(self)
    }

    pub(super) fn is_ready(&self) -> bool {
        self.shared.flags.ready.load(atomic::Ordering::Acquire)
    }

    pub(super) async fn status(&self) -> Option<control::Status> {
        self.shared.control_handle.status().await
    }

    pub(super) fn send(&self, input: control::Input) {
        self.shared.control_handle.send(input);
    }

    pub(super) fn is_operator(&self, headers: &http::HeaderMap) -> bool {
        let Some(token) = bearer(headers) else {
            return false;
        };
        let digest = sha2::Sha256::digest(token.as_bytes());
        digest.as_slice().ct_eq(&self.shared.secret_sha256).into()
    }

    pub(super) fn unauthorized(&self, role: &str) -> response::Response {
        self.shared.metrics.count(&format!("refused.token_{role}"));
        answer::error(StatusCode::UNAUTHORIZED, "wrong_token")
    }

    fn customer(&self, headers: &http::HeaderMap) -> Option<lists::Customer> {
        let token = bearer(headers)?;
        let lists = self.shared.lists.borrow();
        lists.authenticate(token).cloned()
    }

    fn bad_request(&self, errors: &[request::FieldError]) -> response::Response {
        self.shared.metrics.count("refused.bad_request");
        answer::findings(errors)
    }

    /// Refuses a request that its sender may have given up.
    pub(super) fn age_unknown(&self) -> response::Response {
        self.shared.metrics.count("refused.age_unknown");
        answer::age_unknown()
    }

    fn body_timeout(&self) -> response::Response {
        self.shared.metrics.count("refused.body_timeout");
        answer::error(StatusCode::REQUEST_TIMEOUT, "body_timeout")
    }

    fn too_large(&self) -> response::Response {
        self.shared.metrics.count("refused.body_too_large");
        answer::error(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large")
    }
}

fn bearer(headers: &http::HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix(BEARER)
}

fn stopping() -> response::Response {
    answer::error(StatusCode::SERVICE_UNAVAILABLE, "stopping")
}

fn respond(answer: Option<drive::CallerAnswer>) -> response::Response {
    let Some(answer) = answer else {
        return stopping();
    };
    match answer.answer {
        control::Answer::Submit(reply) => answer::submission(answer.task_id, reply),
        control::Answer::Status(status) => answer::status(answer.task_id, status),
    }
}

async fn submit(
    extract::State(gateway): extract::State<Gateway>,
    request: extract::Request,
) -> response::Response {
    let Some(customer) = gateway.customer(request.headers()) else {
        return gateway.unauthorized("customer");
    };
    if request.extensions().get::<serve::AgeUnknown>().is_some() {
        return gateway.age_unknown();
    }
    let body = serve::read_body(request, gateway.shared.max_body_bytes, BODY_TIMEOUT);
    let body = match body.await {
        Ok(body) => body,
        Err(serve::BodyError::Overloaded) => return answer::overloaded(),
        Err(serve::BodyError::TooLarge) => return gateway.too_large(),
        Err(serve::BodyError::TimedOut) => return gateway.body_timeout(),
        Err(_) => return answer::error(StatusCode::BAD_REQUEST, "bad_request"),
    };
    let request = match request::parse(body.bytes(), gateway.shared.limits) {
        Ok(request) => request,
        Err(errors) => return gateway.bad_request(&errors),
    };
    // Held while the request is in flight.
    let in_flight_bytes = IN_FLIGHT_COPIES * body.bytes().len();
    let Ok(_charge) = body.into_charge(in_flight_bytes) else {
        return answer::overloaded();
    };
    let answer = gateway.shared.control_handle.caller_request(|request_id| {
        control::Input::Submit(control::Submit {
            request_id,
            customer_id: customer.customer_id,
            plan_id: customer.plan_id,
            region: customer.region,
            spec: sync::Arc::new(request.spec),
            wait: request.wait,
            random: rand::random(),
        })
    });
    respond(answer.await)
}

async fn lookup(
    extract::State(gateway): extract::State<Gateway>,
    id: PathId,
    query: Result<extract::Query<LookupQuery>, rejection::QueryRejection>,
    headers: http::HeaderMap,
) -> response::Response {
    let Some(customer) = gateway.customer(&headers) else {
        return gateway.unauthorized("customer");
    };
    let Some(task_id) = parse_id(id) else {
        return gateway.bad_request(&[bad_id()]);
    };
    let Ok(extract::Query(query)) = query else {
        return gateway.bad_request(&[bad_query()]);
    };
    let wait_ms = query.wait_ms.min(MAX_LOOKUP_WAIT_MS);
    let answer =
        gateway
            .shared
            .control_handle
            .caller_request(|request_id| control::Input::Lookup {
                request_id,
                customer_id: customer.customer_id,
                task_id,
                wait: time::Duration::from_millis(wait_ms),
            });
    respond(answer.await)
}

async fn cancel(
    extract::State(gateway): extract::State<Gateway>,
    id: PathId,
    headers: http::HeaderMap,
) -> response::Response {
    let Some(customer) = gateway.customer(&headers) else {
        return gateway.unauthorized("customer");
    };
    let Some(task_id) = parse_id(id) else {
        return gateway.bad_request(&[bad_id()]);
    };
    let answer =
        gateway
            .shared
            .control_handle
            .caller_request(|request_id| control::Input::Cancel {
                request_id,
                customer_id: customer.customer_id,
                task_id,
            });
    respond(answer.await)
}

fn parse_id(id: PathId) -> Option<model::TaskId> {
    let extract::Path(id) = id.ok()?;
    id.parse().ok()
}

fn bad_id() -> request::FieldError {
    request::FieldError {
        field: "id".to_owned(),
        expected: "a task id as answered to the submission".to_owned(),
    }
}

fn bad_query() -> request::FieldError {
    request::FieldError {
        field: "wait_ms".to_owned(),
        expected: "a whole number of milliseconds, and no other parameter".to_owned(),
    }
}

async fn unknown_path() -> response::Response {
    answer::error(StatusCode::NOT_FOUND, "unknown_path")
}

async fn wrong_method() -> response::Response {
    answer::error(StatusCode::METHOD_NOT_ALLOWED, "wrong_method")
}
