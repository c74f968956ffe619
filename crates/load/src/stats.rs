//! Counters and latency histograms of a run.

use std::time;

use hdrhistogram::Histogram;
use indexmap::IndexMap;

use crate::experiment;
use crate::verify;

/// Maximum wait of an urgent task to count as started in time, in milliseconds.
pub(crate) const URGENT_START_LIMIT_MS: u64 = 6_300;
/// Precision of the histograms, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Maximum recorded time, in microseconds; longer times are recorded as this value.
const MAX_RECORDED_US: u64 = 3_600_000_000;
/// Maximum number of notes on wrong and missing answers.
const MAX_NOTES: usize = 20;

/// Result of one request.
#[derive(Clone, Debug)]
pub struct Observation {
    /// Index of the kind in the experiment.
    pub kind: usize,
    /// Result of verifying the answer.
    pub verdict: verify::Verdict,
    /// Time from the intended send time to the complete answer.
    pub latency: time::Duration,
    /// Time from acceptance to the start of the task according to the answer, in milliseconds.
    pub waited_ms: Option<u64>,
}

/// Counters and histograms of one kind.
#[derive(Clone, Debug)]
pub struct KindStats {
    /// Name of the kind.
    pub name: String,
    /// Whether its tasks are urgent.
    pub is_urgent: bool,
    /// Requests of the kind, including those not sent because too many were in flight.
    pub sent: u64,
    /// Tasks done with the expected result.
    pub done: u64,
    /// Tasks accepted without waiting for the outcome.
    pub accepted: u64,
    /// Tasks that were not run, by reason.
    pub not_run: IndexMap<model::NotRunReason, u64>,
    /// Tasks whose outcome is unknown, by reason.
    pub unknown: IndexMap<model::UnknownReason, u64>,
    /// Requests with an answer that is not valid for them.
    pub wrong: u64,
    /// Requests without an answer.
    pub missing: u64,
    /// Latency of tasks that were done, in microseconds.
    pub latency_us: Histogram<u64>,
    /// Time to the start of tasks that were done, in milliseconds.
    pub waited_ms: Histogram<u64>,
    /// Urgent tasks that started within `URGENT_START_LIMIT_MS` and were done.
    pub urgent_within: u64,
}

/// Results of a run.
#[derive(Clone, Debug)]
pub struct Results {
    /// Time during which requests were sent.
    pub duration: time::Duration,
    /// Statistics of each kind, in the experiment's order.
    pub kinds: Vec<KindStats>,
    /// Descriptions of the first wrong and missing answers.
    pub notes: Vec<String>,
}

impl KindStats {
    fn new(name: &str, is_urgent: bool) -> Self {
        Self {
            name: name.to_owned(),
            is_urgent,
            sent: 0,
            done: 0,
            accepted: 0,
            not_run: IndexMap::new(),
            unknown: IndexMap::new(),
            wrong: 0,
            missing: 0,
            latency_us: histogram(),
            waited_ms: histogram(),
            urgent_within: 0,
        }
    }

    fn record(&mut self, observation: &Observation) {
        self.sent += 1;
        match &observation.verdict {
            verify::Verdict::Done => self.record_done(observation),
            verify::Verdict::Accepted => self.accepted += 1,
            verify::Verdict::NotRun(reason) => *self.not_run.entry(*reason).or_default() += 1,
            verify::Verdict::Unknown(reason) => *self.unknown.entry(*reason).or_default() += 1,
            verify::Verdict::Wrong(_) => self.wrong += 1,
            verify::Verdict::Missing(_) => self.missing += 1,
        }
    }

    fn record_done(&mut self, observation: &Observation) {
        self.done += 1;
        let latency_us = u64::try_from(observation.latency.as_micros()).unwrap_or(u64::MAX);
        self.latency_us.saturating_record(latency_us);
        if let Some(waited_ms) = observation.waited_ms {
            self.waited_ms.saturating_record(waited_ms);
            let is_within = self.is_urgent && waited_ms <= URGENT_START_LIMIT_MS;
            self.urgent_within += u64::from(is_within);
        }
    }

    fn merge(&mut self, other: &Self) {
        self.sent += other.sent;
        self.done += other.done;
        self.accepted += other.accepted;
        self.wrong += other.wrong;
        self.missing += other.missing;
        self.urgent_within += other.urgent_within;
        for (reason, count) in &other.not_run {
            *self.not_run.entry(*reason).or_default() += count;
        }
        for (reason, count) in &other.unknown {
            *self.unknown.entry(*reason).or_default() += count;
        }
        // The histograms have the same bounds, so neither addition fails.
        let _ = self.latency_us.add(&other.latency_us);
        let _ = self.waited_ms.add(&other.waited_ms);
    }

    /// Returns the sum over `counts`.
    pub(crate) fn sum<R>(counts: &IndexMap<R, u64>) -> u64 {
        counts.values().sum()
    }
}

impl Results {
    /// Creates empty results.
    #[must_use]
    pub fn new(experiment: &experiment::Experiment) -> Self {
        let kinds = experiment.kinds.iter();
        let kinds = kinds.map(|kind| {
            let is_urgent = kind.urgency == model::Urgency::Urgent;
            KindStats::new(&kind.name, is_urgent)
        });
        Self {
            duration: experiment.duration,
            kinds: kinds.collect(),
            notes: Vec::new(),
        }
    }

    /// Adds one observation.
    pub fn record(&mut self, observation: &Observation) {
        let Some(kind) = self.kinds.get_mut(observation.kind) else {
            return;
        };
        kind.record(observation);
        let note = match &observation.verdict {
            verify::Verdict::Wrong(cause) => format!("{}: wrong: {cause}", kind.name),
            verify::Verdict::Missing(cause) => format!("{}: missing: {cause}", kind.name),
            _ => return,
        };
        if self.notes.len() < MAX_NOTES {
            self.notes.push(note);
        }
    }

    /// Returns the sum over all kinds.
    #[must_use]
    pub fn total(&self) -> KindStats {
        let mut total = KindStats::new("total", false);
        self.kinds.iter().for_each(|kind| total.merge(kind));
        total
    }

    /// Returns whether every request had a valid answer.
    #[must_use]
    pub fn all_valid(&self) -> bool {
        let mut kinds = self.kinds.iter();
        kinds.all(|kind| kind.wrong == 0 && kind.missing == 0)
    }
}

fn histogram() -> Histogram<u64> {
    // The bounds are constants that the library accepts, so this never fails.
    Histogram::new_with_bounds(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS).unwrap_or_else(|_| {
        unreachable!(
            "bounds from 1 to {MAX_RECORDED_US} with {SIGNIFICANT_DIGITS} digits are valid"
        )
    })
}
