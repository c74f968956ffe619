//! Workers: directory reports, lease renewals and listings.

use std::sync;
use std::time;

use crate::draining;
use crate::event;
use crate::job;
use crate::loss_reason;
use crate::maps;
use crate::restarts;
use crate::runs;
use crate::scheduler;
use crate::tenancy;
use crate::throttling;
use crate::worker;
use crate::worker_api;

/// Pause before a renewal that was not answered is sent again.
const UNANSWERED_RENEWAL_PAUSE: time::Duration = time::Duration::from_millis(250);
/// Pause before a renewal that was lost on its way is sent again.
const LOST_RENEWAL_PAUSE: time::Duration = time::Duration::from_millis(20);
/// Shortest time between two renewals of a worker, so that runs that end at about the same time are
/// reported by one.
const MIN_RENEWAL_INTERVAL: time::Duration = time::Duration::from_millis(10);
/// Longest time that a renewal and its answer usually spend on their way. A worker that was not heard of
/// for this and the time that a renewal may wait was idle and may have restarted: its next answer, which
/// shows that, must not wait.
const RENEWAL_TRANSFER: time::Duration = time::Duration::from_millis(500);
/// Age of the last reading of a worker's clock from which it is read again.
const MAX_CLOCK_READING_AGE: time::Duration = time::Duration::from_secs(30);
/// Longest time between two checks of which calls to a worker are due.
const MAX_CALL_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);

impl scheduler::Scheduler {
    /// Applies a complete listing of the directory, the read of which began at `read_at`.
    pub(crate) fn apply_directory(
        &mut self,
        mut reports: Vec<worker_api::WorkerReport>,
        read_at: time::Instant,
        clock: event::Clock,
    ) {
        reports.retain(|report| !self.is_foreign(report));
        let listed: maps::HashSet<_> = reports
            .iter()
            .map(|report| report.incarnation.clone())
            .collect();
        for (incarnation, worker) in &mut self.workers {
            if worker.is_listed && !listed.contains(incarnation) {
                worker.is_listed = false;
                log::info!(
                    worker:% = incarnation.worker_id,
                    born_ms = incarnation.born_ms;
                    "worker no longer listed in the directory"
                );
            }
        }
        for report in reports {
            self.apply_report(report, read_at, clock);
        }
        self.resolve_losses(clock);
        self.note_directory_read(read_at);
        self.leave_workers(clock);
        self.placement_needed = true;
    }

    /// Returns whether another writer has put an entry under the id of a worker: it shows another
    /// incarnation, in a pool that neither the manifest names nor the worker was in.
    fn is_foreign(&self, report: &worker_api::WorkerReport) -> bool {
        let known = self.newest_incarnations.get(&report.incarnation.worker_id);
        let known = known.filter(|known| **known != report.incarnation);
        let known = known.and_then(|known| self.workers.get(known));
        let known = known.and_then(|worker| worker.report.as_ref());
        let is_foreign = known.is_some_and(|known| known.pool != report.pool)
            && !self.manifest.pools.contains_key(&report.pool);
        if is_foreign {
            log::warn!(
                worker:% = report.incarnation.worker_id,
                born_ms = report.incarnation.born_ms,
                pool:% = report.pool;
                "entry under the id of a worker ignored, as its pool is not known"
            );
        }
        is_foreign
    }

    fn apply_report(
        &mut self,
        report: worker_api::WorkerReport,
        read_at: time::Instant,
        clock: event::Clock,
    ) {
        let expires_at = read_at + self.settings.max_report_age();
        let incarnation = report.incarnation.clone();
        let earlier = self
            .newest_incarnations
            .insert(incarnation.worker_id.clone(), incarnation.clone());
        self.note_departure(&report, read_at, clock);
        if let Some(worker) = self.workers.get_mut(&incarnation) {
            let was_draining = worker.report.as_ref().is_some_and(|one| one.draining);
            if report.draining && !was_draining {
                log::info!(worker:% = incarnation.worker_id; "worker is draining");
            }
            log_capacity_change(worker, &report);
            worker.set_report(report, expires_at);
            return;
        }
        log::info!(
            worker:% = incarnation.worker_id,
            born_ms = incarnation.born_ms,
            address:% = report.address;
            "worker listed in the directory"
        );
        let mut worker = worker::Worker::new(clock.now);
        worker.speed = self.inherited_speed(earlier.as_ref(), &incarnation.worker_id);
        worker.set_report(report, expires_at);
        self.workers.insert(incarnation.clone(), worker);
        self.end_earlier_incarnations(&incarnation, clock);
    }

