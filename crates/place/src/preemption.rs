//! Preemption and throttling of long runs in favour of waiting short tasks.

use std::cmp;
use std::time;

use crate::fleet;
use crate::queue_settings;
use crate::run;
use crate::run_command;

const REFRESH_INTERVAL: time::Duration = time::Duration::from_millis(200);
const PREEMPTION_INTERVAL: time::Duration = time::Duration::from_millis(100);
const MIN_RUN_BEFORE_CHECKPOINT: time::Duration = time::Duration::from_secs(1);
const CHECKPOINT_TIMEOUT: time::Duration = time::Duration::from_secs(10);
const MAX_ATTEMPTS: model::Attempt = 5;
const MAX_CHECKPOINTING_DIVISOR: u32 = 16;
const MAX_PROBES: usize = 32;
const THROTTLE_PERCENT: u8 = 50;

impl fleet::Fleet {
    /// Runs periodic work; `short_waiting` is the number of short tasks that wait for this fleet.
    ///
    /// Expires reservations, reclassifies short runs that ran too long, updates the number of slots
    /// kept for short tasks, and checkpoints or throttles long runs when short tasks find no slot.
    pub fn tick(&mut self, short_waiting: u32, now: time::Instant) -> Vec<run_command::RunCommand> {
        self.last_event_at = Some(now);
        self.expire_reservations(now);
        self.refresh_probation(now);
        self.tick_gang_queue(now);
        if self.settings.policy == queue_settings::Policy::Baseline {
            return Vec::new();
        }
        self.demote_overlong_runs(now);
        self.refresh_short_slots(short_waiting, now);
        let mut commands = Vec::new();
        if short_waiting > 0 && self.pool.short_task_capacity() == 0 {
            self.preempt_long_runs(short_waiting, now, &mut commands);
        }
        if short_waiting == 0 {
            self.unthrottle(now, &mut commands);
        }
        commands
    }

    /// Returns the most slots that are kept for short tasks.
    pub(crate) fn max_short_slots(&self) -> u32 {
        self.pool.slots() * self.settings.max_short_percent / 100
    }

    fn expire_reservations(&mut self, now: time::Instant) {
        while let Some(cmp::Reverse((due, id))) = self.reservation_expiries.peek().copied() {
            if due > now {
                return;
            }
            self.reservation_expiries.pop();
            let stage = self.runs.get(&id).map(|run| run.stage);
            if stage == Some(run::Stage::Reserved { expires_at: due }) {
                self.remove_run(&id, now);
            }
        }
    }

    /// Updates the index for workers on probation, so that those whose backoff is over get trial
    /// runs.
    fn refresh_probation(&mut self, now: time::Instant) {
        for position in 0..self.on_probation.len() {
            if let Some(index) = self.on_probation.get_index(position) {
                self.pool.refresh(*index, now);
            }
        }
    }

    fn demote_overlong_runs(&mut self, now: time::Instant) {
        while let Some(cmp::Reverse((due, id))) = self.demotions.peek().copied() {
            if due > now {
                return;
            }
            self.demotions.pop();
            let Some(run) = self.runs.get(&id) else {
                continue;
            };
            if !run.short || run.started_at + self.settings.demote_after != due {
                continue;
            }
            let mut run = run.clone();
            self.unindex_run(id, &run);
            run.short = false;
            self.index_run(id, &run);
            self.runs.insert(id, run);
        }
    }

    fn refresh_short_slots(&mut self, waiting: u32, now: time::Instant) {
        let recent = self
            .refreshed_at
            .is_some_and(|at| now.saturating_duration_since(at) < REFRESH_INTERVAL);
        if recent {
            return;
        }
        self.refreshed_at = Some(now);
        let max_slots = self.max_short_slots();
        self.short_slots.refresh(waiting, max_slots, now);
        self.pool
            .set_typical_short_demand(self.short_slots.typical_demand());
    }

    /// Checkpoints as many long runs as short tasks lack slots, a limited number at a time.
    fn preempt_long_runs(
        &mut self,
        waiting: u32,
        now: time::Instant,
        commands: &mut Vec<run_command::RunCommand>,
    ) {
        let recent = self
            .preempted_at
            .is_some_and(|at| now.saturating_duration_since(at) < PREEMPTION_INTERVAL);
        if recent {
            return;
        }
        self.preempted_at = Some(now);
        self.drop_overdue_checkpoints(now);
        let missing = self.short_slots.slots().saturating_sub(self.short_running);
        let max_checkpointing = (self.pool.slots() / MAX_CHECKPOINTING_DIVISOR).max(1);
        let target = waiting.min(missing).min(max_checkpointing) as usize;
        for _ in self.checkpointing.len()..target {
            let Some(id) = self.youngest_to_checkpoint(now) else {
                commands.extend(self.throttle_one());
                return;
            };
            commands.extend(self.checkpoint(id, now));
        }
    }

