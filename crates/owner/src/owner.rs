//! The [`Owner`] state machine: its state and the dispatch of events to their handlers.

use std::mem;
use std::time;

use indexmap::IndexMap;
use indexmap::IndexSet;
use model::Generation;
use model::InstanceId;
use model::Partition;
use model::PartitionTable;
use model::Revision;
use model::TaskId;
use model::Tenure;
use model::WorkerId;

use crate::Action;
use crate::Event;
use crate::Member;
use crate::OwnerSettings;
use crate::RequestId;
use crate::delegation;
use crate::fence_tracker;
use crate::journal_writer;
use crate::outcome_cache;
use crate::ownership;
use crate::pending_answer;
use crate::table_view;
use crate::task_record;
use crate::timers;

/// Manages the tasks of the partitions that an instance owns.
#[derive(Debug)]
pub struct Owner {
    pub(crate) settings: OwnerSettings,
    pub(crate) started_at: time::Instant,
    /// Time of the event that is being handled.
    pub(crate) now: time::Instant,
    /// Number of the event that is being handled.
    pub(crate) sequence: u64,
    pub(crate) actions: Vec<Action>,
    pub(crate) table: table_view::TableView,
    /// Live members including this instance; empty before the first `Members` event.
    pub(crate) members: IndexMap<InstanceId, Member>,
    /// When each instance that is no longer live disappeared from the members.
    pub(crate) lost_at: IndexMap<InstanceId, time::Instant>,
    pub(crate) unreachable: Vec<InstanceId>,
    /// Workers in the platform's list; `None` before the first `Workers` event.
    pub(crate) workers: Option<Vec<WorkerId>>,
    /// Partitions that this instance owns in their highest known generation, or is delegating.
    pub(crate) owned: IndexMap<Partition, ownership::Ownership>,
    pub(crate) fence_tracker: fence_tracker::FenceTracker,
    pub(crate) grants: IndexMap<(model::PlanId, InstanceId), model::QuotaAsk>,
    pub(crate) tasks: IndexMap<TaskId, task_record::TaskRecord>,
    pub(crate) outcome_cache: outcome_cache::OutcomeCache,
    pub(crate) pending_answers: IndexMap<RequestId, pending_answer::PendingAnswer>,
    pub(crate) timers: timers::Timers,
    pub(crate) journal: journal_writer::JournalWriter,
    /// Tasks with a missing run.
    pub(crate) missing_run_tasks: IndexSet<TaskId>,
    /// Tasks with a withdrawal still to be sent.
    pub(crate) withdrawing: IndexSet<TaskId>,
    pub(crate) draining: bool,
    pub(crate) delegations: IndexMap<InstanceId, delegation::Delegation>,
    pub(crate) next_rebalance_at: time::Instant,
}

impl Owner {
    /// Creates an owner that has not read the partition table.
    #[must_use]
    pub fn new(settings: OwnerSettings, now: time::Instant) -> Self {
        let outcome_cache = outcome_cache::OutcomeCache::new(
            settings.max_tasks.saturating_mul(MAX_OUTCOMES_PER_TASK),
            settings.result_retention,
            settings.journal_retention,
        );
        let journal = journal_writer::JournalWriter::new(
            settings.journal_batch_delay,
            settings.journal_batch_entries.min(MAX_BATCH_ENTRIES),
        );
        Self {
            started_at: now,
            now,
            sequence: 0,
            actions: Vec::new(),
            table: table_view::TableView::new(now),
            members: IndexMap::new(),
            lost_at: IndexMap::new(),
            unreachable: Vec::new(),
            workers: None,
            owned: IndexMap::new(),
            fence_tracker: fence_tracker::FenceTracker::default(),
            grants: IndexMap::new(),
            tasks: IndexMap::new(),
            outcome_cache,
            pending_answers: IndexMap::new(),
            timers: timers::Timers::default(),
            journal,
            missing_run_tasks: IndexSet::new(),
            withdrawing: IndexSet::new(),
            draining: false,
            delegations: IndexMap::new(),
            next_rebalance_at: now + settings.dead_after,
            settings,
        }
    }

