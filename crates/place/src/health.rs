//! Probation of workers that fail tasks which succeed elsewhere, and their stepwise return.

use std::time;

const MAX_RESULTS: u32 = 16;
const MIN_FAILURES: u32 = 4;
const SUCCESSES_PER_STEP: u32 = 3;
const STEP_LIMITS: [u32; 3] = [1, 2, 4];
const MIN_BACKOFF: time::Duration = time::Duration::from_secs(1);
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(60);

/// Result of a run as evidence about its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunResult {
    /// The run succeeded.
    Success,
    /// The run failed although its kind mostly succeeds elsewhere, or by the worker's own fault.
    Failure,
    /// The run failed, as its kind does on other workers too.
    Inconclusive,
}

/// How many runs a worker may get, by its recent results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// As many as it has capacity for.
    Good,
    /// A limited number of trial runs.
    Probation {
        /// Index into [`STEP_LIMITS`].
        step: usize,
        /// Successes at this step.
        successes: u32,
        /// Earliest time of the next trial run.
        retry_at: time::Instant,
        /// Delay before the next trial run after another failure.
        backoff: time::Duration,
    },
}

/// The recent results of one worker.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    /// Latest results, the newest in bit 0; a set bit is a failure.
    results: u32,
    count: u32,
    pub(crate) standing: Standing,
}

impl Health {
    pub(crate) fn new() -> Self {
        Self {
            results: 0,
            count: 0,
            standing: Standing::Good,
        }
    }

    /// Returns the limit on concurrent trial runs, or `None` for a worker in good standing.
    pub(crate) fn probation_limit(&self, now: time::Instant) -> Option<u32> {
        match self.standing {
            Standing::Good => None,
            Standing::Probation { retry_at, .. } if now < retry_at => Some(0),
            Standing::Probation { step, .. } => Some(STEP_LIMITS[step]),
        }
    }

    /// Records a result; `may_enter_probation` tells whether one more worker may be on probation.
    pub(crate) fn record(
        &mut self,
        result: RunResult,
        may_enter_probation: bool,
        now: time::Instant,
    ) {
        let failed = match result {
            RunResult::Inconclusive => return,
            RunResult::Success => false,
            RunResult::Failure => true,
        };
        self.results = (self.results << 1 | u32::from(failed)) & ((1 << MAX_RESULTS) - 1);
        self.count = (self.count + 1).min(MAX_RESULTS);
        match self.standing {
            Standing::Good if may_enter_probation && self.exceeds_failure_limit() => {
                self.enter_probation(MIN_BACKOFF, now)
            }
            Standing::Good => {}
            Standing::Probation { backoff, .. } if failed => self.enter_probation(backoff, now),
            Standing::Probation { .. } => self.step_up(),
        }
    }

    fn exceeds_failure_limit(&self) -> bool {
        let failures = self.results.count_ones();
        failures >= MIN_FAILURES && 2 * failures >= self.count
    }

    fn enter_probation(&mut self, backoff: time::Duration, now: time::Instant) {
        self.standing = Standing::Probation {
            step: 0,
            successes: 0,
            retry_at: now + backoff,
            backoff: (backoff * 2).min(MAX_BACKOFF),
        };
    }

    fn step_up(&mut self) {
        let Standing::Probation {
            step, successes, ..
        } = &mut self.standing
        else {
            return;
        };
        *successes += 1;
        if *successes < SUCCESSES_PER_STEP {
            return;
        }
        *successes = 0;
        *step += 1;
        if *step == STEP_LIMITS.len() {
            *self = Self::new();
        }
    }
}

/// Results of the tasks of one customer and kind.
#[derive(Debug, Default)]
pub(crate) struct KindHealth {
    last_failed_on: Option<usize>,
    successes: u32,
    failures: u32,
}

impl KindHealth {
    /// Records a result and returns what it says about the worker.
    ///
    /// Consecutive failures on the same worker count once for the kind, so that one faulty worker
    /// that runs most of the tasks does not make the kind appear faulty.
    pub(crate) fn classify(
        &mut self,
        worker: usize,
        succeeded: bool,
        worker_fault: bool,
    ) -> RunResult {
        if succeeded {
            self.successes += 1;
            self.decay();
            return RunResult::Success;
        }
        if self.last_failed_on != Some(worker) {
            self.failures += 1;
        }
        self.last_failed_on = Some(worker);
        self.decay();
        if worker_fault || self.successes > self.failures {
            RunResult::Failure
        } else {
            RunResult::Inconclusive
        }
    }

    fn decay(&mut self) {
        if self.successes + self.failures > 64 {
            self.successes /= 2;
            self.failures /= 2;
        }
    }
}
