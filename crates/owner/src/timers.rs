//! Timer queue of the owner.

use std::cmp;
use std::collections;
use std::time;

use model::TaskId;

use crate::RequestId;

/// What is checked when a timer fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A held request or a lookup reaches its time limit.
    Request(RequestId),
    /// The write or the deletion of a task's journal entry reaches its time limit.
    JournalEntry(TaskId),
}

/// Orders timers by time. Timers are never cancelled; an obsolete one has no effect.
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
