//! The state that one instance keeps of one worker.

use std::time;

use crate::settings;

/// A lease that the worker granted to this instance.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    pub(crate) epoch: model::Epoch,
    pub(crate) incarnation: model::Incarnation,
    /// Time until which starts may be sent; earlier than the end of the lease at the worker.
    pub(crate) valid_until: time::Instant,
    /// When the last grant arrived.
    pub(crate) last_contact: time::Instant,
    /// Whether the worker's latest reply says that it accepts no new work.
    pub(crate) leaving: bool,
    /// Leaving state last returned in an action, from the worker's replies and the directory.
    pub(crate) reported_leaving: bool,
    /// Whether a release was sent: nothing more is started, whether or not it succeeded.
    pub(crate) releasing: bool,
    /// Earliest time at which the lease may be handed over.
    pub(crate) hand_over_not_before: time::Instant,
}

/// Kind of a lease call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    Claim,
    Renew,
    Release,
}

/// The only call in flight to a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    pub(crate) kind: CallKind,
    pub(crate) issued_at: time::Instant,
}

/// A period in which a worker has answered no request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outage {
    /// Time of the last grant if the worker is held, or else of the first unanswered request.
    pub(crate) since: time::Instant,
    /// Latest time at which the worker may have granted or renewed a lease of this instance.
    pub(crate) last_possible_grant_at: time::Instant,
    /// Whether the worker may have received a claim or renewal that it did not answer.
    pub(crate) maybe_received: bool,
    /// Whether `Gone` was returned for this outage.
    pub(crate) gone_reported: bool,
}

/// A worker and the state of its lease.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) address: String,
    pub(crate) location: model::Location,
    /// Whether the latest directory contains it.
    pub(crate) listed: bool,
    /// Whether the latest directory marks it as leaving.
    pub(crate) listed_leaving: bool,
    /// Latest incarnation reported by the worker.
    pub(crate) incarnation: Option<model::Incarnation>,
    pub(crate) lease: Option<Lease>,
    pub(crate) call: Option<Call>,
    /// Latest known holder other than this instance.
    pub(crate) other_holder: Option<model::InstanceId>,
    /// Time from which it may be without a holder; claim delays by rank start here.
    pub(crate) maybe_unheld_from: time::Instant,
    /// Earliest time for the next request.
    pub(crate) not_before: time::Instant,
    /// Whether this instance lost the lease unintentionally and skips the claim delay of its rank.
    pub(crate) reclaim_immediately: bool,
    /// Consecutive requests without a reply.
    pub(crate) failures: u32,
    pub(crate) outage: Option<Outage>,
    /// Consecutive hand-overs after which this instance had to claim the worker again.
    pub(crate) failed_hand_overs: u32,
    /// Whether this instance handed it over and has not learned of a new holder since.
    pub(crate) handed_over: bool,
}

/// Limit on the doublings of a delay after consecutive failures or failed hand-overs.
const MAX_DOUBLINGS: u32 = 5;
/// First delay after a request without a reply, as a fraction of the lease's duration.
const FIRST_RETRY_TTL_DIVISOR: u32 = 32;
/// Longest delay after requests without a reply, as a fraction of the lease's duration.
const LONGEST_RETRY_TTL_DIVISOR: u32 = 4;

impl Worker {
    pub(crate) fn new(entry: &model::DirectoryEntry, now: time::Instant) -> Self {
        Self {
            address: entry.address.clone(),
            location: entry.location.clone(),
            listed: true,
            listed_leaving: entry.state == model::EntryState::Leaving,
            incarnation: None,
            lease: None,
            call: None,
            other_holder: None,
            maybe_unheld_from: now,
            not_before: now,
            reclaim_immediately: false,
            failures: 0,
            outage: None,
            failed_hand_overs: 0,
            handed_over: false,
        }
    }

    pub(crate) fn update(&mut self, entry: &model::DirectoryEntry) {
        self.address.clone_from(&entry.address);
        self.location.clone_from(&entry.location);
        self.listed = true;
        self.listed_leaving = entry.state == model::EntryState::Leaving;
    }

    /// Returns whether the worker can be removed without losing the state of a lease.
    pub(crate) fn is_removable(
        &self,
        settings: &settings::LeaseSettings,
        now: time::Instant,
    ) -> bool {
        !self.listed && self.call.is_none() && !self.is_possibly_held(settings, now)
    }

