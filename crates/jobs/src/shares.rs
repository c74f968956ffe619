//! Shares of tenants: their bands in the scheduling order.

use std::iter;
use std::mem;

use crate::admission;
use crate::caps;
use crate::event;
use crate::maps;
use crate::scheduler;
use crate::tenancy;
use crate::workers;

/// Number of classes by lateness.
const CLASSES: usize = 4;

/// What the order of a waiting step depends on besides its age.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    step: scheduler::WaitingStep,
    demand: model::Demand,
    waiting_count: u32,
    is_gang: bool,
    /// Whether its tasks may be placed: members of an earlier run of a gang that have not ended keep it
    /// from that.
    is_whole: bool,
    /// Whether its job was submitted beyond the rate of its tenant.
    is_beyond_rate: bool,
}

/// Buffers for the scheduling order, which are kept from pass to pass.
#[derive(Debug, Default)]
pub(crate) struct OrderBuffers {
    /// Waiting steps by class, each class by priority and age.
    classes: [Vec<Waiting>; CLASSES],
}

/// The classes by lateness, in scheduling order.
const CLASS_ORDER: [scheduler::Lateness; CLASSES] = [
    scheduler::Lateness::LongRunning,
    scheduler::Lateness::InTime,
    scheduler::Lateness::Late,
    scheduler::Lateness::Worthless,
];

/// Returns the rank of a step of a class by its lateness, whose tenant is in `band`.
///
/// What a tenant submits beyond its rate waits behind all owed work only while the tenant uses more than
/// twice its share. Below that, its cap and the band bound what others lose, while its urgent jobs would be
/// worthless behind batch work. Late work of a tenant within its share keeps the priority of its queue: as
/// it is bounded by the share, it cannot hold up others after an outage.
fn rank_of(
    lateness: scheduler::Lateness,
    waiting: &Waiting,
    band: tenants::Band,
) -> scheduler::Rank {
    let is_within_share = band == tenants::Band::Within;
    let is_late = lateness == scheduler::Lateness::Late;
    let is_timed = is_late || lateness == scheduler::Lateness::InTime;
    let is_far_above = band == tenants::Band::FarAbove;
    let lateness = match lateness {
        _ if is_timed && is_far_above && waiting.is_beyond_rate => scheduler::Lateness::Beyond,
        scheduler::Lateness::Late if is_within_share => scheduler::Lateness::InTime,
        lateness => lateness,
    };
    scheduler::Rank {
        lateness,
        priority: waiting.step.priority,
        band,
        is_late,
    }
}

impl scheduler::Scheduler {
    /// Returns the waiting steps in scheduling order with tenants, without those that caps hold back:
    /// by class, priority, band of the tenant's share and age.
    ///
    /// A step's band is that of what its tenant would use with the tenant's steps before it and the least
    /// that may start of it: the backlog of a tenant does not stand before the work of others because
    /// nothing of it runs yet. As steps start, that sum stays the same, and so does their order. The first
    /// step of a tenant of which nothing runs is within its share, however large it is.
    ///
    /// `waiting` is sorted by priority and age, so that the ranked steps consist of few sorted runs, which
    /// the stable sort merges: the time hardly grows faster than the number of steps, however many tenants
    /// there are.
    pub(crate) fn order_by_share(
        &mut self,
        changed: &mut maps::HashSet<model::StepKey>,
        clock: event::Clock,
    ) -> Vec<scheduler::OrderedStep> {
        let mut buffers = mem::take(&mut self.tenancy.order_buffers);
        self.begin_tenant_pass(clock);
        self.sort_into_classes(&mut buffers.classes, clock);
        let mut order = Vec::with_capacity(self.waiting.len());
        let mut capped = Vec::new();
        let mut holds = vec![None; self.tenancy.states.len()];
        for (lateness, class) in iter::zip(CLASS_ORDER, &mut buffers.classes) {
            for waiting in class.drain(..) {
                match self.band_under_cap(lateness, &waiting, &mut holds, clock) {
                    Some(band) => order.push((rank_of(lateness, &waiting, band), waiting.step)),
                    None => capped.push((waiting.step, waiting.is_gang)),
                }
            }
        }
        order.sort();
        for (state, hold) in self.tenancy.states.iter_mut().zip(holds) {
            state.hold = hold;
        }
        if !changed.is_empty() {
            for (step, _) in &capped {
                changed.remove(&step.key);
            }
        }
        self.hold_back_capped(&capped, clock);
        self.tenancy.log_caps(clock.now);
        self.tenancy.order_buffers = buffers;
        order
    }

