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
pub(crate) struct CachedOutcome {
    pub(crate) task: Task,
    pub(crate) digest: [u8; 32],
    pub(crate) outcome: Outcome,
    /// The attempt that settled it.
    pub(crate) attempt: model::Attempt,
}

/// The id of a non-repeatable task whose outcome has been evicted or was never known here.
#[derive(Clone, Debug)]
pub(crate) struct UsedId {
    pub(crate) customer_id: CustomerId,
    pub(crate) digest: [u8; 32],
    /// Why its outcome is not known.
    pub(crate) reason: UnknownReason,
    /// Time after which the id is forgotten.
    pub(crate) expires_at: time::Instant,
}

/// Caches outcomes, limited in number and time, and used ids, limited in time.
#[derive(Debug)]
pub(crate) struct OutcomeCache {
    max_outcomes: usize,
    result_retention: time::Duration,
    journal_retention: time::Duration,
    outcomes: IndexMap<TaskId, CachedOutcome>,
    by_age: collections::VecDeque<(time::Instant, TaskId)>,
    used_ids: IndexMap<TaskId, UsedId>,
    next_sweep_at: Option<time::Instant>,
}

const SWEEP_INTERVAL: time::Duration = time::Duration::from_secs(10);

impl OutcomeCache {
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
            used_ids: IndexMap::new(),
            next_sweep_at: None,
        }
    }

    pub(crate) fn insert(&mut self, settled: CachedOutcome, now: time::Instant) {
        let task_id = settled.task.task_id;
        self.by_age.push_back((now, task_id));
        self.outcomes.insert(task_id, settled);
        while self.outcomes.len() > self.max_outcomes {
            self.evict_oldest(now);
        }
    }

    pub(crate) fn insert_used_id(&mut self, task_id: TaskId, used_id: UsedId) {
        self.used_ids.insert(task_id, used_id);
    }

    pub(crate) fn outcome(&self, task_id: TaskId) -> Option<&CachedOutcome> {
        self.outcomes.get(&task_id)
    }

    pub(crate) fn outcome_mut(&mut self, task_id: TaskId) -> Option<&mut CachedOutcome> {
        self.outcomes.get_mut(&task_id)
    }

    pub(crate) fn remove_used_id(&mut self, task_id: TaskId) {
        self.used_ids.swap_remove(&task_id);
    }

    pub(crate) fn used_id(&self, task_id: TaskId) -> Option<&UsedId> {
        self.used_ids.get(&task_id)
    }

    pub(crate) fn outcomes(&self) -> impl Iterator<Item = &CachedOutcome> {
        self.outcomes.values()
    }

    /// Removes all outcomes and used ids of `partition`.
    pub(crate) fn remove_partition(&mut self, partition: Partition) {
        self.outcomes.retain(|id, _| partition_of(*id) != partition);
        self.used_ids.retain(|id, _| partition_of(*id) != partition);
    }

    /// Removes outcomes and used ids after their retention, and returns the ids whose journal
    /// entries have expired.
    pub(crate) fn sweep(&mut self, now: time::Instant) -> Vec<TaskId> {
        while let Some((settled_at, _)) = self.by_age.front() {
            if now.duration_since(*settled_at) < self.result_retention {
                break;
            }
            self.evict_oldest(now);
        }
        if self.next_sweep_at.is_some_and(|at| now < at) {
            return Vec::new();
        }
        self.next_sweep_at = Some(now + SWEEP_INTERVAL);
        let expired: Vec<_> = self
            .used_ids
            .iter()
            .filter(|(_, used_id)| used_id.expires_at <= now)
            .map(|(task_id, _)| *task_id)
            .collect();
        for task_id in &expired {
            self.used_ids.swap_remove(task_id);
        }
        expired
    }

    fn evict_oldest(&mut self, now: time::Instant) {
        let Some((settled_at, task_id)) = self.by_age.pop_front() else {
            return;
        };
        let Some(settled) = self.outcomes.swap_remove(&task_id) else {
            return;
        };
        let may_have_run = !matches!(settled.outcome, Outcome::NotRun(_));
        if settled.task.spec.repeatable || !may_have_run {
            return;
        }
        let expires_at = settled_at + self.journal_retention;
        if expires_at > now {
            self.used_ids.insert(
                task_id,
                UsedId {
                    customer_id: settled.task.customer_id,
                    digest: settled.digest,
                    reason: UnknownReason::Expired,
                    expires_at,
                },
            );
        }
    }
}
