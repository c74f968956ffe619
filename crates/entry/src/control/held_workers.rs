//! Leases on workers, and the workers that this instance holds.

use std::time;

use indexmap::IndexSet;

use crate::control::effect;
use crate::control::input;
use crate::control::runs;
use crate::control::state;

/// Time within which the next holder of a worker has read the worker's runs.
const ADOPTION_TIME: time::Duration = time::Duration::from_secs(2);

/// A worker that this instance holds or has held; removed when the worker is gone.
#[derive(Clone, Debug)]
pub(super) struct HeldWorker {
    pub(super) location: model::Location,
    pub(super) incarnation: model::Incarnation,
    /// Whether the worker itself reports that it is leaving.
    pub(super) leaving: bool,
    /// Finished runs to acknowledge to the worker, which may then forget them.
    pub(super) to_acknowledge: IndexSet<model::TaskAttempt>,
}

impl state::Control {
    /// Passes an event to the lease state machine and carries out the resulting actions.
    pub(super) fn lease_event(&mut self, event: lease::Event, now: time::Instant) {
        for action in self.leases.handle_event(event, now) {
            self.lease_action(action, now);
        }
    }

    fn lease_action(&mut self, action: lease::Action, now: time::Instant) {
        match action {
            lease::Action::Claim { worker_id, address } => {
                self.send_lease_request(worker_id, address, None);
            }
            lease::Action::Renew {
                worker_id,
                address,
                epoch,
            } => self.send_lease_request(worker_id, address, Some(epoch)),
            lease::Action::Release {
                worker_id,
                address,
                epoch,
                successor,
            } => {
                let request = model::ReleaseRequest {
                    instance_id: self.own_id().clone(),
                    epoch,
                    successor,
                };
                self.push_effect(effect::Effect::Release {
                    worker_id,
                    address,
                    request,
                });
            }
            lease::Action::Acquired(acquired) => self.on_lease_acquired(acquired, now),
            lease::Action::Restarted(acquired) => {
                self.metrics.count("worker.restarted");
                self.on_lease_acquired(acquired, now);
            }
            lease::Action::LeavingChanged { worker_id, leaving } => {
                if let Some(worker) = self.workers.get_mut(&worker_id) {
                    worker.leaving = leaving;
                }
                self.update_leaving(&worker_id);
            }
            lease::Action::Dropped { worker_id } => {
                log::info!("lease dropped worker={worker_id}");
                self.metrics.count("lease.dropped");
                self.fleet.remove_worker(&worker_id);
                self.runs.dropped.insert(worker_id, now);
            }
            lease::Action::Gone { worker_id } => self.on_worker_gone(&worker_id),
        }
    }

    fn send_lease_request(
        &mut self,
        worker_id: model::WorkerId,
        address: String,
        epoch: Option<model::Epoch>,
    ) {
        let acknowledged = self
            .workers
            .get(&worker_id)
            .map(|worker| worker.to_acknowledge.iter().copied().collect())
            .unwrap_or_default();
        let wait = if epoch.is_some() {
            self.settings.lease_wait
        } else {
            time::Duration::ZERO
        };
        let request = model::LeaseRequest {
            instance_id: self.own_id().clone(),
            instance_address: self.settings.address.clone(),
            epoch,
            ttl_ms: self.settings.lease.ttl.as_millis() as u64,
            grace_ms: self.settings.owner.grace.as_millis() as u64,
            acknowledged,
            wait_ms: wait.as_millis() as u64,
        };
        self.push_effect(effect::Effect::Lease {
            worker_id,
            address,
            request,
        });
    }

    /// Handles the result of a claim or renewal.
    pub(super) fn on_lease_ended(&mut self, leased: input::Leased, now: time::Instant) {
        let worker_id = leased.worker_id;
        match leased.result {
            Ok(model::LeaseReply::Granted {
                epoch,
                incarnation,
                capacity,
                leaving,
                running,
                finished,
                usage,
            }) => {
                let grant = lease::Grant {
                    worker_id: worker_id.clone(),
                    sent_at: leased.sent_at,
                    claim: leased.claim,
                    epoch,
                    incarnation,
                    capacity,
                    leaving,
                    running,
                };
                self.forget_acknowledged(&worker_id, &leased.acknowledged);
                let finished_runs: Vec<_> = finished.iter().map(|f| f.run).collect();
                self.on_runs_finished(&worker_id, finished, now);
                self.lease_event(lease::Event::Granted(grant), now);
                self.prune_finished(&worker_id, &finished_runs, leased.claim);
                let commands = self.fleet.apply_usage_reports(&usage, now);
                self.send_run_commands(commands);
            }
            Ok(model::LeaseReply::Held {
                holder,
                remaining_ms,
                ..
            }) => {
                let event = lease::Event::Held {
                    worker_id,
                    holder,
                    remaining: time::Duration::from_millis(remaining_ms),
                };
                self.lease_event(event, now);
            }
            Ok(model::LeaseReply::Lapsed) => {
                self.metrics.count("retry.lease_lapsed");
                self.lease_event(lease::Event::Lapsed { worker_id }, now);
            }
            Err(_) => {
                self.metrics.count("retry.lease_failed");
                let sent_at = leased.sent_at;
                self.lease_event(lease::Event::Failed { worker_id, sent_at }, now);
            }
        }
    }

    /// Handles the result of a release.
    pub(super) fn on_release_ended(
        &mut self,
        worker_id: model::WorkerId,
        sent_at: time::Instant,
        answered: bool,
        now: time::Instant,
    ) {
        let event = if answered {
            lease::Event::Released { worker_id }
        } else {
            lease::Event::Failed { worker_id, sent_at }
        };
        self.lease_event(event, now);
    }

