//! Reads of all entries below a prefix.

use crate::entry;
use crate::error;
use crate::store;

/// Reads all entries whose keys start with `prefix`, `page_entries` at a time.
///
/// The revision of the result is that of the first page: a watch from the next one misses no change,
/// and may repeat some that the entries already include.
///
/// # Errors
///
/// Fails as [`Store::range`](store::Store::range) does.
pub async fn read_all<S: store::Store>(
    store: &S,
    prefix: &str,
    page_entries: u32,
) -> Result<entry::Page, error::Error> {
    let mut all = store.range(prefix, page_entries, None).await?;
    while all.more {
        let after = all.entries.last().map(|entry| entry.key.clone());
        let page = store.range(prefix, page_entries, after.as_deref()).await?;
        all.more = page.more && !page.entries.is_empty();
        all.entries.extend(page.entries);
    }
    Ok(all)
}
