//! Links to peers, one for each address.

use std::sync;
use std::time;

use indexmap::IndexMap;

use crate::instance;

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
        let mut links = instance::lock(&self.links);
        let link = links.entry(sync::Arc::clone(address)).or_insert_with(|| {
            let settings = peer::LinkSettings {
                connect_timeout: CONNECT_TIMEOUT,
                max_message_bytes: MAX_MESSAGE_BYTES,
            };
            peer::Link::new(self.identity.clone(), &**address, settings)
        });
        link.clone()
    }

    /// Closes the links to addresses that are not `in_use`: machines are replaced at other addresses.
    pub(crate) async fn retain(&self, in_use: impl Fn(&str) -> bool) {
        let mut unused = Vec::new();
        instance::lock(&self.links).retain(|address, link| {
            let is_in_use = in_use(address);
            if !is_in_use {
                unused.push(link.clone());
            }
            is_in_use
        });
        for link in unused {
            link.close().await;
        }
    }

    /// Closes every link.
    pub(crate) async fn close(&self) {
        let links = {
            let mut links = instance::lock(&self.links);
            std::mem::take(&mut *links)
        };
        for link in links.into_values() {
            link.close().await;
        }
    }
}