    /// Sums up the workers and the active tenants.
    fn begin_tenant_pass(&mut self, clock: event::Clock) {
        let (mut capacity, mut usable) = Default::default();
        let mut used = tenants::Amounts::default();
        for worker in self.workers.values().filter(|worker| worker.is_listed) {
            let of = tenants::Amounts::of_tasks(&worker.capacity(), 1);
            capacity = of.plus(&capacity);
            if worker.accepts_runs(clock.now) {
                usable = of.plus(&usable);
                used = used.plus(&tenants::Amounts::of_tasks(&worker.used, 1));
            }
        }
        let tenancy = &mut self.tenancy;
        for (number, state) in (0..).zip(&mut tenancy.states) {
            state.pass = tenancy::TenantPass {
                expected_use: tenancy.usage.of(number),
                ..tenancy::TenantPass::default()
            };
        }
        for step in &self.waiting {
            tenancy.states[step.tenant as usize].pass.waiting_steps += 1;
        }
        let active = tenancy
            .states
            .iter()
            .filter(|state| state.pass.waiting_steps > 0 || !state.pass.expected_use.is_zero());
        let weights = active.filter_map(|state| Some(state.terms.as_ref()?.weight));
        tenancy.division = tenants::Division {
            capacity,
            active_weight: weights.sum(),
        };
        let used_fraction = used.dominant_fraction(&usable);
        let is_peak_old = tenancy
            .peak_at
            .is_none_or(|at| clock.now.saturating_duration_since(at) >= admission::LOAD_MEMORY);
        if is_peak_old || used_fraction >= tenancy.load.used_fraction {
            tenancy.peak_at = Some(clock.now);
            tenancy.load.used_fraction = used_fraction;
        }
        tenancy.load = tenants::Load {
            used_fraction: tenancy.load.used_fraction,
            others_wait: false,
            waiting_steps: self.waiting.len(),
            max_waiting_steps: self.settings.max_waiting_steps,
        };
    }

    /// Adds the waiting steps to the classes of their lateness.
    fn sort_into_classes(&self, classes: &mut [Vec<Waiting>; CLASSES], clock: event::Clock) {
        for step in &self.waiting {
            let mut waiting = Waiting {
                step: *step,
                demand: model::Demand::default(),
                waiting_count: 0,
                is_gang: false,
                is_whole: false,
                is_beyond_rate: false,
            };
            // The visit of a step that is not known takes it out of the queue.
            let mut lateness = scheduler::Lateness::InTime;
            let state = self.jobs.get(&step.key.job_id);
            if let Some(state) = state
                && let Some((of, step_state)) = state.step(step.key)
            {
                lateness = self.lateness_of(state, of, step, clock);
                waiting.demand = workers::counted_demand(of);
                waiting.is_beyond_rate = state.is_beyond_rate;
                waiting.waiting_count = step_state.waiting_count;
                waiting.is_gang = of.gang;
                waiting.is_whole = !of.gang || step_state.waiting_count == of.task_count;
            }
            let class = CLASS_ORDER.iter().position(|one| *one == lateness);
            classes[class.unwrap_or_default()].push(waiting);
        }
    }

    /// Returns the band of a waiting step, or `None` if the cap of its tenant holds it back.
    fn band_under_cap(
        &mut self,
        lateness: scheduler::Lateness,
        waiting: &Waiting,
        holds: &mut [Option<caps::Hold>],
        clock: event::Clock,
    ) -> Option<tenants::Band> {
        let (step, number) = (&waiting.step, waiting.step.tenant);
        let need = tenants::Amounts::of_tasks(&waiting.demand, waiting.waiting_count);
        let least = match waiting.is_gang {
            true => need,
            false => tenants::Amounts::of_tasks(&waiting.demand, 1),
        };
        let cap = self.tenancy.terms(number).map(|terms| terms.cap);
        if let Some(cap) = cap.filter(|_| waiting.is_whole) {
            let is_capped = !cap.admits(&self.tenancy.counted_use(step), &least);
            if waiting.is_gang {
                let hold = &mut holds[number as usize];
                let is_first = hold.is_none_or(|first| *step < first.step);
                let new = self.hold_for_gang(step, &cap, need, is_capped, clock);
                if let Some(new) = new.filter(|_| is_first) {
                    *hold = Some(new);
                }
            }
            if is_capped {
                self.tenancy.states[number as usize].pass.capped_steps += 1;
                return None;
            }
        }
        let expected = self.tenancy.states[number as usize].pass.expected_use;
        let band = match expected.is_zero() {
            true => self.tenancy.band(number, &expected),
            false => self.tenancy.band(number, &expected.plus(&least)),
        };
        let state = &mut self.tenancy.states[number as usize];
        state.pass.expected_use = expected.plus(&need);
        let waited_ms = clock.wall_ms.saturating_sub(step.since_ms);
        let is_owed = lateness < scheduler::Lateness::Beyond && !waiting.is_beyond_rate;
        if is_owed && waited_ms >= tenants::FULL_WAIT.as_millis() as u64 {
            state.long_waited_at = Some(clock.now);
        }
        Some(band)
    }
}
