//! Handlers of offers, withdrawals and ended runs.

use model::Attempt;
use model::InstanceId;
use model::RunReport;
use model::RunState;
use model::TaskAttempt;
use model::TaskId;
use model::UnknownReason;
use model::WorkerId;

use crate::Action;
use crate::Owner;
use crate::RunSummary;
use crate::task_record;

/// Delay before a withdrawal that failed is resent.
const WITHDRAW_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(100);

impl Owner {
    /// Returns the runs of a task if `attempt` is current and active.
    fn active_runs(
        &mut self,
        task_id: TaskId,
        attempt: Attempt,
    ) -> Option<&mut Vec<task_record::MemberRun>> {
        let record = self.tasks.get_mut(&task_id)?;
        if record.attempt != attempt {
            return None;
        }
        record.runs_mut()
    }

    pub(crate) fn dispatched(
        &mut self,
        task_id: TaskId,
        attempt: Attempt,
        members: &[u16],
        holder: &InstanceId,
    ) {
        let Some(record) = self.tasks.get_mut(&task_id) else {
            return;
        };
        if record.attempt != attempt {
            return;
        }
        if record.is_queued() {
            record.holds_resources = true;
            record.state = task_record::State::Active(pending_runs(&record.task));
        }
        let Some(runs) = record.runs_mut() else {
            return;
        };
        for member in members {
            let Some(run) = runs.get_mut(usize::from(*member)) else {
                continue;
            };
            if matches!(run.phase, task_record::Phase::Pending) {
                run.phase = task_record::Phase::Offered;
                run.holder = Some(holder.clone());
            }
        }
    }

    pub(crate) fn offer_accepted(
        &mut self,
        task_id: TaskId,
        attempt: Attempt,
        members: &[u16],
        holder: &InstanceId,
        workers: &[WorkerId],
    ) {
        let now = self.now;
        let Some(runs) = self.active_runs(task_id, attempt) else {
            return;
        };
        for (member, worker) in members.iter().zip(workers) {
            let Some(run) = runs.get_mut(usize::from(*member)) else {
                continue;
            };
            let offered = matches!(run.phase, task_record::Phase::Offered);
            if offered && run.holder.as_ref() == Some(holder) {
                run.phase = task_record::Phase::Running;
                run.worker_id = Some(worker.clone());
            }
        }
        if let Some(record) = self.tasks.get_mut(&task_id) {
            record
                .queue_wait
                .get_or_insert(now.duration_since(record.accepted_at));
        }
        self.evaluate_after_offer(task_id);
    }

    pub(crate) fn offer_refused(
        &mut self,
        task_id: TaskId,
        attempt: Attempt,
        members: &[u16],
        holder: &InstanceId,
    ) {
        if !self.tasks.contains_key(&task_id) {
            // The caller has queued it again before it passed this event, but the task is settled
            // or owned elsewhere.
            self.actions.push(Action::Unqueue { task_id });
        }
        let Some(runs) = self.active_runs(task_id, attempt) else {
            return;
        };
        let is_gang = runs.len() > 1;
        let mut refused = false;
        for member in members {
            let Some(run) = runs.get_mut(usize::from(*member)) else {
                continue;
            };
            let offered = matches!(run.phase, task_record::Phase::Offered);
            if offered && run.holder.as_ref() == Some(holder) {
                run.phase = task_record::Phase::NeverStarted;
                refused = true;
            }
        }
        if is_gang {
            self.evaluate_after_offer(task_id);
        } else if refused {
            self.handle_requeued_by_caller(task_id);
        }
    }

    /// Updates the state of a refused task that the caller has queued again before it passed
    /// `OfferRefused`.
    fn handle_requeued_by_caller(&mut self, task_id: TaskId) {
        self.free_resources(task_id);
        let Some(record) = self.tasks.get_mut(&task_id) else {
            return;
        };
        record.state = task_record::State::Queued;
        let cancelled = record.cancelled;
        let serving = self.serves(model::partition_of(task_id));
        if cancelled || !serving {
            self.actions.push(Action::Unqueue { task_id });
        }
        if cancelled {
            self.settle_unstarted(task_id, model::NotRunReason::Cancelled);
        }
    }

    pub(crate) fn offer_lost(
        &mut self,
        task_id: TaskId,
        attempt: Attempt,
        members: &[u16],
        holder: &InstanceId,
    ) {
        let now = self.now;
        let Some(runs) = self.active_runs(task_id, attempt) else {
            return;
        };
        for member in members {
            let Some(run) = runs.get_mut(usize::from(*member)) else {
                continue;
            };
            let offered = matches!(run.phase, task_record::Phase::Offered);
            if offered && run.holder.as_ref() == Some(holder) {
                run.phase = task_record::Phase::Unresolved;
                run.request_withdrawal(now);
            }
        }
        self.update_task_runs_of_dead_holders(task_id);
        self.evaluate_after_offer(task_id);
    }

