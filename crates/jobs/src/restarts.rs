//! Workers that restart under the id that they had.
//!
//! Orders name a worker by its id. They are sent on connections that lead to the incarnation that they
//! are for, but a worker may execute an order late, after it has restarted: the next incarnation has seen
//! no term and no stop order, and its clock has started anew, so that it rejects none. Runs that such
//! orders may start belong to the next incarnation until it shows that they are not there.

use std::time;

use crate::event;
use crate::job;
use crate::loss_reason;
use crate::scheduler;
use crate::settings;
use crate::worker;

/// Longest delay with which a worker executes an order that was not answered.
pub(crate) const MAX_ORDER_DELAY: time::Duration = time::Duration::from_secs(12);
/// Longest time from the decision of an order to its execution if it is not executed late: instances begin
/// a call within 900 ms (`SILENCE_LIMIT` of the controller's relays), and send the order within 300 ms, or
/// 400 ms on a new connection. Those then lead to the incarnation that the order is for, so that this time
/// does not count for the next one.
pub(crate) const MAX_UNDELAYED_CALL: time::Duration = time::Duration::from_millis(1_200);

impl scheduler::Scheduler {
    /// Removes an incarnation whose worker has restarted under its id, which is a crash unless it was
    /// draining.
    pub(crate) fn end_restarted_incarnation(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        successor: &model::WorkerIncarnation,
        clock: event::Clock,
    ) {
        const EVIDENCE: loss_reason::LossReason = loss_reason::LossReason::WorkerRestarted;
        if let Some(worker) = self.workers.get(incarnation) {
            // A renewal in flight may reach the successor.
            let pending = &worker.renewal;
            log::info!(
                worker:% = incarnation.worker_id,
                born_ms = incarnation.born_ms,
                successor_born_ms = successor.born_ms,
                heard_ms_ago = worker.heard_at().map(|at| clock.ms_since(at)),
                renewal_ms_ago = pending.sent_at.map(|at| clock.ms_since(at)),
                renewal_forgets_up_to = pending.forgets_up_to;
                "worker restarted under its id"
            );
        }
        // Before any run is moved: which run may have caused the crash depends on all of them.
        self.record_losses(incarnation, clock);
        self.move_runs(incarnation, successor, clock);
        self.end_incarnation(incarnation, EVIDENCE, clock);
        self.attribute_crash(incarnation, EVIDENCE.describe(), clock);
    }

    /// Ends the incarnations of a worker that were last heard of before a call was sent that `successor` has
    /// answered.
    ///
    /// The call need not have named them: while the directory shows an incarnation that has ended, that one is
    /// called.
    pub(crate) fn end_incarnations_before(
        &mut self,
        successor: &model::WorkerIncarnation,
        sent_at: time::Instant,
        clock: event::Clock,
    ) {
        let before = self.workers.iter().filter(|(one, worker)| {
            one.worker_id == successor.worker_id
                && *one != successor
                && worker.heard_at().is_some_and(|at| at < sent_at)
        });
        let before: Vec<_> = before.map(|(one, _)| one.clone()).collect();
        for old in before {
            self.end_restarted_incarnation(&old, successor, clock);
        }
    }

