//! Charges for responses that wait to be read.

use http_body_util::BodyExt as _;
use hyper::body::Body as _;

use crate::budget;
use crate::connections;

/// A part of a response; its memory is charged until the part has been sent.
struct ChargedPart {
    data: axum::body::Bytes,
    _charge: budget::Charge,
}

impl AsRef<[u8]> for ChargedPart {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

/// Charges the parts of a large response; a small one is covered by the charge of its connection,
/// which has one at a time.
pub(crate) fn charge(
    response: axum::response::Response,
    connection: &connections::Handle,
) -> axum::response::Response {
    let size_bytes = response.body().size_hint().upper();
    if size_bytes.is_some_and(|bytes| bytes <= connections::FIRST_BUFFER_BYTES) {
        return response;
    }
    let connection = connection.clone();
    response.map(|body| {
        axum::body::Body::new(body.map_frame(move |frame| {
            frame.map_data(|data| {
                let bytes = data.len() as u64;
                let charge = connection.budget().charge_used(connection.source(), bytes);
                axum::body::Bytes::from_owner(ChargedPart {
                    data,
                    _charge: charge,
                })
            })
        }))
    })
}
