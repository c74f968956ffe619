//! The operators' lists and the platform's list of machines.

use std::time;

use crate::control::state;

impl state::Control {
    /// Applies the operators' lists, read from the store or fetched from a peer.
    pub(super) fn on_lists(&mut self, offered: model::ListsState, now: time::Instant) {
        let applied = self.lists.apply(&offered);
        if !applied.findings.is_empty() {
            self.metrics.count("lists.faulty");
            log::error!("operators' lists rejected\n{}", applied.findings);
        }
        if !applied.changed {
            return;
        }
        let state = self.lists.state();
        log::info!(
            "lists in force customers={} plans={}",
            state.customers.revision,
            state.plans.revision
        );
        self.metrics.count("lists.applied");
        self.on_limits_changed(now);
        self.publish_lists();
    }

    /// Applies the platform's list of machines.
    pub(super) fn on_machines(&mut self, entries: Vec<model::DirectoryEntry>, now: time::Instant) {
        let (instances, workers): (Vec<_>, Vec<_>) = entries
            .into_iter()
            .partition(|entry| entry.role == model::Role::Instance);
        let addresses: Vec<_> = instances.into_iter().map(|entry| entry.address).collect();
        self.on_instances_listed(&addresses, now);
        self.listed_leaving = workers
            .iter()
            .filter(|entry| entry.state == model::EntryState::Leaving)
            .map(|entry| entry.id.clone())
            .collect();
        let ids: Vec<_> = workers.iter().map(|entry| entry.id.clone()).collect();
        self.queue
            .set_listed_workers(u32::try_from(ids.len()).unwrap_or(u32::MAX));
        for worker_id in &ids {
            self.update_leaving(worker_id);
        }
        // A holder must know the current generations before it accepts offers for its workers.
        if self.owner.table_revision() > 0 {
            self.lease_event(lease::Event::Workers(workers), now);
        }
        self.owner_event(owner::Event::Workers(ids), now);
    }
}
