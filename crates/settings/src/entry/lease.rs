//! Section `[lease]`.

use std::time;

use crate::section;

const TTL_MS: u64 = 2_000;
const GRACE_MS: u64 = 2_000;
const MARGIN_MS: u64 = 500;
const RENEW_EVERY_MS: u64 = 500;

/// Worker leases; the same on all instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// How long a lease lasts from its last renewal.
    pub ttl: time::Duration,
    /// How long running tasks outlive a lapsed lease.
    pub grace: time::Duration,
    /// Allowance for clocks that run at different rates; less than `ttl`.
    pub margin: time::Duration,
    /// Time between two renewals; at most half of `ttl`.
    pub renew_every: time::Duration,
}

impl Lease {
    pub(super) fn read(mut section: section::Section<'_>) -> Self {
        Self {
            ttl: section.duration_ms("ttl_ms", TTL_MS, 100..=60_000),
            grace: section.duration_ms("grace_ms", GRACE_MS, 0..=600_000),
            margin: section.duration_ms("margin_ms", MARGIN_MS, 10..=60_000),
            renew_every: section.duration_ms("renew_every_ms", RENEW_EVERY_MS, 20..=30_000),
        }
    }
}
