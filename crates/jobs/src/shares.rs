//! Shares of tenants: their bands in the scheduling order.

use crate::admission;
use crate::caps;
use crate::event;
use crate::maps;
use crate::scheduler;
use crate::tenancy;
use crate::workers;

impl scheduler::Scheduler {
    /// Orders the steps of each class and priority by the bands of their tenants, and takes out those that
    /// caps hold back; returns `order` unchanged without tenants in the manifest.
    ///
    /// A step's band is that of what its tenant would use with the tenant's steps before it and the least
    /// that may start of it: the backlog of a tenant does not stand before the work of others because
    /// nothing of it runs yet. As steps start, that sum stays the same, and so does their order. The first
    /// step of a tenant of which nothing runs is within its share, however large it is.
    pub(crate) fn order_by_share(
        &mut self,
        order: Vec<scheduler::OrderedStep>,
        changed: &mut maps::HashSet<model::StepKey>,
        clock: event::Clock,
    ) -> Vec<scheduler::OrderedStep> {
        if !self.tenancy.is_active {
            return order;
        }
        self.begin_tenant_pass(&order, clock);
        let mut arranged = Vec::with_capacity(order.len());
        let mut capped = Vec::new();
        let mut holds = vec![None; self.tenancy.states.len()];
        for (rank, step) in order {
            match self.band_under_cap(rank.lateness, &step, &mut holds, clock) {
                Some(band) => arranged.push((self.rank_with_share(rank, band, &step), step)),
                None => capped.push(step),
            }
        }
        arranged.sort();
        for (state, hold) in self.tenancy.states.iter_mut().zip(holds) {
            state.hold = hold;
        }
        if !changed.is_empty() {
            for step in &capped {
                changed.remove(&step.key);
            }
        }
        self.hold_back_capped(&capped, clock);
        self.tenancy.log_caps(clock.now);
        arranged
    }

    /// Returns the rank of a step whose tenant is in `band`.
    ///
    /// What a tenant submits beyond its rate waits behind all owed work only while the tenant uses more
    /// than its share: otherwise the room is owed to it. For the same reason, late work of a tenant within
    /// its share keeps the priority of its queue. As it is bounded by the share, it cannot hold up others
    /// after an outage.
    fn rank_with_share(
        &self,
        rank: scheduler::Rank,
        band: tenants::Band,
        step: &scheduler::WaitingStep,
    ) -> scheduler::Rank {
        let state = self.jobs.get(&step.key.job_id);
        let is_beyond_rate = state.is_some_and(|state| state.is_beyond_rate);
        let is_within_share = band == tenants::Band::Within;
        let is_timed = matches!(
            rank.lateness,
            scheduler::Lateness::InTime | scheduler::Lateness::Late
        );
        let is_late = rank.lateness == scheduler::Lateness::Late;
        let lateness = match rank.lateness {
            _ if is_timed && is_beyond_rate && !is_within_share => scheduler::Lateness::Beyond,
            scheduler::Lateness::Late if is_within_share => scheduler::Lateness::InTime,
            lateness => lateness,
        };
        scheduler::Rank {
            lateness,
            band,
            is_late,
            ..rank
        }
    }

    /// Sums up the workers and the active tenants.
    fn begin_tenant_pass(&mut self, order: &[scheduler::OrderedStep], clock: event::Clock) {
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
        for (_, step) in order {
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
            waiting_steps: order.len(),
            max_waiting_steps: self.settings.max_waiting_steps,
        };
    }

    /// Returns the band of a waiting step, or `None` if the cap of its tenant holds it back.
    fn band_under_cap(
        &mut self,
        lateness: scheduler::Lateness,
        step: &scheduler::WaitingStep,
        holds: &mut [Option<caps::Hold>],
        clock: event::Clock,
    ) -> Option<tenants::Band> {
        let tenancy = &mut self.tenancy;
        let number = step.tenant;
        let state = self.jobs.get(&step.key.job_id);
        let is_beyond_rate = state.is_some_and(|state| state.is_beyond_rate);
        let Some((of, step_state)) = state.and_then(|state| state.step(step.key)) else {
            return Some(tenants::Band::default());
        };
        let demand = workers::counted_demand(of);
        let need = tenants::Amounts::of_tasks(&demand, step_state.waiting_count);
        // Members of an earlier run of a gang that have not ended keep it from being placed.
        let is_whole = !of.gang || step_state.waiting_count == of.task_count;
        let least = match of.gang {
            true => need,
            false => tenants::Amounts::of_tasks(&demand, 1),
        };
        let cap = tenancy.terms(number).map(|terms| terms.cap);
        if let Some(cap) = cap.filter(|_| is_whole) {
            let is_capped = !cap.admits(&tenancy.counted_use(step), &least);
            if of.gang {
                let gang = caps::TenantGang {
                    step: *step,
                    step_state,
                    objective_ms: state.map_or(0, |state| state.objective_ms),
                    cap,
                    need,
                };
                let hold = &mut holds[number as usize];
                let is_first = hold.is_none_or(|first| *step < first.step);
                if let Some(new) = gang.hold(is_capped, clock).filter(|_| is_first) {
                    *hold = Some(new);
                }
            }
            if is_capped {
                tenancy.states[number as usize].pass.capped_steps += 1;
                return None;
            }
        }
        let expected = tenancy.states[number as usize].pass.expected_use;
        let band = match expected.is_zero() {
            true => tenancy.band(number, &expected),
            false => tenancy.band(number, &expected.plus(&least)),
        };
        let pass = &mut tenancy.states[number as usize].pass;
        pass.expected_use = pass.expected_use.plus(&need);
        let waited_ms = clock.wall_ms.saturating_sub(step.since_ms);
        let is_owed = lateness < scheduler::Lateness::Beyond && !is_beyond_rate;
        if is_owed && waited_ms >= tenants::FULL_WAIT.as_millis() as u64 {
            tenancy.states[number as usize].long_waited_at = Some(clock.now);
        }
        Some(band)
    }
}
