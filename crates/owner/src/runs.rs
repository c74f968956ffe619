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
use crate::RunFacts;
use crate::record;

/// Delay before a withdrawal that failed is resent.
const WITHDRAW_RETRY_AFTER: std::time::Duration = std::time::Duration::from_millis(100);

impl Owner {
    /// Returns the runs of a task if `attempt` is its current, active execution.
    fn active(&mut self, task_id: TaskId, attempt: Attempt) -> Option<&mut Vec<record::MemberRun>> {
        let record = self.tasks.get_mut(&task_id)?;
        if record.attempt != attempt {
            return None;
        }
        record.members_mut()
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
            record.occupied = true;
            record.state = record::State::Active(pending_members(&record.task));
        }
        let Some(runs) = record.members_mut() else {
            return;
        };
        for member in members {
            let Some(run) = runs.get_mut(usize::from(*member)) else {
                continue;
            };
            if matches!(run.phase, record::Phase::Pending) {
                run.phase = record::Phase::Offered;
                run.holder = Some(holder.clone());
            }
        }
    }

    pub(crate) fn offer_taken(
        &mut self,
        task_id: TaskId,
        attempt: Attempt,
        members: &[u16],
        holder: &InstanceId,
        workers: &[WorkerId],
    ) {
        let now = self.now;
        let Some(runs) = self.active(task_id, attempt) else {
            return;
        };
        for (member, worker) in members.iter().zip(workers) {
            let Some(run) = runs.get_mut(usize::from(*member)) else {
                continue;
            };
            let offered = matches!(run.phase, record::Phase::Offered);
            if offered && run.holder.as_ref() == Some(holder) {
                run.phase = record::Phase::Running;
                run.worker_id = Some(worker.clone());
            }
        }
        if let Some(record) = self.tasks.get_mut(&task_id) {
            record
                .waited
                .get_or_insert(now.duration_since(record.accepted_at));
        }
        self.after_offer(task_id);
    }

    pub(crate) fn offer_refused(
        &mut self,
        task_id: TaskId,
        attempt: Attempt,
        members: &[u16],
        holder: &InstanceId,
    ) {
        if !self.tasks.contains_key(&task_id) {
            // The caller of `on` has queued it again, but it is settled or owned elsewhere.
            self.out.push(Action::Unqueue { task_id });
        }
        let Some(runs) = self.active(task_id, attempt) else {
            return;
        };
        let is_gang = runs.len() > 1;
        let mut refused = false;
        for member in members {
            let Some(run) = runs.get_mut(usize::from(*member)) else {
                continue;
            };
            let offered = matches!(run.phase, record::Phase::Offered);
            if offered && run.holder.as_ref() == Some(holder) {
                run.phase = record::Phase::NeverStarted;
                refused = true;
            }
        }
        if is_gang {
            self.after_offer(task_id);
        } else if refused {
            self.back_to_queue(task_id);
        }
    }

    /// Updates the state of a refused task that the caller of `on` has queued again.
    fn back_to_queue(&mut self, task_id: TaskId) {
        self.free(task_id);
        let Some(record) = self.tasks.get_mut(&task_id) else {
            return;
        };
        record.state = record::State::Queued;
        let cancelled = record.cancelled;
        let serving = self.serves(model::partition_of(task_id));
        if cancelled || !serving {
            self.out.push(Action::Unqueue { task_id });
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
        let Some(runs) = self.active(task_id, attempt) else {
            return;
        };
        for member in members {
            let Some(run) = runs.get_mut(usize::from(*member)) else {
                continue;
            };
            let offered = matches!(run.phase, record::Phase::Offered);
            if offered && run.holder.as_ref() == Some(holder) {
                run.phase = record::Phase::Unresolved;
                run.want_withdrawal(now);
            }
        }
        self.suspect_task_of_dead(task_id);
        self.after_offer(task_id);
    }

    /// Continues a task after one of its offers was answered or lost.
    fn after_offer(&mut self, task_id: TaskId) {
        let now = self.now;
        let Some(record) = self.tasks.get_mut(&task_id) else {
            return;
        };
        if record.cancelled {
            for run in record.members_mut().into_iter().flatten() {
                run.want_withdrawal(now);
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
        let record::State::Active(runs) = &mut record.state else {
            self.evaluate_unstarted(task_id);
            return;
        };
        if runs.iter().any(record::MemberRun::has_failed) {
            for run in runs.iter_mut() {
                run.want_withdrawal(now);
            }
        }
        if runs.iter().all(record::MemberRun::is_terminal) {
            self.resolve(task_id);
            return;
        }
        let wanted =
            |run: &record::MemberRun| matches!(run.withdrawal, record::Withdrawal::Wanted(_));
        if runs.iter().any(wanted) {
            self.withdrawing.insert(task_id);
        }
    }

    fn evaluate_unstarted(&mut self, task_id: TaskId) {
        let Some(record) = self.tasks.get(&task_id) else {
            return;
        };
        if !record.cancelled || matches!(record.state, record::State::Retracting(_)) {
            return;
        }
        if record.is_queued() {
            self.out.push(Action::Unqueue { task_id });
        }
        self.settle_unstarted(task_id, model::NotRunReason::Cancelled);
    }

    /// Settles a task, or queues its next execution, once all its runs are in a final phase.
    fn resolve(&mut self, task_id: TaskId) {
        let Some(record) = self.tasks.get(&task_id) else {
            return;
        };
        let runs = record.members();
        let finished = |run: &record::MemberRun| matches!(run.phase, record::Phase::Finished(_));
        let never = |run: &record::MemberRun| matches!(run.phase, record::Phase::NeverStarted);
        let failed = runs.iter().any(record::MemberRun::has_failed);
        if runs.iter().all(finished) && !failed {
            self.settle_done(task_id);
        } else if runs.iter().all(never) {
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
        record.mark_run(UnknownReason::WorkerLost);
        let checkpoint = match record.members() {
            [run] => match &run.phase {
                record::Phase::Finished(run) => run.checkpoint.clone(),
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
        let mut idle = Vec::new();
        for task_id in &self.withdrawing {
            let Some(record) = self.tasks.get_mut(task_id) else {
                idle.push(*task_id);
                continue;
            };
            let attempt = record.attempt;
            let mut waits = false;
            for (member, run) in (0..).zip(record.members_mut().into_iter().flatten()) {
                if !is_withdrawal_open(run) {
                    continue;
                }
                let due = matches!(run.withdrawal, record::Withdrawal::Wanted(at) if at <= now);
                let Some(holder) = run.holder.clone().filter(|_| due && may_withdraw(run)) else {
                    waits = true;
                    continue;
                };
                run.withdrawal = record::Withdrawal::Asked;
                self.out.push(Action::Withdraw {
                    holder,
                    run: TaskAttempt {
                        task_id: *task_id,
                        member,
                        attempt,
                    },
                });
            }
            if !waits {
                idle.push(*task_id);
            }
        }
        for task_id in idle {
            self.withdrawing.swap_remove(&task_id);
        }
    }

    pub(crate) fn withdraw_failed(&mut self, run: TaskAttempt, holder: &InstanceId) {
        let retry_at = self.now + WITHDRAW_RETRY_AFTER;
        let Some(runs) = self.active(run.task_id, run.attempt) else {
            return;
        };
        let Some(member) = runs.get_mut(usize::from(run.member)) else {
            return;
        };
        let asked = member.withdrawal == record::Withdrawal::Asked;
        if asked && member.holder.as_ref() == Some(holder) {
            member.withdrawal = record::Withdrawal::Wanted(retry_at);
            self.withdrawing.insert(run.task_id);
        }
    }

    pub(crate) fn withdrawn(&mut self, report: RunReport) {
        let run = report.run;
        let holder = report.holder.clone();
        if matches!(report.state, RunState::Running { .. }) {
            self.reports(vec![report]);
            self.withdraw_failed(run, &holder);
            return;
        }
        let resolves = self.active(run.task_id, run.attempt).is_some_and(|runs| {
            let member = runs.get_mut(usize::from(run.member));
            member.is_some_and(|member| {
                let asked = member.withdrawal == record::Withdrawal::Asked;
                let unresolved = matches!(member.phase, record::Phase::Unresolved);
                asked && unresolved && member.holder.as_ref() == Some(&holder)
            })
        });
        if resolves {
            self.resolve_offer(&report);
        } else {
            self.reports(vec![report]);
        }
        // If the run is still not final, after a crossed or inconclusive answer, it is withdrawn
        // again.
        self.withdraw_failed(run, &holder);
    }

    /// Resolves an offer whose reply was lost by the holder's answer to the withdrawal.
    fn resolve_offer(&mut self, report: &RunReport) {
        let run = report.run;
        let missing = self.missing_now(true, true);
        let Some(runs) = self.active(run.task_id, run.attempt) else {
            return;
        };
        let Some(member) = runs.get_mut(usize::from(run.member)) else {
            return;
        };
        match &report.state {
            RunState::NeverStarted => member.phase = record::Phase::NeverStarted,
            RunState::Stopped => member.phase = record::Phase::Gone,
            RunState::Lost => {
                member.worker_id = Some(report.worker_id.clone()).filter(|id| !id.is_empty());
                member.phase = record::Phase::Missing(missing);
                self.suspect(run.task_id);
            }
            RunState::Finished(_) | RunState::Running { .. } => {
                self.reports(vec![report.clone()]);
                return;
            }
        }
        self.evaluate(run.task_id);
    }

    pub(crate) fn note_facts(&mut self, report: &RunReport, finished: &model::FinishedRun) {
        if let Some(record) = self.tasks.get_mut(&report.run.task_id) {
            record.facts.push(RunFacts {
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

pub(crate) fn pending_members(task: &model::Task) -> Vec<record::MemberRun> {
    let count = task.spec.members.max(1);
    (0..count).map(|_| record::MemberRun::pending()).collect()
}

fn is_withdrawal_open(run: &record::MemberRun) -> bool {
    !run.is_terminal() && matches!(run.withdrawal, record::Withdrawal::Wanted(_))
}

/// Returns whether a withdrawal would be conclusive, which it is not while the offer is
/// outstanding.
fn may_withdraw(run: &record::MemberRun) -> bool {
    matches!(
        run.phase,
        record::Phase::Unresolved | record::Phase::Running
    )
}
