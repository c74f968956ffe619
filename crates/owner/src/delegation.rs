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
use crate::Ticket;
use crate::record;
use crate::settled;
use crate::tenancy;

/// Delay before a delegation that was not answered is resent.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(200);

/// Interval at which surplus partitions are delegated.
const REBALANCE_EVERY: time::Duration = time::Duration::from_millis(500);

/// Maximum number of partitions delegated at once to rebalance.
const REBALANCE_PARTITIONS: usize = 4;

/// Partitions that are being delegated to one peer.
#[derive(Debug)]
pub(crate) struct Delegation {
    pub(crate) partitions: Vec<Partition>,
    /// Whether a reply is outstanding.
    asked: bool,
    /// Whether the message has been sent; from then on only the peer may serve the partitions.
    sent: bool,
    /// Whether a reply was lost, so that the peer may have accepted the delegation.
    doubted: bool,
    retry_at: time::Instant,
    message: Option<Message>,
    /// Tickets of the delegated tasks; redirected to the peer once it has answered.
    tickets: Vec<Ticket>,
    /// Delegated tasks whose resources are not freed yet at this instance.
    occupying: Vec<Task>,
}

/// Contents of a delegation.
#[derive(Clone, Debug)]
struct Message {
    partitions: Vec<(Partition, Generation)>,
    started: Vec<RunReport>,
    queued: Vec<(Task, time::Instant)>,
}

impl Owner {
    pub(crate) fn advance_delegations(&mut self) {
        if self.draining {
            self.close_all();
        } else if self.now >= self.next_rebalance_at {
            self.next_rebalance_at = self.now + REBALANCE_EVERY;
            self.close_surplus();
        }
        let peers: Vec<_> = self.delegations.keys().cloned().collect();
        for to in peers {
            self.advance_delegation(&to);
        }
    }

    /// Returns the peers that can receive partitions, with the number that each one has.
    fn takers(&self) -> IndexMap<InstanceId, usize> {
        let own_id = &self.settings.instance_id;
        let mut takers: IndexMap<_, _> = self
            .members
            .values()
            .filter(|member| !member.draining && member.instance_id != *own_id)
            .map(|member| (member.instance_id.clone(), 0))
            .collect();
        for tenure in &self.table.effective().tenures {
            if let Some(load) = takers.get_mut(&tenure.instance_id) {
                *load += 1;
            }
        }
        for (to, delegation) in &self.delegations {
            if let Some(load) = takers.get_mut(to) {
                *load += delegation.partitions.len();
            }
        }
        takers
    }

    fn serving_by_load(&self) -> Vec<Partition> {
        let mut loads: IndexMap<Partition, usize> =
            self.serving().into_iter().map(|id| (id, 0)).collect();
        for task_id in self.tasks.keys() {
            if let Some(load) = loads.get_mut(&partition_of(*task_id)) {
                *load += 1;
            }
        }
        loads.sort_by(|_, left, _, right| left.cmp(right));
        loads.into_keys().collect()
    }

    fn close_all(&mut self) {
        let serving = self.serving();
        if serving.is_empty() {
            return;
        }
        let mut takers = self.takers();
        let busy = &self.delegations;
        takers.retain(|id, _| !busy.contains_key(id));
        for partition in serving {
            let least = takers.iter_mut().min_by_key(|(_, load)| **load);
            let Some((to, load)) = least else {
                return;
            };
            *load += 1;
            let to = to.clone();
            self.close(partition, to);
        }
    }

    /// Begins to delegate surplus partitions to the peer with the fewest, if that peer has at least
    /// 2 fewer than this instance.
    fn close_surplus(&mut self) {
        if !self.delegations.is_empty() || self.table.effective().tenures.is_empty() {
            return;
        }
        let takers = self.takers();
        let Some((to, load)) = takers.into_iter().min_by_key(|(_, load)| *load) else {
            return;
        };
        let own = self.owned.len();
        let share = usize::from(model::PARTITIONS).div_ceil(self.members.len().max(1));
        if own <= share || own < load + 2 {
            return;
        }
        let surplus = (own - share).min((own - load) / 2);
        let chosen = self.serving_by_load();
        for partition in chosen.into_iter().take(surplus.min(REBALANCE_PARTITIONS)) {
            self.close(partition, to.clone());
        }
    }

