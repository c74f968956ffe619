//! Placement of all members of a request on workers, or of none.

use std::time;

use crate::fleet;
use crate::queue_settings;
use crate::run;
use crate::spread;
use crate::worker;

impl fleet::Fleet {
    /// Chooses a worker for every member, or for none.
    ///
    /// Idempotent: a repeated request for members that are already placed returns the same workers.
    /// Members that were only reserved are committed by a request without `reserve_only`.
    ///
    /// # Errors
    ///
    /// Returns [`fleet::InsufficientCapacity`] if not every member fits.
    pub fn place(
        &mut self,
        request: &fleet::Request<'_>,
        now: time::Instant,
    ) -> Result<Vec<(u16, model::WorkerId)>, fleet::InsufficientCapacity> {
        self.last_event_at = Some(now);
        let request = &self.with_observed_memory(request);
        let mut added = Vec::new();
        for member in request.members {
            let id = attempt_of(request, *member);
            if self.runs.contains_key(&id) {
                continue;
            }
            let Some(worker) = self.choose_worker(request) else {
                self.abort_placement(request, &added, now);
                return Err(fleet::InsufficientCapacity);
            };
            let expires_at = now + self.settings.reservation_timeout;
            let run = self.new_run(request, worker, run::Stage::Reserved { expires_at }, now);
            self.add_run(id, run, now);
            added.push(id);
        }
        self.gang_queue
            .remove(request.task.task_id, request.attempt);
        if !request.reserve_only {
            self.commit(request, now);
        }
        Ok(self.workers_of(request))
    }

    /// Raises the reserved memory to the peak observed for tasks of the kind, at most to the memory
    /// of the largest worker.
    fn with_observed_memory<'a>(&self, request: &fleet::Request<'a>) -> fleet::Request<'a> {
        let mut reserve = request.reserve;
        if self.settings.policy == queue_settings::Policy::Fair {
            let expected_mb = self
                .memory_peaks
                .expected_mb(&spread::KindKey::of(request.task));
            let max_mb = self.pool.largest_worker().memory_mb;
            reserve.memory_mb = reserve.memory_mb.max(expected_mb.min(max_mb));
        }
        fleet::Request {
            reserve,
            ..*request
        }
    }

    /// Chooses a worker for one member.
    pub(crate) fn choose_worker(&self, request: &fleet::Request<'_>) -> Option<usize> {
        let spec = &request.task.spec;
        if self.settings.policy == queue_settings::Policy::Baseline {
            return self.pool.first_fit(&request.reserve);
        }
        let failed_on = self.failed_on.get(&request.task.task_id).copied();
        let worker = match spec.class {
            _ if failed_on.is_some() => self.choose_other_worker(request, failed_on),
            model::Class::Service => self.choose_service_worker(request),
            model::Class::Batch if spec.repeatable => self
                .pool
                .first_fit_on_probation(&request.reserve)
                .or_else(|| self.pool.first_fit(&request.reserve)),
            _ => self.pool.first_fit(&request.reserve),
        }?;
        if request.short || self.may_use_short_slots(request) {
            return Some(worker);
        }
        (self.free_long_slots() > 0).then_some(worker)
    }

    /// Chooses a worker that is not on probation and is not the one that failed the task before; a
    /// fleet of one worker has no alternative.
    fn choose_other_worker(
        &self,
        request: &fleet::Request<'_>,
        failed_on: Option<usize>,
    ) -> Option<usize> {
        if self.pool.len() == 1 {
            return self.pool.first_fit(&request.reserve);
        }
        let now = self.last_event_at?;
        let other = self.pool.iter().find(|(index, candidate)| {
            let (group, usable) = candidate.group_and_usable(now);
            let in_good_standing =
                matches!(group, worker::Group::Plain | worker::Group::Accelerated);
            in_good_standing
                && Some(*index) != failed_on
                && worker::tasks_that_fit(&usable, &request.reserve) > 0
        });
        other.map(|(index, _)| index)
    }

    pub(crate) fn new_run(
        &self,
        request: &fleet::Request<'_>,
        worker: usize,
        stage: run::Stage,
        now: time::Instant,
    ) -> run::Run {
        run::Run {
            worker,
            task: request.task.clone(),
            stage,
            reserved: request.reserve,
            short: request.short,
            started_at: now,
            overruns: 0,
            throttle: None,
            end_requested_at: None,
        }
    }

    fn choose_service_worker(&self, request: &fleet::Request<'_>) -> Option<usize> {
        let key = spread::KindKey::of(request.task);
        let seed = request.task.task_id.as_u128() as usize;
        let spread = self.pool.spread_fit(&request.reserve, seed, |location| {
            self.spread_load(&key, location)
        });
        spread.or_else(|| self.pool.first_fit(&request.reserve))
    }

    fn commit(&mut self, request: &fleet::Request<'_>, now: time::Instant) {
        for member in request.members {
            let id = attempt_of(request, *member);
            let Some(run) = self.runs.get_mut(&id) else {
                continue;
            };
            if run.is_committed() {
                continue;
            }
            run.stage = run::Stage::Committed;
            run.started_at = now;
            let run = run.clone();
            self.index_run(id, &run);
            if run.short {
                self.short_slots
                    .record_start(request.expected_run_time, &request.reserve, now);
            }
        }
    }

    fn workers_of(&self, request: &fleet::Request<'_>) -> Vec<(u16, model::WorkerId)> {
        let members = request.members.iter();
        members
            .filter_map(|member| {
                let worker_id = self.worker_of(&attempt_of(request, *member))?;
                Some((*member, worker_id.clone()))
            })
            .collect()
    }
}

/// Returns the id of a member's run.
pub(crate) fn attempt_of(request: &fleet::Request<'_>, member: u16) -> model::TaskAttempt {
    model::TaskAttempt {
        task_id: request.task.task_id,
        member,
        attempt: request.attempt,
    }
}
