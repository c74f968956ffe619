//! Chooses the task to start next and the holder it is offered to.

use std::time;

use crate::dispatch;
use crate::queue_settings;

/// The tasks of one owner that wait to start.
#[derive(Debug)]
pub struct Queue {
    settings: queue_settings::QueueSettings,
}

impl Queue {
    /// Returns an empty queue.
    #[must_use]
    pub fn new(settings: queue_settings::QueueSettings) -> Self {
        Self { settings }
    }

    /// Replaces the plans and their weights.
    pub fn set_plans(&mut self, _weights: &indexmap::IndexMap<model::PlanId, u32>) {}

    /// Sets whether the capacity of every holder is known.
    pub fn set_capacity_complete(&mut self, _complete: bool) {}

    /// Decides whether `task` may be queued.
    ///
    /// # Errors
    ///
    /// Refuses a task that no worker can hold, that finds the queue full, or that cannot start
    /// within `remaining`.
    pub fn admit(
        &mut self,
        _task: &model::Task,
        _remaining: time::Duration,
        _now: time::Instant,
    ) -> Result<(), dispatch::Refusal> {
        Ok(())
    }

    /// Queues a task.
    pub fn push(&mut self, _queued: dispatch::Queued, _now: time::Instant) {}

    /// Takes back a task whose offer was refused; it keeps its place.
    pub fn returned(&mut self, _dispatch: dispatch::Dispatch, _now: time::Instant) {}

    /// Forgets a task and returns whether it was queued.
    pub fn cancel(&mut self, _task_id: model::TaskId) -> bool {
        false
    }

    /// Records what a target advertises.
    pub fn set_capacity(
        &mut self,
        _target: &dispatch::Target,
        _proximity: dispatch::Proximity,
        _summary: model::CapacitySummary,
        _now: time::Instant,
    ) {
    }

    /// Forgets a peer.
    pub fn remove_target(&mut self, _instance_id: &model::InstanceId) {}

    /// Returns the next task to offer, until there is none.
    pub fn next<Q: dispatch::Quota>(
        &mut self,
        _quota: &mut Q,
        _now: time::Instant,
    ) -> Option<dispatch::Dispatch> {
        None
    }

    /// Removes and returns the tasks whose deadline has passed.
    pub fn expire(&mut self, _now: time::Instant) -> Vec<dispatch::Queued> {
        Vec::new()
    }

    /// Learns from a finished task.
    pub fn observe(
        &mut self,
        _customer_id: &model::CustomerId,
        _kind: &str,
        _run: time::Duration,
        _peak: model::Demand,
        _declared: model::Demand,
        _now: time::Instant,
    ) {
    }

    /// Learns from a task that has started.
    pub fn started(&mut self, _waited: time::Duration, _short: bool, _now: time::Instant) {}

    /// Returns the number of waiting tasks.
    #[must_use]
    pub fn len(&self) -> usize {
        0
    }

    /// Returns whether no task waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of waiting tasks of a plan.
    #[must_use]
    pub fn queued_of_plan(&self, _plan_id: &model::PlanId) -> usize {
        0
    }

    /// Returns what the waiting tasks of a plan would use.
    #[must_use]
    pub fn wanted(&self, _plan_id: &model::PlanId) -> model::QuotaAmount {
        model::QuotaAmount::default()
    }

    /// Returns the number of waiting short tasks.
    #[must_use]
    pub fn short_waiting(&self, _now: time::Instant) -> u32 {
        0
    }

    /// Returns when [`Queue::next`] or [`Queue::expire`] has something to do without an event.
    #[must_use]
    pub fn next_wake(&self, _now: time::Instant) -> Option<time::Instant> {
        let _ = &self.settings;
        None
    }
}
