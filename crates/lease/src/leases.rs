//! The lease state of one instance.

use std::time;

use crate::action;
use crate::event;
use crate::settings;

/// Permission to start runs on a held worker, for the moment it was asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartRight {
    /// Epoch to quote in the order.
    pub epoch: model::Epoch,
    /// Incarnation to quote in the order.
    pub incarnation: model::Incarnation,
    /// The worker's `address:port`.
    pub address: String,
}

/// Decides about the leases of one instance.
#[derive(Debug)]
pub struct Leases {
    settings: settings::LeaseSettings,
}

impl Leases {
    /// Creates the state of an instance that holds nothing.
    #[must_use]
    pub fn new(settings: settings::LeaseSettings) -> Self {
        Self { settings }
    }

    /// Takes one event and returns what is to be done.
    pub fn on(&mut self, _event: event::Event, _now: time::Instant) -> Vec<action::Action> {
        let _ = &self.settings;
        Vec::new()
    }

    /// Returns the right to start runs on a worker, if its lease is surely valid at `now`.
    #[must_use]
    pub fn may_start(&self, _worker_id: &str, _now: time::Instant) -> Option<StartRight> {
        None
    }

    /// Returns the right to send other orders (stop, throttle) under the latest epoch.
    ///
    /// The worker refuses them if the epoch is stale.
    #[must_use]
    pub fn may_order(&self, _worker_id: &str) -> Option<StartRight> {
        None
    }

    /// Returns the workers held.
    pub fn held(&self) -> impl Iterator<Item = &model::WorkerId> {
        std::iter::empty()
    }

    /// Returns the workers that are known to be held by another instance, with the holder.
    pub fn held_elsewhere(&self) -> impl Iterator<Item = (&model::WorkerId, &model::InstanceId)> {
        std::iter::empty()
    }

    /// Returns where a listed worker stands.
    #[must_use]
    pub fn location_of(&self, _worker_id: &str) -> Option<&model::Location> {
        None
    }
}
