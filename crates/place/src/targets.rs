//! The fleets that a queue may offer tasks to, with their advertised capacity.

use std::time;

use crate::dispatch;

const MAX_REFUSED_SHAPES: usize = 256;
const REFUSAL_RETENTION: time::Duration = time::Duration::from_millis(5);

/// What a task requires of a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Requirement<'a> {
    pub(crate) reserve: model::Demand,
    pub(crate) members: u32,
    pub(crate) short: bool,
    /// Whether it may run on workers on probation.
    pub(crate) allows_probation: bool,
    /// Whether only slots kept for short tasks are considered.
    pub(crate) short_slots_only: bool,
    /// Whether fleets in other regions are considered.
    pub(crate) cross_region: bool,
    pub(crate) excluded_instances: &'a [model::InstanceId],
    /// Spreads the choice among equally near fleets.
    pub(crate) seed: u64,
}

/// Properties of a request that a fleet has refused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestShape {
    pub(crate) reserve: model::Demand,
    pub(crate) members: u32,
    pub(crate) short: bool,
    pub(crate) allows_probation: bool,
}

impl RequestShape {
    /// Returns whether a fleet that refused `self` would also refuse `other`.
    fn implies(&self, other: &Self) -> bool {
        self.reserve.fits_in(&other.reserve)
            && self.members <= other.members
            && (self.short || !other.short)
            && (self.allows_probation || !other.allows_probation)
    }
}

/// Capacity claimed for a dispatch, to be released if the offer is refused.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Claim {
    /// Version of the advertised capacity that was claimed from; 0 if nothing was claimed.
    version: u64,
    slots: u32,
    short_slots: u32,
    resources: model::Demand,
}

#[derive(Debug)]
struct TargetFleet {
    target: dispatch::Target,
    proximity: dispatch::Proximity,
    advertised: model::CapacitySummary,
    /// What remains of `advertised` after the dispatches since.
    remaining: model::CapacitySummary,
    refused: Vec<RequestShape>,
    refused_at: Option<time::Instant>,
    /// Incremented with each advertised capacity, from 1.
    version: u64,
}

impl TargetFleet {
    fn has_capacity(&self, requirement: &Requirement<'_>) -> bool {
        let slots = match (requirement.short, requirement.short_slots_only) {
            (true, true) => self.remaining.free_short_slots,
            (true, false) => self.remaining.free_slots + self.remaining.free_short_slots,
            (false, _) => self.remaining.free_slots,
        };
        slots >= requirement.members
            && requirement.reserve.fits_in(&self.remaining.largest_free)
            && requirement
                .reserve
                .times(requirement.members)
                .fits_in(&self.remaining.free)
            && !self.is_refused(requirement)
    }

    fn is_refused(&self, requirement: &Requirement<'_>) -> bool {
        let shape = RequestShape {
            reserve: requirement.reserve,
            members: requirement.members,
            short: requirement.short,
            allows_probation: requirement.allows_probation,
        };
        self.refused.iter().any(|refused| refused.implies(&shape))
    }

    fn claim(&mut self, requirement: &Requirement<'_>) -> Claim {
        let from_short_slots = if requirement.short {
            requirement.members.min(self.remaining.free_short_slots)
        } else {
            0
        };
        let claim = Claim {
            version: self.version,
            slots: (requirement.members - from_short_slots).min(self.remaining.free_slots),
            short_slots: from_short_slots,
            resources: requirement.reserve.times(requirement.members),
        };
        self.remaining.free = self.remaining.free.minus(&claim.resources);
        self.remaining.free_short_slots -= claim.short_slots;
        self.remaining.free_slots -= claim.slots;
        claim
    }

    fn release_claim(&mut self, claim: &Claim) {
        if claim.version != self.version {
            return;
        }
        self.remaining.free = self.remaining.free.plus(&claim.resources);
        self.remaining.free_short_slots += claim.short_slots;
        self.remaining.free_slots += claim.slots;
    }

    fn could_hold(&self, demand: &model::Demand) -> bool {
        self.advertised.slots > 0 && demand.fits_in(&self.advertised.largest_worker)
    }

    fn is_excluded(&self, excluded_instances: &[model::InstanceId]) -> bool {
        match &self.target {
            dispatch::Target::Local => false,
            dispatch::Target::Peer(instance_id) => excluded_instances.contains(instance_id),
        }
    }
}

/// The fleets of all known holders, including the local one.
#[derive(Debug, Default)]
pub(crate) struct Targets {
    fleets: Vec<TargetFleet>,
}

impl Targets {
    /// Records the capacity that a fleet advertises.
    pub(crate) fn set(
        &mut self,
        target: &dispatch::Target,
        proximity: dispatch::Proximity,
        summary: model::CapacitySummary,
        now: time::Instant,
    ) {
        let Some(fleet) = self.fleets.iter_mut().find(|fleet| fleet.target == *target) else {
            self.fleets.push(TargetFleet {
                target: target.clone(),
                proximity,
                advertised: summary,
                remaining: summary,
                refused: Vec::new(),
                refused_at: None,
                version: 1,
            });
            self.fleets.sort_by(|a, b| a.target.cmp(&b.target));
            return;
        };
        let recent = fleet
            .refused_at
            .is_some_and(|at| now.saturating_duration_since(at) < REFUSAL_RETENTION);
        if !recent || !same_free_capacity(&fleet.advertised, &summary) {
            fleet.refused.clear();
        }
        fleet.proximity = proximity;
        fleet.advertised = summary;
        fleet.remaining = summary;
        fleet.version += 1;
    }

