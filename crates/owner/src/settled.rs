//! Cache of the outcomes of settled tasks and of used task ids.

use std::collections;
use std::time;

use indexmap::IndexMap;
use model::CustomerId;
use model::Outcome;
use model::Partition;
use model::Task;
use model::TaskId;
use model::UnknownReason;
use model::partition_of;

/// A settled task with its outcome.
#[derive(Clone, Debug)]
pub(crate) struct Settled {
    pub(crate) task: Task,
    pub(crate) digest: [u8; 32],
    pub(crate) outcome: Outcome,
    /// The execution that settled it.
    pub(crate) attempt: model::Attempt,
}

/// A used id of a non-repeatable task whose outcome has been evicted, or was never known here.
#[derive(Clone, Debug)]
pub(crate) struct Remembered {
    pub(crate) customer_id: CustomerId,
    pub(crate) digest: [u8; 32],
    /// Why its outcome is not known.
    pub(crate) reason: UnknownReason,
    /// Time after which the id is forgotten.
    pub(crate) until: time::Instant,
}

/// Caches outcomes, limited in number and time, and used ids, limited in time.
#[derive(Debug)]
pub(crate) struct Memory {
    max_outcomes: usize,
    result_retention: time::Duration,
    journal_retention: time::Duration,
    outcomes: IndexMap<TaskId, Settled>,
    by_age: collections::VecDeque<(time::Instant, TaskId)>,
    remembered: IndexMap<TaskId, Remembered>,
    next_sweep: Option<time::Instant>,
}

const SWEEP_EVERY: time::Duration = time::Duration::from_secs(10);

impl Memory {
    pub(crate) fn new(
        max_outcomes: usize,
        result_retention: time::Duration,
        journal_retention: time::Duration,
    ) -> Self {
        Self {
            max_outcomes,
            result_retention,
            journal_retention,
            outcomes: IndexMap::new(),
            by_age: collections::VecDeque::new(),
            remembered: IndexMap::new(),
            next_sweep: None,
        }
    }

    pub(crate) fn insert(&mut self, settled: Settled, now: time::Instant) {
        let task_id = settled.task.task_id;
        self.by_age.push_back((now, task_id));
        self.outcomes.insert(task_id, settled);
        while self.outcomes.len() > self.max_outcomes {
            self.drop_oldest(now);
        }
    }

    pub(crate) fn remember(&mut self, task_id: TaskId, remembered: Remembered) {
        self.remembered.insert(task_id, remembered);
    }

    pub(crate) fn outcome(&self, task_id: TaskId) -> Option<&Settled> {
        self.outcomes.get(&task_id)
    }

    pub(crate) fn outcome_mut(&mut self, task_id: TaskId) -> Option<&mut Settled> {
        self.outcomes.get_mut(&task_id)
    }

    pub(crate) fn recall(&mut self, task_id: TaskId) {
        self.remembered.swap_remove(&task_id);
    }

    pub(crate) fn remembered(&self, task_id: TaskId) -> Option<&Remembered> {
        self.remembered.get(&task_id)
    }

    pub(crate) fn outcomes(&self) -> impl Iterator<Item = &Settled> {
        self.outcomes.values()
    }

    /// Removes all outcomes and used ids of `partition`.
    pub(crate) fn forget(&mut self, partition: Partition) {
        self.outcomes.retain(|id, _| partition_of(*id) != partition);
        self.remembered
            .retain(|id, _| partition_of(*id) != partition);
    }

    /// Removes outcomes and used ids after their retention, and returns the ids whose journal
    /// entries have expired.
    pub(crate) fn sweep(&mut self, now: time::Instant) -> Vec<TaskId> {
        while let Some((settled_at, _)) = self.by_age.front() {
            if now.duration_since(*settled_at) < self.result_retention {
                break;
            }
            self.drop_oldest(now);
        }
        if self.next_sweep.is_some_and(|at| now < at) {
            return Vec::new();
        }
        self.next_sweep = Some(now + SWEEP_EVERY);
        let expired: Vec<_> = self
            .remembered
            .iter()
            .filter(|(_, remembered)| remembered.until <= now)
            .map(|(task_id, _)| *task_id)
            .collect();
        for task_id in &expired {
            self.remembered.swap_remove(task_id);
        }
        expired
    }

    fn drop_oldest(&mut self, now: time::Instant) {
        let Some((settled_at, task_id)) = self.by_age.pop_front() else {
            return;
        };
        let Some(settled) = self.outcomes.swap_remove(&task_id) else {
            return;
        };
        let ran = !matches!(settled.outcome, Outcome::NotRun(_));
        if settled.task.spec.repeatable || !ran {
            return;
        }
        let until = settled_at + self.journal_retention;
        if until > now {
            self.remembered.insert(
                task_id,
                Remembered {
                    customer_id: settled.task.customer_id,
                    digest: settled.digest,
                    reason: UnknownReason::Expired,
                    until,
                },
            );
        }
    }
}
