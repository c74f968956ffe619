//! Prediction of run times and resource peaks from the history of each customer and kind.

use std::sync;
use std::time;

use crate::histogram;

const MAX_KINDS: usize = 4096;
const MIN_OBSERVATIONS: u32 = 3;
const SHORT_RUN_PERCENTILE: u32 = 90;
const PEAK_PERCENTILE: u32 = 95;
const MAX_UNOBSERVED_SHORT_STARTS: u32 = 4;
const UNDECLARED_RUN_FACTOR: u32 = 4;
const MIN_SERVICE_RUN: time::Duration = time::Duration::from_secs(60);

/// Index of a customer and kind; [`SHARED_KIND`] stands for all beyond [`MAX_KINDS`].
pub(crate) type KindIndex = usize;

const SHARED_KIND: KindIndex = 0;

/// Predicted run time and resources of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Prediction {
    /// Mean run time.
    pub(crate) run_time: time::Duration,
    /// Whether the task counts as short.
    pub(crate) short: bool,
    /// Largest resources it is likely to use.
    pub(crate) peak: model::Demand,
}

#[derive(Debug)]
struct Kind {
    runs_ms: histogram::Histogram,
    processors_milli: histogram::Histogram,
    memory_mb: histogram::Histogram,
    /// Tasks started as short before enough runs were observed.
    unobserved_short_starts: u32,
    /// Prediction from the histograms, updated at each observation.
    learned: Option<Prediction>,
}

impl Kind {
    fn new() -> Self {
        Self {
            runs_ms: histogram::Histogram::new(),
            processors_milli: histogram::Histogram::new(),
            memory_mb: histogram::Histogram::new(),
            unobserved_short_starts: 0,
            learned: None,
        }
    }

    fn update_prediction(&mut self, short_run: time::Duration) {
        if self.runs_ms.count() < MIN_OBSERVATIONS {
            return;
        }
        let high_run_time =
            time::Duration::from_millis(self.runs_ms.percentile(SHORT_RUN_PERCENTILE));
        self.learned = Some(Prediction {
            run_time: time::Duration::from_millis(self.runs_ms.mean().max(1)),
            short: high_run_time <= short_run,
            peak: model::Demand {
                processors_milli: clamp(self.processors_milli.percentile(PEAK_PERCENTILE)),
                memory_mb: clamp(self.memory_mb.percentile(PEAK_PERCENTILE)),
                accelerators: 0,
            },
        });
    }
}

type Kinds = indexmap::IndexMap<sync::Arc<str>, KindIndex>;

/// Predicts run times and resource peaks, with bounded memory.
#[derive(Debug)]
pub(crate) struct Predictor {
    short_run: time::Duration,
    indexes: indexmap::IndexMap<model::CustomerId, Kinds>,
    kinds: Vec<Kind>,
}

impl Predictor {
    pub(crate) fn new(short_run: time::Duration) -> Self {
        Self {
            short_run,
            indexes: indexmap::IndexMap::new(),
            kinds: vec![Kind::new()],
        }
    }

    /// Returns the index of a customer's kind, or [`SHARED_KIND`] if there are too many.
    pub(crate) fn index(&mut self, customer_id: &model::CustomerId, kind: &str) -> KindIndex {
        let known = self.indexes.get(customer_id);
        if let Some(index) = known.and_then(|kinds| kinds.get(kind)) {
            return *index;
        }
        if self.kinds.len() >= MAX_KINDS {
            return SHARED_KIND;
        }
        self.kinds.push(Kind::new());
        let index = self.kinds.len() - 1;
        let kinds = self.indexes.entry(customer_id.clone()).or_default();
        kinds.insert(kind.into(), index);
        index
    }

    /// Records the run time and peak of a finished task.
    pub(crate) fn observe(&mut self, index: KindIndex, run: time::Duration, peak: model::Demand) {
        let kind = &mut self.kinds[index];
        kind.runs_ms.record(run.as_millis() as u64);
        kind.processors_milli
            .record(u64::from(peak.processors_milli));
        kind.memory_mb.record(u64::from(peak.memory_mb));
        kind.update_prediction(self.short_run);
    }

    /// Returns the prediction for a task of the kind at `index`.
    ///
    /// Before enough runs are observed, the declared run time counts and only a few tasks may start
    /// as short, so that a false declaration occupies few of the slots kept for short tasks.
    pub(crate) fn predict(&self, index: KindIndex, spec: &model::TaskSpec) -> Prediction {
        let kind = &self.kinds[index];
        let mut prediction = kind
            .learned
            .unwrap_or_else(|| self.predict_unobserved(kind, spec));
        if spec.class == model::Class::Service {
            prediction.run_time = prediction.run_time.max(MIN_SERVICE_RUN);
        }
        prediction.short &= spec.class == model::Class::Batch;
        prediction
    }

    /// Records that a task of the kind at `index` starts as a short one.
    pub(crate) fn record_short_start(&mut self, index: KindIndex) {
        let kind = &mut self.kinds[index];
        if kind.learned.is_none() {
            kind.unobserved_short_starts = kind.unobserved_short_starts.saturating_add(1);
        }
    }

    /// Reverts [`Predictor::record_short_start`] for a task that did not start.
    pub(crate) fn undo_short_start(&mut self, index: KindIndex) {
        let kind = &mut self.kinds[index];
        kind.unobserved_short_starts = kind.unobserved_short_starts.saturating_sub(1);
    }

    fn predict_unobserved(&self, kind: &Kind, spec: &model::TaskSpec) -> Prediction {
        let declared = spec.declared_run_ms.map(time::Duration::from_millis);
        let run_time = declared.unwrap_or(self.short_run * UNDECLARED_RUN_FACTOR);
        Prediction {
            run_time,
            short: run_time <= self.short_run
                && kind.unobserved_short_starts < MAX_UNOBSERVED_SHORT_STARTS,
            peak: model::Demand::default(),
        }
    }
}

fn clamp(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
