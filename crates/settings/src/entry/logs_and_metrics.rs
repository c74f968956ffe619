//! Sections `[logs]` and `[metrics]`.

use std::net;

use crate::section;

const LEVELS: &[&str] = &["off", "error", "warn", "info", "debug", "trace"];
const DEFAULT_LEVEL: &str = "info";
const DEFAULT_PREFIX: &str = "ferry";

/// Logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Logs {
    /// Least severe level that is written.
    pub level: log::LevelFilter,
}

impl Logs {
    /// Reads the section; the settings of other programs have it too.
    #[must_use]
    pub fn read(mut section: section::Section<'_>) -> Self {
        let level = section.choice("level", LEVELS, DEFAULT_LEVEL);
        Self {
            level: level.parse().unwrap_or(log::LevelFilter::Info),
        }
    }
}

/// Metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Metrics {
    /// UDP address that metrics are sent to; `None` if they are not sent.
    pub address: Option<net::SocketAddr>,
    /// Prefix of every metric's name.
    pub prefix: String,
}

impl Metrics {
    /// Reads the section; the settings of other programs have it too.
    #[must_use]
    pub fn read(mut section: section::Section<'_>) -> Self {
        Self {
            address: section.optional_address("address"),
            prefix: section.text("prefix", DEFAULT_PREFIX),
        }
    }
}
