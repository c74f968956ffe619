//! Starts of runs, and retries of starts without a reply.

use std::time;

use indexmap::IndexMap;

use crate::control::effect;
use crate::control::input;
use crate::control::runs;
use crate::control::state;

/// Delay before a start without a reply is sent again.
const START_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

impl state::Control {
    /// Sends the starts of this batch, one request for each worker.
    pub(super) fn flush_starts(&mut self, now: time::Instant) {
        let mut orders: IndexMap<model::WorkerId, Vec<model::StartRun>> = IndexMap::new();
        for run in std::mem::take(&mut self.runs.unsent) {
            if let Some(worker_run) = self.runs.live.get(&run) {
                let starts = orders.entry(worker_run.worker_id.clone()).or_default();
                starts.push(worker_run.start.clone());
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
        let Some(target) = self.leases.start_target(&worker_id, now) else {
            for start in starts {
                self.on_start_not_sent(start.run, now);
            }
            return;
        };
        for start in &starts {
            if let Some(worker_run) = self.runs.live.get_mut(&start.run) {
                worker_run.state = runs::StartState::Sent;
                worker_run.incarnation = target.incarnation;
            }
        }
        let request = model::StartRequest {
            instance_id: self.own_id().clone(),
            epoch: target.epoch,
            incarnation: target.incarnation,
            runs: starts,
        };
        self.push_effect(effect::Effect::Start {
            worker_id,
            address: target.address,
            request,
        });
    }

    fn on_start_not_sent(&mut self, run: model::TaskAttempt, now: time::Instant) {
        let Some(worker_run) = self.runs.live.get_mut(&run) else {
            return;
        };
        if worker_run.has_unanswered_start {
            worker_run.state = runs::StartState::Unconfirmed {
                retry_at: now + START_RETRY_DELAY,
            };
        } else {
            self.metrics.count("retry.start_without_lease");
            self.end_run(run, model::RunState::NeverStarted);
        }
    }

    /// Handles the result of a start request.
    pub(super) fn on_start_ended(
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
                    self.on_start_verdict(*run, verdict, now);
                }
            }
            Err(input::CallError::NotHandled) => {
                self.metrics.count("retry.start_not_sent");
                for run in runs {
                    self.on_start_not_sent(*run, now);
                }
            }
            Ok(_) | Err(input::CallError::Unanswered) => {
                self.metrics.count("retry.start_unanswered");
                log::warn!("no reply to the start of runs worker={worker_id} epoch={epoch}");
                for run in runs {
                    self.on_start_unanswered(*run, now);
                }
            }
        }
    }

    fn on_start_unanswered(&mut self, run: model::TaskAttempt, now: time::Instant) {
        if let Some(worker_run) = self.runs.live.get_mut(&run) {
            worker_run.has_unanswered_start = true;
            if worker_run.state == runs::StartState::Sent {
                worker_run.state = runs::StartState::Unconfirmed {
                    retry_at: now + START_RETRY_DELAY,
                };
            }
        }
    }

    fn on_start_verdict(
        &mut self,
        run: model::TaskAttempt,
        verdict: model::StartVerdict,
        now: time::Instant,
    ) {
        let Some(worker_run) = self.runs.live.get_mut(&run) else {
            return;
        };
        match verdict {
            model::StartVerdict::Started => worker_run.state = runs::StartState::Confirmed,
            model::StartVerdict::StaleEpoch | model::StartVerdict::WrongIncarnation
                if worker_run.has_unanswered_start =>
            {
                // An earlier copy of the start may have been accepted; the next claim shows
                // whether the worker runs it.
                worker_run.state = runs::StartState::Unconfirmed {
                    retry_at: now + START_RETRY_DELAY,
                };
            }
            model::StartVerdict::Tombstoned
            | model::StartVerdict::StaleEpoch
            | model::StartVerdict::WrongIncarnation
            | model::StartVerdict::Full
            | model::StartVerdict::Leaving => {
                self.metrics.count("retry.start_refused");
                log::info!(
                    "start rejected by the worker task={} verdict={verdict:?}",
                    run.task_id
                );
                self.end_run(run, model::RunState::NeverStarted);
            }
        }
    }

    /// Schedules starts without a reply to be sent again, and removes expired bans on starts.
    pub(super) fn retry_starts(&mut self, now: time::Instant) {
        let due = self.runs.live.iter().filter(|(_, worker_run)| {
            matches!(worker_run.state, runs::StartState::Unconfirmed { retry_at } if retry_at <= now)
        });
        let due: Vec<_> = due.map(|(run, _)| *run).collect();
        self.runs.unsent.extend(due);
        self.runs.forget_forbidden(now);
    }
}
