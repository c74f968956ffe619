//! Reads the lists in the platform's key-value service.

use std::net;
use std::time;

use crate::arguments;
use crate::error;

const STORE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Creates a client of the key-value service at the addresses in `--store`.
pub(crate) fn connect(args: &mut arguments::Arguments) -> Result<store::Etcd, error::Error> {
    let addresses = args.addresses("--store")?;
    let addresses = addresses.iter().map(net::SocketAddr::to_string);
    let builder = store::Etcd::builder()
        .addresses(addresses)
        .timeout(STORE_TIMEOUT);
    Ok(builder.build())
}

/// A list as read from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct StoredList {
    /// Revision at which the list was last modified; 0 if it does not exist.
    pub(crate) revision: store::Revision,
    /// Whole INI text.
    pub(crate) text: String,
}

/// Reads a list; a list that does not exist is returned empty, at revision 0.
pub(crate) async fn read_list<S: store::Store>(
    store: &S,
    list: lists::List,
) -> Result<StoredList, error::Error> {
    let entry = store.get(list.key()).await;
    let entry = entry.map_err(|reason| {
        error::Error::refused(format!("cannot read the {list} list: {reason}"))
    })?;
    let Some(entry) = entry else {
        return Ok(StoredList::default());
    };
    let text = String::from_utf8(entry.value)
        .map_err(|_| error::Error::refused(format!("the stored {list} list is not valid UTF-8")))?;
    Ok(StoredList {
        revision: entry.modified_revision,
        text,
    })
}
