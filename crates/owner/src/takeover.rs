//! Partition takeover: claim a partition in the table, fence the lease holders, collect their runs,
//! then serve it.

use std::time;

use indexmap::IndexSet;
use model::Generation;
use model::InstanceId;
use model::Partition;
use model::PartitionTable;
use model::Revision;
use model::Tenure;
use model::WorkerId;
use model::partition_of;
use model::partition_of_plan;

use crate::Action;
use crate::Answer;
use crate::Member;
use crate::Owner;
use crate::WriteResult;
use crate::ownership;
use crate::table_view;

/// Delay before lease holders are fenced again, for workers that no member held yet.
const REPEAT_FENCE_DELAY: time::Duration = time::Duration::from_millis(250);

impl Owner {
    pub(crate) fn table_read(&mut self, table: PartitionTable, revision: Revision) {
        self.table.apply_read(table, revision, self.now);
        self.journal.retry_now();
        self.apply_table();
    }

    /// Merges another instance's view of the table.
    ///
    /// Tenures that the store does not have are kept separately: the store's next revision may not
    /// have them either.
    pub(crate) fn peer_table_received(
        &mut self,
        table: PartitionTable,
        revision: Revision,
        newer: Vec<(Partition, Tenure)>,
    ) {
        self.table.apply_read(table, revision, self.now);
        for (partition, tenure) in newer {
            self.table.add_newer(partition, tenure);
        }
        self.journal.retry_now();
        self.apply_table();
    }

    pub(crate) fn table_written(&mut self, result: WriteResult, revision: Revision) {
        match result {
            WriteResult::Written => self.table.write_succeeded(revision),
            WriteResult::Conflict => {
                self.table.write_failed(self.now);
                self.table.request_read(self.now);
            }
            WriteResult::Unknown => {
                self.table.write_failed(self.now);
                self.table.request_read(self.now);
            }
            WriteResult::Unavailable => self.table.write_failed(self.now),
        }
        self.apply_table();
    }

    /// Starts the takeover of partitions that the table newly assigns to this instance, and drops
    /// those that it assigns to others.
    pub(crate) fn apply_table(&mut self) {
        let tenures: Vec<_> = self
            .table
            .effective()
            .tenures
            .iter()
            .cloned()
            .zip(0..)
            .collect();
        let mut lost = Vec::new();
        for (tenure, partition) in tenures {
            let held = self.owned.get(&partition).map(|held| held.generation);
            if tenure.instance_id == self.settings.instance_id {
                if held.is_none_or(|generation| generation < tenure.generation) {
                    self.begin_takeover(partition, tenure.generation);
                }
            } else if held.is_some_and(|generation| generation < tenure.generation) {
                lost.push(partition);
            }
        }
        self.supersede(lost);
    }

    fn begin_takeover(&mut self, partition: Partition, generation: Generation) {
        if self.owned.contains_key(&partition) {
            self.drop_partition(partition);
        }
        let ownership = ownership::Ownership {
            generation,
            phase: ownership::OwnershipPhase::TakingOver {
                since_sequence: self.sequence,
                last_renewal_at: self.now,
                repeat_fence_at: self.now + REPEAT_FENCE_DELAY,
            },
            taken_over_at: None,
            received_by_delegation: false,
            journal: ownership::JournalState::Unread(self.now),
        };
        self.owned.insert(partition, ownership);
        self.fence_tracker.request(partition, self.sequence);
    }

    /// Drops partitions that another instance now owns.
    pub(crate) fn supersede(&mut self, partitions: Vec<Partition>) {
        if partitions.is_empty() {
            return;
        }
        for partition in &partitions {
            self.drop_partition(*partition);
        }
        self.actions.push(Action::Superseded { partitions });
    }

    /// Removes all state of a partition, and redirects its requests to the new owner.
    pub(crate) fn drop_partition(&mut self, partition: Partition) {
        self.owned.swap_remove(&partition);
        self.fence_tracker.remove_partition(partition);
        self.journal.remove_partition(partition);
        self.outcome_cache.remove_partition(partition);
        let tasks: Vec<_> = self
            .tasks
            .keys()
            .filter(|task_id| partition_of(**task_id) == partition)
            .copied()
            .collect();
        for task_id in tasks {
            self.drop_task(task_id);
        }
        self.redirect_held_requests(partition);
    }

