//! What a new leader knows of the leases that earlier leaders may have granted.
//!
//! A leader grants leases only while it has the authority to, which ends a fixed time after the last
//! confirmation that it leads. A successor gives up runs on silent workers once no lease that was granted
//! under an earlier authority can last. Until it is known when those have ended, it counts the longest
//! time for which a leader may continue.

use std::time;

use crate::event;
use crate::restarts;
use crate::scheduler;
use crate::settings;

/// Term of the first leader, which no other has led before.
const FIRST_TERM: model::Term = 1;

/// The beginning of a term.
#[derive(Clone, Copy, Debug)]
pub struct Takeover {
    /// The term.
    pub term: model::Term,
    /// When the claim was known to have succeeded; earlier leaders have been replaced by then.
    pub claimed_at: time::Instant,
    /// Until when this leader may grant leases, unless its authority is extended.
    pub authority_until: time::Instant,
    /// Longest time after the claim for which an earlier leader may grant leases.
    pub leadership_timeout: time::Duration,
}

impl Takeover {
    /// Returns whether no other leader has led before.
    pub(crate) fn is_first_term(&self) -> bool {
        self.term <= FIRST_TERM
    }

    /// Returns until when an earlier leader may grant leases, as far as the claim tells.
    pub(crate) fn earlier_authority_ends_at(&self) -> time::Instant {
        match self.is_first_term() {
            true => self.claimed_at,
            false => self.claimed_at + self.leadership_timeout,
        }
    }
}

/// Leases on a worker with inherited runs that earlier leaders may have granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InheritedLease {
    /// When those on the incarnation itself have ended.
    pub(crate) expires_at: time::Instant,
    /// When a run has ended that is not proven, and may be on an incarnation that nobody has noticed.
    pub(crate) unproven_expire_at: time::Instant,
}

impl InheritedLease {
    /// Returns the latest ends of leases that are granted before `authority_ended_at`.
    pub(crate) fn new(
        takeover: &Takeover,
        authority_ended_at: time::Instant,
        settings: &settings::Settings,
    ) -> Self {
        Self {
            expires_at: authority_ended_at + settings.lease_horizon(),
            unproven_expire_at: takeover.claimed_at + restarts::undelayed_horizon(settings),
        }
    }

    /// Returns the earlier ones of both ends, each of which is an upper bound.
    fn min(self, other: Self) -> Self {
        Self {
            expires_at: self.expires_at.min(other.expires_at),
            unproven_expire_at: self.unproven_expire_at.min(other.unproven_expire_at),
        }
    }
}

impl scheduler::Scheduler {
    /// Returns whether leases may be granted now, by renewals or with starts.
    pub(crate) fn has_lease_authority(&self, clock: event::Clock) -> bool {
        clock.now < self.authority_until
    }

    /// Sets until when leases may be granted.
    pub(crate) fn set_lease_authority(&mut self, until: time::Instant, clock: event::Clock) {
        let had_authority = self.has_lease_authority(clock);
        self.authority_until = until;
        let has_authority = self.has_lease_authority(clock);
        if had_authority == has_authority {
            return;
        }
        log::info!(term = self.term, has_authority; "authority to grant leases changed");
        self.placement_needed = true;
        for worker in self.workers.values_mut() {
            worker.request_call_check();
        }
    }

    /// Shortens the waits for workers with inherited runs, as no earlier leader has granted a lease after
    /// `ended_at`.
    pub(crate) fn on_earlier_authority_ended(
        &mut self,
        ended_at: time::Instant,
        clock: event::Clock,
    ) {
        let bound = InheritedLease::new(&self.takeover, ended_at, &self.settings);
        let orders_end_at = ended_at + restarts::successor_horizon(&self.settings);
        self.earlier_orders_end_at = self.earlier_orders_end_at.min(orders_end_at);
        let (mut workers, mut runs) = (0, 0);
        for worker in self.workers.values_mut() {
            let Some(lease) = &mut worker.inherited else {
                continue;
            };
            *lease = lease.min(bound);
            if !worker.is_fenced {
                workers += 1;
                runs += worker.runs.len();
            }
        }
        let left_ms =
            |at: time::Instant| at.saturating_duration_since(clock.now).as_millis() as u64;
        log::info!(
            term = self.term,
            since_claim_ms = clock.ms_since(self.takeover.claimed_at),
            workers,
            runs,
            left_ms = left_ms(bound.expires_at),
            unproven_left_ms = left_ms(bound.unproven_expire_at);
            "earlier leaders can grant no more leases"
        );
    }
}
