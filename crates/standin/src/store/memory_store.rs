//! Keys, leases and watches, held in memory.

use std::collections;
use std::time;

use super::message;

/// Maximum size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Maximum size of the values in the history that watches can replay, in bytes.
const MAX_HISTORY_BYTES: usize = 64 << 20;

type Key = Vec<u8>;
type LineSender = tokio::sync::mpsc::UnboundedSender<bytes::Bytes>;

/// Why a transaction was rejected; it has had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TxnError {
    /// A value exceeds [`MAX_VALUE_BYTES`].
    ValueTooLarge,
    /// A put names a lease that does not exist.
    LeaseNotFound,
}

#[derive(Debug)]
struct Lease {
    id: i64,
    expires_at: time::Instant,
    ttl: time::Duration,
}

#[derive(Debug)]
struct Watcher {
    key: Key,
    range_end: Option<Key>,
    lines: LineSender,
    /// Whether the watch receives no further events, by an injected fault.
    is_silent: bool,
}

/// A revisioned key-value store with leases and watches.
#[derive(Debug)]
pub(crate) struct MemoryStore {
    revision: i64,
    entries: collections::BTreeMap<Key, message::KeyValue>,
    leases: Vec<Lease>,
    last_lease_id: i64,
    /// Past events, oldest first.
    history: collections::VecDeque<message::Event>,
    history_bytes: usize,
    /// Latest revision whose events are no longer all in the history.
    compacted_revision: i64,
    watchers: Vec<Watcher>,
}

impl MemoryStore {
    /// Creates an empty store.
    pub(crate) fn new() -> Self {
        Self {
            revision: 1,
            entries: collections::BTreeMap::new(),
            leases: Vec::new(),
            last_lease_id: 0,
            history: collections::VecDeque::new(),
            history_bytes: 0,
            compacted_revision: 0,
            watchers: Vec::new(),
        }
    }

    fn header(&self) -> message::Header {
        message::Header {
            revision: message::Int64(self.revision),
        }
    }

    /// Reads a range of keys.
    pub(crate) fn range(&self, request: &message::RangeRequest) -> message::RangeResponse {
        let range_end = request
            .range_end
            .as_ref()
            .map(|range_end| range_end.0.as_slice());
        let entries: Vec<_> = self
            .entries
            .range(request.key.0.clone()..)
            .take_while(|(key, _)| is_in_range(key, &request.key.0, range_end))
            .map(|(_, entry)| entry)
            .collect();
        let limit = usize::try_from(request.limit.0).unwrap_or(0);
        let limit = if limit == 0 { entries.len() } else { limit };
        message::RangeResponse {
            header: self.header(),
            more: entries.len() > limit,
            count: message::Int64(i64::try_from(entries.len()).unwrap_or(i64::MAX)),
            kvs: entries.into_iter().take(limit).cloned().collect(),
        }
    }

    /// Applies a transaction if all its comparisons are satisfied.
    pub(crate) fn commit(
        &mut self,
        request: message::TxnRequest,
    ) -> Result<message::TxnResponse, TxnError> {
        let succeeded = request
            .compare
            .iter()
            .all(|compare| self.is_satisfied(compare));
        if succeeded {
            self.validate(&request.success)?;
            self.apply(request.success);
        }
        Ok(message::TxnResponse {
            header: self.header(),
            succeeded,
        })
    }

    fn is_satisfied(&self, compare: &message::Compare) -> bool {
        let entry = self.entries.get(&compare.key.0);
        match compare.target {
            message::Target::Create => {
                entry.map_or(0, |entry| entry.create_revision.0) == compare.create_revision.0
            }
            message::Target::Mod => {
                entry.map_or(0, |entry| entry.mod_revision.0) == compare.mod_revision.0
            }
            message::Target::Value => entry.is_some_and(|entry| entry.value == compare.value),
        }
    }

