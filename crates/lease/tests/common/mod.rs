//! Simulates fake workers, and instances that call them over a faulty network, in virtual time.

use std::time;

use lease::Action;
use lease::Event;

pub(crate) const TTL: time::Duration = time::Duration::from_millis(3_000);
pub(crate) const GRACE: time::Duration = time::Duration::from_millis(6_000);
pub(crate) const MARGIN: time::Duration = time::Duration::from_millis(300);
pub(crate) const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(700);
pub(crate) const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// How long after the timeout of its call a request may still arrive; less than the margin.
const MAX_REQUEST_LATENESS: time::Duration = time::Duration::from_millis(200);

/// A worker's side of the lease protocol.
#[derive(Clone, Debug)]
pub(crate) struct FakeWorker {
    pub(crate) epoch: model::Epoch,
    pub(crate) incarnation: model::Incarnation,
    pub(crate) holder: Option<model::InstanceId>,
    pub(crate) lease_ends_at: time::Instant,
    /// When it stops its runs unless the lease is renewed or claimed.
    pub(crate) runs_stop_at: time::Instant,
    pub(crate) is_alive: bool,
    pub(crate) is_leaving: bool,
}

impl FakeWorker {
    pub(crate) fn holder(&self, now: time::Instant) -> Option<&model::InstanceId> {
        self.holder.as_ref().filter(|_| now < self.lease_ends_at)
    }

    pub(crate) fn restart(&mut self, now: time::Instant) {
        self.incarnation += 1;
        self.epoch = 0;
        self.holder = None;
        self.runs_stop_at = now;
    }

    fn lease(&mut self, from: &model::InstanceId, epoch: Option<u64>, now: time::Instant) -> Reply {
        let holder = self.holder(now).cloned();
        match (epoch, holder) {
            (Some(epoch), Some(holder)) if epoch == self.epoch && holder == *from => {}
            (Some(_), _) => return Reply::Lapsed,
            (None, Some(holder)) if holder != *from => {
                return Reply::Held(holder, self.lease_ends_at - now);
            }
            (None, _) => self.epoch += 1,
        }
        self.holder = Some(from.clone());
        self.lease_ends_at = now + TTL;
        self.runs_stop_at = self.lease_ends_at + GRACE;
        Reply::Granted(
            self.epoch,
            self.incarnation,
            self.is_leaving,
            epoch.is_none(),
        )
    }

    fn release(&mut self, from: &model::InstanceId, epoch: u64, now: time::Instant) -> Reply {
        if epoch == self.epoch && self.holder(now) == Some(from) {
            self.lease_ends_at = now;
            self.runs_stop_at = now + GRACE;
        }
        Reply::Released
    }
}

#[derive(Clone, Debug)]
enum Reply {
    Granted(u64, u64, bool, bool),
    Held(model::InstanceId, time::Duration),
    Lapsed,
    Released,
}

/// An instance, with the events that arrived while it was paused and the actions it returned.
pub(crate) struct Instance {
    pub(crate) id: model::InstanceId,
    pub(crate) leases: lease::Leases,
    pub(crate) is_paused: bool,
    pub(crate) is_dead: bool,
    event_queue: Vec<Event>,
    pub(crate) actions: Vec<Action>,
}

/// A message scheduled for a point in time.
#[derive(Clone, Debug)]
enum Delivery {
    Request(usize, Action, time::Instant),
    Event(usize, Event),
}

/// Current faults of the network.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    pub(crate) lost_requests_percent: u64,
    pub(crate) lost_replies_percent: u64,
    pub(crate) delayed_percent: u64,
    pub(crate) duplicated_percent: u64,
}

pub(crate) struct Simulation {
    pub(crate) now: time::Instant,
    pub(crate) workers: Vec<(model::DirectoryEntry, FakeWorker)>,
    pub(crate) instances: Vec<Instance>,
    pub(crate) faults: Faults,
    /// Pairs of instance and worker between which no connection can be opened.
    pub(crate) broken_links: Vec<(usize, usize)>,
    pub(crate) call_count: u64,
    /// Workers reported gone while a lease of the same instance still kept their runs alive.
    pub(crate) premature_gone: Vec<model::WorkerId>,
    deliveries: Vec<(time::Instant, Delivery)>,
    random_state: u64,
}

pub(crate) fn location(region: &str, rack: &str) -> model::Location {
    model::Location {
        region: region.into(),
        data_centre: region.into(),
        rack: rack.into(),
    }
}

