//! State of an unsettled task.

use std::time;

use model::Attempt;
use model::FinishedRun;
use model::InstanceId;
use model::Task;
use model::UnknownReason;
use model::WorkerId;
use sha2::Digest;

use crate::RequestId;
use crate::RunSummary;

/// A task that has no final outcome yet.
#[derive(Debug)]
pub(crate) struct TaskRecord {
    pub(crate) task: Task,
    pub(crate) digest: [u8; 32],
    pub(crate) accepted_at: time::Instant,
    /// Latest time of the first start.
    pub(crate) deadline: time::Instant,
    pub(crate) attempt: Attempt,
    /// Number of attempts that failed by a fault of their worker.
    pub(crate) failures: u32,
    /// Set once the task may have been executed; it is then never answered as not run.
    pub(crate) may_have_run: Option<UnknownReason>,
    pub(crate) state: State,
    pub(crate) checkpoint: Option<String>,
    pub(crate) cancelled: bool,
    /// Whether a `ResourcesFreed` action is still to be emitted.
    pub(crate) holds_resources: bool,
    /// Whether the journal is known to have its entry.
    pub(crate) journalled: bool,
    /// Whether the journal may have its entry.
    pub(crate) journal_sent: bool,
    pub(crate) queue_wait: Option<time::Duration>,
    pub(crate) request_ids: Vec<RequestId>,
    pub(crate) run_summaries: Vec<RunSummary>,
}

/// State of an unsettled task.
#[derive(Debug)]
pub(crate) enum State {
    /// Its journal entry is to be written, or being written.
    Journalling,
    /// It will not run. This is answered only once its journal entry is deleted: until then a new
    /// owner would queue it.
    Retracting(model::NotRunReason),
    /// It is in the queue, or belongs there but its partition is not served or is being delegated.
    Queued,
    /// Its members were offered to lease holders; one entry for each member.
    Active(Vec<MemberRun>),
}

/// The run of one member of a task.
#[derive(Debug)]
pub(crate) struct MemberRun {
    /// Last known lease holder of its worker.
    pub(crate) holder: Option<InstanceId>,
    pub(crate) worker_id: Option<WorkerId>,
    pub(crate) phase: Phase,
    pub(crate) withdrawal: Withdrawal,
}

/// Phase of a member's run.
#[derive(Debug)]
pub(crate) enum Phase {
    /// Not offered yet.
    Pending,
    /// Offered; only the outstanding reply resolves the offer.
    Offered,
    /// Offered; the reply was lost.
    Unresolved,
    /// Started on a worker.
    Running,
    /// Its lease holder lost it or is dead; another holder may have adopted it.
    Missing(MissingRun),
    /// Finished, with its result.
    Finished(Box<FinishedRun>),
    /// Not started, and never will be.
    NeverStarted,
    /// May have run, and no longer does; there is no result.
    EndedWithoutResult,
}

/// A run whose current lease holder is not known.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MissingRun {
    /// Only answers to fences sent at this event sequence or later show whether a holder has it.
    pub(crate) since_sequence: u64,
    /// Time after which an unreachable worker has stopped it.
    pub(crate) expires_at: time::Instant,
    /// Whether lease holders were fenced again after `expires_at`.
    pub(crate) searched_after_expiry: bool,
    /// Whether its lease holder reported the loss.
    pub(crate) reported_by_holder: bool,
    /// Whether the reply to its offer was lost.
    pub(crate) offer_unresolved: bool,
}

/// State of the request to stop a run or to forbid its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Withdrawal {
    /// Not requested.
    NotRequested,
    /// To be sent at this time or later.
    Requested(time::Instant),
    /// Sent; the reply is outstanding.
    Sent,
}

impl MemberRun {
    pub(crate) fn pending() -> Self {
        Self {
            holder: None,
            worker_id: None,
            phase: Phase::Pending,
            withdrawal: Withdrawal::NotRequested,
        }
    }

    /// Returns whether the run is in a final phase.
    pub(crate) fn is_terminal(&self) -> bool {
        matches!(
            self.phase,
            Phase::Finished(_) | Phase::NeverStarted | Phase::EndedWithoutResult
        )
    }

    /// Returns whether the run prevents its gang from finishing.
    pub(crate) fn has_failed(&self) -> bool {
        match &self.phase {
            Phase::NeverStarted | Phase::EndedWithoutResult => true,
            Phase::Finished(run) => is_worker_failure(run) || run.checkpoint.is_some(),
            _ => false,
        }
    }

    pub(crate) fn request_withdrawal(&mut self, now: time::Instant) {
        if matches!(self.phase, Phase::Pending) {
            self.phase = Phase::NeverStarted;
        }
        if !self.is_terminal() && self.withdrawal == Withdrawal::NotRequested {
            self.withdrawal = Withdrawal::Requested(now);
        }
    }
}

impl TaskRecord {
    pub(crate) fn is_queued(&self) -> bool {
        matches!(self.state, State::Queued)
    }

    pub(crate) fn runs_mut(&mut self) -> Option<&mut Vec<MemberRun>> {
        match &mut self.state {
            State::Active(runs) => Some(runs),
            _ => None,
        }
    }

    pub(crate) fn runs(&self) -> &[MemberRun] {
        match &self.state {
            State::Active(runs) => runs,
            _ => &[],
        }
    }

    pub(crate) fn has_offer_outstanding(&self) -> bool {
        self.runs()
            .iter()
            .any(|run| matches!(run.phase, Phase::Offered))
    }

    pub(crate) fn mark_may_have_run(&mut self, reason: UnknownReason) {
        self.may_have_run.get_or_insert(reason);
    }
}

/// Returns whether a run failed by the fault of its worker.
pub(crate) fn is_worker_failure(run: &FinishedRun) -> bool {
    !run.succeeded && run.worker_fault
}

/// Returns whether a task must be in the journal before it is queued.
pub(crate) fn needs_journal(task: &Task) -> bool {
    !task.spec.repeatable || journals_full_task(task)
}

/// Returns whether a task's journal entry contains the full task, so that a new owner can queue it.
pub(crate) fn journals_full_task(task: &Task) -> bool {
    !task.wait || task.spec.class == model::Class::Service
}

/// Returns whether a new owner queues the task when it finds its journal entry.
pub(crate) fn is_restartable(task: &Task) -> bool {
    task.spec.repeatable && journals_full_task(task)
}

/// Returns the digest of the request, which must be equal for every use of a key.
///
/// Deadline, urgency and declared run time are left out and may differ between uses.
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
