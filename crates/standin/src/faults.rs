//! Faults that can be injected into each component; the defaults inject none.

use serde::Deserialize;
use serde::Serialize;

/// Whether a component accepts connections and responds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reachability {
    /// Accepts connections and responds.
    #[default]
    Up,
    /// Refuses new connections and closes the existing ones.
    Down,
    /// Accepts connections and requests, but neither processes nor answers the requests.
    Silent,
}

/// Faults of the key-value store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Whether the store accepts connections and responds; `Silent` also stops the events of all
    /// open watches for good.
    pub reachability: Reachability,
    /// Delay before each request is processed, in milliseconds.
    pub delay_ms: u64,
    /// Number of upcoming transactions and lease grants whose connection is closed without a reply
    /// after they are processed; `u32::MAX` applies to all until cleared.
    pub lose_replies: u32,
}

/// Faults of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaults {
    /// Whether the worker accepts connections and responds; its runs continue in any case.
    pub reachability: Reachability,
    /// Whether each run fails immediately on start with `worker_fault` set.
    pub fail_all: bool,
    /// Increase of run times, in percent: 900 makes runs take ten times as long.
    pub slower_percent: u32,
    /// Whether outputs are truncated while their declared length and digest stay those of the
    /// whole output.
    pub cut_answers: bool,
    /// Whether outputs are replaced by those of another run.
    pub crossed_answers: bool,
    /// Whether each finished run is reported twice.
    pub doubled_answers: bool,
    /// Number of upcoming start requests whose connection is closed without a reply after they are
    /// processed; `u32::MAX` applies to all until cleared.
    pub lose_start_replies: u32,
    /// Delay between the receipt of a start request and its effect, in milliseconds.
    pub delay_start_ms: u64,
}

/// Faults of the directory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DirectoryFaults {
    /// Whether the directory accepts connections and responds.
    pub reachability: Reachability,
    /// Whether every request is answered with 503 Service Unavailable.
    pub unavailable: bool,
}

/// Faults of a relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayFaults {
    /// Delay added to the configured one in each direction, in milliseconds.
    pub delay_ms: u64,
    /// Whether the relay refuses new connections and closes the existing ones.
    pub cut: bool,
    /// Whether the relay discards all data of all connections without closing them.
    pub silent: bool,
    /// Applies once: connections accepted before this is set never forward data again; new ones do.
    pub silent_existing: bool,
}

/// Decrements the number of replies to lose, unless it is `u32::MAX`; returns whether to lose this
/// one.
pub(crate) fn consume_lost_reply(remaining: &mut u32) -> bool {
    let is_lost = *remaining > 0;
    if is_lost && *remaining < u32::MAX {
        *remaining -= 1;
    }
    is_lost
}
