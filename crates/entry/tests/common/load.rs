//! A continuous load of callers that each submit one task after another.

use std::net;
use std::sync;
use std::sync::atomic;

use crate::common::http;

/// Difference of the run times of successive callers.
const RUN_MS_STEP: u64 = 100;

/// One answered request.
#[derive(Clone, Debug)]
pub(crate) struct CompletedRequest {
    pub(crate) address: net::SocketAddr,
    pub(crate) work: String,
    pub(crate) answer: http::Answer,
}

impl CompletedRequest {
    /// Returns whether the answer contains the complete result of this request.
    pub(crate) fn has_expected_output(&self) -> bool {
        let expected = standin::expected_output("pack", &self.work);
        self.answer.is_done() && self.answer.body["outputs"][0] == expected.as_str()
    }
}

#[derive(Debug)]
struct Shared {
    addresses: sync::Mutex<Vec<net::SocketAddr>>,
    stopped: atomic::AtomicBool,
    run_ms: u64,
}

/// Callers whose requests go to the addresses in round-robin order, as through a balancer.
pub(crate) struct Load {
    shared: sync::Arc<Shared>,
    callers: tokio::task::JoinSet<Vec<CompletedRequest>>,
}

impl Load {
    /// Starts `callers` that each run one task at a time, of `run_ms` or a little more.
    pub(crate) fn start(callers: usize, run_ms: u64, addresses: Vec<net::SocketAddr>) -> Self {
        let shared = sync::Arc::new(Shared {
            addresses: sync::Mutex::new(addresses),
            stopped: atomic::AtomicBool::new(false),
            run_ms,
        });
        let mut tasks = tokio::task::JoinSet::new();
        for caller in 0..callers {
            tasks.spawn(run_caller(caller, shared.clone()));
        }
        Self {
            shared,
            callers: tasks,
        }
    }

    /// Replaces the addresses that requests are sent to.
    pub(crate) fn set_addresses(&self, addresses: Vec<net::SocketAddr>) {
        *self.shared.addresses.lock().expect("addresses") = addresses;
    }

    /// Stops sending; returns every request once all are answered.
    pub(crate) async fn finish(mut self) -> Vec<CompletedRequest> {
        self.shared.stopped.store(true, atomic::Ordering::SeqCst);
        let mut all = Vec::new();
        while let Some(completed) = self.callers.join_next().await {
            all.extend(completed.expect("caller"));
        }
        all
    }
}

async fn run_caller(caller: usize, shared: sync::Arc<Shared>) -> Vec<CompletedRequest> {
    let mut all = Vec::new();
    while !shared.stopped.load(atomic::Ordering::SeqCst) {
        let number = all.len();
        let address = {
            let addresses = shared.addresses.lock().expect("addresses");
            addresses[(caller + number) % addresses.len()]
        };
        let run_ms = shared.run_ms + RUN_MS_STEP * caller as u64;
        let work = format!(r#"{{"run_ms":{run_ms},"caller":{caller},"number":{number}}}"#);
        let body =
            format!(r#"{{"kind":"pack","processors_milli":500,"memory_mb":128,"body":{work}}}"#);
        let answer = http::request(address, "POST", "/v1/tasks", http::TOKEN, &body).await;
        all.push(CompletedRequest {
            address,
            work,
            answer,
        });
    }
    all
}
