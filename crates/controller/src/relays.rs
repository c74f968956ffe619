//! The leader's side of relays: which instances relay, and the orders sent through them.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use indexmap::IndexMap;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::authority_clock;
use crate::control_thread;
use crate::instance;
use crate::lease_authority;
use crate::orders;
use crate::platform;

/// Time that an order and its result may spend between the leader and the relay.
const TRANSFER_LIMIT: time::Duration = time::Duration::from_millis(300);
/// Time without a message after which a relay gets no more orders, and its orders count as lost.
const SILENCE_LIMIT: time::Duration = time::Duration::from_millis(900);
/// Time within which a relay must say hello on its channel.
const HELLO_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Lateness of a check from which it ends no orders: their results may have arrived and wait to be
/// read.
const MAX_CHECK_LATENESS: time::Duration = time::Duration::from_millis(100);
/// Most orders in one message.
const MAX_BATCH_ORDERS: usize = 256;

/// The relays of a term.
#[derive(Debug)]
pub(crate) struct Relays {
    term: model::Term,
    own_id: model::InstanceId,
    control: control_thread::Handle,
    evidence: lease_authority::Evidence,
    /// Cancelled when the term ends.
    term_ended: CancellationToken,
    is_draining: sync::Arc<atomic::AtomicBool>,
    store_rejects_batches: sync::Arc<atomic::AtomicBool>,
    /// Clock by which this instance begins the orders that it executes itself.
    pub(crate) own_clock: relay::OrderClock,
    /// Clock of the questions whether the term still holds, by the authority clock.
    question_clock: relay::OrderClock,
    state: sync::Mutex<State>,
}

#[derive(Debug)]
struct State {
    assignments: relay::Assignments,
    in_flight: relay::InFlight,
    /// Relays with an open channel.
    channels: IndexMap<model::InstanceId, RelayChannel>,
    last_channel: u64,
    /// Instances that have said hello for this term or a later one, until they are taken.
    joined: Vec<model::InstanceId>,
    /// When the orders in flight were last checked.
    checked_at: time::Instant,
}

#[derive(Debug)]
struct RelayChannel {
    /// Distinguishes the channels that a relay opens one after the other.
    number: u64,
    info: relay::RelayInfo,
    /// Orders to send; `None` asks whether the term still holds.
    outbox: mpsc::UnboundedSender<Option<relay::Order>>,
    /// Latest reading of its clock.
    relay_time: relay::RelayTime,
    /// When its last message was received, on this channel or as a heartbeat.
    heard_at: time::Instant,
    /// Whether the instance is stopping: it gets no more orders and still reports results.
    is_draining: bool,
}

impl Relays {
    /// Creates the relays of a term; there are none until instances open channels.
    pub(crate) fn new<P: platform::Platform>(
        shared: &instance::Shared<P>,
        term: model::Term,
        control: control_thread::Handle,
        evidence: lease_authority::Evidence,
        term_ended: CancellationToken,
    ) -> Self {
        let own = relay::RelayInfo {
            data_centre: sync::Arc::clone(&shared.settings.data_centre),
            strength_milli: shared.settings.strength_milli,
        };
        Self {
            term,
            own_id: sync::Arc::clone(&shared.member.instance_id),
            control,
            evidence,
            term_ended,
            is_draining: sync::Arc::clone(&shared.is_draining),
            store_rejects_batches: sync::Arc::clone(&shared.store_rejects_batches),
            own_clock: relay::OrderClock::new(time::Instant::now()),
            question_clock: relay::OrderClock::new(authority_clock::now()),
            state: sync::Mutex::new(State {
                assignments: relay::Assignments::new(own, shared.settings.regions.clone()),
                in_flight: relay::InFlight::default(),
                channels: IndexMap::new(),
                last_channel: 0,
                joined: Vec::new(),
                checked_at: time::Instant::now(),
            }),
        }
    }

    /// Records the data centres of the workers that the directory lists.
    pub(crate) fn set_workers(&self, reports: &[jobs::WorkerReport]) {
        let mut state = instance::lock(&self.state);
        for report in reports {
            let worker_id = &report.incarnation.worker_id;
            state
                .assignments
                .set_data_centre(worker_id, &report.data_centre);
        }
        let listed: collections::HashSet<_> = reports
            .iter()
            .map(|report| &report.incarnation.worker_id)
            .collect();
        state
            .assignments
            .retain_workers(|worker_id| listed.contains(worker_id));
    }

