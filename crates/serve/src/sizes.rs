//! Sizes of the limits, derived from the machine.

use std::fs;

/// Memory of the smallest usual machine, in MB; assumed where the settings don't say.
pub const DEFAULT_MEMORY_MB: u64 = 160;
/// Memory left to all that doesn't come from clients, in MB: 13 MB of a process at rest, the rest
/// for the state of a leader, its messages and the fragmentation of the heap. The rest is an
/// assumption.
const BASE_USE_MB: u64 = 60;
/// Least memory above the base use that is counted on, in MB, so that a machine smaller than that
/// serves some callers.
const MIN_SPARE_MB: u64 = 10;
/// Share of the memory above the base use that clients may fill, in percent; the rest is for the
/// decoding of bodies and for the allocator's waste, which no charge covers.
const BUDGET_SHARE_PERCENT: u64 = 60;
/// Share of the budget that only small calls may use, in percent.
const RESERVED_SHARE_PERCENT: u64 = 12;
/// Share of the budget that connections may fill before they have sent anything large, in percent.
const CONNECTIONS_SHARE_PERCENT: u64 = 75;
/// Smallest number of descriptors kept for the store, workers, peers and status listeners.
const MIN_OWN_DESCRIPTORS: usize = 64;
/// One in this many descriptors is kept for the store, workers, peers and status listeners: 512 of
/// the 3,075 of the smallest machine.
const OWN_DESCRIPTORS_DIVISOR: usize = 6;
/// One in this many descriptors may be held by a status listener, or by unauthenticated connections
/// of peers.
const SIDE_DESCRIPTORS_DIVISOR: usize = 16;
/// Most connections of a status listener, and most unauthenticated connections of peers; a load
/// balancer and a collector of metrics hold a few, and an instance authenticates at once.
const MAX_SIDE_CONNECTIONS: usize = 64;
/// Soft limit assumed if the system doesn't report one; the usual default of Linux.
const FALLBACK_DESCRIPTORS: usize = 1_024;
const BYTES_PER_MB: u64 = 1_000_000;

/// Memory and descriptors that a process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Memory of the machine, in MB.
    pub memory_mb: u64,
    /// Descriptors that the process may open.
    pub max_descriptors: usize,
}

impl Machine {
    /// Returns the machine of the settings: the memory, or that of the smallest usual machine, and
    /// the descriptors, at most the soft limit of the process.
    #[must_use]
    pub fn new(memory_mb: Option<u64>, max_descriptors: Option<usize>) -> Self {
        let soft_limit = soft_descriptor_limit();
        Self {
            memory_mb: memory_mb.unwrap_or(DEFAULT_MEMORY_MB),
            max_descriptors: max_descriptors.unwrap_or(usize::MAX).min(soft_limit),
        }
    }

    /// Returns the size of the budget for all that clients send and have not read, in bytes.
    #[must_use]
    pub fn budget_bytes(&self) -> u64 {
        let spare_mb = self.memory_mb.saturating_sub(BASE_USE_MB);
        spare_mb.max(MIN_SPARE_MB) * BYTES_PER_MB * BUDGET_SHARE_PERCENT / 100
    }

    /// Returns the part of the budget that only small calls may use, in bytes.
    #[must_use]
    pub fn reserved_bytes(&self) -> u64 {
        self.budget_bytes() * RESERVED_SHARE_PERCENT / 100
    }

    /// Returns the most connections of callers that descriptors and memory allow.
    #[must_use]
    pub fn max_caller_connections(&self) -> usize {
        let own = (self.max_descriptors / OWN_DESCRIPTORS_DIVISOR).max(MIN_OWN_DESCRIPTORS);
        let by_descriptors = self.max_descriptors.saturating_sub(own);
        let connections_bytes = self.budget_bytes() * CONNECTIONS_SHARE_PERCENT / 100;
        let by_memory = connections_bytes / crate::connections::CONNECTION_BYTES;
        let by_memory = usize::try_from(by_memory).unwrap_or(usize::MAX);
        by_descriptors.min(by_memory).max(1)
    }

    /// Returns the most connections of a status listener, and the most unauthenticated ones of
    /// peers.
    #[must_use]
    pub fn max_side_connections(&self) -> usize {
        (self.max_descriptors / SIDE_DESCRIPTORS_DIVISOR).clamp(1, MAX_SIDE_CONNECTIONS)
    }
}

/// Returns the soft limit of descriptors of this process.
fn soft_descriptor_limit() -> usize {
    let limit = fs::read_to_string("/proc/self/limits")
        .ok()
        .and_then(|text| {
            let line = text
                .lines()
                .find_map(|line| line.strip_prefix("Max open files"))?;
            match line.split_whitespace().next()? {
                "unlimited" => Some(usize::MAX),
                number => number.parse().ok(),
            }
        });
    limit.unwrap_or_else(|| {
        log::warn!("limit of descriptors not reported; {FALLBACK_DESCRIPTORS} assumed");
        FALLBACK_DESCRIPTORS
    })
}
