//! JSON messages of the etcd v3 gateway.
//!
//! Keys and values are encoded in base64 and 64-bit integers as strings; fields with their default
//! value may be absent from responses.

use std::fmt;
use std::str;

use base64::Engine as _;
use serde::Deserialize;
use serde::Serialize;

use crate::entry;
use crate::error;

/// Encodes a key or value.
pub(crate) fn encode(bytes: &[u8]) -> String {
    base64::engine::general_purpose::STANDARD.encode(bytes)
}

fn decode(text: &str) -> Result<Vec<u8>, error::Error> {
    base64::engine::general_purpose::STANDARD
        .decode(text)
        .map_err(|cause| protocol_error(format!("field is not valid base64: {cause}")))
}

/// Returns a protocol error.
pub(crate) fn protocol_error(context: impl Into<String>) -> error::Error {
    error::Error::new(error::ErrorKind::Protocol, context)
}

/// Returns the smallest key that sorts after all that start with `prefix`.
pub(crate) fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    // etcd interprets a single zero byte as "no upper end".
    vec![0]
}

/// A 64-bit integer, read from a string or a number and written as a string.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Int64(pub(crate) i64);

impl Serialize for Int64 {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(Int64Visitor)
    }
}

struct Int64Visitor;

impl serde::de::Visitor<'_> for Int64Visitor {
    type Value = Int64;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a 64-bit integer as string or number")
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<Int64, E> {
        str::parse(text).map(Int64).map_err(E::custom)
    }

    fn visit_i64<E: serde::de::Error>(self, value: i64) -> Result<Int64, E> {
        Ok(Int64(value))
    }

    fn visit_u64<E: serde::de::Error>(self, value: u64) -> Result<Int64, E> {
        i64::try_from(value).map(Int64).map_err(E::custom)
    }
}

/// Request to read a range of keys.
#[derive(Debug, Serialize)]
pub(crate) struct RangeRequest {
    pub(crate) key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) range_end: Option<String>,
    pub(crate) limit: Int64,
}

/// State of the service, part of each response.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Header {
    pub(crate) revision: Int64,
}

/// A key with its value.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct KeyValue {
    pub(crate) key: String,
    pub(crate) value: String,
    #[serde(alias = "modRevision")]
    pub(crate) mod_revision: Int64,
}

impl KeyValue {
    /// Decodes key and value.
    pub(crate) fn into_entry(self) -> Result<entry::Entry, error::Error> {
        let key = String::from_utf8(decode(&self.key)?)
            .map_err(|_| protocol_error("key is not valid UTF-8"))?;
        Ok(entry::Entry {
            key,
            value: decode(&self.value)?,
            modified_revision: self.mod_revision.0,
        })
    }
}

/// Response to a [`RangeRequest`].
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RangeResponse {
    pub(crate) header: Header,
    pub(crate) kvs: Vec<KeyValue>,
    pub(crate) more: bool,
}

/// Property of a key that a condition compares.
#[derive(Debug, Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
enum Target {
    Create,
    Mod,
    Value,
}

/// A condition of a transaction.
#[derive(Debug, Serialize)]
pub(crate) struct CompareMessage {
    key: String,
    target: Target,
    result: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    create_revision: Option<Int64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    mod_revision: Option<Int64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<String>,
}

impl CompareMessage {
    fn new(key: &str, target: Target) -> Self {
        Self {
            key: encode(key.as_bytes()),
            target,
            result: "EQUAL",
            create_revision: None,
            mod_revision: None,
            value: None,
        }
    }
}

impl From<&entry::Compare> for CompareMessage {
    fn from(compare: &entry::Compare) -> Self {
        match compare {
            entry::Compare::ModifiedAt { key, revision } => Self {
                mod_revision: Some(Int64(*revision)),
                ..Self::new(key, Target::Mod)
            },
            entry::Compare::Absent { key } => Self {
                create_revision: Some(Int64(0)),
                ..Self::new(key, Target::Create)
            },
            entry::Compare::ValueIs { key, value } => Self {
                value: Some(encode(value)),
                ..Self::new(key, Target::Value)
            },
        }
    }
}

