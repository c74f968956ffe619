//! JSON messages of the etcd v3 gateway, as the service sees them.

use base64::Engine as _;
use serde::Deserialize;
use serde::Serialize;

/// A key or value that travels in base64.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Blob(pub(crate) Vec<u8>);

impl Serialize for Blob {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&base64::engine::general_purpose::STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        base64::engine::general_purpose::STANDARD
            .decode(text)
            .map(Blob)
            .map_err(serde::de::Error::custom)
    }
}

/// A 64-bit integer that travels as a string.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Int64(pub(crate) i64);

impl Serialize for Int64 {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map(Int64).map_err(serde::de::Error::custom)
    }
}

/// State of the service that comes with each answer.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Header {
    pub(crate) revision: Int64,
}

/// Reads the keys from `key` up to and without `range_end`, or only `key`.
#[derive(Debug, Deserialize)]
pub(crate) struct RangeRequest {
    pub(crate) key: Blob,
    #[serde(default, alias = "rangeEnd")]
    pub(crate) range_end: Option<Blob>,
    #[serde(default)]
    pub(crate) limit: Int64,
}

/// A key with its value.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct KeyValue {
    pub(crate) key: Blob,
    pub(crate) value: Blob,
    pub(crate) create_revision: Int64,
    pub(crate) mod_revision: Int64,
    pub(crate) lease: Int64,
}

/// Answers a range; like the real service it leaves empty fields out.
#[derive(Debug, Serialize)]
pub(crate) struct RangeResponse {
    pub(crate) header: Header,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) kvs: Vec<KeyValue>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(crate) more: bool,
    pub(crate) count: Int64,
}

/// What a comparison looks at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(crate) enum Target {
    /// Revision that created the key; 0 if it does not exist.
    Create,
    /// Revision of the latest change; 0 if it does not exist.
    Mod,
    /// Value; never equal if the key does not exist.
    Value,
}

/// How a comparison compares; only equality is supported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(crate) enum Relation {
    /// Both are equal.
    #[default]
    Equal,
}

/// A condition.
#[derive(Debug, Deserialize)]
pub(crate) struct Compare {
    pub(crate) key: Blob,
    pub(crate) target: Target,
    #[serde(default, rename = "result")]
    pub(crate) _relation: Relation,
    #[serde(default, alias = "createRevision")]
    pub(crate) create_revision: Int64,
    #[serde(default, alias = "modRevision")]
    pub(crate) mod_revision: Int64,
    #[serde(default)]
    pub(crate) value: Blob,
}

/// Sets a key.
#[derive(Debug, Deserialize)]
pub(crate) struct Put {
    pub(crate) key: Blob,
    #[serde(default)]
    pub(crate) value: Blob,
    #[serde(default)]
    pub(crate) lease: Int64,
}

/// Deletes one key.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Delete {
    pub(crate) key: Blob,
}

/// A change.
#[derive(Debug, Deserialize)]
pub(crate) enum Operation {
    /// Sets a key.
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(Put),
    /// Deletes one key.
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    Delete(Delete),
}

/// A transaction.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TxnRequest {
    #[serde(default)]
    pub(crate) compare: Vec<Compare>,
    #[serde(default)]
    pub(crate) success: Vec<Operation>,
}

/// Answers a transaction.
#[derive(Debug, Serialize)]
pub(crate) struct TxnResponse {
    pub(crate) header: Header,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(crate) succeeded: bool,
}

/// Asks for a lease.
#[derive(Debug, Deserialize)]
pub(crate) struct LeaseGrantRequest {
    #[serde(rename = "TTL")]
    pub(crate) ttl_s: Int64,
}

/// Answers a lease grant.
#[derive(Debug, Serialize)]
pub(crate) struct LeaseGrantResponse {
    pub(crate) header: Header,
    #[serde(rename = "ID")]
    pub(crate) id: Int64,
    #[serde(rename = "TTL")]
    pub(crate) ttl_s: Int64,
}

/// Renews a lease.
#[derive(Debug, Deserialize)]
pub(crate) struct LeaseKeepRequest {
    #[serde(rename = "ID")]
    pub(crate) id: Int64,
}

/// Answers a renewal.
#[derive(Debug, Serialize)]
pub(crate) struct LeaseKeepLine {
    pub(crate) result: LeaseKeepResponse,
}

/// What is left of a lease.
#[derive(Debug, Serialize)]
pub(crate) struct LeaseKeepResponse {
    pub(crate) header: Header,
    #[serde(rename = "ID")]
    pub(crate) id: Int64,
    /// 0 once the lease has ended.
    #[serde(rename = "TTL")]
    pub(crate) ttl_s: Int64,
}

/// Opens a watch.
#[derive(Debug, Deserialize)]
pub(crate) struct WatchRequest {
    #[serde(alias = "createRequest")]
    pub(crate) create_request: WatchCreate,
}

/// What to watch.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct WatchCreate {
    pub(crate) key: Blob,
    #[serde(default, alias = "rangeEnd")]
    pub(crate) range_end: Option<Blob>,
    #[serde(default, alias = "startRevision")]
    pub(crate) start_revision: Int64,
}

/// One line of a watch.
#[derive(Debug, Serialize)]
pub(crate) struct WatchLine {
    pub(crate) result: WatchResult,
}

/// Content of a line.
#[derive(Debug, Serialize)]
pub(crate) struct WatchResult {
    pub(crate) header: Header,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(crate) created: bool,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(crate) canceled: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) compact_revision: Option<Int64>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) events: Vec<Event>,
}

/// Whether a key was deleted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(crate) enum EventType {
    /// It was set; left out of the message.
    Put,
    /// It was deleted.
    Delete,
}

impl EventType {
    fn is_put(&self) -> bool {
        *self == Self::Put
    }
}

/// A change of one key.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Event {
    #[serde(rename = "type", skip_serializing_if = "EventType::is_put")]
    pub(crate) event_type: EventType,
    pub(crate) kv: KeyValue,
}
