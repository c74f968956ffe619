//! The simulated work of a run, as described by the body of its task.

use std::fmt::Write as _;
use std::time;

use sha2::Digest as _;

const DEFAULT_RUN_MS: u64 = 5;

/// The work described by the JSON body of a task; unknown fields are ignored.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize)]
#[serde(default)]
pub(super) struct Work {
    /// Run time at full speed, in milliseconds.
    pub(super) run_ms: u64,
    /// Minimum length of the output, in bytes.
    pub(super) output_bytes: usize,
    /// Whether the work fails at its end.
    pub(super) fail: bool,
    /// Memory actually used; the reserved amount if not set.
    pub(super) use_memory_mb: Option<u32>,
    /// Processors actually used; the reserved amount if not set.
    pub(super) use_processors_milli: Option<u32>,
}

impl Default for Work {
    fn default() -> Self {
        Self {
            run_ms: DEFAULT_RUN_MS,
            output_bytes: 0,
            fail: false,
            use_memory_mb: None,
            use_processors_milli: None,
        }
    }
}

impl Work {
    /// Parses the body of a task; falls back to the defaults if it is not a valid description.
    pub(super) fn of(spec: &model::TaskSpec) -> Self {
        serde_json::from_str(&spec.body).unwrap_or_default()
    }

    /// Returns the resources actually used when `reserved` is reserved.
    pub(super) fn used(&self, reserved: &model::Demand) -> model::Demand {
        model::Demand {
            processors_milli: self
                .use_processors_milli
                .unwrap_or(reserved.processors_milli),
            memory_mb: self.use_memory_mb.unwrap_or(reserved.memory_mb),
            accelerators: reserved.accelerators,
        }
    }

    /// Returns the remaining run time at full speed after a resume from `checkpoint`.
    pub(super) fn remaining(&self, checkpoint: Option<&str>) -> time::Duration {
        let done_ms = checkpoint
            .and_then(Checkpoint::parse)
            .map_or(0, |checkpoint| checkpoint.done_ms);
        time::Duration::from_millis(self.run_ms.saturating_sub(done_ms))
    }
}

/// The saved state of a run.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
pub(super) struct Checkpoint {
    /// Work completed, in milliseconds at full speed.
    pub(super) done_ms: u64,
}

impl Checkpoint {
    fn parse(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }

    /// Returns the JSON that a later start passes back.
    pub(super) fn to_text(self) -> String {
        format!(r#"{{"done_ms":{}}}"#, self.done_ms)
    }
}

/// Returns the output of a task with this kind and body.
///
/// The output is `{kind}:{SHA-256 of the body in hexadecimal}`, padded with dots to the
/// `output_bytes` of the body, so that a caller can check that an answer belongs to its request.
#[must_use]
pub fn expected_output(kind: &str, body: &str) -> String {
    let work: Work = serde_json::from_str(body).unwrap_or_default();
    let mut output = format!("{kind}:");
    for byte in sha2::Sha256::digest(body.as_bytes()) {
        // Writing to a string does not fail.
        let _ = write!(output, "{byte:02x}");
    }
    let padding = work.output_bytes.saturating_sub(output.len());
    output.extend(std::iter::repeat_n('.', padding));
    output
}
