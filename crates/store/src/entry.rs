//! Entries and transactions of the key-value service.

/// Is a revision of the whole service; each change raises it.
pub type Revision = i64;
/// Identifies a lease of the service.
pub type LeaseId = i64;

/// Largest value that the service takes, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// One key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the change that gave the key this value.
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

/// Part of the entries under a prefix, in order of their keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The entries.
    pub entries: Vec<Entry>,
    /// Whether entries follow after the last one.
    pub more: bool,
    /// Revision of the service at the time of the read; a watch from the next one misses nothing.
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
    /// Lease at whose end the key is deleted.
    pub lease_id: Option<LeaseId>,
}

/// Changes that take effect together if every condition holds, else not at all.
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
pub struct Committed {
    /// Whether every condition held and the changes took effect.
    pub succeeded: bool,
    /// Revision of the service after the transaction: that of the changes if it succeeded.
    pub revision: Revision,
}
