//! What the replies of workers change.

use std::time;

use crate::action;
use crate::event;
use crate::leases;
use crate::settings;
use crate::worker;

/// Retries of a claim by the preferred holder in the time that a lease lasts.
const HAND_OVER_CHECKS: u32 = 4;

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
        worker.note_reply();
        let valid_until = grant.sent_at + self.settings.valid_for();
        if grant.claim {
            // What a late answer says may be out of date: claim again.
            if now < valid_until {
                self.acquire(grant, valid_until, now, actions);
            }
            return;
        }
        let Some(hold) = &mut worker.hold else {
            return;
        };
        if hold.epoch != grant.epoch || hold.incarnation != grant.incarnation {
            worker.eager = true;
            drop_hold(grant.worker_id, worker, actions);
            return;
        }
        hold.valid_until = hold.valid_until.max(valid_until);
        hold.last_contact = now;
        hold.leaving = grant.leaving;
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
        worker.returns = if worker.handed_over {
            worker.returns.saturating_add(1)
        } else {
            0
        };
        worker.handed_over = false;
        worker.eager = false;
        worker.elsewhere = None;
        let leaving = grant.leaving || worker.listed_leaving;
        worker.hold = Some(worker::Hold {
            epoch: grant.epoch,
            incarnation: grant.incarnation,
            valid_until,
            last_contact: now,
            leaving: grant.leaving,
            told_leaving: leaving,
            releasing: false,
            hand_over_from: now + worker.hand_over_delay(&self.settings),
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
        worker.note_reply();
        drop_hold(worker_id.clone(), worker, actions);
        worker.eager = false;
        if holder == self.settings.instance_id {
            // The answer to an earlier claim was lost, and the worker does not repeat its grant.
            worker.not_before = now + remaining;
            worker.unheld_from = now;
            return;
        }
        worker.handed_over = false;
        worker.elsewhere = Some(holder.clone());
        let own_id = &self.settings.instance_id;
        let index = self.placement.index(worker_id, &worker.location, own_id);
        if leases::is_serving(&self.members, &holder) {
            worker.unheld_from = now;
            worker.not_before = now + next_check(&self.settings, index, remaining);
        } else {
            worker.unheld_from = now + remaining;
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
        if worker.hold.is_some() || holder == self.settings.instance_id {
            return;
        }
        worker.elsewhere = Some(holder);
        worker.silence = None;
        worker.unheld_from = now;
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
        worker.note_reply();
        match call.kind {
            worker::CallKind::Claim => worker.not_before = now + self.settings.renew_every,
            worker::CallKind::Renew => worker.eager = worker.hold.is_some(),
            worker::CallKind::Release => worker.unheld_from = now,
        }
        drop_hold(worker_id.clone(), worker, actions);
    }

    pub(crate) fn on_released(
        &mut self,
        worker_id: &model::WorkerId,
        now: time::Instant,
        actions: &mut Vec<action::Action>,
    ) {
        let yields = self.yields();
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        if worker.call.map(|call| call.kind) != Some(worker::CallKind::Release) {
            return;
        }
        worker.note_reply();
        worker.handed_over = !yields;
        worker.unheld_from = now;
        worker.not_before = now;
        drop_hold(worker_id.clone(), worker, actions);
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
            worker.note_failure(&self.settings, true, now);
        }
    }

    pub(crate) fn on_unsent(&mut self, worker_id: &model::WorkerId, now: time::Instant) {
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.note_failure(&self.settings, false, now);
        }
    }
}

/// Ends the hold, if there is one.
pub(crate) fn drop_hold(
    worker_id: model::WorkerId,
    worker: &mut worker::Worker,
    actions: &mut Vec<action::Action>,
) {
    if worker.hold.take().is_some() {
        actions.push(action::Action::Dropped { worker_id });
    }
}

/// Returns when to ask a worker again that a live instance holds.
///
/// The preferred holder waits for a hand-over and asks often. The others only make sure that the
/// worker is held; the squares bound their requests in all, however many instances there are.
fn next_check(
    settings: &settings::LeaseSettings,
    index: Option<u32>,
    remaining: time::Duration,
) -> time::Duration {
    match index {
        None => remaining,
        Some(0) => remaining.min(settings.ttl / HAND_OVER_CHECKS),
        Some(index) => settings.turn() * index.saturating_mul(index),
    }
}