    fn close(&mut self, partition: Partition, to: InstanceId) {
        if let Some(tenancy) = self.owned.get_mut(&partition) {
            tenancy.phase = tenancy::TenancyPhase::Closing;
        }
        let queued: Vec<_> = self
            .tasks
            .iter()
            .filter(|(task_id, record)| partition_of(**task_id) == partition && record.is_queued())
            .map(|(task_id, _)| *task_id)
            .collect();
        for task_id in queued {
            self.out.push(Action::Unqueue { task_id });
        }
        let now = self.now;
        let delegation = self.delegations.entry(to).or_insert_with(|| Delegation {
            partitions: Vec::new(),
            asked: false,
            sent: false,
            doubted: false,
            retry_at: now,
            message: None,
            tickets: Vec::new(),
            occupying: Vec::new(),
        });
        delegation.partitions.push(partition);
    }

    fn advance_delegation(&mut self, to: &InstanceId) {
        let Some(delegation) = self.delegations.get(to) else {
            return;
        };
        if delegation.asked {
            return;
        }
        if !self.is_live(to) {
            self.end_unanswered(to);
        } else if delegation.sent {
            if delegation.retry_at <= self.now {
                self.send_delegation(to);
            }
        } else if self.may_hand_over(&delegation.partitions) {
            let message = self.message(&delegation.partitions);
            self.give_away(to, message);
        }
    }

    /// Ends the delegation to a peer that has died: partitions that it may have accepted are
    /// claimed through the table.
    fn end_unanswered(&mut self, to: &InstanceId) {
        let Some(delegation) = self.delegations.swap_remove(to) else {
            return;
        };
        if delegation.sent {
            self.forget_given_away(to, delegation);
            return;
        }
        for partition in &delegation.partitions {
            if let Some(tenancy) = self.owned.get_mut(partition) {
                tenancy.phase = tenancy::TenancyPhase::Serving;
            }
        }
        for partition in delegation.partitions {
            self.close_gather(partition);
        }
        self.release_held();
    }

    /// Returns whether no outstanding offer or journal batch of this instance can still affect the
    /// partitions.
    fn may_hand_over(&self, partitions: &[Partition]) -> bool {
        let offers = self.tasks.iter().any(|(task_id, record)| {
            record.has_offer_outstanding() && partitions.contains(&partition_of(*task_id))
        });
        !offers && !self.journal.is_outstanding()
    }