    pub(crate) fn remove(&mut self, instance_id: &model::InstanceId) {
        self.fleets.retain(|fleet| match &fleet.target {
            dispatch::Target::Local => true,
            dispatch::Target::Peer(id) => id != instance_id,
        });
    }

    /// Records that `target` refused a request of `shape`, and releases `claim`.
    pub(crate) fn refuse(
        &mut self,
        target: &dispatch::Target,
        claim: &Claim,
        shape: RequestShape,
        now: time::Instant,
    ) {
        let mut fleets = self.fleets.iter_mut();
        let Some(fleet) = fleets.find(|fleet| fleet.target == *target) else {
            return;
        };
        fleet.release_claim(claim);
        fleet.refused_at = Some(now);
        fleet.refused.retain(|other| !shape.implies(other));
        fleet.refused.push(shape);
        if fleet.refused.len() > MAX_REFUSED_SHAPES {
            fleet.remaining = model::CapacitySummary::default();
        }
    }

    /// Releases the capacity claimed for a task that is not offered.
    pub(crate) fn release_claim(&mut self, target: &dispatch::Target, claim: &Claim) {
        let mut fleets = self.fleets.iter_mut();
        if let Some(fleet) = fleets.find(|fleet| fleet.target == *target) {
            fleet.release_claim(claim);
        }
    }

    /// Returns whether any slot is free, including those kept for short tasks.
    pub(crate) fn any_free_slot(&self) -> bool {
        self.fleets
            .iter()
            .any(|fleet| fleet.remaining.free_slots + fleet.remaining.free_short_slots > 0)
    }

    /// Returns whether any slot is kept free for short tasks.
    pub(crate) fn any_short_slot(&self) -> bool {
        self.fleets
            .iter()
            .any(|fleet| fleet.remaining.free_short_slots > 0)
    }

    /// Returns the position of the best fleet with enough capacity: the local one if it has, else
    /// the nearest, and among equally near ones the one with more free slots of two picked by the
    /// seed.
    pub(crate) fn choose(&self, requirement: &Requirement<'_>) -> Option<usize> {
        let mut nearest: Option<dispatch::Proximity> = None;
        let mut candidates = 0_u64;
        for fleet in &self.fleets {
            if !self.eligible(fleet, requirement) {
                continue;
            }
            if fleet.target == dispatch::Target::Local {
                return self.position_of_local();
            }
            match nearest {
                Some(best) if fleet.proximity > best => {}
                Some(best) if fleet.proximity == best => candidates += 1,
                _ => {
                    nearest = Some(fleet.proximity);
                    candidates = 1;
                }
            }
        }
        let nearest = nearest?;
        let first = self.nth_eligible(requirement, nearest, requirement.seed % candidates)?;
        let second =
            self.nth_eligible(requirement, nearest, (requirement.seed >> 32) % candidates)?;
        let freer =
            if self.fleets[second].remaining.free_slots > self.fleets[first].remaining.free_slots {
                second
            } else {
                first
            };
        Some(freer)
    }

    /// Claims capacity of the fleet at `position`.
    pub(crate) fn claim(&mut self, position: usize, requirement: &Requirement<'_>) -> Claim {
        self.fleets[position].claim(requirement)
    }

    /// Returns the nearest fleet that could hold all of `requirement` if it were empty.
    pub(crate) fn choose_large_enough(&self, requirement: &Requirement<'_>) -> Option<usize> {
        let fleets = self.fleets.iter().enumerate();
        fleets
            .filter(|(_, fleet)| {
                fleet.advertised.slots >= requirement.members
                    && fleet.could_hold(&requirement.reserve)
                    && !fleet.is_excluded(requirement.excluded_instances)
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

    /// Returns whether the fleets with a worker that can hold `demand` have at least `members` slots
    /// in total, free or not.
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
    pub(crate) fn own_region_could_hold(&self, demand: &model::Demand) -> bool {
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

    /// Returns the largest amount of each resource on any one worker.
    pub(crate) fn largest_worker(&self) -> model::Demand {
        self.fleets
            .iter()
            .fold(model::Demand::default(), |largest, fleet| {
                largest.max(&fleet.advertised.largest_worker)
            })
    }

    fn eligible(&self, fleet: &TargetFleet, requirement: &Requirement<'_>) -> bool {
        let reachable =
            requirement.cross_region || fleet.proximity != dispatch::Proximity::OtherRegion;
        reachable
            && fleet.has_capacity(requirement)
            && !fleet.is_excluded(requirement.excluded_instances)
    }

    fn position_of_local(&self) -> Option<usize> {
        self.fleets
            .iter()
            .position(|fleet| fleet.target == dispatch::Target::Local)
    }

    fn nth_eligible(
        &self,
        requirement: &Requirement<'_>,
        proximity: dispatch::Proximity,
        n: u64,
    ) -> Option<usize> {
        let positions = self.fleets.iter().enumerate();
        positions
            .filter(|(_, fleet)| fleet.proximity == proximity && self.eligible(fleet, requirement))
            .nth(n as usize)
            .map(|(position, _)| position)
    }
}

fn same_free_capacity(a: &model::CapacitySummary, b: &model::CapacitySummary) -> bool {
    a.free_slots == b.free_slots
        && a.free_short_slots == b.free_short_slots
        && a.free == b.free
        && a.largest_free == b.largest_free
}
