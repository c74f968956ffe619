//! Computes which instance should hold which worker: a hint on which live instances mostly agree.

use std::cmp;

use indexmap::IndexMap;

use crate::event;

/// Maximum number of workers per instance, as a percentage of the mean; the result is rounded up.
const LOAD_LIMIT_PERCENT: usize = 125;

/// Preferred holder of each worker, and the ranking of the other candidates.
///
/// Whole racks are assigned by rendezvous hashing over the instances of their region, or over all
/// instances if the region has none. A rack that does not fit within the load limit of any of these
/// instances is split over all instances.
#[derive(Debug, Default)]
pub(crate) struct Placement {
    /// Every listed worker has a preferred holder, unless there are no candidates.
    preferred: IndexMap<model::WorkerId, model::InstanceId>,
    /// Candidates for each rack, best first.
    candidate_orders: IndexMap<model::Location, Vec<model::InstanceId>>,
}

impl Placement {
    /// Assigns `workers` to those `members` that are not draining, or to all if every member is
    /// draining.
    pub(crate) fn new<'a>(
        workers: impl Iterator<Item = (&'a model::WorkerId, &'a model::Location)>,
        members: &[event::Member],
    ) -> Self {
        let mut candidates: Vec<_> = members.iter().filter(|member| !member.draining).collect();
        if candidates.is_empty() {
            candidates.extend(members);
        }
        let racks = racks_of(workers);
        let count: usize = racks.values().map(Vec::len).sum();
        let mut loads = Loads::new(count, candidates.len());
        let mut placement = Self::default();
        if candidates.is_empty() {
            return placement;
        }
        for (location, workers) in racks {
            let order = rank_candidates(&location, &candidates);
            placement.assign_rack(&order, &location, workers, &mut loads);
            let ids = order.iter().map(|member| member.instance_id.clone());
            placement.candidate_orders.insert(location, ids.collect());
        }
        placement
    }

    /// Returns the preferred holder of a worker.
    pub(crate) fn preferred(&self, worker_id: &str) -> Option<&model::InstanceId> {
        self.preferred.get(worker_id)
    }

    /// Returns how many candidates for a worker are ranked before `instance_id`.
    pub(crate) fn rank(
        &self,
        worker_id: &str,
        location: &model::Location,
        instance_id: &str,
    ) -> Option<u32> {
        let preferred = self.preferred.get(worker_id)?;
        if &**preferred == instance_id {
            return Some(0);
        }
        let others = self.candidate_orders.get(location)?.iter();
        let mut others = others.filter(|other| *other != preferred);
        let position = others.position(|other| &**other == instance_id)?;
        Some(
            u32::try_from(position)
                .unwrap_or(u32::MAX)
                .saturating_add(1),
        )
    }

    /// Returns the best candidate for a worker other than `instance_id`.
    pub(crate) fn successor(
        &self,
        worker_id: &str,
        location: &model::Location,
        instance_id: &str,
    ) -> Option<&model::InstanceId> {
        let preferred = self.preferred.get(worker_id);
        let others = self.candidate_orders.get(location).into_iter().flatten();
        let mut order = preferred.into_iter().chain(others);
        order.find(|other| &***other != instance_id)
    }

    fn assign_rack(
        &mut self,
        order: &[&event::Member],
        location: &model::Location,
        workers: Vec<model::WorkerId>,
        loads: &mut Loads,
    ) {
        let local = order.iter().take_while(|member| is_local(member, location));
        let local_count = local.count();
        let eligible = if local_count == 0 {
            order
        } else {
            &order[..local_count]
        };
        let whole_rack_holder = eligible
            .iter()
            .find(|member| loads.fits(&member.instance_id, workers.len()));
        for worker_id in workers {
            let chosen = whole_rack_holder.or_else(|| {
                let mut all = order.iter();
                all.find(|member| loads.fits(&member.instance_id, 1))
            });
            if let Some(member) = chosen {
                loads.add(&member.instance_id);
                let holder = member.instance_id.clone();
                self.preferred.insert(worker_id, holder);
            }
        }
    }
}

/// Number of workers assigned to each instance so far.
#[derive(Debug)]
struct Loads {
    /// Maximum number of workers per instance; all instances together can hold all workers.
    limit: usize,
    assigned: IndexMap<model::InstanceId, usize>,
}

impl Loads {
    fn new(workers: usize, instances: usize) -> Self {
        Self {
            limit: (workers * LOAD_LIMIT_PERCENT).div_ceil(100 * instances.max(1)),
            assigned: IndexMap::new(),
        }
    }

    fn fits(&self, instance_id: &model::InstanceId, count: usize) -> bool {
        let assigned = self.assigned.get(instance_id).copied().unwrap_or_default();
        assigned + count <= self.limit
    }

    fn add(&mut self, instance_id: &model::InstanceId) {
        *self.assigned.entry(instance_id.clone()).or_default() += 1;
    }
}

/// Groups workers by rack; racks, and the workers in each, are in a deterministic order.
fn racks_of<'a>(
    workers: impl Iterator<Item = (&'a model::WorkerId, &'a model::Location)>,
) -> IndexMap<model::Location, Vec<model::WorkerId>> {
    let mut racks: IndexMap<model::Location, Vec<model::WorkerId>> = IndexMap::new();
    for (worker_id, location) in workers {
        racks
            .entry(location.clone())
            .or_default()
            .push(worker_id.clone());
    }
    racks
        .values_mut()
        .for_each(|workers| workers.sort_unstable());
    // Large racks first, so that they can be assigned whole.
    racks.sort_by(|left, left_workers, right, right_workers| {
        let by_size = right_workers.len().cmp(&left_workers.len());
        by_size.then_with(|| left.cmp(right))
    });
    racks
}

/// Orders candidates for a rack: those of its region first, then by rendezvous hash.
fn rank_candidates<'a>(
    location: &model::Location,
    candidates: &[&'a event::Member],
) -> Vec<&'a event::Member> {
    let mut order = candidates.to_vec();
    order.sort_by_cached_key(|member| {
        let weight = cmp::Reverse(weight(location, &member.instance_id));
        let is_remote = !is_local(member, location);
        (is_remote, weight, member.instance_id.clone())
    });
    order
}

fn is_local(member: &event::Member, location: &model::Location) -> bool {
    member.location.region == location.region
}

/// Hashes a rack with an instance's configured name, which stays the same after a restart.
fn weight(location: &model::Location, instance_id: &str) -> u64 {
    let name = instance_id.split('#').next().unwrap_or(instance_id);
    let parts = [
        &*location.region,
        &*location.data_centre,
        &*location.rack,
        name,
    ];
    mix_bits(
        parts
            .iter()
            .fold(FNV_OFFSET, |hash, part| hash_part(hash, part)),
    )
}

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// Terminates each part, so that different splits of the same text hash differently; this byte does
/// not occur in UTF-8.
const PART_END: u8 = 0xff;

/// Adds a part to an FNV-1a hash, which is the same in every build.
fn hash_part(hash: u64, part: &str) -> u64 {
    let bytes = part.bytes().chain([PART_END]);
    bytes.fold(hash, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Mixes the bits of a hash, so that similar inputs get unrelated weights.
fn mix_bits(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
