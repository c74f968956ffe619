//! The waiting tasks of one plan, grouped into lanes of equivalent tasks.

use std::collections;
use std::sync;
use std::time;

use crate::recent_sum;

const MAX_LANES: usize = 64;
const MIN_STALE_ITEMS: usize = 64;

/// Properties of a task that determine its requirements and prediction; tasks with the same key
/// share a lane.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LaneKey {
    pub(crate) urgent: bool,
    pub(crate) kind: usize,
    pub(crate) class: model::Class,
    pub(crate) members: u16,
    pub(crate) demand: model::Demand,
    pub(crate) repeatable: bool,
    pub(crate) excluded_instances: Vec<model::InstanceId>,
}

impl LaneKey {
    pub(crate) fn new(
        spec: &model::TaskSpec,
        kind: usize,
        excluded_instances: &[model::InstanceId],
    ) -> Self {
        Self {
            urgent: spec.urgency == model::Urgency::Urgent,
            kind,
            class: spec.class,
            members: spec.members,
            demand: spec.demand,
            repeatable: spec.repeatable,
            excluded_instances: excluded_instances.to_vec(),
        }
    }
}

/// A task in a lane; stale once the task has left the queue or was queued again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LaneItem {
    pub(crate) seq: u64,
    pub(crate) task_id: model::TaskId,
}

/// Equivalent tasks in order of arrival.
#[derive(Debug)]
pub(crate) struct Lane {
    pub(crate) urgent: bool,
    pub(crate) kind: usize,
    pub(crate) spec: sync::Arc<model::TaskSpec>,
    /// In order of sequence number; the first is never stale.
    pub(crate) items: collections::VecDeque<LaneItem>,
    /// Number of items that are not stale.
    pub(crate) live: usize,
    /// Last round in which the first task could not be dispatched, by pass.
    pub(crate) blocked_round: [u64; 2],
    /// When the lane last became non-empty.
    pub(crate) busy_since: time::Instant,
    /// Recent dispatches.
    pub(crate) starts: recent_sum::RecentSum,
    /// When a gang without enough free capacity may be offered again.
    pub(crate) next_offer_at: Option<time::Instant>,
    key: LaneKey,
}

/// Total demand of the waiting tasks of a plan, in integers wide enough not to saturate.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct QueuedDemand {
    processors_milli: u64,
    memory_mb: u64,
    accelerators: u64,
    tasks: u64,
}

impl QueuedDemand {
    pub(crate) fn add(&mut self, spec: &model::TaskSpec) {
        let members = u64::from(spec.members);
        self.processors_milli += u64::from(spec.demand.processors_milli) * members;
        self.memory_mb += u64::from(spec.demand.memory_mb) * members;
        self.accelerators += u64::from(spec.demand.accelerators) * members;
        self.tasks += members;
    }

    pub(crate) fn subtract(&mut self, spec: &model::TaskSpec) {
        let members = u64::from(spec.members);
        self.processors_milli -= u64::from(spec.demand.processors_milli) * members;
        self.memory_mb -= u64::from(spec.demand.memory_mb) * members;
        self.accelerators -= u64::from(spec.demand.accelerators) * members;
        self.tasks -= members;
    }

    /// Returns the total as a quota amount, each dimension at most `u32::MAX`, with a rate of
    /// `starts` task starts a second.
    pub(crate) fn amount(&self, starts: usize) -> model::QuotaAmount {
        model::QuotaAmount {
            resources: model::Demand {
                processors_milli: clamp(self.processors_milli),
                memory_mb: clamp(self.memory_mb),
                accelerators: clamp(self.accelerators),
            },
            tasks: clamp(self.tasks),
            rate_milli: clamp(starts as u64 * 1000),
        }
    }
}

/// All lanes of a plan.
#[derive(Debug, Default)]
pub(crate) struct Lanes {
    index: indexmap::IndexMap<LaneKey, usize>,
    lanes: Vec<Lane>,
    vacant: Vec<usize>,
    items: usize,
    live: usize,
}

