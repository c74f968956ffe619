//! One running instance.

use std::collections;
use std::io;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use tokio::net;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync as stop;
use tokio_util::task;

use crate::api;
use crate::control;
use crate::drive::control_handle;
use crate::drive::control_thread;
use crate::drive::effect_runner;
use crate::drive::periodic;
use crate::drive::platform;
use crate::drive::state_store;

/// One in this many bytes of the clients' budget bounds what peers have sent.
const PEER_BUDGET_DIVISOR: u64 = 4;
/// Messages of the largest size that peers may always have sent at once.
const MIN_PEER_MESSAGES: usize = 4;
/// Shortest time that a stopping instance keeps its listeners open, so that balancers notice that
/// it is not ready.
const LISTENER_LINGER: time::Duration = time::Duration::from_secs(1);
/// Interval at which a stopping instance checks whether it has drained.
const DRAIN_POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// How long the share of a departed instance stays reserved, in multiples of the longest time that
/// its runs can outlive it.
const ORPHAN_SHARE_RETENTION_FACTOR: u32 = 2;
/// Shortest time between two renewals of one worker's lease.
const RENEW_MIN_INTERVAL: time::Duration = time::Duration::from_millis(5);
/// Shortest time between two hand-overs of workers.
const HAND_OVER_MIN_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Time that the members must be unchanged before workers are handed over, in heartbeat intervals.
const MEMBERS_STABLE_HEARTBEATS: u32 = 8;
const JOURNAL_BATCH_ENTRIES: usize = 100;

/// Error of [`Instance::start`].
#[derive(Debug, thiserror::Error)]
#[error("{context}: {source}")]
pub struct Error {
    context: String,
    source: io::Error,
}

/// A running instance, created by [`Instance::start`].
pub struct Instance {
    control_handle: control_handle::ControlHandle,
    flags: sync::Arc<control_thread::StateFlags>,
    stop_periodic: stop::CancellationToken,
    stop_servers: stop::CancellationToken,
    messages: mpsc::UnboundedSender<crate::drive::message::Message>,
    tracker: task::TaskTracker,
    control_thread: thread::JoinHandle<()>,
    callers_address: std::net::SocketAddr,
    peer_address: std::net::SocketAddr,
}

impl Instance {
    /// Starts an instance on the current tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if a listener cannot be opened or the control thread cannot be started.
    pub async fn start<P: platform::Platform>(
        settings: settings::Entry,
        secret: String,
        platform: P,
        metrics: telemetry::Metrics,
    ) -> Result<Self, Error> {
        let callers = bind(settings.instance.callers_address).await?;
        let peers = bind(settings.instance.peer_address).await?;
        let callers_address = local_address(&callers)?;
        let peer_address = local_address(&peers)?;
        let control_settings = control_settings(&settings, &peer_address);
        let instance_id = control_settings.instance_id.clone();
        log::info!(
            "starting instance={instance_id} callers={callers_address} peers={peer_address}"
        );

        let (messages, receiver) = mpsc::unbounded_channel();
        let tracker = task::TaskTracker::new();
        let identity = peer::Identity::new(instance_id.clone())
            .cluster(settings.cluster.name.clone())
            .secret(secret.clone());
        let retention = settings.owner.journal_retention;
        let effects = effect_runner::EffectRunner {
            state_store: state_store::StateStore::new(platform.store().clone(), retention),
            platform: platform.clone(),
            identity: identity.clone(),
            link_settings: peer::LinkSettings {
                connect_timeout: settings.peer.silence_timeout,
                max_message_bytes: settings.peer.max_message_bytes,
            },
            links: sync::Arc::default(),
            inputs: messages.clone(),
            tracker: tracker.clone(),
            runtime: tokio::runtime::Handle::current(),
            call_timeout: settings.workers.call_timeout,
            instance_id,
        };
        let flags = sync::Arc::new(control_thread::StateFlags {
            ready: atomic::AtomicBool::new(false),
            drained: atomic::AtomicBool::new(false),
        });
        let (lists, lists_receiver) = watch::channel(sync::Arc::default());
        let now = time::Instant::now();
        let control_loop = control_thread::ControlThread {
            control: control::Control::new(control_settings, metrics.clone(), now),
            messages: receiver,
            effects: effects.clone(),
            lists,
            flags: flags.clone(),
            callers: collections::HashMap::new(),
            peers: collections::HashMap::new(),
        };
        let control_thread = thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || control_loop.run())
            .map_err(|source| start_error("failed to start the control thread", source))?;

