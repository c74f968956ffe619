//! The HTTP interface of a worker and its faults.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio_util::sync as tokio_sync;

use super::capacity;
use super::config;
use super::executions;
use super::state;
use crate::clock;
use crate::error;
use crate::faults;
use crate::http_server;

/// How long a waiting renewal delays its reply after a change, so that one reply reports several.
const CHANGE_BATCH_DELAY: time::Duration = time::Duration::from_millis(5);
/// How long the timer task sleeps when nothing is due.
const IDLE_SLEEP: time::Duration = time::Duration::from_secs(3600);

/// A worker that simulates tasks by waiting for their run time.
#[derive(Debug)]
pub struct WorkerServer {
    service: sync::Arc<WorkerService>,
    http: http_server::HttpServer,
    stop: tokio_sync::CancellationToken,
    timer_task: tokio::task::JoinHandle<()>,
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
        let http = http_server::HttpServer::start(address, sync::Arc::clone(&service))?;
        let stop = tokio_sync::CancellationToken::new();
        let timer_task = tokio::spawn(run_timer(sync::Arc::clone(&service), stop.clone()));
        Ok(Self {
            service,
            http,
            stop,
            timer_task,
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
        self.service.with_state(|state, _| state.config().clone())
    }

    /// Replaces the faults; they apply once this returns.
    pub async fn set_faults(&self, faults: faults::WorkerFaults) {
        self.service
            .with_state(|state, _| *state.faults_mut() = faults);
        self.http.set_reachability(faults.reachability).await;
    }

    /// Returns the current faults, with the remaining number of replies to lose.
    #[must_use]
    pub fn faults(&self) -> faults::WorkerFaults {
        self.service.with_state(|state, _| *state.faults_mut())
    }

    /// Sets whether the worker is leaving and accepts no new work.
    pub fn set_leaving(&self, leaving: bool) {
        self.service
            .with_state(|state, _| state.set_leaving(leaving));
    }

    /// Simulates a restart of the process: the worker gets a new incarnation and loses its runs,
    /// results, lease and connections.
    pub async fn restart(&self) {
        self.http.set_reachability(faults::Reachability::Down).await;
        self.service
            .with_state(|state, now| state.restart(rand::random(), now));
        let faults = self.faults();
        self.http.set_reachability(faults.reachability).await;
    }

    /// Returns the counters.
    #[must_use]
    pub fn counts(&self) -> capacity::WorkerCounts {
        self.service.with_state(|state, _| *state.counts_mut())
    }

    /// Returns all executions so far, in order of their starts.
    #[must_use]
    pub fn executions(&self) -> Vec<executions::Execution> {
        self.service
            .with_state(|state, _| state.executions().to_vec())
    }

    /// Closes all connections and joins all tasks.
    pub async fn shutdown(self) {
        self.stop.cancel();
        self.http.shutdown().await;
        // Fails only if the task panicked, and then there is nothing to join.
        let _ = self.timer_task.await;
    }
}

/// Advances the state of the worker whenever a run, the grace time or a retention time ends.
async fn run_timer(service: sync::Arc<WorkerService>, stop: tokio_sync::CancellationToken) {
    loop {
        let next_wake =
            service.with_state(|state, now| state.next_wake().unwrap_or(now + IDLE_SLEEP));
        tokio::select! {
            () = tokio::time::sleep_until(next_wake.into()) => {}
            () = service.wake_changed.notified() => {}
            () = stop.cancelled() => return,
        }
    }
}

#[derive(Debug)]
struct WorkerService {
    state: sync::Mutex<state::WorkerState>,
    /// Number of changes so far that a waiting renewal has to report.
    changes: tokio::sync::watch::Sender<u64>,
    /// Notified when the time of the next wake-up has changed.
    wake_changed: tokio::sync::Notify,
    connections: sync::Arc<atomic::AtomicU32>,
}

impl WorkerService {
    fn new(config: config::WorkerConfig) -> Self {
        Self {
            state: sync::Mutex::new(state::WorkerState::new(config, rand::random())),
            changes: tokio::sync::watch::channel(0).0,
            wake_changed: tokio::sync::Notify::new(),
            connections: sync::Arc::default(),
        }
    }

    /// Advances the state to the current time, runs `action` on it, and notifies waiting renewals
    /// and the timer task of changes.
    fn with_state<R>(&self, action: impl FnOnce(&mut state::WorkerState, time::Instant) -> R) -> R {
        let mut state = self
            .state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let now = time::Instant::now();
        let previous_wake = state.next_wake();
        state.advance(now);
        let result = action(&mut state, now);
        let changes = state.changes();
        self.changes
            .send_if_modified(|seen| std::mem::replace(seen, changes) != changes);
        if state.next_wake() != previous_wake {
            self.wake_changed.notify_one();
        }
        result
    }
}

impl http_server::Service for WorkerService {
    fn reachability(&self) -> faults::Reachability {
        self.with_state(|state, _| state.faults_mut().reachability)
    }

