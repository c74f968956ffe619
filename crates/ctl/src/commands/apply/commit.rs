//! Commits the lists, and settles a write whose reply was lost.

use crate::commands::apply;
use crate::commands::apply::settle_timing;
use crate::error;

/// Outcome of one try.
enum Try {
    /// The lists were written at this revision.
    Written(store::Revision),
    /// A condition did not hold.
    Refused,
    /// The write may have taken effect.
    ReplyLost(store::Error),
    /// The write was certainly not sent.
    NotSent(store::Error),
}

/// What reading back shows.
enum ReadBack {
    /// The lists are in the store since this revision.
    Written(store::Revision),
    /// Another text is.
    Superseded,
    /// Nothing has changed yet.
    Unchanged,
    /// The store could not be read.
    Unreadable,
}

/// Writes every list that has a new text, if all lists are as they were read.
///
/// After a lost reply the lists are read back, and the same conditional transaction is repeated
/// while nothing has changed; it cannot take effect twice. The same text from another writer counts
/// as written, because it is in force as wanted.
pub(super) async fn commit<S: store::Store>(
    store: &S,
    sides: &[apply::Side<'_>],
    timing: settle_timing::SettleTiming,
) -> Result<store::Revision, error::Error> {
    let txn = transaction(sides);
    let mut reply_lost = false;
    let mut last = String::new();
    for _ in 0..timing.tries {
        let tried = try_once(store, &txn).await;
        let refused = matches!(tried, Try::Refused);
        match tried {
            Try::Written(revision) => return Ok(revision),
            Try::Refused if !reply_lost => return Err(race_lost(store, sides).await),
            Try::NotSent(reason) if !reply_lost => {
                let message = format!("nothing was changed: {reason}");
                return Err(error::Error::refused(message));
            }
            Try::Refused => {}
            Try::ReplyLost(reason) | Try::NotSent(reason) => {
                reply_lost = true;
                last = reason.to_string();
            }
        }
        tokio::time::sleep(timing.pause).await;
        match read_back(store, sides).await {
            ReadBack::Written(revision) => return Ok(revision),
            ReadBack::Superseded => return Err(superseded()),
            ReadBack::Unchanged if refused => return Err(race_lost(store, sides).await),
            ReadBack::Unchanged | ReadBack::Unreadable => {}
        }
    }
    let message = format!(
        "it is not known whether the lists were written: {last}; look with 'ferryctl show', or \
         repeat the same apply, which cannot take effect twice"
    );
    Err(error::Error::new(error::ErrorKind::Unknown, message))
}

fn transaction(sides: &[apply::Side<'_>]) -> store::Txn {
    store::Txn {
        compares: sides.iter().map(condition).collect(),
        puts: sides.iter().filter_map(put).collect(),
        deletes: Vec::new(),
    }
}

fn condition(side: &apply::Side<'_>) -> store::Compare {
    let key = side.list.key().to_owned();
    match side.stored.revision {
        0 => store::Compare::Absent { key },
        revision => store::Compare::ModifiedAt { key, revision },
    }
}

fn put(side: &apply::Side<'_>) -> Option<store::Put> {
    let text = side.new_text?;
    Some(store::Put {
        key: side.list.key().to_owned(),
        value: text.as_bytes().to_vec(),
        lease_id: None,
    })
}

async fn try_once<S: store::Store>(store: &S, txn: &store::Txn) -> Try {
    match store.commit(txn.clone()).await {
        Ok(committed) if committed.succeeded => Try::Written(committed.revision),
        Ok(_) => Try::Refused,
        Err(reason) if may_have_applied(reason.kind()) => Try::ReplyLost(reason),
        Err(reason) => Try::NotSent(reason),
    }
}

fn may_have_applied(kind: store::ErrorKind) -> bool {
    kind == store::ErrorKind::Timeout
}

/// Reads back every written list; all must show the write.
async fn read_back<S: store::Store>(store: &S, sides: &[apply::Side<'_>]) -> ReadBack {
    let mut written = 0;
    let mut unchanged = false;
    for side in sides {
        let Some(put) = put(side) else {
            continue;
        };
        let expected = Some(side.stored.revision).filter(|revision| *revision > 0);
        match store::settle_put(store, &put, expected).await {
            Ok(store::Settlement::Applied(revision)) => written = written.max(revision),
            Ok(store::Settlement::Superseded(_)) => return ReadBack::Superseded,
            Ok(store::Settlement::Unchanged) => unchanged = true,
            Err(_) => return ReadBack::Unreadable,
        }
    }
    match (written, unchanged) {
        (0, _) => ReadBack::Unchanged,
        (_, true) => ReadBack::Superseded,
        (revision, false) => ReadBack::Written(revision),
    }
}

/// Names the list that another writer changed.
async fn race_lost<S: store::Store>(store: &S, sides: &[apply::Side<'_>]) -> error::Error {
    for side in sides {
        let key = side.list.key();
        let Ok(found) = store.get(key).await else {
            continue;
        };
        let found = found.map_or(0, |entry| entry.modified_revision);
        if found != side.stored.revision {
            return apply::lost_race(side.list, side.stored.revision, found);
        }
    }
    let message = "another writer was first and nothing was changed";
    error::Error::new(error::ErrorKind::LostRace, message)
}

fn superseded() -> error::Error {
    let message = "a reply was lost and another text is in the store now; this one may have been \
                   in force before; look with 'ferryctl show'";
    error::Error::new(error::ErrorKind::Unknown, message)
}