    /// Continues a task after one of its offers was answered or lost.
    fn evaluate_after_offer(&mut self, task_id: TaskId) {
        let now = self.now;
        let Some(record) = self.tasks.get_mut(&task_id) else {
            return;
        };
        if record.cancelled {
            for run in record.runs_mut().into_iter().flatten() {
                run.request_withdrawal(now);
            }
        }
        self.evaluate(task_id);
    }

    /// Advances a task according to the phases of its runs.
    pub(crate) fn evaluate(&mut self, task_id: TaskId) {
        let now = self.now;
        let Some(record) = self.tasks.get_mut(&task_id) else {
            return;
        };
        let task_record::State::Active(runs) = &mut record.state else {
            self.evaluate_unstarted(task_id);
            return;
        };
        if runs.iter().any(task_record::MemberRun::has_failed) {
            for run in runs.iter_mut() {
                run.request_withdrawal(now);
            }
        }
        if runs.iter().all(task_record::MemberRun::is_terminal) {
            self.resolve(task_id);
            return;
        }
        let requested = |run: &task_record::MemberRun| {
            matches!(run.withdrawal, task_record::Withdrawal::Requested(_))
        };
        if runs.iter().any(requested) {
            self.withdrawing.insert(task_id);
        }
    }

    fn evaluate_unstarted(&mut self, task_id: TaskId) {
        let Some(record) = self.tasks.get(&task_id) else {
            return;
        };
        if !record.cancelled || matches!(record.state, task_record::State::Retracting(_)) {
            return;
        }
        if record.is_queued() {
            self.actions.push(Action::Unqueue { task_id });
        }
        self.settle_unstarted(task_id, model::NotRunReason::Cancelled);
    }

    /// Settles a task, or queues its next attempt, once all its runs are in a final phase.
    fn resolve(&mut self, task_id: TaskId) {
        let Some(record) = self.tasks.get(&task_id) else {
            return;
        };
        let runs = record.runs();
        let finished =
            |run: &task_record::MemberRun| matches!(run.phase, task_record::Phase::Finished(_));
        let never_started =
            |run: &task_record::MemberRun| matches!(run.phase, task_record::Phase::NeverStarted);
        let failed = runs.iter().any(task_record::MemberRun::has_failed);
        if runs.iter().all(finished) && !failed {
            self.settle_done(task_id);
        } else if runs.iter().all(never_started) {
            self.resolve_never_started(task_id);
        } else {
            self.resolve_failed(task_id);
        }
    }

    fn resolve_never_started(&mut self, task_id: TaskId) {
        let record = self.tasks.get(&task_id);
        if record.is_some_and(|record| record.cancelled) {
            self.settle_unstarted(task_id, model::NotRunReason::Cancelled);
        } else {
            self.requeue(task_id);
        }
    }

    fn resolve_failed(&mut self, task_id: TaskId) {
        let max_attempts = self.settings.max_attempts;
        let Some(record) = self.tasks.get_mut(&task_id) else {
            return;
        };
        record.mark_may_have_run(UnknownReason::WorkerLost);
        let checkpoint = match record.runs() {
            [run] => match &run.phase {
                task_record::Phase::Finished(run) => run.checkpoint.clone(),
                _ => None,
            },
            _ => None,
        };
        let outcome = if record.cancelled {
            Some(UnknownReason::CancelledWhileRunning)
        } else if checkpoint.is_some() {
            record.checkpoint = checkpoint;
            None
        } else if !record.task.spec.repeatable {
            Some(UnknownReason::WorkerLost)
        } else {
            record.failures += 1;
            let is_service = record.task.spec.class == model::Class::Service;
            let exhausted = record.failures >= max_attempts && !is_service;
            exhausted.then_some(UnknownReason::AttemptsExhausted)
        };
        match outcome {
            Some(reason) => self.settle(task_id, model::Outcome::Unknown(reason)),
            None => self.requeue(task_id),
        }
    }