    fn drop_task(&mut self, task_id: model::TaskId) {
        self.free_resources(task_id);
        self.missing_run_tasks.swap_remove(&task_id);
        self.withdrawing.swap_remove(&task_id);
        let Some(record) = self.tasks.swap_remove(&task_id) else {
            return;
        };
        if record.is_queued() {
            self.actions.push(Action::Unqueue { task_id });
        }
        for request_id in record.request_ids {
            if self.pending_answers.contains_key(&request_id) {
                self.answer(request_id, Answer::NotOwner);
            }
        }
    }

    pub(crate) fn members_changed(&mut self, live: Vec<Member>, unreachable: Vec<InstanceId>) {
        let before: Vec<_> = self.members.keys().cloned().collect();
        self.members = live
            .into_iter()
            .map(|member| (member.instance_id.clone(), member))
            .collect();
        self.unreachable = unreachable;
        let members = &self.members;
        self.lost_at.retain(|id, _| !members.contains_key(id));
        let mut member_left = false;
        for id in before {
            if !self.members.contains_key(&id) {
                member_left = true;
                self.lost_at.entry(id).or_insert(self.now);
            }
        }
        let members = &self.members;
        self.fence_tracker
            .retain_members(|id| members.contains_key(id));
        if member_left {
            self.restart_lease_expiry_wait();
        }
        self.update_runs_of_dead_holders();
    }

    /// Restarts the wait for lapsed leases: a holder that has just died may have renewed its leases
    /// until now.
    fn restart_lease_expiry_wait(&mut self) {
        let now = self.now;
        for ownership in self.owned.values_mut() {
            if let ownership::OwnershipPhase::TakingOver {
                last_renewal_at, ..
            } = &mut ownership.phase
            {
                *last_renewal_at = now;
            }
        }
    }

    pub(crate) fn fenced(&mut self, owner: &InstanceId, partitions: &[(Partition, Generation)]) {
        for (partition, generation) in partitions {
            self.table.add_newer(
                *partition,
                Tenure {
                    instance_id: owner.clone(),
                    generation: *generation,
                },
            );
        }
        self.apply_table();
    }

    pub(crate) fn send_fences(&mut self) {
        let live = self.members.keys();
        let requests = self.fence_tracker.take_due(live, self.sequence, self.now);
        for request in requests {
            let partitions: Vec<_> = request
                .partitions
                .into_iter()
                .filter_map(|partition| {
                    let ownership = self.owned.get(&partition)?;
                    Some((partition, ownership.generation))
                })
                .collect();
            self.actions.push(Action::Fence {
                to: request.to,
                partitions,
            });
        }
    }

    pub(crate) fn fence_acked(
        &mut self,
        from: &InstanceId,
        partitions: &[(Partition, Generation)],
        ack: model::FenceAck,
    ) {
        let current: Vec<_> = partitions
            .iter()
            .filter(|(partition, generation)| {
                let ownership = self.owned.get(partition);
                ownership.is_some_and(|ownership| ownership.generation == *generation)
            })
            .map(|(partition, _)| *partition)
            .collect();
        if !self
            .fence_tracker
            .fence_acked(from, &current, &ack.workers, ack.held_elsewhere)
        {
            return;
        }
        for grant in ack.grants {
            let key = (grant.plan_id.clone(), grant.instance_id.clone());
            self.grants.insert(key, grant);
        }
        self.handle_reports(ack.runs);
    }