    /// Ends the earlier incarnations of a worker that has restarted.
    fn end_earlier_incarnations(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        clock: event::Clock,
    ) {
        let earlier = self.workers.keys().filter(|one| {
            one.worker_id == incarnation.worker_id && one.born_ms < incarnation.born_ms
        });
        for old in earlier.cloned().collect::<Vec<_>>() {
            self.end_restarted_incarnation(&old, incarnation, clock);
        }
    }

    /// Removes an incarnation whose address another worker has taken, which is a crash unless it was
    /// draining.
    fn end_crashed_incarnation(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        evidence: loss_reason::LossReason,
        clock: event::Clock,
    ) {
        self.end_incarnation(incarnation, evidence, clock);
        self.attribute_crash(incarnation, evidence.describe(), clock);
    }

    /// Removes an incarnation that has certainly ended.
    pub(crate) fn end_incarnation(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        why: loss_reason::LossReason,
        clock: event::Clock,
    ) {
        if !self.workers.contains_key(incarnation) {
            return;
        }
        log::info!(
            worker:% = incarnation.worker_id,
            born_ms = incarnation.born_ms,
            why = why.describe();
            "worker incarnation ended"
        );
        self.lose_all_runs(incarnation, why, clock);
        if let Some(mut worker) = self.workers.swap_remove(incarnation) {
            worker.clear_runs(&mut self.tenancy.usage);
            let worker_id = &incarnation.worker_id;
            self.speeds.keep_departed(worker_id, worker.speed);
        }
    }

    /// Marks runs as lost on workers that do not answer and whose lease has certainly expired.
    ///
    /// Runs that a later incarnation may have are kept until its lease has expired, too, and so is what
    /// is known of the worker: if the next incarnation is listed meanwhile, orders for this one may have
    /// extended its lease.
    pub(crate) fn lose_runs_on_expired(&mut self, clock: event::Clock) {
        let expired = self.workers.iter().filter(|(_, worker)| {
            let is_silent = worker.silent_since.is_some() || worker.report.is_none();
            is_silent && worker.expires_at() < clock.now
        });
        let sent_after = restarts::oldest_pending_order(clock);
        let expired: Vec<_> = expired
            .map(|(incarnation, worker)| {
                let may_have_runs = worker.runs.values().any(|run| {
                    run.unanswered || worker.run_expires_at(run, &self.settings) >= clock.now
                });
                let has_pending_orders =
                    may_have_runs || worker.removed_unanswered(sent_after).next().is_some();
                let is_kept = worker.is_listed
                    || has_pending_orders
                    || !worker.are_orders_over(&self.settings, clock.now);
                (incarnation.clone(), is_kept)
            })
            .collect();
        for (incarnation, is_kept) in expired {
            if is_kept {
                self.lose_expired_runs(&incarnation, clock);
            } else {
                self.end_incarnation(&incarnation, loss_reason::LossReason::LeaseExpired, clock);
            }
        }
    }

