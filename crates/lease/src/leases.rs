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
///
/// At most one lease call is in flight for each worker: the next one is returned only after the
/// event that answers the last.
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
    /// Whether workers are given up although nobody takes them.
    resigned: bool,
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
            resigned: false,
        }
    }

    /// Takes one event and returns what is to be done.
    ///
    /// Needs a [`event::Event::Tick`] several times in the time that a lease lasts.
    pub fn on(&mut self, event: event::Event, now: time::Instant) -> Vec<action::Action> {
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
            event::Event::Resign => {
                self.draining = true;
                self.resigned = true;
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

    /// Returns the right to start runs on a worker, if its lease is surely valid at `now` and the
    /// worker wants new work.
    ///
    /// The right is no fence: between this and the arrival of an order the lease may end. The
    /// worker refuses the order then, by its epoch.
    #[must_use]
    pub fn may_start(&self, worker_id: &str, now: time::Instant) -> Option<StartRight> {
        let worker = self.workers.get(worker_id)?;
        let hold = worker.hold.as_ref()?;
        let is_leaving = hold.leaving || worker.listed_leaving;
        let is_valid = now < hold.valid_until && !hold.releasing && !is_leaving;
        is_valid.then(|| right(worker, hold))
    }

    /// Returns the right to send other orders (stop, throttle) under the latest epoch.
    ///
    /// The worker refuses them if the epoch is stale.
    #[must_use]
    pub fn may_order(&self, worker_id: &str) -> Option<StartRight> {
        let worker = self.workers.get(worker_id)?;
        worker.hold.as_ref().map(|hold| right(worker, hold))
    }

    /// Returns the workers held, also those whose lease is not surely valid at the moment.
    pub fn held(&self) -> impl Iterator<Item = &model::WorkerId> {
        let workers = self.workers.iter();
        let held = workers.filter(|(_, worker)| worker.hold.is_some());
        held.map(|(worker_id, _)| worker_id)
    }

    /// Returns the workers that may hold a lease of this instance, or runs kept alive by one.
    ///
    /// Beside those held there are those whose answer to a claim is outstanding or was lost.
    pub fn possibly_held(&self, now: time::Instant) -> impl Iterator<Item = &model::WorkerId> {
        let workers = self.workers.iter();
        let held = workers.filter(move |(_, worker)| worker.is_possibly_held(&self.settings, now));
        held.map(|(worker_id, _)| worker_id)
    }

    /// Returns the workers that were last heard to be held by another instance, with the holder.
    pub fn held_elsewhere(&self) -> impl Iterator<Item = (&model::WorkerId, &model::InstanceId)> {
        let workers = self.workers.iter();
        workers.filter_map(|(worker_id, worker)| Some((worker_id, worker.elsewhere.as_ref()?)))
    }

    /// Returns where a known worker stands.
    #[must_use]
    pub fn location_of(&self, worker_id: &str) -> Option<&model::Location> {
        self.workers.get(worker_id).map(|worker| &worker.location)
    }

    /// Returns the instance that should hold a worker, as far as this one knows.
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
            .retain(|_, worker| !worker.is_forgettable(settings, now));
        self.place();
    }

    fn on_members(&mut self, mut members: Vec<event::Member>, now: time::Instant) {
        members.sort_by(|left, right| left.instance_id.cmp(&right.instance_id));
        if members == self.members {
            return;
        }
        self.members = members;
        self.members_changed_at = Some(now);
        self.place();
        let own_id = self.settings.instance_id.clone();
        for (worker_id, worker) in &mut self.workers {
            let is_first = self.placement.preferred(worker_id) == Some(&own_id);
            let holder = worker.elsewhere.as_ref();
            let is_orphan = holder.is_some_and(|holder| !is_serving(&self.members, holder));
            if is_first {
                worker.unheld_from = worker.unheld_from.min(now);
            } else if is_orphan {
                worker.unheld_from = now;
            }
            if is_first || is_orphan {
                worker.not_before = worker.not_before.min(now);
            }
        }
    }

    fn place(&mut self) {
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

    /// Does what has become due for one worker.
    fn advance_at(&mut self, index: usize, now: time::Instant, actions: &mut Vec<action::Action>) {
        let is_hand_over_due = self.is_hand_over_due(now);
        let yields = self.yields();
        let Some((worker_id, worker)) = self.workers.get_index_mut(index) else {
            return;
        };
        if worker.has_lapsed(&self.settings, now) {
            let is_releasing = worker.hold.as_ref().is_some_and(|hold| hold.releasing);
            worker.unheld_from = now;
            worker.eager = !is_releasing;
            replies::drop_hold(worker_id.clone(), worker, actions);
        }
        if let Some(leaving) = worker.take_leaving_change() {
            actions.push(action::Action::LeavingChanged {
                worker_id: worker_id.clone(),
                leaving,
            });
        }
        if worker.take_gone(&self.settings, now) {
            worker.eager = false;
            actions.push(action::Action::Gone {
                worker_id: worker_id.clone(),
            });
        }
        if worker.call.is_some() || worker.is_quiet(&self.settings, now) {
            return;
        }
        let decider = decider::Decider {
            settings: &self.settings,
            placement: &self.placement,
            yields,
            is_hand_over_due,
        };
        let Some(action) = decider.call(worker_id, worker, now) else {
            return;
        };
        let kind = kind_of(&action);
        // A first release need not wait for the time of the next renewal.
        let is_prompt = kind == worker::CallKind::Release && worker.failures == 0;
        if now < worker.not_before && !is_prompt {
            return;
        }
        if kind == worker::CallKind::Release && !yields {
            self.handed_over_at = Some(now);
        }
        worker.issue(kind, now, self.settings.renew_every);
        actions.push(action);
    }

    /// Returns whether workers are given away: others take them, or nothing needs them any more.
    pub(crate) fn yields(&self) -> bool {
        let has_takers = self.members.iter().any(|member| !member.draining);
        self.draining && (has_takers || self.resigned)
    }

    /// Returns whether the members are stable and the last hand-over is long enough ago.
    fn is_hand_over_due(&self, now: time::Instant) -> bool {
        let is_settled = self
            .members_changed_at
            .is_some_and(|changed_at| now >= changed_at + self.settings.settle_after);
        let is_next_due = self
            .handed_over_at
            .is_none_or(|last| now >= last + self.settings.hand_over_every);
        is_settled && is_next_due
    }
}

fn right(worker: &worker::Worker, hold: &worker::Hold) -> StartRight {
    StartRight {
        epoch: hold.epoch,
        incarnation: hold.incarnation,
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

pub(crate) fn is_serving(members: &[event::Member], instance_id: &str) -> bool {
    let mut serving = members.iter().filter(|member| !member.draining);
    serving.any(|member| &*member.instance_id == instance_id)
}
