//! Runs that their lease holder lost, or whose lease holder died.
//!
//! Another holder may have adopted such a run. It counts as ended only once every live holder has
//! answered a fence and its worker is held by one of them, or has been out of contact for so long
//! that it has stopped the run.

use indexmap::IndexSet;
use model::TaskId;
use model::WorkerId;
use model::partition_of;

use crate::Owner;
use crate::task_record;

impl Owner {
    /// Returns the state of a run that is missing as of this event.
    pub(crate) fn new_missing_run(
        &self,
        reported_by_holder: bool,
        offer_unresolved: bool,
    ) -> task_record::MissingRun {
        let expiry = self.settings.run_expiry() + self.settings.offer_validity;
        let expires_at = if reported_by_holder {
            self.now
        } else {
            self.now + expiry
        };
        task_record::MissingRun {
            since_sequence: self.sequence,
            expires_at,
            searched_after_expiry: reported_by_holder,
            reported_by_holder,
            offer_unresolved,
        }
    }

    /// Starts to search the lease holders for the missing runs of a task.
    pub(crate) fn search_missing_runs(&mut self, task_id: TaskId) {
        self.missing_run_tasks.insert(task_id);
        self.fence_tracker
            .request(partition_of(task_id), self.sequence);
    }

    /// Updates all runs whose lease holder died or has become live again.
    pub(crate) fn update_runs_of_dead_holders(&mut self) {
        let tasks: Vec<_> = self
            .tasks
            .iter()
            .filter(|(_, record)| !record.runs().is_empty())
            .map(|(task_id, _)| *task_id)
            .collect();
        for task_id in tasks {
            self.update_task_runs_of_dead_holders(task_id);
        }
    }

    pub(crate) fn update_task_runs_of_dead_holders(&mut self, task_id: TaskId) {
        let missing_running = self.new_missing_run(false, false);
        let missing_unresolved = self.new_missing_run(false, true);
        let now = self.now;
        let members = &self.members;
        let Some(record) = self.tasks.get_mut(&task_id) else {
            return;
        };
        let mut any_missing = false;
        for run in record.runs_mut().into_iter().flatten() {
            let holder = run.holder.as_ref();
            let live = holder.is_some_and(|holder| members.contains_key(holder));
            match &run.phase {
                task_record::Phase::Running if !live => {
                    run.phase = task_record::Phase::Missing(missing_running);
                    any_missing = true;
                }
                task_record::Phase::Unresolved if !live => {
                    run.phase = task_record::Phase::Missing(missing_unresolved);
                    any_missing = true;
                }
                task_record::Phase::Missing(missing) if live && !missing.reported_by_holder => {
                    run.phase = if missing.offer_unresolved {
                        task_record::Phase::Unresolved
                    } else {
                        task_record::Phase::Running
                    };
                    if run.withdrawal == task_record::Withdrawal::Sent {
                        run.withdrawal = task_record::Withdrawal::Requested(now);
                    }
                }
                _ => {}
            }
            if run.withdrawal != task_record::Withdrawal::NotRequested {
                self.withdrawing.insert(task_id);
            }
        }
        if any_missing {
            self.search_missing_runs(task_id);
        }
    }

    /// Ends the missing runs that cannot be running any more.
    pub(crate) fn check_missing_runs(&mut self) {
        if self.missing_run_tasks.is_empty() || self.members.is_empty() {
            return;
        }
        let nonlive_held_workers = self.workers_of_nonlive_holders();
        let task_ids: Vec<_> = self.missing_run_tasks.iter().copied().collect();
        for task_id in task_ids {
            self.check_missing_runs_of_task(task_id, &nonlive_held_workers);
        }
    }

    fn check_missing_runs_of_task(
        &mut self,
        task_id: TaskId,
        nonlive_held_workers: &IndexSet<WorkerId>,
    ) {
        let Some(record) = self.tasks.get(&task_id) else {
            self.missing_run_tasks.swap_remove(&task_id);
            return;
        };
        let mut any_still_missing = false;
        let mut must_search_again = false;
        let mut ended = Vec::new();
        for (member, run) in record.runs().iter().enumerate() {
            let task_record::Phase::Missing(missing) = &run.phase else {
                continue;
            };
            let expired = missing.expires_at <= self.now;
            must_search_again |= expired && !missing.searched_after_expiry;
            if self.has_ended(task_id, run, missing, nonlive_held_workers) {
                ended.push(member);
            } else {
                any_still_missing = true;
            }
        }
        if !any_still_missing {
            self.missing_run_tasks.swap_remove(&task_id);
        }
        if !ended.is_empty() {
            self.end_missing_runs(task_id, &ended);
        } else if must_search_again {
            self.search_after_expiry(task_id);
        }
    }

    fn has_ended(
        &self,
        task_id: TaskId,
        run: &task_record::MemberRun,
        missing: &task_record::MissingRun,
        nonlive_held_workers: &IndexSet<WorkerId>,
    ) -> bool {
        let partition = partition_of(task_id);
        let live = self.members.keys();
        if !self
            .fence_tracker
            .all_acked(partition, missing.since_sequence, live)
        {
            return false;
        }
        let expired = missing.searched_after_expiry && self.unreachable.is_empty();
        match run.worker_id.as_ref().filter(|id| !id.is_empty()) {
            Some(worker) => {
                self.fence_tracker
                    .is_covered(partition, worker, missing.since_sequence)
                    || (expired && !nonlive_held_workers.contains(worker))
            }
            None => self.all_workers_covered(
                partition,
                missing.since_sequence,
                expired,
                nonlive_held_workers,
            ),
        }
    }

    fn end_missing_runs(&mut self, task_id: TaskId, ended: &[usize]) {
        let record = self.tasks.get_mut(&task_id);
        if let Some(runs) = record.and_then(task_record::TaskRecord::runs_mut) {
            for member in ended {
                runs[*member].phase = task_record::Phase::EndedWithoutResult;
            }
        }
        self.evaluate(task_id);
    }

    fn search_after_expiry(&mut self, task_id: TaskId) {
        let now = self.now;
        let sequence = self.sequence;
        let Some(record) = self.tasks.get_mut(&task_id) else {
            return;
        };
        for run in record.runs_mut().into_iter().flatten() {
            if let task_record::Phase::Missing(missing) = &mut run.phase
                && missing.expires_at <= now
                && !missing.searched_after_expiry
            {
                missing.searched_after_expiry = true;
                missing.since_sequence = sequence;
            }
        }
        self.search_missing_runs(task_id);
    }
}
