//! An in-memory store that can lose replies and insert writes of another writer.

use std::collections::VecDeque;
use std::future;
use std::sync;
use std::time;

use indexmap::IndexMap;

/// What happens to one transaction; transactions without an event succeed or fail as usual.
#[derive(Clone, Debug)]
pub(crate) enum CommitEvent {
    /// The transaction is processed and its reply is lost.
    ReplyLost,
    /// The transaction is lost before it is processed, which the sender cannot tell from a lost
    /// reply.
    RequestLost,
    /// No connection can be made.
    Unavailable,
    /// Another writer changes a key before the transaction is processed.
    WriterFirst(&'static str, &'static str),
    /// The transaction is processed, its reply is lost, and another writer then changes a key.
    ReplyLostThenWriter(&'static str, &'static str),
}

#[derive(Debug, Default)]
struct State {
    entries: IndexMap<String, store::Entry>,
    revision: store::Revision,
    events: VecDeque<CommitEvent>,
    commits: usize,
    failing_reads: usize,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct FakeStore(sync::Arc<sync::Mutex<State>>);

/// A watch that never reports a change.
pub(crate) struct NoWatch;

impl FakeStore {
    pub(crate) fn new(events: impl IntoIterator<Item = CommitEvent>) -> Self {
        let fake = Self::default();
        fake.0.lock().expect("the mutex is not poisoned").events = events.into_iter().collect();
        fake
    }

    /// Sets a key as another writer would.
    pub(crate) fn set(&self, key: &str, text: &str) -> store::Revision {
        self.0
            .lock()
            .expect("the mutex is not poisoned")
            .set(key, text.as_bytes())
    }

    /// Makes the next `count` reads after the first transaction fail.
    pub(crate) fn fail_reads(&self, count: usize) {
        self.0
            .lock()
            .expect("the mutex is not poisoned")
            .failing_reads = count;
    }

    pub(crate) fn text(&self, key: &str) -> Option<(store::Revision, String)> {
        let state = self.0.lock().expect("the mutex is not poisoned");
        let entry = state.entries.get(key)?;
        let text = String::from_utf8(entry.value.clone()).expect("the value is UTF-8");
        Some((entry.modified_revision, text))
    }

    pub(crate) fn commits(&self) -> usize {
        self.0.lock().expect("the mutex is not poisoned").commits
    }
}

impl State {
    fn set(&mut self, key: &str, value: &[u8]) -> store::Revision {
        self.revision += 1;
        self.put(key, value);
        self.revision
    }

    fn put(&mut self, key: &str, value: &[u8]) {
        let entry = store::Entry {
            key: key.to_owned(),
            value: value.to_vec(),
            modified_revision: self.revision,
        };
        self.entries.insert(key.to_owned(), entry);
    }

    fn is_satisfied(&self, compare: &store::Compare) -> bool {
        match compare {
            store::Compare::ModifiedAt { key, revision } => {
                let entry = self.entries.get(key);
                entry.is_some_and(|entry| entry.modified_revision == *revision)
            }
            store::Compare::Absent { key } => !self.entries.contains_key(key),
            store::Compare::ValueIs { key, value } => {
                let entry = self.entries.get(key);
                entry.is_some_and(|entry| entry.value == *value)
            }
        }
    }

    fn apply(&mut self, txn: &store::Txn) -> store::TxnOutcome {
        let succeeded = txn
            .compares
            .iter()
            .all(|compare| self.is_satisfied(compare));
        if succeeded {
            self.revision += 1;
            for put in &txn.puts {
                self.put(&put.key, &put.value);
            }
        }
        store::TxnOutcome {
            succeeded,
            revision: self.revision,
        }
    }

    fn commit(&mut self, txn: &store::Txn) -> Result<store::TxnOutcome, store::Error> {
        self.commits += 1;
        let timeout_error = || {
            Err(store::Error::new(
                store::ErrorKind::OutcomeUnknown,
                "no answer in time",
            ))
        };
        match self.events.pop_front() {
            None => Ok(self.apply(txn)),
            Some(CommitEvent::ReplyLost) => {
                self.apply(txn);
                timeout_error()
            }
            Some(CommitEvent::RequestLost) => timeout_error(),
            Some(CommitEvent::Unavailable) => Err(store::Error::new(
                store::ErrorKind::Unavailable,
                "no connection",
            )),
            Some(CommitEvent::WriterFirst(key, text)) => {
                self.set(key, text.as_bytes());
                Ok(self.apply(txn))
            }
            Some(CommitEvent::ReplyLostThenWriter(key, text)) => {
                self.apply(txn);
                self.set(key, text.as_bytes());
                timeout_error()
            }
        }
    }

    fn get(&mut self, key: &str) -> Result<Option<store::Entry>, store::Error> {
        if self.commits > 0 && self.failing_reads > 0 {
            self.failing_reads -= 1;
            let context = "no connection";
            return Err(store::Error::new(store::ErrorKind::Unavailable, context));
        }
        Ok(self.entries.get(key).cloned())
    }
}

impl store::Store for FakeStore {
    type Watch = NoWatch;

    async fn get(&self, key: &str) -> Result<Option<store::Entry>, store::Error> {
        self.0.lock().expect("the mutex is not poisoned").get(key)
    }

    async fn range(
        &self,
        _prefix: &str,
        _limit: u32,
        _after: Option<&str>,
    ) -> Result<store::Page, store::Error> {
        Ok(store::Page::default())
    }

    async fn commit(&self, txn: store::Txn) -> Result<store::TxnOutcome, store::Error> {
        self.0
            .lock()
            .expect("the mutex is not poisoned")
            .commit(&txn)
    }

    async fn grant_lease(&self, _ttl: time::Duration) -> Result<store::LeaseId, store::Error> {
        Ok(1)
    }

    async fn renew_lease(&self, _lease_id: store::LeaseId) -> Result<bool, store::Error> {
        Ok(true)
    }

    async fn watch(
        &self,
        _prefix: &str,
        _from_revision: store::Revision,
    ) -> Result<NoWatch, store::Error> {
        Ok(NoWatch)
    }
}

impl store::Watch for NoWatch {
    async fn next(&mut self) -> Result<Vec<store::Change>, store::Error> {
        future::pending().await
    }
}