        let control_handle = control_handle::ControlHandle::new(messages.clone());
        let stop_periodic = stop::CancellationToken::new();
        let stop_servers = stop::CancellationToken::new();
        tracker.spawn(periodic::send_ticks(
            control_handle.clone(),
            stop_periodic.clone(),
        ));
        tracker.spawn(periodic::poll_directory(
            platform.directory().clone(),
            settings.platform.directory_poll,
            control_handle.clone(),
            stop_periodic.clone(),
        ));
        let machine = serve::Machine::new(
            Some(settings.instance.memory_mb),
            Some(settings.instance.max_descriptors),
        );
        let peer_server = peer::Server::new(identity)
            .max_message_bytes(settings.peer.max_message_bytes)
            .max_received_bytes(max_received_bytes(&machine, &settings.peer))
            .max_new_connections(machine.max_side_connections());
        let gateway = api::Gateway::new(api::GatewayParts {
            control_handle: control_handle.clone(),
            lists: lists_receiver,
            flags: flags.clone(),
            metrics: metrics.clone(),
            secret,
            callers: settings.callers.clone(),
        });
        tracker.spawn(periodic::publish_gauges(
            effects.clone(),
            peer_server.clone(),
            metrics.clone(),
            stop_periodic.clone(),
        ));
        let stop = stop_servers.clone();
        let handler = api::PeerGateway::new(control_handle.clone());
        tracker.spawn(async move { peer_server.serve(peers, handler, stop).await });
        let budget_metrics = metrics.clone();
        let monitor = stall::Monitor::new(metrics.clone());
        let max_request_bytes = api::IN_FLIGHT_COPIES * settings.callers.max_body_bytes;
        let limits = serve::ServerLimits {
            max_header_bytes: settings.callers.max_header_bytes,
            max_connections: machine
                .max_caller_connections()
                .min(settings.callers.max_connections),
            budget: serve::Budget::new(&machine, max_request_bytes, budget_metrics),
            monitor: monitor.clone(),
        };
        tracker.spawn(monitor.run(stop_servers.clone()));
        let stop = stop_servers.clone();
        tracker.spawn(serve::serve(callers, gateway.router(), limits, stop));
        Ok(Self {
            control_handle,
            flags,
            stop_periodic,
            stop_servers,
            messages,
            tracker,
            control_thread,
            callers_address,
            peer_address,
        })
    }

    /// Returns the address of the listener for callers and operators.
    #[must_use]
    pub fn callers_address(&self) -> std::net::SocketAddr {
        self.callers_address
    }

    /// Returns the address of the listener for peers.
    #[must_use]
    pub fn peer_address(&self) -> std::net::SocketAddr {
        self.peer_address
    }

    /// Returns whether the instance serves callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.flags.ready.load(atomic::Ordering::Acquire)
    }

    /// Hands over partitions and workers, answers every request in flight and stops.
    pub async fn drain(self) {
        self.control_handle.send(control::Input::Drain);
        tokio::time::sleep(LISTENER_LINGER).await;
        while !self.flags.drained.load(atomic::Ordering::Acquire) {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.stop().await;
    }

    /// Stops without a hand-over, as if the process had crashed after its last answer.
    pub async fn stop(self) {
        self.stop_periodic.cancel();
        self.stop_servers.cancel();
        self.tracker.close();
        self.tracker.wait().await;
        let _ = self.messages.send(crate::drive::message::Message::Stop);
        if self.control_thread.join().is_err() {
            log::error!("control thread panicked");
        }
    }
}

