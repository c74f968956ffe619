//! Which call to a worker is next.

use std::time;

use crate::action;
use crate::placement;
use crate::settings;
use crate::worker;

/// Chooses the next call to one worker.
pub(crate) struct Decider<'a> {
    pub(crate) settings: &'a settings::LeaseSettings,
    pub(crate) placement: &'a placement::Placement,
    /// Whether the instance drains and others take its workers.
    pub(crate) yields: bool,
    pub(crate) is_hand_over_due: bool,
}

impl Decider<'_> {
    /// Returns the call that is due, given that none is in flight.
    pub(crate) fn call(
        &self,
        worker_id: &model::WorkerId,
        worker: &worker::Worker,
        now: time::Instant,
    ) -> Option<action::Action> {
        let Some(hold) = &worker.hold else {
            return self.claim(worker_id, worker, now);
        };
        if self.yields || hold.releasing || self.is_wanted_elsewhere(worker_id, hold, now) {
            return Some(self.release(worker_id, worker, hold));
        }
        Some(action::Action::Renew {
            worker_id: worker_id.clone(),
            address: worker.address.clone(),
            epoch: hold.epoch,
        })
    }

    fn claim(
        &self,
        worker_id: &model::WorkerId,
        worker: &worker::Worker,
        now: time::Instant,
    ) -> Option<action::Action> {
        if self.yields || !worker.listed {
            return None;
        }
        let own_id = &self.settings.instance_id;
        let index = self.placement.index(worker_id, &worker.location, own_id)?;
        let due_at = worker.unheld_from + self.settings.turn() * index;
        (worker.eager || now >= due_at).then(|| action::Action::Claim {
            worker_id: worker_id.clone(),
            address: worker.address.clone(),
        })
    }

    fn is_wanted_elsewhere(
        &self,
        worker_id: &str,
        hold: &worker::Hold,
        now: time::Instant,
    ) -> bool {
        let preferred = self.placement.preferred(worker_id);
        let is_preferred = preferred.is_none_or(|holder| *holder == self.settings.instance_id);
        self.is_hand_over_due && !is_preferred && now >= hold.hand_over_from
    }

    fn release(
        &self,
        worker_id: &model::WorkerId,
        worker: &worker::Worker,
        hold: &worker::Hold,
    ) -> action::Action {
        let own_id = &self.settings.instance_id;
        let successor = self
            .placement
            .successor(worker_id, &worker.location, own_id);
        action::Action::Release {
            worker_id: worker_id.clone(),
            address: worker.address.clone(),
            epoch: hold.epoch,
            successor: successor.cloned(),
        }
    }
}
