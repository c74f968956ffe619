//! Section `[instance]`.

use std::net;

use crate::section;

/// Memory of the smallest usual machine, in MB.
const DEFAULT_MEMORY_MB: u64 = 160;
/// As many as the setting may name, so that the soft limit of the process counts.
const DEFAULT_MAX_DESCRIPTORS: u64 = 1_048_576;

/// Name, location and addresses of the instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Configured name; the process adds a boot id to it.
    pub name: String,
    /// Region of the instance; one of the cluster's regions.
    pub region: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Address that the instance listens on for callers and operators, and advertises to them.
    pub callers_address: net::SocketAddr,
    /// Address that the instance listens on for peers, and advertises to them.
    pub peer_address: net::SocketAddr,
    /// Memory of the machine, in MB; sizes what clients may fill.
    pub memory_mb: u64,
    /// Descriptors that the process may open, if its soft limit is not lower.
    pub max_descriptors: usize,
}

impl Instance {
    pub(super) fn read(mut section: section::Section<'_>) -> Self {
        let name = section.required_text("name");
        if name.contains(['#', '/']) {
            let message = format!("'{name}' given, expected a name without '#' and '/'");
            section.reject("name", message);
        }
        Self {
            name,
            region: section.required_text("region"),
            data_centre: section.required_text("data_centre"),
            callers_address: section.address("callers_address"),
            peer_address: section.address("peer_address"),
            memory_mb: section.integer("memory_mb", DEFAULT_MEMORY_MB, 32..=1_048_576),
            max_descriptors: section.size(
                "max_descriptors",
                DEFAULT_MAX_DESCRIPTORS,
                128..=1_048_576,
            ),
        }
    }
}