    /// Returns whether the worker may have a lease of this instance or runs kept alive by one.
    pub(crate) fn is_possibly_held(
        &self,
        settings: &settings::LeaseSettings,
        now: time::Instant,
    ) -> bool {
        let is_claimed = self.call.is_some_and(|call| call.kind == CallKind::Claim);
        let is_kept_alive = self.outage.is_some_and(|outage| {
            outage.maybe_received
                && now < outage.last_possible_grant_at + settings.runs_stopped_after()
        });
        self.lease.is_some() || is_claimed || is_kept_alive
    }

    /// Records a call that is sent now.
    pub(crate) fn record_call(
        &mut self,
        kind: CallKind,
        now: time::Instant,
        renew_every: time::Duration,
    ) {
        self.call = Some(Call {
            kind,
            issued_at: now,
        });
        self.not_before = now + renew_every;
        if let (CallKind::Release, Some(lease)) = (kind, &mut self.lease) {
            lease.releasing = true;
        }
    }

    /// Records a reply of any kind.
    pub(crate) fn record_reply(&mut self) {
        self.call = None;
        self.outage = None;
        self.failures = 0;
    }

    /// Records a request without a reply and delays the next one.
    pub(crate) fn record_failure(
        &mut self,
        settings: &settings::LeaseSettings,
        was_sent: bool,
        now: time::Instant,
    ) {
        let Some(call) = self.call.take() else {
            return;
        };
        let last_contact = self.lease.as_ref().map(|lease| lease.last_contact);
        let since = last_contact.unwrap_or(call.issued_at);
        let outage = self.outage.get_or_insert(Outage {
            since,
            last_possible_grant_at: since,
            maybe_received: false,
            gone_reported: false,
        });
        if was_sent && call.kind != CallKind::Release {
            outage.last_possible_grant_at = now;
            outage.maybe_received = true;
        }
        self.not_before = now + retry_delay(settings, self.failures);
        self.failures = self.failures.saturating_add(1);
    }

    /// Returns whether requests are suspended so that the worker can be reported as gone.
    ///
    /// Each request that the worker may have received extends the time for which its runs may
    /// continue. Requests are therefore sent only while the runs may be alive anyway, and again
    /// once the worker was reported gone.
    pub(crate) fn is_calling_suspended(
        &self,
        settings: &settings::LeaseSettings,
        now: time::Instant,
    ) -> bool {
        self.outage.is_some_and(|outage| {
            !outage.gone_reported && now >= outage.since + settings.ttl + settings.grace
        })
    }

    /// Returns `true`, once per outage, when the worker has certainly stopped the runs of this
    /// instance.
    pub(crate) fn detect_gone(
        &mut self,
        settings: &settings::LeaseSettings,
        now: time::Instant,
    ) -> bool {
        let Some(outage) = &mut self.outage else {
            return false;
        };
        let is_over = now >= outage.last_possible_grant_at + settings.runs_stopped_after();
        let is_gone = is_over && !outage.gone_reported && self.call.is_none();
        outage.gone_reported |= is_gone;
        is_gone
    }

    /// Returns whether the lease has certainly ended at the worker, unless a reply is in flight.
    pub(crate) fn has_lapsed(
        &self,
        settings: &settings::LeaseSettings,
        now: time::Instant,
    ) -> bool {
        let lease = self.lease.as_ref();
        lease.is_some_and(|lease| now >= lease.last_contact + settings.ttl + settings.margin)
    }

    /// Returns the new leaving state if it differs from the one last returned.
    pub(crate) fn detect_leaving_change(&mut self) -> Option<bool> {
        let lease = self.lease.as_mut()?;
        let leaving = lease.leaving || self.listed_leaving;
        if lease.reported_leaving == leaving {
            return None;
        }
        lease.reported_leaving = leaving;
        Some(leaving)
    }

    /// Returns how long a new lease is kept before it may be handed over; longer after each
    /// failed hand-over.
    pub(crate) fn hand_over_delay(&self, settings: &settings::LeaseSettings) -> time::Duration {
        settings.members_stable_for * backoff_factor(self.failed_hand_overs)
    }
}

fn retry_delay(settings: &settings::LeaseSettings, failures: u32) -> time::Duration {
    let first = settings.ttl / FIRST_RETRY_TTL_DIVISOR;
    let longest = settings.ttl / LONGEST_RETRY_TTL_DIVISOR;
    (first * backoff_factor(failures)).min(longest)
}

fn backoff_factor(times: u32) -> u32 {
    1 << times.min(MAX_DOUBLINGS)
}
