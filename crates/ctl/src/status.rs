//! Client of the operators' API of instances.

use std::net;
use std::time;

use indexmap::IndexMap;

use crate::arguments;
use crate::error;
use crate::http_client;

/// Path that returns an [`OperatorStatus`].
const STATUS_PATH: &str = "/v1/operator/status";
/// Path that starts a drain.
const DRAIN_PATH: &str = "/v1/operator/drain";
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Status of a peer, as an instance sees it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PeerStatus {
    /// ID of the peer.
    pub instance_id: String,
    /// Whether its heartbeats are recent enough.
    pub alive: bool,
    /// Revision of its customers list in its last heartbeat.
    pub customers_revision: model::Revision,
    /// Revision of its plans list in its last heartbeat.
    pub plans_revision: model::Revision,
}

/// Status of an instance.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct OperatorStatus {
    /// ID of the instance.
    pub instance_id: String,
    /// Region of the instance.
    pub region: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Whether it is ready for requests of callers.
    pub ready: bool,
    /// Whether it is draining before it stops.
    pub draining: bool,
    /// Revision of the customers list in force; 0 if there is none.
    pub customers_revision: model::Revision,
    /// Revision of the plans list in force; 0 if there is none.
    pub plans_revision: model::Revision,
    /// Revision of the latest partition table it has; 0 if there is none.
    pub table_revision: model::Revision,
    /// Partitions that it owns and serves.
    pub partitions_owned: u64,
    /// Partitions that it owns but does not serve yet.
    pub partitions_pending: u64,
    /// Number of workers whose lease it holds.
    pub workers_held: u64,
    /// Number of tasks that wait to start.
    pub queued: u64,
    /// Number of runs on the workers whose lease it holds.
    pub running: u64,
    /// Number of callers' requests that wait for an answer.
    pub waiting: u64,
    /// Status of its peers.
    #[serde(default)]
    pub peers: Vec<PeerStatus>,
    /// Counters, by name.
    #[serde(default)]
    pub counters: IndexMap<String, u64>,
}

/// An instance with the result of its status request.
pub(crate) struct PolledInstance {
    pub(crate) address: net::SocketAddr,
    pub(crate) status: Result<OperatorStatus, error::Error>,
}

/// Client of the operators' API of several instances.
pub(crate) struct OperatorClient {
    client: http_client::HttpClient,
    pub(crate) instances: Vec<net::SocketAddr>,
    secret: String,
}

impl OperatorClient {
    /// Creates a client from `--instances` and `--secret-file`.
    pub(crate) fn from_arguments(args: &mut arguments::Arguments) -> Result<Self, error::Error> {
        Ok(Self {
            client: http_client::HttpClient::new(),
            instances: args.addresses("--instances")?,
            secret: args.secret("--secret-file")?,
        })
    }

    /// Requests the status of every instance, one after another.
    pub(crate) async fn statuses(&self) -> Vec<PolledInstance> {
        let mut polled = Vec::new();
        for address in &self.instances {
            polled.push(PolledInstance {
                address: *address,
                status: self.status(*address).await,
            });
        }
        polled
    }

    /// Requests the status of one instance.
    pub(crate) async fn status(
        &self,
        address: net::SocketAddr,
    ) -> Result<OperatorStatus, error::Error> {
        let request =
            http_client::Request::new(http::Method::GET, address, STATUS_PATH, &self.secret);
        let response = self.client.send(request, REQUEST_TIMEOUT).await?;
        response.expect_success()?;
        response.json()
    }

    /// Starts the drain of one instance.
    pub(crate) async fn drain(&self, address: net::SocketAddr) -> Result<(), error::Error> {
        let request =
            http_client::Request::new(http::Method::POST, address, DRAIN_PATH, &self.secret);
        let response = self.client.send(request, REQUEST_TIMEOUT).await?;
        response.expect_success()
    }
}
