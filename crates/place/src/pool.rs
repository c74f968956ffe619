//! The workers of a fleet, indexed by their free capacity.

use std::time;

use crate::fit_tree;
use crate::worker;

const MAX_RACK_PROBES: usize = 16;

/// Workers with an index of their usable capacity and totals over all of them.
#[derive(Debug)]
pub(crate) struct Pool {
    workers: Vec<Option<worker::Worker>>,
    vacant: Vec<usize>,
    by_id: indexmap::IndexMap<model::WorkerId, usize>,
    plain: fit_tree::FitTree,
    accelerated: fit_tree::FitTree,
    probation: fit_tree::FitTree,
    racks: indexmap::IndexMap<model::Location, Vec<usize>>,
    /// Usable capacity of all workers.
    free: fit_tree::FreeCapacity,
    /// Number of typical short tasks that fit in the usable capacity of all workers.
    short_task_capacity: u32,
    typical_short_demand: model::Demand,
    slots: u32,
    largest_worker: model::Demand,
    /// Whether workers with accelerators form a group of their own.
    separate_accelerated: bool,
}

impl Pool {
    pub(crate) fn new(separate_accelerated: bool) -> Self {
        Self {
            workers: Vec::new(),
            vacant: Vec::new(),
            by_id: indexmap::IndexMap::new(),
            plain: fit_tree::FitTree::new(),
            accelerated: fit_tree::FitTree::new(),
            probation: fit_tree::FitTree::new(),
            racks: indexmap::IndexMap::new(),
            free: fit_tree::FreeCapacity::default(),
            short_task_capacity: 0,
            typical_short_demand: model::Demand::default(),
            slots: 0,
            largest_worker: model::Demand::default(),
            separate_accelerated,
        }
    }

    /// Adds a worker without runs and returns its index.
    pub(crate) fn add(&mut self, worker: worker::Worker, now: time::Instant) -> usize {
        let index = self.vacant.pop().unwrap_or(self.workers.len());
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
        self.reindex(
            index,
            &worker,
            worker.group,
            fit_tree::FreeCapacity::default(),
        );
        self.short_task_capacity -= worker.short_task_capacity;
        self.slots -= worker.capacity.slots;
        if let Some(rack) = self.racks.get_mut(&worker.location) {
            rack.retain(|other| *other != index);
            if rack.is_empty() {
                self.racks.swap_remove(&worker.location);
            }
        }
        self.vacant.push(index);
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

    /// Returns a worker to modify; the caller must call [`Pool::refresh`] afterwards.
    pub(crate) fn get_mut(&mut self, index: usize) -> Option<&mut worker::Worker> {
        self.workers.get_mut(index)?.as_mut()
    }

    /// Modifies a worker and updates the index.
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

    /// Returns the first worker that fits `reserve`, preferring those without accelerators if none
    /// are needed.
    pub(crate) fn first_fit(&self, reserve: &model::Demand) -> Option<usize> {
        let plain = match reserve.accelerators {
            0 => self.plain.first_fit(reserve),
            _ => None,
        };
        plain.or_else(|| self.accelerated.first_fit(reserve))
    }

    /// Returns a worker on probation that fits `reserve`.
    pub(crate) fn first_fit_on_probation(&self, reserve: &model::Demand) -> Option<usize> {
        self.probation.first_fit(reserve)
    }

    /// Returns the least loaded fitting worker of the rack with the lowest `load`, among at most
    /// [`MAX_RACK_PROBES`] racks from the position given by `seed`. Workers whose accelerators
    /// would not be used are chosen last.
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
            let (wastes_accelerators, busy, index) = self.least_loaded(members, reserve)?;
            Some((wastes_accelerators, load(location), busy, index))
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

    pub(crate) fn free(&self) -> fit_tree::FreeCapacity {
        self.free
    }

    pub(crate) fn short_task_capacity(&self) -> u32 {
        self.short_task_capacity
    }

    pub(crate) fn largest_worker(&self) -> model::Demand {
        self.largest_worker
    }

    /// Returns the largest free amount of each resource on one worker with a free slot.
    pub(crate) fn largest_free(&self) -> model::Demand {
        let largest = self.plain.largest().max(&self.accelerated.largest());
        largest.max(&self.probation.largest()).resources
    }

    /// Sets the resources of a typical short task and recounts how many fit.
    pub(crate) fn set_typical_short_demand(&mut self, demand: model::Demand) {
        if self.typical_short_demand == demand {
            return;
        }
        self.typical_short_demand = demand;
        self.short_task_capacity = 0;
        for worker in self.workers.iter_mut().flatten() {
            worker.short_task_capacity = worker::tasks_that_fit(&worker.usable, &demand);
            self.short_task_capacity += worker.short_task_capacity;
        }
    }

    /// Updates the index for the worker at `index`.
    pub(crate) fn refresh(&mut self, index: usize, now: time::Instant) {
        let Some(mut worker) = self.workers[index].take() else {
            return;
        };
        let (mut group, usable) = worker.group_and_usable(now);
        if group == worker::Group::Accelerated && !self.separate_accelerated {
            group = worker::Group::Plain;
        }
        self.reindex(index, &worker, group, usable);
        self.short_task_capacity -= worker.short_task_capacity;
        worker.group = group;
        worker.usable = if usable.slots > 0 {
            usable
        } else {
            fit_tree::FreeCapacity::default()
        };
        worker.short_task_capacity =
            worker::tasks_that_fit(&worker.usable, &self.typical_short_demand);
        self.short_task_capacity += worker.short_task_capacity;
        self.workers[index] = Some(worker);
    }

    fn reindex(
        &mut self,
        index: usize,
        worker: &worker::Worker,
        group: worker::Group,
        usable: fit_tree::FreeCapacity,
    ) {
        if worker.group != group {
            self.tree(worker.group)
                .set(index, fit_tree::FreeCapacity::default());
        }
        self.tree(group).set(index, usable);
        self.free.slots -= worker.usable.slots;
        self.free.resources = self.free.resources.minus(&worker.usable.resources);
        if usable.slots > 0 {
            self.free.slots += usable.slots;
            self.free.resources = self.free.resources.plus(&usable.resources);
        }
    }

    fn tree(&mut self, group: worker::Group) -> &mut fit_tree::FitTree {
        match group {
            worker::Group::Plain => &mut self.plain,
            worker::Group::Accelerated => &mut self.accelerated,
            worker::Group::Probation => &mut self.probation,
        }
    }

    fn least_loaded(
        &self,
        members: &[usize],
        reserve: &model::Demand,
    ) -> Option<(bool, u32, usize)> {
        let fitting = members.iter().filter_map(|index| {
            let worker = self.get(*index)?;
            if worker.group == worker::Group::Probation || !worker.usable.fits(reserve) {
                return None;
            }
            let wastes_accelerators =
                reserve.accelerators == 0 && worker.group == worker::Group::Accelerated;
            Some((wastes_accelerators, u32::MAX - worker.usable.slots, *index))
        });
        fitting.min()
    }
}
