//! The state of one incarnation of a worker: the time from a start of the worker to its end or
//! restart.

use std::collections;
use std::sync;
use std::time;

use crate::maps;
use crate::restarts;
use crate::settings;
use crate::speed;
use crate::speed_tracking;
use crate::takeover;
use crate::tenancy;
use crate::throttling;
use crate::worker_api;
use crate::worker_quality;

/// Start orders sent for one run before the run is abandoned and stopped.
const MAX_START_ATTEMPTS: u32 = 3;

/// Most removed runs with an unanswered start order that are kept for a worker. Of further ones, the next
/// incarnation may execute a delayed order.
const MAX_REMOVED_UNANSWERED: usize = 256;
/// Age of a worker's last answer from which it may have restarted since.
const MAX_ANSWER_AGE: time::Duration = time::Duration::from_millis(200);

/// One incarnation of a worker, as the leader sees it.
#[derive(Debug)]
pub(crate) struct Worker {
    /// The newest directory report; `None` if the incarnation is known only from stored tasks.
    pub(crate) report: Option<worker_api::WorkerReport>,
    /// Until when runs may be started by `report`; `None` if it has never been current.
    pub(crate) report_expires_at: Option<time::Instant>,
    /// Whether the directory lists this incarnation.
    pub(crate) is_listed: bool,
    /// Whether it has answered under the leader's term, and so rejects orders of earlier leaders.
    pub(crate) is_fenced: bool,
    /// Its clock in milliseconds, and when that reading was received.
    clock: Option<(i64, time::Instant)>,
    /// Every run that may exist there.
    pub(crate) runs: maps::IndexMap<model::RunKey, WorkerRun>,
    /// Sum of the demands of `runs`; exceeds the capacity if that has shrunk since they started.
    pub(crate) used: model::Demand,
    /// Number of `runs` whose demand is unknown, which `used` does not include.
    unknown_demands: usize,
    /// Removed runs with a start order that was not answered, or not yet, and may be executed by the next
    /// incarnation, which does not know that they have ended.
    removed_unanswered: maps::IndexMap<model::RunKey, WorkerRun>,
    /// Sequence numbers of listed ends that the worker must still keep.
    pending_ends: collections::BTreeSet<u64>,
    /// Highest sequence number of a listed end.
    highest_end: u64,
    /// Sequence number up to which the worker has certainly forgotten ends.
    forgotten_up_to: u64,
    /// When its last listing arrived.
    answered_at: Option<time::Instant>,
    pub(crate) renewal: RenewalState,
    /// When its orders and its renewal are to be checked next; `None` for as soon as possible.
    call_check_at: Option<time::Instant>,
    /// When every run there has certainly ended that orders of this leader may keep, unless the lease is
    /// renewed again; see `expires_at`.
    pub(crate) own_expires_at: time::Instant,
    /// Leases that earlier leaders may have granted; `None` if the runs there are not inherited.
    pub(crate) inherited: Option<takeover::InheritedLease>,
    /// When this leader last sent an order that grants a lease.
    last_lease_at: Option<time::Instant>,
    /// Whether it has not answered a start order, nor anything after that.
    has_unanswered_start: bool,
    /// Whether runs were kept beyond `expires_at` since the worker last answered.
    pub(crate) keeps_runs_beyond_lease: bool,
    /// When the lease that this leader has granted last expires; runs of an earlier leader or of an
    /// earlier incarnation may go on until `expires_at()`.
    pub(crate) lease_expires_at: Option<time::Instant>,
    /// Since when it has not answered.
    pub(crate) silent_since: Option<time::Instant>,
    pub(crate) health: Health,
    pub(crate) throttling: throttling::Throttling,
    pub(crate) speed: speed_tracking::WorkerSpeed,
    pub(crate) quality: worker_quality::Quality,
    /// Whether it is avoided as its quality tells: at most a part of a pool is.
    pub(crate) is_restricted: bool,
}

