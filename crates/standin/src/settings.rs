//! Settings of `ferry-standin`.

use std::net;
use std::time;

use crate::control;
use crate::directory;
use crate::error;
use crate::fleet;
use crate::relay;
use crate::store;
use crate::worker;

const RELAY_PREFIX: &str = "relay ";
const MAX_WORKERS: u64 = 4096;
const MAX_DELAY_MS: u64 = 60_000;
const MAX_MEMORY_MB: u64 = 1 << 24;
const MAX_PROCESSORS_MILLI: u64 = 1 << 24;

/// The components to start and their addresses; one whose section is missing is not started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Address of the control interface.
    pub control: net::SocketAddr,
    /// Address of the key-value store.
    pub store: Option<net::SocketAddr>,
    /// The directory.
    pub directory: Option<DirectorySettings>,
    /// The workers.
    pub workers: Option<fleet::FleetConfig>,
    /// The relays.
    pub relays: Vec<RelaySettings>,
}

/// Settings of the directory; entries for the workers are added to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectorySettings {
    /// Address to listen on.
    pub address: net::SocketAddr,
    /// Delay before a change becomes visible.
    pub lag: time::Duration,
    /// Entries of the instances.
    pub instances: Vec<model::DirectoryEntry>,
}

/// Settings of a relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelaySettings {
    /// Name of the relay.
    pub name: String,
    /// Address to listen on.
    pub address: net::SocketAddr,
    /// Address to forward connections to.
    pub target: net::SocketAddr,
    /// One-way delay.
    pub delay: time::Duration,
}

impl Settings {
    /// Parses an INI document; `file` is its name in findings.
    ///
    /// # Errors
    ///
    /// Returns all findings if the document is invalid.
    pub fn parse(file: &str, text: &str) -> Result<Self, settings::Findings> {
        let mut loader = settings::Loader::new(file, text);
        let names = loader.section_names();
        let has_section = |name: &str| names.iter().any(|other| other == name);
        let relays = names.iter().filter(|name| name.starts_with(RELAY_PREFIX));
        let parsed = Self {
            control: loader.section("control").address("address"),
            store: has_section("store").then(|| loader.section("store").address("address")),
            directory: has_section("directory").then(|| read_directory(&mut loader)),
            workers: has_section("workers").then(|| read_workers(&mut loader)),
            relays: relays.map(|name| read_relay(&mut loader, name)).collect(),
        };
        loader.finish(parsed)
    }

    /// Starts all components.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound; components already started are shut down.
    pub async fn start(&self) -> Result<control::ControlServer, error::Error> {
        let mut platform = control::Platform::default();
        if let Err(start_error) = self.start_components(&mut platform).await {
            platform.shutdown().await;
            return Err(start_error);
        }
        control::ControlServer::start(platform, self.control).await
    }

    async fn start_components(&self, platform: &mut control::Platform) -> Result<(), error::Error> {
        if let Some(address) = self.store {
            platform.store = Some(store::StoreServer::start(address).await?);
        }
        if let Some(config) = &self.workers {
            platform.fleet = Some(fleet::WorkerFleet::start(config).await?);
        }
        for relay in &self.relays {
            let started = relay::Relay::start(relay.address, relay.target, relay.delay).await?;
            platform.relays.insert(relay.name.clone(), started);
        }
        if let Some(directory) = &self.directory {
            let workers = platform
                .fleet
                .iter()
                .flat_map(fleet::WorkerFleet::directory_entries);
            let entries = directory.instances.iter().cloned().chain(workers).collect();
            let started =
                directory::DirectoryServer::start(entries, directory.lag, directory.address);
            platform.directory = Some(started.await?);
        }
        Ok(())
    }
}

fn read_directory(loader: &mut settings::Loader) -> DirectorySettings {
    let mut section = loader.section("directory");
    let address = section.address("address");
    let lag = section.duration_ms("lag_ms", 0, 0..=MAX_DELAY_MS);
    let mut instances = Vec::new();
    for text in section.list("instances") {
        match parse_instance(&text) {
            Some(entry) => instances.push(entry),
            None => section.reject(
                "instances",
                format!("'{text}' given, expected 'name address:port region/data-centre'"),
            ),
        }
    }
    DirectorySettings {
        address,
        lag,
        instances,
    }
}

fn parse_instance(text: &str) -> Option<model::DirectoryEntry> {
    let mut words = text.split_whitespace();
    let (id, address, location_text) = (words.next()?, words.next()?, words.next()?);
    let address: net::SocketAddr = address.parse().ok()?;
    let location = parse_location(location_text)?;
    words.next().is_none().then(|| model::DirectoryEntry {
        id: id.into(),
        role: model::Role::Instance,
        address: address.to_string(),
        location,
        state: model::EntryState::Live,
    })
}

/// Parses `region/data-centre`.
fn parse_location(text: &str) -> Option<model::Location> {
    let (region, data_centre) = text.split_once('/')?;
    let is_complete = !region.is_empty() && !data_centre.is_empty();
    is_complete.then(|| model::Location {
        region: region.into(),
        data_centre: data_centre.into(),
        rack: "".into(),
    })
}

fn read_workers(loader: &mut settings::Loader) -> fleet::FleetConfig {
    let mut section = loader.section("workers");
    let count = section.size("count", 48, 1..=MAX_WORKERS);
    let workers_per_rack = section.size("workers_per_rack", 8, 1..=MAX_WORKERS);
    let first_address = section.address("first_address");
    let ports = usize::from(u16::MAX - first_address.port()) + 1;
    if first_address.port() != 0 && count > ports {
        section.reject(
            "first_address",
            format!("no {count} ports follow, expected a lower port"),
        );
    }
    let capacity = model::WorkerCapacity {
        resources: model::Demand {
            processors_milli: section.count("processors_milli", 64_000, 1..=MAX_PROCESSORS_MILLI),
            memory_mb: section.count("memory_mb", 262_144, 1..=MAX_MEMORY_MB),
            accelerators: section.count("accelerators", 0, 0..=64),
        },
        slots: section.count("slots", 8, 1..=4096),
        connections: section.count("connections", 64, 1..=65_536),
    };
    let usage_lag = section.duration_ms("usage_lag_ms", 200, 0..=MAX_DELAY_MS);
    let data_centres = read_data_centres(&mut section);
    let unset_location = model::Location {
        region: "".into(),
        data_centre: "".into(),
        rack: "".into(),
    };
    let worker = worker::WorkerConfig::new("", unset_location)
        .capacity(capacity)
        .usage_lag(usage_lag);
    fleet::FleetConfig {
        count,
        workers_per_rack,
        data_centres,
        worker,
        first_address,
    }
}

fn read_data_centres(section: &mut settings::Section<'_>) -> Vec<model::Location> {
    let mut locations = Vec::new();
    for text in section.required_list("data_centres") {
        match parse_location(&text) {
            Some(location) => locations.push(location),
            None => section.reject(
                "data_centres",
                format!("'{text}' given, expected 'region/data-centre'"),
            ),
        }
    }
    locations
}

fn read_relay(loader: &mut settings::Loader, name: &str) -> RelaySettings {
    let mut section = loader.section(name);
    RelaySettings {
        name: name.trim_start_matches(RELAY_PREFIX).to_owned(),
        address: section.address("address"),
        target: section.address("target"),
        delay: section.duration_ms("delay_ms", 0, 0..=MAX_DELAY_MS),
    }
}
