//! What one instance knows of one worker.

use std::time;

use crate::settings;

/// A lease that the worker granted to this instance.
#[derive(Clone, Debug)]
pub(crate) struct Hold {
    pub(crate) epoch: model::Epoch,
    pub(crate) incarnation: model::Incarnation,
    /// Last moment at which starts may be sent; before the lease's end at the worker.
    pub(crate) valid_until: time::Instant,
    /// When the last grant arrived.
    pub(crate) last_contact: time::Instant,
    /// Whether the worker's own reply says that it wants no new work.
    pub(crate) leaving: bool,
    /// What was last told of the worker's leaving, by its replies and the list.
    pub(crate) told_leaving: bool,
    /// Whether a release was sent: nothing is started any more, whatever became of it.
    pub(crate) releasing: bool,
    /// When the lease may be handed over at the earliest.
    pub(crate) hand_over_from: time::Instant,
}

/// What a call is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    Claim,
    Renew,
    Release,
}

/// The one call that is under way to a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    pub(crate) kind: CallKind,
    pub(crate) issued_at: time::Instant,
}

/// A time without any reply of a worker, although it was asked.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Silence {
    /// The last reply, or the first request if there was none.
    pub(crate) since: time::Instant,
    /// Latest moment at which the worker may have granted or renewed a lease of this instance.
    pub(crate) last_possible: time::Instant,
    /// Whether a request that was not answered may have been received.
    pub(crate) ambiguous: bool,
    /// Whether `Gone` was returned.
    pub(crate) reported: bool,
}

/// One worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) address: String,
    pub(crate) location: model::Location,
    /// Whether the latest list has it.
    pub(crate) listed: bool,
    /// Whether the latest list says that it leaves.
    pub(crate) listed_leaving: bool,
    /// Latest incarnation heard of.
    pub(crate) incarnation: Option<model::Incarnation>,
    pub(crate) hold: Option<Hold>,
    pub(crate) call: Option<Call>,
    /// Latest holder heard of, other than this instance.
    pub(crate) elsewhere: Option<model::InstanceId>,
    /// From when nobody may hold it; the order of instances counts from here.
    pub(crate) unheld_from: time::Instant,
    /// The next request is sent no earlier.
    pub(crate) not_before: time::Instant,
    /// Whether this instance lost the lease unwillingly and claims it out of order.
    pub(crate) eager: bool,
    /// Requests in a row without reply.
    pub(crate) failures: u32,
    pub(crate) silence: Option<Silence>,
    /// Hand-overs after which this instance had to claim it again.
    pub(crate) returns: u32,
    /// Whether it was handed over by this instance and not seen held since.
    pub(crate) handed_over: bool,
}

/// Doublings of a delay at most, after failures and returns in a row.
const MAX_DOUBLINGS: u32 = 5;
/// First delay after a request without reply, as a part of the lease's duration.
const FIRST_RETRY_PART: u32 = 32;
/// Longest delay after requests without reply, as a part of the lease's duration.
const LONGEST_RETRY_PART: u32 = 4;

impl Worker {
    pub(crate) fn new(entry: &model::DirectoryEntry, now: time::Instant) -> Self {
        Self {
            address: entry.address.clone(),
            location: entry.location.clone(),
            listed: true,
            listed_leaving: entry.state == model::EntryState::Leaving,
            incarnation: None,
            hold: None,
            call: None,
            elsewhere: None,
            unheld_from: now,
            not_before: now,
            eager: false,
            failures: 0,
            silence: None,
            returns: 0,
            handed_over: false,
        }
    }

    pub(crate) fn update(&mut self, entry: &model::DirectoryEntry) {
        self.address.clone_from(&entry.address);
        self.location.clone_from(&entry.location);
        self.listed = true;
        self.listed_leaving = entry.state == model::EntryState::Leaving;
    }

    /// Returns whether nothing would be lost by forgetting the worker.
    pub(crate) fn is_forgettable(
        &self,
        settings: &settings::LeaseSettings,
        now: time::Instant,
    ) -> bool {
        !self.listed && self.call.is_none() && !self.is_possibly_held(settings, now)
    }