/// State of the calls that renew the lease.
#[derive(Debug, Default)]
pub(crate) struct RenewalState {
    /// When the call in flight was sent.
    pub(crate) sent_at: Option<time::Instant>,
    /// Number of the call in flight.
    pub(crate) number: worker_api::RenewalNumber,
    /// Earliest time of the next call.
    pub(crate) not_before: Option<time::Instant>,
    /// Up to which sequence number the call in flight makes the worker forget ends.
    pub(crate) forgets_up_to: u64,
}

/// A run that may exist on a worker.
#[derive(Clone, Debug)]
pub(crate) struct WorkerRun {
    /// Capacity that it occupies; see `workers::counted_demand`.
    pub(crate) demand: model::Demand,
    /// Tenant whose use includes it.
    pub(crate) tenant: tenants::TenantNumber,
    /// Whether its job is not known, and so neither its demand: nothing may start beside it.
    pub(crate) has_unknown_demand: bool,
    /// Whether it is best-effort: it uses only processors that other runs leave idle.
    pub(crate) fills_idle: bool,
    /// Upper bound of the tail latency that its own users see, in milliseconds.
    pub(crate) target_tail_ms: Option<u32>,
    /// Its confirmed share of idle processors, in percent; `None` if unknown.
    pub(crate) percent: Option<u32>,
    /// Checkpoint that it resumes from; every start order of the run carries the same one.
    pub(crate) checkpoint: Option<sync::Arc<str>>,
    pub(crate) phase: RunPhase,
    /// When the run entered this phase.
    pub(crate) since: time::Instant,
    /// When the leader planned it or found it there.
    pub(crate) planned_at: time::Instant,
    /// When the worker confirmed the run to this leader; `None` before that.
    pub(crate) confirmed_at: Option<time::Instant>,
    /// Whether this incarnation is known to have executed a start order of the run: it has listed the
    /// run, or answered the order on a connection of its own.
    pub(crate) is_proven: bool,
    /// Whether a start order may have been received without an answer.
    pub(crate) unanswered: bool,
    /// Start orders sent.
    pub(crate) attempts: u32,
    /// When the last start order was sent.
    pub(crate) ordered_at: Option<time::Instant>,
    /// Whether the last start order has not been answered and has not timed out.
    pub(crate) awaits_answer: bool,
    /// Latest progress in percent, and when it last rose.
    pub(crate) progress: Option<(u32, time::Instant)>,
    /// What its worker's speed is measured by.
    pub(crate) pace: speed::Pace,
    /// Progress in percent when it was first listed, and when that was.
    pub(crate) first_progress: Option<(u32, time::Instant)>,
}

/// Phase of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// The plan to run it is not stored yet: no order has been sent.
    Planned,
    /// A start order is in flight.
    Starting,
    /// The start order was not answered; the next one is due at this time.
    Retrying(time::Instant),
    /// The worker has confirmed the run.
    Running,
    /// It must not run any more; a stop order is due at this time.
    Stopping(time::Instant),
    /// A stop order was accepted; its end is still to be listed.
    Stopped,
    /// An earlier leader may have started it, and the worker has not answered this leader yet.
    Inherited,
}

/// Health of a worker, judged by how its runs end.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    /// Failed runs since the last successful one.
    pub(crate) failures_in_row: u32,
    /// Until when no run is started there.
    pub(crate) suspended_until: Option<time::Instant>,
}

/// Consecutive failures after which a worker is suspended.
const SUSPEND_AFTER_FAILURES: u32 = 3;
/// First suspension; doubles with each further failure.
const FIRST_SUSPENSION: time::Duration = time::Duration::from_millis(1_000);
/// Longest suspension.
const MAX_SUSPENSION: time::Duration = time::Duration::from_secs(8);

impl Health {
    pub(crate) fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure and returns whether it suspends the worker.
    pub(crate) fn record_failure(&mut self, now: time::Instant) -> bool {
        self.failures_in_row += 1;
        let Some(excess) = self.failures_in_row.checked_sub(SUSPEND_AFTER_FAILURES) else {
            return false;
        };
        let pause = FIRST_SUSPENSION * 2_u32.saturating_pow(excess.min(8));
        self.suspended_until = Some(now + pause.min(MAX_SUSPENSION));
        true
    }

