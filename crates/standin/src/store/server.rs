//! The HTTP interface of the key-value store and its faults.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio_util::sync as tokio_sync;

use super::data;
use super::message;
use crate::answer;
use crate::error;
use crate::faults;

const LEASE_CHECK: time::Duration = time::Duration::from_millis(20);

/// Requests that the store has received, by kind, including those it did not answer.
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
    http: answer::HttpServer,
    stop: tokio_sync::CancellationToken,
    expirer: tokio::task::JoinHandle<()>,
}

impl StoreServer {
    /// Starts an empty store on `address`; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(address: net::SocketAddr) -> Result<Self, error::Error> {
        let service = sync::Arc::new(StoreService::default());
        let http = answer::HttpServer::start(address, sync::Arc::clone(&service))?;
        let stop = tokio_sync::CancellationToken::new();
        let expirer = tokio::spawn(expire_leases(sync::Arc::clone(&service), stop.clone()));
        Ok(Self {
            service,
            http,
            stop,
            expirer,
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
            lock(&self.service.data).silence_watches();
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
        let _ = self.expirer.await;
    }
}

async fn expire_leases(service: sync::Arc<StoreService>, stop: tokio_sync::CancellationToken) {
    let mut ticks = tokio::time::interval(LEASE_CHECK);
    loop {
        tokio::select! {
            _ = ticks.tick() => lock(&service.data).expire(time::Instant::now()),
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
    data: sync::Mutex<data::Data>,
    faults: sync::Mutex<faults::StoreFaults>,
    counters: Counters,
}

impl Default for StoreService {
    fn default() -> Self {
        Self {
            data: sync::Mutex::new(data::Data::new()),
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

impl answer::Service for StoreService {
    fn reachability(&self) -> faults::Reachability {
        lock(&self.faults).reachability
    }

    fn admit(&self) -> Option<answer::Admission> {
        Some(answer::Admission::unlimited())
    }

    fn outlives_connection(&self, path: &str) -> bool {
        matches!(path, "/v3/kv/txn" | "/v3/lease/grant")
    }

    async fn answer(&self, call: answer::Call) -> answer::Answer {
        let delay_ms = lock(&self.faults).delay_ms;
        if delay_ms > 0 {
            tokio::time::sleep(time::Duration::from_millis(delay_ms)).await;
        }
        let answered = match call.path.as_str() {
            "/v3/kv/range" => self.range(&call),
            "/v3/kv/txn" => self.commit(&call),
            "/v3/lease/grant" => self.grant_lease(&call),
            "/v3/lease/keepalive" => self.keep_lease(&call),
            "/v3/watch" => self.watch(&call),
            "/counts" => Ok(answer::Answer::json(&self.counters.snapshot())),
            path => Err(answer::Answer::not_found(path)),
        };
        answered.unwrap_or_else(|refusal| refusal)
    }
}

type Answered = Result<answer::Answer, answer::Answer>;

impl StoreService {
    fn range(&self, call: &answer::Call) -> Answered {
        self.counters.reads.fetch_add(1, atomic::Ordering::Relaxed);
        let request: message::RangeRequest = call.parse()?;
        Ok(answer::Answer::json(&lock(&self.data).range(&request)))
    }

    fn commit(&self, call: &answer::Call) -> Answered {
        self.counters.writes.fetch_add(1, atomic::Ordering::Relaxed);
        let request: message::TxnRequest = call.parse()?;
        let committed = lock(&self.data).commit(request);
        let response = committed.map_err(|refusal| {
            answer::Answer::bad_request(format!("transaction refused: {refusal:?}"))
        })?;
        Ok(self.unless_lost(answer::Answer::json(&response)))
    }

    fn grant_lease(&self, call: &answer::Call) -> Answered {
        self.counters.leases.fetch_add(1, atomic::Ordering::Relaxed);
        let request: message::LeaseGrantRequest = call.parse()?;
        let response = lock(&self.data).grant_lease(&request, time::Instant::now());
        Ok(self.unless_lost(answer::Answer::json(&response)))
    }

    fn keep_lease(&self, call: &answer::Call) -> Answered {
        self.counters.leases.fetch_add(1, atomic::Ordering::Relaxed);
        let request: message::LeaseKeepRequest = call.parse()?;
        let line = lock(&self.data).keep_lease(&request, time::Instant::now());
        Ok(answer::Answer::json(&line))
    }

    fn watch(&self, call: &answer::Call) -> Answered {
        self.counters
            .watches
            .fetch_add(1, atomic::Ordering::Relaxed);
        let request: message::WatchRequest = call.parse()?;
        Ok(answer::Answer::Stream(
            lock(&self.data).watch(request.create_request),
        ))
    }

    /// Closes the connection instead of sending `answer` while replies are to be lost.
    fn unless_lost(&self, answer: answer::Answer) -> answer::Answer {
        if faults::take_one(&mut lock(&self.faults).lose_replies) {
            return answer::Answer::Drop;
        }
        answer
    }
}
