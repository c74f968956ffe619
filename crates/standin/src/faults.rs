//! Switches for faults; the default of each is no fault.

use serde::Deserialize;
use serde::Serialize;

/// Whether a part can be reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reachability {
    /// It accepts connections and answers.
    #[default]
    Up,
    /// It refuses connections and has closed those it had.
    Down,
    /// It accepts connections and requests, and neither acts on them nor answers.
    Silent,
}

/// Faults of the key-value service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Whether it can be reached.
    pub reachability: Reachability,
    /// Added before each request takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Number of next writes that take effect and whose connection is then dropped; the largest
    /// number means until cleared.
    pub lose_replies: u32,
}

/// Faults of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaults {
    /// Whether it can be reached; its runs go on in any case.
    pub reachability: Reachability,
    /// Whether every run that starts fails at once by the worker's own fault.
    pub fail_all: bool,
    /// Factor of run times beyond 1, in percent: 900 makes runs ten times as long.
    pub slower_percent: u32,
    /// Whether outputs are cut short behind their declared length and digest.
    pub cut_answers: bool,
    /// Whether outputs are those of another run.
    pub crossed_answers: bool,
    /// Whether each finished run is reported twice.
    pub doubled_answers: bool,
    /// Number of next starts that take effect and whose connection is then dropped; the largest
    /// number means until cleared.
    pub lose_start_replies: u32,
    /// Time between the receipt of a start and its effect, in milliseconds.
    pub delay_start_ms: u64,
}

/// Faults of the instance list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DirectoryFaults {
    /// Whether it can be reached.
    pub reachability: Reachability,
    /// Whether it answers with a server error.
    pub unavailable: bool,
}

/// Faults of a relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayFaults {
    /// Added to the configured delay of each direction, in milliseconds.
    pub delay_ms: u64,
    /// Whether it refuses connections and has closed those it had.
    pub cut: bool,
    /// Whether it forwards nothing on any connection, without closing one.
    pub silent: bool,
    /// Set once: the connections open at this moment forward nothing any more, new ones do.
    pub silent_existing: bool,
}

/// Takes one from a counter of lost replies; returns whether there was one.
pub(crate) fn take_one(remaining: &mut u32) -> bool {
    let lose = *remaining > 0;
    if lose && *remaining < u32::MAX {
        *remaining -= 1;
    }
    lose
}
