//! Delegation of partitions to a peer, for a planned stop or to rebalance.

use std::time;

use indexmap::IndexMap;
use model::FinishedRun;
use model::Generation;
use model::InstanceId;
use model::Outcome;
use model::Partition;
use model::RunReport;
use model::RunState;
use model::Task;
use model::TaskAttempt;
use model::Tenure;
use model::UnknownReason;
use model::WorkerId;
use model::partition_of;

use crate::Action;
use crate::Answer;
use crate::Owner;
use crate::RequestId;
use crate::outcome_cache;
use crate::ownership;
use crate::task_record;

/// Delay before a delegation that was not answered is resent.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(200);

/// Interval at which surplus partitions are delegated.
const REBALANCE_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Maximum number of partitions delegated at once to rebalance.
const MAX_REBALANCED_PARTITIONS: usize = 4;

/// Partitions that are being delegated to one peer.
#[derive(Debug)]
pub(crate) struct Delegation {
    pub(crate) partitions: Vec<Partition>,
    /// Whether a reply is outstanding.
    reply_outstanding: bool,
    /// Whether the message has been sent; from then on only the peer may serve the partitions.
    sent: bool,
    /// Whether a reply was lost, so that the peer may have accepted the delegation.
    reply_lost: bool,
    retry_at: time::Instant,
    message: Option<DelegationMessage>,
    /// Requests of the delegated tasks; redirected to the peer once it has answered.
    request_ids: Vec<RequestId>,
    /// Delegated tasks whose resources are not freed yet at this instance.
    tasks_holding_resources: Vec<Task>,
}

/// Contents of a delegation.
#[derive(Clone, Debug)]
struct DelegationMessage {
    partitions: Vec<(Partition, Generation)>,
    started: Vec<RunReport>,
    queued: Vec<(Task, time::Instant)>,
}

impl Owner {
    pub(crate) fn advance_delegations(&mut self) {
        if self.draining {
            self.begin_delegating_all();
        } else if self.now >= self.next_rebalance_at {
            self.next_rebalance_at = self.now + REBALANCE_INTERVAL;
            self.begin_rebalancing();
        }
        let peers: Vec<_> = self.delegations.keys().cloned().collect();
        for to in peers {
            self.advance_delegation(&to);
        }
    }

    /// Returns the peers that can receive partitions, with the number that each one has.
    fn recipients(&self) -> IndexMap<InstanceId, usize> {
        let own_id = &self.settings.instance_id;
        let mut recipients: IndexMap<_, _> = self
            .members
            .values()
            .filter(|member| !member.draining && member.instance_id != *own_id)
            .map(|member| (member.instance_id.clone(), 0))
            .collect();
        for tenure in &self.table.effective().tenures {
            if let Some(load) = recipients.get_mut(&tenure.instance_id) {
                *load += 1;
            }
        }
        for (to, delegation) in &self.delegations {
            if let Some(load) = recipients.get_mut(to) {
                *load += delegation.partitions.len();
            }
        }
        recipients
    }

    fn serving_by_load(&self) -> Vec<Partition> {
        let mut loads: IndexMap<Partition, usize> = self
            .served_partitions()
            .into_iter()
            .map(|id| (id, 0))
            .collect();
        for task_id in self.tasks.keys() {
            if let Some(load) = loads.get_mut(&partition_of(*task_id)) {
                *load += 1;
            }
        }
        loads.sort_by(|_, left, _, right| left.cmp(right));
        loads.into_keys().collect()
    }

    fn begin_delegating_all(&mut self) {
        let serving = self.served_partitions();
        if serving.is_empty() {
            return;
        }
        let mut recipients = self.recipients();
        let busy = &self.delegations;
        recipients.retain(|id, _| !busy.contains_key(id));
        for partition in serving {
            let least = recipients.iter_mut().min_by_key(|(_, load)| **load);
            let Some((to, load)) = least else {
                return;
            };
            *load += 1;
            let to = to.clone();
            self.begin_delegation(partition, to);
        }
    }

    /// Begins to delegate surplus partitions to the peer with the fewest, if that peer has at least
    /// 2 fewer than this instance.
    fn begin_rebalancing(&mut self) {
        if !self.delegations.is_empty() || self.table.effective().tenures.is_empty() {
            return;
        }
        let recipients = self.recipients();
        let Some((to, load)) = recipients.into_iter().min_by_key(|(_, load)| *load) else {
            return;
        };
        let own = self.owned.len();
        let share = usize::from(model::PARTITIONS).div_ceil(self.members.len().max(1));
        if own <= share || own < load + 2 {
            return;
        }
        let surplus = (own - share).min((own - load) / 2);
        let chosen = self.serving_by_load();
        for partition in chosen
            .into_iter()
            .take(surplus.min(MAX_REBALANCED_PARTITIONS))
        {
            self.begin_delegation(partition, to.clone());
        }
    }