    /// Marks those runs of a worker that does not answer as lost that have certainly ended.
    fn lose_expired_runs(&mut self, incarnation: &model::WorkerIncarnation, clock: event::Clock) {
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        let settings = &self.settings;
        let expiries = worker.runs.iter();
        let expiries = expiries.map(|(key, run)| (*key, worker.run_expires_at(run, settings)));
        let (lost, kept): (Vec<_>, Vec<_>) = expiries.partition(|(_, at)| *at < clock.now);
        let lost: Vec<_> = lost.into_iter().map(|(key, _)| key).collect();
        let kept_until = kept.iter().map(|(_, at)| *at).max();
        if let Some(until) = kept_until
            && !worker.keeps_runs_beyond_lease
        {
            worker.keeps_runs_beyond_lease = true;
            self.runs_kept_beyond_lease += kept.len() as u64;
            log::info!(
                worker:% = incarnation.worker_id,
                born_ms = incarnation.born_ms,
                runs = kept.len(),
                lost = lost.len(),
                left_ms = until.saturating_duration_since(clock.now).as_millis() as u64;
                "runs kept beyond the lease, as the next incarnation of the worker may have them"
            );
        }
        if lost.is_empty() {
            return;
        }
        self.record_losses_of(incarnation, &lost, clock);
        for key in lost {
            self.lose_run(
                incarnation,
                key,
                loss_reason::LossReason::LeaseExpired,
                clock,
            );
        }
    }

    fn lose_all_runs(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        why: loss_reason::LossReason,
        clock: event::Clock,
    ) {
        self.record_losses(incarnation, clock);
        let Some(worker) = self.workers.get(incarnation) else {
            return;
        };
        for key in worker.runs.keys().copied().collect::<Vec<_>>() {
            self.lose_run(incarnation, key, why, clock);
        }
    }

    /// Sends all orders and lease renewals that are due.
    pub(crate) fn send_due_calls(&mut self, clock: event::Clock) {
        for index in 0..self.workers.len() {
            let Some((incarnation, worker)) = self.workers.get_index(index) else {
                break;
            };
            if !worker.is_call_check_due(clock.now) {
                continue;
            }
            if worker.has_due_orders(clock.now)
                || needs_renewal(worker, self.settings.renew_before, clock.now)
            {
                let incarnation = incarnation.clone();
                self.send_due_orders(&incarnation, clock);
                self.renew(&incarnation, clock);
            }
            if let Some((_, worker)) = self.workers.get_index_mut(index) {
                worker.schedule_call_check(MAX_CALL_CHECK_INTERVAL, clock.now);
            }
        }
    }

    /// Renews a worker's lease if that is due.
    fn renew(&mut self, incarnation: &model::WorkerIncarnation, clock: event::Clock) {
        let settings = &self.settings;
        let has_authority = self.has_lease_authority(clock);
        let is_leaving = self.drains.is_leaving(incarnation);
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        let Some(report) = &worker.report else {
            return;
        };
        let address = sync::Arc::clone(&report.address);
        if !needs_renewal(worker, settings.renew_before, clock.now) {
            return;
        }
        // The runs of a worker that leaves count as lost once its lease has expired: its listings, which
        // are frequent, do not all extend it.
        let may_extend = has_authority
            && worker.silent_since.is_none()
            && !worker.runs.is_empty()
            && (!is_leaving || is_lease_short(worker, settings.renew_before, clock.now));
        let lease_end_ms = match may_extend {
            true => worker.lease_end_ms(settings, clock.now),
            false => None,
        };
        if lease_end_ms.is_some() {
            worker.record_lease(settings, clock.now);
        }
        let forget_up_to = worker.forget_up_to(clock.now);
        let must_check_incarnation = worker.keeps_processed_ends() && forget_up_to == 0;
        let may_wait = worker.is_fenced
            && !must_check_incarnation
            && worker.silent_since.is_none()
            && !worker.has_unanswered_start()
            && worker.was_heard_within(settings.max_renewal_wait + RENEWAL_TRANSFER, clock.now)
            && !worker.runs.is_empty()
            && !worker.has_pending_ends();
        self.last_renewal += 1;
        let order = worker_api::RenewalOrder {
            number: self.last_renewal,
            incarnation: incarnation.clone(),
            address,
            lease_end_ms,
            term: self.term,
            forget_up_to,
            wait: match may_wait {
                true if is_leaving => settings
                    .max_renewal_wait
                    .min(draining::MAX_DRAINING_LISTING_WAIT),
                true if worker.has_shared_processors() => settings
                    .max_renewal_wait
                    .min(throttling::MAX_SHARED_LISTING_WAIT),
                true => settings.max_renewal_wait,
                false => time::Duration::ZERO,
            },
        };
        worker.renewal.forgets_up_to = order.forget_up_to;
        worker.renewal.sent_at = Some(clock.now);
        worker.renewal.number = order.number;
        self.actions.push(event::Action::Renew(order));
    }

