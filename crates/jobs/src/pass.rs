//! A pass over the waiting steps, and the sweep that passes continue one after the other.
//!
//! Each pass visits the head of the scheduling order and a part of the rest, so that the leader's work
//! and the time of one pass do not grow with the backlog.

use std::iter;

use crate::isolation;
use crate::maps;
use crate::scheduler;

/// State of one pass.
#[derive(Debug, Default)]
pub(crate) struct Pass {
    /// Indexes of the workers that accept runs.
    pub(crate) usable: Vec<usize>,
    /// Free capacity of all workers together; computed on first use.
    pub(crate) total_free: Option<model::Demand>,
    /// Workers that have runs of tasks under which workers have crashed.
    pub(crate) suspects: isolation::SuspectWorkers,
    /// What the head of the scheduling order waits for.
    head: EarlierSteps,
    /// What the steps behind the head wait for that the sweep has visited.
    swept: EarlierSteps,
    /// What steps behind the head waited for in the last complete sweep.
    last_swept: EarlierSteps,
    stage: Stage,
    /// Tenants whose cap has held back a step that fitted under it when the pass began.
    capped_tenants: maps::HashSet<tenants::TenantNumber>,
}

/// Which steps a pass visits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    /// The head of the scheduling order.
    #[default]
    Head,
    /// The steps that come next in the sweep.
    Sweep,
    /// Other steps, ahead of their turn: the sweep may not have visited all that precede them.
    OutOfTurn,
}

/// What visited steps wait for; steps later in the scheduling order must not take it.
#[derive(Debug, Default)]
pub(crate) struct EarlierSteps {
    visited: maps::HashSet<model::StepKey>,
    /// Workers reserved for gangs, with the priority of the gang; work of a higher priority may still
    /// use them.
    reserved_workers: maps::HashMap<model::WorkerIncarnation, u32>,
    /// Whether the reservation for a gang would have exceeded the limit of reserved workers.
    is_reservation_limit_reached: bool,
    /// Total demand of waiting gangs.
    gang_demand: model::Demand,
}

/// How far the steps behind the head of the scheduling order have been visited.
#[derive(Debug, Default)]
pub(crate) struct Sweep {
    /// The step visited last; `None` at the start of a sweep.
    pub(crate) last: Option<scheduler::OrderedStep>,
    earlier: EarlierSteps,
    /// What steps waited for in the last complete sweep.
    last_complete: EarlierSteps,
}

impl Pass {
    /// Creates a pass over the workers with these indexes.
    pub(crate) fn new(usable: Vec<usize>, suspects: isolation::SuspectWorkers) -> Self {
        Self {
            usable,
            suspects,
            ..Self::default()
        }
    }

    /// Goes on with the steps behind the head, where a sweep has already visited some.
    pub(crate) fn continue_sweep(&mut self, sweep: Sweep) {
        self.stage = Stage::Sweep;
        self.swept = sweep.earlier;
        self.last_swept = sweep.last_complete;
    }

    /// Goes on with steps ahead of their turn; they leave what any other step waits for.
    pub(crate) fn visit_out_of_turn(&mut self) {
        self.stage = Stage::OutOfTurn;
    }

    /// Returns the sweep for the next pass, which goes on behind `last`; `None` if it is complete.
    pub(crate) fn into_sweep(self, last: Option<scheduler::OrderedStep>) -> Sweep {
        match last {
            Some(_) => Sweep {
                last,
                earlier: self.swept,
                last_complete: self.last_swept,
            },
            None => Sweep {
                last_complete: self.swept,
                ..Sweep::default()
            },
        }
    }

    /// Notes that the cap of a tenant has been reached in this pass.
    pub(crate) fn set_cap_reached(&mut self, tenant: tenants::TenantNumber) {
        self.capped_tenants.insert(tenant);
    }

    pub(crate) fn is_cap_reached(&self, tenant: tenants::TenantNumber) -> bool {
        !self.capped_tenants.is_empty() && self.capped_tenants.contains(&tenant)
    }

    fn earlier(&self) -> impl Iterator<Item = &EarlierSteps> {
        let swept = (self.stage != Stage::Head).then_some(&self.swept);
        let last_swept = (self.stage == Stage::OutOfTurn).then_some(&self.last_swept);
        iter::once(&self.head).chain(swept).chain(last_swept)
    }

    fn current(&mut self) -> &mut EarlierSteps {
        match self.stage {
            Stage::Sweep => &mut self.swept,
            Stage::Head | Stage::OutOfTurn => &mut self.head,
        }
    }

    pub(crate) fn mark_visited(&mut self, step: model::StepKey) {
        self.current().visited.insert(step);
    }

    /// Returns whether a step precedes the current one in the scheduling order.
    pub(crate) fn is_earlier(&self, step: &model::StepKey) -> bool {
        self.earlier().any(|steps| steps.visited.contains(step))
    }

    /// Returns the total demand of waiting gangs earlier in the scheduling order.
    pub(crate) fn gang_demand_ahead(&self) -> model::Demand {
        let demands = self.earlier().map(|steps| steps.gang_demand);
        demands.fold(model::Demand::default(), |sum, one| sum.plus(&one))
    }

    pub(crate) fn add_gang_demand(&mut self, demand: &model::Demand) {
        let current = self.current();
        current.gang_demand = current.gang_demand.plus(demand);
    }

    /// Returns whether a worker is reserved for a gang whose work of `priority` may not displace.
    pub(crate) fn is_reserved(
        &self,
        incarnation: &model::WorkerIncarnation,
        priority: u32,
    ) -> bool {
        self.earlier().any(|steps| {
            let of = steps.reserved_workers.get(incarnation);
            of.is_some_and(|of| *of <= priority)
        })
    }

    /// Reserves workers for a gang.
    pub(crate) fn reserve(
        &mut self,
        incarnations: impl IntoIterator<Item = model::WorkerIncarnation>,
        priority: u32,
    ) {
        let reserved = incarnations.into_iter().map(|one| (one, priority));
        self.current().reserved_workers.extend(reserved);
    }

    /// Returns the number of workers reserved for gangs earlier in the scheduling order.
    pub(crate) fn reserved_count(&self) -> usize {
        self.earlier()
            .map(|steps| steps.reserved_workers.len())
            .sum()
    }

    /// Lets no gang later in the scheduling order reserve workers.
    pub(crate) fn set_reservation_limit_reached(&mut self) {
        self.current().is_reservation_limit_reached = true;
    }

    pub(crate) fn is_reservation_limit_reached(&self) -> bool {
        self.earlier()
            .any(|steps| steps.is_reservation_limit_reached)
    }
}
