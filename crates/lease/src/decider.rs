//! Selects the next call to a worker.

use std::time;

use crate::action;
use crate::placement;
use crate::settings;
use crate::worker;

/// Inputs for selecting the next call to one worker.
pub(crate) struct Decider<'a> {
    pub(crate) settings: &'a settings::LeaseSettings,
    pub(crate) placement: &'a placement::Placement,
    /// Whether the instance is draining and releases every worker.
    pub(crate) releases_all: bool,
    pub(crate) is_hand_over_due: bool,
}

impl Decider<'_> {
    /// Returns the call to send next, provided that none is in flight.
    pub(crate) fn next_call(
        &self,
        worker_id: &model::WorkerId,
        worker: &worker::Worker,
        now: time::Instant,
    ) -> Option<action::Action> {
        let Some(lease) = &worker.lease else {
            return self.claim(worker_id, worker, now);
        };
        if self.releases_all || lease.releasing || self.should_hand_over(worker_id, lease, now) {
            return Some(self.release(worker_id, worker, lease));
        }
        Some(action::Action::Renew {
            worker_id: worker_id.clone(),
            address: worker.address.clone(),
            epoch: lease.epoch,
        })
    }

    fn claim(
        &self,
        worker_id: &model::WorkerId,
        worker: &worker::Worker,
        now: time::Instant,
    ) -> Option<action::Action> {
        if self.releases_all || !worker.listed {
            return None;
        }
        let own_id = &self.settings.instance_id;
        let rank = self.placement.rank(worker_id, &worker.location, own_id)?;
        let due_at = worker.maybe_unheld_from + self.settings.claim_delay_per_rank() * rank;
        (worker.reclaim_immediately || now >= due_at).then(|| action::Action::Claim {
            worker_id: worker_id.clone(),
            address: worker.address.clone(),
        })
    }

    fn should_hand_over(&self, worker_id: &str, lease: &worker::Lease, now: time::Instant) -> bool {
        let preferred = self.placement.preferred(worker_id);
        let is_preferred = preferred.is_none_or(|holder| *holder == self.settings.instance_id);
        self.is_hand_over_due && !is_preferred && now >= lease.hand_over_not_before
    }

    fn release(
        &self,
        worker_id: &model::WorkerId,
        worker: &worker::Worker,
        lease: &worker::Lease,
    ) -> action::Action {
        let own_id = &self.settings.instance_id;
        let successor = self
            .placement
            .successor(worker_id, &worker.location, own_id);
        action::Action::Release {
            worker_id: worker_id.clone(),
            address: worker.address.clone(),
            epoch: lease.epoch,
            successor: successor.cloned(),
        }
    }
}
