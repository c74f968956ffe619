//! Runs on workers that do not answer: their tasks are not started elsewhere while the runs may exist.

use std::time;

use crate::event;
use crate::maps;
use crate::scheduler;
use crate::settings;
use crate::worker;

/// Silence of a worker from which its runs are reported.
const REPORT_AFTER: time::Duration = time::Duration::from_secs(3);
/// Time between two reports of a worker.
const REPORT_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// Most reports of all workers together in `REPORT_INTERVAL`: hundreds may be cut off at once.
const MAX_REPORTS: usize = 20;

/// What decides how long a run on a silent worker is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeepReason {
    /// What an earlier leader may have ordered.
    EarlierLeader,
    /// The lease that this leader has granted.
    Lease,
    /// The longest lease, as the next incarnation of the worker may have executed a start order.
    Unproven,
}

impl KeepReason {
    fn as_str(self) -> &'static str {
        match self {
            Self::EarlierLeader => "earlier_leader",
            Self::Lease => "lease",
            Self::Unproven => "unproven",
        }
    }
}

/// Number of runs that may exist on workers that do not answer, by what decides how long they are kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeptRuns {
    /// What an earlier leader may have ordered.
    pub earlier_leader: usize,
    /// The lease that this leader has granted.
    pub lease: usize,
    /// The longest lease, as the next incarnation of the worker may have executed a start order.
    pub unproven: usize,
}

impl KeptRuns {
    fn add(&mut self, reason: KeepReason) {
        let count = match reason {
            KeepReason::EarlierLeader => &mut self.earlier_leader,
            KeepReason::Lease => &mut self.lease,
            KeepReason::Unproven => &mut self.unproven,
        };
        *count += 1;
    }
}

/// When runs on silent workers were reported.
#[derive(Debug, Default)]
pub(crate) struct KeptRunReports {
    /// By worker, of those that are still silent.
    reported_at: maps::HashMap<model::WorkerIncarnation, time::Instant>,
    interval_started_at: Option<time::Instant>,
    in_interval: usize,
}

impl KeptRunReports {
    /// Returns how many more reports are within the limit.
    fn left_in_interval(&mut self, now: time::Instant) -> usize {
        let is_over = self
            .interval_started_at
            .is_none_or(|at| now.saturating_duration_since(at) >= REPORT_INTERVAL);
        if is_over {
            self.interval_started_at = Some(now);
            self.in_interval = 0;
        }
        MAX_REPORTS - self.in_interval
    }

    fn is_due(&self, incarnation: &model::WorkerIncarnation, now: time::Instant) -> bool {
        let reported_at = self.reported_at.get(incarnation);
        reported_at.is_none_or(|at| now.saturating_duration_since(*at) >= REPORT_INTERVAL)
    }

    fn record(&mut self, incarnation: &model::WorkerIncarnation, now: time::Instant) {
        self.reported_at.insert(incarnation.clone(), now);
        self.in_interval += 1;
    }
}

/// The runs of one silent worker that may exist.
struct SilentWorker<'a> {
    worker: &'a worker::Worker,
    settings: &'a settings::Settings,
}

impl<'a> SilentWorker<'a> {
    /// Returns `None` if the worker answers.
    fn new(worker: &'a worker::Worker, settings: &'a settings::Settings) -> Option<Self> {
        let is_silent = worker.silent_since.is_some() || worker.report.is_none();
        is_silent.then_some(Self { worker, settings })
    }

    /// Returns each run that may exist, with what decides how long it is kept, and until when that is.
    fn runs(&self) -> impl Iterator<Item = (KeepReason, time::Instant)> {
        let runs = self.worker.runs.values();
        // No order has been sent for a planned run.
        let ordered = runs.filter(|run| run.phase != worker::RunPhase::Planned);
        ordered.map(|run| {
            let until = self.worker.run_expires_at(run, self.settings);
            (self.reason(run, until), until)
        })
    }

    fn reason(&self, run: &worker::WorkerRun, until: time::Instant) -> KeepReason {
        let worker = self.worker;
        let has_own_lease = worker
            .lease_expires_at
            .is_some_and(|at| at >= worker.expires_at());
        // A run that was moved to the next incarnation of its worker has no lease there that is known.
        let is_moved = run.ordered_at.is_some() && !run.is_proven && !has_own_lease;
        if until > worker.expires_at() || is_moved {
            KeepReason::Unproven
        } else if has_own_lease && run.phase != worker::RunPhase::Inherited {
            KeepReason::Lease
        } else {
            KeepReason::EarlierLeader
        }
    }

    /// Returns since when this leader has waited for an answer.
    fn silent_since(&self) -> Option<time::Instant> {
        let found_at = self.worker.runs.values().map(|run| run.planned_at).min();
        self.worker.silent_since.or(found_at)
    }
}

impl scheduler::Scheduler {
    /// Counts the runs that may exist on workers that do not answer.
    pub(crate) fn count_kept_runs(&self) -> KeptRuns {
        let workers = self.workers.values();
        let silent = workers.filter_map(|worker| SilentWorker::new(worker, &self.settings));
        let mut kept = KeptRuns::default();
        for worker in silent {
            worker.runs().for_each(|(reason, _)| kept.add(reason));
        }
        kept
    }

    /// Reports the runs that may exist on workers that have not answered for long, those first that were
    /// reported least recently.
    pub(crate) fn report_kept_runs(&mut self, clock: event::Clock) {
        let (workers, settings) = (&self.workers, &self.settings);
        let silent = |incarnation: &model::WorkerIncarnation| {
            let worker = workers.get(incarnation)?;
            SilentWorker::new(worker, settings).filter(|_| !worker.runs.is_empty())
        };
        let reports = &mut self.kept_run_reports;
        reports
            .reported_at
            .retain(|incarnation, _| silent(incarnation).is_some());
        let due = workers.iter().filter_map(|(incarnation, _)| {
            let worker = silent(incarnation)?;
            let waited = clock.now.saturating_duration_since(worker.silent_since()?);
            let is_due = waited >= REPORT_AFTER && reports.is_due(incarnation, clock.now);
            is_due.then_some((incarnation, worker, waited))
        });
        let mut due: Vec<_> = due.collect();
        if due.is_empty() {
            return;
        }
        let left = reports.left_in_interval(clock.now);
        due.sort_by_key(|(incarnation, ..)| reports.reported_at.get(*incarnation).copied());
        for (incarnation, silent, waited) in due.into_iter().take(left) {
            let Some((reason, until)) = silent.runs().max_by_key(|(_, until)| *until) else {
                continue;
            };
            reports.record(incarnation, clock.now);
            log::info!(
                worker:% = incarnation.worker_id,
                born_ms = incarnation.born_ms,
                runs = silent.runs().count(),
                silent_ms = waited.as_millis() as u64,
                has_answered = silent.worker.is_fenced,
                left_ms = until.saturating_duration_since(clock.now).as_millis() as u64,
                reason = reason.as_str();
                "runs kept on a worker that does not answer"
            );
        }
    }
}