    fn begin_delegation(&mut self, partition: Partition, to: InstanceId) {
        if let Some(ownership) = self.owned.get_mut(&partition) {
            ownership.phase = ownership::OwnershipPhase::Suspended;
        }
        let queued: Vec<_> = self
            .tasks
            .iter()
            .filter(|(task_id, record)| partition_of(**task_id) == partition && record.is_queued())
            .map(|(task_id, _)| *task_id)
            .collect();
        for task_id in queued {
            self.actions.push(Action::Unqueue { task_id });
        }
        let now = self.now;
        let delegation = self.delegations.entry(to).or_insert_with(|| Delegation {
            partitions: Vec::new(),
            reply_outstanding: false,
            sent: false,
            reply_lost: false,
            retry_at: now,
            message: None,
            request_ids: Vec::new(),
            tasks_holding_resources: Vec::new(),
        });
        delegation.partitions.push(partition);
    }

    fn advance_delegation(&mut self, to: &InstanceId) {
        let Some(delegation) = self.delegations.get(to) else {
            return;
        };
        if delegation.reply_outstanding {
            return;
        }
        if !self.is_live(to) {
            self.end_delegation_to_dead_peer(to);
        } else if delegation.sent {
            if delegation.retry_at <= self.now {
                self.send_delegation(to);
            }
        } else if self.can_delegate(&delegation.partitions) {
            let message = self.build_message(&delegation.partitions);
            self.delegate(to, message);
        }
    }

    /// Ends the delegation to a peer that has died: partitions that it may have accepted are
    /// claimed through the table.
    fn end_delegation_to_dead_peer(&mut self, to: &InstanceId) {
        let Some(delegation) = self.delegations.swap_remove(to) else {
            return;
        };
        if delegation.sent {
            self.finish_delegation(to, delegation);
            return;
        }
        for partition in &delegation.partitions {
            if let Some(ownership) = self.owned.get_mut(partition) {
                ownership.phase = ownership::OwnershipPhase::Serving;
            }
        }
        for partition in delegation.partitions {
            self.end_run_collection(partition);
        }
        self.replay_held_requests();
    }

    /// Returns whether no outstanding offer or journal batch of this instance can still affect the
    /// partitions.
    fn can_delegate(&self, partitions: &[Partition]) -> bool {
        let offers = self.tasks.iter().any(|(task_id, record)| {
            record.has_offer_outstanding() && partitions.contains(&partition_of(*task_id))
        });
        !offers && !self.journal.is_batch_outstanding()
    }

    fn delegate(&mut self, to: &InstanceId, message: DelegationMessage) {
        for (partition, _) in &message.partitions {
            self.journal.remove_partition(*partition);
            if let Some(ownership) = self.owned.get_mut(partition) {
                ownership.phase = ownership::OwnershipPhase::Delegated;
            }
        }
        let partitions: Vec<_> = message.partitions.iter().map(|(id, _)| *id).collect();
        let mut request_ids = Vec::new();
        let mut tasks_holding_resources = Vec::new();
        self.tasks.retain(|task_id, record| {
            let stays = !partitions.contains(&partition_of(*task_id));
            if !stays {
                request_ids.append(&mut record.request_ids);
                tasks_holding_resources.extend(record.holds_resources.then(|| record.task.clone()));
            }
            stays
        });
        let tasks = &self.tasks;
        self.missing_run_tasks
            .retain(|task_id| tasks.contains_key(task_id));
        self.withdrawing
            .retain(|task_id| tasks.contains_key(task_id));
        if let Some(delegation) = self.delegations.get_mut(to) {
            delegation.sent = true;
            delegation.message = Some(message);
            delegation.request_ids = request_ids;
            delegation.tasks_holding_resources = tasks_holding_resources;
        }
        self.send_delegation(to);
    }

    fn send_delegation(&mut self, to: &InstanceId) {
        let now = self.now;
        let Some(delegation) = self.delegations.get_mut(to) else {
            return;
        };
        let Some(message) = delegation.message.clone() else {
            return;
        };
        delegation.reply_outstanding = true;
        let queued = message
            .queued
            .into_iter()
            .map(|(task, deadline)| (task, remaining_ms(deadline, now)))
            .collect();
        self.actions.push(Action::Delegate {
            to: to.clone(),
            partitions: message.partitions,
            started: message.started,
            queued,
        });
    }

