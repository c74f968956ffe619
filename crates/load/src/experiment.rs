//! Settings of a load experiment.

use std::net;
use std::time;

/// Maximum duration of an experiment, in seconds.
const MAX_DURATION_S: u64 = 3_600;
/// Maximum base rate, in requests per second.
const MAX_RATE_PER_S: u64 = 10_000;
/// Maximum factor of a swing or crest.
const MAX_SWING_FACTOR: u64 = 20;
/// Maximum number of connections to each instance.
const MAX_CONNECTIONS: u64 = 20_000;
/// Maximum of settings without a more specific limit.
const MAX_NUMBER: u64 = 1_000_000_000;

/// How the rate changes over time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// Constant rate.
    Steady,
    /// Sine wave between the base rate and the base rate times the factor.
    Swing,
    /// Base rate with one spike in the middle, at the base rate times the factor.
    Crest,
}

/// One kind of task in the mix.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// Name in the report.
    pub name: String,
    /// Kind in the submitted request.
    pub kind: String,
    /// Customer that submits it.
    pub customer: String,
    /// API token of the customer.
    pub token: String,
    /// Relative weight in the mix.
    pub share: u64,
    /// Scheduling class.
    pub class: model::Class,
    /// Processor time of each member, in thousandths of a core.
    pub processors_milli: u32,
    /// Memory of each member, in MiB.
    pub memory_mb: u32,
    /// Run time, in milliseconds.
    pub run_ms: u64,
    /// Fraction of tasks that are stragglers, from 0 to 1.
    pub straggler_share: f64,
    /// Run time of a straggler, as a multiple of `run_ms`.
    pub straggler_factor: u64,
    /// Scheduling urgency.
    pub urgency: model::Urgency,
    /// Whether the task may be executed more than once.
    pub repeatable: bool,
    /// Time within which the task must start, in milliseconds.
    pub deadline_ms: u64,
    /// Minimum length of each output, in bytes.
    pub output_bytes: u64,
    /// Number of members, which start together.
    pub members: u16,
}

/// An open-loop load of limited duration.
#[derive(Clone, Debug, PartialEq)]
pub struct Experiment {
    /// Time during which requests are sent.
    pub duration: time::Duration,
    /// Base rate, in requests per second.
    pub rate_per_s: u64,
    /// How the rate changes over time.
    pub shape: Shape,
    /// Peak rate as a multiple of `rate_per_s`.
    pub swing_factor: u64,
    /// Period of the swing, or duration of the crest.
    pub swing: time::Duration,
    /// Seed of the random arrival times, kinds and stragglers.
    pub seed: u64,
    /// Loopback addresses of the instances, used in round-robin order.
    pub instances: Vec<net::SocketAddr>,
    /// Maximum number of open connections to each instance.
    pub connections: usize,
    /// Time allowed for an answer in addition to deadline and run time.
    pub timeout: time::Duration,
    /// Kinds in the mix; not empty.
    pub kinds: Vec<Kind>,
}

impl Experiment {
    /// Parses an experiment; findings refer to it as `file_name`.
    ///
    /// # Errors
    ///
    /// Returns all findings.
    pub fn parse(file_name: &str, text: &str) -> Result<Self, settings::Findings> {
        let mut loader = settings::Loader::new(file_name, text);
        let names = loader.section_names();
        let names = names.iter().filter_map(|name| name.strip_prefix("kind "));
        let kinds: Vec<_> = names.map(|name| kind(&mut loader, name)).collect();
        let total_share: u64 = kinds.iter().map(|kind| kind.share).sum();
        let mut section = loader.section("experiment");
        if total_share == 0 {
            section.reject(
                "seed",
                "no section [kind NAME] with a share above 0, expected one",
            );
        }
        let shape = section.choice("shape", &["steady", "swing", "crest"], "steady");
        let experiment = Self {
            duration: section.duration_s("duration_s", 10, 1..=MAX_DURATION_S),
            rate_per_s: section.integer("rate_per_s", 100, 1..=MAX_RATE_PER_S),
            shape: match shape.as_str() {
                "swing" => Shape::Swing,
                "crest" => Shape::Crest,
                _ => Shape::Steady,
            },
            swing_factor: section.integer("swing_factor", 3, 1..=MAX_SWING_FACTOR),
            swing: section.duration_s("swing_s", 5, 1..=MAX_DURATION_S),
            seed: section.integer("seed", 1, 0..=MAX_NUMBER),
            instances: section.addresses("instances"),
            connections: section.size("connections", 512, 1..=MAX_CONNECTIONS),
            timeout: section.duration_ms("timeout_ms", 30_000, 1..=600_000),
            kinds,
        };
        for address in &experiment.instances {
            if !address.ip().is_loopback() {
                section.reject(
                    "instances",
                    format!("'{address}' given, expected a loopback address"),
                );
            }
        }
        loader.finish(experiment)
    }