    fn admit_connection(&self) -> Option<http_server::ConnectionPermit> {
        self.with_state(|state, _| {
            let limit = state.config().capacity.connections;
            let permit = http_server::ConnectionPermit::new(&self.connections, limit);
            let open = self.connections.load(atomic::Ordering::Relaxed);
            let counts = state.counts_mut();
            counts.most_connections = counts.most_connections.max(open);
            counts.refused_connections += u64::from(permit.is_none());
            permit
        })
    }

    fn outlives_connection(&self, path: &str) -> bool {
        path == "/v1/start"
    }

    async fn handle(&self, request: http_server::Request) -> http_server::Response {
        let result = match request.path.as_str() {
            "/v1/lease" => self.lease(&request).await,
            "/v1/release" => self.release(&request),
            "/v1/start" => self.start(&request).await,
            "/v1/stop" => self.stop(&request),
            "/v1/throttle" => self.throttle(&request),
            "/v1/checkpoint" => self.checkpoint(&request),
            path => Err(http_server::Response::not_found(path)),
        };
        result.unwrap_or_else(|error_response| error_response)
    }
}

type HandlerResult = Result<http_server::Response, http_server::Response>;

impl WorkerService {
    async fn lease(&self, request: &http_server::Request) -> HandlerResult {
        let request: model::LeaseRequest = request.parse()?;
        let mut changes = self.changes.subscribe();
        let granted = self.with_state(|state, now| {
            state
                .grant(&request, now)
                .map(|grant| (grant, state.has_unreported_changes()))
        });
        let (grant, has_unreported_changes) = match granted {
            Ok(granted) => granted,
            Err(refusal) => return Ok(http_server::Response::json(&refusal)),
        };
        if !grant.claimed && !has_unreported_changes {
            wait_for_changes(&mut changes, time::Duration::from_millis(request.wait_ms)).await;
        }
        let reply = self.with_state(|state, now| state.lease_reply(grant, now));
        Ok(http_server::Response::json(&reply))
    }

    fn release(&self, request: &http_server::Request) -> HandlerResult {
        let request: model::ReleaseRequest = request.parse()?;
        let token = state::LeaseToken {
            instance_id: &request.instance_id,
            epoch: request.epoch,
        };
        self.with_state(|state, now| state.release(token, now));
        Ok(http_server::Response::empty())
    }

    async fn start(&self, request: &http_server::Request) -> HandlerResult {
        let request: model::StartRequest = request.parse()?;
        let delay_ms = self.with_state(|state, _| state.faults_mut().delay_start_ms);
        if delay_ms > 0 {
            tokio::time::sleep(time::Duration::from_millis(delay_ms)).await;
        }
        let (verdicts, lost) = self.with_state(|state, now| {
            let verdicts = state.start(request, now);
            (
                verdicts,
                faults::consume_lost_reply(&mut state.faults_mut().lose_start_replies),
            )
        });
        if lost {
            return Err(http_server::Response::CloseConnection);
        }
        Ok(http_server::Response::json(&model::StartReply { verdicts }))
    }

    fn stop(&self, request: &http_server::Request) -> HandlerResult {
        let request: model::StopRequest = request.parse()?;
        let reply = self.with_state(|state, now| state.stop(&request, now));
        Ok(http_server::Response::json(&reply))
    }

    fn checkpoint(&self, request: &http_server::Request) -> HandlerResult {
        let request: model::StopRequest = request.parse()?;
        let reply = self.with_state(|state, now| state.checkpoint(&request, now));
        Ok(http_server::Response::json(&reply))
    }

    fn throttle(&self, request: &http_server::Request) -> HandlerResult {
        let request: model::ThrottleRequest = request.parse()?;
        if self.with_state(|state, now| state.throttle(&request, now)) {
            return Ok(http_server::Response::empty());
        }
        let reason = "the epoch is not the current one".to_owned();
        Err(http_server::Response::Status(
            http::StatusCode::CONFLICT,
            reason,
        ))
    }
}

/// Waits up to `timeout` for a change, then a short time more for others that follow it.
async fn wait_for_changes(
    changes: &mut tokio::sync::watch::Receiver<u64>,
    timeout: time::Duration,
) {
    if tokio::time::timeout(timeout, changes.changed())
        .await
        .is_ok()
    {
        tokio::time::sleep(CHANGE_BATCH_DELAY.min(timeout)).await;
    }
}
