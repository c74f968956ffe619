//! Section `[platform]`.

use std::net;
use std::time;

use crate::section;

const DEFAULT_STORE_TIMEOUT_MS: u64 = 1_000;
const DEFAULT_DIRECTORY_POLL_MS: u64 = 500;

/// Addresses and timeouts of the platform's services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Addresses of the key-value service; not empty.
    pub store_addresses: Vec<net::SocketAddr>,
    /// Address of the directory of instances and workers.
    pub directory_address: net::SocketAddr,
    /// Timeout of a call to the key-value service.
    pub store_timeout: time::Duration,
    /// Time between two reads of the directory.
    pub directory_poll: time::Duration,
}

impl Platform {
    pub(super) fn read(mut section: section::Section<'_>) -> Self {
        Self {
            store_addresses: section.addresses("store_addresses"),
            directory_address: section.address("directory_address"),
            store_timeout: section.duration_ms(
                "store_timeout_ms",
                DEFAULT_STORE_TIMEOUT_MS,
                10..=60_000,
            ),
            directory_poll: section.duration_ms(
                "directory_poll_ms",
                DEFAULT_DIRECTORY_POLL_MS,
                50..=60_000,
            ),
        }
    }
}
