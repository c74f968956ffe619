//! Max-min fair division of a limit among instances.

use crate::amount;
use crate::amount::ResourceVector;

/// Divisor of an even share; each instance gets at least the quotient, as far as the others leave
/// it.
const BASELINE_DIVISOR: u64 = 2;

/// Share that one instance wants.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DesiredShare {
    /// Resources of that share.
    pub(crate) resources: ResourceVector,
}

/// Divides `limits` among `desired_shares`, max-min fair in the number of average tasks of each.
///
/// Shares grow by whole tasks, so that two instances that each want one large task do not get half
/// of one each. What is left over goes to the instances in order, starting at `first_index`.
pub(crate) fn divide(
    limits: &[Option<u64>; amount::DIMENSIONS],
    desired_shares: &[DesiredShare],
    first_index: usize,
) -> Vec<ResourceVector> {
    let most_wanted = desired_shares
        .iter()
        .map(DesiredShare::task_count)
        .max()
        .unwrap_or_default();
    let task_count = max_tasks_per_instance(limits, desired_shares, most_wanted);
    let mut shares: Vec<_> = desired_shares
        .iter()
        .map(|desired| desired.for_tasks(task_count))
        .collect();
    let mut left = left_over(limits, &shares);
    for offset in 0..desired_shares.len() {
        let index = (first_index + offset) % desired_shares.len();
        let shortfall = amount::minus(desired_shares[index].resources, shares[index]);
        let extra = std::array::from_fn(|dimension| shortfall[dimension].min(left[dimension]));
        shares[index] = amount::plus(shares[index], extra);
        left = amount::minus(left, extra);
    }
    shares
}

/// Raises small shares from what is left over, up to the baseline: a part of an even share.
///
/// An instance that wanted nothing then has a share for its first task, while what other instances
/// want has priority.
pub(crate) fn with_baseline(
    limits: &[Option<u64>; amount::DIMENSIONS],
    shares: &[ResourceVector],
) -> Vec<ResourceVector> {
    let count = shares.len() as u64;
    let leftover_part = left_over(limits, shares).map(|left| left / count.max(1));
    let raise_to_baseline = |share: &ResourceVector| {
        std::array::from_fn(|dimension| {
            let even = limits[dimension].unwrap_or_default() / count.max(1);
            let baseline = even.div_ceil(BASELINE_DIVISOR);
            let shortfall = baseline.saturating_sub(share[dimension]);
            share[dimension] + shortfall.min(leftover_part[dimension])
        })
    };
    shares.iter().map(raise_to_baseline).collect()
}

/// Divides the rate `limit` among `desired_rates`, max-min fair.
pub(crate) fn divide_rate(limit: u64, desired_rates: &[u64]) -> Vec<u64> {
    let mut order: Vec<_> = (0..desired_rates.len()).collect();
    order.sort_by_key(|index| desired_rates[*index]);
    let mut shares = vec![0; desired_rates.len()];
    let mut left = limit;
    for (done, index) in order.iter().enumerate() {
        let even = left / (desired_rates.len() - done) as u64;
        shares[*index] = desired_rates[*index].min(even);
        left -= shares[*index];
    }
    shares
}

impl DesiredShare {
    /// Returns the number of tasks that the share is for; resources without tasks count as one task.
    fn task_count(&self) -> u64 {
        let any = self.resources.iter().any(|amount| *amount > 0);
        self.resources[amount::TASKS_INDEX].max(u64::from(any))
    }

    /// Returns the resources of `tasks` average tasks of the share, at most the whole share.
    fn for_tasks(&self, tasks: u64) -> ResourceVector {
        let wanted_tasks = self.task_count();
        if tasks >= wanted_tasks {
            return self.resources;
        }
        self.resources
            .map(|amount| amount.saturating_mul(tasks).div_ceil(wanted_tasks))
    }
}

/// Returns the largest number of tasks that every instance can have, or all that it wants if
/// fewer, within the limits.
fn max_tasks_per_instance(
    limits: &[Option<u64>; amount::DIMENSIONS],
    desired_shares: &[DesiredShare],
    most_wanted: u64,
) -> u64 {
    let is_within_limits = |task_count| {
        let total = desired_shares
            .iter()
            .map(|desired| desired.for_tasks(task_count))
            .fold(ResourceVector::default(), amount::plus);
        amount::is_within(&total, limits)
    };
    let (mut low, mut high) = (0, most_wanted);
    while low < high {
        let middle = low + (high - low).div_ceil(2);
        if is_within_limits(middle) {
            low = middle;
        } else {
            high = middle - 1;
        }
    }
    low
}

fn left_over(
    limits: &[Option<u64>; amount::DIMENSIONS],
    shares: &[ResourceVector],
) -> ResourceVector {
    let total = shares
        .iter()
        .copied()
        .fold(ResourceVector::default(), amount::plus);
    std::array::from_fn(|dimension| {
        limits[dimension].map_or(u64::MAX, |limit| limit.saturating_sub(total[dimension]))
    })
}
