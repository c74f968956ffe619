//! Paths for operators and balancers.

use axum::extract;
use axum::response;
use axum::response::IntoResponse;
use http::StatusCode;

use crate::api::answer;
use crate::api::gateway;
use crate::control;

/// Answers whether the process runs.
pub(super) async fn healthz() -> StatusCode {
    StatusCode::OK
}

/// Answers whether new callers should come here.
pub(super) async fn readyz(
    extract::State(gateway): extract::State<gateway::Gateway>,
) -> StatusCode {
    if gateway.ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

/// Answers with the state of the instance.
pub(super) async fn status(
    extract::State(gateway): extract::State<gateway::Gateway>,
    headers: http::HeaderMap,
) -> response::Response {
    if !gateway.is_operator(&headers) {
        return gateway.denied("operator");
    }
    match gateway.status().await {
        Some(status) => axum::Json(status).into_response(),
        None => answer::error(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
    }
}

/// Makes the instance give its work away.
pub(super) async fn drain(
    extract::State(gateway): extract::State<gateway::Gateway>,
    headers: http::HeaderMap,
) -> response::Response {
    if !gateway.is_operator(&headers) {
        return gateway.denied("operator");
    }
    gateway.tell(control::Input::Drain);
    StatusCode::ACCEPTED.into_response()
}
