//! The lease state of one instance.

use std::time;

use indexmap::IndexMap;

use crate::action;
use crate::decider;
use crate::event;
use crate::placement;
use crate::replies;
use crate::settings;
use crate::worker;

/// Address and fencing values for an order to a held worker, as of the time of the query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderTarget {
    /// Epoch to send with the order.
    pub epoch: model::Epoch,
    /// Incarnation to send with the order.
    pub incarnation: model::Incarnation,
    /// The worker's `address:port`.
    pub address: String,
}

/// Decides about the leases of one instance.
///
/// At most one lease call is in flight for each worker: the next one is returned only after the
/// event that answers the previous one.
#[derive(Debug)]
pub struct Leases {
    pub(crate) settings: settings::LeaseSettings,
    pub(crate) workers: IndexMap<model::WorkerId, worker::Worker>,
    pub(crate) members: Vec<event::Member>,
    pub(crate) placement: placement::Placement,
    /// When the members last changed.
    members_changed_at: Option<time::Instant>,
    /// When a worker was last handed over to a preferred holder.
    handed_over_at: Option<time::Instant>,
    pub(crate) draining: bool,
    /// Whether workers are released even if no other instance can claim them.
    release_all_requested: bool,
}

impl Leases {
    /// Creates the state of an instance that holds nothing.
    #[must_use]
    pub fn new(settings: settings::LeaseSettings) -> Self {
        Self {
            settings,
            workers: IndexMap::new(),
            members: Vec::new(),
            placement: placement::Placement::default(),
            members_changed_at: None,
            handed_over_at: None,
            draining: false,
            release_all_requested: false,
        }
    }

    /// Processes one event and returns the resulting actions.
    ///
    /// Needs several [`event::Event::Tick`]s within the duration of a lease.
    pub fn handle_event(&mut self, event: event::Event, now: time::Instant) -> Vec<action::Action> {
        let mut actions = Vec::new();
        match event {
            event::Event::Workers(entries) => {
                self.on_workers(&entries, now);
                self.advance_all(now, &mut actions);
            }
            event::Event::Members(members) => {
                self.on_members(members, now);
                self.advance_all(now, &mut actions);
            }
            event::Event::Drain => {
                self.draining = true;
                self.advance_all(now, &mut actions);
            }
            event::Event::ReleaseAll => {
                self.draining = true;
                self.release_all_requested = true;
                self.advance_all(now, &mut actions);
            }
            event::Event::Tick => self.advance_all(now, &mut actions),
            event::Event::Granted(grant) => {
                let worker_id = grant.worker_id.clone();
                self.on_granted(grant, now, &mut actions);
                self.advance(&worker_id, now, &mut actions);
            }
            event::Event::Held {
                worker_id,
                holder,
                remaining,
            } => {
                self.on_held(&worker_id, holder, remaining, now, &mut actions);
                self.advance(&worker_id, now, &mut actions);
            }
            event::Event::Lapsed { worker_id } => {
                self.on_lapsed(&worker_id, now, &mut actions);
                self.advance(&worker_id, now, &mut actions);
            }
            event::Event::Released { worker_id } => {
                self.on_released(&worker_id, now, &mut actions);
                self.advance(&worker_id, now, &mut actions);
            }
            event::Event::Failed { worker_id, sent_at } => {
                self.on_failed(&worker_id, sent_at, now);
                self.advance(&worker_id, now, &mut actions);
            }
            event::Event::Unsent { worker_id } => {
                self.on_unsent(&worker_id, now);
                self.advance(&worker_id, now, &mut actions);
            }
            event::Event::HeldByPeer { worker_id, holder } => {
                self.on_held_by_peer(&worker_id, holder, now);
            }
        }
        actions
    }