    pub(crate) fn is_suspended(&self, now: time::Instant) -> bool {
        self.suspended_until.is_some_and(|until| now < until)
    }
}

impl Worker {
    /// Creates an incarnation without a report that has not answered yet; its runs end by
    /// `expires_at` at the latest.
    pub(crate) fn new(expires_at: time::Instant) -> Self {
        Self {
            is_listed: false,
            report: None,
            report_expires_at: None,
            is_fenced: false,
            clock: None,
            runs: maps::IndexMap::default(),
            used: model::Demand::default(),
            unknown_demands: 0,
            removed_unanswered: maps::IndexMap::default(),
            pending_ends: collections::BTreeSet::new(),
            highest_end: 0,
            forgotten_up_to: 0,
            answered_at: None,
            renewal: RenewalState::default(),
            call_check_at: None,
            own_expires_at: expires_at,
            inherited: None,
            last_lease_at: None,
            has_unanswered_start: false,
            keeps_runs_beyond_lease: false,
            lease_expires_at: None,
            silent_since: None,
            health: Health::default(),
            throttling: throttling::Throttling::default(),
            speed: speed_tracking::WorkerSpeed::default(),
            quality: worker_quality::Quality::default(),
            is_restricted: false,
        }
    }

    /// Creates the next incarnation of this worker, which the directory does not list yet; its runs
    /// end by `expires_at` at the latest.
    pub(crate) fn unlisted_successor(
        &self,
        successor: &model::WorkerIncarnation,
        expires_at: time::Instant,
    ) -> Self {
        let report = self.report.clone().map(|report| worker_api::WorkerReport {
            incarnation: successor.clone(),
            ..report
        });
        Self {
            report,
            speed: self.speed.inherited(),
            ..Self::new(expires_at)
        }
    }

    /// Returns whether new runs may be started there.
    pub(crate) fn accepts_runs(&self, now: time::Instant) -> bool {
        self.is_listed
            && self.is_fenced
            && self.silent_since.is_none()
            && self.clock.is_some()
            && !self.health.is_suspended(now)
            && self.has_recent_report(now)
            && self.report.as_ref().is_some_and(|report| !report.draining)
    }

    /// Records its entry in the directory, by which runs may be started until `expires_at`.
    pub(crate) fn set_report(
        &mut self,
        report: worker_api::WorkerReport,
        expires_at: time::Instant,
    ) {
        if report.is_current {
            self.report_expires_at = Some(expires_at);
        }
        self.is_listed = true;
        self.report = Some(report);
        self.request_call_check();
    }

    /// Returns whether its capacity is known well enough to start runs.
    pub(crate) fn has_recent_report(&self, now: time::Instant) -> bool {
        self.report_expires_at.is_some_and(|at| now < at)
    }

    /// Makes the next pass over the workers check which calls are due; to be called after every
    /// change of the runs, the pending ends or the renewal.
    pub(crate) fn request_call_check(&mut self) {
        self.call_check_at = None;
    }

    /// Returns whether to check which calls are due.
    pub(crate) fn is_call_check_due(&self, now: time::Instant) -> bool {
        self.call_check_at.is_none_or(|at| at <= now)
    }

    /// Schedules the next check for when a call becomes due, unless a change requests one earlier;
    /// `limit` bounds the time until then.
    pub(crate) fn schedule_call_check(&mut self, limit: time::Duration, now: time::Instant) {
        let orders = self.runs.values().filter_map(|run| match run.phase {
            RunPhase::Retrying(at) | RunPhase::Stopping(at) => Some(at),
            _ => None,
        });
        let times = orders.chain(self.renewal.not_before);
        let next = times.filter(|at| *at > now).min();
        self.call_check_at = Some(next.unwrap_or(now + limit).min(now + limit));
    }

    /// Returns whether a start or stop order is due.
    pub(crate) fn has_due_orders(&self, now: time::Instant) -> bool {
        self.runs.values().any(|run| match run.phase {
            RunPhase::Retrying(at) | RunPhase::Stopping(at) => at <= now,
            _ => false,
        })
    }

