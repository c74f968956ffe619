//! Handshake on the first stream of a connection: the connecting end authenticates itself.

use crate::error;
use crate::identity;

/// Version of the messages; increased when an older version could misread them.
const PROTOCOL_VERSION: &str = "1";

const CLUSTER_HEADER: &str = "ferry-cluster";
const INSTANCE_HEADER: &str = "ferry-instance";
const PROOF_HEADER: &str = "ferry-proof";
const REFUSAL_HEADER: &str = "ferry-refusal";
const VERSION_HEADER: &str = "ferry-version";

/// Returns the request that opens a connection, or `None` if the identity cannot be sent as
/// header values.
pub(crate) fn hello(identity: &identity::Identity) -> Option<http::Request<()>> {
    let mut proof = http::HeaderValue::from_str(identity.proof()).ok()?;
    proof.set_sensitive(true);
    http::Request::post("http://peer/hello")
        .header(VERSION_HEADER, PROTOCOL_VERSION)
        .header(CLUSTER_HEADER, identity.cluster_name())
        .header(INSTANCE_HEADER, &**identity.instance_id())
        .header(PROOF_HEADER, proof)
        .body(())
        .ok()
}

/// Returns the instance id in a hello, if the hello proves that it belongs to the cluster.
pub(crate) fn authenticate<B>(
    identity: &identity::Identity,
    hello: &http::Request<B>,
) -> Result<model::InstanceId, error::RefusalReason> {
    if header(hello.headers(), VERSION_HEADER) != Some(PROTOCOL_VERSION) {
        return Err(error::RefusalReason::WrongVersion);
    }
    if header(hello.headers(), CLUSTER_HEADER) != Some(identity.cluster_name()) {
        return Err(error::RefusalReason::WrongCluster);
    }
    let proof = header(hello.headers(), PROOF_HEADER).unwrap_or_default();
    if !identity.accepts_proof(proof.as_bytes()) {
        return Err(error::RefusalReason::WrongSecret);
    }
    match header(hello.headers(), INSTANCE_HEADER) {
        Some(instance_id) if !instance_id.is_empty() => Ok(instance_id.into()),
        _ => Err(error::RefusalReason::Malformed),
    }
}

/// Returns the response that refuses a request for `reason`.
pub(crate) fn refusal_response(reason: error::RefusalReason) -> http::Response<()> {
    let mut response = http::Response::new(());
    *response.status_mut() = match reason {
        error::RefusalReason::TooLarge => http::StatusCode::PAYLOAD_TOO_LARGE,
        error::RefusalReason::Malformed => http::StatusCode::BAD_REQUEST,
        _ => http::StatusCode::FORBIDDEN,
    };
    let name = http::HeaderValue::from_static(reason.as_str());
    response.headers_mut().insert(REFUSAL_HEADER, name);
    response
}

/// Returns the reason for which a response refuses the request, if it does.
pub(crate) fn refusal_reason<B>(response: &http::Response<B>) -> Option<error::RefusalReason> {
    header(response.headers(), REFUSAL_HEADER).and_then(error::RefusalReason::from_name)
}

fn header<'a>(headers: &'a http::HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
