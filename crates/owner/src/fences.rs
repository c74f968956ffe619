//! Fencing of stale owners by generation, at a lease holder.

use indexmap::IndexMap;

use model::Generation;
use model::Partition;

/// Tracks the highest generation that a lease holder has seen of each partition.
#[derive(Clone, Debug, Default)]
pub struct Fences {
    /// Highest generation of each partition; never lowered.
    highest: IndexMap<Partition, Generation>,
}

impl Fences {
    /// Creates fences that admit every generation.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Refuses every generation of `partition` below `generation` from now on.
    pub fn raise(&mut self, partition: Partition, generation: Generation) {
        let highest = self.highest.entry(partition).or_insert(generation);
        *highest = generation.max(*highest);
    }

    /// Returns whether a request with `generation` is not stale.
    #[must_use]
    pub fn admits(&self, partition: Partition, generation: Generation) -> bool {
        self.highest
            .get(&partition)
            .is_none_or(|highest| generation >= *highest)
    }

    /// Returns the highest generation seen of `partition`; 0 before the first.
    #[must_use]
    pub fn highest(&self, partition: Partition) -> Generation {
        self.highest.get(&partition).copied().unwrap_or_default()
    }
}