    /// Returns its total capacity.
    pub(crate) fn capacity(&self) -> model::Demand {
        let report = self.report.as_ref();
        report.map_or_else(model::Demand::default, |report| report.capacity)
    }

    /// Returns its free capacity; see `free_beside`.
    pub(crate) fn free(&self) -> model::Demand {
        self.free_beside(&self.used)
    }

    /// Returns what would be free if the runs there used `used`.
    ///
    /// Nothing is free, of any resource, while one is exceeded, and beside a run of unknown demand.
    pub(crate) fn free_beside(&self, used: &model::Demand) -> model::Demand {
        let capacity = self.capacity();
        match self.unknown_demands == 0 && used.fits_in(&capacity) {
            true => capacity.minus(used),
            false => model::Demand::default(),
        }
    }

    /// Returns whether a run of `demand`, which `used` includes, fits beside the others.
    pub(crate) fn fits_beside_others(&self, demand: &model::Demand) -> bool {
        demand.fits_in(&self.free_beside(&self.used.minus(demand)))
    }

    /// Returns the number of runs of a step there, with those that are being stopped.
    pub(crate) fn run_count(&self, step: model::StepKey) -> u32 {
        let here = self.runs.keys().filter(|key| key.task.step_key() == step);
        u32::try_from(here.count()).unwrap_or(u32::MAX)
    }

    pub(crate) fn has_label(&self, label: &str) -> bool {
        let report = self.report.as_ref();
        report.is_some_and(|report| report.labels.iter().any(|one| &**one == label))
    }

    /// Adds a run and allocates its demand, also to its tenant.
    pub(crate) fn add_run(
        &mut self,
        key: model::RunKey,
        run: WorkerRun,
        usage: &mut tenants::Usage,
    ) {
        let (demand, has_unknown_demand) = (run.demand, run.has_unknown_demand);
        usage.add(run.tenant, &demand);
        if let Some(before) = self.runs.insert(key, run) {
            self.release(&before, usage);
        }
        self.used = self.used.plus(&demand);
        self.unknown_demands += usize::from(has_unknown_demand);
        self.request_call_check();
    }

    /// Removes a run and frees its demand, also of its tenant.
    pub(crate) fn remove_run(
        &mut self,
        key: &model::RunKey,
        usage: &mut tenants::Usage,
    ) -> Option<WorkerRun> {
        let run = self.runs.swap_remove(key)?;
        self.release(&run, usage);
        if run.unanswered || run.awaits_answer {
            self.removed_unanswered.insert(*key, run.clone());
            if self.removed_unanswered.len() > MAX_REMOVED_UNANSWERED {
                self.removed_unanswered.shift_remove_index(0);
            }
        }
        self.request_call_check();
        Some(run)
    }

    /// Records the result of the last start order of a run that may have been removed since.
    pub(crate) fn settle_removed(&mut self, key: &model::RunKey, is_answered: bool) {
        let Some(run) = self.removed_unanswered.get_mut(key) else {
            return;
        };
        run.awaits_answer = false;
        run.unanswered |= !is_answered;
        if !run.unanswered {
            self.removed_unanswered.shift_remove(key);
        }
    }

    /// Returns the removed runs with a start order since `sent_after` that was not answered.
    pub(crate) fn removed_unanswered(
        &self,
        sent_after: Option<time::Instant>,
    ) -> impl Iterator<Item = (&model::RunKey, &WorkerRun)> {
        let runs = self.removed_unanswered.iter();
        runs.filter(move |(_, run)| run.ordered_at >= sent_after)
    }

    /// Removes all runs, of which nothing is kept.
    pub(crate) fn clear_runs(&mut self, usage: &mut tenants::Usage) {
        for (_, run) in std::mem::take(&mut self.runs) {
            self.release(&run, usage);
        }
    }