    /// Returns the target for start orders to a worker, if its lease is certainly valid at `now`
    /// and the worker accepts new work.
    ///
    /// This is no guarantee: the lease may end before the order arrives. The worker then refuses
    /// the order because of its epoch.
    #[must_use]
    pub fn start_target(&self, worker_id: &str, now: time::Instant) -> Option<OrderTarget> {
        let worker = self.workers.get(worker_id)?;
        let lease = worker.lease.as_ref()?;
        let is_leaving = lease.leaving || worker.listed_leaving;
        let is_valid = now < lease.valid_until && !lease.releasing && !is_leaving;
        is_valid.then(|| new_order_target(worker, lease))
    }

    /// Returns the target for other orders (stop, throttle) under the latest epoch.
    ///
    /// The worker refuses them if the epoch is stale.
    #[must_use]
    pub fn order_target(&self, worker_id: &str) -> Option<OrderTarget> {
        let worker = self.workers.get(worker_id)?;
        worker
            .lease
            .as_ref()
            .map(|lease| new_order_target(worker, lease))
    }

    /// Returns the workers held, including those whose lease may no longer be valid.
    pub fn held(&self) -> impl Iterator<Item = &model::WorkerId> {
        let workers = self.workers.iter();
        let held = workers.filter(|(_, worker)| worker.lease.is_some());
        held.map(|(worker_id, _)| worker_id)
    }

    /// Returns the workers that may have a lease of this instance, or runs kept alive by one.
    ///
    /// Besides the held ones, these are workers whose answer to a claim is outstanding or was lost.
    pub fn possibly_held(&self, now: time::Instant) -> impl Iterator<Item = &model::WorkerId> {
        let workers = self.workers.iter();
        let held = workers.filter(move |(_, worker)| worker.is_possibly_held(&self.settings, now));
        held.map(|(worker_id, _)| worker_id)
    }

    /// Returns the workers last reported as held by another instance, with that holder.
    pub fn held_elsewhere(&self) -> impl Iterator<Item = (&model::WorkerId, &model::InstanceId)> {
        let workers = self.workers.iter();
        workers.filter_map(|(worker_id, worker)| Some((worker_id, worker.other_holder.as_ref()?)))
    }

    /// Returns the location of a known worker.
    #[must_use]
    pub fn location_of(&self, worker_id: &str) -> Option<&model::Location> {
        self.workers.get(worker_id).map(|worker| &worker.location)
    }

    /// Returns the instance that should hold a worker, according to the members known here.
    #[must_use]
    pub fn preferred_holder(&self, worker_id: &str) -> Option<&model::InstanceId> {
        self.placement.preferred(worker_id)
    }

    fn on_workers(&mut self, entries: &[model::DirectoryEntry], now: time::Instant) {
        for worker in self.workers.values_mut() {
            worker.listed = false;
        }
        let workers = entries
            .iter()
            .filter(|entry| entry.role == model::Role::Worker);
        for entry in workers {
            self.workers
                .entry(entry.id.clone())
                .and_modify(|worker| worker.update(entry))
                .or_insert_with(|| worker::Worker::new(entry, now));
        }
        let settings = &self.settings;
        self.workers
            .retain(|_, worker| !worker.is_removable(settings, now));
        self.update_placement();
    }

    fn on_members(&mut self, mut members: Vec<event::Member>, now: time::Instant) {
        members.sort_by(|left, right| left.instance_id.cmp(&right.instance_id));
        if members == self.members {
            return;
        }
        self.members = members;
        self.members_changed_at = Some(now);
        self.update_placement();
        let own_id = self.settings.instance_id.clone();
        for (worker_id, worker) in &mut self.workers {
            let is_preferred = self.placement.preferred(worker_id) == Some(&own_id);
            let holder = worker.other_holder.as_ref();
            let is_holder_inactive =
                holder.is_some_and(|holder| !is_active_member(&self.members, holder));
            if is_preferred {
                worker.maybe_unheld_from = worker.maybe_unheld_from.min(now);
            } else if is_holder_inactive {
                worker.maybe_unheld_from = now;
            }
            if is_preferred || is_holder_inactive {
                worker.not_before = worker.not_before.min(now);
            }
        }
    }

