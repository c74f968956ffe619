//! The directory: the platform's list of instances and workers, which publishes changes with a lag.

use std::net;
use std::sync;
use std::time;

use crate::error;
use crate::faults;
use crate::http_server;

/// Serves the directory at `GET /v1/machines`.
#[derive(Debug)]
pub struct DirectoryServer {
    service: sync::Arc<DirectoryService>,
    http: http_server::HttpServer,
}

impl DirectoryServer {
    /// Starts a directory on `address` that publishes `entries` immediately and each later change
    /// after `lag`; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(
        entries: Vec<model::DirectoryEntry>,
        lag: time::Duration,
        address: net::SocketAddr,
    ) -> Result<Self, error::Error> {
        let service = sync::Arc::new(DirectoryService {
            entries: sync::Mutex::new(DelayedEntries {
                visible: entries,
                pending: Vec::new(),
                lag,
            }),
            faults: sync::Mutex::default(),
        });
        let http = http_server::HttpServer::start(address, sync::Arc::clone(&service))?;
        Ok(Self { service, http })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.http.address()
    }

    /// Adds `entry`, or replaces the one with the same id.
    pub fn put(&self, entry: model::DirectoryEntry) {
        self.change(|entries| {
            entries.retain(|other| other.id != entry.id);
            entries.push(entry);
        });
    }

    /// Removes the entry with the id `id`, if it exists.
    pub fn remove(&self, id: &str) {
        self.change(|entries| entries.retain(|entry| &*entry.id != id));
    }

    /// Sets the state of the entry with the id `id`, if it exists.
    pub fn set_state(&self, id: &str, state: model::EntryState) {
        self.change(|entries| {
            let matching = entries.iter_mut().filter(|entry| &*entry.id == id);
            matching.for_each(|entry| entry.state = state);
        });
    }

    /// Replaces the faults; they apply once this returns.
    pub async fn set_faults(&self, faults: faults::DirectoryFaults) {
        *lock(&self.service.faults) = faults;
        self.http.set_reachability(faults.reachability).await;
    }

    /// Closes all connections and joins all tasks.
    pub async fn shutdown(self) {
        self.http.shutdown().await;
    }

    fn change(&self, change: impl FnOnce(&mut Vec<model::DirectoryEntry>)) {
        lock(&self.service.entries).change(time::Instant::now(), change);
    }
}

#[derive(Debug)]
struct DelayedEntries {
    /// Entries that readers see.
    visible: Vec<model::DirectoryEntry>,
    /// Later versions of the whole list with the times when they become visible, oldest first.
    pending: Vec<(time::Instant, Vec<model::DirectoryEntry>)>,
    lag: time::Duration,
}

impl DelayedEntries {
    fn change(&mut self, now: time::Instant, change: impl FnOnce(&mut Vec<model::DirectoryEntry>)) {
        let latest = self
            .pending
            .last()
            .map_or(&self.visible, |(_, entries)| entries);
        let mut entries = latest.clone();
        change(&mut entries);
        self.pending.push((now + self.lag, entries));
    }

    fn visible(&mut self, now: time::Instant) -> &[model::DirectoryEntry] {
        let due_count = self
            .pending
            .iter()
            .take_while(|(visible_from, _)| *visible_from <= now)
            .count();
        if let Some((_, entries)) = self.pending.drain(..due_count).next_back() {
            self.visible = entries;
        }
        &self.visible
    }
}

#[derive(Debug)]
struct DirectoryService {
    entries: sync::Mutex<DelayedEntries>,
    faults: sync::Mutex<faults::DirectoryFaults>,
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl http_server::Service for DirectoryService {
    fn reachability(&self) -> faults::Reachability {
        lock(&self.faults).reachability
    }

    fn admit_connection(&self) -> Option<http_server::ConnectionPermit> {
        Some(http_server::ConnectionPermit::unlimited())
    }

    fn outlives_connection(&self, _path: &str) -> bool {
        false
    }

    async fn handle(&self, request: http_server::Request) -> http_server::Response {
        if lock(&self.faults).unavailable {
            let reason = "the list is unavailable".to_owned();
            return http_server::Response::Status(http::StatusCode::SERVICE_UNAVAILABLE, reason);
        }
        if request.path != "/v1/machines" || request.method != http::Method::GET {
            return http_server::Response::not_found(&request.path);
        }
        http_server::Response::json(&lock(&self.entries).visible(time::Instant::now()))
    }
}
