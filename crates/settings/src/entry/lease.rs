//! Section `[lease]`.

use std::time;

use crate::section;

const DEFAULT_TTL_MS: u64 = 2_000;
const DEFAULT_GRACE_MS: u64 = 2_000;
const DEFAULT_MARGIN_MS: u64 = 500;
const DEFAULT_RENEW_EVERY_MS: u64 = 500;

/// Worker leases; the same on all instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// How long a lease lasts from its last renewal.
    pub ttl: time::Duration,
    /// How long runs continue after the lease has lapsed.
    pub grace: time::Duration,
    /// Allowance for clocks that run at different rates (clock drift); less than `ttl`.
    pub margin: time::Duration,
    /// Time between two renewals; at most half of `ttl`.
    pub renew_every: time::Duration,
}

impl Lease {
    pub(super) fn read(mut section: section::Section<'_>) -> Self {
        Self {
            ttl: section.duration_ms("ttl_ms", DEFAULT_TTL_MS, 100..=60_000),
            grace: section.duration_ms("grace_ms", DEFAULT_GRACE_MS, 0..=600_000),
            margin: section.duration_ms("margin_ms", DEFAULT_MARGIN_MS, 10..=60_000),
            renew_every: section.duration_ms("renew_every_ms", DEFAULT_RENEW_EVERY_MS, 20..=30_000),
        }
    }
}