    fn update_placement(&mut self) {
        let workers = self.workers.iter().filter(|(_, worker)| worker.listed);
        let workers = workers.map(|(worker_id, worker)| (worker_id, &worker.location));
        self.placement = placement::Placement::new(workers, &self.members);
    }

    fn advance_all(&mut self, now: time::Instant, actions: &mut Vec<action::Action>) {
        for index in 0..self.workers.len() {
            self.advance_at(index, now, actions);
        }
    }

    fn advance(
        &mut self,
        worker_id: &model::WorkerId,
        now: time::Instant,
        actions: &mut Vec<action::Action>,
    ) {
        if let Some(index) = self.workers.get_index_of(worker_id) {
            self.advance_at(index, now, actions);
        }
    }

    /// Emits the actions that are due for one worker.
    fn advance_at(&mut self, index: usize, now: time::Instant, actions: &mut Vec<action::Action>) {
        let is_hand_over_due = self.is_hand_over_due(now);
        let releases_all = self.releases_all();
        let Some((worker_id, worker)) = self.workers.get_index_mut(index) else {
            return;
        };
        if worker.has_lapsed(&self.settings, now) {
            let is_releasing = worker.lease.as_ref().is_some_and(|lease| lease.releasing);
            worker.maybe_unheld_from = now;
            worker.reclaim_immediately = !is_releasing;
            replies::drop_lease(worker_id.clone(), worker, actions);
        }
        if let Some(leaving) = worker.detect_leaving_change() {
            actions.push(action::Action::LeavingChanged {
                worker_id: worker_id.clone(),
                leaving,
            });
        }
        if worker.detect_gone(&self.settings, now) {
            worker.reclaim_immediately = false;
            actions.push(action::Action::Gone {
                worker_id: worker_id.clone(),
            });
        }
        if worker.call.is_some() || worker.is_calling_suspended(&self.settings, now) {
            return;
        }
        let decider = decider::Decider {
            settings: &self.settings,
            placement: &self.placement,
            releases_all,
            is_hand_over_due,
        };
        let Some(action) = decider.next_call(worker_id, worker, now) else {
            return;
        };
        let kind = kind_of(&action);
        // The first release does not have to wait until the next renewal is due.
        let skips_delay = kind == worker::CallKind::Release && worker.failures == 0;
        if now < worker.not_before && !skips_delay {
            return;
        }
        if kind == worker::CallKind::Release && !releases_all {
            self.handed_over_at = Some(now);
        }
        worker.record_call(kind, now, self.settings.renew_every);
        actions.push(action);
    }

    /// Returns whether all workers are released: this instance is draining, and another one can
    /// claim them or they are no longer needed.
    pub(crate) fn releases_all(&self) -> bool {
        let has_active_member = self.members.iter().any(|member| !member.draining);
        self.draining && (has_active_member || self.release_all_requested)
    }

    /// Returns whether the members are stable and enough time has passed since the last hand-over.
    fn is_hand_over_due(&self, now: time::Instant) -> bool {
        let are_members_stable = self
            .members_changed_at
            .is_some_and(|changed_at| now >= changed_at + self.settings.members_stable_for);
        let is_next_due = self
            .handed_over_at
            .is_none_or(|last| now >= last + self.settings.hand_over_every);
        are_members_stable && is_next_due
    }
}

fn new_order_target(worker: &worker::Worker, lease: &worker::Lease) -> OrderTarget {
    OrderTarget {
        epoch: lease.epoch,
        incarnation: lease.incarnation,
        address: worker.address.clone(),
    }
}

fn kind_of(action: &action::Action) -> worker::CallKind {
    match action {
        action::Action::Renew { .. } => worker::CallKind::Renew,
        action::Action::Release { .. } => worker::CallKind::Release,
        _ => worker::CallKind::Claim,
    }
}

pub(crate) fn is_active_member(members: &[event::Member], instance_id: &str) -> bool {
    let mut active = members.iter().filter(|member| !member.draining);
    active.any(|member| &*member.instance_id == instance_id)
}