    /// Returns the eligible long run with the least work to lose, among a bounded number of the
    /// youngest.
    fn youngest_to_checkpoint(&self, now: time::Instant) -> Option<model::TaskAttempt> {
        let youngest = self.preemptible_runs.iter().rev().take(MAX_PROBES);
        let mut eligible = youngest.filter(|(started_at, id)| {
            let run_time = now.saturating_duration_since(*started_at);
            run_time >= MIN_RUN_BEFORE_CHECKPOINT && id.attempt < MAX_ATTEMPTS
        });
        eligible.next().map(|(_, id)| *id)
    }

    fn checkpoint(
        &mut self,
        id: model::TaskAttempt,
        now: time::Instant,
    ) -> Option<run_command::RunCommand> {
        let run = self.runs.get_mut(&id)?;
        run.end_requested_at = Some(now);
        self.preemptible_runs.remove(&(run.started_at, id));
        self.checkpointing.insert(id);
        let worker_id = self.worker_of(&id)?.clone();
        Some(run_command::RunCommand::Checkpoint { run: id, worker_id })
    }

    /// Drops checkpoint requests that were not completed in time, so that others may be made.
    fn drop_overdue_checkpoints(&mut self, now: time::Instant) {
        let runs = &self.runs;
        self.checkpointing.retain(|id| {
            let since = runs.get(id).and_then(|run| run.end_requested_at);
            since.is_some_and(|at| now.saturating_duration_since(at) < CHECKPOINT_TIMEOUT)
        });
    }

    /// Throttles a long run on a worker that has a free slot but too few free processors for a short
    /// task.
    fn throttle_one(&mut self) -> Option<run_command::RunCommand> {
        let typical = self.short_slots.typical_demand();
        let candidates = self.unrepeatable_runs.iter().rev().take(MAX_PROBES);
        let mut short_of_processors = candidates.filter(|(_, id)| {
            let Some(run) = self.runs.get(id) else {
                return false;
            };
            let free = self.pool.get(run.worker).map(|worker| worker.free());
            run.throttle.is_none()
                && free.is_some_and(|free| {
                    free.slots > 0 && free.resources.processors_milli < typical.processors_milli
                })
        });
        let id = short_of_processors.next().map(|(_, id)| *id)?;
        self.throttle(id, THROTTLE_PERCENT)
    }

    /// Limits the processors of a run; its reservation shrinks once a usage report shows the effect.
    pub(crate) fn throttle(
        &mut self,
        id: model::TaskAttempt,
        percent: u8,
    ) -> Option<run_command::RunCommand> {
        let run = self.runs.get_mut(&id)?;
        let before = run.throttle.map(|throttle| throttle.processors_milli);
        run.throttle = Some(run::Throttle {
            percent,
            processors_milli: before.unwrap_or(run.reserved.processors_milli),
        });
        self.throttled.insert(id);
        let worker_id = self.worker_of(&id)?.clone();
        Some(run_command::RunCommand::Throttle {
            run: id,
            worker_id,
            percent,
        })
    }

    /// Lifts the limit of a run that was throttled for short tasks, once the processors it needs
    /// are free again.
    fn unthrottle(&mut self, now: time::Instant, commands: &mut Vec<run_command::RunCommand>) {
        let candidates = self.throttled.iter().take(MAX_PROBES);
        let id = candidates.copied().find(|id| self.can_unthrottle(id));
        let Some(id) = id else {
            return;
        };
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let Some(throttle) = run.throttle.take() else {
            return;
        };
        let added = throttle
            .processors_milli
            .saturating_sub(run.reserved.processors_milli);
        run.reserved.processors_milli += added;
        let index = run.worker;
        self.throttled.swap_remove(&id);
        self.pool.update(index, now, |worker| {
            worker.reserved.processors_milli += added;
        });
        commands.extend(
            self.worker_of(&id)
                .map(|worker_id| run_command::RunCommand::Throttle {
                    run: id,
                    worker_id: worker_id.clone(),
                    percent: 100,
                }),
        );
    }

    fn can_unthrottle(&self, id: &model::TaskAttempt) -> bool {
        let Some(run) = self.runs.get(id) else {
            return false;
        };
        let Some(throttle) = run.throttle else {
            return false;
        };
        let added = throttle
            .processors_milli
            .saturating_sub(run.reserved.processors_milli);
        let free = self.pool.get(run.worker).map(|worker| worker.free());
        run.overruns == 0 && free.is_some_and(|free| free.resources.processors_milli >= added)
    }
}
