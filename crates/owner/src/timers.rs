//! Points in time at which something is to be checked.

use std::cmp;
use std::collections;
use std::time;

use model::TaskId;

use crate::Ticket;

/// What is to be checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A held request, or a lookup, has waited long enough.
    Ticket(Ticket),
    /// A task that waits for its journal entry has reached its deadline.
    Journalling(TaskId),
}

/// Orders timers by time; a timer is not cancelled but finds nothing to do.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    heap: collections::BinaryHeap<cmp::Reverse<(time::Instant, Timer)>>,
}

impl Timers {
    pub(crate) fn set(&mut self, at: time::Instant, timer: Timer) {
        self.heap.push(cmp::Reverse((at, timer)));
    }

    pub(crate) fn pop_due(&mut self, now: time::Instant) -> Option<Timer> {
        let cmp::Reverse((at, _)) = self.heap.peek()?;
        if *at > now {
            return None;
        }
        self.heap.pop().map(|cmp::Reverse((_, timer))| timer)
    }
}
