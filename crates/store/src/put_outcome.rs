//! Determines the outcome of writes whose response was lost.

use crate::entry;
use crate::error;
use crate::store;

/// Outcome of a write whose response was lost, as a read of its key shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// The key has the written value, since this revision.
    Applied(entry::Revision),
    /// The key was deleted, or has neither the written value nor the expected revision; the write
    /// can no longer take effect, but may have been applied before.
    Superseded(Option<entry::Entry>),
    /// The key has not changed yet, and the write may still take effect: repeat the same
    /// conditional write, which cannot take effect twice.
    Unchanged,
}

/// Reads the key of `put` to determine the outcome of a conditional write that failed with
/// [`ErrorKind::OutcomeUnknown`](error::ErrorKind::OutcomeUnknown).
///
/// `expected` is the revision that the write required of the key, `None` if the key had to be
/// absent. No other writer may write the same value, otherwise its write is mistaken for this
/// one.
///
/// # Errors
///
/// Fails if the service cannot be read; the outcome is then still unknown.
pub async fn read_put_outcome<S: store::Store>(
    store: &S,
    put: &entry::Put,
    expected: Option<entry::Revision>,
) -> Result<PutOutcome, error::Error> {
    let found = store.get(&put.key).await?;
    let revision = found.as_ref().map(|entry| entry.modified_revision);
    if revision == expected {
        return Ok(PutOutcome::Unchanged);
    }
    Ok(match found {
        Some(entry) if entry.value == put.value => PutOutcome::Applied(entry.modified_revision),
        other => PutOutcome::Superseded(other),
    })
}
