//! Reserves freed capacity for the gang that has waited longest.

use std::time;

use crate::fleet;
use crate::place;
use crate::run;

const MAX_WAITING_GANGS: usize = 64;
const REQUEST_EXPIRY: time::Duration = time::Duration::from_secs(2);

/// A gang that was refused for lack of free capacity.
#[derive(Clone, Debug)]
struct WaitingGang {
    task: model::Task,
    attempt: model::Attempt,
    members: Vec<u16>,
    reserve: model::Demand,
    expected_run_time: time::Duration,
    queued_at: time::Instant,
    last_requested_at: time::Instant,
}

/// Refused gangs; freed capacity is reserved for the active one, which was refused first.
#[derive(Debug, Default)]
pub(crate) struct GangQueue {
    waiting: indexmap::IndexMap<(model::TaskId, model::Attempt), WaitingGang>,
    active: Option<(model::TaskId, model::Attempt)>,
    active_since: Option<time::Instant>,
}

impl GangQueue {
    pub(crate) fn remove(&mut self, task_id: model::TaskId, attempt: model::Attempt) {
        if self.waiting.is_empty() {
            return;
        }
        let key = (task_id, attempt);
        self.waiting.shift_remove(&key);
        if self.active == Some(key) {
            self.active = None;
        }
    }

    pub(crate) fn is_active(&self, task_id: model::TaskId, attempt: model::Attempt) -> bool {
        self.active == Some((task_id, attempt))
    }

    fn record_refusal(&mut self, request: &fleet::Request<'_>, now: time::Instant) {
        let key = (request.task.task_id, request.attempt);
        if let Some(waiting) = self.waiting.get_mut(&key) {
            waiting.last_requested_at = now;
        } else if self.waiting.len() < MAX_WAITING_GANGS {
            let waiting = WaitingGang {
                task: request.task.clone(),
                attempt: request.attempt,
                members: request.members.to_vec(),
                reserve: request.reserve,
                expected_run_time: request.expected_run_time,
                queued_at: now,
                last_requested_at: now,
            };
            self.waiting.insert(key, waiting);
        }
        self.select_active(now);
    }

    /// Drops gangs that are no longer requested, and activates the first one if none is active.
    fn select_active(&mut self, now: time::Instant) {
        self.waiting.retain(|_, gang| {
            now.saturating_duration_since(gang.last_requested_at) < REQUEST_EXPIRY
        });
        if self
            .active
            .is_some_and(|key| self.waiting.contains_key(&key))
        {
            return;
        }
        let first = self
            .waiting
            .iter()
            .min_by_key(|(key, gang)| (gang.queued_at, **key));
        self.active = first.map(|(key, _)| *key);
        self.active_since = self.active.map(|_| now);
    }

    /// Moves a gang that has been active for longer than `limit` to the end of the queue.
    fn rotate_overdue(&mut self, limit: time::Duration, now: time::Instant) {
        let overdue = self
            .active_since
            .is_some_and(|since| now.saturating_duration_since(since) > limit);
        if !overdue {
            return;
        }
        if let Some(gang) = self.active.and_then(|key| self.waiting.get_mut(&key)) {
            gang.queued_at = now;
        }
        self.active = None;
    }
}

impl fleet::Fleet {
    /// Records the refusal of a gang, and releases what the refused request has reserved, unless it
    /// is for the active gang.
    pub(crate) fn abort_placement(
        &mut self,
        request: &fleet::Request<'_>,
        added: &[model::TaskAttempt],
        now: time::Instant,
    ) {
        if request.members.len() > 1 {
            self.gang_queue.record_refusal(request, now);
        }
        if self
            .gang_queue
            .is_active(request.task.task_id, request.attempt)
        {
            self.extend_reservations(request, now);
            return;
        }
        for id in added {
            self.remove_run(id, now);
        }
    }

    /// Reserves freed capacity for the active gang.
    pub(crate) fn reserve_for_active_gang(&mut self, now: time::Instant) {
        let Some(gang) = self
            .gang_queue
            .active
            .and_then(|key| self.gang_queue.waiting.get(&key))
        else {
            return;
        };
        let gang = gang.clone();
        let request = fleet::Request {
            task: &gang.task,
            attempt: gang.attempt,
            members: &gang.members,
            reserve: gang.reserve,
            expected_run_time: gang.expected_run_time,
            short: false,
            reserve_only: true,
        };
        let expires_at = now + self.settings.reservation_timeout;
        for member in request.members {
            let id = place::attempt_of(&request, *member);
            if self.runs.contains_key(&id) {
                continue;
            }
            let Some(worker) = self.choose_worker(&request) else {
                return;
            };
            let run = self.new_run(&request, worker, run::Stage::Reserved { expires_at }, now);
            self.add_run(id, run, now);
        }
    }

    /// Returns whether a request is for the active gang and needs more slots than are left when the
    /// most slots are kept for short tasks.
    pub(crate) fn may_use_short_slots(&self, request: &fleet::Request<'_>) -> bool {
        let open = self.pool.slots() - self.max_short_slots();
        request.members.len() as u32 > open
            && self
                .gang_queue
                .is_active(request.task.task_id, request.attempt)
    }

    pub(crate) fn tick_gang_queue(&mut self, now: time::Instant) {
        self.gang_queue
            .rotate_overdue(self.settings.gang_turn_timeout, now);
        self.gang_queue.select_active(now);
        self.reserve_for_active_gang(now);
    }

    fn extend_reservations(&mut self, request: &fleet::Request<'_>, now: time::Instant) {
        let expires_at = now + self.settings.reservation_timeout;
        for member in request.members {
            let id = place::attempt_of(request, *member);
            if let Some(run) = self.runs.get_mut(&id)
                && !run.is_committed()
            {
                run.stage = run::Stage::Reserved { expires_at };
                self.reservation_expiries
                    .push(std::cmp::Reverse((expires_at, id)));
            }
        }
    }
}