    /// Starts to serve the partitions whose runs are all known.
    pub(crate) fn check_takeovers(&mut self) {
        let pending: Vec<_> = self
            .owned
            .iter()
            .filter(|(_, ownership)| ownership.is_pending())
            .map(|(partition, _)| *partition)
            .collect();
        if pending.is_empty() || self.members.is_empty() {
            return;
        }
        let nonlive_held_workers = self.workers_of_nonlive_holders();
        let ready: Vec<_> = pending
            .iter()
            .filter(|partition| self.is_run_collection_complete(**partition, &nonlive_held_workers))
            .copied()
            .collect();
        self.repeat_fences(&pending);
        self.serve_partitions(ready);
    }

    /// Returns the workers that name a lease holder that is not live.
    pub(crate) fn workers_of_nonlive_holders(&self) -> IndexSet<WorkerId> {
        let members = &self.members;
        self.fence_tracker
            .workers_of_nonlive_holders(|id| members.contains_key(id))
    }

    fn is_run_collection_complete(
        &self,
        partition: Partition,
        nonlive_held_workers: &IndexSet<WorkerId>,
    ) -> bool {
        let Some(ownership) = self.owned.get(&partition) else {
            return false;
        };
        let ownership::OwnershipPhase::TakingOver {
            since_sequence,
            last_renewal_at,
            ..
        } = ownership.phase
        else {
            return false;
        };
        let journal_read = matches!(ownership.journal, ownership::JournalState::Read(_));
        let live = self.members.keys();
        if !journal_read
            || !self
                .fence_tracker
                .all_acked(partition, since_sequence, live)
        {
            return false;
        }
        if table_view::is_first_claim(ownership.generation) {
            return true;
        }
        let runs_expired = self.now >= last_renewal_at + self.settings.run_expiry();
        let expired = runs_expired && self.unreachable.is_empty();
        self.all_workers_covered(partition, since_sequence, expired, nonlive_held_workers)
    }

    /// Returns whether no worker can have a run of `partition` that is not known here.
    ///
    /// A worker is covered once a fenced member held it. With `expired` set, it is also covered if
    /// no member reported that it names a lease holder that is not live. `expired` means that a
    /// worker without a live holder has stopped its runs by now, and that no listed instance is
    /// unreachable, which might still hold it.
    pub(crate) fn all_workers_covered(
        &self,
        partition: Partition,
        since_sequence: u64,
        expired: bool,
        nonlive_held_workers: &IndexSet<WorkerId>,
    ) -> bool {
        let Some(workers) = &self.workers else {
            return false;
        };
        workers.iter().all(|worker| {
            self.fence_tracker
                .is_covered(partition, worker, since_sequence)
                || (expired && !nonlive_held_workers.contains(worker))
        })
    }

    fn repeat_fences(&mut self, pending: &[Partition]) {
        for partition in pending {
            let Some(ownership) = self.owned.get_mut(partition) else {
                continue;
            };
            let ownership::OwnershipPhase::TakingOver {
                repeat_fence_at, ..
            } = &mut ownership.phase
            else {
                continue;
            };
            if *repeat_fence_at <= self.now {
                *repeat_fence_at = self.now + REPEAT_FENCE_DELAY;
                self.fence_tracker.request(*partition, self.sequence);
            }
        }
    }

    fn serve_partitions(&mut self, partitions: Vec<Partition>) {
        if partitions.is_empty() {
            return;
        }
        let mut serving = Vec::new();
        for partition in partitions {
            if let Some(ownership) = self.owned.get_mut(&partition) {
                ownership.phase = ownership::OwnershipPhase::Serving;
                if !table_view::is_first_claim(ownership.generation) {
                    ownership.taken_over_at = Some(self.now);
                }
                serving.push((partition, ownership.generation));
            }
        }
        let grants = self.take_grants(&serving);
        self.actions.push(Action::Serving {
            partitions: serving.clone(),
            grants,
        });
        for (partition, _) in serving {
            self.end_run_collection(partition);
            self.apply_journal(partition);
        }
        self.replay_held_requests();
    }

    fn take_grants(&mut self, serving: &[(Partition, Generation)]) -> Vec<model::QuotaAsk> {
        let is_served = |plan_id: &str| {
            let partition = partition_of_plan(plan_id);
            serving.iter().any(|(served, _)| *served == partition)
        };
        let mut taken = Vec::new();
        self.grants.retain(|(plan_id, _), grant| {
            let is_taken = is_served(plan_id);
            if is_taken {
                taken.push(grant.clone());
            }
            !is_taken
        });
        taken
    }