/// Returns the bound of what peers have sent and what is not handled yet, in bytes: a part of what
/// clients may fill, and several messages of the largest size.
fn max_received_bytes(machine: &serve::Machine, peer: &settings::Peer) -> usize {
    let share_bytes = machine.budget_bytes() / PEER_BUDGET_DIVISOR;
    let share_bytes = usize::try_from(share_bytes).unwrap_or(usize::MAX);
    share_bytes.max(MIN_PEER_MESSAGES * peer.max_message_bytes)
}

async fn bind(address: std::net::SocketAddr) -> Result<net::TcpListener, Error> {
    net::TcpListener::bind(address)
        .await
        .map_err(|source| start_error(&format!("failed to listen on {address}"), source))
}

fn local_address(listener: &net::TcpListener) -> Result<std::net::SocketAddr, Error> {
    listener
        .local_addr()
        .map_err(|source| start_error("failed to read the address of a listener", source))
}

fn start_error(context: &str, source: io::Error) -> Error {
    Error {
        context: context.to_owned(),
        source,
    }
}

fn control_settings(
    settings: &settings::Entry,
    peer_address: &std::net::SocketAddr,
) -> control::ControlSettings {
    let boot: u32 = rand::random();
    let name = &settings.instance.name;
    let instance_id: model::InstanceId = format!("{name}#{boot:08x}").into();
    let location = model::Location {
        region: settings.instance.region.as_str().into(),
        data_centre: settings.instance.data_centre.as_str().into(),
        rack: "".into(),
    };
    let unix = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    let run_expiry = settings.lease.ttl + settings.lease.grace + settings.lease.margin;
    let policy = match settings.queue.policy {
        settings::Policy::Fair => place::Policy::Fair,
        settings::Policy::Baseline => place::Policy::Baseline,
    };
    control::ControlSettings {
        address: peer_address.to_string(),
        lease: lease::LeaseSettings {
            instance_id: instance_id.clone(),
            location: location.clone(),
            ttl: settings.lease.ttl,
            grace: settings.lease.grace,
            margin: settings.lease.margin,
            renew_every: RENEW_MIN_INTERVAL,
            members_stable_for: MEMBERS_STABLE_HEARTBEATS * settings.peer.heartbeat,
            hand_over_every: HAND_OVER_MIN_INTERVAL,
        },
        lease_wait: settings.lease.renew_every,
        owner: owner::OwnerSettings {
            instance_id: instance_id.clone(),
            started_unix_ms: unix.map_or(0, |since| since.as_millis() as u64),
            max_tasks: settings.owner.max_tasks,
            max_attempts: settings.queue.max_attempts,
            result_retention: settings.owner.result_retention,
            journal_retention: settings.owner.journal_retention,
            journal_batch_delay: settings.owner.journal_batch_delay,
            journal_batch_entries: JOURNAL_BATCH_ENTRIES,
            lease_ttl: settings.lease.ttl,
            grace: settings.lease.grace,
            margin: settings.lease.margin,
            offer_validity: settings.queue.offer_validity,
            dead_after: settings.peer.dead_after,
        },
        queue: place::QueueSettings {
            policy,
            max_queued: settings.queue.max_queued,
            max_queued_of_plan: settings.queue.max_queued_of_plan,
            ..place::QueueSettings::default()
        },
        fleet: place::FleetSettings {
            policy,
            ..place::FleetSettings::default()
        },
        orphan_share_retention: ORPHAN_SHARE_RETENTION_FACTOR * run_expiry,
        heartbeat: settings.peer.heartbeat,
        heartbeat_timeout: settings.peer.silence_timeout,
        dead_after: settings.peer.dead_after,
        max_waiting: settings.callers.max_waiting,
        instance_id,
        location,
    }
}
