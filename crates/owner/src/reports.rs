//! Handlers of run reports from lease holders.

use std::cmp;

use model::FinishedRun;
use model::Outcome;
use model::Partition;
use model::RunReport;
use model::RunState;
use model::TaskId;
use model::TaskResult;
use model::partition_of;

use crate::Action;
use crate::Owner;
use crate::runs;
use crate::task_record;

impl Owner {
    pub(crate) fn handle_reports(&mut self, reports: Vec<RunReport>) {
        for report in reports {
            if self.owns(partition_of(report.run.task_id)) {
                self.handle_report(&report);
            }
        }
    }

    fn handle_report(&mut self, report: &RunReport) {
        let task_id = report.run.task_id;
        let Some(record) = self.tasks.get(&task_id) else {
            self.handle_report_of_unknown_task(report);
            return;
        };
        match report.run.attempt.cmp(&record.attempt) {
            cmp::Ordering::Less => self.handle_report_of_earlier_attempt(report),
            cmp::Ordering::Equal => self.handle_report_of_current_attempt(report),
            cmp::Ordering::Greater => self.handle_report_of_later_attempt(report),
        }
        self.evaluate(task_id);
    }

    /// Handles a report of a task that has no record.
    fn handle_report_of_unknown_task(&mut self, report: &RunReport) {
        let task_id = report.run.task_id;
        match (&report.state, self.outcome_cache.outcome(task_id)) {
            (RunState::Running { .. }, Some(settled)) if settled.task.spec.repeatable => {
                self.withdraw_unneeded_run(report);
            }
            (RunState::Finished(finished), Some(_)) => self.apply_late_result(task_id, finished),
            (RunState::Running { .. } | RunState::Finished(_), None) => {
                self.adopt_reported_run(report)
            }
            _ => {}
        }
    }

    /// Withdraws a run whose result nobody needs; otherwise the lease holder would let it finish.
    fn withdraw_unneeded_run(&mut self, report: &RunReport) {
        self.actions.push(Action::Withdraw {
            holder: report.holder.clone(),
            run: report.run,
        });
    }

    /// Replaces an unknown outcome with a result that arrived late.
    fn apply_late_result(&mut self, task_id: TaskId, finished: &FinishedRun) {
        let usable = finished.checkpoint.is_none() && !task_record::is_worker_failure(finished);
        let Some(settled) = self.outcome_cache.outcome_mut(task_id) else {
            return;
        };
        let unknown = matches!(settled.outcome, Outcome::Unknown(_));
        if unknown && usable && settled.task.spec.members <= 1 {
            settled.outcome = Outcome::Done(TaskResult {
                succeeded: finished.succeeded,
                outputs: vec![finished.output.clone()],
                waited_ms: 0,
                run_ms: finished.run_ms,
                attempts: settled.attempt,
            });
        }
    }

    /// Creates a record for a task that an earlier owner started.
    fn adopt_reported_run(&mut self, report: &RunReport) {
        let Some(task) = report.task.clone() else {
            return;
        };
        let task_id = task.task_id;
        self.outcome_cache.remove_used_id(task_id);
        let max_wait = std::time::Duration::from_millis(task.spec.deadline_ms);
        let mut record = self.new_record(task, self.now + max_wait);
        record.attempt = report.run.attempt;
        record.state = task_record::State::Active(runs::pending_runs(&record.task));
        record.journal_sent = task_record::needs_journal(&record.task);
        record.journalled = record.journal_sent;
        self.tasks.insert(task_id, record);
        self.handle_report_of_current_attempt(report);
        self.adopt(task_id);
        self.evaluate(task_id);
    }

    /// Handles a report of an earlier attempt than the current one.
    ///
    /// Its result is as good as that of a later one. Its run becomes current again as long as the
    /// later attempt is still queued.
    fn handle_report_of_earlier_attempt(&mut self, report: &RunReport) {
        let task_id = report.run.task_id;
        let Some(record) = self.tasks.get_mut(&task_id) else {
            return;
        };
        let is_queued = matches!(record.state, task_record::State::Queued);
        match &report.state {
            RunState::Running { .. } if is_queued => {
                self.actions.push(Action::Unqueue { task_id });
                self.switch_to_reported_attempt(report);
            }
            RunState::Running { .. } => self.withdraw_unneeded_run(report),
            RunState::Finished(_) if is_queued && record.task.spec.members <= 1 => {
                self.actions.push(Action::Unqueue { task_id });
                self.switch_to_reported_attempt(report);
            }
            _ => {}
        }
    }

    /// Handles a report of a later attempt, which this owner did not start.
    fn handle_report_of_later_attempt(&mut self, report: &RunReport) {
        let task_id = report.run.task_id;
        let Some(record) = self.tasks.get(&task_id) else {
            return;
        };
        let exists = matches!(
            report.state,
            RunState::Running { .. } | RunState::Finished(_)
        );
        if !exists || record.has_offer_outstanding() {
            return;
        }
        if record.is_queued() {
            self.actions.push(Action::Unqueue { task_id });
        }
        self.withdraw_current_runs(task_id);
        self.switch_to_reported_attempt(report);
    }

