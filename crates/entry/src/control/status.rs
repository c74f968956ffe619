//! Status of an instance, as shown to operators.

use std::time;

use indexmap::IndexMap;
use serde::Serialize;

use crate::control::state;

/// Status of one peer, as this instance sees it.
#[derive(Clone, Debug, Serialize)]
pub struct PeerStatus {
    /// The peer.
    pub instance_id: model::InstanceId,
    /// Whether its latest heartbeat is recent enough.
    pub alive: bool,
    /// Revision of the customers list in force there.
    pub customers_revision: model::Revision,
    /// Revision of the plans list in force there.
    pub plans_revision: model::Revision,
}

/// Status of this instance.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// This instance.
    pub instance_id: model::InstanceId,
    /// Its region.
    pub region: model::Region,
    /// Its data centre.
    pub data_centre: model::DataCentre,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it is draining before it stops.
    pub draining: bool,
    /// Revision of the customers list in force.
    pub customers_revision: model::Revision,
    /// Revision of the plans list in force.
    pub plans_revision: model::Revision,
    /// Revision of the latest known partition table.
    pub table_revision: model::Revision,
    /// Partitions that it serves.
    pub partitions_owned: usize,
    /// Partitions that it owns but does not serve yet.
    pub partitions_pending: u32,
    /// Workers that it holds.
    pub workers_held: usize,
    /// Tasks that wait in its queue.
    pub queued: usize,
    /// Runs on its workers.
    pub running: usize,
    /// Unanswered requests of callers.
    pub waiting: usize,
    /// Its peers.
    pub peers: Vec<PeerStatus>,
    /// Counters since the instance started.
    pub counters: IndexMap<String, u64>,
    /// Latest gauges.
    pub gauges: IndexMap<String, u64>,
}

impl state::Control {
    /// Returns the status of this instance.
    #[must_use]
    pub fn status(&self, now: time::Instant) -> Status {
        Status {
            instance_id: self.own_id().clone(),
            region: self.settings.location.region.clone(),
            data_centre: self.settings.location.data_centre.clone(),
            ready: self.is_ready(),
            draining: self.draining,
            customers_revision: self.lists.state().customers.revision,
            plans_revision: self.lists.state().plans.revision,
            table_revision: self.owner.table_revision(),
            partitions_owned: self.owner.served_partitions().len(),
            partitions_pending: self.owner.pending_partitions(),
            workers_held: self.leases.held().count(),
            queued: self.queue.len(),
            running: self.fleet.running(),
            waiting: self.callers.len(),
            peers: self.peer_statuses(now),
            counters: self.metrics.snapshot(),
            gauges: self.metrics.gauges(),
        }
    }

    fn peer_statuses(&self, now: time::Instant) -> Vec<PeerStatus> {
        let peers = self.members.peers.values();
        peers
            .filter_map(|peer| {
                let heartbeat = peer.heartbeat.as_ref()?;
                Some(PeerStatus {
                    instance_id: heartbeat.instance_id.clone(),
                    alive: peer.is_live(self.settings.dead_after, now),
                    customers_revision: heartbeat.customers_revision,
                    plans_revision: heartbeat.plans_revision,
                })
            })
            .collect()
    }
}
