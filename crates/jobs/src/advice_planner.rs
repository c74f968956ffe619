//! Chooses the workers about which the recommendation service is called.

use std::iter;

use crate::advisors;
use crate::candidate;
use crate::candidate::Candidate;
use crate::event;
use crate::manifest;
use crate::tickets;

/// Expected allowed capacity of the workers that a call for tasks names, as a multiple of what the
/// tasks need: the share of allowed workers varies.
const TASK_CAPACITY_FACTOR: f64 = 1.2;
/// Capacity that the workers allowed for a gang should have, as a multiple of what the gang needs:
/// all that it needs must be free on them at the same time.
const GANG_CAPACITY_FACTOR: f64 = 2.0;
/// Lower bound of the mean number of tasks of a gang that are assumed to fit on a worker; with a
/// lower one, all workers would be asked about eventually.
const MIN_MEAN_FIT_COUNT: f64 = 0.5;
/// Number of workers of a gang for which one spare ticket is requested, as a worker may fill up or
/// leave during the call.
const SPARE_TICKETS_DIVISOR: usize = 8;

/// The state of a step from which its next call is planned.
pub(crate) struct AdvicePlanner<'a> {
    /// Every worker on which the step may start, as far as the leader knows.
    pub(crate) usable: &'a [Candidate<'a>],
    pub(crate) step: &'a model::Step,
    pub(crate) demand: model::Demand,
    /// Mean number of tasks of the step that fit on a worker.
    pub(crate) mean_fit_count: f64,
    /// How long the step has been blocked, as a multiple of the job's objective.
    pub(crate) blocked_ratio: f64,
    pub(crate) tickets: &'a tickets::Tickets,
    pub(crate) terms: manifest::AdviceTerms,
    /// Estimated share of workers that the service allows for steps of the queue.
    pub(crate) allowed_share: f64,
    pub(crate) clock: event::Clock,
}

/// The next call for tasks that start independently.
#[derive(Debug)]
pub(crate) struct TaskCall {
    pub(crate) worker_ids: Vec<model::WorkerId>,
    /// Workers on which to reserve capacity during the call, with one entry for each task.
    pub(crate) reserve_on: Vec<model::WorkerIncarnation>,
}

/// The next call for a gang.
#[derive(Debug)]
pub(crate) enum GangCall {
    /// The gang fits on workers known to be allowed, whose tickets have to be renewed.
    Renew {
        worker_ids: Vec<model::WorkerId>,
        /// Where the gang fits; the capacity is to be reserved during the call.
        assignment: candidate::Assignment,
    },
    /// More allowed workers have to be found.
    Discover { worker_ids: Vec<model::WorkerId> },
}

