//! Reads and writes the partition table, the journal and the lists in the key-value store.

use std::sync;
use std::time;

use store::Store;

use crate::control;

const TABLE_KEY: &str = "/ferry/table";
const LISTS_PREFIX: &str = "/ferry/lists/";
const JOURNAL_PREFIX: &str = "/ferry/journal/";
const JOURNAL_PAGE_ENTRIES: u32 = 500;
const LISTS_PAGE_ENTRIES: u32 = 8;
/// How long one lease of the store is attached to new journal entries.
const JOURNAL_LEASE_REUSE: time::Duration = time::Duration::from_secs(60);

/// A lease of the store; when it expires, the store deletes the journal entries attached to it.
#[derive(Clone, Copy, Debug)]
struct JournalLease {
    lease_id: store::LeaseId,
    granted_at: time::Instant,
}

/// Keeps the state that must outlive instances, in the key-value store.
#[derive(Clone)]
pub(super) struct StateStore<S> {
    store: S,
    retention: time::Duration,
    journal_lease: sync::Arc<tokio::sync::Mutex<Option<JournalLease>>>,
}

impl<S: Store> StateStore<S> {
    pub(super) fn new(store: S, retention: time::Duration) -> Self {
        Self {
            store,
            retention,
            journal_lease: sync::Arc::default(),
        }
    }

    pub(super) async fn read_table(&self) -> owner::Event {
        match self.store.get(TABLE_KEY).await {
            Ok(None) => owner::Event::TableRead {
                table: model::PartitionTable::default(),
                revision: 0,
            },
            Ok(Some(entry)) => match serde_json::from_slice(&entry.value) {
                Ok(table) => owner::Event::TableRead {
                    table,
                    revision: entry.modified_revision,
                },
                Err(error) => {
                    log::error!("failed to decode the partition table error={error}");
                    owner::Event::TableReadFailed
                }
            },
            Err(error) => {
                log::warn!("failed to read the partition table error={error}");
                owner::Event::TableReadFailed
            }
        }
    }

    pub(super) async fn write_table(
        &self,
        table: &model::PartitionTable,
        expected: model::Revision,
    ) -> owner::Event {
        let (result, revision) = self.try_write_table(table, expected).await;
        owner::Event::TableWritten { result, revision }
    }

    async fn try_write_table(
        &self,
        table: &model::PartitionTable,
        expected: model::Revision,
    ) -> (owner::WriteResult, model::Revision) {
        let Ok(value) = serde_json::to_vec(table) else {
            return (owner::WriteResult::Unavailable, 0);
        };
        let put = store::Put {
            key: TABLE_KEY.to_owned(),
            value,
            lease_id: None,
        };
        let txn = store::Txn {
            compares: vec![table_revision_is(expected)],
            puts: vec![put.clone()],
            deletes: Vec::new(),
        };
        match self.store.commit(txn).await {
            Ok(committed) if committed.succeeded => {
                (owner::WriteResult::Written, committed.revision)
            }
            Ok(_) => (owner::WriteResult::Conflict, 0),
            Err(error) if error.kind() == store::ErrorKind::OutcomeUnknown => {
                let expected = (expected > 0).then_some(expected);
                write_result_of(store::read_put_outcome(&self.store, &put, expected).await)
            }
            Err(_) => (owner::WriteResult::Unavailable, 0),
        }
    }

    pub(super) async fn write_journal(
        &self,
        table_revision: model::Revision,
        entries: Vec<owner::JournalEntry>,
        deletes: Vec<model::TaskId>,
    ) -> owner::WriteResult {
        let Some(txn) = self.journal_txn(table_revision, entries, deletes).await else {
            return owner::WriteResult::Unavailable;
        };
        let first_put = txn.puts.first().cloned();
        match self.store.commit(txn).await {
            Ok(committed) if committed.succeeded => owner::WriteResult::Written,
            Ok(_) => owner::WriteResult::Conflict,
            Err(error) if error.kind() == store::ErrorKind::OutcomeUnknown => {
                self.confirm_put(first_put).await
            }
            Err(_) => owner::WriteResult::Unavailable,
        }
    }