    pub(crate) fn on_renewal(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        number: worker_api::RenewalNumber,
        outcome: worker_api::RenewalOutcome,
        clock: event::Clock,
    ) {
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        // The incarnation may have been forgotten and listed again since an earlier one was sent, which
        // says nothing about runs that have started since.
        if worker.renewal.number != number {
            log::info!(
                worker:% = incarnation.worker_id,
                born_ms = incarnation.born_ms,
                number,
                under_way = worker.renewal.number;
                "answer to an earlier renewal ignored"
            );
            return;
        }
        let Some(sent_at) = worker.renewal.sent_at.take() else {
            return;
        };
        worker.request_call_check();
        worker.renewal.not_before = Some(clock.now + MIN_RENEWAL_INTERVAL);
        match outcome {
            worker_api::RenewalOutcome::Listing(listing) => {
                let born_ms = listing.born_ms.unwrap_or(incarnation.born_ms);
                if born_ms != incarnation.born_ms {
                    let successor = model::WorkerIncarnation {
                        born_ms,
                        ..incarnation.clone()
                    };
                    self.end_restarted_incarnation(incarnation, &successor, clock);
                    self.end_incarnations_before(&successor, sent_at, clock);
                    return;
                }
                self.apply_listing(incarnation, listing, sent_at, clock);
            }
            worker_api::RenewalOutcome::NoAnswer => {
                worker.renewal.not_before = Some(clock.now + UNANSWERED_RENEWAL_PAUSE);
                if worker.silent_since.is_none() {
                    worker.silent_since = Some(clock.now);
                    let lease_left = worker.expires_at().saturating_duration_since(clock.now);
                    log::info!(
                        worker:% = incarnation.worker_id,
                        born_ms = incarnation.born_ms,
                        runs = worker.runs.len(),
                        heard_ms_ago = worker.heard_at().map(|at| clock.ms_since(at)),
                        lease_left_ms = lease_left.as_millis() as u64;
                        "worker does not answer"
                    );
                }
            }
            worker_api::RenewalOutcome::Lost => {
                worker.renewal.not_before = Some(clock.now + LOST_RENEWAL_PAUSE);
            }
            worker_api::RenewalOutcome::OtherIncarnation => self.end_crashed_incarnation(
                incarnation,
                loss_reason::LossReason::AddressTaken,
                clock,
            ),
            worker_api::RenewalOutcome::Fenced => self.actions.push(event::Action::StepDown),
        }
    }

