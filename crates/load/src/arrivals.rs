//! Random arrival times of requests.

use std::time;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs;

use crate::experiment;

/// The arrival of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Intended send time, since the start of the experiment.
    pub at: time::Duration,
    /// Index of the kind in the experiment.
    pub kind: usize,
    /// Run time, in milliseconds.
    pub run_ms: u64,
}

/// Poisson arrivals at the experiment's rate; the same seed gives the same arrivals.
#[derive(Debug)]
pub struct Arrivals<'a> {
    experiment: &'a experiment::Experiment,
    rng: rngs::StdRng,
    at_s: f64,
}

impl<'a> Arrivals<'a> {
    /// Creates an iterator over all arrivals of the experiment.
    #[must_use]
    pub fn new(experiment: &'a experiment::Experiment) -> Self {
        Self {
            experiment,
            rng: rngs::StdRng::seed_from_u64(experiment.seed),
            at_s: 0.0,
        }
    }

    fn draw_kind(&mut self) -> usize {
        let kinds = &self.experiment.kinds;
        let total: u64 = kinds.iter().map(|kind| kind.share).sum();
        let mut drawn = self.rng.random_range(0..total.max(1));
        for (index, kind) in kinds.iter().enumerate() {
            if drawn < kind.share {
                return index;
            }
            drawn -= kind.share;
        }
        0
    }

    fn draw_run_ms(&mut self, kind: usize) -> u64 {
        let kind = &self.experiment.kinds[kind];
        if self.rng.random_bool(kind.straggler_share) {
            kind.run_ms * kind.straggler_factor
        } else {
            kind.run_ms
        }
    }
}

impl Iterator for Arrivals<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let peak_rate = self.experiment.peak_rate();
        // Thinning: arrivals at the peak rate are accepted with probability rate / peak rate, which
        // gives a Poisson process at the current rate.
        loop {
            let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
            self.at_s -= uniform.ln() / peak_rate;
            let at = time::Duration::from_secs_f64(self.at_s);
            if at >= self.experiment.duration {
                return None;
            }
            let rate = self.experiment.rate_at(at);
            if self.rng.random_bool((rate / peak_rate).clamp(0.0, 1.0)) {
                let kind = self.draw_kind();
                let run_ms = self.draw_run_ms(kind);
                return Some(Arrival { at, kind, run_ms });
            }
        }
    }
}
