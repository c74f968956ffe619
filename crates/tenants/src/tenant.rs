//! A tenant, its weight and its cap.

/// A tenant of one version of the manifest.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name, unique in the manifest.
    pub name: model::TenantName,
    /// Share of the workers when all are busy, relative to the weights of other tenants, and number of
    /// jobs a second that the tenant is owed; finite and above 0.
    pub weight: f64,
    /// Limit of what the tenant may have running.
    pub cap: Cap,
}

/// Limit of what a tenant may have running on all workers together; `None` for no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cap {
    /// Processor time in thousandths of a core.
    pub processors_milli: Option<u64>,
    /// Memory in MiB.
    pub memory_mb: Option<u64>,
    /// Whole accelerators.
    pub accelerators: Option<u64>,
}
