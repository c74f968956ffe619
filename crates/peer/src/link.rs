//! The sending side.

use std::time;

use crate::counts;
use crate::error;
use crate::identity;

/// Settings of a [`Link`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkSettings {
    /// How long a new connection may take until it can carry requests.
    pub connect_timeout: time::Duration,
    /// Largest message sent or accepted, in bytes.
    pub max_message_bytes: usize,
}

/// Sends requests to one other instance.
///
/// Clones share one connection, which is made at the first request and again after it was lost.
#[derive(Clone, Debug)]
pub struct Link {
    address: String,
}

impl Link {
    /// Creates a link to the peer listener at `address`; connects at the first request.
    #[must_use]
    pub fn new(
        _identity: identity::Identity,
        address: impl Into<String>,
        _settings: LinkSettings,
    ) -> Self {
        Self {
            address: address.into(),
        }
    }

    /// Sends a request and waits for its response.
    ///
    /// # Errors
    ///
    /// The kind says whether the other end may have handled the request.
    pub async fn request(
        &self,
        _request: &model::PeerRequest,
        _timeout: time::Duration,
    ) -> Result<model::PeerResponse, error::Error> {
        Err(error::Error::new(
            error::ErrorKind::NotSent,
            format!("no connection to {}", self.address),
        ))
    }

    /// Drops the connection; requests in flight end as unanswered and the next one connects anew.
    pub fn replace(&self) {}

    /// Returns the counters since the link was created.
    #[must_use]
    pub fn counts(&self) -> counts::Counts {
        counts::Counts::default()
    }
}
