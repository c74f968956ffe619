//! The workers of a fleet, indexed by their room.

use std::time;

use crate::fit_tree;
use crate::worker;

const MAX_RACK_PROBES: usize = 16;

/// Workers with an index of their room and sums over all of them.
#[derive(Debug)]
pub(crate) struct Pool {
    workers: Vec<Option<worker::Worker>>,
    unused: Vec<usize>,
    by_id: indexmap::IndexMap<model::WorkerId, usize>,
    plain: fit_tree::FitTree,
    accelerated: fit_tree::FitTree,
    trial: fit_tree::FitTree,
    racks: indexmap::IndexMap<model::Location, Vec<usize>>,
    /// Room of all workers.
    free: fit_tree::Room,
    /// Typical short tasks that fit in the room of all workers.
    short_room: u32,
    short_size: model::Demand,
    slots: u32,
    largest_worker: model::Demand,
    /// Whether workers with accelerators are set apart.
    set_apart: bool,
}

impl Pool {
    pub(crate) fn new(set_apart: bool) -> Self {
        Self {
            workers: Vec::new(),
            unused: Vec::new(),
            by_id: indexmap::IndexMap::new(),
            plain: fit_tree::FitTree::new(),
            accelerated: fit_tree::FitTree::new(),
            trial: fit_tree::FitTree::new(),
            racks: indexmap::IndexMap::new(),
            free: fit_tree::Room::default(),
            short_room: 0,
            short_size: model::Demand::default(),
            slots: 0,
            largest_worker: model::Demand::default(),
            set_apart,
        }
    }

    /// Adds a worker without runs and returns its index.
    pub(crate) fn add(&mut self, worker: worker::Worker, now: time::Instant) -> usize {
        let index = self.unused.pop().unwrap_or(self.workers.len());
        if index == self.workers.len() {
            self.workers.push(None);
        }
        self.by_id.insert(worker.worker_id.clone(), index);
        let rack = self.racks.entry(worker.location.clone()).or_default();
        rack.push(index);
        self.slots += worker.capacity.slots;
        self.largest_worker = self.largest_worker.max(&worker.capacity.resources);
        self.workers[index] = Some(worker);
        self.refresh(index, now);
        index
    }

    /// Removes a worker.
    pub(crate) fn remove(&mut self, worker_id: &str) -> Option<worker::Worker> {
        let index = self.by_id.swap_remove(worker_id)?;
        let worker = self.workers[index].take()?;
        self.move_room(index, &worker, worker.group, fit_tree::Room::default());
        self.short_room -= worker.short_room;
        self.slots -= worker.capacity.slots;
        if let Some(rack) = self.racks.get_mut(&worker.location) {
            rack.retain(|other| *other != index);
            if rack.is_empty() {
                self.racks.swap_remove(&worker.location);
            }
        }
        self.unused.push(index);
        self.largest_worker = self
            .iter()
            .fold(model::Demand::default(), |largest, (_, worker)| {
                largest.max(&worker.capacity.resources)
            });
        Some(worker)
    }

    pub(crate) fn index_of(&self, worker_id: &str) -> Option<usize> {
        self.by_id.get(worker_id).copied()
    }

    pub(crate) fn get(&self, index: usize) -> Option<&worker::Worker> {
        self.workers.get(index)?.as_ref()
    }

    /// Returns a worker to change; [`Pool::refresh`] must follow.
    pub(crate) fn get_mut(&mut self, index: usize) -> Option<&mut worker::Worker> {
        self.workers.get_mut(index)?.as_mut()
    }

    /// Changes a worker and brings the index up to date.
    pub(crate) fn update(
        &mut self,
        index: usize,
        now: time::Instant,
        change: impl FnOnce(&mut worker::Worker),
    ) {
        if let Some(worker) = self.workers.get_mut(index).and_then(Option::as_mut) {
            change(worker);
            self.refresh(index, now);
        }
    }

    /// Returns the first worker with room for `reserve`, one without accelerators if it can be.
    pub(crate) fn first_fit(&self, reserve: &model::Demand) -> Option<usize> {
        let plain = match reserve.accelerators {
            0 => self.plain.first_fit(reserve),
            _ => None,
        };
        plain.or_else(|| self.accelerated.first_fit(reserve))
    }

