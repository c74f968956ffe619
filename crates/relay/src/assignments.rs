//! Decides through which relay each worker is called.

use std::hash::BuildHasher as _;
use std::sync;

use indexmap::IndexMap;

/// A relay whose machine has less than this share of the strongest one's processor time gets no
/// workers where a stronger one is as near: fewer relays carry larger batches.
const MIN_STRENGTH_DIVISOR: u32 = 2;
/// Seed of the hash that spreads workers over relays; the same in every instance, so that a change
/// of leader moves few workers.
const HASH_SEED: u64 = 0x6665_7272_792d_3031;

/// What is known of a relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayInfo {
    /// Data centre of its machine.
    pub data_centre: model::DataCentre,
    /// Processor time of its machine, in thousandths of a core.
    pub strength_milli: u32,
}

/// How a worker is called.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// By the leader itself.
    Direct,
    /// Through this relay.
    Through(model::InstanceId),
}

/// Which relay calls which worker.
///
/// A worker is called through a strong relay in its data centre; without one by the leader if that
/// is in its data centre, else through a relay in its region, else through any.
#[derive(Debug)]
pub struct Assignments {
    own: RelayInfo,
    regions: IndexMap<model::DataCentre, model::Region>,
    relays: IndexMap<model::InstanceId, RelayInfo>,
    /// Data centres of the workers.
    data_centres: IndexMap<model::WorkerId, model::DataCentre>,
    /// Routes that were computed for the current relays.
    routes: IndexMap<model::WorkerId, Route>,
}

/// How near a relay is to a worker; nearer ones are smaller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    SameDataCentre,
    SameRegion,
    Far,
}

impl Assignments {
    /// Creates the assignments of a leader without relays; `regions` has the region of each data
    /// centre.
    #[must_use]
    pub fn new(own: RelayInfo, regions: IndexMap<model::DataCentre, model::Region>) -> Self {
        Self {
            own,
            regions,
            relays: IndexMap::new(),
            data_centres: IndexMap::new(),
            routes: IndexMap::new(),
        }
    }

    /// Sets the relays that may be used; returns whether they have changed.
    pub fn set_relays(&mut self, relays: IndexMap<model::InstanceId, RelayInfo>) -> bool {
        let has_changed = relays != self.relays;
        if has_changed {
            self.relays = relays;
            self.routes.clear();
        }
        has_changed
    }

    /// Sets the data centre of a worker.
    pub fn set_data_centre(
        &mut self,
        worker_id: &model::WorkerId,
        data_centre: &model::DataCentre,
    ) {
        if self.data_centres.get(worker_id) == Some(data_centre) {
            return;
        }
        let worker_id = sync::Arc::clone(worker_id);
        self.routes.swap_remove(&worker_id);
        self.data_centres
            .insert(worker_id, sync::Arc::clone(data_centre));
    }

    /// Forgets the workers that `is_listed` does not hold for.
    pub fn retain_workers(&mut self, is_listed: impl Fn(&model::WorkerId) -> bool) {
        self.data_centres
            .retain(|worker_id, _| is_listed(worker_id));
        self.routes.retain(|worker_id, _| is_listed(worker_id));
    }

    /// Returns how a worker is called.
    pub fn route(&mut self, worker_id: &model::WorkerId) -> Route {
        if let Some(route) = self.routes.get(worker_id) {
            return route.clone();
        }
        let route = self.choose(worker_id);
        self.routes
            .insert(sync::Arc::clone(worker_id), route.clone());
        route
    }

    fn choose(&self, worker_id: &model::WorkerId) -> Route {
        let data_centre = self.data_centres.get(worker_id);
        let distance = |relay: &RelayInfo| self.distance(data_centre, relay);
        let Some(nearest) = self.relays.values().map(distance).min() else {
            return Route::Direct;
        };
        if nearest > Distance::SameDataCentre && distance(&self.own) < nearest {
            return Route::Direct;
        }
        let near = || {
            let relays = self.relays.iter();
            relays.filter(|(_, relay)| distance(relay) == nearest)
        };
        let strongest = near().map(|(_, relay)| relay.strength_milli).max();
        let limit = strongest.unwrap_or_default() / MIN_STRENGTH_DIVISOR;
        let strong = near().filter(|(_, relay)| relay.strength_milli >= limit);
        let chosen = strong.max_by(|(id, relay), (other_id, other)| {
            let score = |id: &model::InstanceId, relay: &RelayInfo| {
                rendezvous_score(id, worker_id, relay.strength_milli)
            };
            score(id, relay).total_cmp(&score(other_id, other))
        });
        chosen.map_or(Route::Direct, |(instance_id, _)| {
            Route::Through(sync::Arc::clone(instance_id))
        })
    }

    fn distance(&self, data_centre: Option<&model::DataCentre>, relay: &RelayInfo) -> Distance {
        let Some(data_centre) = data_centre else {
            return Distance::Far;
        };
        if relay.data_centre == *data_centre {
            return Distance::SameDataCentre;
        }
        let region = |of: &model::DataCentre| self.regions.get(of);
        let is_same_region =
            region(data_centre).is_some() && region(data_centre) == region(&relay.data_centre);
        if is_same_region {
            Distance::SameRegion
        } else {
            Distance::Far
        }
    }
}

/// Returns the score of a relay for a worker in weighted rendezvous hashing: the relay with the
/// highest one is chosen, so that each gets workers in proportion to its strength, and a relay that
/// leaves or joins moves only its own.
fn rendezvous_score(
    instance_id: &model::InstanceId,
    worker_id: &model::WorkerId,
    strength_milli: u32,
) -> f64 {
    let hasher = foldhash::quality::FixedState::with_seed(HASH_SEED);
    // The part of the id that names the process changes with each start of the same machine.
    let machine = instance_id.split('#').next().unwrap_or_default();
    let hash = hasher.hash_one((machine, &**worker_id));
    // A number between 0 and 1, exclusive.
    let unit = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    f64::from(strength_milli.max(1)) / -unit.ln()
}
