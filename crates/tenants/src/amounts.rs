//! Resources summed over many runs, and what a cap leaves of them.

use crate::tenant;

/// Resources of many runs together.
///
/// The sums are wider than those of one worker: 32 bits hold the processors of some 130,000 workers
/// and overflow with the memory of a few thousand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Amounts {
    /// Processor time in thousandths of a core.
    pub processors_milli: u64,
    /// Memory in MiB.
    pub memory_mb: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl Amounts {
    /// Returns what `count` tasks of `demand` need together.
    #[must_use]
    pub fn of_tasks(demand: &model::Demand, count: u32) -> Self {
        let times = |each: u32| u64::from(each) * u64::from(count);
        Self {
            processors_milli: times(demand.processors_milli),
            memory_mb: times(demand.memory_mb),
            accelerators: times(demand.accelerators),
        }
    }

    /// Returns the sum of both, saturating.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        self.map_with(other, u64::saturating_add)
    }

    /// Returns `self` minus `other`; `None` if a resource of `other` is larger.
    #[must_use]
    pub fn checked_minus(&self, other: &Self) -> Option<Self> {
        Some(Self {
            processors_milli: self.processors_milli.checked_sub(other.processors_milli)?,
            memory_mb: self.memory_mb.checked_sub(other.memory_mb)?,
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
        })
    }

    /// Returns `self` minus `other`, zero for each resource of which `other` is larger.
    #[must_use]
    pub fn saturating_minus(&self, other: &Self) -> Self {
        self.map_with(other, u64::saturating_sub)
    }

    /// Returns whether nothing of any resource is used.
    #[must_use]
    pub fn is_zero(&self) -> bool {
        *self == Self::default()
    }

    /// Returns the largest fraction of any resource of `capacity`; resources that `capacity` has
    /// nothing of do not count.
    #[must_use]
    pub fn dominant_fraction(&self, capacity: &Self) -> f64 {
        let fraction = |used: u64, of: u64| match of {
            0 => 0.0,
            // Precision beyond 53 bits does not matter for a fraction.
            _ => used as f64 / of as f64,
        };
        fraction(self.processors_milli, capacity.processors_milli)
            .max(fraction(self.memory_mb, capacity.memory_mb))
            .max(fraction(self.accelerators, capacity.accelerators))
    }

    fn map_with(&self, other: &Self, of: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            processors_milli: of(self.processors_milli, other.processors_milli),
            memory_mb: of(self.memory_mb, other.memory_mb),
            accelerators: of(self.accelerators, other.accelerators),
        }
    }
}

impl tenant::Cap {
    /// Returns whether `more` may be added to `used`: every resource of which `more` needs any stays
    /// within its limit.
    #[must_use]
    pub fn admits(&self, used: &Amounts, more: &Amounts) -> bool {
        self.resources(used, more)
            .into_iter()
            .all(|(limit, used, more)| {
                more == 0 || limit.is_none_or(|limit| used.saturating_add(more) <= limit)
            })
    }

    /// Returns how many tasks of `demand` may be added to `used`.
    #[must_use]
    pub fn count_fitting(&self, used: &Amounts, demand: &model::Demand) -> u32 {
        let each = Amounts::of_tasks(demand, 1);
        let counts = self.resources(used, &each).map(|(limit, used, each)| {
            let free = limit.map(|limit| limit.saturating_sub(used));
            free.and_then(|free| free.checked_div(each))
                .map_or(u32::MAX, |count| u32::try_from(count).unwrap_or(u32::MAX))
        });
        counts.into_iter().min().unwrap_or(u32::MAX)
    }

    /// Returns whether `used` exceeds the limit of a resource that `demand` needs.
    #[must_use]
    pub fn is_exceeded(&self, used: &Amounts, demand: &model::Demand) -> bool {
        let each = Amounts::of_tasks(demand, 1);
        self.resources(used, &each)
            .into_iter()
            .any(|(limit, used, each)| each > 0 && limit.is_some_and(|limit| used > limit))
    }

    /// Returns the largest fraction of any limit that `used` reaches; 0 without limits.
    #[must_use]
    pub fn used_fraction(&self, used: &Amounts) -> f64 {
        used.dominant_fraction(&Amounts {
            processors_milli: self.processors_milli.unwrap_or_default(),
            memory_mb: self.memory_mb.unwrap_or_default(),
            accelerators: self.accelerators.unwrap_or_default(),
        })
    }

    fn resources(&self, one: &Amounts, other: &Amounts) -> [(Option<u64>, u64, u64); 3] {
        [
            (
                self.processors_milli,
                one.processors_milli,
                other.processors_milli,
            ),
            (self.memory_mb, one.memory_mb, other.memory_mb),
            (self.accelerators, one.accelerators, other.accelerators),
        ]
    }
}
