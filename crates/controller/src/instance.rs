//! One instance of the scheduler, from start to stop.

use std::sync;
use std::sync::atomic;
use std::time;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task;

use crate::call_lanes;
use crate::cluster_entries;
use crate::confirmation;
use crate::control_thread;
use crate::election;
use crate::error;
use crate::gateway;
use crate::heartbeat;
use crate::links;
use crate::peer_gauges;
use crate::pending_counts;
use crate::platform;
use crate::registration;
use crate::relay_worker;
use crate::relays;
use crate::settings;
use crate::watches;

/// Pause between attempts to read the secret at startup.
const START_RETRY_PAUSE: time::Duration = time::Duration::from_millis(200);
/// Length of the secret with which instances authenticate each other, in bytes.
const SECRET_BYTES: usize = 32;

/// Most requests of an instance at the leader at once; more wait here. Some ten are there when the
/// store is at its slowest, so that this many mean that the leader does not answer.
const MAX_FORWARDED_REQUESTS: usize = 64;

/// State shared by the tasks of an instance.
pub(crate) struct Shared<P: platform::Platform> {
    pub(crate) platform: P,
    pub(crate) settings: settings::Settings,
    pub(crate) member: elect::Member,
    pub(crate) metrics: telemetry::Metrics,
    pub(crate) links: links::Links,
    pub(crate) call_lanes: call_lanes::CallLanes,
    /// When this process started, by which its clock is read; see [`stall::PeerClock`].
    pub(crate) started_at: stall::Uptime,
    /// Clock of the instance that leads. Locked while it is asked for.
    pub(crate) leader_clock: tokio::sync::Mutex<Option<(model::InstanceId, stall::PeerClock)>>,
    /// Permits for requests at another instance that leads.
    pub(crate) forward_slots: tokio::sync::Semaphore,
    pub(crate) retry_budget: sync::Mutex<admit::RetryBudget>,
    pub(crate) pending_counts: pending_counts::PendingCounts,
    /// Live instances and the leader, as last reported by the store or a peer.
    pub(crate) cluster: watch::Sender<elect::ClusterView>,
    /// The newest manifest.
    pub(crate) manifest: watch::Sender<Option<watches::ActiveManifest>>,
    /// How current the manifest is.
    pub(crate) confirmation: confirmation::Confirmation,
    /// Current term while this instance leads.
    pub(crate) leading: watch::Sender<Option<Leading>>,
    /// Send time of the last call by which the store confirmed this instance's lease.
    pub(crate) lease_confirmed_at: sync::Mutex<Option<time::Instant>>,
    pub(crate) leader_health: sync::Mutex<elect::LeaderHealth>,
    /// Wakes the heartbeat after the relay channel to the leader has been lost.
    pub(crate) leader_lost: tokio::sync::Notify,
    /// Latest term that this instance has acknowledged, by its own claim or as a relay; it never falls.
    /// The instance confirms no earlier term to that term's leader.
    acknowledged_term: atomic::AtomicI64,
    /// Id of the store lease that keeps this instance's entries; 0 if there is none.
    pub(crate) store_lease_id: atomic::AtomicI64,
    /// Smoothed time until the store replies to a call of the registration.
    pub(crate) store_latency: sync::Mutex<time::Duration>,
    /// Wakes the registration after another task has found that the lease has ended.
    pub(crate) lease_ended: tokio::sync::Notify,
    /// Wakes tasks that wait for the store on a connection that may be dead.
    pub(crate) store_regained: sync::Arc<tokio::sync::Notify>,
    /// Since when the store has replied to this instance; `None` if it does not.
    pub(crate) store_reachable_since: sync::Mutex<Option<time::Instant>>,
    /// When the store was last reachable again after this instance had lost it.
    pub(crate) store_regained_at: sync::Mutex<Option<time::Instant>>,
    /// Whether the store does not accept the batches of this instance as leader.
    pub(crate) store_rejects_batches: sync::Arc<atomic::AtomicBool>,
    pub(crate) is_draining: sync::Arc<atomic::AtomicBool>,
    pub(crate) stop: CancellationToken,
}

/// The term in which this instance leads.
#[derive(Clone, Debug)]
pub(crate) struct Leading {
    pub(crate) term: model::Term,
    pub(crate) control: control_thread::Handle,
    pub(crate) relays: sync::Arc<relays::Relays>,
}

