//! The HTTP interface of a worker and its faults.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio_util::sync as tokio_sync;

use super::capacity;
use super::config;
use super::executions;
use super::table;
use crate::answer;
use crate::clock;
use crate::error;
use crate::faults;

/// How long a renewal that waited for a change delays its reply, so that it covers more changes.
const BATCH: time::Duration = time::Duration::from_millis(5);
/// How long the timer task sleeps when nothing is due.
const IDLE: time::Duration = time::Duration::from_secs(3600);

/// A worker that simulates tasks by waiting for their run time.
#[derive(Debug)]
pub struct WorkerServer {
    service: sync::Arc<WorkerService>,
    http: answer::HttpServer,
    stop: tokio_sync::CancellationToken,
    driver: tokio::task::JoinHandle<()>,
}

impl WorkerServer {
    /// Starts a worker on `address`; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(
        config: config::WorkerConfig,
        address: net::SocketAddr,
    ) -> Result<Self, error::Error> {
        clock::start();
        let service = sync::Arc::new(WorkerService::new(config));
        let http = answer::HttpServer::start(address, sync::Arc::clone(&service))?;
        let stop = tokio_sync::CancellationToken::new();
        let driver = tokio::spawn(drive(sync::Arc::clone(&service), stop.clone()));
        Ok(Self {
            service,
            http,
            stop,
            driver,
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.http.address()
    }

    /// Returns the configuration.
    #[must_use]
    pub fn config(&self) -> config::WorkerConfig {
        self.service.with_table(|table, _| table.config().clone())
    }

    /// Replaces the faults; they apply once this returns.
    pub async fn set_faults(&self, faults: faults::WorkerFaults) {
        self.service
            .with_table(|table, _| *table.faults_mut() = faults);
        self.http.set_reachability(faults.reachability).await;
    }

    /// Returns the current faults, with the remaining number of replies to lose.
    #[must_use]
    pub fn faults(&self) -> faults::WorkerFaults {
        self.service.with_table(|table, _| *table.faults_mut())
    }

    /// Sets whether the worker is leaving and accepts no new work.
    pub fn set_leaving(&self, leaving: bool) {
        self.service
            .with_table(|table, _| table.set_leaving(leaving));
    }

    /// Simulates a restart of the process: the worker gets a new incarnation and loses its runs,
    /// results, lease and connections.
    pub async fn restart(&self) {
        self.http.set_reachability(faults::Reachability::Down).await;
        self.service
            .with_table(|table, now| table.restart(rand::random(), now));
        let faults = self.faults();
        self.http.set_reachability(faults.reachability).await;
    }

    /// Returns the counters.
    #[must_use]
    pub fn counts(&self) -> capacity::WorkerCounts {
        self.service.with_table(|table, _| *table.counts_mut())
    }

    /// Returns all executions so far, in order of their starts.
    #[must_use]
    pub fn executions(&self) -> Vec<executions::Execution> {
        self.service.with_table(|table, _| table.log().to_vec())
    }

    /// Closes all connections and joins all tasks.
    pub async fn shutdown(self) {
        self.stop.cancel();
        self.http.shutdown().await;
        // Fails only if the task panicked, and then there is nothing to join.
        let _ = self.driver.await;
    }
}

/// Advances the state of the worker whenever a run, the grace time or a retention time ends.
async fn drive(service: sync::Arc<WorkerService>, stop: tokio_sync::CancellationToken) {
    loop {
        let wake = service.with_table(|table, now| table.next_wake().unwrap_or(now + IDLE));
        tokio::select! {
            () = tokio::time::sleep_until(wake.into()) => {}
            () = service.replanned.notified() => {}
            () = stop.cancelled() => return,
        }
    }
}

#[derive(Debug)]
struct WorkerService {
    table: sync::Mutex<table::Table>,
    /// Number of changes so far that a waiting renewal has to report.
    changes: tokio::sync::watch::Sender<u64>,
    /// Notified when the time of the next wake-up has changed.
    replanned: tokio::sync::Notify,
    connections: sync::Arc<atomic::AtomicU32>,
}

impl WorkerService {
    fn new(config: config::WorkerConfig) -> Self {
        Self {
            table: sync::Mutex::new(table::Table::new(config, rand::random())),
            changes: tokio::sync::watch::channel(0).0,
            replanned: tokio::sync::Notify::new(),
            connections: sync::Arc::default(),
        }
    }

    /// Advances the state to the current time, runs `act` on it and notifies waiting renewals and
    /// the timer task of changes.
    fn with_table<R>(&self, act: impl FnOnce(&mut table::Table, time::Instant) -> R) -> R {
        let mut table = self
            .table
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let now = time::Instant::now();
        let planned = table.next_wake();
        table.advance(now);
        let result = act(&mut table, now);
        let changes = table.changes();
        self.changes
            .send_if_modified(|seen| std::mem::replace(seen, changes) != changes);
        if table.next_wake() != planned {
            self.replanned.notify_one();
        }
        result
    }
}

impl answer::Service for WorkerService {
    fn reachability(&self) -> faults::Reachability {
        self.with_table(|table, _| table.faults_mut().reachability)
    }

    fn admit(&self) -> Option<answer::Admission> {
        self.with_table(|table, _| {
            let limit = table.config().capacity.connections;
            let admission = answer::Admission::new(&self.connections, limit);
            let open = self.connections.load(atomic::Ordering::Relaxed);
            let counts = table.counts_mut();
            counts.most_connections = counts.most_connections.max(open);
            counts.refused_connections += u64::from(admission.is_none());
            admission
        })
    }

    fn outlives_connection(&self, path: &str) -> bool {
        path == "/v1/start"
    }

    async fn answer(&self, call: answer::Call) -> answer::Answer {
        let answered = match call.path.as_str() {
            "/v1/lease" => self.lease(&call).await,
            "/v1/release" => self.release(&call),
            "/v1/start" => self.start(&call).await,
            "/v1/stop" => self.stop(&call),
            "/v1/throttle" => self.throttle(&call),
            "/v1/checkpoint" => self.checkpoint(&call),
            path => Err(answer::Answer::not_found(path)),
        };
        answered.unwrap_or_else(|refusal| refusal)
    }
}

type Answered = Result<answer::Answer, answer::Answer>;

impl WorkerService {
    async fn lease(&self, call: &answer::Call) -> Answered {
        let request: model::LeaseRequest = call.parse()?;
        let mut changes = self.changes.subscribe();
        let granted = self.with_table(|table, now| {
            table
                .grant(&request, now)
                .map(|grant| (grant, table.has_news()))
        });
        let (grant, has_news) = match granted {
            Ok(granted) => granted,
            Err(refusal) => return Ok(answer::Answer::json(&refusal)),
        };
        if !grant.claimed && !has_news {
            wait_for_news(&mut changes, time::Duration::from_millis(request.wait_ms)).await;
        }
        let reply = self.with_table(|table, now| table.lease_reply(grant, now));
        Ok(answer::Answer::json(&reply))
    }

    fn release(&self, call: &answer::Call) -> Answered {
        let request: model::ReleaseRequest = call.parse()?;
        let authority = table::Authority {
            instance_id: &request.instance_id,
            epoch: request.epoch,
        };
        self.with_table(|table, now| table.release(authority, now));
        Ok(answer::Answer::empty())
    }

    async fn start(&self, call: &answer::Call) -> Answered {
        let request: model::StartRequest = call.parse()?;
        let delay_ms = self.with_table(|table, _| table.faults_mut().delay_start_ms);
        if delay_ms > 0 {
            tokio::time::sleep(time::Duration::from_millis(delay_ms)).await;
        }
        let (verdicts, lost) = self.with_table(|table, now| {
            let verdicts = table.start(request, now);
            (
                verdicts,
                faults::take_one(&mut table.faults_mut().lose_start_replies),
            )
        });
        if lost {
            return Err(answer::Answer::Drop);
        }
        Ok(answer::Answer::json(&model::StartReply { verdicts }))
    }

    fn stop(&self, call: &answer::Call) -> Answered {
        let request: model::StopRequest = call.parse()?;
        let reply = self.with_table(|table, now| table.stop(&request, now));
        Ok(answer::Answer::json(&reply))
    }

    fn checkpoint(&self, call: &answer::Call) -> Answered {
        let request: model::StopRequest = call.parse()?;
        let reply = self.with_table(|table, now| table.checkpoint(&request, now));
        Ok(answer::Answer::json(&reply))
    }

    fn throttle(&self, call: &answer::Call) -> Answered {
        let request: model::ThrottleRequest = call.parse()?;
        if self.with_table(|table, now| table.throttle(&request, now)) {
            return Ok(answer::Answer::empty());
        }
        let reason = "the epoch is not the current one".to_owned();
        Err(answer::Answer::Status(http::StatusCode::CONFLICT, reason))
    }
}

/// Waits up to `longest` for a change, then a short time more for others that follow it.
async fn wait_for_news(changes: &mut tokio::sync::watch::Receiver<u64>, longest: time::Duration) {
    if tokio::time::timeout(longest, changes.changed())
        .await
        .is_ok()
    {
        tokio::time::sleep(BATCH.min(longest)).await;
    }
}
