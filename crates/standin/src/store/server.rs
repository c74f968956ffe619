//! The HTTP interface of the key-value store and its faults.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio_util::sync as tokio_sync;

use super::memory_store;
use super::message;
use crate::error;
use crate::faults;
use crate::http_server;

const LEASE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Requests that the store has processed, by kind, including those it rejected and those whose reply
/// was lost by an injected fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StoreCounts {
    /// Range reads.
    pub reads: u64,
    /// Transactions.
    pub writes: u64,
    /// Lease grants and renewals.
    pub leases: u64,
    /// Watches opened.
    pub watches: u64,
}

/// An in-memory key-value store behind the JSON interface of etcd v3.
#[derive(Debug)]
pub struct StoreServer {
    service: sync::Arc<StoreService>,
    http: http_server::HttpServer,
    stop: tokio_sync::CancellationToken,
    expiry_task: tokio::task::JoinHandle<()>,
}

impl StoreServer {
    /// Starts an empty store on `address`; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(address: net::SocketAddr) -> Result<Self, error::Error> {
        let service = sync::Arc::new(StoreService::default());
        let http = http_server::HttpServer::start(address, sync::Arc::clone(&service))?;
        let stop = tokio_sync::CancellationToken::new();
        let expiry_task = tokio::spawn(expire_leases(sync::Arc::clone(&service), stop.clone()));
        Ok(Self {
            service,
            http,
            stop,
            expiry_task,
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.http.address()
    }

    /// Replaces the faults; they apply once this returns.
    pub async fn set_faults(&self, faults: faults::StoreFaults) {
        *lock(&self.service.faults) = faults;
        if faults.reachability == faults::Reachability::Silent {
            lock(&self.service.memory_store).silence_watches();
        }
        self.http.set_reachability(faults.reachability).await;
    }

    /// Returns the current faults, with the remaining number of replies to lose.
    #[must_use]
    pub fn faults(&self) -> faults::StoreFaults {
        *lock(&self.service.faults)
    }

    /// Returns the request counters.
    #[must_use]
    pub fn counts(&self) -> StoreCounts {
        self.service.counters.snapshot()
    }

    /// Closes all connections and joins all tasks.
    pub async fn shutdown(self) {
        self.stop.cancel();
        self.http.shutdown().await;
        // Fails only if the task panicked, and then there is nothing to join.
        let _ = self.expiry_task.await;
    }
}

async fn expire_leases(service: sync::Arc<StoreService>, stop: tokio_sync::CancellationToken) {
    let mut ticks = tokio::time::interval(LEASE_CHECK_INTERVAL);
    loop {
        tokio::select! {
            _ = ticks.tick() => lock(&service.memory_store).expire_leases(time::Instant::now()),
            () = stop.cancelled() => return,
        }
    }
}

#[derive(Debug, Default)]
struct Counters {
    reads: atomic::AtomicU64,
    writes: atomic::AtomicU64,
    leases: atomic::AtomicU64,
    watches: atomic::AtomicU64,
}

impl Counters {
    fn snapshot(&self) -> StoreCounts {
        StoreCounts {
            reads: self.reads.load(atomic::Ordering::Relaxed),
            writes: self.writes.load(atomic::Ordering::Relaxed),
            leases: self.leases.load(atomic::Ordering::Relaxed),
            watches: self.watches.load(atomic::Ordering::Relaxed),
        }
    }
}

#[derive(Debug)]
struct StoreService {
    memory_store: sync::Mutex<memory_store::MemoryStore>,
    faults: sync::Mutex<faults::StoreFaults>,
    counters: Counters,
}

impl Default for StoreService {
    fn default() -> Self {
        Self {
            memory_store: sync::Mutex::new(memory_store::MemoryStore::new()),
            faults: sync::Mutex::default(),
            counters: Counters::default(),
        }
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl http_server::Service for StoreService {
    fn reachability(&self) -> faults::Reachability {
        lock(&self.faults).reachability
    }

    fn admit_connection(&self) -> Option<http_server::ConnectionPermit> {
        Some(http_server::ConnectionPermit::unlimited())
    }

    fn outlives_connection(&self, path: &str) -> bool {
        matches!(path, "/v3/kv/txn" | "/v3/lease/grant")
    }

    async fn handle(&self, request: http_server::Request) -> http_server::Response {
        let delay_ms = lock(&self.faults).delay_ms;
        if delay_ms > 0 {
            tokio::time::sleep(time::Duration::from_millis(delay_ms)).await;
        }
        let result = match request.path.as_str() {
            "/v3/kv/range" => self.range(&request),
            "/v3/kv/txn" => self.commit(&request),
            "/v3/lease/grant" => self.grant_lease(&request),
            "/v3/lease/keepalive" => self.renew_lease(&request),
            "/v3/watch" => self.watch(&request),
            "/counts" => Ok(http_server::Response::json(&self.counters.snapshot())),
            path => Err(http_server::Response::not_found(path)),
        };
        result.unwrap_or_else(|error_response| error_response)
    }
}

type HandlerResult = Result<http_server::Response, http_server::Response>;

impl StoreService {
    fn range(&self, request: &http_server::Request) -> HandlerResult {
        self.counters.reads.fetch_add(1, atomic::Ordering::Relaxed);
        let request: message::RangeRequest = request.parse()?;
        Ok(http_server::Response::json(
            &lock(&self.memory_store).range(&request),
        ))
    }

    fn commit(&self, request: &http_server::Request) -> HandlerResult {
        self.counters.writes.fetch_add(1, atomic::Ordering::Relaxed);
        let request: message::TxnRequest = request.parse()?;
        let committed = lock(&self.memory_store).commit(request);
        let response = committed.map_err(|error| {
            http_server::Response::bad_request(format!("transaction refused: {error:?}"))
        })?;
        Ok(self.apply_reply_loss(http_server::Response::json(&response)))
    }

    fn grant_lease(&self, request: &http_server::Request) -> HandlerResult {
        self.counters.leases.fetch_add(1, atomic::Ordering::Relaxed);
        let request: message::LeaseGrantRequest = request.parse()?;
        let response = lock(&self.memory_store).grant_lease(&request, time::Instant::now());
        Ok(self.apply_reply_loss(http_server::Response::json(&response)))
    }

    fn renew_lease(&self, request: &http_server::Request) -> HandlerResult {
        self.counters.leases.fetch_add(1, atomic::Ordering::Relaxed);
        let request: message::LeaseKeepRequest = request.parse()?;
        let line = lock(&self.memory_store).renew_lease(&request, time::Instant::now());
        Ok(http_server::Response::json(&line))
    }

    fn watch(&self, request: &http_server::Request) -> HandlerResult {
        self.counters
            .watches
            .fetch_add(1, atomic::Ordering::Relaxed);
        let request: message::WatchRequest = request.parse()?;
        Ok(http_server::Response::Stream(
            lock(&self.memory_store).watch(request.create_request),
        ))
    }

    /// Closes the connection instead of sending `response` while replies are to be lost.
    fn apply_reply_loss(&self, response: http_server::Response) -> http_server::Response {
        if faults::consume_lost_reply(&mut lock(&self.faults).lose_replies) {
            return http_server::Response::CloseConnection;
        }
        response
    }
}
