//! Time limits of orders, by the steady clock of the instance that executes them.
//!
//! A relay that stalls reads its orders late: they have timed out at the leader by then, and a worker
//! may have restarted. The leader cannot read the clock of a relay, but each message of
//! the relay carries a reading. Whatever the leader sends after it has received a reading is younger
//! than that, so a limit that counts from the latest reading needs no clocks that agree.

use std::time;

/// Reading of the clock of an instance that executes orders: the time since it opened its channel.
pub type OrderTime = time::Duration;

/// Clock of an instance that executes orders.
#[derive(Clone, Copy, Debug)]
pub struct OrderClock {
    opened_at: time::Instant,
}

impl OrderClock {
    /// Creates the clock of a channel that is opened at `opened_at`.
    #[must_use]
    pub fn new(opened_at: time::Instant) -> Self {
        Self { opened_at }
    }

    /// Returns the reading at `now`.
    #[must_use]
    pub fn reading(&self, now: time::Instant) -> OrderTime {
        now.saturating_duration_since(self.opened_at)
    }

    /// Returns when the clock had this reading; `None` if it has not had it at `now`.
    #[must_use]
    pub fn time_of(&self, reading: OrderTime, now: time::Instant) -> Option<time::Instant> {
        let time = self.opened_at.checked_add(reading)?;
        (time <= now).then_some(time)
    }

    /// Returns whether an order that must be begun by `begin_by` must not be begun at `now`.
    #[must_use]
    pub fn is_past(&self, begin_by: OrderTime, now: time::Instant) -> bool {
        self.reading(now) >= begin_by
    }
}

/// What the leader knows of the clock of a relay.
#[derive(Clone, Copy, Debug, Default)]
pub struct RelayTime {
    latest: OrderTime,
}

impl RelayTime {
    /// Records the reading in a message of the relay.
    pub fn record(&mut self, sent_at: OrderTime) {
        self.latest = self.latest.max(sent_at);
    }

    /// Returns until when the relay may begin an order that was decided `age` ago and that times
    /// out at the leader `timeout` after the decision.
    #[must_use]
    pub fn begin_by(&self, timeout: time::Duration, age: time::Duration) -> OrderTime {
        self.latest.saturating_add(timeout.saturating_sub(age))
    }
}