    fn forget_acknowledged(&mut self, worker_id: &str, runs: &[model::TaskAttempt]) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        for run in runs {
            worker.to_acknowledge.swap_remove(run);
            self.runs.finished.swap_remove(run);
        }
    }

    /// Adds a worker to the fleet and reconciles its runs with those known here.
    fn on_lease_acquired(&mut self, acquired: lease::Acquired, now: time::Instant) {
        let worker_id = acquired.worker_id;
        log::info!(
            "lease on worker acquired worker={worker_id} epoch={} running={}",
            acquired.epoch,
            acquired.running.len()
        );
        self.metrics.count("lease.acquired");
        self.runs.dropped.swap_remove(&worker_id);
        let worker = self
            .workers
            .entry(worker_id.clone())
            .or_insert_with(|| HeldWorker {
                location: acquired.location.clone(),
                incarnation: acquired.incarnation,
                leaving: acquired.leaving,
                to_acknowledge: IndexSet::new(),
            });
        worker.location = acquired.location.clone();
        worker.incarnation = acquired.incarnation;
        worker.leaving = acquired.leaving;
        self.resolve_runs(&worker_id, &acquired.running, acquired.incarnation);
        self.adopt_runs(&worker_id, &acquired.running, acquired.incarnation);
        self.fleet.remove_worker(&worker_id);
        let leaving = acquired.leaving || self.listed_leaving.contains(&worker_id);
        self.fleet.add_worker(
            worker_id,
            acquired.location,
            acquired.capacity,
            leaving,
            &acquired.running,
            now,
        );
    }

    /// Ends runs that the worker does not report.
    ///
    /// The worker rejects starts of older epochs, so none of them can start any more.
    fn resolve_runs(
        &mut self,
        worker_id: &model::WorkerId,
        running: &[model::RunningRun],
        incarnation: model::Incarnation,
    ) {
        let reported: IndexSet<_> = running.iter().map(|r| r.run).collect();
        for run in self.runs.on_worker(worker_id) {
            if reported.contains(&run) {
                continue;
            }
            let Some(worker_run) = self.runs.live.get(&run) else {
                continue;
            };
            let may_have_started =
                worker_run.state == runs::StartState::Confirmed || worker_run.has_unanswered_start;
            let lost = may_have_started && worker_run.incarnation != incarnation;
            let state = if lost || worker_run.state == runs::StartState::Confirmed {
                model::RunState::Lost
            } else {
                model::RunState::NeverStarted
            };
            self.end_run(run, state);
        }
    }

    fn adopt_runs(
        &mut self,
        worker_id: &model::WorkerId,
        running: &[model::RunningRun],
        incarnation: model::Incarnation,
    ) {
        for running in running {
            if let Some(worker_run) = self.runs.live.get_mut(&running.run) {
                worker_run.state = runs::StartState::Confirmed;
                worker_run.incarnation = incarnation;
                continue;
            }
            self.metrics.count("run.adopted");
            self.runs
                .insert_adopted(worker_id.clone(), running, incarnation);
            let state = model::RunState::Running {
                running_ms: running.running_ms,
            };
            let task = Some(running.task.clone());
            let report = self.build_report(running.run, task, worker_id.clone(), state);
            self.outbox.push(report);
        }
    }

    /// Reports the runs on dropped workers as lost once another instance has held the worker for
    /// [`ADOPTION_TIME`].
    ///
    /// That instance has read the worker's runs by then. The owner asks every holder before it
    /// counts a run as lost, so an adopted run is kept.
    pub(super) fn report_dropped_runs(&mut self, now: time::Instant) {
        let elsewhere: IndexSet<_> = self
            .leases
            .held_elsewhere()
            .map(|(worker_id, _)| worker_id.clone())
            .collect();
        let due: Vec<_> = self
            .runs
            .dropped
            .iter()
            .filter(|(_, at)| now.saturating_duration_since(**at) >= ADOPTION_TIME)
            .map(|(worker_id, _)| worker_id.clone())
            .filter(|worker_id| elsewhere.contains(worker_id))
            .collect();
        for worker_id in due {
            self.runs.dropped.swap_remove(&worker_id);
            for run in self.runs.on_worker(&worker_id) {
                self.metrics.count("run.left_to_next_holder");
                self.end_run(run, model::RunState::Lost);
            }
        }
    }

    fn on_worker_gone(&mut self, worker_id: &model::WorkerId) {
        log::warn!("worker unreachable for so long that its runs have ended worker={worker_id}");
        self.metrics.count("worker.gone");
        self.fleet.remove_worker(worker_id);
        for run in self.runs.on_worker(worker_id) {
            let may_have_started = self.runs.live.get(&run).is_some_and(|worker_run| {
                worker_run.has_unanswered_start || worker_run.state != runs::StartState::Unsent
            });
            let state = if may_have_started {
                model::RunState::Lost
            } else {
                model::RunState::NeverStarted
            };
            self.end_run(run, state);
        }
        self.workers.swap_remove(worker_id);
    }

    /// Updates whether the fleet treats a worker as leaving, so that it gets no new work.
    ///
    /// A worker is leaving if either it or the platform's list says so.
    pub(super) fn update_leaving(&mut self, worker_id: &model::WorkerId) {
        let Some(worker) = self.workers.get(worker_id) else {
            return;
        };
        let leaving = worker.leaving || self.listed_leaving.contains(worker_id);
        self.fleet.set_leaving(worker_id, leaving);
    }
}
