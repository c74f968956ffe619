//! Which workers the recommendation service is asked about.

use std::iter;

use crate::advice;
use crate::candidate;
use crate::candidate::Candidate;
use crate::event;
use crate::manifest;
use crate::tickets;

/// How much more room is asked about for tasks than they need, as the share of allowed workers
/// varies.
const TASK_SLACK: f64 = 1.2;
/// How much more room the workers that a gang may use should have in the mean than it needs: all of
/// it must be free at once.
const GANG_SLACK: f64 = 2.0;
/// Least tasks of a gang for which each worker is taken to have room in the mean; with less, all
/// workers are asked about in the end.
const MIN_MEAN_ROOM: f64 = 0.5;
/// One more worker is asked for a ticket for each so many that a gang needs, as one may fill up
/// or leave meanwhile.
const SPARE_PART: usize = 8;

/// What is known of a step for a call.
pub(crate) struct Question<'a> {
    /// Every worker on which the step may start, as far as is known.
    pub(crate) usable: &'a [Candidate],
    pub(crate) step: &'a model::Step,
    pub(crate) demand: model::Demand,
    /// Tasks of the step that have room on a worker in the mean.
    pub(crate) mean_room: f64,
    /// How long the step has waited, as a multiple of the job's objective.
    pub(crate) waited: f64,
    pub(crate) tickets: &'a tickets::Tickets,
    pub(crate) terms: manifest::AdviceTerms,
    /// Share of workers that the service allows for such steps.
    pub(crate) allowed_share: f64,
    pub(crate) clock: event::Clock,
}

/// A call that tasks that start one by one should make.
#[derive(Debug)]
pub(crate) struct TaskCall {
    pub(crate) names: Vec<model::WorkerId>,
    /// Room that the tasks will need if the workers are allowed; one entry a task.
    pub(crate) rooms: Vec<model::WorkerLife>,
}

/// A call that a gang should make.
#[derive(Debug)]
pub(crate) enum GangCall {
    /// It fits on workers known to be allowed; their tickets are missing.
    Tickets {
        names: Vec<model::WorkerId>,
        /// Where it fits; the room is to be kept meanwhile.
        assignment: candidate::Assignment,
    },
    /// More workers must be known.
    Learn { names: Vec<model::WorkerId> },
}

impl Question<'_> {
    /// Returns the call that tasks that start one by one should make, if one would help.
    pub(crate) fn call_for_tasks(&self, missing: u32) -> Option<TaskCall> {
        let now = self.clock.now;
        let demand = &self.demand;
        let mut unsure: Vec<_> = self
            .usable
            .iter()
            .filter(|one| self.tickets.valid(&one.life.worker_id, now).is_none())
            .collect();
        if !self.tickets.is_empty() {
            unsure.retain(|one| one.room_for(demand) > 0);
        }
        unsure.sort_by_key(|one| {
            let is_allowed = self.tickets.is_allowed(&one.life.worker_id);
            (!is_allowed, u32::MAX - one.room_for(demand).min(missing))
        });
        let wanted = f64::from(missing) * TASK_SLACK;
        let mut expected = 0.0;
        let mut rooms = Vec::new();
        let mut needed = 0;
        for one in &unsure {
            if expected >= wanted {
                break;
            }
            let room = one.room_for(demand).min(missing);
            let is_allowed = self.tickets.is_allowed(&one.life.worker_id);
            let share = if is_allowed { 1.0 } else { self.allowed_share };
            expected += f64::from(room) * share;
            rooms.extend(iter::repeat_n(one.life.clone(), room as usize));
            needed += 1;
        }
        let limit = advice::naming_limit(&self.terms, needed);
        let names = names_of(unsure.into_iter().take(limit));
        (!names.is_empty()).then_some(TaskCall { names, rooms })
    }

    /// Returns the call that a gang without valid tickets should make, if one would help.
    pub(crate) fn call_for_gang(&self) -> Option<GangCall> {
        let allowed: Vec<_> = self
            .usable
            .iter()
            .filter(|one| self.tickets.is_allowed(&one.life.worker_id))
            .collect();
        let assignment = candidate::assign_gang(&allowed, self.step, &self.demand);
        if !assignment.is_empty() {
            let names = self.names_for_tickets(&allowed, &assignment);
            return Some(GangCall::Tickets { names, assignment });
        }
        let names = self.names_to_learn(&allowed);
        (!names.is_empty()).then_some(GangCall::Learn { names })
    }

    /// Returns the workers of an assignment whose tickets must be asked for, and some to spare.
    fn names_for_tickets(
        &self,
        allowed: &[&Candidate],
        assignment: &candidate::Assignment,
    ) -> Vec<model::WorkerId> {
        let is_assigned = |one: &Candidate| assignment.iter().any(|(_, life)| *life == one.life);
        let (assigned, others): (Vec<&Candidate>, Vec<&Candidate>) =
            allowed.iter().partition(|one| is_assigned(one));
        let spares = others
            .into_iter()
            .filter(|one| one.room_for(&self.demand) > 0)
            .take(assigned.len().div_ceil(SPARE_PART));
        let wanted: Vec<_> = assigned.iter().copied().chain(spares).collect();
        let needed_until = self.clock.now + advice::longest(&self.terms, wanted.len());
        let expired = wanted.into_iter().filter(|one| {
            let worker_id = &one.life.worker_id;
            self.tickets.valid(worker_id, needed_until).is_none()
        });
        names_of(expired.take(advice::MAX_NAMED))
    }

    /// Returns workers that were never asked about, those with most room first; none if enough are
    /// known.
    ///
    /// Enough are known when, with as much room on each as there is in the mean now, the allowed
    /// ones would hold the gang; more are wanted the longer it waits.
    fn names_to_learn(&self, allowed: &[&Candidate]) -> Vec<model::WorkerId> {
        let demand = &self.demand;
        let mut unknown: Vec<_> = self
            .usable
            .iter()
            .filter(|one| !self.tickets.is_allowed(&one.life.worker_id))
            .collect();
        let count = f64::from(self.step.task_count);
        let mean_room = self.mean_room.max(MIN_MEAN_ROOM);
        let wanted = count * GANG_SLACK * (1.0 + self.waited) / mean_room;
        let capacity: f64 = allowed
            .iter()
            .map(|one| f64::from(one.capacity_for(demand)))
            .sum();
        let lacking = (count * GANG_SLACK - capacity).max(0.0);
        let missing = (wanted - allowed.len() as f64).max(lacking);
        if missing <= 0.0 {
            return Vec::new();
        }
        unknown.sort_by_key(|one| {
            let free = one.free.processors_milli;
            (u32::MAX - one.room_for(demand), u32::MAX - free)
        });
        let needed = (missing / self.allowed_share).ceil() as usize;
        names_of(unknown.into_iter().take(needed))
    }
}

fn names_of<'a>(candidates: impl Iterator<Item = &'a Candidate>) -> Vec<model::WorkerId> {
    candidates.map(|one| one.life.worker_id.clone()).collect()
}
