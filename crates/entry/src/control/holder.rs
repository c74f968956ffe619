//! Workers that this instance holds: leases, starts, stops and finished runs.

use std::time;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::control::effect;
use crate::control::input;
use crate::control::runs;
use crate::control::state;

/// Pause before a start without an answer is sent again.
const START_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Time within which the next holder of a worker has read its runs.
const ADOPTION_TIME: time::Duration = time::Duration::from_secs(2);
/// Deliveries of a damaged result after which the run counts as lost.
const MAX_DAMAGED: u32 = 3;

/// A worker that this instance holds, or held until a short time ago.
#[derive(Clone, Debug)]
pub(super) struct HeldWorker {
    pub(super) location: model::Location,
    pub(super) incarnation: model::Incarnation,
    /// Whether the worker itself wants no new work.
    pub(super) leaving: bool,
    /// Finished runs that the worker may forget.
    pub(super) acknowledge: IndexSet<model::TaskAttempt>,
}

impl state::Control {
    /// Passes an event to the lease decisions and carries their actions out.
    pub(super) fn lease_event(&mut self, event: lease::Event, now: time::Instant) {
        for action in self.leases.on(event, now) {
            self.lease_action(action, now);
        }
    }

    fn lease_action(&mut self, action: lease::Action, now: time::Instant) {
        match action {
            lease::Action::Claim { worker_id, address } => {
                self.send_lease(worker_id, address, None);
            }
            lease::Action::Renew {
                worker_id,
                address,
                epoch,
            } => self.send_lease(worker_id, address, Some(epoch)),
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
                self.effect(effect::Effect::Release {
                    worker_id,
                    address,
                    request,
                });
            }
            lease::Action::Acquired(acquired) => self.acquired(acquired, now),
            lease::Action::Restarted(acquired) => {
                self.metrics.count("worker.restarted");
                self.acquired(acquired, now);
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
            lease::Action::Gone { worker_id } => self.worker_gone(&worker_id),
        }
    }

    fn send_lease(
        &mut self,
        worker_id: model::WorkerId,
        address: String,
        epoch: Option<model::Epoch>,
    ) {
        let acknowledged = self
            .workers
            .get(&worker_id)
            .map(|worker| worker.acknowledge.iter().copied().collect())
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
        self.effect(effect::Effect::Lease {
            worker_id,
            address,
            request,
        });
    }

    /// Takes the end of a claim or renewal.
    pub(super) fn leased(&mut self, leased: input::Leased, now: time::Instant) {
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
                self.finished_first(&worker_id, finished, now);
                self.lease_event(lease::Event::Granted(grant), now);
                self.prune_finished(&worker_id, &finished_runs, leased.claim);
                let orders = self.fleet.usage(&usage, now);
                self.order_all(orders);
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

    /// Takes the end of a release.
    pub(super) fn released(
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
            worker.acknowledge.swap_remove(run);
            self.runs.finished.swap_remove(run);
        }
    }