impl<P: platform::Platform> Shared<P> {
    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(atomic::Ordering::Relaxed)
    }

    /// Acknowledges a term; returns whether it is not earlier than the latest acknowledged one.
    pub(crate) fn acknowledge(&self, term: model::Term) -> bool {
        self.acknowledged_term
            .fetch_max(term, atomic::Ordering::SeqCst)
            <= term
    }

    /// Returns whether no later term was acknowledged.
    pub(crate) fn confirms(&self, term: model::Term) -> bool {
        self.acknowledged_term.load(atomic::Ordering::SeqCst) <= term
    }

    pub(crate) fn is_store_reachable(&self) -> bool {
        lock(&self.store_reachable_since).is_some()
    }

    /// Returns when the store was last reachable again, which may be only now; `None` if this
    /// instance has never lost it.
    pub(crate) fn store_regained_at(&self) -> Option<time::Instant> {
        match self.is_store_reachable() {
            true => *lock(&self.store_regained_at),
            false => Some(time::Instant::now()),
        }
    }

    /// Returns whether the last confirmation of this instance's lease is younger than its TTL.
    pub(crate) fn has_confirmed_lease(&self) -> bool {
        let lease_confirmed_at = *lock(&self.lease_confirmed_at);
        lease_confirmed_at.is_some_and(|at| at.elapsed() < self.settings.store_lease_ttl)
    }

    /// Returns whether the manifest in force has tenants.
    pub(crate) fn has_tenants(&self) -> bool {
        let manifest = self.manifest.borrow();
        manifest
            .as_ref()
            .is_some_and(|active| active.manifest.tenants.is_some())
    }

    pub(crate) fn manifest_version(&self) -> model::ManifestVersion {
        let manifest = self.manifest.borrow();
        manifest
            .as_ref()
            .map_or(0, |active| active.manifest.version)
    }
}

/// Locks a mutex and ignores poisoning; its state stays valid if another holder panics.
pub(crate) fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// A running instance.
pub struct Instance<P: platform::Platform> {
    shared: sync::Arc<Shared<P>>,
    tasks: task::TaskTracker,
    peer_server: tokio::task::JoinHandle<()>,
    peer_server_stop: CancellationToken,
}

impl<P: platform::Platform> Instance<P> {
    /// Starts an instance; returns once it has read the cluster's secret from the store.
    ///
    /// # Errors
    ///
    /// Fails if the peer address cannot be bound.
    pub async fn start(
        settings: settings::Settings,
        platform: P,
        metrics: telemetry::Metrics,
    ) -> Result<Self, error::Error> {
        let boot: u32 = rand::random();
        let instance_id: model::InstanceId = format!("{}#{boot:08x}", settings.name).into();
        log::info!(
            instance:% = instance_id,
            peer_address:% = settings.peer_address;
            "instance starting"
        );
        let listener = tokio::net::TcpListener::bind(settings.peer_address)
            .await
            .map_err(|cause| error::Error::new(error::ErrorKind::Listen, cause))?;
        let secret = load_secret(platform.store()).await;
        let identity = peer::Identity::new(sync::Arc::clone(&instance_id))
            .cluster(settings.cluster.clone())
            .secret(secret);
        let member = elect::Member {
            instance_id,
            address: settings.peer_address.to_string().into(),
            strength_milli: settings.strength_milli,
        };
        let shared = sync::Arc::new(Shared {
            platform,
            member,
            metrics,
            links: links::Links::new(identity.clone()),
            call_lanes: call_lanes::CallLanes::default(),
            started_at: stall::uptime(),
            leader_clock: tokio::sync::Mutex::default(),
            forward_slots: tokio::sync::Semaphore::new(MAX_FORWARDED_REQUESTS),
            retry_budget: sync::Mutex::new(admit::RetryBudget::new(time::Instant::now())),
            pending_counts: pending_counts::PendingCounts::default(),
            cluster: watch::Sender::default(),
            manifest: watch::Sender::default(),
            confirmation: confirmation::Confirmation::default(),
            leading: watch::Sender::default(),
            lease_confirmed_at: sync::Mutex::default(),
            leader_health: sync::Mutex::default(),
            acknowledged_term: atomic::AtomicI64::new(0),
            store_lease_id: atomic::AtomicI64::new(0),
            lease_ended: tokio::sync::Notify::new(),
            store_latency: sync::Mutex::default(),
            store_regained: sync::Arc::default(),
            store_reachable_since: sync::Mutex::new(Some(time::Instant::now())),
            store_regained_at: sync::Mutex::new(None),
            store_rejects_batches: sync::Arc::default(),
            is_draining: sync::Arc::default(),
            leader_lost: tokio::sync::Notify::new(),
            stop: CancellationToken::new(),
            settings,
        });
        let peer_server_stop = CancellationToken::new();
        let max_peer_bytes = usize::try_from(shared.settings.max_peer_bytes);
        let server = peer::Server::new(identity)
            .max_received_bytes(max_peer_bytes.unwrap_or(usize::MAX))
            .max_new_connections(shared.settings.max_new_peers);
        let counted_server = server.clone();
        let handler = gateway::PeerHandler::new(sync::Arc::clone(&shared));
        let stop = peer_server_stop.clone();
        let peer_server = tokio::spawn(async move { server.serve(listener, handler, stop).await });
        let tasks = task::TaskTracker::new();
        tasks.spawn(registration::run(sync::Arc::clone(&shared)));
        tasks.spawn(watches::watch_cluster(sync::Arc::clone(&shared)));
        tasks.spawn(watches::watch_manifest(sync::Arc::clone(&shared)));
        tasks.spawn(confirmation::run(sync::Arc::clone(&shared)));
        tasks.spawn(heartbeat::run(sync::Arc::clone(&shared)));
        tasks.spawn(election::run(sync::Arc::clone(&shared)));
        tasks.spawn(relay_worker::run(sync::Arc::clone(&shared)));
        tasks.spawn(peer_gauges::run(sync::Arc::clone(&shared), counted_server));
        tasks.close();
        Ok(Self {
            shared,
            tasks,
            peer_server,
            peer_server_stop,
        })
    }