    pub(crate) fn delegate_acked(&mut self, to: &InstanceId) {
        if let Some(delegation) = self.delegations.swap_remove(to)
            && delegation.sent
        {
            self.finish_delegation(to, delegation);
        }
    }

    pub(crate) fn delegate_failed(&mut self, to: &InstanceId) {
        let retry_at = self.now + RETRY_DELAY;
        if let Some(delegation) = self.delegations.get_mut(to) {
            delegation.reply_outstanding = false;
            delegation.reply_lost = true;
            delegation.retry_at = retry_at;
        }
    }

    /// Takes back partitions that the peer refused, unless an earlier reply was lost: then the peer
    /// may have accepted them.
    pub(crate) fn delegate_refused(&mut self, to: &InstanceId) {
        let can_take_back = |delegation: &Delegation| delegation.sent && !delegation.reply_lost;
        if !self.delegations.get(to).is_some_and(can_take_back) {
            self.delegate_failed(to);
            return;
        }
        let Some(delegation) = self.delegations.swap_remove(to) else {
            return;
        };
        for task in delegation.tasks_holding_resources {
            self.actions.push(Action::ResourcesFreed { task });
        }
        if let Some(message) = delegation.message {
            let now = self.now;
            let queued = message.queued.into_iter();
            let queued = queued.map(|(task, deadline)| (task, remaining_ms(deadline, now)));
            self.accept_delegation(&message.partitions, message.started, queued.collect());
        }
        for request_id in delegation.request_ids {
            if self.pending_answers.contains_key(&request_id) {
                self.answer(request_id, Answer::NotOwner);
            }
        }
    }

    fn finish_delegation(&mut self, to: &InstanceId, delegation: Delegation) {
        for task in delegation.tasks_holding_resources {
            self.actions.push(Action::ResourcesFreed { task });
        }
        for request_id in delegation.request_ids {
            if self.pending_answers.contains_key(&request_id) {
                self.answer(request_id, Answer::NotOwner);
            }
        }
        let partitions = delegation.message.map(|message| message.partitions);
        for (partition, generation) in partitions.unwrap_or_default() {
            let instance_id = to.clone();
            self.table.add_newer(
                partition,
                Tenure {
                    instance_id,
                    generation,
                },
            );
        }
        self.apply_table();
    }

    fn build_message(&self, partitions: &[Partition]) -> DelegationMessage {
        let generations = partitions
            .iter()
            .map(|partition| (*partition, self.generation(*partition) + 1))
            .collect();
        let mut message = DelegationMessage {
            partitions: generations,
            started: Vec::new(),
            queued: Vec::new(),
        };
        for (task_id, record) in &self.tasks {
            if partitions.contains(&partition_of(*task_id)) {
                self.pack_task(record, &mut message);
            }
        }
        for settled in self.outcome_cache.outcomes() {
            if partitions.contains(&partition_of(settled.task.task_id)) {
                self.pack_settled(settled, &mut message);
            }
        }
        message
    }

    fn pack_task(&self, record: &task_record::TaskRecord, message: &mut DelegationMessage) {
        if matches!(record.state, task_record::State::Retracting(_)) {
            return;
        }
        if record.runs().is_empty() {
            message.queued.push((record.task.clone(), record.deadline));
            if record.is_queued() {
                message.started.push(self.report_of_queued(record));
            }
            return;
        }
        for (member, run) in (0..).zip(record.runs()) {
            let state = run_state(run);
            let holder = run.holder.clone();
            let worker = run.worker_id.clone();
            let report = self.run_report(&record.task, member, record.attempt, state);
            message.started.push(RunReport {
                holder: holder.unwrap_or_else(|| self.settings.instance_id.clone()),
                worker_id: worker.unwrap_or_default(),
                ..report
            });
        }
    }

    /// Returns a report that describes a queued task: its next attempt, or the checkpoint to resume
    /// from.
    fn report_of_queued(&self, record: &task_record::TaskRecord) -> RunReport {
        let Some(checkpoint) = &record.checkpoint else {
            return self.run_report(&record.task, 0, record.attempt, RunState::NeverStarted);
        };
        let attempt = record.attempt.saturating_sub(1);
        let run = TaskAttempt {
            task_id: record.task.task_id,
            member: 0,
            attempt,
        };
        let mut finished = FinishedRun::with_digest(run, true, String::new(), 0);
        finished.checkpoint = Some(checkpoint.clone());
        self.run_report(&record.task, 0, attempt, RunState::Finished(finished))
    }