    fn release(&mut self, run: &WorkerRun, usage: &mut tenants::Usage) {
        if let Err(error) = usage.remove(run.tenant, &run.demand) {
            log::error!(tenant = run.tenant, error:%; "use of a tenant is wrong");
        }
        self.used = self.used.minus(&run.demand);
        self.unknown_demands -= usize::from(run.has_unknown_demand);
    }

    /// Records a reading of the worker's clock.
    pub(crate) fn record_clock(&mut self, clock_ms: i64, now: time::Instant) {
        self.clock = Some((clock_ms, now));
    }

    /// Returns when it last sent a listing.
    pub(crate) fn heard_at(&self) -> Option<time::Instant> {
        self.clock.map(|(_, read_at)| read_at)
    }

    /// Returns whether its last listing is at most `age` old.
    pub(crate) fn was_heard_within(&self, age: time::Duration, now: time::Instant) -> bool {
        self.heard_at()
            .is_some_and(|at| now.saturating_duration_since(at) <= age)
    }

    /// Returns the time on the worker's clock, in milliseconds, at which a lease granted now ends;
    /// `None` if the clock is not known.
    ///
    /// The time now is estimated as on the slowest clock, so that the lease lasts no longer than
    /// `run_lease` on any.
    pub(crate) fn lease_end_ms(
        &self,
        settings: &settings::Settings,
        now: time::Instant,
    ) -> Option<i64> {
        let (clock_ms, read_at) = self.clock?;
        let passed = now.saturating_duration_since(read_at);
        let granted = passed.mul_f64(1.0 - settings.clock_drift) + settings.run_lease;
        Some(clock_ms + signed_ms(granted))
    }

    /// Records that a lease is granted now.
    pub(crate) fn record_lease(&mut self, settings: &settings::Settings, now: time::Instant) {
        let expires_at = now + settings.lease_horizon();
        self.lease_expires_at = Some(expires_at);
        self.own_expires_at = self.own_expires_at.max(expires_at);
        self.last_lease_at = Some(now);
    }

    /// Returns when every run there has certainly ended, unless the lease is renewed again.
    pub(crate) fn expires_at(&self) -> time::Instant {
        let inherited = self.inherited.map(|lease| lease.expires_at);
        inherited.map_or(self.own_expires_at, |at| self.own_expires_at.max(at))
    }

    /// Returns when a run counts as ended if the worker does not answer any more.
    ///
    /// What this incarnation is not known to have executed may have been executed late by the next one,
    /// whose clock starts anew, so that it grants the longest lease.
    /// Orders that the network delays beyond `restarts::MAX_UNDELAYED_CALL` are not counted before the next
    /// incarnation is noticed: waiting for these would keep each lost task for 22 s.
    pub(crate) fn run_expires_at(
        &self,
        run: &WorkerRun,
        settings: &settings::Settings,
    ) -> time::Instant {
        let expires_at = self.expires_at();
        if !self.may_be_on_successor(run) {
            return expires_at;
        }
        let by_own = self.last_lease_at;
        let by_own = by_own.map(|at| at + restarts::undelayed_horizon(settings));
        let by_earlier = self.inherited.map(|lease| lease.unproven_expire_at);
        expires_at.max(by_own.max(by_earlier).unwrap_or(expires_at))
    }

    /// Returns whether a later incarnation may have executed a start order of the run.
    fn may_be_on_successor(&self, run: &WorkerRun) -> bool {
        if run.phase == RunPhase::Planned {
            return false;
        }
        // The order that was not answered may have been executed after this incarnation had ended,
        // unless this incarnation was heard of after the time that an undelayed order takes.
        let has_pending_order = run.unanswered
            && run.ordered_at.is_some_and(|ordered_at| {
                let executed_by = ordered_at + restarts::MAX_UNDELAYED_CALL;
                self.heard_at().is_none_or(|at| at < executed_by)
            });
        !run.is_proven || has_pending_order
    }

    /// Returns whether no order of this leader can have an effect any more, on this incarnation or on the
    /// next one.
    pub(crate) fn are_orders_over(
        &self,
        settings: &settings::Settings,
        now: time::Instant,
    ) -> bool {
        let last = self.last_lease_at;
        last.is_none_or(|at| at + restarts::successor_horizon(settings) < now)
    }