    /// Returns a gateway for callers' requests.
    #[must_use]
    pub fn gateway(&self) -> gateway::Gateway<P> {
        gateway::Gateway::new(sync::Arc::clone(&self.shared))
    }

    /// Begins to hand over the leadership and reports the instance as not ready, so that load
    /// balancers send callers elsewhere; requests are still served.
    pub fn begin_drain(&self) {
        log::info!(instance:% = self.shared.member.instance_id; "instance draining");
        self.shared
            .is_draining
            .store(true, atomic::Ordering::Relaxed);
    }

    /// Stops all tasks, removes this instance's entry and closes its connections.
    pub async fn stop(self) {
        self.shared.stop.cancel();
        self.tasks.wait().await;
        registration::deregister(&self.shared).await;
        self.peer_server_stop.cancel();
        if let Err(cause) = self.peer_server.await {
            log::error!(cause:% = cause; "peer server task failed");
        }
        self.shared.links.close().await;
        log::info!(instance:% = self.shared.member.instance_id; "instance stopped");
    }
}

/// Reads the cluster's secret from the store, retrying until it succeeds; the first instance
/// creates it.
async fn load_secret<S: store::Store>(store: &S) -> Vec<u8> {
    loop {
        match read_or_create_secret(store).await {
            Ok(Some(secret)) => return secret,
            Ok(None) => {}
            Err(cause) => {
                log::warn!(cause:% = cause; "cluster secret not read; retrying");
                tokio::time::sleep(START_RETRY_PAUSE).await;
            }
        }
    }
}

async fn read_or_create_secret<S: store::Store>(
    store: &S,
) -> Result<Option<Vec<u8>>, store::Error> {
    if let Some(entry) = store.get(cluster_entries::SECRET_KEY).await? {
        return Ok(Some(entry.value));
    }
    let secret: [u8; SECRET_BYTES] = rand::random();
    let txn = store::Txn {
        compares: vec![store::Compare::Absent {
            key: cluster_entries::SECRET_KEY.to_owned(),
        }],
        puts: vec![store::Put {
            key: cluster_entries::SECRET_KEY.to_owned(),
            value: secret.to_vec(),
            lease_id: None,
        }],
        deletes: Vec::new(),
    };
    // Another instance may have created the secret first, so the stored one is read next.
    store.commit(txn).await.map(|_| None)
}