pub(crate) fn worker_entry(id: &str, region: &str, rack: &str) -> model::DirectoryEntry {
    model::DirectoryEntry {
        id: id.into(),
        role: model::Role::Worker,
        address: format!("{id}:1"),
        location: location(region, rack),
        state: model::EntryState::Live,
    }
}

pub(crate) fn settings(id: &str, region: &str) -> lease::LeaseSettings {
    lease::LeaseSettings {
        instance_id: id.into(),
        location: location(region, ""),
        ttl: TTL,
        grace: GRACE,
        margin: MARGIN,
        renew_every: time::Duration::from_millis(500),
        members_stable_for: time::Duration::from_millis(5_000),
        hand_over_every: time::Duration::from_millis(200),
    }
}

pub(crate) fn member(id: &str, region: &str) -> lease::Member {
    lease::Member {
        instance_id: id.into(),
        location: location(region, ""),
        draining: false,
    }
}

impl Simulation {
    pub(crate) fn new(entries: Vec<model::DirectoryEntry>, regions: &[&str], seed: u64) -> Self {
        let now = time::Instant::now() + time::Duration::from_secs(1_000);
        let worker = FakeWorker {
            epoch: 0,
            incarnation: 1,
            holder: None,
            lease_ends_at: now,
            runs_stop_at: now,
            is_alive: true,
            is_leaving: false,
        };
        let instances = regions.iter().enumerate().map(|(number, region)| {
            let id = format!("i{number}#boot");
            Instance {
                id: id.as_str().into(),
                leases: lease::Leases::new(settings(&id, region)),
                is_paused: false,
                is_dead: false,
                event_queue: Vec::new(),
                actions: Vec::new(),
            }
        });
        let mut simulation = Self {
            now,
            workers: entries
                .into_iter()
                .map(|entry| (entry, worker.clone()))
                .collect(),
            instances: instances.collect(),
            faults: Faults::default(),
            broken_links: Vec::new(),
            call_count: 0,
            premature_gone: Vec::new(),
            deliveries: Vec::new(),
            random_state: seed,
        };
        let directory: Vec<_> = simulation
            .workers
            .iter()
            .map(|(entry, _)| entry.clone())
            .collect();
        let members: Vec<_> = regions
            .iter()
            .enumerate()
            .map(|(number, region)| member(&format!("i{number}#boot"), region))
            .collect();
        for instance in 0..simulation.instances.len() {
            simulation.handle_event(instance, Event::Members(members.clone()));
            simulation.handle_event(instance, Event::Workers(directory.clone()));
        }
        simulation
    }

    /// Passes an event to an instance, or queues it while the instance is paused.
    pub(crate) fn handle_event(&mut self, number: usize, event: Event) {
        let now = self.now;
        let instance = &mut self.instances[number];
        if instance.is_dead {
            return;
        }
        if instance.is_paused {
            instance.event_queue.push(event);
            return;
        }
        let actions = instance.leases.handle_event(event, now);
        instance.actions.extend(actions.iter().cloned());
        for action in actions {
            self.check_gone(number, &action);
            self.send(number, action);
        }
    }

    pub(crate) fn resume(&mut self, number: usize) {
        self.instances[number].is_paused = false;
        for event in std::mem::take(&mut self.instances[number].event_queue) {
            self.handle_event(number, event);
        }
    }

    /// Advances the virtual time by `duration` and runs `check` after each step.
    pub(crate) fn run(&mut self, duration: time::Duration, mut check: impl FnMut(&Self)) {
        let end = self.now + duration;
        let mut next_tick = self.now + TICK_INTERVAL;
        while self.now < end {
            let first = self.deliveries.iter().map(|(at, _)| *at).min();
            self.now = first.unwrap_or(end).min(next_tick).min(end).max(self.now);
            self.deliver_due();
            if self.now >= next_tick {
                next_tick += TICK_INTERVAL;
                for number in 0..self.instances.len() {
                    if !self.instances[number].is_paused {
                        self.handle_event(number, Event::Tick);
                    }
                }
            }
            check(self);
        }
    }

    pub(crate) fn chance(&mut self, percent: u64) -> bool {
        self.random_below(100) < percent
    }

