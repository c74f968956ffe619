//! One clock for every part of the process, so that their logs can be compared.

use std::sync;
use std::time;

static STARTED: sync::OnceLock<time::Instant> = sync::OnceLock::new();

/// Returns the microseconds from a fixed instant of this process to `at`.
pub(crate) fn to_us(at: time::Instant) -> u64 {
    let started = *STARTED.get_or_init(time::Instant::now);
    let passed = at.saturating_duration_since(started);
    u64::try_from(passed.as_micros()).unwrap_or(u64::MAX)
}

/// Fixes the instant that [`to_us`] counts from, unless that was done before.
pub(crate) fn start() {
    STARTED.get_or_init(time::Instant::now);
}

/// Returns `duration` in whole milliseconds.
pub(crate) fn whole_ms(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
