//! Tenants in the leader's term: what each has running, waiting and left of its rate.

use std::sync;
use std::time;

use indexmap::IndexMap;

use crate::admission;
use crate::caps;
use crate::event;
use crate::job;
use crate::maps;
use crate::scheduler;
use crate::shares;

/// Number of work without a tenant: accepted without an API key, or of an unknown job.
pub(crate) const NO_TENANT: tenants::TenantNumber = 0;

/// The tenants that a leader has met in its term.
#[derive(Debug)]
pub(crate) struct Tenancy {
    /// Whether the manifest has tenants; nothing is limited or reordered otherwise.
    pub(crate) is_active: bool,
    /// By number: the first is `NO_TENANT`. None is removed, so that numbers stay valid.
    pub(crate) states: Vec<TenantState>,
    numbers: maps::HashMap<model::TenantName, tenants::TenantNumber>,
    /// What runs that may exist occupy, by tenant.
    pub(crate) usage: tenants::Usage,
    /// How the workers were to be divided at the last placement pass.
    pub(crate) division: tenants::Division,
    /// How busy the workers were in the last placement passes.
    pub(crate) load: tenants::Load,
    /// When the used fraction in `load` was measured.
    pub(crate) peak_at: Option<time::Instant>,
    pub(crate) order_buffers: shares::OrderBuffers,
    /// Limits the lines about caps that are reached and left.
    pub(crate) cap_log: caps::LogLimit,
    /// Limits the lines about refused jobs.
    pub(crate) refusal_log: caps::LogLimit,
}

/// One tenant.
#[derive(Debug, Default)]
pub(crate) struct TenantState {
    /// Its entry in the manifest; `None` without a tenant, or once it has been removed.
    pub(crate) terms: Option<tenants::Tenant>,
    /// Jobs that it is owed; `None` until it first has an entry.
    pub(crate) owed_jobs: Option<tenants::Bucket>,
    /// What its gang that waits longest for the cap needs; later work must not use it.
    pub(crate) hold: Option<caps::Hold>,
    /// Since when its cap holds back work.
    pub(crate) cap_reached: Option<caps::CapReached>,
    /// When a placement pass last met owed work that the cap does not hold back and that had waited for
    /// `tenants::FULL_WAIT`.
    pub(crate) long_waited_at: Option<time::Instant>,
    /// Counts and sums of the last placement pass.
    pub(crate) pass: TenantPass,
    pub(crate) counters: TenantCounters,
}

/// What a placement pass has counted for a tenant.
#[derive(Debug, Default)]
pub(crate) struct TenantPass {
    /// Steps with waiting tasks.
    pub(crate) waiting_steps: u32,
    /// Those that the cap holds back.
    pub(crate) capped_steps: u32,
    /// What the runs of the tenant occupy, and the steps that precede in the scheduling order will.
    pub(crate) expected_use: tenants::Amounts,
}

/// Counts of a tenant's jobs since the term began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TenantCounters {
    /// Jobs accepted within its rate.
    pub owed_jobs: u64,
    /// Jobs accepted beyond its rate.
    pub beyond_jobs: u64,
    /// Jobs refused as they were beyond its rate while the workers were full.
    pub refused_rate: u64,
    /// Jobs refused as they can never run under its cap.
    pub refused_cap: u64,
}

/// Values of one tenant for metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantReport {
    /// Name.
    pub name: model::TenantName,
    /// What its runs that may exist occupy.
    pub used: tenants::Amounts,
    /// Its cap in the manifest in force.
    pub cap: tenants::Cap,
    /// Fraction of the workers that it is owed while all active tenants use theirs.
    pub share_owed: f64,
    /// Fraction of the workers that it uses, by the resource of which it is largest.
    pub share_used: f64,
    /// Steps with waiting tasks at the last placement pass.
    pub waiting_steps: u32,
    /// Those that the cap holds back.
    pub capped_steps: u32,
    /// For how long the cap has held back work; `None` if it does not.
    pub cap_reached_for: Option<time::Duration>,
    /// Counts since the term began.
    pub counters: TenantCounters,
}

impl Default for Tenancy {
    fn default() -> Self {
        Self {
            is_active: false,
            states: vec![TenantState::default()],
            numbers: maps::HashMap::default(),
            usage: tenants::Usage::default(),
            division: tenants::Division::default(),
            load: tenants::Load::default(),
            peak_at: None,
            order_buffers: shares::OrderBuffers::default(),
            cap_log: caps::LogLimit::default(),
            refusal_log: caps::LogLimit::default(),
        }
    }
}