    /// Returns when every run has certainly ended, on this incarnation or on the next one, unless an order
    /// of an earlier leader or a later order grants a lease.
    ///
    /// Restarts do not extend it: each order for an earlier incarnation was counted there, as of when it
    /// was sent.
    pub(crate) fn leases_end_at(&self, settings: &settings::Settings) -> time::Instant {
        let last = self.last_lease_at;
        last.map_or(self.expires_at(), |at| {
            self.expires_at()
                .max(at + restarts::successor_horizon(settings))
        })
    }

    /// Records whether it has answered a start order.
    pub(crate) fn record_start_answer(&mut self, is_answered: bool) {
        self.has_unanswered_start = !is_answered;
        self.request_call_check();
    }

    /// Returns whether it must be asked for a listing, as it has not answered a start order.
    pub(crate) fn has_unanswered_start(&self) -> bool {
        self.has_unanswered_start
    }

    /// Returns whether runs may be planned there; orders of runs that are planned already, and their
    /// retries, need only `accepts_runs`.
    ///
    /// While a start order is unanswered the worker may be gone, and what is started there would have to
    /// be kept for long.
    pub(crate) fn accepts_plans(&self, now: time::Instant) -> bool {
        self.accepts_runs(now) && !self.has_unanswered_start
    }

    /// Updates the worker's health by how a run ended.
    pub(crate) fn record_run_end(
        &mut self,
        end: worker_api::RunEnd,
        incarnation: &model::WorkerIncarnation,
        now: time::Instant,
    ) {
        if end == worker_api::RunEnd::Done {
            self.health.record_success();
        } else if end == worker_api::RunEnd::Failed && self.health.record_failure(now) {
            log::warn!(
                worker:% = incarnation.worker_id,
                failures_in_row = self.health.failures_in_row;
                "worker suspended after consecutive failed runs"
            );
        }
    }

    /// Records a listed end; returns whether it is new.
    pub(crate) fn record_listed_end(&mut self, sequence: u64) -> bool {
        let is_new = sequence > self.highest_end;
        if is_new {
            self.highest_end = sequence;
            self.pending_ends.insert(sequence);
        }
        is_new
    }

    /// Marks an end as processed, so that the worker may forget it.
    pub(crate) fn mark_end_processed(&mut self, sequence: u64) {
        self.pending_ends.remove(&sequence);
        self.request_call_check();
    }

    /// Returns the sequence number up to which the worker may forget ends.
    fn processed_up_to(&self) -> u64 {
        let first_pending = self.pending_ends.first();
        first_pending.map_or(self.highest_end, |first| first - 1)
    }

    /// Returns whether the worker keeps ends that it may forget.
    pub(crate) fn keeps_processed_ends(&self) -> bool {
        self.processed_up_to() > self.forgotten_up_to
    }

    /// Returns the sequence number up to which a renewal sent now makes the worker forget ends; 0 if
    /// it must not.
    ///
    /// The numbers begin anew when the worker restarts, and the next incarnation would forget ends
    /// that nobody has seen: this one must have answered a moment ago. How long its answer was on its
    /// way does not count, or a worker behind a slow relay would keep its ends for ever.
    pub(crate) fn forget_up_to(&self, now: time::Instant) -> u64 {
        let has_just_answered = self.silent_since.is_none()
            && self
                .answered_at
                .is_some_and(|at| now.saturating_duration_since(at) < MAX_ANSWER_AGE);
        match has_just_answered && self.keeps_processed_ends() {
            true => self.processed_up_to(),
            false => 0,
        }
    }

    /// Records that the worker has answered the last renewal.
    pub(crate) fn record_answer(&mut self, now: time::Instant) {
        self.answered_at = Some(now);
        self.has_unanswered_start = false;
        self.forgotten_up_to = self.forgotten_up_to.max(self.renewal.forgets_up_to);
    }