    /// Records a heartbeat of an instance, which may be a relay.
    pub(crate) fn record_heartbeat(&self, heartbeat: &model::ControllerHeartbeat) {
        let mut state = instance::lock(&self.state);
        if let Some(channel) = state.channels.get_mut(&heartbeat.instance_id) {
            channel.heard_at = time::Instant::now();
            channel.is_draining = heartbeat.draining;
        }
    }

    /// Sends an order that was decided at `decided_at` through the relay that it is for; returns the
    /// action if this instance is to execute it.
    pub(crate) fn send(
        &self,
        action: jobs::Action,
        timeout: time::Duration,
        decided_at: time::Instant,
    ) -> Option<jobs::Action> {
        let mut state = instance::lock(&self.state);
        let relay_id = match &action {
            jobs::Action::Advise(call) if call.instance_id == self.own_id => return Some(action),
            jobs::Action::Advise(call) => sync::Arc::clone(&call.instance_id),
            action => match state.assignments.route(worker_of(action)?) {
                relay::Route::Direct => return Some(action.clone()),
                relay::Route::Through(relay_id) => relay_id,
            },
        };
        let now = time::Instant::now();
        let age = now.saturating_duration_since(decided_at);
        let limit = orders::time_limit(&action, timeout) + TRANSFER_LIMIT;
        let channel = state.channels.get(&relay_id);
        let relay_time = channel.map_or_else(Default::default, |channel| channel.relay_time);
        let limits = relay::OrderLimits {
            timeout,
            begin_by: relay_time.begin_by(limit.min(SILENCE_LIMIT), age),
            expires_at: now + limit,
        };
        let order = state.in_flight.begin(&relay_id, action, limits)?;
        let channel = state.channels.get(&relay_id);
        let is_sent = channel.is_some_and(|channel| channel.outbox.send(Some(order)).is_ok());
        let lost = if is_sent {
            Vec::new()
        } else {
            state.in_flight.lose_relay(&relay_id)
        };
        drop(state);
        self.send_events(lost);
        None
    }

    /// Returns the order, decided at `decided_at`, to execute at this instance.
    pub(crate) fn begin_own(
        &self,
        action: jobs::Action,
        timeout: time::Duration,
        decided_at: time::Instant,
    ) -> Option<relay::Order> {
        let limit = orders::time_limit(&action, timeout) + TRANSFER_LIMIT;
        let limits = relay::OrderLimits {
            timeout,
            begin_by: self.own_clock.reading(decided_at) + limit.min(SILENCE_LIMIT),
            expires_at: time::Instant::now() + limit,
        };
        let mut state = instance::lock(&self.state);
        state.in_flight.begin(&self.own_id, action, limits)
    }

    /// Ends an order that was executed at this instance.
    pub(crate) fn complete_own(&self, id: relay::OrderId, response: relay::Response) {
        let report = relay::Report { id, response };
        let event = instance::lock(&self.state)
            .in_flight
            .complete(&self.own_id, report);
        self.send_events(event.into_iter().collect());
    }

    /// Asks every relay with an open channel whether the term still holds.
    pub(crate) fn ask(&self) {
        for channel in instance::lock(&self.state).channels.values() {
            // A closed channel is removed by the task that serves it.
            let _ = channel.outbox.send(None);
        }
    }

    /// Returns the instances with an open channel that are not stopping.
    pub(crate) fn voters(&self) -> collections::HashSet<model::InstanceId> {
        let state = instance::lock(&self.state);
        let channels = state.channels.iter();
        let live = channels.filter(|(_, channel)| !channel.is_draining);
        live.map(|(relay_id, _)| sync::Arc::clone(relay_id))
            .collect()
    }

    /// Returns the instances that have said hello for this term or a later one since the last call.
    pub(crate) fn take_joined(&self) -> Vec<model::InstanceId> {
        std::mem::take(&mut instance::lock(&self.state).joined)
    }

    /// Returns the number of relays with an open channel.
    pub(crate) fn channel_count(&self) -> usize {
        instance::lock(&self.state).channels.len()
    }

