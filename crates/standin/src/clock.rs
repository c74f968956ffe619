//! A clock shared by all components of the process, so that their timestamps are comparable.

use std::sync;
use std::time;

static STARTED: sync::OnceLock<time::Instant> = sync::OnceLock::new();

/// Returns `at` in microseconds since the start of the clock.
pub(crate) fn to_us(at: time::Instant) -> u64 {
    let started = *STARTED.get_or_init(time::Instant::now);
    let passed = at.saturating_duration_since(started);
    u64::try_from(passed.as_micros()).unwrap_or(u64::MAX)
}

/// Starts the clock that [`to_us`] reads, unless it runs already.
pub(crate) fn start() {
    STARTED.get_or_init(time::Instant::now);
}

/// Returns `duration` in whole milliseconds.
pub(crate) fn whole_ms(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
