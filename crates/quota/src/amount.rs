//! Arithmetic over the dimensions of a quota amount.

use model::Demand;
use model::QuotaAmount;

use crate::Limits;

/// Number of dimensions that tasks occupy; the rate is apart.
pub(crate) const DIMENSIONS: usize = 4;

/// What tasks occupy, by dimension: processors, memory, accelerators, tasks.
pub(crate) type Levels = [u64; DIMENSIONS];

/// Index of the number of tasks.
pub(crate) const TASKS: usize = 3;

pub(crate) fn levels(amount: &QuotaAmount) -> Levels {
    [
        u64::from(amount.resources.processors_milli),
        u64::from(amount.resources.memory_mb),
        u64::from(amount.resources.accelerators),
        u64::from(amount.tasks),
    ]
}

/// Returns the amount of `levels` and `rate_milli`, cut off at the largest that fits.
pub(crate) fn amount(levels: Levels, rate_milli: u64) -> QuotaAmount {
    QuotaAmount {
        resources: Demand {
            processors_milli: narrow(levels[0]),
            memory_mb: narrow(levels[1]),
            accelerators: narrow(levels[2]),
        },
        tasks: narrow(levels[TASKS]),
        rate_milli: narrow(rate_milli),
    }
}

/// Returns the limit of each dimension; `None` is unlimited.
pub(crate) fn limit_levels(limits: &Limits) -> [Option<u64>; DIMENSIONS] {
    [
        limits.processors_milli.map(u64::from),
        limits.memory_mb.map(u64::from),
        limits.accelerators.map(u64::from),
        limits.tasks.map(u64::from),
    ]
}

pub(crate) fn plus(left: Levels, right: Levels) -> Levels {
    std::array::from_fn(|index| left[index].saturating_add(right[index]))
}

pub(crate) fn minus(left: Levels, right: Levels) -> Levels {
    std::array::from_fn(|index| left[index].saturating_sub(right[index]))
}

pub(crate) fn max(left: Levels, right: Levels) -> Levels {
    std::array::from_fn(|index| left[index].max(right[index]))
}

/// Returns whether `levels` are within `limits`.
pub(crate) fn within(levels: &Levels, limits: &[Option<u64>; DIMENSIONS]) -> bool {
    levels
        .iter()
        .zip(limits)
        .all(|(level, limit)| limit.is_none_or(|limit| *level <= limit))
}

fn narrow(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
