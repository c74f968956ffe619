//! Arithmetic on quota amounts as vectors of resources.

use model::Demand;
use model::QuotaAmount;

use crate::Limits;

/// Number of dimensions that running tasks occupy; the start rate is handled separately.
pub(crate) const DIMENSIONS: usize = 4;

/// What running tasks occupy, by dimension: processors, memory, accelerators, tasks.
pub(crate) type ResourceVector = [u64; DIMENSIONS];

/// Index of the number of tasks.
pub(crate) const TASKS_INDEX: usize = 3;

pub(crate) fn resource_vector(amount: &QuotaAmount) -> ResourceVector {
    [
        u64::from(amount.resources.processors_milli),
        u64::from(amount.resources.memory_mb),
        u64::from(amount.resources.accelerators),
        u64::from(amount.tasks),
    ]
}

/// Returns the quota amount of `resources` and `rate_milli`, saturated at `u32::MAX`.
pub(crate) fn quota_amount(resources: ResourceVector, rate_milli: u64) -> QuotaAmount {
    QuotaAmount {
        resources: Demand {
            processors_milli: saturate_to_u32(resources[0]),
            memory_mb: saturate_to_u32(resources[1]),
            accelerators: saturate_to_u32(resources[2]),
        },
        tasks: saturate_to_u32(resources[TASKS_INDEX]),
        rate_milli: saturate_to_u32(rate_milli),
    }
}

/// Returns the limit of each dimension; `None` is unlimited.
pub(crate) fn limit_vector(limits: &Limits) -> [Option<u64>; DIMENSIONS] {
    [
        limits.processors_milli.map(u64::from),
        limits.memory_mb.map(u64::from),
        limits.accelerators.map(u64::from),
        limits.tasks.map(u64::from),
    ]
}

pub(crate) fn plus(left: ResourceVector, right: ResourceVector) -> ResourceVector {
    std::array::from_fn(|index| left[index].saturating_add(right[index]))
}

pub(crate) fn minus(left: ResourceVector, right: ResourceVector) -> ResourceVector {
    std::array::from_fn(|index| left[index].saturating_sub(right[index]))
}

pub(crate) fn max(left: ResourceVector, right: ResourceVector) -> ResourceVector {
    std::array::from_fn(|index| left[index].max(right[index]))
}

/// Returns whether `resources` are within `limits`.
pub(crate) fn is_within(resources: &ResourceVector, limits: &[Option<u64>; DIMENSIONS]) -> bool {
    resources
        .iter()
        .zip(limits)
        .all(|(amount, limit)| limit.is_none_or(|limit| *amount <= limit))
}

fn saturate_to_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