    /// Updates which relays are used, and ends orders without a result in time; to be called at a
    /// fixed interval. Returns the instances through which the recommendation service is called.
    pub(crate) fn check(&self, interval: time::Duration) -> Vec<model::InstanceId> {
        let now = time::Instant::now();
        let mut state = instance::lock(&self.state);
        let since = now.saturating_duration_since(state.checked_at);
        let is_late = since > interval + MAX_CHECK_LATENESS;
        state.checked_at = now;
        let mut events = Vec::new();
        if !is_late {
            events = state.expire(self.term, now);
            events.extend(state.lose_silent(self.term, now));
        }
        let usable = state.update_relays(self.term, is_late, now);
        drop(state);
        self.send_events(events);
        usable
            .into_iter()
            .chain([sync::Arc::clone(&self.own_id)])
            .collect()
    }

    /// Serves the channel of an instance that offers to relay, until it ends or the term does.
    pub(crate) async fn serve(&self, from: model::InstanceId, channel: peer::Channel) {
        let peer::Channel {
            mut sender,
            mut receiver,
        } = channel;
        let hello = tokio::time::timeout(HELLO_TIMEOUT, receiver.receive::<relay::Hello>()).await;
        let Ok(Ok(Some(hello))) = hello else {
            log::warn!(relay:% = from; "relay has not said hello");
            return;
        };
        if hello.term >= self.term {
            let joined = sync::Arc::clone(&from);
            instance::lock(&self.state).joined.push(joined);
        }
        if hello.term != self.term {
            log::info!(relay:% = from, term = self.term, relay_term = hello.term; "relay of another term refused");
            return;
        }
        if hello.layout != relay::LAYOUT {
            log::warn!(relay:% = from, layout = relay::LAYOUT, relay_layout = hello.layout; "relay of another build refused");
            return;
        }
        let (number, mut outbox) = self.open(&from, hello);
        let send = async {
            let mut orders = Vec::new();
            while outbox.recv_many(&mut orders, MAX_BATCH_ORDERS).await > 0 {
                let asked_at = self.question_clock.reading(authority_clock::now());
                let orders = orders.drain(..).flatten();
                let batch = relay::OrderBatch::new(self.leader_state(), asked_at, orders);
                if let Err(cause) = sender.send(&batch).await {
                    return cause.to_string();
                }
            }
            "its orders were lost".to_owned()
        };
        let receive = async {
            loop {
                match receiver.receive::<relay::ReportBatch>().await {
                    Ok(Some(batch)) => self.complete(&from, number, batch),
                    Ok(None) => return "closed by the relay".to_owned(),
                    Err(cause) => return cause.to_string(),
                }
            }
        };
        let why = tokio::select! {
            why = send => why,
            why = receive => why,
            () = self.term_ended.cancelled() => "the term has ended".to_owned(),
        };
        self.close(&from, number, &why);
    }

    fn leader_state(&self) -> relay::LeaderState {
        relay::LeaderState {
            has_lost_store: self.store_rejects_batches.load(atomic::Ordering::Relaxed),
            is_draining: self.is_draining.load(atomic::Ordering::Relaxed),
        }
    }

    fn open(
        &self,
        from: &model::InstanceId,
        hello: relay::Hello,
    ) -> (u64, mpsc::UnboundedReceiver<Option<relay::Order>>) {
        let (outbox, receiver) = mpsc::unbounded_channel();
        let mut state = instance::lock(&self.state);
        state.last_channel += 1;
        let number = state.last_channel;
        log::info!(
            relay:% = from,
            term = self.term,
            data_centre:% = hello.data_centre,
            strength_milli = hello.strength_milli;
            "relay joined"
        );
        let channel = RelayChannel {
            number,
            info: relay::RelayInfo {
                data_centre: hello.data_centre,
                strength_milli: hello.strength_milli,
            },
            outbox,
            relay_time: relay::RelayTime::default(),
            heard_at: time::Instant::now(),
            is_draining: false,
        };
        state.channels.insert(sync::Arc::clone(from), channel);
        // Orders on an earlier channel are lost with it.
        let lost = state.in_flight.lose_relay(from);
        drop(state);
        self.send_events(lost);
        (number, receiver)
    }