    /// Returns whether the worker may hold a lease of this instance or runs kept alive by one.
    pub(crate) fn is_possibly_held(
        &self,
        settings: &settings::LeaseSettings,
        now: time::Instant,
    ) -> bool {
        let is_claimed = self.call.is_some_and(|call| call.kind == CallKind::Claim);
        let is_kept_alive = self.silence.is_some_and(|silence| {
            silence.ambiguous && now < silence.last_possible + settings.silent_for()
        });
        self.hold.is_some() || is_claimed || is_kept_alive
    }

    /// Notes a call that is sent now.
    pub(crate) fn issue(
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
        if let (CallKind::Release, Some(hold)) = (kind, &mut self.hold) {
            hold.releasing = true;
        }
    }

    /// Notes a reply of whatever content.
    pub(crate) fn note_reply(&mut self) {
        self.call = None;
        self.silence = None;
        self.failures = 0;
    }

    /// Notes a request without reply and delays the next one.
    pub(crate) fn note_failure(
        &mut self,
        settings: &settings::LeaseSettings,
        was_sent: bool,
        now: time::Instant,
    ) {
        let Some(call) = self.call.take() else {
            return;
        };
        let last_contact = self.hold.as_ref().map(|hold| hold.last_contact);
        let since = last_contact.unwrap_or(call.issued_at);
        let silence = self.silence.get_or_insert(Silence {
            since,
            last_possible: since,
            ambiguous: false,
            reported: false,
        });
        if was_sent && call.kind != CallKind::Release {
            silence.last_possible = now;
            silence.ambiguous = true;
        }
        self.not_before = now + retry_delay(settings, self.failures);
        self.failures = self.failures.saturating_add(1);
    }

    /// Returns whether requests must wait, so that the silence can end in certainty.
    ///
    /// Each request that may have been received prolongs the life of the worker's runs. For the
    /// time in which the runs may live anyway, asking is worth that; then it is not.
    pub(crate) fn is_quiet(&self, settings: &settings::LeaseSettings, now: time::Instant) -> bool {
        self.silence.is_some_and(|silence| {
            !silence.reported && now >= silence.since + settings.ttl + settings.grace
        })
    }

    /// Returns whether the worker has surely stopped the runs of this instance; once.
    pub(crate) fn take_gone(
        &mut self,
        settings: &settings::LeaseSettings,
        now: time::Instant,
    ) -> bool {
        let Some(silence) = &mut self.silence else {
            return false;
        };
        let is_over = now >= silence.last_possible + settings.silent_for();
        let is_gone = is_over && !silence.reported && self.call.is_none();
        silence.reported |= is_gone;
        is_gone
    }

    /// Returns whether the lease has surely ended at the worker, unless an answer is under way.
    pub(crate) fn has_lapsed(
        &self,
        settings: &settings::LeaseSettings,
        now: time::Instant,
    ) -> bool {
        let hold = self.hold.as_ref();
        hold.is_some_and(|hold| now >= hold.last_contact + settings.ttl + settings.margin)
    }

    /// Returns the new wish if it differs from what was told last.
    pub(crate) fn take_leaving_change(&mut self) -> Option<bool> {
        let hold = self.hold.as_mut()?;
        let leaving = hold.leaving || self.listed_leaving;
        if hold.told_leaving == leaving {
            return None;
        }
        hold.told_leaving = leaving;
        Some(leaving)
    }

    /// Returns how long a new lease is kept before it may be handed over; longer each time that
    /// it came back.
    pub(crate) fn hand_over_delay(&self, settings: &settings::LeaseSettings) -> time::Duration {
        settings.settle_after * doubled(self.returns)
    }
}

fn retry_delay(settings: &settings::LeaseSettings, failures: u32) -> time::Duration {
    let first = settings.ttl / FIRST_RETRY_PART;
    let longest = settings.ttl / LONGEST_RETRY_PART;
    (first * doubled(failures)).min(longest)
}

fn doubled(times: u32) -> u32 {
    1 << times.min(MAX_DOUBLINGS)
}
