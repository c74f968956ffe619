//! Section `[instance]`.

use std::net;

use crate::section;

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
        }
    }
}
