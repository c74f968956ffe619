//! Commits the lists, and finds the outcome of a write whose reply was lost.

use crate::commands::apply;
use crate::commands::apply::retry_policy;
use crate::error;

/// Outcome of one attempt to commit.
enum Attempt {
    /// The lists were written at this revision.
    Written(store::Revision),
    /// A list was not at its expected revision.
    ConditionFailed,
    /// The write may have taken effect.
    ReplyLost(store::Error),
    /// The write was certainly not sent.
    NotSent(store::Error),
}

/// State of the lists after a lost reply.
enum ReadBack {
    /// The store has the new lists, since this revision.
    Written(store::Revision),
    /// Another writer has changed a list since.
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
    updates: &[apply::ListUpdate<'_>],
    retry: retry_policy::RetryPolicy,
) -> Result<store::Revision, error::Error> {
    let txn = transaction(updates);
    let mut reply_lost = false;
    let mut last_error = String::new();
    for _ in 0..retry.max_attempts {
        let attempt = attempt_commit(store, &txn).await;
        let condition_failed = matches!(attempt, Attempt::ConditionFailed);
        match attempt {
            Attempt::Written(revision) => return Ok(revision),
            Attempt::ConditionFailed if !reply_lost => {
                return Err(find_conflict(store, updates).await);
            }
            Attempt::NotSent(reason) if !reply_lost => {
                let message = format!("nothing was changed: {reason}");
                return Err(error::Error::refused(message));
            }
            Attempt::ConditionFailed => {}
            Attempt::ReplyLost(reason) | Attempt::NotSent(reason) => {
                reply_lost = true;
                last_error = reason.to_string();
            }
        }
        tokio::time::sleep(retry.delay).await;
        match read_back(store, updates).await {
            ReadBack::Written(revision) => return Ok(revision),
            ReadBack::Superseded => return Err(superseded_error()),
            ReadBack::Unchanged if condition_failed => {
                return Err(find_conflict(store, updates).await);
            }
            ReadBack::Unchanged | ReadBack::Unreadable => {}
        }
    }
    let message = format!(
        "it is unknown whether the lists were written: {last_error}; check with 'ferryctl show', or \
         repeat the same apply, which cannot take effect twice"
    );
    Err(error::Error::new(error::ErrorKind::Unknown, message))
}

fn transaction(updates: &[apply::ListUpdate<'_>]) -> store::Txn {
    store::Txn {
        compares: updates.iter().map(condition).collect(),
        puts: updates.iter().filter_map(put).collect(),
        deletes: Vec::new(),
    }
}

fn condition(update: &apply::ListUpdate<'_>) -> store::Compare {
    let key = update.list.key().to_owned();
    match update.stored.revision {
        0 => store::Compare::Absent { key },
        revision => store::Compare::ModifiedAt { key, revision },
    }
}

fn put(update: &apply::ListUpdate<'_>) -> Option<store::Put> {
    let text = update.new_text?;
    Some(store::Put {
        key: update.list.key().to_owned(),
        value: text.as_bytes().to_vec(),
        lease_id: None,
    })
}

async fn attempt_commit<S: store::Store>(store: &S, txn: &store::Txn) -> Attempt {
    match store.commit(txn.clone()).await {
        Ok(committed) if committed.succeeded => Attempt::Written(committed.revision),
        Ok(_) => Attempt::ConditionFailed,
        Err(reason) if may_have_applied(reason.kind()) => Attempt::ReplyLost(reason),
        Err(reason) => Attempt::NotSent(reason),
    }
}

fn may_have_applied(kind: store::ErrorKind) -> bool {
    kind == store::ErrorKind::OutcomeUnknown
}

/// Reads back every list that the transaction writes; it was applied if all have the new text.
async fn read_back<S: store::Store>(store: &S, updates: &[apply::ListUpdate<'_>]) -> ReadBack {
    let mut written = 0;
    let mut unchanged = false;
    for update in updates {
        let Some(put) = put(update) else {
            continue;
        };
        let expected = Some(update.stored.revision).filter(|revision| *revision > 0);
        match store::read_put_outcome(store, &put, expected).await {
            Ok(store::PutOutcome::Applied(revision)) => written = written.max(revision),
            Ok(store::PutOutcome::Superseded(_)) => return ReadBack::Superseded,
            Ok(store::PutOutcome::Unchanged) => unchanged = true,
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
async fn find_conflict<S: store::Store>(
    store: &S,
    updates: &[apply::ListUpdate<'_>],
) -> error::Error {
    for update in updates {
        let key = update.list.key();
        let Ok(found) = store.get(key).await else {
            continue;
        };
        let found = found.map_or(0, |entry| entry.modified_revision);
        if found != update.stored.revision {
            return apply::revision_conflict(update.list, update.stored.revision, found);
        }
    }
    let message = "another writer changed a list first and nothing was written";
    error::Error::new(error::ErrorKind::LostRace, message)
}

fn superseded_error() -> error::Error {
    let message = "the reply to the write was lost and another writer has since changed a list; \
                   the given lists may have been in force in between; check with 'ferryctl show'";
    error::Error::new(error::ErrorKind::Unknown, message)
}