    fn pack_settled(
        &self,
        settled: &outcome_cache::CachedOutcome,
        message: &mut DelegationMessage,
    ) {
        let task = &settled.task;
        match &settled.outcome {
            Outcome::NotRun(_) => {}
            Outcome::Unknown(_) => {
                let state = RunState::Stopped;
                message
                    .started
                    .push(self.run_report(task, 0, settled.attempt, state));
            }
            Outcome::Done(result) => {
                for (member, output) in (0..).zip(&result.outputs) {
                    let run = TaskAttempt {
                        task_id: task.task_id,
                        member,
                        attempt: settled.attempt,
                    };
                    let finished = FinishedRun::with_digest(
                        run,
                        result.succeeded,
                        output.clone(),
                        result.run_ms,
                    );
                    let state = RunState::Finished(finished);
                    message
                        .started
                        .push(self.run_report(task, member, settled.attempt, state));
                }
            }
        }
    }

    fn run_report(
        &self,
        task: &Task,
        member: u16,
        attempt: model::Attempt,
        state: RunState,
    ) -> RunReport {
        RunReport {
            run: TaskAttempt {
                task_id: task.task_id,
                member,
                attempt,
            },
            task: Some(task.clone()),
            holder: self.settings.instance_id.clone(),
            worker_id: WorkerId::default(),
            state,
        }
    }

    /// Accepts partitions that a peer delegates, with their tasks.
    pub(crate) fn accept_delegation(
        &mut self,
        partitions: &[(Partition, Generation)],
        started: Vec<RunReport>,
        queued: Vec<(Task, u64)>,
    ) {
        let accepted: Vec<_> = partitions
            .iter()
            .filter(|(partition, generation)| *generation > self.generation(*partition))
            .copied()
            .collect();
        for (partition, generation) in &accepted {
            self.accept_partition(*partition, *generation);
        }
        let is_accepted = |task_id| {
            let partition = partition_of(task_id);
            accepted.iter().any(|(id, _)| *id == partition)
        };
        for (task, remaining_ms) in queued {
            if is_accepted(task.task_id) {
                self.unpack_queued(task, remaining_ms);
            }
        }
        for report in started {
            if is_accepted(report.run.task_id) {
                self.unpack_started(report);
            }
        }
        self.serve_accepted(&accepted);
    }

    fn accept_partition(&mut self, partition: Partition, generation: Generation) {
        if self.owned.contains_key(&partition) {
            self.drop_partition(partition);
        }
        let ownership = ownership::Ownership {
            generation,
            phase: ownership::OwnershipPhase::Suspended,
            taken_over_at: None,
            received_by_delegation: true,
            journal: ownership::JournalState::Unread(self.now),
        };
        self.owned.insert(partition, ownership);
        let instance_id = self.settings.instance_id.clone();
        self.table.add_newer(
            partition,
            Tenure {
                instance_id,
                generation,
            },
        );
        self.fence_tracker.request(partition, self.sequence);
    }

    fn unpack_queued(&mut self, task: Task, remaining_ms: u64) {
        let deadline = self.now + time::Duration::from_millis(remaining_ms);
        let task_id = task.task_id;
        let mut record = self.new_record(task, deadline);
        record.journal_sent = task_record::needs_journal(&record.task);
        self.tasks.insert(task_id, record);
    }

    fn unpack_started(&mut self, report: RunReport) {
        let task_id = report.run.task_id;
        match (&report.state, self.tasks.get_mut(&task_id)) {
            (RunState::NeverStarted, Some(record)) if record.runs().is_empty() => {
                record.attempt = report.run.attempt;
                record.journalled = record.journal_sent;
                record.state = task_record::State::Queued;
                if report.run.attempt > 1 {
                    record.mark_may_have_run(UnknownReason::WorkerLost);
                }
            }
            (RunState::Finished(finished), Some(record)) if record.runs().is_empty() => {
                record.attempt = report.run.attempt + 1;
                record.journalled = record.journal_sent;
                record.checkpoint = finished.checkpoint.clone();
                record.state = task_record::State::Queued;
                record.mark_may_have_run(UnknownReason::WorkerLost);
            }
            (RunState::Stopped, None) => self.unpack_unknown(report),
            (_, _) => self.unpack_run(report),
        }
    }

    fn unpack_unknown(&mut self, report: RunReport) {
        if let Some(task) = report.task {
            let settled = outcome_cache::CachedOutcome {
                digest: task_record::request_digest(&task),
                task,
                outcome: Outcome::Unknown(UnknownReason::WorkerLost),
                attempt: report.run.attempt,
            };
            self.outcome_cache.insert(settled, self.now);
        }
    }

