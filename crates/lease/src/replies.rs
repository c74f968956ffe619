//! Applies the replies of workers to the lease state.

use std::time;

use crate::action;
use crate::event;
use crate::leases;
use crate::settings;
use crate::worker;

/// Number of times that the preferred holder retries a claim within the duration of a lease.
const HAND_OVER_CHECKS_PER_TTL: u32 = 4;

impl leases::Leases {
    pub(crate) fn on_granted(
        &mut self,
        grant: event::Grant,
        now: time::Instant,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(worker) = self.workers.get_mut(&grant.worker_id) else {
            return;
        };
        let Some(call) = worker.call else {
            return;
        };
        let expected = if grant.claim {
            worker::CallKind::Claim
        } else {
            worker::CallKind::Renew
        };
        if call.kind != expected || grant.sent_at < call.issued_at {
            return;
        }
        worker.record_reply();
        let valid_until = grant.sent_at + self.settings.valid_for();
        if grant.claim {
            // A late answer may be out of date: claim again.
            if now < valid_until {
                self.acquire(grant, valid_until, now, actions);
            }
            return;
        }
        let Some(lease) = &mut worker.lease else {
            return;
        };
        if lease.epoch != grant.epoch || lease.incarnation != grant.incarnation {
            worker.reclaim_immediately = true;
            drop_lease(grant.worker_id, worker, actions);
            return;
        }
        lease.valid_until = lease.valid_until.max(valid_until);
        lease.last_contact = now;
        lease.leaving = grant.leaving;
    }

    fn acquire(
        &mut self,
        grant: event::Grant,
        valid_until: time::Instant,
        now: time::Instant,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(worker) = self.workers.get_mut(&grant.worker_id) else {
            return;
        };
        worker.failed_hand_overs = if worker.handed_over {
            worker.failed_hand_overs.saturating_add(1)
        } else {
            0
        };
        worker.handed_over = false;
        worker.reclaim_immediately = false;
        worker.other_holder = None;
        let leaving = grant.leaving || worker.listed_leaving;
        worker.lease = Some(worker::Lease {
            epoch: grant.epoch,
            incarnation: grant.incarnation,
            valid_until,
            last_contact: now,
            leaving: grant.leaving,
            reported_leaving: leaving,
            releasing: false,
            hand_over_not_before: now + worker.hand_over_delay(&self.settings),
        });
        let earlier = worker.incarnation.replace(grant.incarnation);
        let is_restarted = earlier.is_some_and(|earlier| earlier != grant.incarnation);
        let acquired = action::Acquired {
            worker_id: grant.worker_id,
            location: worker.location.clone(),
            capacity: grant.capacity,
            leaving,
            epoch: grant.epoch,
            incarnation: grant.incarnation,
            running: grant.running,
        };
        actions.push(if is_restarted {
            action::Action::Restarted(acquired)
        } else {
            action::Action::Acquired(acquired)
        });
    }

    pub(crate) fn on_held(
        &mut self,
        worker_id: &model::WorkerId,
        holder: model::InstanceId,
        remaining: time::Duration,
        now: time::Instant,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        if worker.call.is_none() {
            return;
        }
        worker.record_reply();
        drop_lease(worker_id.clone(), worker, actions);
        worker.reclaim_immediately = false;
        if holder == self.settings.instance_id {
            // The answer to an earlier claim was lost, and the worker does not repeat its grant.
            worker.not_before = now + remaining;
            worker.maybe_unheld_from = now;
            return;
        }
        worker.handed_over = false;
        worker.other_holder = Some(holder.clone());
        let own_id = &self.settings.instance_id;
        let rank = self.placement.rank(worker_id, &worker.location, own_id);
        if leases::is_active_member(&self.members, &holder) {
            worker.maybe_unheld_from = now;
            worker.not_before = now + recheck_delay(&self.settings, rank, remaining);
        } else {
            worker.maybe_unheld_from = now + remaining;
            worker.not_before = now + remaining;
        }
    }

    pub(crate) fn on_held_by_peer(
        &mut self,
        worker_id: &model::WorkerId,
        holder: model::InstanceId,
        now: time::Instant,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        if worker.lease.is_some() || holder == self.settings.instance_id {
            return;
        }
        worker.other_holder = Some(holder);
        worker.outage = None;
        worker.maybe_unheld_from = now;
    }

    pub(crate) fn on_lapsed(
        &mut self,
        worker_id: &model::WorkerId,
        now: time::Instant,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let Some(call) = worker.call else {
            return;
        };
        worker.record_reply();
        match call.kind {
            worker::CallKind::Claim => worker.not_before = now + self.settings.renew_every,
            worker::CallKind::Renew => worker.reclaim_immediately = worker.lease.is_some(),
            worker::CallKind::Release => worker.maybe_unheld_from = now,
        }
        drop_lease(worker_id.clone(), worker, actions);
    }

    pub(crate) fn on_released(
        &mut self,
        worker_id: &model::WorkerId,
        now: time::Instant,
        actions: &mut Vec<action::Action>,
    ) {
        let releases_all = self.releases_all();
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        if worker.call.map(|call| call.kind) != Some(worker::CallKind::Release) {
            return;
        }
        worker.record_reply();
        worker.handed_over = !releases_all;
        worker.maybe_unheld_from = now;
        worker.not_before = now;
        drop_lease(worker_id.clone(), worker, actions);
    }

    pub(crate) fn on_failed(
        &mut self,
        worker_id: &model::WorkerId,
        sent_at: time::Instant,
        now: time::Instant,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        if worker.call.is_some_and(|call| sent_at >= call.issued_at) {
            worker.record_failure(&self.settings, true, now);
        }
    }

    pub(crate) fn on_unsent(&mut self, worker_id: &model::WorkerId, now: time::Instant) {
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.record_failure(&self.settings, false, now);
        }
    }
}

/// Drops the lease, if there is one.
pub(crate) fn drop_lease(
    worker_id: model::WorkerId,
    worker: &mut worker::Worker,
    actions: &mut Vec<action::Action>,
) {
    if worker.lease.take().is_some() {
        actions.push(action::Action::Dropped { worker_id });
    }
}

/// Returns the delay before the next claim of a worker that a live instance holds.
///
/// The preferred holder waits for a hand-over and retries often. The others only verify that the
/// worker is still held; a delay that grows with the square of the rank bounds their total request
/// rate, however many instances there are.
fn recheck_delay(
    settings: &settings::LeaseSettings,
    rank: Option<u32>,
    remaining: time::Duration,
) -> time::Duration {
    match rank {
        None => remaining,
        Some(0) => remaining.min(settings.ttl / HAND_OVER_CHECKS_PER_TTL),
        Some(rank) => settings.claim_delay_per_rank() * rank.saturating_mul(rank),
    }
}
