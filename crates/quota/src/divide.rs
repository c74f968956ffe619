//! Max-min fair division of a limit.

use crate::amount;
use crate::amount::Levels;

/// Divisor of an even share: what an instance has at least while the others leave it.
const BASELINE_DIVISOR: u64 = 2;

/// What one instance would like.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Want {
    /// Share that it would like.
    pub(crate) levels: Levels,
}

/// Divides `limits` among `wants`, max-min fair in the number of average tasks of each.
///
/// Shares grow by whole tasks, so that two that each want one large task do not get half of one.
/// What is left over goes to the instances in order, beginning at `favoured`.
pub(crate) fn divide(
    limits: &[Option<u64>; amount::DIMENSIONS],
    wants: &[Want],
    favoured: usize,
) -> Vec<Levels> {
    let most = wants.iter().map(Want::tasks).max().unwrap_or_default();
    let level = highest_level(limits, wants, most);
    let mut shares: Vec<_> = wants.iter().map(|want| want.part(level)).collect();
    let mut left = left_over(limits, &shares);
    for offset in 0..wants.len() {
        let index = (favoured + offset) % wants.len();
        let missing = amount::minus(wants[index].levels, shares[index]);
        let extra = std::array::from_fn(|dimension| missing[dimension].min(left[dimension]));
        shares[index] = amount::plus(shares[index], extra);
        left = amount::minus(left, extra);
    }
    shares
}

/// Raises small shares to a part of what an even division would give, out of what is left over.
///
/// An instance that wants nothing then has something for a first task, and what others want
/// comes first.
pub(crate) fn with_baseline(
    limits: &[Option<u64>; amount::DIMENSIONS],
    shares: &[Levels],
) -> Vec<Levels> {
    let count = shares.len() as u64;
    let part = left_over(limits, shares).map(|left| left / count.max(1));
    let raise = |share: &Levels| {
        std::array::from_fn(|dimension| {
            let even = limits[dimension].unwrap_or_default() / count.max(1);
            let baseline = even.div_ceil(BASELINE_DIVISOR);
            let missing = baseline.saturating_sub(share[dimension]);
            share[dimension] + missing.min(part[dimension])
        })
    };
    shares.iter().map(raise).collect()
}

/// Divides `limit` among `wants`, max-min fair.
pub(crate) fn divide_rate(limit: u64, wants: &[u64]) -> Vec<u64> {
    let mut order: Vec<_> = (0..wants.len()).collect();
    order.sort_by_key(|index| wants[*index]);
    let mut shares = vec![0; wants.len()];
    let mut left = limit;
    for (done, index) in order.iter().enumerate() {
        let even = left / (wants.len() - done) as u64;
        shares[*index] = wants[*index].min(even);
        left -= shares[*index];
    }
    shares
}

impl Want {
    /// Returns the number of tasks that it is for; a want for resources only is one task.
    fn tasks(&self) -> u64 {
        let any = self.levels.iter().any(|level| *level > 0);
        self.levels[amount::TASKS].max(u64::from(any))
    }

    /// Returns what `tasks` average tasks of it need.
    fn part(&self, tasks: u64) -> Levels {
        let all = self.tasks();
        if tasks >= all {
            return self.levels;
        }
        self.levels
            .map(|level| level.saturating_mul(tasks).div_ceil(all))
    }
}

/// Returns the most tasks that every instance can have, or as many as it wants if fewer.
fn highest_level(limits: &[Option<u64>; amount::DIMENSIONS], wants: &[Want], most: u64) -> u64 {
    let fits = |level| {
        let total = wants
            .iter()
            .map(|want| want.part(level))
            .fold(Levels::default(), amount::plus);
        amount::within(&total, limits)
    };
    let (mut low, mut high) = (0, most);
    while low < high {
        let middle = low + (high - low).div_ceil(2);
        if fits(middle) {
            low = middle;
        } else {
            high = middle - 1;
        }
    }
    low
}

fn left_over(limits: &[Option<u64>; amount::DIMENSIONS], shares: &[Levels]) -> Levels {
    let total = shares.iter().copied().fold(Levels::default(), amount::plus);
    std::array::from_fn(|dimension| {
        limits[dimension].map_or(u64::MAX, |limit| limit.saturating_sub(total[dimension]))
    })
}