    /// Writes a table with claims of dead owners' partitions, and with own tenures that the
    /// store does not have.
    pub(crate) fn claim_partitions(&mut self) {
        if self.members.is_empty() || !self.table.may_write(self.now) {
            return;
        }
        let Some(table) = self.table_to_write() else {
            return;
        };
        self.table.begin_write(table.clone());
        self.actions.push(Action::WriteTable {
            table,
            expected_revision: self.table.revision(),
        });
    }

    fn table_to_write(&self) -> Option<PartitionTable> {
        let own_id = &self.settings.instance_id;
        let effective = self.table.effective();
        let unwritten = self.table.unwritten(own_id);
        let claims = self.claims();
        if unwritten.is_empty() && claims.is_empty() {
            return None;
        }
        let mut table = self.table.stored().clone();
        if table.tenures.is_empty() {
            let vacant = Tenure {
                instance_id: own_id.clone(),
                generation: 0,
            };
            table.tenures = vec![vacant; usize::from(model::PARTITIONS)];
        }
        for (partition, tenure) in unwritten {
            table.tenures[usize::from(partition)] = tenure;
        }
        for (partition, instance_id) in claims {
            let generation = effective
                .tenure(partition)
                .map_or(0, |tenure| tenure.generation);
            table.tenures[usize::from(partition)] = Tenure {
                instance_id,
                generation: table_view::next_claim_generation(generation),
            };
        }
        Some(table)
    }

    /// Returns the partitions to claim now, with their new owners.
    ///
    /// Each instance claims the partitions assigned to itself, those it delegated to a peer that
    /// died, and those whose claim is overdue. The first claim of all fills the whole table.
    fn claims(&self) -> Vec<(Partition, InstanceId)> {
        let age = self.now.duration_since(self.started_at);
        let table = self.table.effective();
        let is_empty = table.tenures.is_empty();
        let delay = self.settings.dead_after;
        if age < if is_empty { delay / 2 } else { delay } {
            return Vec::new();
        }
        let mut candidates: Vec<_> = self
            .members
            .values()
            .filter(|member| !member.draining)
            .map(|member| member.instance_id.clone())
            .filter(|id| !self.draining || *id != self.settings.instance_id)
            .collect();
        candidates.sort();
        let orphans: IndexSet<_> = (0..model::PARTITIONS)
            .filter(|partition| {
                let tenure = table.tenure(*partition);
                tenure.is_none_or(|tenure| !self.is_live(&tenure.instance_id))
            })
            .collect();
        if orphans.is_empty() || candidates.is_empty() {
            return Vec::new();
        }
        let assigned =
            table_view::assign(table, &candidates, |partition| orphans.contains(&partition));
        assigned
            .into_iter()
            .filter(|(partition, winner)| {
                is_empty
                    || *winner == self.settings.instance_id
                    || self.has_failed_delegation(*partition)
                    || self.is_claim_overdue(*partition)
            })
            .collect()
    }

    /// Returns whether this instance delegated the orphaned `partition` to a peer that has died
    /// since: the store still names this instance as the owner.
    fn has_failed_delegation(&self, partition: Partition) -> bool {
        let stored = self.table.stored().tenure(partition);
        stored.is_some_and(|tenure| tenure.instance_id == self.settings.instance_id)
    }

    fn is_claim_overdue(&self, partition: Partition) -> bool {
        let tenure = self.table.effective().tenure(partition);
        let lost_at = tenure.and_then(|tenure| self.lost_at.get(&tenure.instance_id));
        let lost_at = lost_at.unwrap_or(&self.started_at);
        self.now >= *lost_at + self.settings.dead_after * CLAIM_OVERDUE_FACTOR
    }
}

/// Multiple of `dead_after` after which any instance claims a partition for its assigned owner.
const CLAIM_OVERDUE_FACTOR: u32 = 3;