    /// Returns a worker on probation with room for `reserve`.
    pub(crate) fn trial_fit(&self, reserve: &model::Demand) -> Option<usize> {
        self.trial.first_fit(reserve)
    }

    /// Returns the emptiest fitting worker of the rack that `load` ranks lowest, among a bounded
    /// number of racks that starts at `seed`.
    pub(crate) fn spread_fit<L: Ord>(
        &self,
        reserve: &model::Demand,
        seed: usize,
        load: impl Fn(&model::Location) -> L,
    ) -> Option<usize> {
        let racks = self.racks.len();
        let probes = (0..racks.min(MAX_RACK_PROBES)).map(|probe| (seed + probe) % racks);
        let candidates = probes.filter_map(|position| {
            let (location, members) = self.racks.get_index(position)?;
            let (needless, busy, index) = self.emptiest(members, reserve)?;
            Some((needless, load(location), busy, index))
        });
        candidates.min().map(|(_, _, _, index)| index)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (usize, &worker::Worker)> {
        let workers = self.workers.iter().enumerate();
        workers.filter_map(|(index, worker)| Some((index, worker.as_ref()?)))
    }

    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(crate) fn racks(&self) -> usize {
        self.racks.len()
    }

    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }

    pub(crate) fn free(&self) -> fit_tree::Room {
        self.free
    }

    pub(crate) fn short_room(&self) -> u32 {
        self.short_room
    }

    pub(crate) fn largest_worker(&self) -> model::Demand {
        self.largest_worker
    }

    /// Returns the largest free amount of each resource on one worker with a free slot.
    pub(crate) fn largest_free(&self) -> model::Demand {
        let largest = self.plain.largest().max(&self.accelerated.largest());
        largest.max(&self.trial.largest()).resources
    }

    /// Sets the resources of a typical short task.
    pub(crate) fn set_short_size(&mut self, size: model::Demand) {
        if self.short_size == size {
            return;
        }
        self.short_size = size;
        self.short_room = 0;
        for worker in self.workers.iter_mut().flatten() {
            worker.short_room = worker::count_of(&worker.room, &size);
            self.short_room += worker.short_room;
        }
    }

    /// Brings the index up to date with the worker at `index`.
    pub(crate) fn refresh(&mut self, index: usize, now: time::Instant) {
        let Some(mut worker) = self.workers[index].take() else {
            return;
        };
        let (mut group, room) = worker.standing(now);
        if group == worker::Group::Accelerated && !self.set_apart {
            group = worker::Group::Plain;
        }
        self.move_room(index, &worker, group, room);
        self.short_room -= worker.short_room;
        worker.group = group;
        worker.room = if room.slots > 0 {
            room
        } else {
            fit_tree::Room::default()
        };
        worker.short_room = worker::count_of(&worker.room, &self.short_size);
        self.short_room += worker.short_room;
        self.workers[index] = Some(worker);
    }

    fn move_room(
        &mut self,
        index: usize,
        worker: &worker::Worker,
        group: worker::Group,
        room: fit_tree::Room,
    ) {
        if worker.group != group {
            self.tree(worker.group)
                .set(index, fit_tree::Room::default());
        }
        self.tree(group).set(index, room);
        self.free.slots -= worker.room.slots;
        self.free.resources = self.free.resources.minus(&worker.room.resources);
        if room.slots > 0 {
            self.free.slots += room.slots;
            self.free.resources = self.free.resources.plus(&room.resources);
        }
    }

    fn tree(&mut self, group: worker::Group) -> &mut fit_tree::FitTree {
        match group {
            worker::Group::Plain => &mut self.plain,
            worker::Group::Accelerated => &mut self.accelerated,
            worker::Group::Trial => &mut self.trial,
        }
    }

    fn emptiest(&self, members: &[usize], reserve: &model::Demand) -> Option<(bool, u32, usize)> {
        let fitting = members.iter().filter_map(|index| {
            let worker = self.get(*index)?;
            if worker.group == worker::Group::Trial || !worker.room.fits(reserve) {
                return None;
            }
            let needless = reserve.accelerators == 0 && worker.group == worker::Group::Accelerated;
            Some((needless, u32::MAX - worker.room.slots, *index))
        });
        fitting.min()
    }
}
