//! Handlers for operators and balancers.

use axum::extract;
use axum::response;
use axum::response::IntoResponse;
use http::StatusCode;

use crate::api::answer;
use crate::api::gateway;
use crate::control;

/// Liveness check.
pub(super) async fn healthz() -> StatusCode {
    StatusCode::OK
}

/// Readiness check: whether balancers should send callers to this instance.
pub(super) async fn readyz(
    extract::State(gateway): extract::State<gateway::Gateway>,
) -> StatusCode {
    if gateway.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

/// Returns the status of the instance.
pub(super) async fn status(
    extract::State(gateway): extract::State<gateway::Gateway>,
    headers: http::HeaderMap,
) -> response::Response {
    if !gateway.is_operator(&headers) {
        return gateway.unauthorized("operator");
    }
    match gateway.status().await {
        Some(status) => axum::Json(status).into_response(),
        None => answer::error(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
    }
}

/// Starts draining the instance.
pub(super) async fn drain(
    extract::State(gateway): extract::State<gateway::Gateway>,
    request: extract::Request,
) -> response::Response {
    if !gateway.is_operator(request.headers()) {
        return gateway.unauthorized("operator");
    }
    if request.extensions().get::<serve::AgeUnknown>().is_some() {
        return gateway.age_unknown();
    }
    gateway.send(control::Input::Drain);
    StatusCode::ACCEPTED.into_response()
}
