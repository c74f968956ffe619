//! Capacity reserved for steps that wait for tickets or for stopped runs to end.

use std::time;

use crate::maps;

/// Capacity reserved on workers, by step.
#[derive(Debug, Default)]
pub(crate) struct Reservations {
    steps: maps::IndexMap<model::StepKey, Reservation>,
    /// The same reservations by worker.
    workers: maps::HashMap<model::WorkerIncarnation, Vec<ReservedDemand>>,
}

#[derive(Debug)]
struct Reservation {
    incarnations: Vec<model::WorkerIncarnation>,
    until: time::Instant,
}

#[derive(Debug)]
struct ReservedDemand {
    step: model::StepKey,
    demand: model::Demand,
    exclusivity: Exclusivity,
}

/// Which other steps may not use reserved capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exclusivity {
    /// No other step may use it: a gang that loses one slot has requested its tickets in vain.
    AllSteps,
    /// Steps later in the scheduling order may not use it.
    LaterSteps,
}

impl Reservations {
    /// Reserves `demand` for a step on each of `incarnations`, once per entry, until `until` at the
    /// latest.
    pub(crate) fn reserve(
        &mut self,
        step: model::StepKey,
        incarnations: &[model::WorkerIncarnation],
        demand: &model::Demand,
        exclusivity: Exclusivity,
        until: time::Instant,
    ) {
        self.release(step);
        let mut distinct = Vec::new();
        for incarnation in incarnations {
            let reserved = self.workers.entry(incarnation.clone()).or_default();
            match reserved.iter_mut().find(|one| one.step == step) {
                Some(one) => one.demand = one.demand.plus(demand),
                None => {
                    reserved.push(ReservedDemand {
                        step,
                        demand: *demand,
                        exclusivity,
                    });
                    distinct.push(incarnation.clone());
                }
            }
        }
        let incarnations = distinct;
        self.steps.insert(
            step,
            Reservation {
                incarnations,
                until,
            },
        );
    }

    /// Returns whether a step has a reservation.
    pub(crate) fn has_reservation(&self, step: model::StepKey) -> bool {
        self.steps.contains_key(&step)
    }

    /// Releases the reservation of a step.
    pub(crate) fn release(&mut self, step: model::StepKey) {
        let Some(reservation) = self.steps.swap_remove(&step) else {
            return;
        };
        for incarnation in reservation.incarnations {
            if let Some(reserved) = self.workers.get_mut(&incarnation) {
                reserved.retain(|one| one.step != step);
                if reserved.is_empty() {
                    self.workers.remove(&incarnation);
                }
            }
        }
    }

    /// Releases the reservations of all steps of a job.
    pub(crate) fn release_job(&mut self, job_id: model::JobId) {
        let steps = self.steps.keys().filter(|step| step.job_id == job_id);
        for step in steps.copied().collect::<Vec<_>>() {
            self.release(step);
        }
    }

    /// Releases expired reservations.
    pub(crate) fn expire(&mut self, now: time::Instant) {
        let expired = self
            .steps
            .iter()
            .filter(|(_, reservation)| reservation.until <= now);
        for step in expired.map(|(step, _)| *step).collect::<Vec<_>>() {
            self.release(step);
        }
    }

    /// Returns the capacity of a worker that a step may not use because other steps reserve it;
    /// `is_earlier` tells which steps precede it in the scheduling order.
    pub(crate) fn reserved_by_others(
        &self,
        step: model::StepKey,
        incarnation: &model::WorkerIncarnation,
        is_earlier: impl Fn(&model::StepKey) -> bool,
    ) -> model::Demand {
        let reserved = self.workers.get(incarnation).into_iter().flatten();
        reserved
            .filter(|one| one.step != step)
            .filter(|one| one.exclusivity == Exclusivity::AllSteps || is_earlier(&one.step))
            .fold(model::Demand::default(), |sum, one| sum.plus(&one.demand))
    }
}