    /// Returns whether listed ends wait for a commit.
    pub(crate) fn has_pending_ends(&self) -> bool {
        !self.pending_ends.is_empty()
    }
}

impl WorkerRun {
    /// Creates a run in `phase`.
    pub(crate) fn new(demand: model::Demand, phase: RunPhase, now: time::Instant) -> Self {
        Self {
            demand,
            tenant: tenancy::NO_TENANT,
            has_unknown_demand: false,
            fills_idle: false,
            target_tail_ms: None,
            percent: Some(100),
            checkpoint: None,
            phase,
            since: now,
            planned_at: now,
            confirmed_at: None,
            is_proven: false,
            unanswered: false,
            attempts: 0,
            ordered_at: None,
            awaits_answer: false,
            progress: None,
            pace: speed::Pace::default(),
            first_progress: None,
        }
    }

    /// Sets whether its incarnation is known to have executed its start order, and no copy of that is pending.
    pub(crate) fn with_proof(mut self, is_proven: bool) -> Self {
        self.is_proven = is_proven;
        self
    }

    /// Sets the tenant whose use includes the run.
    pub(crate) fn with_tenant(mut self, tenant: tenants::TenantNumber) -> Self {
        self.tenant = tenant;
        self
    }

    /// Marks the run's demand as unknown.
    pub(crate) fn with_unknown_demand(mut self) -> Self {
        self.has_unknown_demand = true;
        self
    }

    /// Sets how the run shares processors, as its step specifies.
    pub(crate) fn with_sharing_of(mut self, step: &model::Step) -> Self {
        self.fills_idle = step.fills_idle;
        self.target_tail_ms = step.target_tail_ms;
        self
    }

    /// Sets the checkpoint that the run resumes from.
    pub(crate) fn with_checkpoint(mut self, checkpoint: Option<sync::Arc<str>>) -> Self {
        self.checkpoint = checkpoint;
        self
    }

    /// Makes it a run of the next incarnation of its worker, which has not listed it yet.
    pub(crate) fn moved(mut self, phase: RunPhase, now: time::Instant) -> Self {
        // Answers to orders for the earlier incarnation are not waited for.
        self.unanswered |= std::mem::take(&mut self.awaits_answer);
        self.confirmed_at = None;
        self.is_proven = false;
        self.progress = None;
        self.pace = speed::Pace::default();
        self.first_progress = None;
        self.percent = None;
        self.set_phase(phase, now);
        self
    }

    /// Returns whether the worker has listed it.
    pub(crate) fn is_listed(&self) -> bool {
        self.progress.is_some()
    }

    pub(crate) fn set_phase(&mut self, phase: RunPhase, now: time::Instant) {
        if phase == RunPhase::Running {
            self.confirmed_at.get_or_insert(now);
        }
        self.phase = phase;
        self.since = now;
    }

    /// Returns whether it depends on the answer in flight whether the run may have started.
    pub(crate) fn is_start_undecided(&self) -> bool {
        self.awaits_answer && !self.unanswered && self.confirmed_at.is_none()
    }

    /// Returns whether no start order of the run can be executed after `at`, by a worker that has
    /// answered this leader.
    ///
    /// Without an order of this leader, the run was found after all orders of this leader for it, or
    /// inherited: the worker then rejects the orders that may be on their way.
    pub(crate) fn are_starts_over(&self, at: time::Instant) -> bool {
        let last = self.ordered_at.unwrap_or(self.planned_at);
        !self.awaits_answer && last + restarts::MAX_ORDER_DELAY < at
    }

    /// Records that the worker has listed the end of the run, so that its start order was executed; of earlier copies,
    /// some may not have been.
    pub(crate) fn record_executed(&mut self) {
        self.awaits_answer &= self.unanswered;
    }

    /// Returns whether another start order may be sent.
    pub(crate) fn may_retry_start(&self) -> bool {
        self.attempts < MAX_START_ATTEMPTS
    }
}

fn signed_ms(duration: time::Duration) -> i64 {
    i64::try_from(duration.as_millis()).unwrap_or(i64::MAX / 2)
}
