//! Detection of stalls by a tick that comes late.

use std::sync;
use std::time;

use tokio_util::sync::CancellationToken;

use crate::uptime;

/// Time between two ticks.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Longest time without a tick that does not count as a stall. A turn of an overloaded event loop takes a
/// few tenths of a second, which is no reason to refuse requests.
pub const MAX_UNDETECTED_STALL: time::Duration = time::Duration::from_millis(1_000);
/// Ticks after a stall by which the event loop has asked the system for the state of each socket: the
/// first may belong to the turn that has detected the stall.
const SETTLING_TICKS: u32 = 2;

/// Number of stalls detected so far.
pub(crate) type StallCount = u64;

/// Detects that the process stood still, from its first tick on; clones share the state.
#[derive(Clone, Debug)]
pub struct Monitor {
    state: sync::Arc<sync::Mutex<State>>,
    metrics: telemetry::Metrics,
}

#[derive(Debug)]
struct State {
    /// When the last tick was; `None` if there are none, so that nothing is detected.
    ticked_at: Option<uptime::Uptime>,
    stalls: StallCount,
    ticks_since_stall: u32,
}

/// What is known at a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Observation {
    pub(crate) stalls: StallCount,
    /// Whether a socket that seems empty has been asked since the last stall.
    pub(crate) is_settled: bool,
}

impl Monitor {
    /// Creates a monitor, which [`Monitor::run`] has to tick.
    #[must_use]
    pub fn new(metrics: telemetry::Metrics) -> Self {
        let state = State {
            ticked_at: None,
            stalls: 0,
            ticks_since_stall: SETTLING_TICKS,
        };
        Self {
            state: sync::Arc::new(sync::Mutex::new(state)),
            metrics,
        }
    }

    /// Ticks until `stop` is cancelled; to be run by the event loop that reads the sockets.
    pub async fn run(self, stop: CancellationToken) {
        let _ticking = Ticking(&self);
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = interval.tick() => self.tick(uptime::uptime()),
                () = stop.cancelled() => return,
            }
        }
    }

    /// Records a tick at `now`.
    pub fn tick(&self, now: uptime::Uptime) {
        let mut state = self.lock();
        self.detect(&mut state, now);
        state.ticked_at = Some(now);
        state.ticks_since_stall = state.ticks_since_stall.saturating_add(1);
    }

    /// Returns what is known at `now`; detects a stall before the tick does.
    pub(crate) fn observe(&self, now: uptime::Uptime) -> Observation {
        let mut state = self.lock();
        self.detect(&mut state, now);
        Observation {
            stalls: state.stalls,
            is_settled: state.ticks_since_stall >= SETTLING_TICKS,
        }
    }

    fn detect(&self, state: &mut State, now: uptime::Uptime) {
        let gap = match state.ticked_at {
            Some(ticked_at) => now.saturating_sub(ticked_at),
            None => return,
        };
        if gap <= MAX_UNDETECTED_STALL {
            return;
        }
        state.ticked_at = Some(now);
        state.stalls += 1;
        state.ticks_since_stall = 0;
        log::warn!(
            gap_ms = gap.as_millis() as u64,
            stalls = state.stalls;
            "process stood still; the age of what it reads now is unknown"
        );
        self.metrics.count("process.stalls");
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        let state = self.state.lock();
        state.unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Ends the detection when the ticks end, as no tick is late then.
struct Ticking<'a>(&'a Monitor);

impl Drop for Ticking<'_> {
    fn drop(&mut self) {
        self.0.lock().ticked_at = None;
    }
}