    async fn journal_txn(
        &self,
        table_revision: model::Revision,
        entries: Vec<owner::JournalEntry>,
        deletes: Vec<model::TaskId>,
    ) -> Option<store::Txn> {
        let mut puts = Vec::with_capacity(entries.len());
        for entry in entries {
            let lease_id = if has_expiry(&entry) {
                Some(self.journal_lease().await?)
            } else {
                None
            };
            puts.push(store::Put {
                key: journal_key(entry.task_id),
                value: serde_json::to_vec(&entry).ok()?,
                lease_id,
            });
        }
        Some(store::Txn {
            compares: vec![table_revision_is(table_revision)],
            puts,
            deletes: deletes.into_iter().map(journal_key).collect(),
        })
    }

    async fn journal_lease(&self) -> Option<store::LeaseId> {
        let mut lease = self.journal_lease.lock().await;
        if let Some(lease) = *lease
            && lease.granted_at.elapsed() < JOURNAL_LEASE_REUSE
        {
            return Some(lease.lease_id);
        }
        let granted_at = time::Instant::now();
        let ttl = self.retention + 2 * JOURNAL_LEASE_REUSE;
        let lease_id = self.store.grant_lease(ttl).await.ok()?;
        *lease = Some(JournalLease {
            lease_id,
            granted_at,
        });
        Some(lease_id)
    }

    async fn confirm_put(&self, first_put: Option<store::Put>) -> owner::WriteResult {
        let Some(first_put) = first_put else {
            return owner::WriteResult::Unknown;
        };
        match self.store.get(&first_put.key).await {
            Ok(Some(entry)) if entry.value == first_put.value => owner::WriteResult::Written,
            _ => owner::WriteResult::Unknown,
        }
    }

    pub(super) async fn read_journal(&self, partition: model::Partition) -> owner::Event {
        let prefix = journal_prefix(partition);
        let mut entries = Vec::new();
        let mut after: Option<String> = None;
        loop {
            let page = self
                .store
                .range(&prefix, JOURNAL_PAGE_ENTRIES, after.as_deref())
                .await;
            let Ok(page) = page else {
                return owner::Event::JournalReadFailed { partition };
            };
            after = page.entries.last().map(|entry| entry.key.clone());
            for entry in &page.entries {
                match serde_json::from_slice(&entry.value) {
                    Ok(entry) => entries.push(entry),
                    Err(error) => {
                        log::error!(
                            "failed to decode a journal entry key={} error={error}",
                            entry.key
                        );
                        return owner::Event::JournalReadFailed { partition };
                    }
                }
            }
            if !page.more {
                return owner::Event::JournalRead { partition, entries };
            }
        }
    }

    pub(super) async fn read_lists(&self) -> control::Input {
        let page = self
            .store
            .range(LISTS_PREFIX, LISTS_PAGE_ENTRIES, None)
            .await;
        match page {
            Ok(page) => control::Input::Lists(model::ListsState {
                customers: list_text(&page, lists::CUSTOMERS_KEY),
                plans: list_text(&page, lists::PLANS_KEY),
            }),
            Err(_) => control::Input::ListsUnavailable,
        }
    }
}

fn write_result_of(
    put_outcome: Result<store::PutOutcome, store::Error>,
) -> (owner::WriteResult, model::Revision) {
    match put_outcome {
        Ok(store::PutOutcome::Applied(revision)) => (owner::WriteResult::Written, revision),
        Ok(store::PutOutcome::Superseded(_)) => (owner::WriteResult::Conflict, 0),
        Ok(store::PutOutcome::Unchanged) | Err(_) => (owner::WriteResult::Unknown, 0),
    }
}

fn table_revision_is(revision: model::Revision) -> store::Compare {
    let key = TABLE_KEY.to_owned();
    if revision == 0 {
        store::Compare::Absent { key }
    } else {
        store::Compare::ModifiedAt { key, revision }
    }
}

fn has_expiry(entry: &owner::JournalEntry) -> bool {
    entry.expires_unix_ms != u64::MAX
}

fn journal_prefix(partition: model::Partition) -> String {
    format!("{JOURNAL_PREFIX}{partition:04x}/")
}

fn journal_key(task_id: model::TaskId) -> String {
    format!("{}{task_id}", journal_prefix(model::partition_of(task_id)))
}

fn list_text(page: &store::Page, key: &str) -> model::ListText {
    let entry = page.entries.iter().find(|entry| entry.key == key);
    entry.map_or_else(model::ListText::default, |entry| model::ListText {
        revision: entry.modified_revision,
        text: String::from_utf8_lossy(&entry.value).into(),
    })
}
