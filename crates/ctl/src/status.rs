//! The instances' paths for operators.

use std::net;
use std::time;

use indexmap::IndexMap;

use crate::arguments;
use crate::error;
use crate::http_client;

/// Path that answers with an [`OperatorStatus`].
const STATUS_PATH: &str = "/v1/operator/status";
/// Path that starts a drain.
const DRAIN_PATH: &str = "/v1/operator/drain";
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// What an instance knows of another.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PeerStatus {
    /// The other instance.
    pub instance_id: String,
    /// Whether it was heard of lately.
    pub alive: bool,
    /// Revision of its customers list, as last heard.
    pub customers_revision: model::Revision,
    /// Revision of its plans list, as last heard.
    pub plans_revision: model::Revision,
}

/// Answer of an instance to operators.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct OperatorStatus {
    /// The instance.
    pub instance_id: String,
    /// Region it stands in.
    pub region: String,
    /// Data centre it stands in.
    pub data_centre: String,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it is stopping.
    pub draining: bool,
    /// Revision of the customers list in force; 0 if there is none.
    pub customers_revision: model::Revision,
    /// Revision of the plans list in force; 0 if there is none.
    pub plans_revision: model::Revision,
    /// Revision of the partition table known; 0 if there is none.
    pub table_revision: model::Revision,
    /// Partitions that it owns and serves.
    pub partitions_owned: u64,
    /// Partitions that it owns and does not serve yet.
    pub partitions_pending: u64,
    /// Workers whose lease it holds.
    pub workers_held: u64,
    /// Tasks that wait to start.
    pub queued: u64,
    /// Runs on the workers it holds.
    pub running: u64,
    /// Requests of callers that wait at it for an answer.
    pub waiting: u64,
    /// What it knows of the other instances.
    #[serde(default)]
    pub peers: Vec<PeerStatus>,
    /// Totals of its counters.
    #[serde(default)]
    pub counters: IndexMap<String, u64>,
}

/// An instance that was asked for its status.
pub(crate) struct Asked {
    pub(crate) address: net::SocketAddr,
    pub(crate) status: Result<OperatorStatus, error::Error>,
}

/// Calls the instances' paths for operators.
pub(crate) struct Operator {
    client: http_client::HttpClient,
    pub(crate) instances: Vec<net::SocketAddr>,
    secret: String,
}

impl Operator {
    /// Reads `--instances` and `--secret-file`.
    pub(crate) fn from_arguments(args: &mut arguments::Arguments) -> Result<Self, error::Error> {
        Ok(Self {
            client: http_client::HttpClient::new(),
            instances: args.addresses("--instances")?,
            secret: args.secret("--secret-file")?,
        })
    }

    /// Asks every instance in turn.
    pub(crate) async fn statuses(&self) -> Vec<Asked> {
        let mut asked = Vec::new();
        for address in &self.instances {
            asked.push(Asked {
                address: *address,
                status: self.status(*address).await,
            });
        }
        asked
    }

    /// Asks one instance.
    pub(crate) async fn status(
        &self,
        address: net::SocketAddr,
    ) -> Result<OperatorStatus, error::Error> {
        let call = http_client::Call::new(http::Method::GET, address, STATUS_PATH, &self.secret);
        let answer = self.client.send(call, CALL_TIMEOUT).await?;
        answer.expect_success()?;
        answer.json()
    }

    /// Tells one instance to stop.
    pub(crate) async fn drain(&self, address: net::SocketAddr) -> Result<(), error::Error> {
        let call = http_client::Call::new(http::Method::POST, address, DRAIN_PATH, &self.secret);
        let answer = self.client.send(call, CALL_TIMEOUT).await?;
        answer.expect_success()
    }
}
