//! Workers on which tasks of a step may start, and the assignment of tasks to them.

use std::collections;

use crate::job;

/// A worker on which tasks of a step may start.
#[derive(Debug)]
pub(crate) struct Candidate<'a> {
    pub(crate) incarnation: &'a model::WorkerIncarnation,
    /// Its rack; empty if not known.
    pub(crate) rack: &'a str,
    pub(crate) free: model::Demand,
    pub(crate) capacity: model::Demand,
    /// Number of further tasks of this step that the worker may get.
    pub(crate) task_limit: u32,
    /// Whether the worker is in the rack of the step's data.
    pub(crate) is_in_data_rack: bool,
    pub(crate) failures: u32,
    /// How the step ranks the worker by its speed; a lower rank is preferred.
    pub(crate) speed_rank: u8,
    /// Level of its speed; 0 if all workers are taken for alike.
    pub(crate) speed_level: i8,
}

/// Task indexes of a step, each with the worker that it is assigned to.
pub(crate) type Assignment = Vec<(u32, model::WorkerIncarnation)>;

impl Candidate<'_> {
    /// Returns how many tasks of `demand` fit into the free capacity.
    pub(crate) fn fit_count(&self, demand: &model::Demand) -> u32 {
        count_fitting(demand, &self.free).min(self.task_limit)
    }

    /// Returns how many tasks of `demand` would fit if the worker were idle.
    pub(crate) fn idle_fit_count(&self, demand: &model::Demand) -> u32 {
        count_fitting(demand, &self.capacity).min(self.task_limit)
    }

    fn add_task(&mut self, demand: &model::Demand) {
        self.free = self.free.minus(demand);
        self.task_limit -= 1;
    }
}

/// Returns how many tasks of `demand` fit into `available`.
pub(crate) fn count_fitting(demand: &model::Demand, available: &model::Demand) -> u32 {
    let per = |free: u32, each: u32| free.checked_div(each).unwrap_or(u32::MAX);
    per(available.processors_milli, demand.processors_milli)
        .min(per(available.memory_mb, demand.memory_mb))
        .min(per(available.accelerators, demand.accelerators))
}

/// Assigns at most `limit` of the included waiting tasks one by one: to workers in the rack of the step's
/// data first, then to those with the fewest failures, then by speed, then by best fit, which leaves the
/// fewest processors free.
pub(crate) fn assign_tasks(
    mut candidates: Vec<Candidate<'_>>,
    step_state: &job::StepState,
    demand: &model::Demand,
    limit: u32,
    is_included: impl Fn(u32) -> bool,
) -> Assignment {
    let mut assignment = Assignment::new();
    let tasks = (0_u32..).zip(&step_state.tasks);
    let waiting = tasks.filter(|(_, task)| task.phase == job::Phase::Waiting);
    let included = waiting.filter(|(index, _)| is_included(*index));
    for (index, _) in included.take(limit as usize) {
        let best = candidates
            .iter_mut()
            .filter(|candidate| candidate.fit_count(demand) > 0)
            .min_by_key(|candidate| {
                let left = candidate.free.minus(demand);
                (
                    !candidate.is_in_data_rack,
                    candidate.failures,
                    candidate.speed_rank,
                    left.processors_milli,
                )
            });
        let Some(best) = best else {
            break;
        };
        best.add_task(demand);
        assignment.push((index, best.incarnation.clone()));
    }
    assignment
}

/// Assigns all members of a gang, or none; within one rack if the step asks for it and one has
/// enough capacity.
///
/// Of the sets of workers that hold the gang, it chooses one whose slowest worker is fastest: a gang is
/// as slow as its slowest member.
pub(crate) fn assign_gang(
    candidates: &[&Candidate<'_>],
    step: &model::Step,
    demand: &model::Demand,
) -> Assignment {
    let count = step.task_count;
    if step.same_rack {
        let racks: collections::BTreeSet<_> = candidates.iter().map(|one| one.rack).collect();
        let in_rack = |rack: &str| {
            let within = candidates.iter().copied().filter(|one| one.rack == rack);
            within.collect::<Vec<_>>()
        };
        let levels = racks.into_iter().filter_map(|rack| {
            let level = highest_sufficient_level(&in_rack(rack), count, demand)?;
            Some((rack, level))
        });
        // Of several such racks, the first one.
        if let Some((rack, level)) = levels.min_by_key(|(_, level)| -i16::from(*level)) {
            return assign_greedily(in_rack(rack), level, count, demand);
        }
    }
    match highest_sufficient_level(candidates, count, demand) {
        Some(level) => assign_greedily(candidates.to_vec(), level, count, demand),
        None => Assignment::new(),
    }
}

/// Returns the highest level of speed so that `count` tasks fit on the workers of this level and the
/// faster ones; `None` if they do not fit on all together.
fn highest_sufficient_level(
    candidates: &[&Candidate<'_>],
    count: u32,
    demand: &model::Demand,
) -> Option<i8> {
    let fitting = candidates.iter().map(|one| one.fit_count(demand));
    if fitting.fold(0_u32, u32::saturating_add) < count {
        return None;
    }
    let first = candidates.first()?.speed_level;
    if candidates.iter().all(|one| one.speed_level == first) {
        return Some(first);
    }
    let mut by_level: Vec<_> = candidates.iter().collect();
    by_level.sort_unstable_by_key(|one| -i16::from(one.speed_level));
    let mut sum = 0_u32;
    let sufficient = by_level.into_iter().find(|one| {
        sum = sum.saturating_add(one.fit_count(demand));
        sum >= count
    });
    sufficient.map(|one| one.speed_level)
}

/// Fills one worker after the other until `count` tasks are assigned: those in the rack of the
/// step's data first, then those with the fewest failures, then the slowest, as the faster ones would
/// only wait for them, then those that most tasks fit on; none below the level `lowest`. Empty if not
/// all tasks fit.
fn assign_greedily(
    mut candidates: Vec<&Candidate<'_>>,
    lowest: i8,
    count: u32,
    demand: &model::Demand,
) -> Assignment {
    candidates.retain(|candidate| candidate.speed_level >= lowest);
    candidates.sort_by_cached_key(|candidate| {
        let fitting = candidate.fit_count(demand);
        (
            !candidate.is_in_data_rack,
            candidate.failures,
            candidate.speed_level,
            u32::MAX - fitting,
        )
    });
    let mut assignment = Assignment::new();
    for candidate in candidates {
        let assigned = u32::try_from(assignment.len()).unwrap_or(u32::MAX);
        let here = candidate.fit_count(demand).min(count - assigned);
        assignment.extend(
            (assigned..assigned + here).map(|index| (index, candidate.incarnation.clone())),
        );
    }
    if assignment.len() == count as usize {
        assignment
    } else {
        Assignment::new()
    }
}
