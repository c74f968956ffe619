//! The clock by which a leader's authority to grant leases is counted.
//!
//! A successor goes on while the machine of a former leader is suspended, so that the time of the
//! suspension counts, which the steady clock of the standard library leaves out.

use std::sync;
use std::time;

/// When the clock was first read, by the steady clock and since the start of the machine.
static FIRST_READ: sync::LazyLock<(time::Instant, stall::Uptime)> =
    sync::LazyLock::new(|| (time::Instant::now(), stall::uptime()));

/// Returns the time now. It compares only with other readings of this clock.
pub(crate) fn now() -> time::Instant {
    let (first, uptime) = *FIRST_READ;
    first + stall::uptime().saturating_sub(uptime)
}

/// Returns when the steady clock, which shows `steady_now`, will show the reading `until` of this clock,
/// unless the machine is suspended before.
pub(crate) fn to_steady(until: time::Instant, steady_now: time::Instant) -> time::Instant {
    let now = now();
    match until.checked_duration_since(now) {
        Some(left) => steady_now + left,
        None => steady_now,
    }
}
