//! Carries out effects on the I/O threads and sends their results to the control thread.

use std::collections;
use std::sync;
use std::time;

use tokio::sync::mpsc;
use tokio_util::task;
use worker::WorkerApi;

use crate::control;
use crate::drive::message;
use crate::drive::platform;
use crate::drive::state_store;

/// Added to the time that a worker may hold back a lease reply, to get the timeout of the call.
const LEASE_TIMEOUT_MARGIN: time::Duration = time::Duration::from_millis(500);

/// Carries out effects on the tokio runtime; clones share links and clients.
#[derive(Clone)]
pub(super) struct EffectRunner<P: platform::Platform> {
    pub(super) platform: P,
    pub(super) state_store: state_store::StateStore<P::Store>,
    pub(super) identity: peer::Identity,
    pub(super) link_settings: peer::LinkSettings,
    pub(super) links: sync::Arc<sync::Mutex<collections::HashMap<String, peer::Link>>>,
    pub(super) inputs: mpsc::UnboundedSender<message::Message>,
    pub(super) tracker: task::TaskTracker,
    pub(super) runtime: tokio::runtime::Handle,
    pub(super) call_timeout: time::Duration,
    pub(super) instance_id: model::InstanceId,
}

impl<P: platform::Platform> EffectRunner<P> {
    /// Spawns a task that carries out one effect other than an answer.
    pub(super) fn spawn(&self, effect: control::Effect) {
        let runner = self.clone();
        self.tracker.spawn_on(
            async move {
                if let Some(input) = runner.run(effect).await {
                    runner.send(input);
                }
            },
            &self.runtime,
        );
    }

    pub(super) fn send(&self, input: control::Input) {
        // The control thread outlives these tasks; a closed channel means that the result is not
        // needed.
        let _ = self.inputs.send(message::Message::Input(input));
    }

    async fn run(&self, effect: control::Effect) -> Option<control::Input> {
        match effect {
            control::Effect::Call {
                address,
                request,
                timeout,
                context,
            } => {
                let result = self.link(&address).request(&*request, timeout).await;
                Some(control::Input::Called {
                    address,
                    context,
                    result: result.map_err(call_error),
                })
            }
            control::Effect::Lease {
                worker_id,
                address,
                request,
            } => Some(self.lease(worker_id, &address, request).await),
            control::Effect::Release {
                worker_id,
                address,
                request,
            } => {
                let sent_at = time::Instant::now();
                let workers = self.platform.workers();
                let result = workers.release(&address, &request, self.call_timeout).await;
                Some(control::Input::Released {
                    worker_id,
                    sent_at,
                    answered: result.is_ok(),
                })
            }
            control::Effect::Start {
                worker_id,
                address,
                request,
            } => Some(self.start(worker_id, &address, request).await),
            control::Effect::Order {
                worker_id,
                address,
                run,
                epoch,
                order,
            } => self.order(worker_id, &address, run, epoch, order).await,
            store_effect => self.access_store(store_effect).await,
        }
    }

    async fn access_store(&self, effect: control::Effect) -> Option<control::Input> {
        let event = match effect {
            control::Effect::ReadTable => self.state_store.read_table().await,
            control::Effect::WriteTable {
                table,
                expected_revision,
            } => {
                self.state_store
                    .write_table(&table, expected_revision)
                    .await
            }
            control::Effect::WriteJournal {
                batch_id,
                table_revision,
                entries,
                deletes,
            } => {
                let written = self
                    .state_store
                    .write_journal(table_revision, entries, deletes);
                let result = written.await;
                owner::Event::JournalWritten { batch_id, result }
            }
            control::Effect::ReadJournal { partition } => {
                self.state_store.read_journal(partition).await
            }
            control::Effect::ReadLists => return Some(self.state_store.read_lists().await),
            _ => return None,
        };
        Some(control::Input::Owner(event))
    }

    async fn lease(
        &self,
        worker_id: model::WorkerId,
        address: &str,
        request: model::LeaseRequest,
    ) -> control::Input {
        let timeout = time::Duration::from_millis(request.wait_ms) + LEASE_TIMEOUT_MARGIN;
        let sent_at = time::Instant::now();
        let result = self
            .platform
            .workers()
            .lease(address, &request, timeout)
            .await;
        control::Input::Leased(control::Leased {
            worker_id,
            sent_at,
            claim: request.epoch.is_none(),
            acknowledged: request.acknowledged,
            result: result.map_err(worker_error),
        })
    }

    async fn start(
        &self,
        worker_id: model::WorkerId,
        address: &str,
        request: model::StartRequest,
    ) -> control::Input {
        let workers = self.platform.workers();
        let result = workers.start(address, &request, self.call_timeout).await;
        control::Input::Started {
            worker_id,
            epoch: request.epoch,
            runs: request.runs.iter().map(|start| start.run).collect(),
            result: result.map_err(worker_error),
        }
    }

    async fn order(
        &self,
        worker_id: model::WorkerId,
        address: &str,
        run: model::TaskAttempt,
        epoch: model::Epoch,
        order: control::RunOrder,
    ) -> Option<control::Input> {
        let workers = self.platform.workers();
        let instance_id = self.instance_id.clone();
        let stop = model::StopRequest {
            instance_id: instance_id.clone(),
            epoch,
            run,
        };
        let result = match order {
            control::RunOrder::Stop => workers.stop(address, &stop, self.call_timeout).await,
            control::RunOrder::Checkpoint => {
                workers.checkpoint(address, &stop, self.call_timeout).await
            }
            control::RunOrder::Throttle { percent } => {
                let throttle = model::ThrottleRequest {
                    instance_id,
                    epoch,
                    run,
                    percent,
                };
                let result = workers
                    .throttle(address, &throttle, self.call_timeout)
                    .await;
                if let Err(error) = result {
                    log::warn!("failed to throttle a run worker={worker_id} error={error}");
                }
                return None;
            }
        };
        Some(control::Input::Stopped {
            worker_id,
            run,
            result: result.map_err(worker_error),
        })
    }

    fn link(&self, address: &str) -> peer::Link {
        let mut links = self
            .links
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        links
            .entry(address.to_owned())
            .or_insert_with(|| peer::Link::new(self.identity.clone(), address, self.link_settings))
            .clone()
    }

    /// Returns the traffic counts of the links to all peers.
    pub(super) fn link_counts(&self) -> Vec<peer::Counts> {
        let links = self
            .links
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        links.values().map(peer::Link::counts).collect()
    }
}

fn call_error(error: peer::Error) -> control::CallError {
    if error.is_unhandled() {
        control::CallError::NotHandled
    } else {
        control::CallError::Unanswered
    }
}

fn worker_error(error: worker::Error) -> control::CallError {
    if error.had_no_effect() {
        control::CallError::NotHandled
    } else {
        control::CallError::Unanswered
    }
}
