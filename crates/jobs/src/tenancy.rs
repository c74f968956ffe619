//! Tenants in the leader's term: what each has running, and what its cap admits.

use std::sync;

use indexmap::IndexMap;

use crate::event;
use crate::job;
use crate::maps;
use crate::scheduler;

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
}

/// One tenant.
#[derive(Debug, Default)]
pub(crate) struct TenantState {
    /// Its entry in the manifest; `None` without a tenant, or once it has been removed.
    pub(crate) terms: Option<tenants::Tenant>,
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
}

impl Default for Tenancy {
    fn default() -> Self {
        Self {
            is_active: false,
            states: vec![TenantState::default()],
            numbers: maps::HashMap::default(),
            usage: tenants::Usage::default(),
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

    /// Applies the tenants of a manifest.
    fn apply(&mut self, tenants: Option<&tenants::Tenants>) {
        self.is_active = tenants.is_some();
        for state in &mut self.states {
            state.terms = None;
        }
        for tenant in tenants.into_iter().flat_map(tenants::Tenants::iter) {
            let number = self.enter(Some(&tenant.name));
            self.states[number as usize].terms = Some(tenant.clone());
        }
    }
}

impl scheduler::Scheduler {
    /// Applies the tenants of the manifest in force.
    pub(crate) fn apply_tenants(&mut self, _clock: event::Clock) {
        let tenants = self.manifest.tenants.as_ref().map(sync::Arc::clone);
        self.tenancy.apply(tenants.as_deref());
    }

    /// Returns values of the manifest's tenants for metrics, in its order.
    #[must_use]
    pub fn tenant_reports(&self) -> Vec<TenantReport> {
        let tenants = self.manifest.tenants.iter().flat_map(|all| all.iter());
        let reports = tenants.filter_map(|tenant| {
            let number = self.tenancy.numbers.get(&tenant.name)?;
            Some(TenantReport {
                name: model::TenantName::clone(&tenant.name),
                used: self.tenancy.usage.of(*number),
                cap: tenant.cap,
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
