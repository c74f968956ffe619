//! Settings of an instance.

use std::net;
use std::time;

use indexmap::IndexMap;

/// Settings of an instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the instance, unique among the live ones.
    pub name: String,
    /// Address of the peer listener.
    pub peer_address: net::SocketAddr,
    /// Processor time of the machine, in thousandths of a core; the leader is preferably a strong
    /// machine.
    pub strength_milli: u32,
    /// Data centre of the machine.
    pub data_centre: model::DataCentre,
    /// Region of each data centre.
    pub regions: IndexMap<model::DataCentre, model::Region>,
    /// Name of the cluster; connections from instances of other clusters are refused.
    pub cluster: String,
    /// Time to live of the store lease that keeps this instance's entries.
    pub store_lease_ttl: time::Duration,
    /// Time between renewals of the store lease.
    pub store_renewal_interval: time::Duration,
    /// How long a leader continues after the last confirmation of its lease by the store.
    pub leadership_timeout: time::Duration,
    /// How long a leader may grant leases after it has sent a question whose answer proves that it
    /// leads. Leases last 5 s and are renewed with 3.5 s left, so that a gap of a second or two in the
    /// evidence ends none.
    pub lease_authority: time::Duration,
    /// Time between heartbeats to the leader.
    pub heartbeat_interval: time::Duration,
    /// Time without a reply after which the leader is suspected to have failed.
    pub leader_silence_limit: time::Duration,
    /// Time between two reads of the worker directory by the leader.
    pub directory_interval: time::Duration,
    /// Time after which an order to a worker counts as unanswered.
    pub order_timeout: time::Duration,
    /// How long a request waits for a leader before it is refused.
    pub leader_wait: time::Duration,
    /// Time without a confirmation of the manifest after which its API keys are not trusted; `None` to
    /// trust them always.
    pub revocation_timeout: Option<time::Duration>,
    /// Most bytes that peers have sent and that are not handled yet; also the most that the jobs
    /// take that wait for the control thread.
    pub max_peer_bytes: u64,
    /// Maximum number of connections to the peer listener that are not authenticated.
    pub max_new_peers: usize,
    /// Settings of the job scheduler.
    pub jobs: jobs::Settings,
}

/// Bound of what peers have sent unless set otherwise, in bytes: 64 requests of 2 KB from each of
/// 120 instances.
const DEFAULT_MAX_PEER_BYTES: u64 = 15_000_000;
/// Unauthenticated connections unless set otherwise; an instance authenticates at once, so that this
/// many are there only if hundreds of instances connect at the same time.
const DEFAULT_MAX_NEW_PEERS: usize = 64;

impl Settings {
    /// Creates settings with defaults for all but the name and the peer address.
    #[must_use]
    pub fn new(name: impl Into<String>, peer_address: net::SocketAddr) -> Self {
        let ms = time::Duration::from_millis;
        Self {
            name: name.into(),
            peer_address,
            strength_milli: 1_000,
            data_centre: "".into(),
            regions: IndexMap::new(),
            cluster: "ferry".to_owned(),
            store_lease_ttl: ms(2_000),
            store_renewal_interval: ms(500),
            leadership_timeout: ms(9_000),
            lease_authority: ms(1_000),
            heartbeat_interval: ms(300),
            leader_silence_limit: ms(600),
            directory_interval: ms(700),
            order_timeout: ms(400),
            leader_wait: ms(1_500),
            revocation_timeout: None,
            max_peer_bytes: DEFAULT_MAX_PEER_BYTES,
            max_new_peers: DEFAULT_MAX_NEW_PEERS,
            jobs: jobs::Settings::default(),
        }
    }

    /// Sets the most bytes that peers have sent and that are not handled yet.
    #[must_use]
    pub fn max_peer_bytes(mut self, bytes: impl Into<u64>) -> Self {
        self.max_peer_bytes = bytes.into();
        self
    }

    /// Sets the maximum number of unauthenticated connections to the peer listener.
    #[must_use]
    pub fn max_new_peers(mut self, count: impl Into<usize>) -> Self {
        self.max_new_peers = count.into();
        self
    }

    /// Sets the processor time of the machine, in thousandths of a core.
    #[must_use]
    pub fn strength_milli(mut self, milli: impl Into<u32>) -> Self {
        self.strength_milli = milli.into();
        self
    }

    /// Sets the data centre of the machine.
    #[must_use]
    pub fn data_centre(mut self, data_centre: impl Into<model::DataCentre>) -> Self {
        self.data_centre = data_centre.into();
        self
    }

    /// Sets the region of each data centre.
    #[must_use]
    pub fn regions(
        mut self,
        regions: impl Into<IndexMap<model::DataCentre, model::Region>>,
    ) -> Self {
        self.regions = regions.into();
        self
    }

    /// Sets the time without a confirmation of the manifest after which its API keys are not trusted.
    #[must_use]
    pub fn revocation_timeout(mut self, timeout: impl Into<Option<time::Duration>>) -> Self {
        self.revocation_timeout = timeout.into();
        self
    }

    /// Sets the settings of the job scheduler.
    #[must_use]
    pub fn jobs(mut self, jobs: impl Into<jobs::Settings>) -> Self {
        self.jobs = jobs.into();
        self
    }
}
