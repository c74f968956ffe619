//! Unsettled tasks.

use std::time;

use model::Attempt;
use model::FinishedRun;
use model::InstanceId;
use model::Task;
use model::UnknownReason;
use model::WorkerId;
use sha2::Digest;

use crate::RunFacts;
use crate::Ticket;

/// A task that has no final outcome yet.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) task: Task,
    pub(crate) digest: [u8; 32],
    pub(crate) accepted_at: time::Instant,
    /// Latest first start.
    pub(crate) deadline: time::Instant,
    pub(crate) attempt: Attempt,
    /// Executions that ended by a fault of their worker.
    pub(crate) failures: u32,
    /// Set once an execution may have taken place; such a task is never answered as not run.
    pub(crate) may_have_run: Option<UnknownReason>,
    pub(crate) state: State,
    pub(crate) checkpoint: Option<String>,
    pub(crate) cancelled: bool,
    /// Whether a `Freed` action is owed.
    pub(crate) occupied: bool,
    /// Whether the journal is known to have its entry.
    pub(crate) journalled: bool,
    /// Whether the journal may have its entry.
    pub(crate) journal_sent: bool,
    pub(crate) waited: Option<time::Duration>,
    pub(crate) tickets: Vec<Ticket>,
    pub(crate) facts: Vec<RunFacts>,
}

/// Where an unsettled task is.
#[derive(Debug)]
pub(crate) enum State {
    /// Its journal entry is being written.
    Journalling,
    /// It will not run, which is answered once its journal entry is deleted: until then a new
    /// owner would queue it.
    Retracting(model::NotRunReason),
    /// It waits in the queue, or would if its partition were not being given away.
    Queued,
    /// Its members were offered to holders; one entry for each member.
    Active(Vec<MemberRun>),
}

/// The run of one member.
#[derive(Debug)]
pub(crate) struct MemberRun {
    /// Holder that was last known to be in charge of it.
    pub(crate) holder: Option<InstanceId>,
    pub(crate) worker_id: Option<WorkerId>,
    pub(crate) phase: Phase,
    pub(crate) withdrawal: Withdrawal,
}

/// How far the run of a member has come.
#[derive(Debug)]
pub(crate) enum Phase {
    /// Not offered yet.
    Pending,
    /// Offered; the reply is outstanding, and nothing but it resolves the offer.
    Offered,
    /// Offered; the reply was lost.
    Unresolved,
    /// Handed to a worker.
    Running,
    /// Lost by its holder, or its holder is dead; another holder may have adopted it.
    Missing(Missing),
    /// Ended, with its result.
    Finished(Box<FinishedRun>),
    /// Never started and never will.
    NeverStarted,
    /// May have run and does not run any more.
    Gone,
}

/// A run that must be looked for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Missing {
    /// Fences sent from this sequence on tell whether a holder has it.
    pub(crate) since: u64,
    /// Time after which an unreachable worker cannot be running it.
    pub(crate) expires_at: time::Instant,
    /// Whether holders were asked again after `expires_at`.
    pub(crate) asked_after_expiry: bool,
    /// Whether the holder itself reported the loss.
    pub(crate) reported: bool,
    /// Whether the offer had not been answered.
    pub(crate) unresolved: bool,
}

/// Progress of the request to stop or forbid a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Withdrawal {
    /// Not wanted.
    No,
    /// To be sent from this time on.
    Wanted(time::Instant),
    /// Sent; the reply is outstanding.
    Asked,
}

impl MemberRun {
    pub(crate) fn pending() -> Self {
        Self {
            holder: None,
            worker_id: None,
            phase: Phase::Pending,
            withdrawal: Withdrawal::No,
        }
    }

    /// Returns whether the run cannot change any more.
    pub(crate) fn is_terminal(&self) -> bool {
        matches!(
            self.phase,
            Phase::Finished(_) | Phase::NeverStarted | Phase::Gone
        )
    }

    /// Returns whether the run keeps its gang from finishing.
    pub(crate) fn has_failed(&self) -> bool {
        match &self.phase {
            Phase::NeverStarted | Phase::Gone => true,
            Phase::Finished(run) => is_worker_failure(run) || run.checkpoint.is_some(),
            _ => false,
        }
    }

    pub(crate) fn want_withdrawal(&mut self, now: time::Instant) {
        if matches!(self.phase, Phase::Pending) {
            self.phase = Phase::NeverStarted;
        }
        if !self.is_terminal() && self.withdrawal == Withdrawal::No {
            self.withdrawal = Withdrawal::Wanted(now);
        }
    }
}

impl Record {
    pub(crate) fn is_queued(&self) -> bool {
        matches!(self.state, State::Queued)
    }

    pub(crate) fn members_mut(&mut self) -> Option<&mut Vec<MemberRun>> {
        match &mut self.state {
            State::Active(members) => Some(members),
            _ => None,
        }
    }

    pub(crate) fn members(&self) -> &[MemberRun] {
        match &self.state {
            State::Active(members) => members,
            _ => &[],
        }
    }

    pub(crate) fn has_offer_outstanding(&self) -> bool {
        self.members()
            .iter()
            .any(|member| matches!(member.phase, Phase::Offered))
    }

    pub(crate) fn mark_run(&mut self, reason: UnknownReason) {
        self.may_have_run.get_or_insert(reason);
    }
}

/// Returns whether a run failed by the fault of its worker.
pub(crate) fn is_worker_failure(run: &FinishedRun) -> bool {
    !run.succeeded && run.worker_fault
}

/// Returns whether a task must be in the journal before it is queued.
pub(crate) fn needs_journal(task: &Task) -> bool {
    !task.spec.repeatable || is_recorded_whole(task)
}

/// Returns whether the journal entry of a task holds the task, so that a new owner can queue it.
pub(crate) fn is_recorded_whole(task: &Task) -> bool {
    !task.wait || task.spec.class == model::Class::Service
}

/// Returns whether a new owner that finds the journal entry of a task queues the task.
pub(crate) fn is_restartable(task: &Task) -> bool {
    task.spec.repeatable && is_recorded_whole(task)
}

/// Returns the digest that every use of a key must share.
///
/// Deadline, urgency and expected run time may differ between uses.
pub(crate) fn request_digest(task: &Task) -> [u8; 32] {
    let spec = &task.spec;
    let demand = &spec.demand;
    let mut hasher = sha2::Sha256::new();
    hash_text(&mut hasher, &task.customer_id);
    hash_text(&mut hasher, &spec.kind);
    hash_text(&mut hasher, &spec.body);
    hasher.update([spec.class as u8, u8::from(spec.repeatable)]);
    hasher.update(spec.members.to_be_bytes());
    hasher.update(demand.processors_milli.to_be_bytes());
    hasher.update(demand.memory_mb.to_be_bytes());
    hasher.update(demand.accelerators.to_be_bytes());
    hasher.finalize().into()
}

fn hash_text(hasher: &mut sha2::Sha256, text: &str) {
    hasher.update((text.len() as u64).to_be_bytes());
    hasher.update(text);
}