    /// Moves the runs that a later incarnation may have, or may still start, to that one.
    fn move_runs(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        successor: &model::WorkerIncarnation,
        clock: event::Clock,
    ) {
        let Some(worker) = self.workers.get(incarnation) else {
            return;
        };
        let sent_after = oldest_pending_order(clock);
        let runs = worker
            .runs
            .iter()
            .chain(worker.removed_unanswered(sent_after));
        // All runs on a worker have one lease, which a late renewal for the earlier incarnation extends
        // on the next one.
        let leases_end_at = worker.leases_end_at(&self.settings);
        let are_leases_over = leases_end_at <= clock.now;
        // A run of this leader may have got a lease by an order of an earlier one.
        let are_all_leases_over = are_leases_over && self.earlier_orders_end_at <= clock.now;
        let moved = runs.filter_map(|(key, run)| {
            // When an earlier leader last ordered a run is not known.
            if are_all_leases_over && run.ordered_at.is_some() {
                return None;
            }
            let phase = phase_after_restart(run, clock)?;
            Some((*key, run.clone().moved(phase, clock.now)))
        });
        let moved: Vec<_> = moved.collect();
        let may_have_lease = !moved.is_empty() || !are_leases_over;
        if !may_have_lease && !self.workers.contains_key(successor) {
            return;
        }
        let has_earlier_orders = moved.iter().any(|(_, run)| run.ordered_at.is_none());
        let horizon_end_at = clock.now + successor_horizon(&self.settings);
        let expires_at = match may_have_lease {
            true if has_earlier_orders => leases_end_at.max(horizon_end_at),
            true => leases_end_at.max(horizon_end_at.min(self.earlier_orders_end_at)),
            false => clock.now,
        };
        let unlisted = worker.unlisted_successor(successor, expires_at);
        let report = unlisted.report.clone();
        let target = self.workers.entry(successor.clone()).or_insert(unlisted);
        target.own_expires_at = target.own_expires_at.max(expires_at);
        // An incarnation that is known from stored tasks only cannot be called without an address.
        if target.report.is_none() {
            target.report = report;
        }
        if !moved.is_empty() {
            log::info!(
                worker:% = incarnation.worker_id,
                born_ms = incarnation.born_ms,
                successor_born_ms = successor.born_ms,
                runs = moved.len();
                "runs may be on the next incarnation of a worker"
            );
        }
        self.moved_runs += moved.len() as u64;
        for (key, run) in moved {
            self.move_run(key, run, incarnation, successor, clock);
        }
    }

    fn move_run(
        &mut self,
        key: model::RunKey,
        run: worker::WorkerRun,
        incarnation: &model::WorkerIncarnation,
        successor: &model::WorkerIncarnation,
        clock: event::Clock,
    ) {
        if let Some(worker) = self.workers.get_mut(incarnation) {
            worker.remove_run(&key, &mut self.tenancy.usage);
        }
        let is_stopped = matches!(run.phase, worker::RunPhase::Stopping(_));
        if let Some(worker) = self.workers.get_mut(successor) {
            worker.add_run(key, run, &mut self.tenancy.usage);
        }
        let job_id = key.task.job_id;
        let state = self.jobs.get_mut(&job_id);
        if let Some((_, step)) = state.and_then(|state| state.step_mut(key.task.step_key()))
            && step.move_copy(key, incarnation, successor)
        {
            self.journal.mark_dirty(job_id);
        }
        let state = self.jobs.get_mut(&job_id);
        if let Some((_, step)) = state.and_then(|state| state.step_mut(key.task.step_key()))
            && step.tasks.get(key.task.index as usize).is_some_and(|task| {
                task.last_run == key.run && task.phase == job::Phase::Placed(incarnation.clone())
            })
        {
            step.set_phase(key.task.index, job::Phase::Placed(successor.clone()));
            self.journal.mark_dirty(job_id);
        }
        if is_stopped {
            self.stop_gang_members(key, clock);
        }
    }
}

/// Returns how long after an order was sent every run has certainly ended whose lease the order grants on
/// a later incarnation than it names.
pub(crate) fn successor_horizon(settings: &settings::Settings) -> time::Duration {
    MAX_ORDER_DELAY + settings.max_lease_horizon()
}

/// Returns how long after an order was sent every run has certainly ended whose lease the order grants on
/// a later incarnation than it names, if the network has not delayed the order.
pub(crate) fn undelayed_horizon(settings: &settings::Settings) -> time::Duration {
    MAX_UNDELAYED_CALL + settings.max_lease_horizon()
}

/// Returns since when an order must have been sent to be executed still; `None` for ever.
pub(crate) fn oldest_pending_order(clock: event::Clock) -> Option<time::Instant> {
    clock.now.checked_sub(MAX_ORDER_DELAY)
}

/// Returns the phase of a run on the next incarnation of its worker, or `None` if it cannot be there.
fn phase_after_restart(run: &worker::WorkerRun, clock: event::Clock) -> Option<worker::RunPhase> {
    match run.phase {
        worker::RunPhase::Planned => None,
        // An order of an earlier leader is rejected once this leader has been answered.
        worker::RunPhase::Inherited => Some(worker::RunPhase::Inherited),
        // Every order has been executed, and the listing shows by which incarnation.
        _ if run.is_listed() && !run.unanswered => None,
        worker::RunPhase::Running if !run.unanswered => Some(worker::RunPhase::Inherited),
        // Only a stop order keeps a copy of the start order from being executed later.
        _ => Some(worker::RunPhase::Stopping(clock.now)),
    }
}
