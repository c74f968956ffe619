//! Stops, checkpoints and throttles of runs, and withdrawals by owners.

use std::time;

use crate::control::effect;
use crate::control::input;
use crate::control::runs;
use crate::control::state;

impl state::Control {
    /// Stops a run on a worker of this instance, or forbids its start if the run is unknown here.
    pub(super) fn withdraw_here(
        &mut self,
        run: model::TaskAttempt,
        request_id: Option<input::RequestId>,
        now: time::Instant,
    ) {
        let withdrawer = request_id.map_or(runs::Withdrawer::Here, runs::Withdrawer::Peer);
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
        let Some(right) = self.leases.order_target(&worker_id) else {
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

    /// Handles the result of a stop or checkpoint order.
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
                runs::Withdrawer::Peer(request_id) => self.effect(effect::Effect::Respond {
                    request_id,
                    response: model::PeerResponse::NotOwner,
                }),
            }
        }
    }

    pub(super) fn answer_withdrawers(
        &mut self,
        withdrawers: &[runs::Withdrawer],
        report: &model::RunReport,
    ) {
        for withdrawer in withdrawers {
            match withdrawer {
                runs::Withdrawer::Here => self.runs.withdrawn.push(report.clone()),
                runs::Withdrawer::Peer(request_id) => self.effect(effect::Effect::Respond {
                    request_id: *request_id,
                    response: model::PeerResponse::Withdrawn(report.clone()),
                }),
            }
        }
    }

    /// Passes the results of local withdrawals to the owner state machine.
    pub(super) fn flush_withdrawn(&mut self, now: time::Instant) {
        for report in std::mem::take(&mut self.runs.withdrawn) {
            self.owner_event(owner::Event::Withdrawn(report), now);
        }
    }

    /// Runs the fleet's periodic decisions on throttles, checkpoints and stops.
    pub(super) fn tick_fleet(&mut self, now: time::Instant) {
        let short_waiting = self.queue.short_waiting(now);
        let orders = self.fleet.tick(short_waiting, now);
        self.order_all(orders);
    }

    pub(super) fn order_all(&mut self, orders: Vec<place::RunCommand>) {
        for order in orders {
            let (run, worker_id, order) = match order {
                place::RunCommand::Throttle {
                    run,
                    worker_id,
                    percent,
                } => (run, worker_id, effect::RunOrder::Throttle { percent }),
                place::RunCommand::Checkpoint { run, worker_id } => {
                    (run, worker_id, effect::RunOrder::Checkpoint)
                }
                place::RunCommand::Stop { run, worker_id } => {
                    (run, worker_id, effect::RunOrder::Stop)
                }
            };
            self.metrics.count(match order {
                effect::RunOrder::Throttle { .. } => "run.throttled",
                effect::RunOrder::Checkpoint => "run.checkpointed",
                effect::RunOrder::Stop => "run.overrun_stopped",
            });
            if let Some(right) = self.leases.order_target(&worker_id) {
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
}
