//! The control state and the dispatch of its inputs.

use std::time;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::control::callers;
use crate::control::effect;
use crate::control::held_workers;
use crate::control::input;
use crate::control::members;
use crate::control::reports;
use crate::control::runs;
use crate::control::settings;
use crate::control::shares;

/// Makes every decision of one instance, without I/O.
#[derive(Debug)]
pub struct Control {
    pub(super) settings: settings::ControlSettings,
    pub(super) metrics: telemetry::Metrics,
    pub(super) started_at: time::Instant,
    pub(super) draining: bool,
    pub(super) effects: Vec<effect::Effect>,
    pub(super) lists: lists::ListsInForce,
    pub(super) lists_poll_timer: members::PollTimer,
    pub(super) members: members::Members,
    pub(super) owner: owner::Owner,
    pub(super) fences: owner::Fences,
    pub(super) leases: lease::Leases,
    pub(super) fleet: place::Fleet,
    pub(super) queue: place::Queue,
    pub(super) shares: shares::Shares,
    pub(super) callers: callers::Callers,
    pub(super) runs: runs::Runs,
    pub(super) workers: IndexMap<model::WorkerId, held_workers::HeldWorker>,
    pub(super) listed_leaving: IndexSet<model::WorkerId>,
    pub(super) outbox: reports::Outbox,
}

impl Control {
    /// Creates the state of an instance that has just started.
    ///
    /// `now` is the same moment as `settings.owner.started_unix_ms`.
    #[must_use]
    pub fn new(
        settings: settings::ControlSettings,
        metrics: telemetry::Metrics,
        now: time::Instant,
    ) -> Self {
        Self {
            metrics,
            started_at: now,
            draining: false,
            effects: Vec::new(),
            lists: lists::ListsInForce::new(),
            lists_poll_timer: members::PollTimer::new(now),
            members: members::Members::new(&settings, now),
            owner: owner::Owner::new(settings.owner.clone(), now),
            fences: owner::Fences::new(),
            leases: lease::Leases::new(settings.lease.clone()),
            fleet: place::Fleet::new(settings.fleet.clone()),
            queue: place::Queue::new(settings.queue.clone()),
            shares: shares::Shares::new(&settings, now),
            callers: callers::Callers::default(),
            runs: runs::Runs::default(),
            workers: IndexMap::new(),
            listed_leaving: IndexSet::new(),
            outbox: reports::Outbox::default(),
            settings,
        }
    }

    /// Handles one input.
    ///
    /// Call [`Control::finish_batch`] after the last input of a batch.
    pub fn handle_input(&mut self, input: input::Input, now: time::Instant) {
        match input {
            input::Input::Submit(submit) => self.submit(submit, now),
            input::Input::Lookup {
                request_id,
                customer_id,
                task_id,
                wait,
            } => self.lookup(request_id, customer_id, task_id, now + wait, now),
            input::Input::Cancel {
                request_id,
                customer_id,
                task_id,
            } => self.cancel(request_id, customer_id, task_id, now),
            input::Input::Abandon { request_id } => self.abandon(request_id, now),
            input::Input::Peer {
                request_id,
                from,
                request,
            } => self.on_peer_request(request_id, from, request, now),
            input::Input::Called {
                address,
                context,
                result,
            } => self.on_call_ended(&address, context, result, now),
            input::Input::Leased(leased) => self.on_lease_ended(leased, now),
            input::Input::Released {
                worker_id,
                sent_at,
                answered,
            } => self.on_release_ended(worker_id, sent_at, answered, now),
            input::Input::Started {
                worker_id,
                epoch,
                runs,
                result,
            } => self.on_start_ended(&worker_id, epoch, &runs, result, now),
            input::Input::Stopped {
                worker_id,
                run,
                result,
            } => self.on_stop_ended(&worker_id, run, result, now),
            input::Input::Machines(entries) => self.on_machines(entries, now),
            input::Input::Lists(state) => self.on_lists(state, now),
            input::Input::ListsUnavailable => self.metrics.count("lists.unavailable"),
            input::Input::Owner(event) => self.owner_event(event, now),
            input::Input::Drain => self.drain(now),
            input::Input::Tick => self.tick(now),
        }
    }

    /// Completes a batch of inputs and returns the effects to carry out.
    pub fn finish_batch(&mut self, now: time::Instant) -> Vec<effect::Effect> {
        self.flush_withdrawn(now);
        self.dispatch(now);
        self.flush_reports(now);
        self.flush_starts(now);
        std::mem::take(&mut self.effects)
    }

    /// Returns whether a draining instance can stop.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        if !self.draining || !self.callers.is_empty() {
            return false;
        }
        let is_idle = self.owner.is_drained() && self.outbox.is_empty();
        (is_idle || self.can_stop_without_successor()) && self.leases.held().next().is_none()
    }

    /// Returns whether a draining instance has no unanswered request and no successor.
    ///
    /// It can then stop without a hand-over, because the store and the workers keep its state.
    fn can_stop_without_successor(&self) -> bool {
        self.draining
            && self.callers.is_empty()
            && !self.members.has_successor()
            && !self.owner.has_waiting_callers()
    }

    /// Returns whether the instance can serve callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.draining
            && !self.lists.lists().customers().is_empty()
            && self.owner.table_revision() > 0
    }

    pub(super) fn push_effect(&mut self, effect: effect::Effect) {
        self.effects.push(effect);
    }

    pub(super) fn clock_ms(&self, now: time::Instant) -> u64 {
        now.duration_since(self.started_at).as_millis() as u64
    }

    pub(super) fn own_id(&self) -> &model::InstanceId {
        &self.settings.instance_id
    }

    pub(super) fn is_self(&self, instance_id: &str) -> bool {
        *self.settings.instance_id == *instance_id
    }

    fn drain(&mut self, now: time::Instant) {
        if self.draining {
            return;
        }
        self.draining = true;
        log::info!("draining instance={}", self.settings.instance_id);
        self.update_members(now);
        self.owner_event(owner::Event::Drain, now);
        self.lease_event(lease::Event::Drain, now);
    }

    fn tick(&mut self, now: time::Instant) {
        self.update_members(now);
        self.owner_event(owner::Event::Tick, now);
        self.lease_event(lease::Event::Tick, now);
        if self.can_stop_without_successor() {
            self.lease_event(lease::Event::ReleaseAll, now);
        }
        self.retry_delayed_requests(now);
        self.retry_starts(now);
        self.report_dropped_runs(now);
        self.tick_fleet(now);
        self.expire_queue(now);
        self.send_quota_requests(now);
        self.poll_lists(now);
    }

    fn poll_lists(&mut self, now: time::Instant) {
        let instances = self.members.live_count();
        if self.lists_poll_timer.is_due(instances, now) {
            self.push_effect(effect::Effect::ReadLists);
        }
    }

    pub(super) fn publish_lists(&mut self) {
        let lists = self.lists.lists();
        self.push_effect(effect::Effect::PublishLists(lists));
    }
}
