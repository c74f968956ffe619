//! Links to peers, one for each address.

use std::sync;
use std::time;

use indexmap::IndexMap;

/// Longest time to connect to a peer, including the handshake.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Largest message, in bytes: a job with its specification, or a manifest.
const MAX_MESSAGE_BYTES: usize = 2 * 1024 * 1024;

/// Links to peers by address.
#[derive(Debug)]
pub(crate) struct Links {
    identity: peer::Identity,
    links: sync::Mutex<IndexMap<sync::Arc<str>, peer::Link>>,
}

impl Links {
    pub(crate) fn new(identity: peer::Identity) -> Self {
        Self {
            identity,
            links: sync::Mutex::default(),
        }
    }

    /// Returns the link to `address`, creating it on first use.
    pub(crate) fn to(&self, address: &sync::Arc<str>) -> peer::Link {
        let mut links = self
            .links
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let link = links.entry(sync::Arc::clone(address)).or_insert_with(|| {
            let settings = peer::LinkSettings {
                connect_timeout: CONNECT_TIMEOUT,
                max_message_bytes: MAX_MESSAGE_BYTES,
            };
            peer::Link::new(self.identity.clone(), &**address, settings)
        });
        link.clone()
    }

    /// Closes every link.
    pub(crate) async fn close(&self) {
        let links = {
            let mut links = self
                .links
                .lock()
                .unwrap_or_else(sync::PoisonError::into_inner);
            std::mem::take(&mut *links)
        };
        for link in links.into_values() {
            link.close().await;
        }
    }
}