    pub(crate) fn random_below(&mut self, limit: u64) -> u64 {
        self.random_state = self
            .random_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random_state >> 33) % limit
    }

    fn check_gone(&mut self, number: usize, action: &Action) {
        let Action::Gone { worker_id } = action else {
            return;
        };
        let worker = &self.workers[self.worker_number(worker_id)].1;
        let is_own = worker.holder.as_ref() == Some(&self.instances[number].id);
        if is_own && self.now < worker.runs_stop_at {
            self.premature_gone.push(worker_id.clone());
        }
    }

    fn worker_number(&self, worker_id: &str) -> usize {
        let mut workers = self.workers.iter();
        workers
            .position(|(entry, _)| &*entry.id == worker_id)
            .expect("known worker")
    }

    fn deliver_due(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.deliveries)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _)| *at <= now);
        self.deliveries = later;
        for (_, delivery) in due {
            match delivery {
                Delivery::Request(number, action, sent_at) => self.serve(number, &action, sent_at),
                Delivery::Event(number, event) => self.handle_event(number, event),
            }
        }
    }

    fn send(&mut self, number: usize, action: Action) {
        let (Action::Claim { worker_id, .. }
        | Action::Renew { worker_id, .. }
        | Action::Release { worker_id, .. }) = &action
        else {
            return;
        };
        self.call_count += 1;
        let worker_id = worker_id.clone();
        let worker = self.worker_number(&worker_id);
        if self.broken_links.contains(&(number, worker)) || !self.workers[worker].1.is_alive {
            let event = Event::Unsent { worker_id };
            self.schedule_delivery(1, Delivery::Event(number, event));
            return;
        }
        let sent_at = self.now;
        if !self.chance(self.faults.lost_requests_percent) {
            let delayed_percent = self.faults.delayed_percent;
            let latest_ms = (CALL_TIMEOUT + MAX_REQUEST_LATENESS).as_millis() as u64;
            let delay_ms = if self.chance(delayed_percent) {
                1 + self.random_below(latest_ms)
            } else {
                1
            };
            self.schedule_delivery(delay_ms, Delivery::Request(number, action, sent_at));
        }
        let failed = Event::Failed { worker_id, sent_at };
        let timeout_ms = CALL_TIMEOUT.as_millis() as u64;
        self.schedule_delivery(timeout_ms, Delivery::Event(number, failed));
    }

    fn schedule_delivery(&mut self, delay_ms: u64, delivery: Delivery) {
        let at = self.now + time::Duration::from_millis(delay_ms);
        self.deliveries.push((at, delivery));
    }

    fn serve(&mut self, number: usize, action: &Action, sent_at: time::Instant) {
        let from = self.instances[number].id.clone();
        let now = self.now;
        let (worker_id, reply) = match action {
            Action::Claim { worker_id, .. } => {
                let worker = self.worker_number(worker_id);
                (worker_id, self.workers[worker].1.lease(&from, None, now))
            }
            Action::Renew {
                worker_id, epoch, ..
            } => {
                let worker = self.worker_number(worker_id);
                (
                    worker_id,
                    self.workers[worker].1.lease(&from, Some(*epoch), now),
                )
            }
            Action::Release {
                worker_id, epoch, ..
            } => {
                let worker = self.worker_number(worker_id);
                (
                    worker_id,
                    self.workers[worker].1.release(&from, *epoch, now),
                )
            }
            other => panic!("not a call: {other:?}"),
        };
        if self.chance(self.faults.lost_replies_percent) {
            return;
        }
        let event = event_of(worker_id.clone(), reply, sent_at);
        // Late and duplicated replies arrive in addition to the failure event.
        let latest_ms = CALL_TIMEOUT.as_millis() as u64 * 2;
        let delayed_percent = self.faults.delayed_percent;
        let delay_ms = if self.chance(delayed_percent) {
            1 + self.random_below(latest_ms)
        } else {
            1
        };
        self.schedule_delivery(delay_ms, Delivery::Event(number, event.clone()));
        if self.chance(self.faults.duplicated_percent) {
            let delay_ms = 1 + self.random_below(latest_ms);
            self.schedule_delivery(delay_ms, Delivery::Event(number, event));
        }
    }
}

fn event_of(worker_id: model::WorkerId, reply: Reply, sent_at: time::Instant) -> Event {
    match reply {
        Reply::Granted(epoch, incarnation, leaving, claim) => Event::Granted(lease::Grant {
            worker_id,
            sent_at,
            claim,
            epoch,
            incarnation,
            capacity: model::WorkerCapacity::default(),
            leaving,
            running: Vec::new(),
        }),
        Reply::Held(holder, remaining) => Event::Held {
            worker_id,
            holder,
            remaining,
        },
        Reply::Lapsed => Event::Lapsed { worker_id },
        Reply::Released => Event::Released { worker_id },
    }
}