    /// Handles `event` at `now` and returns the actions to perform, in order.
    ///
    /// The caller must pass [`Event::Tick`] at least every 50 ms. Each `Withdraw`, `Fence`,
    /// `ReadTable`, `WriteTable`, `WriteJournal`, `ReadJournal` and `Delegate` is answered by
    /// exactly one event, also when the reply was lost, and each `Dispatched` is followed by
    /// exactly one event that resolves its offer.
    #[must_use]
    pub fn handle_event(&mut self, event: Event, now: time::Instant) -> Vec<Action> {
        self.now = now.max(self.now);
        self.sequence += 1;
        let run_scans = self.handle(event);
        self.advance(run_scans);
        mem::take(&mut self.actions)
    }

    /// Handles `event`; returns whether it may unblock a change of ownership, so that all tasks and
    /// partitions must be scanned.
    pub(crate) fn handle(&mut self, event: Event) -> bool {
        match event {
            Event::Submit {
                request_id,
                task,
                deadline,
                resent,
            } => self.submit(request_id, task, deadline, resent),
            Event::Lookup {
                request_id,
                customer_id,
                task_id,
                until,
            } => self.lookup(request_id, customer_id, task_id, until),
            Event::Cancel {
                request_id,
                customer_id,
                task_id,
            } => self.cancel(request_id, customer_id, task_id),
            Event::Abandon { request_id } => self.abandon(request_id),
            Event::Dispatched {
                task_id,
                attempt,
                members,
                holder,
            } => self.dispatched(task_id, attempt, &members, &holder),
            Event::OfferAccepted {
                task_id,
                attempt,
                members,
                holder,
                workers,
            } => self.offer_accepted(task_id, attempt, &members, &holder, &workers),
            Event::OfferRefused {
                task_id,
                attempt,
                members,
                holder,
            } => self.offer_refused(task_id, attempt, &members, &holder),
            Event::OfferReplyLost {
                task_id,
                attempt,
                members,
                holder,
            } => self.offer_lost(task_id, attempt, &members, &holder),
            Event::Reports(reports) => self.handle_reports(reports),
            Event::Withdrawn(report) => self.withdrawn(report),
            Event::WithdrawFailed { run, holder } => self.withdraw_failed(run, &holder),
            Event::QueueExpired { task_id } => self.queue_expired(task_id),
            Event::QueueRefused {
                task_id,
                reason,
                retry_after,
            } => self.queue_refused(task_id, reason, retry_after),
            other => {
                self.handle_cluster_event(other);
                return true;
            }
        }
        false
    }

    fn handle_cluster_event(&mut self, event: Event) {
        match event {
            Event::TableRead { table, revision } => self.table_read(table, revision),
            Event::PeerTableReceived {
                table,
                revision,
                newer,
            } => self.peer_table_received(table, revision, newer),
            Event::TableReadFailed => self.table.read_failed(self.now),
            Event::TableWritten { result, revision } => self.table_written(result, revision),
            Event::Members { live, unreachable } => self.members_changed(live, unreachable),
            Event::FenceAcked {
                from,
                partitions,
                ack,
            } => self.fence_acked(&from, &partitions, ack),
            Event::FenceFailed { from } => self.fence_tracker.fence_failed(&from, self.now),
            Event::Fenced { owner, partitions } => self.fenced(&owner, &partitions),
            Event::JournalWritten { batch_id, result } => self.journal_written(batch_id, result),
            Event::JournalRead { partition, entries } => self.journal_read(partition, entries),
            Event::JournalReadFailed { partition } => self.journal_read_failed(partition),
            Event::Workers(workers) => self.workers = Some(workers),
            Event::Delegated {
                from: _,
                partitions,
                started,
                queued,
            } => self.accept_delegation(&partitions, started, queued),
            Event::DelegateAcked { to } => self.delegate_acked(&to),
            Event::DelegateFailed { to } => self.delegate_failed(&to),
            Event::DelegateRefused { to } => self.delegate_refused(&to),
            Event::Drain => self.draining = true,
            _ => {}
        }
    }

    /// Runs the follow-up work that is due after an event.
    ///
    /// After an event of a single task, scans over all tasks or partitions are left to the next
    /// tick or cluster event.
    fn advance(&mut self, run_scans: bool) {
        self.fire_timers();
        self.send_withdrawals();
        if run_scans {
            self.sweep_outcome_cache();
            self.check_missing_runs();
            self.check_takeovers();
            self.advance_delegations();
            self.claim_partitions();
            self.send_fences();
            self.read_journals();
        }
        self.flush_journal();
        if self.table.begin_due_read(self.now) {
            self.actions.push(Action::ReadTable);
        }
    }

