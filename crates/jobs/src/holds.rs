//! Room that is kept for steps whose tickets are on their way.

use std::collections;
use std::time;

use indexmap::IndexMap;

/// Room kept for steps.
#[derive(Debug, Default)]
pub(crate) struct Holds {
    steps: IndexMap<model::StepKey, Hold>,
    /// The same by worker.
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

/// Whom kept room is kept from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Binding {
    /// Everybody else: a gang that misses one place has asked in vain.
    All,
    /// Steps that are served later.
    Later,
}

impl Holds {
    /// Keeps the room of an assignment for a step until `until` at the latest.
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

    /// Returns whether room is kept for a step.
    pub(crate) fn keeps_for(&self, step: model::StepKey) -> bool {
        self.steps.contains_key(&step)
    }

    /// Gives up what is kept for a step.
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

    /// Gives up what was kept for longer than it should.
    pub(crate) fn expire(&mut self, now: time::Instant) {
        let expired = self.steps.iter().filter(|(_, hold)| hold.until <= now);
        for step in expired.map(|(step, _)| *step).collect::<Vec<_>>() {
            self.release(step);
        }
    }

    /// Returns what is kept on a worker from a step; `is_earlier` says which steps are served
    /// before it.
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
