//! Admission control: refuses tasks that could not start in time.

use std::time;

use crate::dispatch;
use crate::lanes;
use crate::queue;
use crate::queue_settings;
use crate::targets;

const URGENT_RESERVE_DIVISOR: usize = 10;
const MIN_BUSY_TIME: time::Duration = time::Duration::from_secs(1);
const RATE_WINDOW_SECONDS: usize = 10;
const QUEUE_FULL_RETRY: time::Duration = time::Duration::from_secs(1);
const MIN_RETRY: time::Duration = time::Duration::from_millis(100);
const MAX_RETRY: time::Duration = time::Duration::from_secs(30);

impl queue::Queue {
    /// Checks whether `task`, which must start within `remaining`, may be queued.
    ///
    /// The last tenth of the queue is reserved for urgent tasks. A task is refused as too late only
    /// if the tasks ahead of it in its lane could not start in time even at the highest start rate
    /// of the last seconds.
    ///
    /// # Errors
    ///
    /// Returns a [`dispatch::Refusal`] if no worker can ever hold the task, the queue is full or
    /// the task cannot start within `remaining`.
    pub fn admit(
        &mut self,
        task: &model::Task,
        remaining: time::Duration,
        now: time::Instant,
    ) -> Result<(), dispatch::Refusal> {
        let spec = &task.spec;
        let members = u32::from(spec.members);
        let is_complete = self
            .listed_workers
            .is_some_and(|listed| listed <= self.targets.workers());
        if is_complete && !self.targets.could_ever_hold(&spec.demand, members) {
            return Err(dispatch::Refusal {
                reason: model::NotRunReason::NeverFits,
                retry_after: time::Duration::ZERO,
            });
        }
        if self.is_full(task) {
            return Err(dispatch::Refusal {
                reason: model::NotRunReason::QueueFull,
                retry_after: QUEUE_FULL_RETRY,
            });
        }
        if self.settings.policy == queue_settings::Policy::Baseline {
            return Ok(());
        }
        match self.min_wait(task, now) {
            Some(wait) if wait > remaining => Err(dispatch::Refusal {
                reason: model::NotRunReason::CannotStartInTime,
                retry_after: (wait - remaining).clamp(MIN_RETRY, MAX_RETRY),
            }),
            _ => Ok(()),
        }
    }

    fn is_full(&self, task: &model::Task) -> bool {
        let urgent = task.spec.urgency == model::Urgency::Urgent;
        let limit = |max: usize| {
            if urgent {
                max
            } else {
                max - max / URGENT_RESERVE_DIVISOR
            }
        };
        self.len() >= limit(self.settings.max_queued)
            || self.queued_of_plan(&task.plan_id) >= limit(self.settings.max_queued_of_plan)
    }

    /// Returns a lower bound on the time until the tasks ahead in the same lane have started, or
    /// `None` if a target has free capacity or their start rate is not known.
    fn min_wait(&mut self, task: &model::Task, now: time::Instant) -> Option<time::Duration> {
        let spec = &task.spec;
        let kind = self.predictor.index(&task.customer_id, &spec.kind);
        let short = self.predictor.predict(kind, spec).short;
        let requirement = targets::Requirement {
            reserve: spec.demand,
            members: u32::from(spec.members),
            short,
            allows_probation: spec.repeatable,
            short_slots_only: false,
            cross_region: true,
            excluded_instances: &[],
            seed: 0,
        };
        if self.targets.choose(&requirement).is_some() {
            return None;
        }
        let key = lanes::LaneKey::new(spec, kind, &[]);
        let lanes = &mut self.plans.get_mut(&task.plan_id)?.lanes;
        let position = lanes.get(&key)?;
        let lane = lanes.get_mut(position);
        if now.saturating_duration_since(lane.busy_since) < MIN_BUSY_TIME {
            return None;
        }
        let starts_a_second = lane.starts.peak(RATE_WINDOW_SECONDS, now);
        if starts_a_second == 0 {
            return None;
        }
        let wait_ms = lane.live as u64 * 1000 / starts_a_second;
        Some(time::Duration::from_millis(wait_ms))
    }
}