    fn validate(&self, operations: &[message::Operation]) -> Result<(), TxnError> {
        for operation in operations {
            let message::Operation::Put(put) = operation else {
                continue;
            };
            if put.value.0.len() > MAX_VALUE_BYTES {
                return Err(TxnError::ValueTooLarge);
            }
            let lease_id = put.lease.0;
            if lease_id != 0 && !self.leases.iter().any(|lease| lease.id == lease_id) {
                return Err(TxnError::LeaseNotFound);
            }
        }
        Ok(())
    }

    fn apply(&mut self, operations: Vec<message::Operation>) {
        let revision = self.revision + 1;
        let mut events = Vec::new();
        for operation in operations {
            match operation {
                message::Operation::Put(put) => events.push(self.put(put, revision)),
                message::Operation::Delete(delete) => {
                    events.extend(self.delete(&delete.key.0, revision));
                }
            }
        }
        self.publish(revision, events);
    }

    fn put(&mut self, put: message::Put, revision: i64) -> message::Event {
        let revision = message::Int64(revision);
        let initial_revision = self
            .entries
            .get(&put.key.0)
            .map_or(revision, |previous| previous.create_revision);
        let entry = message::KeyValue {
            key: put.key,
            value: put.value,
            create_revision: initial_revision,
            mod_revision: revision,
            lease: put.lease,
        };
        self.entries.insert(entry.key.0.clone(), entry.clone());
        message::Event {
            event_type: message::EventType::Put,
            kv: entry,
        }
    }

    fn delete(&mut self, key: &[u8], revision: i64) -> Option<message::Event> {
        let previous = self.entries.remove(key)?;
        let kv = message::KeyValue {
            key: previous.key,
            value: message::Blob::default(),
            create_revision: message::Int64(0),
            mod_revision: message::Int64(revision),
            lease: message::Int64(0),
        };
        Some(message::Event {
            event_type: message::EventType::Delete,
            kv,
        })
    }

    /// Makes `revision` current and sends its events to the watchers.
    fn publish(&mut self, revision: i64, events: Vec<message::Event>) {
        if events.is_empty() {
            return;
        }
        self.revision = revision;
        let header = self.header();
        self.watchers
            .retain(|watcher| watcher.is_silent || watcher.send(header, &events));
        for event in events {
            self.append_history(event);
        }
    }

    fn append_history(&mut self, event: message::Event) {
        self.history_bytes += event.kv.value.0.len();
        self.history.push_back(event);
        while self.history_bytes > MAX_HISTORY_BYTES {
            let Some(dropped) = self.history.pop_front() else {
                break;
            };
            self.history_bytes -= dropped.kv.value.0.len();
            self.compacted_revision = dropped.kv.mod_revision.0;
        }
    }

    /// Grants a lease.
    pub(crate) fn grant_lease(
        &mut self,
        request: &message::LeaseGrantRequest,
        now: time::Instant,
    ) -> message::LeaseGrantResponse {
        self.last_lease_id += 1;
        let ttl = time::Duration::from_secs(u64::try_from(request.ttl_s.0).unwrap_or(0));
        self.leases.push(Lease {
            id: self.last_lease_id,
            expires_at: now + ttl,
            ttl,
        });
        message::LeaseGrantResponse {
            header: self.header(),
            id: message::Int64(self.last_lease_id),
            ttl_s: request.ttl_s,
        }
    }

    /// Renews a lease for its full TTL; the TTL in the response is 0 if it has expired.
    pub(crate) fn renew_lease(
        &mut self,
        request: &message::LeaseKeepRequest,
        now: time::Instant,
    ) -> message::LeaseKeepLine {
        let renewed = self
            .leases
            .iter_mut()
            .find(|lease| lease.id == request.id.0 && lease.expires_at > now);
        let ttl_s = renewed.map_or(0, |lease| {
            lease.expires_at = now + lease.ttl;
            i64::try_from(lease.ttl.as_secs()).unwrap_or(i64::MAX)
        });
        message::LeaseKeepLine {
            result: message::LeaseKeepResponse {
                header: self.header(),
                id: request.id,
                ttl_s: message::Int64(ttl_s),
            },
        }
    }

