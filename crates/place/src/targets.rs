//! What the queue knows of the fleets it may offer tasks to.

use std::time;

use crate::dispatch;

const MAX_EXHAUSTED_SIZES: usize = 256;
const REFUSAL_MEMORY: time::Duration = time::Duration::from_millis(5);

/// What a task needs of a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Need<'a> {
    pub(crate) reserve: model::Demand,
    pub(crate) members: u32,
    pub(crate) short: bool,
    /// Whether workers on probation may try it.
    pub(crate) trial: bool,
    /// Whether only slots kept for short tasks count.
    pub(crate) short_slots_only: bool,
    /// Whether fleets in other regions count.
    pub(crate) cross_region: bool,
    pub(crate) avoid: &'a [model::InstanceId],
    /// Spreads equal choices.
    pub(crate) seed: u64,
}

/// A size that a fleet has refused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) reserve: model::Demand,
    pub(crate) members: u32,
    pub(crate) short: bool,
    pub(crate) trial: bool,
}

impl Size {
    /// Returns whether a fleet that refused `self` would refuse `other` too.
    fn implies(&self, other: &Self) -> bool {
        self.reserve.fits_in(&other.reserve)
            && self.members <= other.members
            && (self.short || !other.short)
            && (self.trial || !other.trial)
    }
}

/// Room taken for a dispatch, to be given back if it is refused.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Taken {
    /// Version of the advertised capacity that it was taken from; 0 if nothing was taken.
    version: u64,
    slots: u32,
    short_slots: u32,
    resources: model::Demand,
}

#[derive(Debug)]
struct Fleet {
    target: dispatch::Target,
    proximity: dispatch::Proximity,
    advertised: model::CapacitySummary,
    /// What is left of `advertised` after the dispatches since.
    left: model::CapacitySummary,
    exhausted: Vec<Size>,
    refused_at: Option<time::Instant>,
    /// Raised with each advertised capacity, from 1.
    version: u64,
}

impl Fleet {
    fn room(&self, need: &Need<'_>) -> bool {
        let slots = match (need.short, need.short_slots_only) {
            (true, true) => self.left.free_short_slots,
            (true, false) => self.left.free_slots + self.left.free_short_slots,
            (false, _) => self.left.free_slots,
        };
        slots >= need.members
            && need.reserve.fits_in(&self.left.largest_free)
            && need.reserve.times(need.members).fits_in(&self.left.free)
            && !self.is_exhausted(need)
    }

    fn is_exhausted(&self, need: &Need<'_>) -> bool {
        let size = Size {
            reserve: need.reserve,
            members: need.members,
            short: need.short,
            trial: need.trial,
        };
        self.exhausted.iter().any(|refused| refused.implies(&size))
    }

    fn take(&mut self, need: &Need<'_>) -> Taken {
        let kept = if need.short {
            need.members.min(self.left.free_short_slots)
        } else {
            0
        };
        let taken = Taken {
            version: self.version,
            slots: (need.members - kept).min(self.left.free_slots),
            short_slots: kept,
            resources: need.reserve.times(need.members),
        };
        self.left.free = self.left.free.minus(&taken.resources);
        self.left.free_short_slots -= taken.short_slots;
        self.left.free_slots -= taken.slots;
        taken
    }

    fn give_back(&mut self, taken: &Taken) {
        if taken.version != self.version {
            return;
        }
        self.left.free = self.left.free.plus(&taken.resources);
        self.left.free_short_slots += taken.short_slots;
        self.left.free_slots += taken.slots;
    }

    fn could_hold(&self, demand: &model::Demand) -> bool {
        self.advertised.slots > 0 && demand.fits_in(&self.advertised.largest_worker)
    }

    fn is_avoided(&self, avoid: &[model::InstanceId]) -> bool {
        match &self.target {
            dispatch::Target::Local => false,
            dispatch::Target::Peer(instance_id) => avoid.contains(instance_id),
        }
    }
}

/// The fleets of all known holders, the own one among them.
#[derive(Debug, Default)]
pub(crate) struct Targets {
    fleets: Vec<Fleet>,
}

impl Targets {
    /// Records what a fleet advertises.
    pub(crate) fn set(
        &mut self,
        target: &dispatch::Target,
        proximity: dispatch::Proximity,
        summary: model::CapacitySummary,
        now: time::Instant,
    ) {
        let Some(fleet) = self.fleets.iter_mut().find(|fleet| fleet.target == *target) else {
            self.fleets.push(Fleet {
                target: target.clone(),
                proximity,
                advertised: summary,
                left: summary,
                exhausted: Vec::new(),
                refused_at: None,
                version: 1,
            });
            self.fleets.sort_by(|a, b| a.target.cmp(&b.target));
            return;
        };
        let recent = fleet
            .refused_at
            .is_some_and(|at| now.saturating_duration_since(at) < REFUSAL_MEMORY);
        if !recent || !same_room(&fleet.advertised, &summary) {
            fleet.exhausted.clear();
        }
        fleet.proximity = proximity;
        fleet.advertised = summary;
        fleet.left = summary;
        fleet.version += 1;
    }

    pub(crate) fn remove(&mut self, instance_id: &model::InstanceId) {
        self.fleets.retain(|fleet| match &fleet.target {
            dispatch::Target::Local => true,
            dispatch::Target::Peer(id) => id != instance_id,
        });
    }

