//! Runs on the workers that this instance holds or has held.

use std::time;

use indexmap::IndexMap;

/// Progress of the start of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartState {
    /// Not sent, or sent and certainly not received.
    Unsent,
    /// Sent; no reply yet.
    Sent,
    /// Sent at least once without a reply, so the worker may have received it.
    Unconfirmed {
        /// When to send it again.
        retry_at: time::Instant,
    },
    /// The worker has confirmed it.
    Confirmed,
}

/// One run on a worker.
#[derive(Clone, Debug)]
pub(super) struct WorkerRun {
    pub(super) worker_id: model::WorkerId,
    /// The start to send, stored for retries and reports.
    pub(super) start: model::StartRun,
    pub(super) state: StartState,
    /// Whether any attempt to send the start got no reply.
    pub(super) has_unanswered_start: bool,
    /// Incarnation of the worker that the start was meant for.
    pub(super) incarnation: model::Incarnation,
    /// Who waits for the run to be stopped: requests of peers, and the owner state machine here.
    pub(super) withdrawers: Vec<Withdrawer>,
}

/// Who requested that a run be stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Withdrawer {
    /// The owner state machine of this instance.
    Local,
    /// The peer request that waits for the response.
    Peer(u64),
}

/// A finished run whose result has not been acknowledged to its worker.
#[derive(Clone, Debug)]
pub(super) struct UnacknowledgedRun {
    pub(super) worker_id: model::WorkerId,
    pub(super) report: model::RunReport,
}

/// Runs by their state.
#[derive(Debug, Default)]
pub(super) struct Runs {
    /// Runs that may be running.
    pub(super) live: IndexMap<model::TaskAttempt, WorkerRun>,
    /// Finished runs that their worker still reports.
    pub(super) finished: IndexMap<model::TaskAttempt, UnacknowledgedRun>,
    /// Workers that are no longer held, with the time at which the lease was dropped.
    pub(super) dropped: IndexMap<model::WorkerId, time::Instant>,
    /// Number of deliveries of a result whose length or digest did not match.
    pub(super) damaged: IndexMap<model::TaskAttempt, u32>,
    /// Runs whose start is to be sent.
    pub(super) unsent: Vec<model::TaskAttempt>,
    /// Results of local withdrawals, not yet passed to the owner state machine.
    pub(super) withdrawn: Vec<model::RunReport>,
    /// Runs that must never start, with the time until which a late offer may arrive.
    forbidden: IndexMap<model::TaskAttempt, time::Instant>,
}

impl Runs {
    pub(super) fn insert_new(
        &mut self,
        offer: &model::Offer,
        member: u16,
        worker_id: model::WorkerId,
    ) {
        let run = run_of(offer, member);
        let start = model::StartRun {
            run,
            task: offer.task.clone(),
            generation: offer.generation,
            reserved: offer.reserve,
            checkpoint: offer.checkpoint.clone(),
        };
        let worker_run = WorkerRun {
            worker_id,
            start,
            state: StartState::Unsent,
            has_unanswered_start: false,
            incarnation: 0,
            withdrawers: Vec::new(),
        };
        self.live.insert(run, worker_run);
        self.unsent.push(run);
    }

    pub(super) fn insert_adopted(
        &mut self,
        worker_id: model::WorkerId,
        running: &model::RunningRun,
        incarnation: model::Incarnation,
    ) {
        let start = model::StartRun {
            run: running.run,
            task: running.task.clone(),
            generation: running.generation,
            reserved: running.reserved,
            checkpoint: None,
        };
        let worker_run = WorkerRun {
            worker_id,
            start,
            state: StartState::Confirmed,
            has_unanswered_start: false,
            incarnation,
            withdrawers: Vec::new(),
        };
        self.live.insert(running.run, worker_run);
    }

    /// Returns the worker of each offered member, if the offer has been accepted before.
    pub(super) fn workers_of(&self, offer: &model::Offer) -> Option<Vec<model::WorkerId>> {
        offer
            .members
            .iter()
            .map(|member| self.worker_of(run_of(offer, *member)))
            .collect()
    }

    fn worker_of(&self, run: model::TaskAttempt) -> Option<model::WorkerId> {
        let live = self
            .live
            .get(&run)
            .map(|worker_run| worker_run.worker_id.clone());
        live.or_else(|| self.finished.get(&run).map(|f| f.worker_id.clone()))
    }

    pub(super) fn forbid(&mut self, run: model::TaskAttempt, until: time::Instant) {
        self.forbidden.insert(run, until);
    }

    pub(super) fn is_forbidden(&self, offer: &model::Offer) -> bool {
        offer
            .members
            .iter()
            .any(|member| self.forbidden.contains_key(&run_of(offer, *member)))
    }

    pub(super) fn forget_forbidden(&mut self, now: time::Instant) {
        self.forbidden.retain(|_, until| *until > now);
    }

    pub(super) fn on_worker(&self, worker_id: &str) -> Vec<model::TaskAttempt> {
        self.live
            .iter()
            .filter(|(_, worker_run)| *worker_run.worker_id == *worker_id)
            .map(|(run, _)| *run)
            .collect()
    }
}

/// Returns the run of an offered member.
pub(super) fn run_of(offer: &model::Offer, member: u16) -> model::TaskAttempt {
    model::TaskAttempt {
        task_id: offer.task.task_id,
        member,
        attempt: offer.attempt,
    }
}
