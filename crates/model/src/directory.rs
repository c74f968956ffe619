//! The platform's directory of instances and workers, which may lag.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;

/// Location of a machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Location {
    /// The region.
    pub region: ids::Region,
    /// Data centre in the region.
    pub data_centre: ids::DataCentre,
    /// Rack in the data centre; empty for instances.
    pub rack: ids::Rack,
}

/// Role of a listed machine.
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

/// One machine in the platform's directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// Configured name: an instance's name without boot id, or a worker id.
    pub id: ids::WorkerId,
    /// Role of the machine.
    pub role: Role,
    /// `address:port`, of the peer listener for an instance.
    pub address: String,
    /// Location of the machine.
    pub location: Location,
    /// Whether the machine may get new work.
    pub state: EntryState,
}
