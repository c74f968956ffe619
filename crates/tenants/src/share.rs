//! Weighted dominant resource fairness.

use crate::amounts::Amounts;

/// Band of a tenant's use relative to its share; earlier variants are placed first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Band {
    /// At most its share.
    #[default]
    Within,
    /// More than its share, and at most twice as much.
    Above,
    /// More than twice its share.
    FarAbove,
}

/// Use above which a tenant is far above its share, as a multiple of the share.
const FAR_ABOVE_FACTOR: f64 = 2.0;

/// Capacity of the workers and the active tenants' weights at one time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Division {
    /// Capacity of all workers.
    pub capacity: Amounts,
    /// Sum of the weights of the active tenants.
    pub active_weight: f64,
}

impl Division {
    /// Returns the fraction of the workers that a tenant of `weight` is owed while all active tenants
    /// use theirs.
    #[must_use]
    pub fn owed_fraction(&self, weight: f64) -> f64 {
        match self.active_weight > 0.0 {
            true => (weight / self.active_weight).min(1.0),
            false => 1.0,
        }
    }

    /// Returns the fraction of the workers that `used` is, by the resource of which it is largest.
    #[must_use]
    pub fn used_fraction(&self, used: &Amounts) -> f64 {
        used.dominant_fraction(&self.capacity)
    }

    /// Returns the band of a tenant of `weight` that uses `used`.
    #[must_use]
    pub fn band(&self, weight: f64, used: &Amounts) -> Band {
        let (used, owed) = (self.used_fraction(used), self.owed_fraction(weight));
        if used <= owed {
            Band::Within
        } else if used <= owed * FAR_ABOVE_FACTOR {
            Band::Above
        } else {
            Band::FarAbove
        }
    }
}