    /// Makes the fleet count a worker and resolves what was uncertain about its runs.
    fn acquired(&mut self, acquired: lease::Acquired, now: time::Instant) {
        let worker_id = acquired.worker_id;
        log::info!(
            "worker held worker={worker_id} epoch={} running={}",
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
                acknowledge: IndexSet::new(),
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

    /// Settles runs that the worker does not name: after a new epoch no older start can arrive.
    fn resolve_runs(
        &mut self,
        worker_id: &model::WorkerId,
        running: &[model::RunningRun],
        incarnation: model::Incarnation,
    ) {
        let named: IndexSet<_> = running.iter().map(|r| r.run).collect();
        for run in self.runs.on_worker(worker_id) {
            if named.contains(&run) {
                continue;
            }
            let Some(held) = self.runs.live.get(&run) else {
                continue;
            };
            let may_have_run = held.state == runs::StartState::Confirmed || held.doubted;
            let lost = may_have_run && held.incarnation != incarnation;
            let state = if lost || held.state == runs::StartState::Confirmed {
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
            if let Some(held) = self.runs.live.get_mut(&running.run) {
                held.state = runs::StartState::Confirmed;
                held.incarnation = incarnation;
                continue;
            }
            self.metrics.count("run.adopted");
            self.runs
                .insert_adopted(worker_id.clone(), running, incarnation);
            let state = model::RunState::Running {
                running_ms: running.running_ms,
            };
            let task = Some(running.task.clone());
            let report = self.report_of(running.run, task, worker_id.clone(), state);
            self.outbox.push(report);
        }
    }

    /// Reports the runs on workers that another instance has held for a while as lost.
    ///
    /// That instance has read the worker's runs by then. The owner asks every holder before it
    /// counts a run as lost, so a run that was adopted stays.
    pub(super) fn leave_dropped(&mut self, now: time::Instant) {
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

    fn worker_gone(&mut self, worker_id: &model::WorkerId) {
        log::warn!("worker lost worker={worker_id}");
        self.metrics.count("worker.gone");
        self.fleet.remove_worker(worker_id);
        for run in self.runs.on_worker(worker_id) {
            let doubted = self
                .runs
                .live
                .get(&run)
                .is_some_and(|held| held.doubted || held.state != runs::StartState::Unsent);
            let state = if doubted {
                model::RunState::Lost
            } else {
                model::RunState::NeverStarted
            };
            self.end_run(run, state);
        }
        self.workers.swap_remove(worker_id);
    }

    /// Removes a run that does not run any more and reports its end.
    pub(super) fn end_run(&mut self, run: model::TaskAttempt, state: model::RunState) {
        let Some(held) = self.runs.live.swap_remove(&run) else {
            return;
        };
        self.fleet.release(run);
        let task = Some(held.start.task.clone());
        let report = self.report_of(run, task, held.worker_id, state);
        self.answer_withdrawers(&held.withdrawers, &report);
        self.outbox.push(report);
    }

    /// Takes finished runs in, before the rest of the reply that named them.
    fn finished_first(
        &mut self,
        worker_id: &model::WorkerId,
        finished: Vec<model::FinishedRun>,
        now: time::Instant,
    ) {
        for run in finished {
            self.run_finished(worker_id, run, now);
        }
    }

    pub(super) fn run_finished(
        &mut self,
        worker_id: &model::WorkerId,
        finished: model::FinishedRun,
        now: time::Instant,
    ) {
        let run = finished.run;
        if self.runs.finished.contains_key(&run) {
            return;
        }
        if !finished.is_whole() {
            self.damaged(worker_id, finished);
            return;
        }
        self.runs.damaged.swap_remove(&run);
        let facts = place::Finished {
            succeeded: finished.succeeded,
            worker_fault: finished.worker_fault,
            run: time::Duration::from_millis(finished.run_ms),
            peak: finished.peak,
        };
        self.fleet.finished(run, &facts, now);
        let held = self.runs.live.swap_remove(&run);
        let task = held.as_ref().map(|held| held.start.task.clone());
        let task = task.or_else(|| finished.task.clone());
        let mut finished = finished;
        finished.task = None;
        let state = model::RunState::Finished(finished);
        let report = self.report_of(run, task, worker_id.clone(), state);
        if let Some(held) = held {
            self.answer_withdrawers(&held.withdrawers, &report);
        }
        let kept = runs::FinishedRun {
            worker_id: worker_id.clone(),
            report: report.clone(),
        };
        self.runs.finished.insert(run, kept);
        self.outbox.push(report);
    }

    /// Waits for the result to be delivered again, and gives the run up after a few deliveries.
    fn damaged(&mut self, worker_id: &model::WorkerId, finished: model::FinishedRun) {
        self.metrics.count("retry.result_damaged");
        let run = finished.run;
        let deliveries = self.runs.damaged.entry(run).or_default();
        *deliveries += 1;
        if *deliveries < MAX_DAMAGED {
            return;
        }
        self.runs.damaged.swap_remove(&run);
        self.fleet.release(run);
        let held = self.runs.live.swap_remove(&run);
        let task = held.as_ref().map(|held| held.start.task.clone());
        let task = task.or(finished.task);
        let report = self.report_of(run, task, worker_id.clone(), model::RunState::Lost);
        if let Some(held) = held {
            self.answer_withdrawers(&held.withdrawers, &report);
        }
        let kept = runs::FinishedRun {
            worker_id: worker_id.clone(),
            report: report.clone(),
        };
        self.runs.finished.insert(run, kept);
        self.outbox.push(report);
    }

    /// Forgets finished runs that the worker no longer repeats.
    fn prune_finished(&mut self, worker_id: &str, named: &[model::TaskAttempt], claim: bool) {
        if !claim {
            return;
        }
        self.runs
            .finished
            .retain(|run, kept| *kept.worker_id != *worker_id || named.contains(run));
    }

    /// Sends the starts of this batch, one order for each worker.
    pub(super) fn flush_starts(&mut self, now: time::Instant) {
        let mut orders: IndexMap<model::WorkerId, Vec<model::StartRun>> = IndexMap::new();
        for run in std::mem::take(&mut self.runs.unsent) {
            if let Some(held) = self.runs.live.get(&run) {
                let starts = orders.entry(held.worker_id.clone()).or_default();
                starts.push(held.start.clone());
            }
        }
        for (worker_id, starts) in orders {
            self.send_starts(worker_id, starts, now);
        }
    }

    fn send_starts(
        &mut self,
        worker_id: model::WorkerId,
        starts: Vec<model::StartRun>,
        now: time::Instant,
    ) {
        let Some(right) = self.leases.may_start(&worker_id, now) else {
            for start in starts {
                self.start_not_sent(start.run, now);
            }
            return;
        };
        for start in &starts {
            if let Some(held) = self.runs.live.get_mut(&start.run) {
                held.state = runs::StartState::Sent;
                held.incarnation = right.incarnation;
            }
        }
        let request = model::StartRequest {
            instance_id: self.own_id().clone(),
            epoch: right.epoch,
            incarnation: right.incarnation,
            runs: starts,
        };
        self.effect(effect::Effect::Start {
            worker_id,
            address: right.address,
            request,
        });
    }

    fn start_not_sent(&mut self, run: model::TaskAttempt, now: time::Instant) {
        let Some(held) = self.runs.live.get_mut(&run) else {
            return;
        };
        if held.doubted {
            held.state = runs::StartState::Doubtful {
                retry_at: now + START_PAUSE,
            };
        } else {
            self.metrics.count("retry.start_without_lease");
            self.end_run(run, model::RunState::NeverStarted);
        }
    }

    /// Takes the end of a start order.
    pub(super) fn start_ended(
        &mut self,
        worker_id: &model::WorkerId,
        epoch: model::Epoch,
        runs: &[model::TaskAttempt],
        result: Result<model::StartReply, input::CallError>,
        now: time::Instant,
    ) {
        match result {
            Ok(reply) if reply.verdicts.len() == runs.len() => {
                for (run, verdict) in runs.iter().zip(reply.verdicts) {
                    self.start_verdict(*run, verdict, now);
                }
            }
            Err(input::CallError::NotHandled) => {
                self.metrics.count("retry.start_not_sent");
                for run in runs {
                    self.start_not_sent(*run, now);
                }
            }
            Ok(_) | Err(input::CallError::Unanswered) => {
                self.metrics.count("retry.start_unanswered");
                log::warn!("start unanswered worker={worker_id} epoch={epoch}");
                for run in runs {
                    self.doubt_start(*run, now);
                }
            }
        }
    }

    fn doubt_start(&mut self, run: model::TaskAttempt, now: time::Instant) {
        if let Some(held) = self.runs.live.get_mut(&run) {
            held.doubted = true;
            if held.state == runs::StartState::Sent {
                held.state = runs::StartState::Doubtful {
                    retry_at: now + START_PAUSE,
                };
            }
        }
    }

    fn start_verdict(
        &mut self,
        run: model::TaskAttempt,
        verdict: model::StartVerdict,
        now: time::Instant,
    ) {
        let Some(held) = self.runs.live.get_mut(&run) else {
            return;
        };
        match verdict {
            model::StartVerdict::Started => held.state = runs::StartState::Confirmed,
            model::StartVerdict::StaleEpoch | model::StartVerdict::WrongIncarnation
                if held.doubted =>
            {
                // An earlier copy may have been accepted: the next claim tells.
                held.state = runs::StartState::Doubtful {
                    retry_at: now + START_PAUSE,
                };
            }
            model::StartVerdict::Tombstoned
            | model::StartVerdict::StaleEpoch
            | model::StartVerdict::WrongIncarnation
            | model::StartVerdict::Full
            | model::StartVerdict::Leaving => {
                self.metrics.count("retry.start_refused");
                log::info!("start refused task={} verdict={verdict:?}", run.task_id);
                self.end_run(run, model::RunState::NeverStarted);
            }
        }
    }

    /// Sends doubtful starts again.
    pub(super) fn retry_starts(&mut self, now: time::Instant) {
        let due = self.runs.live.iter().filter(|(_, held)| {
            matches!(held.state, runs::StartState::Doubtful { retry_at } if retry_at <= now)
        });
        let due: Vec<_> = due.map(|(run, _)| *run).collect();
        self.runs.unsent.extend(due);
        self.runs.forget_forbidden(now);
    }

    /// Stops a run on a worker of this instance, or makes sure that it never starts here.
    pub(super) fn withdraw_here(
        &mut self,
        run: model::TaskAttempt,
        ticket: Option<input::Ticket>,
        now: time::Instant,
    ) {
        let withdrawer = ticket.map_or(runs::Withdrawer::Here, runs::Withdrawer::Peer);
        if let Some(kept) = self.runs.finished.get(&run) {
            let report = kept.report.clone();
            self.answer_withdrawers(&[withdrawer], &report);
            return;
        }
        let Some(held) = self.runs.live.get_mut(&run) else {
            let until = now + 2 * self.settings.owner.offer_validity;
            self.runs.forbid(run, until);
            let state = model::RunState::NeverStarted;
            let report = self.report_of(run, None, "".into(), state);
            self.answer_withdrawers(&[withdrawer], &report);
            return;
        };
        held.withdrawers.push(withdrawer);
        let worker_id = held.worker_id.clone();
        self.order(worker_id, run, effect::RunOrder::Stop, now);
    }

    fn order(
        &mut self,
        worker_id: model::WorkerId,
        run: model::TaskAttempt,
        order: effect::RunOrder,
        now: time::Instant,
    ) {
        let Some(right) = self.leases.may_order(&worker_id) else {
            let stale = Ok(model::StopReply::StaleEpoch);
            self.stop_ended(&worker_id, run, stale, now);
            return;
        };
        self.effect(effect::Effect::Order {
            worker_id,
            address: right.address,
            run,
            epoch: right.epoch,
            order,
        });
    }

    /// Takes the end of a stop or checkpoint order.
    pub(super) fn stop_ended(
        &mut self,
        worker_id: &model::WorkerId,
        run: model::TaskAttempt,
        result: Result<model::StopReply, input::CallError>,
        now: time::Instant,
    ) {
        match result {
            Ok(model::StopReply::NeverStarted) => {
                self.end_run(run, model::RunState::NeverStarted);
            }
            Ok(model::StopReply::Stopped) => self.end_run(run, model::RunState::Stopped),
            Ok(model::StopReply::Finished(finished)) => {
                self.run_finished(worker_id, finished, now);
            }
            Ok(model::StopReply::StaleEpoch) | Err(_) => {
                self.metrics.count("retry.stop_failed");
                self.withdraw_failed(run, now);
            }
        }
    }

    fn withdraw_failed(&mut self, run: model::TaskAttempt, now: time::Instant) {
        let Some(held) = self.runs.live.get_mut(&run) else {
            return;
        };
        for withdrawer in std::mem::take(&mut held.withdrawers) {
            match withdrawer {
                runs::Withdrawer::Here => {
                    let holder = self.own_id().clone();
                    let event = owner::Event::WithdrawFailed { run, holder };
                    self.owner_event(event, now);
                }
                runs::Withdrawer::Peer(ticket) => self.effect(effect::Effect::Respond {
                    ticket,
                    response: model::PeerResponse::NotOwner,
                }),
            }
        }
    }

    fn answer_withdrawers(&mut self, withdrawers: &[runs::Withdrawer], report: &model::RunReport) {
        for withdrawer in withdrawers {
            match withdrawer {
                runs::Withdrawer::Here => self.runs.withdrawn.push(report.clone()),
                runs::Withdrawer::Peer(ticket) => self.effect(effect::Effect::Respond {
                    ticket: *ticket,
                    response: model::PeerResponse::Withdrawn(report.clone()),
                }),
            }
        }
    }

    /// Passes the ends of local withdrawals to the owner decisions.
    pub(super) fn flush_withdrawn(&mut self, now: time::Instant) {
        for report in std::mem::take(&mut self.runs.withdrawn) {
            self.owner_event(owner::Event::Withdrawn(report), now);
        }
    }

    /// Lets the fleet decide about throttles, checkpoints and stops.
    pub(super) fn tick_fleet(&mut self, now: time::Instant) {
        let short_waiting = self.queue.short_waiting(now);
        let orders = self.fleet.tick(short_waiting, now);
        self.order_all(orders);
    }

    fn order_all(&mut self, orders: Vec<place::Control>) {
        for order in orders {
            let (run, worker_id, order) = match order {
                place::Control::Throttle {
                    run,
                    worker_id,
                    percent,
                } => (run, worker_id, effect::RunOrder::Throttle { percent }),
                place::Control::Checkpoint { run, worker_id } => {
                    (run, worker_id, effect::RunOrder::Checkpoint)
                }
                place::Control::Stop { run, worker_id } => (run, worker_id, effect::RunOrder::Stop),
            };
            self.metrics.count(match order {
                effect::RunOrder::Throttle { .. } => "run.throttled",
                effect::RunOrder::Checkpoint => "run.checkpointed",
                effect::RunOrder::Stop => "run.overrun_stopped",
            });
            if let Some(right) = self.leases.may_order(&worker_id) {
                self.effect(effect::Effect::Order {
                    worker_id,
                    address: right.address,
                    run,
                    epoch: right.epoch,
                    order,
                });
            }
        }
    }

    /// Keeps new work off a worker that itself or the platform's list calls leaving.
    pub(super) fn update_leaving(&mut self, worker_id: &model::WorkerId) {
        let Some(worker) = self.workers.get(worker_id) else {
            return;
        };
        let leaving = worker.leaving || self.listed_leaving.contains(worker_id);
        self.fleet.set_leaving(worker_id, leaving);
    }

    /// Closes older generations and returns what is known of the partitions.
    pub(super) fn fence_here(
        &mut self,
        partitions: &[(model::Partition, model::Generation)],
    ) -> model::FenceAck {
        let fenced: IndexSet<_> = partitions.iter().map(|(partition, _)| *partition).collect();
        for (partition, generation) in partitions {
            self.fences.raise(*partition, *generation);
        }
        let concerns =
            |run: &model::TaskAttempt| fenced.contains(&model::partition_of(run.task_id));
        let live = self.runs.live.iter().filter(|(run, _)| concerns(run));
        let mut reports: Vec<_> = live
            .map(|(run, held)| {
                let task = Some(held.start.task.clone());
                let state = model::RunState::Running { running_ms: 0 };
                self.report_of(*run, task, held.worker_id.clone(), state)
            })
            .collect();
        let finished = self.runs.finished.iter().filter(|(run, _)| concerns(run));
        let whole = finished
            .map(|(_, kept)| &kept.report)
            .filter(|report| matches!(report.state, model::RunState::Finished(_)));
        reports.extend(whole.cloned());
        model::FenceAck {
            runs: reports,
            workers: self.leases.held().cloned().collect(),
            held_elsewhere: self
                .leases
                .held_elsewhere()
                .map(|(worker, holder)| (worker.clone(), holder.clone()))
                .collect(),
            grants: self.shares.held(),
        }
    }
}
