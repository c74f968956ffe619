//! Entries and transactions of the key-value service.

/// A revision of the whole service; each change increases it.
pub type Revision = i64;
/// The id of a lease of the service.
pub type LeaseId = i64;

/// Largest value that the service accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// One key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the last write of the key.
    pub modified_revision: Revision,
}

/// A change of one key, as a watch reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key was set.
    Put(Entry),
    /// The key was deleted, or its lease ended.
    Deleted {
        /// The key.
        key: String,
        /// Revision of the deletion.
        revision: Revision,
    },
}

/// A page of the entries whose keys start with a prefix, in order of their keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The entries.
    pub entries: Vec<Entry>,
    /// Whether more entries follow the last one.
    pub more: bool,
    /// Revision of the service at the time of the read; a watch from the next one misses no change.
    pub revision: Revision,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// The key was last changed at this revision.
    ModifiedAt {
        /// The key.
        key: String,
        /// The expected revision.
        revision: Revision,
    },
    /// The key does not exist.
    Absent {
        /// The key.
        key: String,
    },
    /// The key exists with this value.
    ValueIs {
        /// The key.
        key: String,
        /// The expected value.
        value: Vec<u8>,
    },
}

/// A key to be set by a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: String,
    /// Its new value, at most [`MAX_VALUE_BYTES`] long.
    pub value: Vec<u8>,
    /// Lease to which the key is attached; the key is deleted when the lease ends.
    pub lease_id: Option<LeaseId>,
}

/// Changes that are applied atomically if every condition holds, and not at all otherwise.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// The conditions.
    pub compares: Vec<Compare>,
    /// Keys to set.
    pub puts: Vec<Put>,
    /// Keys to delete.
    pub deletes: Vec<String>,
}

/// Outcome of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TxnOutcome {
    /// Whether every condition held and the changes took effect.
    pub succeeded: bool,
    /// Revision of the service after the transaction: that of the changes if it succeeded.
    pub revision: Revision,
}
