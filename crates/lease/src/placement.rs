//! Which instance should hold which worker: a hint that live instances mostly agree on.

use std::cmp;

use indexmap::IndexMap;

use crate::event;

/// The load limit is this many percent of the mean, rounded up.
const LOAD_LIMIT_PERCENT: usize = 125;

/// Preferred holders and the order of the others.
///
/// Racks are given out whole by rendezvous hashing over the instances of their region, or over
/// all if it has none. A rack that nobody there can take whole within the load limit is split.
#[derive(Debug, Default)]
pub(crate) struct Placement {
    /// Every listed worker has a preferred holder, unless there are no candidates.
    preferred: IndexMap<model::WorkerId, model::InstanceId>,
    /// Candidates of each rack, best first.
    orders: IndexMap<model::Location, Vec<model::InstanceId>>,
}

impl Placement {
    /// Computes the placement of `workers` over those of `members` that are not draining, or over
    /// all if every one is.
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
            let order = rank(&location, &candidates);
            placement.place_rack(&order, &location, workers, &mut loads);
            let ids = order.iter().map(|member| member.instance_id.clone());
            placement.orders.insert(location, ids.collect());
        }
        placement
    }

    /// Returns the preferred holder of a worker.
    pub(crate) fn preferred(&self, worker_id: &str) -> Option<&model::InstanceId> {
        self.preferred.get(worker_id)
    }

    /// Returns how many instances come before `instance_id` in the order for a worker.
    pub(crate) fn index(
        &self,
        worker_id: &str,
        location: &model::Location,
        instance_id: &str,
    ) -> Option<u32> {
        let preferred = self.preferred.get(worker_id)?;
        if &**preferred == instance_id {
            return Some(0);
        }
        let others = self.orders.get(location)?.iter();
        let mut others = others.filter(|other| *other != preferred);
        let position = others.position(|other| &**other == instance_id)?;
        Some(
            u32::try_from(position)
                .unwrap_or(u32::MAX)
                .saturating_add(1),
        )
    }

    /// Returns the first instance in the order for a worker other than `instance_id`.
    pub(crate) fn successor(
        &self,
        worker_id: &str,
        location: &model::Location,
        instance_id: &str,
    ) -> Option<&model::InstanceId> {
        let preferred = self.preferred.get(worker_id);
        let others = self.orders.get(location).into_iter().flatten();
        let mut order = preferred.into_iter().chain(others);
        order.find(|other| &***other != instance_id)
    }

    fn place_rack(
        &mut self,
        order: &[&event::Member],
        location: &model::Location,
        workers: Vec<model::WorkerId>,
        loads: &mut Loads,
    ) {
        let local = order.iter().take_while(|member| is_local(member, location));
        let local_count = local.count();
        let near = if local_count == 0 {
            order
        } else {
            &order[..local_count]
        };
        let whole = near
            .iter()
            .find(|member| loads.has_room(&member.instance_id, workers.len()));
        for worker_id in workers {
            let chosen = whole.or_else(|| {
                let mut all = order.iter();
                all.find(|member| loads.has_room(&member.instance_id, 1))
            });
            if let Some(member) = chosen {
                loads.add(&member.instance_id);
                let holder = member.instance_id.clone();
                self.preferred.insert(worker_id, holder);
            }
        }
    }
}

/// Workers given to each instance so far.
#[derive(Debug)]
struct Loads {
    /// No instance is given more workers than this; enough for all of them together.
    limit: usize,
    given: IndexMap<model::InstanceId, usize>,
}

impl Loads {
    fn new(workers: usize, instances: usize) -> Self {
        Self {
            limit: (workers * LOAD_LIMIT_PERCENT).div_ceil(100 * instances.max(1)),
            given: IndexMap::new(),
        }
    }

    fn has_room(&self, instance_id: &model::InstanceId, count: usize) -> bool {
        let given = self.given.get(instance_id).copied().unwrap_or_default();
        given + count <= self.limit
    }

    fn add(&mut self, instance_id: &model::InstanceId) {
        *self.given.entry(instance_id.clone()).or_default() += 1;
    }
}

/// Groups workers by rack; racks and the workers of each are in a fixed order.
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
    // Large racks first, so that they find room for the whole.
    racks.sort_by(|left, left_workers, right, right_workers| {
        let by_size = right_workers.len().cmp(&left_workers.len());
        by_size.then_with(|| left.cmp(right))
    });
    racks
}

/// Orders candidates for a rack: those of its region first, then by rendezvous hash.
fn rank<'a>(
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

/// Hashes a rack with an instance's configured name, so that a restart keeps the weight.
fn weight(location: &model::Location, instance_id: &str) -> u64 {
    let name = instance_id.split('#').next().unwrap_or(instance_id);
    let parts = [
        &*location.region,
        &*location.data_centre,
        &*location.rack,
        name,
    ];
    finish(parts.iter().fold(FNV_OFFSET, |hash, part| fnv(hash, part)))
}

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// Ends each part, so that two splits of one text differ; no UTF-8 text has this byte.
const PART_END: u8 = 0xff;

/// Adds a part to an FNV-1a hash, which every build computes alike.
fn fnv(hash: u64, part: &str) -> u64 {
    let bytes = part.bytes().chain([PART_END]);
    bytes.fold(hash, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Spreads similar hashes over all bits.
fn finish(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