impl AdvicePlanner<'_> {
    /// Returns the next call for tasks that start independently, if one would help.
    pub(crate) fn call_for_tasks(&self, missing: u32) -> Option<TaskCall> {
        let now = self.clock.now;
        let demand = &self.demand;
        let mut without_ticket: Vec<_> = self
            .usable
            .iter()
            .filter(|one| {
                self.tickets
                    .valid_token(&one.incarnation.worker_id, now)
                    .is_none()
            })
            .collect();
        if !self.tickets.is_empty() {
            without_ticket.retain(|one| one.fit_count(demand) > 0);
        }
        without_ticket.sort_by_cached_key(|one| {
            let is_allowed = self.tickets.is_allowed(&one.incarnation.worker_id);
            let fitting = one.fit_count(demand).min(missing);
            (
                !is_allowed,
                fitting == 0,
                one.speed_rank,
                u32::MAX - fitting,
            )
        });
        let wanted = f64::from(missing) * TASK_CAPACITY_FACTOR;
        let mut expected = 0.0;
        let mut reserve_on = Vec::new();
        let mut needed = 0;
        for one in &without_ticket {
            if expected >= wanted {
                break;
            }
            let fitting = one.fit_count(demand).min(missing);
            let is_allowed = self.tickets.is_allowed(&one.incarnation.worker_id);
            let share = if is_allowed { 1.0 } else { self.allowed_share };
            expected += f64::from(fitting) * share;
            reserve_on.extend(iter::repeat_n(one.incarnation.clone(), fitting as usize));
            needed += 1;
        }
        let limit = advisors::call_size_limit(&self.terms, needed);
        let worker_ids = worker_ids_of(without_ticket.into_iter().take(limit));
        (!worker_ids.is_empty()).then_some(TaskCall {
            worker_ids,
            reserve_on,
        })
    }

    /// Returns the next call for a gang that cannot start with its valid tickets, if one would
    /// help.
    pub(crate) fn call_for_gang(&self) -> Option<GangCall> {
        let allowed: Vec<_> = self
            .usable
            .iter()
            .filter(|one| self.tickets.is_allowed(&one.incarnation.worker_id))
            .collect();
        let assignment = candidate::assign_gang(&allowed, self.step, &self.demand);
        if !assignment.is_empty() {
            let worker_ids = self.workers_to_renew(&allowed, &assignment);
            return Some(GangCall::Renew {
                worker_ids,
                assignment,
            });
        }
        let worker_ids = self.workers_to_discover(&allowed);
        (!worker_ids.is_empty()).then_some(GangCall::Discover { worker_ids })
    }

    /// Returns the workers of an assignment whose tickets must be renewed, and some spare ones.
    fn workers_to_renew(
        &self,
        allowed: &[&Candidate<'_>],
        assignment: &candidate::Assignment,
    ) -> Vec<model::WorkerId> {
        let is_assigned = |one: &Candidate<'_>| {
            assignment
                .iter()
                .any(|(_, incarnation)| incarnation == one.incarnation)
        };
        let (assigned, mut others): (Vec<&Candidate<'_>>, Vec<&Candidate<'_>>) =
            allowed.iter().partition(|one| is_assigned(one));
        others.sort_by_key(|one| one.speed_rank);
        let spares = others
            .into_iter()
            .filter(|one| one.fit_count(&self.demand) > 0)
            .take(assigned.len().div_ceil(SPARE_TICKETS_DIVISOR));
        let wanted: Vec<_> = assigned.iter().copied().chain(spares).collect();
        let named = advisors::even_call_size(wanted.len());
        let needed_until = self.clock.now + advisors::duration_with_backlog(&self.terms, named);
        let expired = wanted.into_iter().filter(|one| {
            let worker_id = &one.incarnation.worker_id;
            self.tickets.valid_token(worker_id, needed_until).is_none()
        });
        worker_ids_of(expired)
    }

    /// Returns workers not asked about yet, the preferred ones and those with the most free capacity
    /// first; none if enough
    /// allowed workers are known.
    ///
    /// Enough are known if the allowed ones, each with the current mean of free capacity, hold the
    /// gang `GANG_CAPACITY_FACTOR` times; this multiple rises while the gang is blocked.
    fn workers_to_discover(&self, allowed: &[&Candidate]) -> Vec<model::WorkerId> {
        let demand = &self.demand;
        let mut unknown: Vec<_> = self
            .usable
            .iter()
            .filter(|one| !self.tickets.is_allowed(&one.incarnation.worker_id))
            .collect();
        let count = f64::from(self.step.task_count);
        let mean_fit_count = self.mean_fit_count.max(MIN_MEAN_FIT_COUNT);
        let wanted = count * GANG_CAPACITY_FACTOR * (1.0 + self.blocked_ratio) / mean_fit_count;
        let capacity: f64 = allowed
            .iter()
            .map(|one| f64::from(one.idle_fit_count(demand)))
            .sum();
        let lacking = (count * GANG_CAPACITY_FACTOR - capacity).max(0.0);
        let missing = (wanted - allowed.len() as f64).max(lacking);
        if missing <= 0.0 {
            return Vec::new();
        }
        unknown.sort_by_cached_key(|one| {
            let free = one.free.processors_milli;
            let fitting = one.fit_count(demand);
            (
                fitting == 0,
                one.speed_rank,
                u32::MAX - fitting,
                u32::MAX - free,
            )
        });
        let needed = (missing / self.allowed_share).ceil() as usize;
        worker_ids_of(unknown.into_iter().take(needed))
    }
}

fn worker_ids_of<'a>(candidates: impl Iterator<Item = &'a Candidate<'a>>) -> Vec<model::WorkerId> {
    candidates
        .map(|one| one.incarnation.worker_id.clone())
        .collect()
}
