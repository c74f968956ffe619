//! The platform's lagging list of instances and workers.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;

/// Where a machine stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Location {
    /// Region.
    pub region: ids::Region,
    /// Data centre in the region.
    pub data_centre: ids::DataCentre,
    /// Rack in the data centre; empty for instances.
    pub rack: ids::Rack,
}

/// What a listed machine is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A machine that runs the scheduler.
    Instance,
    /// A machine that runs tasks.
    Worker,
}

/// Whether a listed machine may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryState {
    /// In service.
    Live,
    /// Being taken out of service: no new work.
    Leaving,
}

/// One machine of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// Configured name: an instance's name without boot id, or a worker id.
    pub id: ids::WorkerId,
    /// What it is.
    pub role: Role,
    /// `address:port`, of the peer listener for an instance.
    pub address: String,
    /// Where it stands.
    pub location: Location,
    /// Whether it may get new work.
    pub state: EntryState,
}
