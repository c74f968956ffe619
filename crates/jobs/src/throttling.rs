//! Throttling of best-effort runs (`fills_idle`): they slow down latency-sensitive runs (those with
//! a `target_tail_ms`) on the same worker, and are throttled where a tail latency gets too high.

use std::sync;
use std::time;

use crate::event;
use crate::runs::run_name;
use crate::scheduler;
use crate::worker;
use crate::worker_api;

/// Shortest time between two changes on a worker: it reports the tail latency of the last half
/// second, and a change takes effect within about a tenth of a second.
const CHANGE_INTERVAL: time::Duration = time::Duration::from_millis(600);
/// Longest time for which a worker may delay a listing while runs of both kinds share its
/// processors: the listing reports the tail latencies by which the share is adjusted.
pub(crate) const MAX_SHARED_LISTING_WAIT: time::Duration = time::Duration::from_millis(400);
/// Tail latency below which the share is raised, as a multiple of its target.
const RAISE_BELOW: f64 = 0.75;
/// Tail latency above which the share is set to 0 at once, as a multiple of its target.
const PAUSE_ABOVE: f64 = 1.4;
/// Divisor of the share while a tail latency is above its target.
const CUT_DIVISOR: u32 = 3;
/// Share below which a cut sets it to 0, in percent.
const MIN_PERCENT: u32 = 12;
/// Amount by which the share is raised at once, in percentage points.
const RAISE_POINTS: u32 = 8;
/// Share from which a new leader adjusts, as it does not know the current one, in percent.
const INHERITED_PERCENT: u32 = 30;

/// The share of idle processors that best-effort runs of a worker may use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Throttling {
    pub(crate) percent: u32,
    changed_at: Option<time::Instant>,
}

impl Default for Throttling {
    fn default() -> Self {
        Self {
            percent: 100,
            changed_at: None,
        }
    }
}

impl Throttling {
    /// Updates the share by the worst tail latency of the latency-sensitive runs, as a multiple of
    /// its target; returns whether the share changes.
    pub(crate) fn update_share(&mut self, tail: f64, now: time::Instant) -> bool {
        let is_due = self
            .changed_at
            .is_none_or(|at| now.saturating_duration_since(at) >= CHANGE_INTERVAL);
        if !is_due {
            return false;
        }
        let percent = match tail {
            tail if tail > PAUSE_ABOVE => 0,
            tail if tail > 1.0 => Some(self.percent / CUT_DIVISOR)
                .filter(|percent| *percent >= MIN_PERCENT)
                .unwrap_or_default(),
            tail if tail < RAISE_BELOW => (self.percent + RAISE_POINTS).min(100),
            _ => self.percent,
        };
        let changes = percent != self.percent;
        if changes {
            self.percent = percent;
            self.changed_at = Some(now);
        }
        changes
    }

    /// Continues with a cautious share, as the one that an earlier leader set is not known.
    pub(crate) fn reset_to_inherited(&mut self) {
        self.percent = INHERITED_PERCENT;
    }
}

impl worker::Worker {
    /// Returns whether latency-sensitive and best-effort runs share the worker's processors.
    pub(crate) fn has_shared_processors(&self) -> bool {
        let has_latency_target = self.runs.values().any(|run| run.target_tail_ms.is_some());
        has_latency_target && self.runs.values().any(|run| run.fills_idle)
    }

    /// Returns the worst tail latency of the listed runs as a multiple of its target.
    fn worst_tail(&self, rows: &[worker_api::RunningRow]) -> Option<f64> {
        let tails = rows.iter().filter_map(|row| {
            let target_ms = self.runs.get(&row.run)?.target_tail_ms?;
            Some(f64::from(row.usage?) / f64::from(target_ms))
        });
        tails.max_by(f64::total_cmp)
    }
}

impl scheduler::Scheduler {
    /// Adjusts the share of best-effort runs by the tail latencies that a worker lists.
    pub(crate) fn adjust_throttling(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        rows: &[worker_api::RunningRow],
        clock: event::Clock,
    ) {
        let term = self.term;
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        if !worker.runs.values().any(|run| run.fills_idle) {
            worker.throttling = Throttling::default();
            return;
        }
        let tail = worker.worst_tail(rows);
        let changes = worker
            .throttling
            .update_share(tail.unwrap_or_default(), clock.now);
        let percent = worker.throttling.percent;
        if changes {
            log::info!(
                worker:% = incarnation.worker_id,
                percent,
                tail_percent_of_target = (tail.unwrap_or_default() * 100.0) as u32;
                "share of idle processors for best-effort runs changed"
            );
        }
        let Some(report) = &worker.report else {
            return;
        };
        let address = sync::Arc::clone(&report.address);
        for (key, run) in &mut worker.runs {
            let is_up_to_date = !run.fills_idle || run.percent == Some(percent);
            if is_up_to_date || run.phase != worker::RunPhase::Running {
                continue;
            }
            // Until the worker has confirmed the share, it is unknown.
            run.percent = None;
            self.actions
                .push(event::Action::Throttle(worker_api::ThrottleOrder {
                    incarnation: incarnation.clone(),
                    address: sync::Arc::clone(&address),
                    run: *key,
                    percent,
                    term,
                }));
        }
    }

    pub(crate) fn on_throttled(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        key: model::RunKey,
        percent: u32,
        outcome: worker_api::ThrottleOutcome,
    ) {
        match outcome {
            worker_api::ThrottleOutcome::Accepted => {
                if let Some(run) = self.run_mut(incarnation, key) {
                    run.percent = Some(percent);
                }
            }
            worker_api::ThrottleOutcome::Fenced => self.actions.push(event::Action::StepDown),
            worker_api::ThrottleOutcome::Failed => {
                log::info!(
                    run:% = run_name(key),
                    worker:% = incarnation.worker_id,
                    percent;
                    "share of a best-effort run not set; retrying after the next listing"
                );
            }
        }
    }
}