/// Sets a key.
#[derive(Debug, Serialize)]
pub(crate) struct PutMessage {
    key: String,
    value: String,
    lease: Int64,
}

/// Deletes a key.
#[derive(Debug, Serialize)]
pub(crate) struct DeleteMessage {
    key: String,
}

/// A change made by a transaction.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Operation {
    /// Sets a key.
    RequestPut(PutMessage),
    /// Deletes a key.
    RequestDeleteRange(DeleteMessage),
}

/// Request to apply a transaction.
#[derive(Debug, Serialize)]
pub(crate) struct TxnRequest {
    compare: Vec<CompareMessage>,
    success: Vec<Operation>,
}

impl From<&entry::Txn> for TxnRequest {
    fn from(txn: &entry::Txn) -> Self {
        let puts = txn.puts.iter().map(|put| {
            Operation::RequestPut(PutMessage {
                key: encode(put.key.as_bytes()),
                value: encode(&put.value),
                lease: Int64(put.lease_id.unwrap_or_default()),
            })
        });
        let deletes = txn.deletes.iter().map(|key| {
            Operation::RequestDeleteRange(DeleteMessage {
                key: encode(key.as_bytes()),
            })
        });
        Self {
            compare: txn.compares.iter().map(CompareMessage::from).collect(),
            success: puts.chain(deletes).collect(),
        }
    }
}

/// Response to a [`TxnRequest`].
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct TxnResponse {
    pub(crate) header: Header,
    pub(crate) succeeded: bool,
}

/// Request to grant a lease.
#[derive(Debug, Serialize)]
pub(crate) struct LeaseGrantRequest {
    #[serde(rename = "TTL")]
    pub(crate) ttl_s: Int64,
}

/// Response to a [`LeaseGrantRequest`].
#[derive(Debug, Deserialize)]
pub(crate) struct LeaseGrantResponse {
    #[serde(rename = "ID")]
    pub(crate) id: Int64,
}

/// Request to open a watch.
#[derive(Debug, Serialize)]
pub(crate) struct WatchRequest {
    pub(crate) create_request: WatchCreate,
}

/// Key range and first revision of a watch.
#[derive(Debug, Serialize)]
pub(crate) struct WatchCreate {
    pub(crate) key: String,
    pub(crate) range_end: String,
    pub(crate) start_revision: Int64,
}

/// One line of a watch.
#[derive(Debug, Deserialize)]
pub(crate) struct WatchLine {
    pub(crate) result: WatchResult,
}

/// Content of a [`WatchLine`].
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchResult {
    pub(crate) canceled: bool,
    #[serde(alias = "compactRevision")]
    pub(crate) compact_revision: Int64,
    pub(crate) events: Vec<WatchEvent>,
}

/// Whether a key was set or deleted.
#[derive(Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(crate) enum EventType {
    /// The key was set.
    #[default]
    Put,
    /// The key was deleted.
    Delete,
}

/// A change of one key, as a watch reports it.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchEvent {
    #[serde(rename = "type")]
    pub(crate) event_type: EventType,
    pub(crate) kv: KeyValue,
}

impl WatchEvent {
    /// Decodes the key and value of the change.
    pub(crate) fn into_change(self) -> Result<entry::Change, error::Error> {
        let entry = self.kv.into_entry()?;
        Ok(match self.event_type {
            EventType::Put => entry::Change::Put(entry),
            EventType::Delete => entry::Change::Deleted {
                key: entry.key,
                revision: entry.modified_revision,
            },
        })
    }
}

/// Request to renew a lease.
#[derive(Debug, Serialize)]
pub(crate) struct LeaseKeepRequest {
    #[serde(rename = "ID")]
    pub(crate) id: Int64,
}

/// Response to a [`LeaseKeepRequest`]: one line of a stream that ends with the request.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseKeepLine {
    pub(crate) result: LeaseKeepResponse,
}

/// State of a lease after a renewal.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseKeepResponse {
    /// Remaining time in seconds; absent or 0 once the lease has ended.
    #[serde(rename = "TTL")]
    pub(crate) ttl_s: Int64,
}