    fn give_away(&mut self, to: &InstanceId, message: Message) {
        for (partition, _) in &message.partitions {
            self.journal.forget(*partition);
            if let Some(tenancy) = self.owned.get_mut(partition) {
                tenancy.phase = tenancy::TenancyPhase::GivenAway;
            }
        }
        let partitions: Vec<_> = message.partitions.iter().map(|(id, _)| *id).collect();
        let mut tickets = Vec::new();
        let mut occupying = Vec::new();
        self.tasks.retain(|task_id, record| {
            let stays = !partitions.contains(&partition_of(*task_id));
            if !stays {
                tickets.append(&mut record.tickets);
                occupying.extend(record.occupied.then(|| record.task.clone()));
            }
            stays
        });
        let tasks = &self.tasks;
        self.suspects.retain(|task_id| tasks.contains_key(task_id));
        self.withdrawing
            .retain(|task_id| tasks.contains_key(task_id));
        if let Some(delegation) = self.delegations.get_mut(to) {
            delegation.sent = true;
            delegation.message = Some(message);
            delegation.tickets = tickets;
            delegation.occupying = occupying;
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
        delegation.asked = true;
        let queued = message
            .queued
            .into_iter()
            .map(|(task, deadline)| (task, remaining_ms(deadline, now)))
            .collect();
        self.out.push(Action::Delegate {
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
            self.forget_given_away(to, delegation);
        }
    }

    pub(crate) fn delegate_failed(&mut self, to: &InstanceId) {
        let retry_at = self.now + RETRY_AFTER;
        if let Some(delegation) = self.delegations.get_mut(to) {
            delegation.asked = false;
            delegation.doubted = true;
            delegation.retry_at = retry_at;
        }
    }

    /// Takes back partitions that the peer refused, unless an earlier reply was lost: then the peer
    /// may have accepted them.
    pub(crate) fn delegate_refused(&mut self, to: &InstanceId) {
        let taken_back = |delegation: &Delegation| delegation.sent && !delegation.doubted;
        if !self.delegations.get(to).is_some_and(taken_back) {
            self.delegate_failed(to);
            return;
        }
        let Some(delegation) = self.delegations.swap_remove(to) else {
            return;
        };
        for task in delegation.occupying {
            self.out.push(Action::Freed { task });
        }
        if let Some(message) = delegation.message {
            let now = self.now;
            let queued = message.queued.into_iter();
            let queued = queued.map(|(task, deadline)| (task, remaining_ms(deadline, now)));
            self.delegated(&message.partitions, message.started, queued.collect());
        }
        for ticket in delegation.tickets {
            if self.tickets.contains_key(&ticket) {
                self.answer(ticket, Answer::NotOwner);
            }
        }
    }

    fn forget_given_away(&mut self, to: &InstanceId, delegation: Delegation) {
        for task in delegation.occupying {
            self.out.push(Action::Freed { task });
        }
        for ticket in delegation.tickets {
            if self.tickets.contains_key(&ticket) {
                self.answer(ticket, Answer::NotOwner);
            }
        }
        let partitions = delegation.message.map(|message| message.partitions);
        for (partition, generation) in partitions.unwrap_or_default() {
            let instance_id = to.clone();
            self.table.note(
                partition,
                Tenure {
                    instance_id,
                    generation,
                },
            );
        }
        self.follow_table();
    }

    fn message(&self, partitions: &[Partition]) -> Message {
        let generations = partitions
            .iter()
            .map(|partition| (*partition, self.generation(*partition) + 1))
            .collect();
        let mut message = Message {
            partitions: generations,
            started: Vec::new(),
            queued: Vec::new(),
        };
        for (task_id, record) in &self.tasks {
            if partitions.contains(&partition_of(*task_id)) {
                self.pack_task(record, &mut message);
            }
        }
        for settled in self.memory.outcomes() {
            if partitions.contains(&partition_of(settled.task.task_id)) {
                self.pack_settled(settled, &mut message);
            }
        }
        message
    }

    fn pack_task(&self, record: &record::Record, message: &mut Message) {
        if matches!(record.state, record::State::Retracting(_)) {
            return;
        }
        if record.members().is_empty() {
            message.queued.push((record.task.clone(), record.deadline));
            if record.is_queued() {
                message.started.push(self.packed_queued(record));
            }
            return;
        }
        for (member, run) in (0..).zip(record.members()) {
            let state = packed_state(run);
            let holder = run.holder.clone();
            let worker = run.worker_id.clone();
            let report = self.packed(&record.task, member, record.attempt, state);
            message.started.push(RunReport {
                holder: holder.unwrap_or_else(|| self.settings.instance_id.clone()),
                worker_id: worker.unwrap_or_default(),
                ..report
            });
        }
    }

    /// Returns a report that describes a queued task: its next attempt, or the checkpoint to resume
    /// from.
    fn packed_queued(&self, record: &record::Record) -> RunReport {
        let Some(checkpoint) = &record.checkpoint else {
            return self.packed(&record.task, 0, record.attempt, RunState::NeverStarted);
        };
        let attempt = record.attempt.saturating_sub(1);
        let run = TaskAttempt {
            task_id: record.task.task_id,
            member: 0,
            attempt,
        };
        let mut finished = FinishedRun::whole(run, true, String::new(), 0);
        finished.checkpoint = Some(checkpoint.clone());
        self.packed(&record.task, 0, attempt, RunState::Finished(finished))
    }

    fn pack_settled(&self, settled: &settled::Settled, message: &mut Message) {
        let task = &settled.task;
        match &settled.outcome {
            Outcome::NotRun(_) => {}
            Outcome::Unknown(_) => {
                let state = RunState::Stopped;
                message
                    .started
                    .push(self.packed(task, 0, settled.attempt, state));
            }
            Outcome::Done(result) => {
                for (member, output) in (0..).zip(&result.outputs) {
                    let run = TaskAttempt {
                        task_id: task.task_id,
                        member,
                        attempt: settled.attempt,
                    };
                    let finished =
                        FinishedRun::whole(run, result.succeeded, output.clone(), result.run_ms);
                    let state = RunState::Finished(finished);
                    message
                        .started
                        .push(self.packed(task, member, settled.attempt, state));
                }
            }
        }
    }

    fn packed(
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
    pub(crate) fn delegated(
        &mut self,
        partitions: &[(Partition, Generation)],
        started: Vec<RunReport>,
        queued: Vec<(Task, u64)>,
    ) {
        let fresh: Vec<_> = partitions
            .iter()
            .filter(|(partition, generation)| *generation > self.generation(*partition))
            .copied()
            .collect();
        for (partition, generation) in &fresh {
            self.begin_delegated(*partition, *generation);
        }
        let is_fresh = |task_id| {
            let partition = partition_of(task_id);
            fresh.iter().any(|(id, _)| *id == partition)
        };
        for (task, remaining) in queued {
            if is_fresh(task.task_id) {
                self.unpack_queued(task, remaining);
            }
        }
        for report in started {
            if is_fresh(report.run.task_id) {
                self.unpack_started(report);
            }
        }
        self.open_delegated(&fresh);
    }

    fn begin_delegated(&mut self, partition: Partition, generation: Generation) {
        if self.owned.contains_key(&partition) {
            self.drop_partition(partition);
        }
        let tenancy = tenancy::Tenancy {
            generation,
            phase: tenancy::TenancyPhase::Closing,
            taken_over_at: None,
            delegated: true,
            journal: tenancy::JournalState::Unread(self.now),
        };
        self.owned.insert(partition, tenancy);
        let instance_id = self.settings.instance_id.clone();
        self.table.note(
            partition,
            Tenure {
                instance_id,
                generation,
            },
        );
        self.fences.request(partition, self.sequence);
    }

    fn unpack_queued(&mut self, task: Task, remaining: u64) {
        let deadline = self.now + time::Duration::from_millis(remaining);
        let task_id = task.task_id;
        let mut record = self.new_record(task, deadline);
        record.journal_sent = record::needs_journal(&record.task);
        self.tasks.insert(task_id, record);
    }

    fn unpack_started(&mut self, report: RunReport) {
        let task_id = report.run.task_id;
        match (&report.state, self.tasks.get_mut(&task_id)) {
            (RunState::NeverStarted, Some(record)) if record.members().is_empty() => {
                record.attempt = report.run.attempt;
                record.journalled = record.journal_sent;
                record.state = record::State::Queued;
                if report.run.attempt > 1 {
                    record.mark_run(UnknownReason::WorkerLost);
                }
            }
            (RunState::Finished(finished), Some(record)) if record.members().is_empty() => {
                record.attempt = report.run.attempt + 1;
                record.journalled = record.journal_sent;
                record.checkpoint = finished.checkpoint.clone();
                record.state = record::State::Queued;
                record.mark_run(UnknownReason::WorkerLost);
            }
            (RunState::Stopped, None) => self.unpack_unknown(report),
            (_, _) => self.unpack_run(report),
        }
    }

    fn unpack_unknown(&mut self, report: RunReport) {
        if let Some(task) = report.task {
            let settled = settled::Settled {
                digest: record::request_digest(&task),
                task,
                outcome: Outcome::Unknown(UnknownReason::WorkerLost),
                attempt: report.run.attempt,
            };
            self.memory.insert(settled, self.now);
        }
    }

    fn unpack_run(&mut self, report: RunReport) {
        let missing = self.missing_now(true, false);
        let task_id = report.run.task_id;
        let Some(task) = report.task else {
            return;
        };
        if !self.tasks.contains_key(&task_id) {
            let wait = time::Duration::from_millis(task.spec.deadline_ms);
            let mut record = self.new_record(task, self.now + wait);
            record.attempt = report.run.attempt;
            record.state = record::State::Active(crate::runs::pending_members(&record.task));
            record.journal_sent = record::needs_journal(&record.task);
            record.journalled = record.journal_sent;
            self.tasks.insert(task_id, record);
        }
        let now = self.now;
        let record = self.tasks.get_mut(&task_id);
        let runs = record.and_then(record::Record::members_mut);
        let Some(run) = runs.and_then(|runs| runs.get_mut(usize::from(report.run.member))) else {
            return;
        };
        run.holder = Some(report.holder);
        run.worker_id = Some(report.worker_id).filter(|id| !id.is_empty());
        match report.state {
            RunState::Running { .. } if run.worker_id.is_none() => {
                run.phase = record::Phase::Unresolved;
                run.want_withdrawal(now);
            }
            RunState::Running { .. } => run.phase = record::Phase::Running,
            RunState::Finished(finished) => {
                run.phase = record::Phase::Finished(Box::new(finished));
            }
            RunState::NeverStarted => run.phase = record::Phase::NeverStarted,
            RunState::Stopped => run.phase = record::Phase::Gone,
            RunState::Lost => run.phase = record::Phase::Missing(missing),
        }
    }

    fn open_delegated(&mut self, partitions: &[(Partition, Generation)]) {
        if partitions.is_empty() {
            return;
        }
        for (partition, _) in partitions {
            if let Some(tenancy) = self.owned.get_mut(partition) {
                tenancy.phase = tenancy::TenancyPhase::Serving;
            }
        }
        self.out.push(Action::Serving {
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
            self.open_task(task_id);
        }
        self.release_held();
    }

    fn open_task(&mut self, task_id: model::TaskId) {
        let Some(record) = self.tasks.get(&task_id) else {
            return;
        };
        match &record.state {
            record::State::Journalling | record::State::Retracting(_) => {
                self.start_journalling(task_id);
            }
            record::State::Queued => self.enqueue(task_id),
            record::State::Active(runs) => {
                let finished = |run: &record::MemberRun| matches!(&run.phase, record::Phase::Finished(done) if done.checkpoint.is_none());
                if runs.iter().all(finished) {
                    self.file_finished(task_id);
                    return;
                }
                let missing =
                    |run: &record::MemberRun| matches!(run.phase, record::Phase::Missing(_));
                if runs.iter().any(missing) {
                    self.suspect(task_id);
                }
                self.adopt(task_id);
                self.suspect_task_of_dead(task_id);
                self.evaluate(task_id);
            }
        }
    }

    /// Stores the outcome of a task that the former owner settled, without emitting its actions
    /// again.
    fn file_finished(&mut self, task_id: model::TaskId) {
        let before = self.out.len();
        self.settle_done(task_id);
        self.out.truncate(before);
    }
}

fn packed_state(run: &record::MemberRun) -> RunState {
    match &run.phase {
        record::Phase::Finished(finished) => RunState::Finished((**finished).clone()),
        record::Phase::NeverStarted | record::Phase::Pending => RunState::NeverStarted,
        record::Phase::Missing(missing) if !missing.unresolved => RunState::Lost,
        record::Phase::Gone => RunState::Lost,
        _ => RunState::Running { running_ms: 0 },
    }
}

fn remaining_ms(deadline: time::Instant, now: time::Instant) -> u64 {
    let remaining = deadline.saturating_duration_since(now);
    u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX)
}
