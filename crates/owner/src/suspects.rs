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
use crate::record;

impl Owner {
    /// Returns the state of a run that is missing as of this event.
    pub(crate) fn missing_now(&self, reported: bool, unresolved: bool) -> record::Missing {
        let silence = self.settings.run_expiry() + self.settings.offer_validity;
        let expires_at = if reported {
            self.now
        } else {
            self.now + silence
        };
        record::Missing {
            since: self.sequence,
            expires_at,
            asked_after_expiry: reported,
            reported,
            unresolved,
        }
    }

    /// Starts to search the lease holders for the missing runs of a task.
    pub(crate) fn suspect(&mut self, task_id: TaskId) {
        self.suspects.insert(task_id);
        self.fences.request(partition_of(task_id), self.sequence);
    }

    /// Updates all runs whose lease holder died or has become live again.
    pub(crate) fn suspect_runs_of_dead(&mut self) {
        let tasks: Vec<_> = self
            .tasks
            .iter()
            .filter(|(_, record)| !record.members().is_empty())
            .map(|(task_id, _)| *task_id)
            .collect();
        for task_id in tasks {
            self.suspect_task_of_dead(task_id);
        }
    }

    pub(crate) fn suspect_task_of_dead(&mut self, task_id: TaskId) {
        let running = self.missing_now(false, false);
        let unresolved = self.missing_now(false, true);
        let now = self.now;
        let members = &self.members;
        let Some(record) = self.tasks.get_mut(&task_id) else {
            return;
        };
        let mut suspects = false;
        for run in record.members_mut().into_iter().flatten() {
            let holder = run.holder.as_ref();
            let live = holder.is_some_and(|holder| members.contains_key(holder));
            match &run.phase {
                record::Phase::Running if !live => {
                    run.phase = record::Phase::Missing(running);
                    suspects = true;
                }
                record::Phase::Unresolved if !live => {
                    run.phase = record::Phase::Missing(unresolved);
                    suspects = true;
                }
                record::Phase::Missing(missing) if live && !missing.reported => {
                    run.phase = if missing.unresolved {
                        record::Phase::Unresolved
                    } else {
                        record::Phase::Running
                    };
                    if run.withdrawal == record::Withdrawal::Asked {
                        run.withdrawal = record::Withdrawal::Wanted(now);
                    }
                }
                _ => {}
            }
            if run.withdrawal != record::Withdrawal::No {
                self.withdrawing.insert(task_id);
            }
        }
        if suspects {
            self.suspect(task_id);
        }
    }

    /// Ends the missing runs that cannot be running any more.
    pub(crate) fn check_suspects(&mut self) {
        if self.suspects.is_empty() || self.members.is_empty() {
            return;
        }
        let strangers = self.strangers();
        let suspects: Vec<_> = self.suspects.iter().copied().collect();
        for task_id in suspects {
            self.check_suspect(task_id, &strangers);
        }
    }

    fn check_suspect(&mut self, task_id: TaskId, strangers: &IndexSet<WorkerId>) {
        let Some(record) = self.tasks.get(&task_id) else {
            self.suspects.swap_remove(&task_id);
            return;
        };
        let mut open = false;
        let mut asks_again = false;
        let mut gone = Vec::new();
        for (member, run) in record.members().iter().enumerate() {
            let record::Phase::Missing(missing) = &run.phase else {
                continue;
            };
            let expired = missing.expires_at <= self.now;
            asks_again |= expired && !missing.asked_after_expiry;
            if self.is_nowhere(task_id, run, missing, strangers) {
                gone.push(member);
            } else {
                open = true;
            }
        }
        if !open {
            self.suspects.swap_remove(&task_id);
        }
        if !gone.is_empty() {
            self.give_up(task_id, &gone);
        } else if asks_again {
            self.ask_after_expiry(task_id);
        }
    }

    fn is_nowhere(
        &self,
        task_id: TaskId,
        run: &record::MemberRun,
        missing: &record::Missing,
        strangers: &IndexSet<WorkerId>,
    ) -> bool {
        let partition = partition_of(task_id);
        let live = self.members.keys();
        if !self.fences.all_answered(partition, missing.since, live) {
            return false;
        }
        let expired = missing.asked_after_expiry && self.unreachable.is_empty();
        match run.worker_id.as_ref().filter(|id| !id.is_empty()) {
            Some(worker) => {
                self.fences.is_covered(partition, worker, missing.since)
                    || (expired && !strangers.contains(worker))
            }
            None => self.all_covered(partition, missing.since, expired, strangers),
        }
    }

    fn give_up(&mut self, task_id: TaskId, gone: &[usize]) {
        let record = self.tasks.get_mut(&task_id);
        if let Some(runs) = record.and_then(record::Record::members_mut) {
            for member in gone {
                runs[*member].phase = record::Phase::Gone;
            }
        }
        self.evaluate(task_id);
    }

    fn ask_after_expiry(&mut self, task_id: TaskId) {
        let now = self.now;
        let sequence = self.sequence;
        let Some(record) = self.tasks.get_mut(&task_id) else {
            return;
        };
        for run in record.members_mut().into_iter().flatten() {
            if let record::Phase::Missing(missing) = &mut run.phase
                && missing.expires_at <= now
                && !missing.asked_after_expiry
            {
                missing.asked_after_expiry = true;
                missing.since = sequence;
            }
        }
        self.suspect(task_id);
    }
}
