//! Collections of the scheduler with a fast hash function.
//!
//! Keys come from callers and workers, so the hash function is seeded at random.

use foldhash::fast::RandomState;

/// Map in insertion order, until an entry is removed by swapping.
pub(crate) type IndexMap<K, V> = indexmap::IndexMap<K, V, RandomState>;
/// Set in insertion order, until an entry is removed by swapping.
pub(crate) type IndexSet<K> = indexmap::IndexSet<K, RandomState>;
/// Map whose order is never used.
pub(crate) type HashMap<K, V> = std::collections::HashMap<K, V, RandomState>;
/// Set whose order is never used.
pub(crate) type HashSet<K> = std::collections::HashSet<K, RandomState>;
