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

/// Assigns at most `limit` of the included waiting tasks one by one: to workers in the rack of the step's data first,
/// then to those with the fewest failures, then by best fit, which leaves the fewest processors free.
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
pub(crate) fn assign_gang(
    candidates: &[&Candidate<'_>],
    step: &model::Step,
    demand: &model::Demand,
) -> Assignment {
    if step.same_rack {
        let racks: collections::BTreeSet<_> = candidates.iter().map(|one| one.rack).collect();
        for rack in racks {
            let within = candidates.iter().copied().filter(|one| one.rack == rack);
            let assignment = assign_greedily(within.collect(), step.task_count, demand);
            if !assignment.is_empty() {
                return assignment;
            }
        }
    }
    assign_greedily(candidates.to_vec(), step.task_count, demand)
}

/// Fills one worker after the other until `count` tasks are assigned: those in the rack of the
/// step's data first, then those with the fewest failures, then those that most tasks fit on. Empty
/// if not all tasks fit.
fn assign_greedily(
    mut candidates: Vec<&Candidate<'_>>,
    count: u32,
    demand: &model::Demand,
) -> Assignment {
    candidates.sort_by_key(|candidate| {
        let fitting = candidate.fit_count(demand);
        (
            !candidate.is_in_data_rack,
            candidate.failures,
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
