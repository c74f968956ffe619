//! A steady clock that also counts the time for which the machine is suspended.

use std::time;

use nix::time as system_time;

/// Time since the start of the machine, including the time for which it was suspended.
pub type Uptime = time::Duration;

/// Returns the time since the start of the machine.
///
/// A system without such a clock gives the time of [`time::Instant`], which stands still during a
/// suspension.
#[must_use]
pub fn uptime() -> Uptime {
    let clock = system_time::ClockId::CLOCK_BOOTTIME;
    let reading = system_time::clock_gettime(clock)
        .or_else(|_| system_time::clock_gettime(system_time::ClockId::CLOCK_MONOTONIC));
    // Each Linux has the monotonic clock.
    reading.map_or(Uptime::ZERO, Uptime::from)
}
