//! Settling of writes whose reply was lost.

use crate::entry;
use crate::error;
use crate::store;

/// What a read shows about a write whose outcome was not known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// The written value is in force, since this revision.
    Applied(entry::Revision),
    /// Another value than the written and the expected one is in force, or the key is gone; the
    /// write will not take effect any more, and may have been in force before.
    Superseded(Option<entry::Entry>),
    /// Nothing has changed yet, and the write may still take effect: repeat the same conditional
    /// write, which cannot take effect twice.
    Unchanged,
}

/// Reads back a conditional write of `put` that ended in
/// [`ErrorKind::Timeout`](error::ErrorKind::Timeout).
///
/// `expected` is the revision that the write required of the key, `None` if the key had to be
/// absent. The value must be one that no other writer writes, else another's write is taken for
/// this one.
///
/// # Errors
///
/// Fails if the service cannot be read; the outcome is then still not known.
pub async fn settle_put<S: store::Store>(
    store: &S,
    put: &entry::Put,
    expected: Option<entry::Revision>,
) -> Result<Settlement, error::Error> {
    let found = store.get(&put.key).await?;
    let revision = found.as_ref().map(|entry| entry.modified_revision);
    if revision == expected {
        return Ok(Settlement::Unchanged);
    }
    Ok(match found {
        Some(entry) if entry.value == put.value => Settlement::Applied(entry.modified_revision),
        other => Settlement::Superseded(other),
    })
}