    /// Removes expired leases and deletes their keys.
    pub(crate) fn expire_leases(&mut self, now: time::Instant) {
        let (expired, live): (Vec<_>, Vec<_>) = self
            .leases
            .drain(..)
            .partition(|lease| lease.expires_at <= now);
        self.leases = live;
        for lease in expired {
            let keys = self
                .entries
                .values()
                .filter(|entry| entry.lease.0 == lease.id);
            let deletes = keys.map(|entry| message::Delete {
                key: entry.key.clone(),
            });
            let operations = deletes.map(message::Operation::Delete).collect();
            self.apply(operations);
        }
    }

    /// Opens a watch that sends lines of JSON, starting with the past events since the requested
    /// revision. If that revision is compacted, the watch is cancelled at once.
    pub(crate) fn watch(
        &mut self,
        request: message::WatchCreate,
    ) -> tokio::sync::mpsc::UnboundedReceiver<bytes::Bytes> {
        let (lines, receiver) = tokio::sync::mpsc::unbounded_channel();
        let watcher = Watcher {
            key: request.key.0,
            range_end: request.range_end.map(|range_end| range_end.0),
            lines,
            is_silent: false,
        };
        let start = request.start_revision.0;
        if start > 0 && start <= self.compacted_revision {
            watcher.send_compacted(self.header(), self.compacted_revision + 1);
            return receiver;
        }
        watcher.send_created(self.header());
        if start > 0 {
            let past: Vec<_> = self
                .history
                .iter()
                .filter(|event| event.kv.mod_revision.0 >= start)
                .collect();
            watcher.send(self.header(), past);
        }
        self.watchers.push(watcher);
        receiver
    }

    /// Stops sending events to the open watches for good, without closing their connections.
    pub(crate) fn silence_watches(&mut self) {
        for watcher in &mut self.watchers {
            watcher.is_silent = true;
        }
    }
}

impl Watcher {
    /// Sends the events in the watched range; returns whether the receiver is still open.
    fn send<'a>(
        &self,
        header: message::Header,
        events: impl IntoIterator<Item = &'a message::Event>,
    ) -> bool {
        let watched = events
            .into_iter()
            .filter(|event| is_in_range(&event.kv.key.0, &self.key, self.range_end.as_deref()))
            .cloned()
            .collect::<Vec<_>>();
        if watched.is_empty() {
            return !self.lines.is_closed();
        }
        self.send_line(message::WatchResult {
            events: watched,
            ..empty_result(header)
        })
    }

    fn send_created(&self, header: message::Header) -> bool {
        self.send_line(message::WatchResult {
            created: true,
            ..empty_result(header)
        })
    }

    fn send_compacted(&self, header: message::Header, compact_revision: i64) -> bool {
        self.send_line(message::WatchResult {
            canceled: true,
            compact_revision: Some(message::Int64(compact_revision)),
            ..empty_result(header)
        })
    }

    fn send_line(&self, result: message::WatchResult) -> bool {
        let Ok(mut line) = serde_json::to_vec(&message::WatchLine { result }) else {
            return false;
        };
        line.push(b'\n');
        self.lines.send(line.into()).is_ok()
    }
}

fn empty_result(header: message::Header) -> message::WatchResult {
    message::WatchResult {
        header,
        created: false,
        canceled: false,
        compact_revision: None,
        events: Vec::new(),
    }
}

/// Returns whether `key` equals `start`, or with a `range_end` lies in the half-open range from
/// `start` to `range_end`.
///
/// As in etcd, a `range_end` of a single zero byte means no upper bound.
fn is_in_range(key: &[u8], start: &[u8], range_end: Option<&[u8]>) -> bool {
    match range_end {
        None | Some([]) => key == start,
        Some([0]) => key >= start,
        Some(range_end) => key >= start && key < range_end,
    }
}
