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
use crate::record;
use crate::runs;

impl Owner {
    pub(crate) fn reports(&mut self, reports: Vec<RunReport>) {
        for report in reports {
            if self.owns(partition_of(report.run.task_id)) {
                self.report(&report);
            }
        }
    }

    fn report(&mut self, report: &RunReport) {
        let task_id = report.run.task_id;
        let Some(record) = self.tasks.get(&task_id) else {
            self.report_of_unknown(report);
            return;
        };
        match report.run.attempt.cmp(&record.attempt) {
            cmp::Ordering::Less => self.report_of_older(report),
            cmp::Ordering::Equal => self.report_of_current(report),
            cmp::Ordering::Greater => self.report_of_newer(report),
        }
        self.evaluate(task_id);
    }

    /// Handles a report of a task that has no record.
    fn report_of_unknown(&mut self, report: &RunReport) {
        let task_id = report.run.task_id;
        match (&report.state, self.memory.outcome(task_id)) {
            (RunState::Running { .. }, Some(settled)) if settled.task.spec.repeatable => {
                self.stop_stray(report);
            }
            (RunState::Finished(finished), Some(_)) => self.late_result(task_id, finished),
            (RunState::Running { .. } | RunState::Finished(_), None) => self.adopt_report(report),
            _ => {}
        }
    }

    /// Withdraws a run whose result nobody needs; otherwise the lease holder would let it finish.
    fn stop_stray(&mut self, report: &RunReport) {
        self.out.push(Action::Withdraw {
            holder: report.holder.clone(),
            run: report.run,
        });
    }

