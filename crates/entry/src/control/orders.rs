//! Stops, checkpoints and throttles of runs, and withdrawals by owners.

use std::time;

use crate::control::effect;
use crate::control::input;
use crate::control::runs;
use crate::control::state;

impl state::Control {
    /// Stops a run on a worker of this instance, or forbids its start if the run is unknown here.
    pub(super) fn withdraw_local(
        &mut self,
        run: model::TaskAttempt,
        request_id: Option<input::RequestId>,
        now: time::Instant,
    ) {
        let withdrawer = request_id.map_or(runs::Withdrawer::Local, runs::Withdrawer::Peer);
        if let Some(unacknowledged) = self.runs.finished.get(&run) {
            let report = unacknowledged.report.clone();
            self.answer_withdrawers(&[withdrawer], &report);
            return;
        }
        let Some(worker_run) = self.runs.live.get_mut(&run) else {
            let until = now + 2 * self.settings.owner.offer_validity;
            self.runs.forbid(run, until);
            let state = model::RunState::NeverStarted;
            let report = self.build_report(run, None, "".into(), state);
            self.answer_withdrawers(&[withdrawer], &report);
            return;
        };
        worker_run.withdrawers.push(withdrawer);
        let worker_id = worker_run.worker_id.clone();
        self.send_run_order(worker_id, run, effect::RunOrder::Stop, now);
    }

    fn send_run_order(
        &mut self,
        worker_id: model::WorkerId,
        run: model::TaskAttempt,
        order: effect::RunOrder,
        now: time::Instant,
    ) {
        let Some(target) = self.leases.order_target(&worker_id) else {
            let stale = Ok(model::StopReply::StaleEpoch);
            self.on_stop_ended(&worker_id, run, stale, now);
            return;
        };
        self.push_effect(effect::Effect::Order {
            worker_id,
            address: target.address,
            run,
            epoch: target.epoch,
            order,
        });
    }

    /// Handles the result of a stop or checkpoint order.
    pub(super) fn on_stop_ended(
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
                self.on_run_finished(worker_id, finished, now);
            }
            Ok(model::StopReply::StaleEpoch) | Err(_) => {
                self.metrics.count("retry.stop_failed");
                self.on_withdraw_failed(run, now);
            }
        }
    }

    fn on_withdraw_failed(&mut self, run: model::TaskAttempt, now: time::Instant) {
        let Some(worker_run) = self.runs.live.get_mut(&run) else {
            return;
        };
        for withdrawer in std::mem::take(&mut worker_run.withdrawers) {
            match withdrawer {
                runs::Withdrawer::Local => {
                    let holder = self.own_id().clone();
                    let event = owner::Event::WithdrawFailed { run, holder };
                    self.owner_event(event, now);
                }
                runs::Withdrawer::Peer(request_id) => self.push_effect(effect::Effect::Respond {
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
                runs::Withdrawer::Local => self.runs.withdrawn.push(report.clone()),
                runs::Withdrawer::Peer(request_id) => self.push_effect(effect::Effect::Respond {
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
        let commands = self.fleet.tick(short_waiting, now);
        self.send_run_commands(commands);
    }

    pub(super) fn send_run_commands(&mut self, commands: Vec<place::RunCommand>) {
        for command in commands {
            let (run, worker_id, order) = match command {
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
            if let Some(target) = self.leases.order_target(&worker_id) {
                self.push_effect(effect::Effect::Order {
                    worker_id,
                    address: target.address,
                    run,
                    epoch: target.epoch,
                    order,
                });
            }
        }
    }
}
