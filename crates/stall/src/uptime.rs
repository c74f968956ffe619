//! A steady clock that also counts the time for which the machine is suspended.

use std::sync;
use std::time;

use nix::time as system_time;

/// Time since the start of the machine, including the time for which it was suspended.
pub type Uptime = time::Duration;

/// When this process first read the clock.
static FIRST_READ: sync::LazyLock<time::Instant> = sync::LazyLock::new(time::Instant::now);

/// Returns the time since the start of the machine.
///
/// On a system without such a clock it is the time since the first call, without suspensions.
#[must_use]
pub fn uptime() -> Uptime {
    let reading = system_time::clock_gettime(system_time::ClockId::CLOCK_BOOTTIME);
    reading.map_or_else(|_| FIRST_READ.elapsed(), Uptime::from)
}
