//! Client of the JSON gateway of etcd v3.

use std::time;

use crate::calls;
use crate::entry;
use crate::error;
use crate::store;
use crate::transport;
use crate::watch;
use crate::wire;

const DEFAULT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// A client of the JSON gateway of etcd v3; clones share connections and counters.
#[derive(Clone, Debug)]
pub struct Etcd {
    transport: transport::Transport,
}

/// Builds an [`Etcd`].
#[derive(Clone, Debug)]
#[must_use]
pub struct EtcdBuilder {
    addresses: Vec<String>,
    timeout: time::Duration,
}

impl Etcd {
    /// Returns a builder without addresses and with the default timeout.
    pub fn builder() -> EtcdBuilder {
        EtcdBuilder {
            addresses: Vec::new(),
            timeout: DEFAULT_TIMEOUT,
        }
    }

    /// Returns the number of calls sent so far by all clones; each address tried counts as one.
    #[must_use]
    pub fn call_counts(&self) -> calls::CallCounts {
        self.transport.call_counts()
    }
}

impl EtcdBuilder {
    /// Sets the addresses, each `host:port`; they are tried in turn.
    pub fn addresses<A: Into<String>>(mut self, addresses: impl IntoIterator<Item = A>) -> Self {
        self.addresses = addresses.into_iter().map(A::into).collect();
        self
    }

    /// Sets the timeout of a call to one address; connecting may take at most half of it.
    pub fn timeout(mut self, timeout: impl Into<time::Duration>) -> Self {
        self.timeout = timeout.into();
        self
    }

    /// Builds the client; it connects at its first call.
    #[must_use]
    pub fn build(self) -> Etcd {
        Etcd {
            transport: transport::Transport::new(self.addresses, self.timeout),
        }
    }
}

impl store::Store for Etcd {
    type Watch = watch::EtcdWatch;

    async fn get(&self, key: &str) -> Result<Option<entry::Entry>, error::Error> {
        let request = wire::RangeRequest {
            key: wire::encode(key.as_bytes()),
            range_end: None,
            limit: wire::Int64(1),
        };
        let response: wire::RangeResponse = self
            .transport
            .call(calls::CallKind::Read, "/v3/kv/range", &request)
            .await?;
        response
            .kvs
            .into_iter()
            .next()
            .map(wire::KeyValue::into_entry)
            .transpose()
    }

    async fn range(
        &self,
        prefix: &str,
        limit: u32,
        after: Option<&str>,
    ) -> Result<entry::Page, error::Error> {
        let first_key = after.map_or_else(|| prefix.as_bytes().to_vec(), key_after);
        let request = wire::RangeRequest {
            key: wire::encode(&first_key),
            range_end: Some(wire::encode(&wire::prefix_end(prefix))),
            limit: wire::Int64(limit.into()),
        };
        let response: wire::RangeResponse = self
            .transport
            .call(calls::CallKind::Read, "/v3/kv/range", &request)
            .await?;
        let entries: Result<_, _> = response
            .kvs
            .into_iter()
            .map(wire::KeyValue::into_entry)
            .collect();
        Ok(entry::Page {
            entries: entries?,
            more: response.more,
            revision: response.header.revision.0,
        })
    }

    async fn commit(&self, txn: entry::Txn) -> Result<entry::TxnOutcome, error::Error> {
        check_sizes(&txn)?;
        let request = wire::TxnRequest::from(&txn);
        let response: wire::TxnResponse = self
            .transport
            .call(calls::CallKind::Write, "/v3/kv/txn", &request)
            .await?;
        Ok(entry::TxnOutcome {
            succeeded: response.succeeded,
            revision: response.header.revision.0,
        })
    }

    async fn grant_lease(&self, ttl: time::Duration) -> Result<entry::LeaseId, error::Error> {
        let request = wire::LeaseGrantRequest {
            ttl_s: wire::Int64(whole_seconds(ttl)),
        };
        let response: wire::LeaseGrantResponse = self
            .transport
            .call(calls::CallKind::Write, "/v3/lease/grant", &request)
            .await?;
        Ok(response.id.0)
    }

    async fn renew_lease(&self, lease_id: entry::LeaseId) -> Result<bool, error::Error> {
        let request = wire::LeaseKeepRequest {
            id: wire::Int64(lease_id),
        };
        let line: wire::LeaseKeepLine = self
            .transport
            .call(calls::CallKind::Write, "/v3/lease/keepalive", &request)
            .await?;
        Ok(line.result.ttl_s.0 > 0)
    }

    async fn watch(
        &self,
        prefix: &str,
        from_revision: entry::Revision,
    ) -> Result<watch::EtcdWatch, error::Error> {
        let create_request = wire::WatchCreate {
            key: wire::encode(prefix.as_bytes()),
            range_end: wire::encode(&wire::prefix_end(prefix)),
            start_revision: wire::Int64(from_revision),
        };
        let request = wire::WatchRequest { create_request };
        let body = self.transport.open("/v3/watch", &request).await?;
        Ok(watch::EtcdWatch::new(body))
    }
}

/// Returns the smallest key that sorts after `key`.
fn key_after(key: &str) -> Vec<u8> {
    let mut next = key.as_bytes().to_vec();
    next.push(0);
    next
}

fn whole_seconds(ttl: time::Duration) -> i64 {
    let seconds = ttl.as_millis().div_ceil(1000).max(1);
    i64::try_from(seconds).unwrap_or(i64::MAX)
}

fn check_sizes(txn: &entry::Txn) -> Result<(), error::Error> {
    let oversized = txn
        .puts
        .iter()
        .find(|put| put.value.len() > entry::MAX_VALUE_BYTES);
    oversized.map_or(Ok(()), |put| {
        let context = format!(
            "value of key {} has {} bytes, expected at most {}",
            put.key,
            put.value.len(),
            entry::MAX_VALUE_BYTES,
        );
        Err(error::Error::new(error::ErrorKind::TooLarge, context))
    })
}
