//! Commits the lists, and finds the outcome of a write whose reply was lost.

use crate::commands::apply;
use crate::commands::apply::settle_timing;
use crate::error;

/// Outcome of one attempt to commit.
enum Try {
    /// The lists were written at this revision.
    Written(store::Revision),
    /// A list was not at its expected revision.
    Refused,
    /// The write may have taken effect.
    ReplyLost(store::Error),
    /// The write was certainly not sent.
    NotSent(store::Error),
}

/// State of the lists after a lost reply.
enum ReadBack {
    /// The store has the new lists, since this revision.
    Written(store::Revision),
    /// The store has a different new text.
    Superseded,
    /// The store still has the previous lists.
    Unchanged,
    /// The store could not be read.
    Unreadable,
}

/// Writes every list that has a new text, if no list has changed since it was read.
///
/// After a lost reply the lists are read back, and the same conditional transaction is repeated
/// while they are unchanged; it cannot take effect twice. If another writer stored the same text,
/// the list counts as written, because the store has the intended text.
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
        "it is unknown whether the lists were written: {last}; check with 'ferryctl show', or \
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

/// Reads back every list that the transaction writes; it was applied if all have the new text.
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

/// Returns an error that names the list that another writer changed.
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
    let message = "another writer changed a list first and nothing was written";
    error::Error::new(error::ErrorKind::LostRace, message)
}

fn superseded() -> error::Error {
    let message = "a reply was lost and the store now has another text; this one may have been \
                   in force before; check with 'ferryctl show'";
    error::Error::new(error::ErrorKind::Unknown, message)
}