    /// Returns the rate after `elapsed`, in requests per second.
    #[must_use]
    pub fn rate_at(&self, elapsed: time::Duration) -> f64 {
        let base = self.rate_per_s as f64;
        let peak = base * self.swing_factor as f64;
        match self.shape {
            Shape::Steady => base,
            Shape::Swing => {
                let periods = elapsed.as_secs_f64() / self.swing.as_secs_f64();
                let level = (1.0 - (periods * std::f64::consts::TAU).cos()) / 2.0;
                base + (peak - base) * level
            }
            Shape::Crest => {
                let from = self.duration.saturating_sub(self.swing) / 2;
                let is_crest = elapsed >= from && elapsed < from + self.swing;
                if is_crest { peak } else { base }
            }
        }
    }

    /// Returns the peak rate, in requests per second.
    #[must_use]
    pub fn peak_rate(&self) -> f64 {
        let base = self.rate_per_s as f64;
        match self.shape {
            Shape::Steady => base,
            Shape::Swing | Shape::Crest => base * self.swing_factor as f64,
        }
    }
}

fn kind(loader: &mut settings::Loader, name: &str) -> Kind {
    let mut section = loader.section(&format!("kind {name}"));
    let class = section.choice("class", &["service", "batch", "gang"], "batch");
    let urgency = section.choice("urgency", &["normal", "urgent"], "normal");
    let repeatable = section.choice("repeatable", &["true", "false"], "true");
    let straggler_share = fraction(&mut section, "straggler_share");
    Kind {
        name: name.to_owned(),
        kind: section.text("kind", name),
        customer: section.required_text("customer"),
        token: section.required_text("token"),
        share: section.integer("share", 1, 0..=MAX_NUMBER),
        class: match class.as_str() {
            "service" => model::Class::Service,
            "gang" => model::Class::Gang,
            _ => model::Class::Batch,
        },
        processors_milli: section.count("processors_milli", 1_000, 0..=MAX_NUMBER),
        memory_mb: section.count("memory_mb", 256, 0..=MAX_NUMBER),
        run_ms: section.integer("run_ms", 20, 0..=600_000),
        straggler_share,
        straggler_factor: section.integer("straggler_factor", 1, 1..=1_000),
        urgency: match urgency.as_str() {
            "urgent" => model::Urgency::Urgent,
            _ => model::Urgency::Normal,
        },
        repeatable: repeatable == "true",
        deadline_ms: section.integer("deadline_ms", 10_000, 1..=600_000),
        output_bytes: section.integer("output_bytes", 0, 0..=1_000_000),
        members: u16::try_from(section.integer("members", 1, 1..=1_000)).unwrap_or(1),
    }
}

/// Reads a fraction from 0 to 1, such as `0.05`.
fn fraction(section: &mut settings::Section<'_>, key: &str) -> f64 {
    let text = section.text(key, "0");
    match text.parse::<f64>() {
        Ok(share) if (0.0..=1.0).contains(&share) => share,
        _ => {
            section.reject(
                key,
                format!("'{text}' given, expected a number from 0 to 1"),
            );
            0.0
        }
    }
}