impl Tenancy {
    /// Returns the number of a tenant, which gets one if it has none.
    pub(crate) fn enter(&mut self, name: Option<&model::TenantName>) -> tenants::TenantNumber {
        let Some(name) = name else {
            return NO_TENANT;
        };
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = u32::try_from(self.states.len()).unwrap_or(u32::MAX);
        self.states.push(TenantState::default());
        self.numbers.insert(model::TenantName::clone(name), number);
        number
    }

    /// Returns the number of a job's tenant.
    pub(crate) fn number_of(&self, state: &job::JobState) -> tenants::TenantNumber {
        let number = state
            .tenant
            .as_ref()
            .and_then(|name| self.numbers.get(name));
        number.copied().unwrap_or(NO_TENANT)
    }

    /// Returns the state of a tenant.
    pub(crate) fn state(&self, tenant: tenants::TenantNumber) -> Option<&TenantState> {
        self.states.get(tenant as usize)
    }

    /// Returns the entry of a tenant in the manifest.
    pub(crate) fn terms(&self, tenant: tenants::TenantNumber) -> Option<&tenants::Tenant> {
        self.state(tenant)?.terms.as_ref()
    }

    /// Returns the band of a tenant that uses `used`; work without a tenant in the manifest is owed no
    /// share, and precedes only tenants far above theirs.
    pub(crate) fn band(
        &self,
        tenant: tenants::TenantNumber,
        used: &tenants::Amounts,
    ) -> tenants::Band {
        let terms = self.terms(tenant);
        terms.map_or(tenants::Band::Above, |terms| {
            self.division.band(terms.weight, used)
        })
    }

    /// Applies the tenants of a manifest.
    fn apply(&mut self, tenants: Option<&tenants::Tenants>, now: time::Instant) {
        self.is_active = tenants.is_some();
        for state in &mut self.states {
            state.terms = None;
        }
        for tenant in tenants.into_iter().flat_map(tenants::Tenants::iter) {
            let number = self.enter(Some(&tenant.name));
            let state = &mut self.states[number as usize];
            admission::set_rate(&mut state.owed_jobs, tenant.weight, now);
            state.terms = Some(tenant.clone());
        }
        if !self.is_active {
            for state in &mut self.states {
                (state.hold, state.cap_reached) = (None, None);
                state.pass = TenantPass::default();
            }
        }
    }
}

impl scheduler::Scheduler {
    /// Applies the tenants of the manifest in force.
    pub(crate) fn apply_tenants(&mut self, clock: event::Clock) {
        let tenants = self.manifest.tenants.as_ref().map(sync::Arc::clone);
        self.tenancy.apply(tenants.as_deref(), clock.now);
    }

    /// Returns values of the manifest's tenants for metrics, in its order.
    #[must_use]
    pub fn tenant_reports(&self, now: time::Instant) -> Vec<TenantReport> {
        let tenancy = &self.tenancy;
        let tenants = self.manifest.tenants.iter().flat_map(|all| all.iter());
        let reports = tenants.filter_map(|tenant| {
            let number = *tenancy.numbers.get(&tenant.name)?;
            let state = tenancy.state(number)?;
            let used = tenancy.usage.of(number);
            let cap_reached = state.cap_reached.as_ref();
            Some(TenantReport {
                name: model::TenantName::clone(&tenant.name),
                used,
                cap: tenant.cap,
                share_owed: tenancy.division.owed_fraction(tenant.weight),
                share_used: tenancy.division.used_fraction(&used),
                waiting_steps: state.pass.waiting_steps,
                capped_steps: state.pass.capped_steps,
                cap_reached_for: cap_reached.map(|one| one.age(now)),
                counters: state.counters,
            })
        });
        reports.collect()
    }

    /// Recounts what the runs of each tenant that may exist occupy, to check the sums that are kept by
    /// increments; the empty name stands for work without a tenant.
    ///
    /// Each entry has the kept sum and the recounted one.
    #[must_use]
    pub fn recount_tenant_use(
        &self,
    ) -> IndexMap<model::TenantName, (tenants::Amounts, tenants::Amounts)> {
        let mut counted = vec![tenants::Amounts::default(); self.tenancy.states.len()];
        for run in self
            .workers
            .values()
            .flat_map(|worker| worker.runs.values())
        {
            let used = &mut counted[run.tenant as usize];
            *used = used.plus(&tenants::Amounts::of_tasks(&run.demand, 1));
        }
        let names = self.tenancy.numbers.iter();
        let names = names.map(|(name, number)| (model::TenantName::clone(name), *number));
        let all = names.chain([(model::TenantName::from(""), NO_TENANT)]);
        let entries = all.map(|(name, number)| {
            let kept = self.tenancy.usage.of(number);
            (name, (kept, counted[number as usize]))
        });
        entries.collect()
    }
}