impl Lanes {
    /// Returns the lane for `key`, creating it if needed; from [`MAX_LANES`] lanes on, new keys
    /// share coarser lanes.
    pub(crate) fn lane(
        &mut self,
        key: LaneKey,
        spec: &sync::Arc<model::TaskSpec>,
        now: time::Instant,
    ) -> usize {
        if let Some(lane) = self.index.get(&key) {
            return *lane;
        }
        let key = if self.index.len() < MAX_LANES {
            key
        } else {
            coarse_key(&key)
        };
        if let Some(lane) = self.index.get(&key) {
            return *lane;
        }
        let lane = Lane {
            urgent: key.urgent,
            kind: key.kind,
            spec: spec.clone(),
            items: collections::VecDeque::new(),
            live: 0,
            blocked_round: [0; 2],
            busy_since: now,
            starts: recent_sum::RecentSum::default(),
            next_offer_at: None,
            key: key.clone(),
        };
        let position = self.vacant.pop().unwrap_or(self.lanes.len());
        if position == self.lanes.len() {
            self.lanes.push(lane);
        } else {
            self.lanes[position] = lane;
        }
        self.index.insert(key, position);
        position
    }

    /// Inserts an item in order of its sequence number.
    pub(crate) fn insert(&mut self, lane: usize, item: LaneItem) {
        let lane = &mut self.lanes[lane];
        let at = lane.items.partition_point(|other| other.seq < item.seq);
        lane.items.insert(at, item);
        lane.live += 1;
        lane.blocked_round = [0; 2];
        self.items += 1;
        self.live += 1;
    }

    /// Counts one item of `lane` as stale and drops stale items at the front.
    pub(crate) fn remove_task(&mut self, lane: usize, is_live: impl Fn(&LaneItem) -> bool) {
        self.lanes[lane].live -= 1;
        self.live -= 1;
        if self.lanes[lane].live == 0 {
            self.remove_lane(lane);
            return;
        }
        let items = &mut self.lanes[lane].items;
        while items.front().is_some_and(|item| !is_live(item)) {
            items.pop_front();
            self.items -= 1;
        }
    }

    /// Returns whether stale items clearly outnumber the others.
    pub(crate) fn needs_compaction(&self) -> bool {
        self.items > 2 * self.live + MIN_STALE_ITEMS
    }

    /// Drops the items for which `is_live` returns false.
    pub(crate) fn compact(&mut self, mut is_live: impl FnMut(&LaneItem) -> bool) {
        for lane in &mut self.lanes {
            lane.items.retain(&mut is_live);
        }
        self.items = self.lanes.iter().map(|lane| lane.items.len()).sum();
    }

    /// Returns the first task of `lane`.
    pub(crate) fn head(&self, lane: usize) -> Option<model::TaskId> {
        self.lanes[lane].items.front().map(|item| item.task_id)
    }

    /// Returns the lane for `key`, if it holds tasks.
    pub(crate) fn get(&self, key: &LaneKey) -> Option<usize> {
        self.index.get(key).copied()
    }

    /// Drops the first item of `lane`; [`Lanes::remove_task`] must follow for its task.
    pub(crate) fn pop(&mut self, lane: usize) {
        if self.lanes[lane].items.pop_front().is_some() {
            self.items -= 1;
        }
    }

    /// Returns the lanes that hold tasks, with their positions.
    pub(crate) fn active(&self) -> impl Iterator<Item = (usize, &Lane)> {
        let lanes = self.lanes.iter().enumerate();
        lanes.filter(|(_, lane)| lane.live > 0)
    }

    pub(crate) fn get_mut(&mut self, lane: usize) -> &mut Lane {
        &mut self.lanes[lane]
    }

    pub(crate) fn len(&self) -> usize {
        self.live
    }

    fn remove_lane(&mut self, position: usize) {
        let lane = &mut self.lanes[position];
        self.items -= lane.items.len();
        lane.items.clear();
        self.index.swap_remove(&lane.key);
        self.vacant.push(position);
    }
}

fn coarse_key(key: &LaneKey) -> LaneKey {
    LaneKey {
        urgent: key.urgent,
        kind: 0,
        class: key.class,
        members: 0,
        demand: model::Demand::default(),
        repeatable: true,
        excluded_instances: Vec::new(),
    }
}

fn clamp(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