    fn apply_listing(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        listing: worker_api::Listing,
        sent_at: time::Instant,
        clock: event::Clock,
    ) {
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        let has_checked_incarnation = worker.renewal.forgets_up_to == 0;
        worker.record_answer(clock.now);
        if has_checked_incarnation && worker.keeps_processed_ends() {
            // In this round: after the next, which may be late, the answer is too old.
            worker.renewal.not_before = None;
        }
        // An age beyond the clock's range counts as none; it would only shorten the lease.
        let read_at = clock.now.checked_sub(listing.age).unwrap_or(clock.now);
        worker.record_clock(listing.clock_ms, read_at);
        let was_silent = worker.silent_since.take();
        worker.keeps_runs_beyond_lease = false;
        if let Some(since) = was_silent {
            let silent_ms = clock.now.saturating_duration_since(since).as_millis() as u64;
            log::info!(worker:% = incarnation.worker_id, silent_ms; "worker answers again");
        }
        let is_first_answer = !worker.is_fenced;
        if is_first_answer {
            worker.is_fenced = true;
            if clock.now < self.earlier_orders_end_at {
                // An order of an earlier leader for the incarnation before may have granted the longest
                // lease here; from now on this incarnation rejects such orders.
                let expires_at = clock.now + self.settings.max_lease_horizon();
                worker.own_expires_at = worker.own_expires_at.max(expires_at);
            }
            self.placement_needed = true;
        }
        if is_first_answer || was_silent.is_some() {
            self.clear_losses_on(incarnation);
        }
        let running: maps::HashSet<_> = listing.running.iter().map(|row| row.run).collect();
        for row in &listing.running {
            self.apply_running(incarnation, row, clock);
        }
        for row in &listing.running {
            self.observe_progress(incarnation, row, read_at);
        }
        self.adjust_throttling(incarnation, &listing.running, clock);
        let is_complete = listing.ended.len() < self.settings.max_listed_ends;
        for row in listing.ended {
            let is_new = self
                .workers
                .get_mut(incarnation)
                .is_some_and(|worker| worker.record_listed_end(row.sequence));
            if is_new {
                self.observe_end(incarnation, &row, read_at);
                self.judge_end(incarnation, &row, read_at);
                let ended = runs::RunEnded {
                    key: row.run,
                    end: row.end,
                    checkpoint: row.checkpoint,
                    sequence: row.sequence,
                };
                self.on_run_ended(incarnation, ended, clock);
            }
        }
        if is_complete {
            self.lose_unlisted_runs(incarnation, &running, sent_at, clock);
        }
    }

    /// Applies a run that a worker lists as running.
    fn apply_running(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        row: &worker_api::RunningRow,
        clock: event::Clock,
    ) {
        let key = row.run;
        let is_known = self
            .workers
            .get(incarnation)
            .is_some_and(|worker| worker.runs.contains_key(&key));
        if !is_known {
            self.stop_unknown_run(incarnation, key, clock);
            return;
        }
        self.prove_run(incarnation, key, clock);
        let Some(run) = self.run_mut(incarnation, key) else {
            return;
        };
        let is_confirmed = matches!(
            run.phase,
            worker::RunPhase::Starting
                | worker::RunPhase::Retrying(_)
                | worker::RunPhase::Inherited
        );
        if is_confirmed {
            run.set_phase(worker::RunPhase::Running, clock.now);
            self.end_wait(key.task.step_key());
        }
        let Some(run) = self.run_mut(incarnation, key) else {
            return;
        };
        if run
            .progress
            .is_none_or(|(percent, _)| percent < row.percent)
        {
            run.progress = Some((row.percent, clock.now));
            run.first_progress.get_or_insert((row.percent, clock.now));
        }
        let state = self.jobs.get_mut(&key.task.job_id);
        let Some((step, step_state)) = state.and_then(|one| one.step_mut(key.task.step_key()))
        else {
            return;
        };
        let Some(task) = step_state.tasks.get(key.task.index as usize) else {
            return;
        };
        if let Some(checkpoint) = &row.checkpoint
            && step.checkpointing
            && task.last_run == key.run
        {
            step_state.offer_checkpoint(key, step.gang, checkpoint, false);
        }
    }

    /// Stops a run that this leader does not know.
    fn stop_unknown_run(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        key: model::RunKey,
        clock: event::Clock,
    ) {
        let state = self.jobs.get(&key.task.job_id);
        let demand = state
            .and_then(|state| state.step(key.task.step_key()))
            .map(|(step, _)| counted_demand(step));
        let tenant = state.map_or(tenancy::NO_TENANT, |state| self.tenancy.number_of(state));
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        log::warn!(
            run:% = runs::run_name(key),
            worker:% = incarnation.worker_id;
            "worker lists an unknown run; stopping it"
        );
        let phase = worker::RunPhase::Stopping(clock.now);
        let run = worker::WorkerRun::new(demand.unwrap_or_default(), phase, clock.now)
            .with_tenant(tenant);
        let run = match demand {
            Some(_) => run,
            None => run.with_unknown_demand(),
        };
        worker.add_run(key, run, &mut self.tenancy.usage);
    }

