//! The directory: the platform's list of instances and workers, which publishes changes with a lag.

use std::net;
use std::sync;
use std::time;

use crate::answer;
use crate::error;
use crate::faults;

/// Serves the directory at `GET /v1/machines`.
#[derive(Debug)]
pub struct DirectoryServer {
    service: sync::Arc<DirectoryService>,
    http: answer::HttpServer,
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
            list: sync::Mutex::new(List {
                shown: entries,
                later: Vec::new(),
                lag,
            }),
            faults: sync::Mutex::default(),
        });
        let http = answer::HttpServer::start(address, sync::Arc::clone(&service))?;
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
            let named = entries.iter_mut().filter(|entry| &*entry.id == id);
            named.for_each(|entry| entry.state = state);
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
        lock(&self.service.list).change(time::Instant::now(), change);
    }
}

#[derive(Debug)]
struct List {
    /// Entries that readers see.
    shown: Vec<model::DirectoryEntry>,
    /// Later versions of the whole list with the times when they become visible, oldest first.
    later: Vec<(time::Instant, Vec<model::DirectoryEntry>)>,
    lag: time::Duration,
}

impl List {
    fn change(&mut self, now: time::Instant, change: impl FnOnce(&mut Vec<model::DirectoryEntry>)) {
        let latest = self
            .later
            .last()
            .map_or(&self.shown, |(_, entries)| entries);
        let mut entries = latest.clone();
        change(&mut entries);
        self.later.push((now + self.lag, entries));
    }

    fn shown(&mut self, now: time::Instant) -> &[model::DirectoryEntry] {
        let due = self
            .later
            .iter()
            .take_while(|(from, _)| *from <= now)
            .count();
        if let Some((_, entries)) = self.later.drain(..due).next_back() {
            self.shown = entries;
        }
        &self.shown
    }
}

#[derive(Debug)]
struct DirectoryService {
    list: sync::Mutex<List>,
    faults: sync::Mutex<faults::DirectoryFaults>,
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl answer::Service for DirectoryService {
    fn reachability(&self) -> faults::Reachability {
        lock(&self.faults).reachability
    }

    fn admit(&self) -> Option<answer::Admission> {
        Some(answer::Admission::unlimited())
    }

    fn outlives_connection(&self, _path: &str) -> bool {
        false
    }

    async fn answer(&self, call: answer::Call) -> answer::Answer {
        if lock(&self.faults).unavailable {
            let reason = "the list is unavailable".to_owned();
            return answer::Answer::Status(http::StatusCode::SERVICE_UNAVAILABLE, reason);
        }
        if call.path != "/v1/machines" || call.method != http::Method::GET {
            return answer::Answer::not_found(&call.path);
        }
        answer::Answer::json(&lock(&self.list).shown(time::Instant::now()))
    }
}