    fn unpack_run(&mut self, report: RunReport) {
        let missing = self.new_missing_run(true, false);
        let task_id = report.run.task_id;
        let Some(task) = report.task else {
            return;
        };
        if !self.tasks.contains_key(&task_id) {
            let max_wait = time::Duration::from_millis(task.spec.deadline_ms);
            let mut record = self.new_record(task, self.now + max_wait);
            record.attempt = report.run.attempt;
            record.state = task_record::State::Active(crate::runs::pending_runs(&record.task));
            record.journal_sent = task_record::needs_journal(&record.task);
            record.journalled = record.journal_sent;
            self.tasks.insert(task_id, record);
        }
        let now = self.now;
        let record = self.tasks.get_mut(&task_id);
        let runs = record.and_then(task_record::TaskRecord::runs_mut);
        let Some(run) = runs.and_then(|runs| runs.get_mut(usize::from(report.run.member))) else {
            return;
        };
        run.holder = Some(report.holder);
        run.worker_id = Some(report.worker_id).filter(|id| !id.is_empty());
        match report.state {
            RunState::Running { .. } if run.worker_id.is_none() => {
                run.phase = task_record::Phase::Unresolved;
                run.request_withdrawal(now);
            }
            RunState::Running { .. } => run.phase = task_record::Phase::Running,
            RunState::Finished(finished) => {
                run.phase = task_record::Phase::Finished(Box::new(finished));
            }
            RunState::NeverStarted => run.phase = task_record::Phase::NeverStarted,
            RunState::Stopped => run.phase = task_record::Phase::EndedWithoutResult,
            RunState::Lost => run.phase = task_record::Phase::Missing(missing),
        }
    }

    fn serve_accepted(&mut self, partitions: &[(Partition, Generation)]) {
        if partitions.is_empty() {
            return;
        }
        for (partition, _) in partitions {
            if let Some(ownership) = self.owned.get_mut(partition) {
                ownership.phase = ownership::OwnershipPhase::Serving;
            }
        }
        self.actions.push(Action::Serving {
            partitions: partitions.to_vec(),
            grants: Vec::new(),
        });
        let tasks: Vec<_> = self
            .tasks
            .keys()
            .filter(|task_id| {
                let partition = partition_of(**task_id);
                partitions.iter().any(|(id, _)| *id == partition)
            })
            .copied()
            .collect();
        for task_id in tasks {
            self.resume_task(task_id);
        }
        self.replay_held_requests();
    }

    fn resume_task(&mut self, task_id: model::TaskId) {
        let Some(record) = self.tasks.get(&task_id) else {
            return;
        };
        match &record.state {
            task_record::State::Journalling | task_record::State::Retracting(_) => {
                self.start_journalling(task_id);
            }
            task_record::State::Queued => self.enqueue(task_id),
            task_record::State::Active(runs) => {
                let finished = |run: &task_record::MemberRun| matches!(&run.phase, task_record::Phase::Finished(done) if done.checkpoint.is_none());
                if runs.iter().all(finished) {
                    self.store_finished_outcome(task_id);
                    return;
                }
                let missing = |run: &task_record::MemberRun| {
                    matches!(run.phase, task_record::Phase::Missing(_))
                };
                if runs.iter().any(missing) {
                    self.search_missing_runs(task_id);
                }
                self.adopt(task_id);
                self.update_task_runs_of_dead_holders(task_id);
                self.evaluate(task_id);
            }
        }
    }

    /// Stores the outcome of a task that the former owner settled, without emitting its actions
    /// again.
    fn store_finished_outcome(&mut self, task_id: model::TaskId) {
        let before = self.actions.len();
        self.settle_done(task_id);
        self.actions.truncate(before);
    }
}

fn run_state(run: &task_record::MemberRun) -> RunState {
    match &run.phase {
        task_record::Phase::Finished(finished) => RunState::Finished((**finished).clone()),
        task_record::Phase::NeverStarted | task_record::Phase::Pending => RunState::NeverStarted,
        task_record::Phase::Missing(missing) if !missing.offer_unresolved => RunState::Lost,
        task_record::Phase::EndedWithoutResult => RunState::Lost,
        _ => RunState::Running { running_ms: 0 },
    }
}

fn remaining_ms(deadline: time::Instant, now: time::Instant) -> u64 {
    let remaining = deadline.saturating_duration_since(now);
    u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX)
}
