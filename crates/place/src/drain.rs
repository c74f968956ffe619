//! Makes room for the gang that has waited longest.

use std::time;

use crate::fleet;
use crate::place;
use crate::run;

const MAX_GANGS: usize = 64;
const FORGET_AFTER: time::Duration = time::Duration::from_secs(2);

/// A gang that was refused for want of room.
#[derive(Clone, Debug)]
struct Waiting {
    task: model::Task,
    attempt: model::Attempt,
    members: Vec<u16>,
    reserve: model::Demand,
    expected_run: time::Duration,
    first_asked_at: time::Instant,
    last_asked_at: time::Instant,
}

/// Gangs that were refused; room is kept for the one refused first.
#[derive(Debug, Default)]
pub(crate) struct Drains {
    waiting: indexmap::IndexMap<(model::TaskId, model::Attempt), Waiting>,
    active: Option<(model::TaskId, model::Attempt)>,
    active_since: Option<time::Instant>,
}

impl Drains {
    pub(crate) fn forget(&mut self, task_id: model::TaskId, attempt: model::Attempt) {
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

    fn note(&mut self, request: &fleet::Request<'_>, now: time::Instant) {
        let key = (request.task.task_id, request.attempt);
        if let Some(waiting) = self.waiting.get_mut(&key) {
            waiting.last_asked_at = now;
        } else if self.waiting.len() < MAX_GANGS {
            let waiting = Waiting {
                task: request.task.clone(),
                attempt: request.attempt,
                members: request.members.to_vec(),
                reserve: request.reserve,
                expected_run: request.expected_run,
                first_asked_at: now,
                last_asked_at: now,
            };
            self.waiting.insert(key, waiting);
        }
        self.elect(now);
    }

    /// Drops gangs that no longer ask, and makes the first one active if none is.
    fn elect(&mut self, now: time::Instant) {
        self.waiting
            .retain(|_, gang| now.saturating_duration_since(gang.last_asked_at) < FORGET_AFTER);
        if self
            .active
            .is_some_and(|key| self.waiting.contains_key(&key))
        {
            return;
        }
        let first = self
            .waiting
            .iter()
            .min_by_key(|(key, gang)| (gang.first_asked_at, **key));
        self.active = first.map(|(key, _)| *key);
        self.active_since = self.active.map(|_| now);
    }

    /// Sends a gang that has been active for too long back to the end.
    fn rotate(&mut self, limit: time::Duration, now: time::Instant) {
        let overdue = self
            .active_since
            .is_some_and(|since| now.saturating_duration_since(since) > limit);
        if !overdue {
            return;
        }
        if let Some(gang) = self.active.and_then(|key| self.waiting.get_mut(&key)) {
            gang.first_asked_at = now;
        }
        self.active = None;
    }
}

impl fleet::Fleet {
    /// Notes a refused gang and drops what was reserved for it, unless room is being made for it.
    pub(crate) fn give_up(
        &mut self,
        request: &fleet::Request<'_>,
        added: &[model::TaskAttempt],
        now: time::Instant,
    ) {
        if request.members.len() > 1 {
            self.drains.note(request, now);
        }
        if self.drains.is_active(request.task.task_id, request.attempt) {
            self.extend_holds(request, now);
            return;
        }
        for id in added {
            self.remove_run(id, now);
        }
    }

    /// Reserves freed room for the gang that has waited longest.
    pub(crate) fn fill_drain(&mut self, now: time::Instant) {
        let Some(gang) = self
            .drains
            .active
            .and_then(|key| self.drains.waiting.get(&key))
        else {
            return;
        };
        let gang = gang.clone();
        let request = fleet::Request {
            task: &gang.task,
            attempt: gang.attempt,
            members: &gang.members,
            reserve: gang.reserve,
            expected_run: gang.expected_run,
            short: false,
            reserve_only: true,
        };
        let lapses_at = now + self.settings.reservation_timeout;
        for member in request.members {
            let id = place::attempt_of(&request, *member);
            if self.runs.contains_key(&id) {
                continue;
            }
            let Some(worker) = self.choose(&request) else {
                return;
            };
            let run = self.new_run(&request, worker, run::Stage::Reserved { lapses_at }, now);
            self.add_run(id, run, now);
        }
    }

    /// Returns whether a request is the active gang and too large for the slots that are not kept
    /// for short tasks at their most.
    pub(crate) fn is_exempt(&self, request: &fleet::Request<'_>) -> bool {
        let open = self.pool.slots() - self.max_short_slots();
        request.members.len() as u32 > open
            && self.drains.is_active(request.task.task_id, request.attempt)
    }

    pub(crate) fn tick_drains(&mut self, now: time::Instant) {
        self.drains.rotate(self.settings.drain_timeout, now);
        self.drains.elect(now);
        self.fill_drain(now);
    }

    fn extend_holds(&mut self, request: &fleet::Request<'_>, now: time::Instant) {
        let lapses_at = now + self.settings.reservation_timeout;
        for member in request.members {
            let id = place::attempt_of(request, *member);
            if let Some(run) = self.runs.get_mut(&id)
                && !run.is_placed()
            {
                run.stage = run::Stage::Reserved { lapses_at };
                self.lapses.push(std::cmp::Reverse((lapses_at, id)));
            }
        }
    }
}