    /// Notes that `target` refused a size, and gives back what was taken for it.
    pub(crate) fn refuse(
        &mut self,
        target: &dispatch::Target,
        taken: &Taken,
        size: Size,
        now: time::Instant,
    ) {
        let mut fleets = self.fleets.iter_mut();
        let Some(fleet) = fleets.find(|fleet| fleet.target == *target) else {
            return;
        };
        fleet.give_back(taken);
        fleet.refused_at = Some(now);
        fleet.exhausted.retain(|other| !size.implies(other));
        fleet.exhausted.push(size);
        if fleet.exhausted.len() > MAX_EXHAUSTED_SIZES {
            fleet.left = model::CapacitySummary::default();
        }
    }

    /// Gives back room that was taken for a task that is not offered.
    pub(crate) fn give_back(&mut self, target: &dispatch::Target, taken: &Taken) {
        let mut fleets = self.fleets.iter_mut();
        if let Some(fleet) = fleets.find(|fleet| fleet.target == *target) {
            fleet.give_back(taken);
        }
    }

    /// Returns whether any slot is free for some task.
    pub(crate) fn any_free(&self) -> bool {
        self.fleets
            .iter()
            .any(|fleet| fleet.left.free_slots + fleet.left.free_short_slots > 0)
    }

    /// Returns whether any slot is kept free for short tasks.
    pub(crate) fn any_short_slot(&self) -> bool {
        self.fleets
            .iter()
            .any(|fleet| fleet.left.free_short_slots > 0)
    }

    /// Returns the position of the best fleet with room: the nearest, the own one first, and among
    /// equally near ones the freer of two that the seed picks.
    pub(crate) fn choose(&self, need: &Need<'_>) -> Option<usize> {
        let mut near: Option<dispatch::Proximity> = None;
        let mut candidates = 0_u64;
        for fleet in &self.fleets {
            if !self.eligible(fleet, need) {
                continue;
            }
            if fleet.target == dispatch::Target::Local {
                return self.position_of_local();
            }
            match near {
                Some(best) if fleet.proximity > best => {}
                Some(best) if fleet.proximity == best => candidates += 1,
                _ => {
                    near = Some(fleet.proximity);
                    candidates = 1;
                }
            }
        }
        let near = near?;
        let first = self.nth(need, near, need.seed % candidates)?;
        let second = self.nth(need, near, (need.seed >> 32) % candidates)?;
        let freer = if self.fleets[second].left.free_slots > self.fleets[first].left.free_slots {
            second
        } else {
            first
        };
        Some(freer)
    }

    /// Takes room at `position`.
    pub(crate) fn take(&mut self, position: usize, need: &Need<'_>) -> Taken {
        self.fleets[position].take(need)
    }

    /// Returns the nearest fleet that could hold all of `need` if it were empty.
    pub(crate) fn choose_large_enough(&self, need: &Need<'_>) -> Option<usize> {
        let fleets = self.fleets.iter().enumerate();
        fleets
            .filter(|(_, fleet)| {
                fleet.advertised.slots >= need.members
                    && fleet.could_hold(&need.reserve)
                    && !fleet.is_avoided(need.avoid)
            })
            .min_by_key(|(_, fleet)| {
                (
                    fleet.proximity,
                    fleet.target != dispatch::Target::Local,
                    u32::MAX - fleet.advertised.slots,
                )
            })
            .map(|(position, _)| position)
    }

    pub(crate) fn target(&self, position: usize) -> &dispatch::Target {
        &self.fleets[position].target
    }

    /// Returns how many workers the targets advertise.
    pub(crate) fn workers(&self) -> u32 {
        self.fleets
            .iter()
            .map(|fleet| fleet.advertised.workers)
            .sum()
    }

    /// Returns whether some fleet could hold `members` of `demand` if it were empty.
    pub(crate) fn could_ever_hold(&self, demand: &model::Demand, members: u32) -> bool {
        let slots: u32 = self
            .fleets
            .iter()
            .filter(|fleet| fleet.could_hold(demand))
            .map(|fleet| fleet.advertised.slots)
            .sum();
        slots >= members.max(1)
    }

    /// Returns whether some fleet of the own region could hold one member if it were empty.
    pub(crate) fn region_could_hold(&self, demand: &model::Demand) -> bool {
        self.fleets.iter().any(|fleet| {
            fleet.proximity != dispatch::Proximity::OtherRegion && fleet.could_hold(demand)
        })
    }

    /// Returns whether any fleet is in another region.
    pub(crate) fn any_other_region(&self) -> bool {
        self.fleets
            .iter()
            .any(|fleet| fleet.proximity == dispatch::Proximity::OtherRegion)
    }

    /// Returns the largest amount of each resource that one worker has.
    pub(crate) fn largest_worker(&self) -> model::Demand {
        self.fleets
            .iter()
            .fold(model::Demand::default(), |largest, fleet| {
                largest.max(&fleet.advertised.largest_worker)
            })
    }

    fn eligible(&self, fleet: &Fleet, need: &Need<'_>) -> bool {
        let reachable = need.cross_region || fleet.proximity != dispatch::Proximity::OtherRegion;
        reachable && fleet.room(need) && !fleet.is_avoided(need.avoid)
    }

    fn position_of_local(&self) -> Option<usize> {
        self.fleets
            .iter()
            .position(|fleet| fleet.target == dispatch::Target::Local)
    }

    fn nth(&self, need: &Need<'_>, proximity: dispatch::Proximity, n: u64) -> Option<usize> {
        let positions = self.fleets.iter().enumerate();
        positions
            .filter(|(_, fleet)| fleet.proximity == proximity && self.eligible(fleet, need))
            .nth(n as usize)
            .map(|(position, _)| position)
    }
}

fn same_room(a: &model::CapacitySummary, b: &model::CapacitySummary) -> bool {
    a.free_slots == b.free_slots
        && a.free_short_slots == b.free_short_slots
        && a.free == b.free
        && a.largest_free == b.largest_free
}
