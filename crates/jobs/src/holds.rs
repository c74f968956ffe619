//! Capacity reserved for steps that wait for tickets or for stopped runs to end.

use std::collections;
use std::time;

use indexmap::IndexMap;

/// Capacity reserved on workers, by step.
#[derive(Debug, Default)]
pub(crate) struct Holds {
    steps: IndexMap<model::StepKey, Hold>,
    /// The same reservations by worker.
    workers: collections::HashMap<model::WorkerLife, Vec<Room>>,
}

#[derive(Debug)]
struct Hold {
    lives: Vec<model::WorkerLife>,
    until: time::Instant,
}

#[derive(Debug)]
struct Room {
    step: model::StepKey,
    demand: model::Demand,
    binding: Binding,
}

/// Which other steps may not use reserved capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Binding {
    /// No other step may use it: a gang that loses one slot has requested its tickets in vain.
    All,
    /// Steps later in the scheduling order may not use it.
    Later,
}

impl Holds {
    /// Reserves `demand` for a step on each of `lives`, once per entry, until `until` at the
    /// latest.
    pub(crate) fn keep(
        &mut self,
        step: model::StepKey,
        lives: &[model::WorkerLife],
        demand: &model::Demand,
        binding: Binding,
        until: time::Instant,
    ) {
        self.release(step);
        let mut distinct = Vec::new();
        for life in lives {
            let rooms = self.workers.entry(life.clone()).or_default();
            match rooms.iter_mut().find(|room| room.step == step) {
                Some(room) => room.demand = room.demand.plus(demand),
                None => {
                    rooms.push(Room {
                        step,
                        demand: *demand,
                        binding,
                    });
                    distinct.push(life.clone());
                }
            }
        }
        let lives = distinct;
        self.steps.insert(step, Hold { lives, until });
    }

    /// Returns whether a step has a reservation.
    pub(crate) fn keeps_for(&self, step: model::StepKey) -> bool {
        self.steps.contains_key(&step)
    }

    /// Releases the reservation of a step.
    pub(crate) fn release(&mut self, step: model::StepKey) {
        let Some(hold) = self.steps.swap_remove(&step) else {
            return;
        };
        for life in hold.lives {
            if let Some(rooms) = self.workers.get_mut(&life) {
                rooms.retain(|room| room.step != step);
                if rooms.is_empty() {
                    self.workers.remove(&life);
                }
            }
        }
    }

    /// Releases expired reservations.
    pub(crate) fn expire(&mut self, now: time::Instant) {
        let expired = self.steps.iter().filter(|(_, hold)| hold.until <= now);
        for step in expired.map(|(step, _)| *step).collect::<Vec<_>>() {
            self.release(step);
        }
    }

    /// Returns the capacity of a worker that a step may not use because other steps reserve it;
    /// `is_earlier` tells which steps precede it in the scheduling order.
    pub(crate) fn kept_from(
        &self,
        step: model::StepKey,
        life: &model::WorkerLife,
        is_earlier: impl Fn(&model::StepKey) -> bool,
    ) -> model::Demand {
        let rooms = self.workers.get(life).into_iter().flatten();
        rooms
            .filter(|room| room.step != step)
            .filter(|room| room.binding == Binding::All || is_earlier(&room.step))
            .fold(model::Demand::default(), |sum, room| sum.plus(&room.demand))
    }
}