    /// Withdraws the runs of the current attempt, which another one replaces.
    fn withdraw_current_runs(&mut self, task_id: TaskId) {
        let Some(record) = self.tasks.get(&task_id) else {
            return;
        };
        for (member, run) in (0..).zip(record.runs()) {
            let running = matches!(run.phase, task_record::Phase::Running);
            let Some(holder) = run.holder.clone().filter(|_| running) else {
                continue;
            };
            self.actions.push(Action::Withdraw {
                holder,
                run: model::TaskAttempt {
                    task_id,
                    member,
                    attempt: record.attempt,
                },
            });
        }
    }

    /// Makes the reported attempt the current one.
    fn switch_to_reported_attempt(&mut self, report: &RunReport) {
        let task_id = report.run.task_id;
        if let Some(record) = self.tasks.get_mut(&task_id) {
            record.attempt = report.run.attempt;
            record.state = task_record::State::Active(runs::pending_runs(&record.task));
        }
        self.handle_report_of_current_attempt(report);
        self.adopt(task_id);
    }

    fn handle_report_of_current_attempt(&mut self, report: &RunReport) {
        let task_id = report.run.task_id;
        let exists = matches!(
            report.state,
            RunState::Running { .. } | RunState::Finished(_)
        );
        let Some(record) = self.tasks.get_mut(&task_id) else {
            return;
        };
        if !matches!(record.state, task_record::State::Active(_)) {
            if exists {
                if record.is_queued() {
                    self.actions.push(Action::Unqueue { task_id });
                }
                record.state = task_record::State::Active(runs::pending_runs(&record.task));
                self.adopt(task_id);
            } else {
                return;
            }
        }
        self.handle_report_of_member(report);
    }

    fn handle_report_of_member(&mut self, report: &RunReport) {
        let task_id = report.run.task_id;
        let now = self.now;
        let missing = self.new_missing_run(true, false);
        let record = self.tasks.get_mut(&task_id);
        let runs = record.and_then(task_record::TaskRecord::runs_mut);
        let Some(run) = runs.and_then(|runs| runs.get_mut(usize::from(report.run.member))) else {
            return;
        };
        if run.is_terminal() || is_from_other_worker(run, report) {
            return;
        }
        match &report.state {
            RunState::Running { .. } => {
                let moved = run.holder.as_ref() != Some(&report.holder);
                run.holder = Some(report.holder.clone());
                run.worker_id = Some(report.worker_id.clone());
                run.phase = task_record::Phase::Running;
                if moved && run.withdrawal == task_record::Withdrawal::Sent {
                    run.withdrawal = task_record::Withdrawal::Requested(now);
                    self.withdrawing.insert(task_id);
                }
            }
            RunState::Finished(finished) => {
                run.holder = Some(report.holder.clone());
                run.worker_id = Some(report.worker_id.clone());
                run.phase = task_record::Phase::Finished(Box::new(finished.clone()));
                self.add_run_summary(report, finished);
            }
            RunState::NeverStarted | RunState::Stopped | RunState::Lost => {
                if !matches!(run.phase, task_record::Phase::Running) {
                    return;
                }
                if run.holder.as_ref() != Some(&report.holder) {
                    run.phase = task_record::Phase::Missing(missing);
                    self.search_missing_runs(task_id);
                    return;
                }
                match report.state {
                    RunState::NeverStarted => run.phase = task_record::Phase::NeverStarted,
                    RunState::Stopped => run.phase = task_record::Phase::EndedWithoutResult,
                    _ => {
                        run.phase = task_record::Phase::Missing(missing);
                        self.search_missing_runs(task_id);
                    }
                }
            }
        }
    }

    /// Ends the collection of a partition's runs: queues its queued tasks, and treats a run that
    /// was not reported as ended without a result.
    pub(crate) fn end_run_collection(&mut self, partition: Partition) {
        let tasks: Vec<_> = self
            .tasks
            .keys()
            .filter(|task_id| partition_of(**task_id) == partition)
            .copied()
            .collect();
        for task_id in tasks {
            let Some(record) = self.tasks.get_mut(&task_id) else {
                continue;
            };
            if record.is_queued() {
                self.enqueue(task_id);
                continue;
            }
            for run in record.runs_mut().into_iter().flatten() {
                if matches!(run.phase, task_record::Phase::Pending) {
                    run.phase = task_record::Phase::EndedWithoutResult;
                }
            }
            self.evaluate(task_id);
        }
    }
}

/// Returns whether the report is about a start on another worker than the recorded one.
///
/// Attempt numbers are unique only within one owner; an earlier owner may have used the same one.
fn is_from_other_worker(run: &task_record::MemberRun, report: &RunReport) -> bool {
    let recorded = run.worker_id.as_ref().filter(|id| !id.is_empty());
    let running = matches!(run.phase, task_record::Phase::Running);
    running && recorded.is_some_and(|id| *id != report.worker_id)
}