    /// Replaces an unknown outcome by a result that arrived late.
    fn late_result(&mut self, task_id: TaskId, finished: &FinishedRun) {
        let usable = finished.checkpoint.is_none() && !record::is_worker_failure(finished);
        let Some(settled) = self.memory.outcome_mut(task_id) else {
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
    fn adopt_report(&mut self, report: &RunReport) {
        let Some(task) = report.task.clone() else {
            return;
        };
        let task_id = task.task_id;
        self.memory.recall(task_id);
        let wait = std::time::Duration::from_millis(task.spec.deadline_ms);
        let mut record = self.new_record(task, self.now + wait);
        record.attempt = report.run.attempt;
        record.state = record::State::Active(runs::pending_members(&record.task));
        record.journal_sent = record::needs_journal(&record.task);
        record.journalled = record.journal_sent;
        self.tasks.insert(task_id, record);
        self.report_of_current(report);
        self.adopt(task_id);
        self.evaluate(task_id);
    }

    /// Handles a report of an earlier execution than the current one.
    ///
    /// Its run becomes current again, and its result is used, if the later execution is still
    /// queued.
    fn report_of_older(&mut self, report: &RunReport) {
        let task_id = report.run.task_id;
        let Some(record) = self.tasks.get_mut(&task_id) else {
            return;
        };
        let waits = matches!(record.state, record::State::Queued);
        match &report.state {
            RunState::Running { .. } if waits => {
                self.out.push(Action::Unqueue { task_id });
                self.return_to(report);
            }
            RunState::Running { .. } => self.stop_stray(report),
            RunState::Finished(_) if waits && record.task.spec.members <= 1 => {
                self.out.push(Action::Unqueue { task_id });
                self.return_to(report);
            }
            _ => {}
        }
    }

    /// Handles a report of a later execution, which this owner did not start.
    fn report_of_newer(&mut self, report: &RunReport) {
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
            self.out.push(Action::Unqueue { task_id });
        }
        self.stop_current(task_id);
        self.return_to(report);
    }

    /// Withdraws the runs of the current execution, which another one replaces.
    fn stop_current(&mut self, task_id: TaskId) {
        let Some(record) = self.tasks.get(&task_id) else {
            return;
        };
        for (member, run) in (0..).zip(record.members()) {
            let running = matches!(run.phase, record::Phase::Running);
            let Some(holder) = run.holder.clone().filter(|_| running) else {
                continue;
            };
            self.out.push(Action::Withdraw {
                holder,
                run: model::TaskAttempt {
                    task_id,
                    member,
                    attempt: record.attempt,
                },
            });
        }
    }

    /// Makes the reported execution the current one.
    fn return_to(&mut self, report: &RunReport) {
        let task_id = report.run.task_id;
        if let Some(record) = self.tasks.get_mut(&task_id) {
            record.attempt = report.run.attempt;
            record.state = record::State::Active(runs::pending_members(&record.task));
        }
        self.report_of_current(report);
        self.adopt(task_id);
    }

    fn report_of_current(&mut self, report: &RunReport) {
        let task_id = report.run.task_id;
        let exists = matches!(
            report.state,
            RunState::Running { .. } | RunState::Finished(_)
        );
        let Some(record) = self.tasks.get_mut(&task_id) else {
            return;
        };
        if !matches!(record.state, record::State::Active(_)) {
            if exists {
                if record.is_queued() {
                    self.out.push(Action::Unqueue { task_id });
                }
                record.state = record::State::Active(runs::pending_members(&record.task));
                self.adopt(task_id);
            } else {
                return;
            }
        }
        self.report_of_member(report);
    }

    fn report_of_member(&mut self, report: &RunReport) {
        let task_id = report.run.task_id;
        let now = self.now;
        let missing = self.missing_now(true, false);
        let record = self.tasks.get_mut(&task_id);
        let runs = record.and_then(record::Record::members_mut);
        let Some(run) = runs.and_then(|runs| runs.get_mut(usize::from(report.run.member))) else {
            return;
        };
        if run.is_terminal() || is_of_other_worker(run, report) {
            return;
        }
        match &report.state {
            RunState::Running { .. } => {
                let moved = run.holder.as_ref() != Some(&report.holder);
                run.holder = Some(report.holder.clone());
                run.worker_id = Some(report.worker_id.clone());
                run.phase = record::Phase::Running;
                if moved && run.withdrawal == record::Withdrawal::Asked {
                    run.withdrawal = record::Withdrawal::Wanted(now);
                    self.withdrawing.insert(task_id);
                }
            }
            RunState::Finished(finished) => {
                run.holder = Some(report.holder.clone());
                run.worker_id = Some(report.worker_id.clone());
                run.phase = record::Phase::Finished(Box::new(finished.clone()));
                self.note_facts(report, finished);
            }
            RunState::NeverStarted | RunState::Stopped | RunState::Lost => {
                if !matches!(run.phase, record::Phase::Running) {
                    return;
                }
                if run.holder.as_ref() != Some(&report.holder) {
                    run.phase = record::Phase::Missing(missing);
                    self.suspect(task_id);
                    return;
                }
                match report.state {
                    RunState::NeverStarted => run.phase = record::Phase::NeverStarted,
                    RunState::Stopped => run.phase = record::Phase::Gone,
                    _ => {
                        run.phase = record::Phase::Missing(missing);
                        self.suspect(task_id);
                    }
                }
            }
        }
    }

    /// Ends the collection of a partition's runs: a run that was not reported no longer exists.
    pub(crate) fn close_gather(&mut self, partition: Partition) {
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
            for run in record.members_mut().into_iter().flatten() {
                if matches!(run.phase, record::Phase::Pending) {
                    run.phase = record::Phase::Gone;
                }
            }
            self.evaluate(task_id);
        }
    }
}

/// Returns whether the report is about a start on another worker than the recorded one.
///
/// Attempt numbers are unique only within one owner; an earlier owner may have used the same one.
fn is_of_other_worker(run: &record::MemberRun, report: &RunReport) -> bool {
    let recorded = run.worker_id.as_ref().filter(|id| !id.is_empty());
    let running = matches!(run.phase, record::Phase::Running);
    running && recorded.is_some_and(|id| *id != report.worker_id)
}