    /// Sends the withdrawals that are due.
    pub(crate) fn send_withdrawals(&mut self) {
        let now = self.now;
        let mut done = Vec::new();
        for task_id in &self.withdrawing {
            let Some(record) = self.tasks.get_mut(task_id) else {
                done.push(*task_id);
                continue;
            };
            let attempt = record.attempt;
            let mut has_unsent = false;
            for (member, run) in (0..).zip(record.runs_mut().into_iter().flatten()) {
                if !has_unsent_withdrawal(run) {
                    continue;
                }
                let due =
                    matches!(run.withdrawal, task_record::Withdrawal::Requested(at) if at <= now);
                let Some(holder) = run.holder.clone().filter(|_| due && can_withdraw(run)) else {
                    has_unsent = true;
                    continue;
                };
                run.withdrawal = task_record::Withdrawal::Sent;
                self.actions.push(Action::Withdraw {
                    holder,
                    run: TaskAttempt {
                        task_id: *task_id,
                        member,
                        attempt,
                    },
                });
            }
            if !has_unsent {
                done.push(*task_id);
            }
        }
        for task_id in done {
            self.withdrawing.swap_remove(&task_id);
        }
    }

    pub(crate) fn withdraw_failed(&mut self, run: TaskAttempt, holder: &InstanceId) {
        let retry_at = self.now + WITHDRAW_RETRY_DELAY;
        let Some(runs) = self.active_runs(run.task_id, run.attempt) else {
            return;
        };
        let Some(member_run) = runs.get_mut(usize::from(run.member)) else {
            return;
        };
        let sent = member_run.withdrawal == task_record::Withdrawal::Sent;
        if sent && member_run.holder.as_ref() == Some(holder) {
            member_run.withdrawal = task_record::Withdrawal::Requested(retry_at);
            self.withdrawing.insert(run.task_id);
        }
    }

    pub(crate) fn withdrawn(&mut self, report: RunReport) {
        let run = report.run;
        let holder = report.holder.clone();
        if matches!(report.state, RunState::Running { .. }) {
            self.handle_reports(vec![report]);
            self.withdraw_failed(run, &holder);
            return;
        }
        let resolves = self
            .active_runs(run.task_id, run.attempt)
            .is_some_and(|runs| {
                let member_run = runs.get_mut(usize::from(run.member));
                member_run.is_some_and(|member_run| {
                    let sent = member_run.withdrawal == task_record::Withdrawal::Sent;
                    let unresolved = matches!(member_run.phase, task_record::Phase::Unresolved);
                    sent && unresolved && member_run.holder.as_ref() == Some(&holder)
                })
            });
        if resolves {
            self.resolve_offer(&report);
        } else {
            self.handle_reports(vec![report]);
        }
        // The run is withdrawn again if it is still not in a final phase, because the answer was
        // inconclusive or crossed a change of the run.
        self.withdraw_failed(run, &holder);
    }

    /// Uses the holder's answer to a withdrawal to resolve an offer whose reply was lost.
    fn resolve_offer(&mut self, report: &RunReport) {
        let run = report.run;
        let missing = self.new_missing_run(true, true);
        let Some(runs) = self.active_runs(run.task_id, run.attempt) else {
            return;
        };
        let Some(member_run) = runs.get_mut(usize::from(run.member)) else {
            return;
        };
        match &report.state {
            RunState::NeverStarted => member_run.phase = task_record::Phase::NeverStarted,
            RunState::Stopped => member_run.phase = task_record::Phase::EndedWithoutResult,
            RunState::Lost => {
                member_run.worker_id = Some(report.worker_id.clone()).filter(|id| !id.is_empty());
                member_run.phase = task_record::Phase::Missing(missing);
                self.search_missing_runs(run.task_id);
            }
            RunState::Finished(_) | RunState::Running { .. } => {
                self.handle_reports(vec![report.clone()]);
                return;
            }
        }
        self.evaluate(run.task_id);
    }

    pub(crate) fn add_run_summary(&mut self, report: &RunReport, finished: &model::FinishedRun) {
        if let Some(record) = self.tasks.get_mut(&report.run.task_id) {
            record.run_summaries.push(RunSummary {
                run: report.run,
                worker_id: report.worker_id.clone(),
                run_ms: finished.run_ms,
                peak: finished.peak,
                succeeded: finished.succeeded,
                worker_fault: finished.worker_fault,
            });
        }
    }
}

pub(crate) fn pending_runs(task: &model::Task) -> Vec<task_record::MemberRun> {
    let count = task.spec.members.max(1);
    (0..count)
        .map(|_| task_record::MemberRun::pending())
        .collect()
}

fn has_unsent_withdrawal(run: &task_record::MemberRun) -> bool {
    !run.is_terminal() && matches!(run.withdrawal, task_record::Withdrawal::Requested(_))
}

/// Returns whether a withdrawal would be conclusive, which it is not while the offer is
/// outstanding.
fn can_withdraw(run: &task_record::MemberRun) -> bool {
    matches!(
        run.phase,
        task_record::Phase::Unresolved | task_record::Phase::Running
    )
}
