//! Limits of a plan.

/// What a plan may use over the whole cluster; `None` is unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    /// Processor time in thousandths of a core.
    pub processors_milli: Option<u32>,
    /// Memory in MiB.
    pub memory_mb: Option<u32>,
    /// Whole accelerators.
    pub accelerators: Option<u32>,
    /// Concurrent tasks.
    pub tasks: Option<u32>,
    /// Task starts per second, in thousandths.
    pub rate_milli: Option<u32>,
}
