//! Counters and bounded log lines of refusals.

use std::sync;
use std::time;

/// Time between two log lines of the same kind; refusals in between are only counted.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Why a request or a connection was refused or ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// All connections are in use, and none can be closed for a new one.
    ConnectionLimit,
    /// The budget has no room for another connection.
    ConnectionBudget,
    /// The budget has no room for the buffer of a connection that sends much.
    InputBudget,
    /// The budget has no room for a body.
    BodyBudget,
    /// A body was dropped since its sender stalled or was slow while the budget was short.
    BodyShed,
    /// An idle or stalled connection was closed for a new one.
    ConnectionShed,
    /// A head was not complete in time.
    HeadTimeout,
    /// A client did not read its responses.
    UnreadResponse,
}

impl Refusal {
    /// Number of kinds.
    const COUNT: usize = 8;

    /// Returns the name of the counter.
    fn counter(self) -> &'static str {
        match self {
            Self::ConnectionLimit => "refused.connection_limit",
            Self::ConnectionBudget => "refused.connection_budget",
            Self::InputBudget => "refused.input_budget",
            Self::BodyBudget => "refused.body_budget",
            Self::BodyShed => "shed.body",
            Self::ConnectionShed => "shed.connection",
            Self::HeadTimeout => "shed.head_timeout",
            Self::UnreadResponse => "shed.unread_response",
        }
    }
}

/// Counts refusals, and logs at most one line of each kind a second.
#[derive(Debug)]
pub(crate) struct Refusals {
    metrics: telemetry::Metrics,
    logged: sync::Mutex<[Logged; Refusal::COUNT]>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Logged {
    last_at: Option<time::Instant>,
    /// Refusals since the last line.
    unlogged: u64,
}

impl Refusals {
    pub(crate) fn new(metrics: telemetry::Metrics) -> Self {
        Self {
            metrics,
            logged: sync::Mutex::default(),
        }
    }

    /// Counts a refusal of a request or connection of `source`.
    pub(crate) fn record(&self, refusal: Refusal, source: std::net::IpAddr) {
        self.metrics.count(refusal.counter());
        let mut logged = self
            .logged
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let entry = &mut logged[refusal as usize];
        entry.unlogged += 1;
        let now = time::Instant::now();
        if entry
            .last_at
            .is_some_and(|last| now.duration_since(last) < LOG_INTERVAL)
        {
            return;
        }
        let count = std::mem::take(&mut entry.unlogged);
        entry.last_at = Some(now);
        drop(logged);
        let counter = refusal.counter();
        log::warn!(source:% = source, counter, count; "clients refused by limits");
    }
}