    /// Returns the id of this instance.
    #[must_use]
    pub fn instance_id(&self) -> &InstanceId {
        &self.settings.instance_id
    }

    /// Returns the owner of `partition`, if known.
    #[must_use]
    pub fn owner_of(&self, partition: Partition) -> Option<&InstanceId> {
        let tenure = self.table.effective().tenure(partition);
        tenure.map(|tenure| &tenure.instance_id)
    }

    /// Returns the highest generation of `partition` known; 0 before the first.
    #[must_use]
    pub fn generation(&self, partition: Partition) -> Generation {
        self.table.generation(partition)
    }

    /// Returns whether this instance owns `partition`, even if it does not serve it yet.
    ///
    /// Reports on tasks of any other partition must be refused with `NotOwner`, so that the lease
    /// holder keeps them for the owner.
    #[must_use]
    pub fn owns(&self, partition: Partition) -> bool {
        let ownership = self.owned.get(&partition);
        ownership.is_some_and(|ownership| !ownership.is_delegated())
    }

    /// Returns whether this instance serves `partition` now.
    #[must_use]
    pub fn serves(&self, partition: Partition) -> bool {
        let ownership = self.owned.get(&partition);
        ownership.is_some_and(ownership::Ownership::is_serving)
    }

    /// Returns the partitions that this instance serves now; new task ids are drawn from them.
    #[must_use]
    pub fn served_partitions(&self) -> Vec<Partition> {
        self.owned
            .iter()
            .filter(|(_, ownership)| ownership.is_serving())
            .map(|(partition, _)| *partition)
            .collect()
    }

    /// Returns how many partitions this instance owns but does not serve yet.
    #[must_use]
    pub fn pending_partitions(&self) -> u32 {
        let pending = self
            .owned
            .values()
            .filter(|ownership| ownership.is_pending());
        u32::try_from(pending.count()).unwrap_or(u32::MAX)
    }

    /// Returns the table as read from the store, at [`Owner::table_revision`].
    #[must_use]
    pub fn stored_table(&self) -> &PartitionTable {
        self.table.stored()
    }

    /// Returns the known tenures that are newer than [`Owner::stored_table`].
    pub fn newer_tenures(&self) -> impl Iterator<Item = (Partition, &Tenure)> {
        self.table.newer()
    }

    /// Returns the revision of the table as read from the store; 0 before the first.
    #[must_use]
    pub fn table_revision(&self) -> Revision {
        self.table.revision()
    }

    /// Returns the number of unsettled tasks.
    #[must_use]
    pub fn tasks(&self) -> usize {
        self.tasks.len()
    }

    /// Returns whether a caller waits at this instance for an outcome, or may reconnect for one.
    #[must_use]
    pub fn has_waiting_callers(&self) -> bool {
        !self.pending_answers.is_empty() || self.tasks.values().any(|record| record.task.wait)
    }

    /// Returns whether a draining owner has delegated all partitions and answered every request.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.draining
            && self.pending_answers.is_empty()
            && self.tasks.is_empty()
            && self.delegations.is_empty()
            && self.journal.is_idle()
    }

    pub(crate) fn is_live(&self, instance_id: &InstanceId) -> bool {
        self.members.contains_key(instance_id)
    }

    /// Returns `at` as wall-clock time in milliseconds since the Unix epoch.
    pub(crate) fn unix_ms(&self, at: time::Instant) -> u64 {
        let elapsed = at.saturating_duration_since(self.started_at);
        let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        self.settings.started_unix_ms.saturating_add(elapsed_ms)
    }

    /// Returns the instant of a wall-clock time in milliseconds since the Unix epoch, or now if
    /// that time has passed.
    pub(crate) fn instant_of(&self, unix_ms: u64) -> time::Instant {
        let ahead_ms = unix_ms.saturating_sub(self.unix_ms(self.now));
        let ahead = time::Duration::from_millis(ahead_ms);
        self.now.checked_add(ahead).unwrap_or(self.now)
    }
}

/// Maximum number of cached outcomes per task of `max_tasks`.
const MAX_OUTCOMES_PER_TASK: usize = 4;

/// Maximum number of puts and deletes in one transaction.
const MAX_BATCH_ENTRIES: usize = 100;
