//! Commits of the leader's batches.
//!
//! Each batch depends on the leader's entry and on the entry that the batch before has written. A
//! late copy of a batch whose answer was lost therefore cannot take effect after a later batch,
//! nor after a later leader has been elected.

use std::time;

use serde::Deserialize;
use serde::Serialize;

use crate::cell;
use crate::error;

/// Pause before a batch is sent again.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(100);
/// How long the store may fail before callers are told.
const UNREACHABLE_AFTER: time::Duration = time::Duration::from_millis(300);

/// Writes batches to the store, one after the other.
#[derive(Debug)]
pub(crate) struct Committer<S> {
    store: S,
    term: model::Term,
    /// Revision of the log entry that the next batch must find; `None` if there is none yet.
    log_revision: Option<store::Revision>,
}

/// The log entry: the batch that was written last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LogEntry {
    term: model::Term,
    batch: jobs::BatchId,
}

/// What one attempt at a batch came to.
enum Attempt {
    Committed,
    /// It may have taken effect: find out by sending it again.
    Unknown(store::Error),
}

impl<S: store::Store> Committer<S> {
    /// Creates the committer of a term that has just begun.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be read.
    pub(crate) async fn open(store: S, term: model::Term) -> Result<Self, error::Error> {
        let log = store.get(cell::LOG).await?;
        Ok(Self {
            store,
            term,
            log_revision: log.map(|entry| entry.modified_revision),
        })
    }

    /// Writes a batch, however long that takes; tells `reachable` when the store fails or is back.
    ///
    /// # Errors
    ///
    /// Fails with [`error::ErrorKind::Deposed`] if the term is over; the batch has then not taken
    /// effect, unless an attempt at it was not answered.
    pub(crate) async fn commit(
        &mut self,
        batch: &jobs::Batch,
        mut reachable: impl FnMut(bool),
    ) -> Result<(), error::Error> {
        let started = time::Instant::now();
        let mut told = false;
        loop {
            match self.attempt(batch).await? {
                Attempt::Committed => {
                    if told {
                        log::info!(batch = batch.id, term = self.term; "store reachable again");
                        reachable(true);
                    }
                    return Ok(());
                }
                Attempt::Unknown(cause) => {
                    log::warn!(batch = batch.id, term = self.term, cause:% = cause; "batch not confirmed");
                    if !told && started.elapsed() >= UNREACHABLE_AFTER {
                        told = true;
                        reachable(false);
                    }
                }
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn attempt(&mut self, batch: &jobs::Batch) -> Result<Attempt, error::Error> {
        match self.store.commit(self.transaction(batch)).await {
            Ok(committed) if committed.succeeded => {
                self.log_revision = Some(committed.revision);
                Ok(Attempt::Committed)
            }
            Ok(_) => match self.settle(batch).await {
                Ok(()) => Ok(Attempt::Committed),
                Err(cause) if cause.kind() == error::ErrorKind::Deposed => Err(cause),
                Err(cause) => Ok(Attempt::Unknown(store::Error::new(
                    store::ErrorKind::Timeout,
                    cause.to_string(),
                ))),
            },
            Err(cause) if cause.kind() == store::ErrorKind::TooLarge => Err(cause.into()),
            Err(cause) => Ok(Attempt::Unknown(cause)),
        }
    }

    fn transaction(&self, batch: &jobs::Batch) -> store::Txn {
        let log = match self.log_revision {
            Some(revision) => store::Compare::ModifiedAt {
                key: cell::LOG.to_owned(),
                revision,
            },
            None => store::Compare::Absent {
                key: cell::LOG.to_owned(),
            },
        };
        let leader = store::Compare::ModifiedAt {
            key: cell::LEADER.to_owned(),
            revision: self.term,
        };
        let entry = LogEntry {
            term: self.term,
            batch: batch.id,
        };
        let puts = batch
            .puts
            .iter()
            .map(|(key, value)| put(key, value.clone()));
        store::Txn {
            compares: vec![leader, log],
            puts: puts.chain([put(cell::LOG, cell::encode(&entry))]).collect(),
            deletes: batch.deletes.clone(),
        }
    }

    /// Finds out why a batch was refused: an earlier copy has taken effect, or the term is over.
    async fn settle(&mut self, batch: &jobs::Batch) -> Result<(), error::Error> {
        let log = self.store.get(cell::LOG).await?;
        let written = log
            .as_ref()
            .and_then(|entry| cell::decode::<LogEntry>(&entry.value));
        let expected = LogEntry {
            term: self.term,
            batch: batch.id,
        };
        if written == Some(expected) {
            self.log_revision = log.map(|entry| entry.modified_revision);
            return Ok(());
        }
        let context = format!("batch {} refused, log holds {written:?}", batch.id);
        Err(error::Error::new(error::ErrorKind::Deposed, context))
    }
}

fn put(key: &str, value: Vec<u8>) -> store::Put {
    store::Put {
        key: key.to_owned(),
        value,
        lease_id: None,
    }
}
