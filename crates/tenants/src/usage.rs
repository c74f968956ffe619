//! What each tenant has running, kept by increments.

use crate::amounts::Amounts;

/// Number of a tenant among those that a leader has met in its term.
pub type TenantNumber = u32;

/// Sums of the resources of runs by tenant.
///
/// Each run is added once and removed once; the sums are never recomputed.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    by_tenant: Vec<Amounts>,
}

impl Usage {
    /// Adds a run of a tenant.
    pub fn add(&mut self, tenant: TenantNumber, demand: &model::Demand) {
        let index = tenant as usize;
        if index >= self.by_tenant.len() {
            self.by_tenant.resize(index + 1, Amounts::default());
        }
        self.by_tenant[index] = self.by_tenant[index].plus(&Amounts::of_tasks(demand, 1));
    }

    /// Removes a run of a tenant.
    ///
    /// # Errors
    ///
    /// Fails if the sums do not include the run; they are zero then where they would be negative.
    pub fn remove(
        &mut self,
        tenant: TenantNumber,
        demand: &model::Demand,
    ) -> Result<(), UnknownRun> {
        let one = Amounts::of_tasks(demand, 1);
        let used = self.by_tenant.get_mut(tenant as usize).ok_or(UnknownRun)?;
        let left = used.checked_minus(&one);
        *used = used.saturating_minus(&one);
        left.map(|_| ()).ok_or(UnknownRun)
    }

    /// Returns what a tenant has running.
    #[must_use]
    pub fn of(&self, tenant: TenantNumber) -> Amounts {
        let used = self.by_tenant.get(tenant as usize);
        used.copied().unwrap_or_default()
    }
}

/// A run was removed that had not been added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a run was removed that had not been added to its tenant's use")]
pub struct UnknownRun;
