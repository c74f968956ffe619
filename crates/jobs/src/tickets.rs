//! Tickets and verdicts that the recommendation service has given for a step.

use std::time;

use crate::event;
use crate::maps;

/// Remaining validity below which a ticket is no longer used: a start order takes as long to reach
/// its worker on a slow path between regions.
pub(crate) const EXPIRY_MARGIN: time::Duration = time::Duration::from_millis(150);

/// Pause after there was no worker with free capacity left to ask about.
const NO_CANDIDATE_PAUSE: time::Duration = time::Duration::from_millis(40);

/// Tickets and verdicts of one step.
///
/// Whether a worker may run a step does not change, so a verdict is kept permanently; a ticket
/// expires.
#[derive(Debug, Default)]
pub(crate) struct Tickets {
    verdicts: maps::IndexMap<model::WorkerId, Verdict>,
    /// Number of answers received.
    pub(crate) answers: u32,
    /// When the last ticket expires.
    last_expiry: Option<time::Instant>,
    /// Calls for this step in flight.
    ///
    /// An answer for any other call is about an earlier job with the same id.
    calls_in_flight: maps::IndexSet<event::CallId>,
    /// Earliest time of the next call; an earlier one would hardly help.
    next_call_not_before: Option<time::Instant>,
}

#[derive(Debug)]
enum Verdict {
    Refused,
    Allowed {
        token: String,
        valid_until: time::Instant,
    },
}

impl Tickets {
    /// Records the answer to a call that named `asked`; returns how many workers were asked about
    /// for the first time, and how many of them are allowed.
    pub(crate) fn record_answer(
        &mut self,
        asked: &[model::WorkerId],
        tickets: Vec<model::Ticket>,
        valid_until: time::Instant,
    ) -> (usize, usize) {
        self.answers += 1;
        self.last_expiry = self.last_expiry.max(Some(valid_until));
        let (mut new_asked, mut new_allowed) = (0, 0);
        let mut allowed: maps::HashMap<_, _> = tickets
            .into_iter()
            .map(|ticket| (ticket.worker_id, ticket.token))
            .collect();
        for worker_id in asked {
            let verdict = match allowed.remove(worker_id) {
                Some(token) => Verdict::Allowed { token, valid_until },
                None => Verdict::Refused,
            };
            let is_allowed = matches!(verdict, Verdict::Allowed { .. });
            if self.verdicts.insert(worker_id.clone(), verdict).is_none() {
                new_asked += 1;
                new_allowed += usize::from(is_allowed);
            }
        }
        (new_asked, new_allowed)
    }

    /// Marks the ticket of a worker that rejected it as expired.
    pub(crate) fn expire(&mut self, worker_id: &model::WorkerId, now: time::Instant) {
        if let Some(Verdict::Allowed { valid_until, .. }) = self.verdicts.get_mut(worker_id) {
            *valid_until = now;
        }
    }

    /// Records that a call for this step has been sent.
    pub(crate) fn begin_call(&mut self, call: event::CallId) {
        self.calls_in_flight.insert(call);
    }

    /// Records that a call has ended; returns whether it was made for this step.
    #[must_use]
    pub(crate) fn end_call(&mut self, call: event::CallId) -> bool {
        self.calls_in_flight.swap_remove(&call)
    }

    /// Returns whether a call for this step is in flight.
    pub(crate) fn has_call_in_flight(&self) -> bool {
        !self.calls_in_flight.is_empty()
    }

    /// Returns the number of calls for this step in flight.
    pub(crate) fn calls_in_flight(&self) -> usize {
        self.calls_in_flight.len()
    }

    /// Returns whether the service may be called now.
    pub(crate) fn may_call(&self, now: time::Instant) -> bool {
        !self.has_call_in_flight() && self.next_call_not_before.is_none_or(|at| at <= now)
    }

    /// Delays the next call, as none would help now.
    pub(crate) fn defer_call(&mut self, now: time::Instant) {
        self.next_call_not_before = Some(now + NO_CANDIDATE_PAUSE);
    }

    /// Returns the workers with valid tickets.
    pub(crate) fn valid_workers(
        &self,
        now: time::Instant,
    ) -> impl Iterator<Item = &model::WorkerId> {
        // Shortcut: most steps that wait for long have no valid ticket.
        let has_valid = self
            .last_expiry
            .is_some_and(|until| now + EXPIRY_MARGIN < until);
        let verdicts = self.verdicts.iter().filter(move |_| has_valid);
        let valid = verdicts.filter(move |(_, verdict)| match verdict {
            Verdict::Allowed { valid_until, .. } => now + EXPIRY_MARGIN < *valid_until,
            Verdict::Refused => false,
        });
        valid.map(|(worker_id, _)| worker_id)
    }

    /// Returns the workers known to be allowed, even if their tickets have expired.
    pub(crate) fn allowed_workers(&self) -> impl Iterator<Item = &model::WorkerId> {
        let verdicts = self.verdicts.iter();
        let allowed = verdicts.filter(|(_, verdict)| matches!(verdict, Verdict::Allowed { .. }));
        allowed.map(|(worker_id, _)| worker_id)
    }

    /// Returns the token of the ticket for a worker if it is still valid at `now`.
    pub(crate) fn valid_token(
        &self,
        worker_id: &model::WorkerId,
        now: time::Instant,
    ) -> Option<&str> {
        match self.verdicts.get(worker_id)? {
            Verdict::Allowed { token, valid_until } if now + EXPIRY_MARGIN < *valid_until => {
                Some(token)
            }
            _ => None,
        }
    }

    /// Returns whether a worker is known not to be allowed.
    pub(crate) fn is_refused(&self, worker_id: &model::WorkerId) -> bool {
        matches!(self.verdicts.get(worker_id), Some(Verdict::Refused))
    }

    /// Returns whether a worker is known to be allowed, even if its ticket has expired.
    pub(crate) fn is_allowed(&self, worker_id: &model::WorkerId) -> bool {
        matches!(self.verdicts.get(worker_id), Some(Verdict::Allowed { .. }))
    }

    /// Returns how many workers the service has been asked about.
    pub(crate) fn asked_count(&self) -> usize {
        self.verdicts.len()
    }

    /// Returns how many workers are known to be allowed.
    pub(crate) fn allowed_count(&self) -> usize {
        self.allowed_workers().count()
    }

    /// Returns whether the service has not been asked about any worker.
    pub(crate) fn is_empty(&self) -> bool {
        self.verdicts.is_empty()
    }
}