    /// Marks as lost the runs that the worker would have listed if they existed.
    fn lose_unlisted_runs(
        &mut self,
        incarnation: &model::WorkerIncarnation,
        running: &maps::HashSet<model::RunKey>,
        sent_at: time::Instant,
        clock: event::Clock,
    ) {
        let Some(worker) = self.workers.get(incarnation) else {
            return;
        };
        let lost = worker.runs.iter().filter(|(key, run)| {
            let is_settled = match run.phase {
                worker::RunPhase::Running => run.since < sent_at,
                worker::RunPhase::Stopping(_) => run.are_starts_over(sent_at),
                worker::RunPhase::Stopped => run.since < sent_at || run.are_starts_over(sent_at),
                worker::RunPhase::Inherited => true,
                _ => false,
            };
            is_settled && !running.contains(*key)
        });
        for key in lost.map(|(key, _)| *key).collect::<Vec<_>>() {
            self.lose_run(incarnation, key, loss_reason::LossReason::NotListed, clock);
        }
    }
}

fn log_capacity_change(worker: &worker::Worker, report: &worker_api::WorkerReport) {
    let (old, new) = (worker.capacity(), report.capacity);
    if worker.report.is_none() || old == new {
        return;
    }
    log::info!(
        worker:% = report.incarnation.worker_id,
        old:? = old,
        new:? = new,
        used:? = worker.used;
        "capacity of the worker changed"
    );
}

/// Returns whether a worker's lease must be renewed or its listing fetched.
fn needs_renewal(
    worker: &worker::Worker,
    renew_before: time::Duration,
    now: time::Instant,
) -> bool {
    let can_renew = worker.renewal.sent_at.is_none()
        && worker.renewal.not_before.is_none_or(|at| at <= now)
        && worker.report.is_some();
    if !can_renew {
        return false;
    }
    if !worker.is_fenced || worker.silent_since.is_some() {
        return worker.is_listed || !worker.runs.is_empty();
    }
    if worker.keeps_processed_ends()
        || worker.has_unanswered_start()
        || is_clock_reading_old(worker, now)
    {
        return true;
    }
    let has_orders = worker
        .runs
        .values()
        .any(|run| run.phase != worker::RunPhase::Planned);
    // Until the pending ends are committed, a listing would only repeat them.
    has_orders && (!worker.has_pending_ends() || is_lease_short(worker, renew_before, now))
}

/// Returns whether the clock of an idle worker was read so long ago that a lease granted by the
/// reading would be much shorter than intended.
fn is_clock_reading_old(worker: &worker::Worker, now: time::Instant) -> bool {
    worker.is_listed
        && worker
            .heard_at()
            .is_none_or(|at| now.saturating_duration_since(at) >= MAX_CLOCK_READING_AGE)
}

/// Returns whether the lease must be renewed although no new listing is needed.
fn is_lease_short(
    worker: &worker::Worker,
    renew_before: time::Duration,
    now: time::Instant,
) -> bool {
    let left = worker
        .lease_expires_at
        .map(|at| at.saturating_duration_since(now));
    left.is_none_or(|left| left < renew_before)
}

/// Returns the capacity that a task of a step occupies: a best-effort task occupies no processors.
pub(crate) fn counted_demand(step: &model::Step) -> model::Demand {
    if step.fills_idle {
        return model::Demand {
            processors_milli: 0,
            ..step.demand
        };
    }
    step.demand
}

impl job::StepState {
    /// Returns how often runs of this step failed on a worker.
    pub(crate) fn failures_on(&self, worker_id: &model::WorkerId) -> u32 {
        self.failures_by_worker
            .get(worker_id)
            .copied()
            .unwrap_or_default()
    }
}