    fn close(&self, from: &model::InstanceId, number: u64, why: &str) {
        let mut state = instance::lock(&self.state);
        let is_current = state
            .channels
            .get(from)
            .is_some_and(|channel| channel.number == number);
        if !is_current {
            return;
        }
        state.channels.swap_remove(from);
        state.update_relays(self.term, false, time::Instant::now());
        let lost = state.in_flight.lose_relay(from);
        drop(state);
        log::info!(relay:% = from, term = self.term, why, orders_lost = lost.len(); "relay left");
        self.send_events(lost);
    }

    /// Handles the results in a message that a relay has sent on the channel with this number.
    fn complete(&self, from: &model::InstanceId, number: u64, batch: relay::ReportBatch) {
        let now = authority_clock::now();
        let confirmed = batch.confirmed;
        if let Some(asked_at) = confirmed.and_then(|at| self.question_clock.time_of(at, now)) {
            self.evidence.record_peer(from, asked_at);
        }
        let mut state = instance::lock(&self.state);
        if let Some(channel) = state.channels.get_mut(from)
            && channel.number == number
        {
            channel.heard_at = time::Instant::now();
            // Readings on an earlier channel are of another clock.
            channel.relay_time.record(batch.sent_at);
        }
        let reports = batch.reports.into_iter();
        let events: Vec<_> = reports
            .filter_map(|report| state.in_flight.complete(from, report))
            .collect();
        drop(state);
        self.send_events(events);
    }

    fn send_events(&self, events: Vec<jobs::Event>) {
        for event in events {
            self.control.send_event(event);
        }
    }
}

impl RelayChannel {
    fn is_silent(&self, now: time::Instant) -> bool {
        now.saturating_duration_since(self.heard_at) >= SILENCE_LIMIT
    }
}

impl State {
    /// Ends the orders whose time has passed.
    fn expire(&mut self, term: model::Term, now: time::Instant) -> Vec<jobs::Event> {
        let events = self.in_flight.expire(now);
        if !events.is_empty() {
            log::info!(term, orders = events.len(); "no result of orders through relays in time");
        }
        events
    }

    /// Ends the orders that were sent to relays that have fallen silent.
    fn lose_silent(&mut self, term: model::Term, now: time::Instant) -> Vec<jobs::Event> {
        let silent = self.channels.iter().filter(|(_, one)| one.is_silent(now));
        let silent: Vec<_> = silent.map(|(relay_id, _)| relay_id.clone()).collect();
        let mut events = Vec::new();
        for relay_id in silent {
            let lost = self.in_flight.lose_relay(&relay_id);
            if !lost.is_empty() {
                log::info!(
                    relay:% = relay_id,
                    term,
                    orders_lost = lost.len(),
                    silence_limit_ms = SILENCE_LIMIT.as_millis() as u64;
                    "relay is silent"
                );
            }
            events.extend(lost);
        }
        events
    }

    /// Updates which relays get orders, and returns the live ones.
    ///
    /// A silent relay is not excluded if this check `is_late`: its messages may wait to be read.
    fn update_relays(
        &mut self,
        term: model::Term,
        is_late: bool,
        now: time::Instant,
    ) -> Vec<model::InstanceId> {
        let live = self
            .channels
            .iter()
            .filter(|(_, channel)| !channel.is_draining && (is_late || !channel.is_silent(now)));
        let relays: IndexMap<_, _> = live
            .map(|(relay_id, channel)| (sync::Arc::clone(relay_id), channel.info.clone()))
            .collect();
        let live = relays.keys().cloned().collect();
        let count = relays.len();
        if self.assignments.set_relays(relays) {
            log::info!(term, relays = count, channels = self.channels.len(); "relays changed");
        }
        live
    }
}

/// Returns the worker that an order is for.
fn worker_of(action: &jobs::Action) -> Option<&model::WorkerId> {
    let incarnation = match action {
        jobs::Action::Start(order) => &order.incarnation,
        jobs::Action::Stop(order) => &order.incarnation,
        jobs::Action::Throttle(order) => &order.incarnation,
        jobs::Action::Renew(order) => &order.incarnation,
        jobs::Action::Reply(..)
        | jobs::Action::Commit(_)
        | jobs::Action::Advise(_)
        | jobs::Action::StepDown => return None,
    };
    Some(&incarnation.worker_id)
}
