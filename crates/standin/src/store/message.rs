//! JSON messages of the etcd v3 gateway, from the server's side.

use base64::Engine as _;
use serde::Deserialize;
use serde::Serialize;

/// A key or value, encoded as base64.
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

/// A 64-bit integer, encoded as a string.
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

/// Header of each response.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Header {
    pub(crate) revision: Int64,
}

/// Reads the keys in the half-open range from `key` to `range_end`, or only `key`.
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

/// Response to a [`RangeRequest`]; as in etcd, empty fields are left out.
#[derive(Debug, Serialize)]
pub(crate) struct RangeResponse {
    pub(crate) header: Header,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) kvs: Vec<KeyValue>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(crate) more: bool,
    pub(crate) count: Int64,
}

/// The property of a key that a comparison tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(crate) enum Target {
    /// Revision that created the key; 0 if the key does not exist.
    Create,
    /// Revision of the latest change; 0 if the key does not exist.
    Mod,
    /// Value; never equal if the key does not exist.
    Value,
}

/// Operator of a comparison; only equality is supported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(crate) enum Relation {
    #[default]
    Equal,
}

/// A condition of a transaction.
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

/// An operation of a transaction.
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

/// Response to a [`TxnRequest`].
#[derive(Debug, Serialize)]
pub(crate) struct TxnResponse {
    pub(crate) header: Header,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(crate) succeeded: bool,
}

/// Grants a lease.
#[derive(Debug, Deserialize)]
pub(crate) struct LeaseGrantRequest {
    #[serde(rename = "TTL")]
    pub(crate) ttl_s: Int64,
}

/// Response to a [`LeaseGrantRequest`].
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

/// Line of the response to a renewal.
#[derive(Debug, Serialize)]
pub(crate) struct LeaseKeepLine {
    pub(crate) result: LeaseKeepResponse,
}

/// State of a renewed lease.
#[derive(Debug, Serialize)]
pub(crate) struct LeaseKeepResponse {
    pub(crate) header: Header,
    #[serde(rename = "ID")]
    pub(crate) id: Int64,
    /// 0 if the lease has expired.
    #[serde(rename = "TTL")]
    pub(crate) ttl_s: Int64,
}

/// Opens a watch.
#[derive(Debug, Deserialize)]
pub(crate) struct WatchRequest {
    #[serde(alias = "createRequest")]
    pub(crate) create_request: WatchCreate,
}

/// The keys to watch.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct WatchCreate {
    pub(crate) key: Blob,
    #[serde(default, alias = "rangeEnd")]
    pub(crate) range_end: Option<Blob>,
    #[serde(default, alias = "startRevision")]
    pub(crate) start_revision: Int64,
}

/// Line of the response to a watch.
#[derive(Debug, Serialize)]
pub(crate) struct WatchLine {
    pub(crate) result: WatchResult,
}

/// Content of a [`WatchLine`].
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

/// The type of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(crate) enum EventType {
    /// The key was set; left out of the JSON, as in etcd.
    Put,
    /// The key was deleted.
    Delete,
}

impl EventType {
    fn is_put(&self) -> bool {
        *self == Self::Put
    }
}

/// A change of a key.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Event {
    #[serde(rename = "type", skip_serializing_if = "EventType::is_put")]
    pub(crate) event_type: EventType,
    pub(crate) kv: KeyValue,
}
