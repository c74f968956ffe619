//! The control thread, which runs the scheduler during a term.

use std::collections;
use std::sync;
use std::thread;
use std::time;

use tokio::sync::mpsc as tokio_mpsc;
use tokio::sync::oneshot;

use crate::authority_clock;
use crate::caller_request;
use crate::error;
use crate::mailbox;
use crate::tenant_metrics;

/// Shortest time between two ticks of the scheduler, which handle expired leases and outcomes; also
/// the longest wait for an input.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Shortest time between two rounds: inputs that arrive meanwhile are handled together, as each round
/// has a cost of its own, and a few milliseconds are little beside a write to the store.
const MIN_ROUND_INTERVAL: time::Duration = time::Duration::from_millis(4);
/// Longest wait for an input while the scheduler still has waiting tasks to process.
const BACKLOG_TICK_INTERVAL: time::Duration = time::Duration::from_millis(4);
/// A running control thread.
pub(crate) struct ControlThread {
    mailbox: sync::Arc<mailbox::Mailbox>,
    thread: thread::JoinHandle<()>,
}

/// Sends inputs to the control thread of a term; clones send to the same thread.
#[derive(Clone)]
pub(crate) struct Handle {
    mailbox: sync::Arc<mailbox::Mailbox>,
}

impl std::fmt::Debug for Handle {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Handle").finish_non_exhaustive()
    }
}

impl Handle {
    /// Sends an event; has no effect once the term has ended.
    pub(crate) fn send_event(&self, event: jobs::Event) {
        self.mailbox.push_event(event);
    }

    /// Sends a caller's request, which is not handled from `handle_by` on, and waits for the reply;
    /// `None` if the term ends before that, or if too many requests wait or take too much memory.
    pub(crate) async fn request(
        &self,
        manifest_version: model::ManifestVersion,
        request: caller_request::CallerRequest,
        handle_by: stall::Uptime,
    ) -> Option<model::JobReply> {
        let rank = match request.changes_jobs() {
            true => admit::Rank::Change,
            false => admit::Rank::Read,
        };
        let (reply, receiver) = oneshot::channel();
        let request = mailbox::Request {
            manifest_version,
            memory: self.mailbox.reserve(&request.request)?,
            request,
            reply,
            handle_by,
        };
        self.mailbox.push_request(rank, request)?;
        receiver.await.ok()
    }
}

/// What the scheduler has decided in one round.
#[derive(Debug)]
pub(crate) struct Decisions {
    /// When the round began; what the scheduler knew is not newer.
    pub(crate) decided_at: time::Instant,
    pub(crate) actions: Vec<jobs::Action>,
}

impl ControlThread {
    /// Starts the thread, which sends the scheduler's actions to `actions`. Requests that wait for it
    /// take at most `max_waiting_bytes`.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub(crate) fn start(
        scheduler: jobs::Scheduler,
        metrics: telemetry::Metrics,
        actions: tokio_mpsc::UnboundedSender<Decisions>,
        max_waiting_bytes: u64,
    ) -> Result<Self, error::Error> {
        let mailbox = mailbox::Mailbox::new(max_waiting_bytes, metrics.clone());
        let mailbox = sync::Arc::new(mailbox);
        let inputs = mailbox::CloseOnDrop(sync::Arc::clone(&mailbox));
        let thread = thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || {
                run(scheduler, &metrics, &inputs.0, &actions);
                // Only the leader knows these numbers.
                let summary = jobs::Summary::default();
                SpeedCounters::set_gauges(&summary, &metrics);
                set_kept_run_gauges(&summary.kept_runs, &metrics);
            })
            .map_err(|cause| error::Error::new(error::ErrorKind::Thread, cause))?;
        Ok(Self { mailbox, thread })
    }

    pub(crate) fn handle(&self) -> Handle {
        Handle {
            mailbox: sync::Arc::clone(&self.mailbox),
        }
    }

    /// Stops the thread and waits for it; callers to whom the scheduler has not replied by then get
    /// no reply.
    pub(crate) fn stop(self) {
        self.mailbox.stop();
        if self.thread.join().is_err() {
            log::error!("control thread panicked");
        }
    }
}

fn run(
    mut scheduler: jobs::Scheduler,
    metrics: &telemetry::Metrics,
    mailbox: &mailbox::Mailbox,
    actions: &tokio_mpsc::UnboundedSender<Decisions>,
) {
    let mut pending = PendingReplies::default();
    let mut events = Vec::new();
    // By the authority clock.
    let mut authority_until = None;
    let mut ticked_at = time::Instant::now();
    let mut earliest = ticked_at;
    let mut overload = OverloadPeriod::default();
    let mut crashes = CrashCounters::default();
    let mut tenants = tenant_metrics::TenantMetrics::new(metrics);
    let mut speeds = SpeedCounters::default();
    loop {
        let pause = if scheduler.needs_finish() {
            BACKLOG_TICK_INTERVAL
        } else {
            TICK_INTERVAL
        };
        let mailbox::Work { round, is_stopping } = mailbox.take(pause, earliest);
        let clock = clock();
        earliest = clock.now + MIN_ROUND_INTERVAL;
        metrics.time("control.wait", round.longest_wait);
        metrics.count_by("control.caller_gone", round.gone);
        overload.update(round.overload, round.longest_wait);
        for event in round.events {
            match event {
                jobs::Event::LeaseAuthority { until } => authority_until = Some(until),
                event => events.push(event),
            }
        }
        // In each round, as a suspension shortens what is left of the authority by the steady clock.
        if let Some(until) = authority_until {
            let until = authority_clock::to_steady(until, clock.now);
            scheduler.handle(jobs::Event::LeaseAuthority { until }, clock);
        }
        for event in events.drain(..) {
            scheduler.handle(event, clock);
        }
        for mailbox::Request {
            manifest_version,
            request,
            reply,
            memory,
            ..
        } in round.requests
        {
            let event = jobs::Event::Request {
                token: pending.insert(reply),
                age: stall::uptime().saturating_sub(request.received_at),
                manifest_version,
                request: request.request,
                tenant: request.tenant,
                overload_retry_ms: overload.retry_ms(),
            };
            scheduler.handle(event, clock);
            drop(memory);
        }
        if is_stopping {
            pending.send_replies(scheduler.end_term());
            for waiting in mailbox.close() {
                // The caller may have stopped waiting.
                let _ = waiting.reply.send(model::JobReply::NotLeading);
            }
            return;
        }
        if clock.now.saturating_duration_since(ticked_at) >= TICK_INTERVAL {
            ticked_at = clock.now;
            scheduler.handle(jobs::Event::Tick, clock);
            let summary = scheduler.summary();
            crashes.update(&summary, metrics);
            speeds.update(&summary, metrics);
            set_kept_run_gauges(&summary.kept_runs, metrics);
            tenants.publish(&scheduler, clock.now);
        }
        let (other_actions, refused) = pending.send_replies(scheduler.finish(clock));
        for (reason, reports) in scheduler.take_block_reports() {
            metrics.count_by(&format!("blocked.{}", reason.as_str()), reports);
        }
        overload.refused += refused;
        for (obstacle, count) in scheduler.take_withheld_starts() {
            metrics.count_by(&format!("start.withheld.{}", obstacle.as_str()), count);
        }
        for (reason, count) in scheduler.take_lost_runs() {
            metrics.count_by(&format!("run.lost.{}", reason.as_str()), count);
        }
        for (outcome, count) in scheduler.take_drain_outcomes() {
            metrics.count_by(&format!("drain.{}", outcome.as_str()), count);
        }
        let decisions = Decisions {
            decided_at: clock.now,
            actions: other_actions,
        };
        if !decisions.actions.is_empty() && actions.send(decisions).is_err() {
            return;
        }
    }
}

/// Sets the gauges of the runs on workers that do not answer.
fn set_kept_run_gauges(kept: &jobs::KeptRuns, metrics: &telemetry::Metrics) {
    let gauges = [
        ("run.on_silent.earlier_leader", kept.earlier_leader),
        ("run.on_silent.lease", kept.lease),
        ("run.on_silent.unproven", kept.unproven),
    ];
    for (name, value) in gauges {
        metrics.gauge(name, value as u64);
    }
}

/// What was counted so far of the crashes and restarts of workers in this term.
#[derive(Default)]
struct CrashCounters {
    crashed_workers: u64,
    given_up_jobs: u64,
    moved_runs: u64,
    forgotten_cancels: u64,
    unwritable_jobs: u64,
    runs_kept_beyond_lease: u64,
    starts_on_other_incarnations: u64,
    ends_after_next_start: u64,
    planned_copies: u64,
    stopped_for_priority: u64,
}

impl CrashCounters {
    fn update(&mut self, summary: &jobs::Summary, metrics: &telemetry::Metrics) {
        let crashed = summary.crashed_workers - self.crashed_workers;
        let given_up = summary.given_up_jobs - self.given_up_jobs;
        metrics.count_by("worker.crashed", crashed);
        metrics.count_by("job.given_up", given_up);
        metrics.count_by("run.moved", summary.moved_runs - self.moved_runs);
        let forgotten = summary.forgotten_cancels - self.forgotten_cancels;
        metrics.count_by("cancel.forgotten", forgotten);
        let unwritable = summary.unwritable_jobs - self.unwritable_jobs;
        metrics.count_by("job.unwritable", unwritable);
        let kept = summary.runs_kept_beyond_lease - self.runs_kept_beyond_lease;
        metrics.count_by("run.kept_beyond_lease", kept);
        let on_others = summary.starts_on_other_incarnations - self.starts_on_other_incarnations;
        metrics.count_by("start.other_incarnation", on_others);
        let ends_after_next_start = summary.ends_after_next_start - self.ends_after_next_start;
        metrics.count_by("run.ended_after_next", ends_after_next_start);
        let copies = summary.planned_copies - self.planned_copies;
        metrics.count_by("run.copied", copies);
        let stopped_for_priority = summary.stopped_for_priority - self.stopped_for_priority;
        metrics.count_by("run.stopped_for_priority", stopped_for_priority);
        self.crashed_workers = summary.crashed_workers;
        self.given_up_jobs = summary.given_up_jobs;
        self.moved_runs = summary.moved_runs;
        self.forgotten_cancels = summary.forgotten_cancels;
        self.unwritable_jobs = summary.unwritable_jobs;
        self.runs_kept_beyond_lease = summary.runs_kept_beyond_lease;
        self.starts_on_other_incarnations = summary.starts_on_other_incarnations;
        self.ends_after_next_start = summary.ends_after_next_start;
        self.planned_copies = summary.planned_copies;
        self.stopped_for_priority = summary.stopped_for_priority;
    }
}

/// What was counted so far of the workers' speeds and quarantines in this term.
#[derive(Default)]
struct SpeedCounters {
    observations: u64,
    planned_on_slow: u64,
    quarantines: u64,
    quarantines_put_off: u64,
}

impl SpeedCounters {
    fn set_gauges(summary: &jobs::Summary, metrics: &telemetry::Metrics) {
        let gauges = [
            ("worker.fast", summary.fast_workers),
            ("worker.slow", summary.slow_workers),
            ("worker.quarantined", summary.quarantined_workers),
            ("worker.on_trial", summary.workers_on_trial),
        ];
        for (name, value) in gauges {
            metrics.gauge(name, value as u64);
        }
    }

    fn update(&mut self, summary: &jobs::Summary, metrics: &telemetry::Metrics) {
        Self::set_gauges(summary, metrics);
        let counters = [
            (
                "speed.observations",
                summary.speed_observations,
                &mut self.observations,
            ),
            (
                "run.planned_on_slow",
                summary.runs_planned_on_slow,
                &mut self.planned_on_slow,
            ),
            (
                "worker.quarantines",
                summary.quarantines,
                &mut self.quarantines,
            ),
            (
                "worker.quarantines_put_off",
                summary.quarantines_put_off,
                &mut self.quarantines_put_off,
            ),
        ];
        for (name, total, counted) in counters {
            metrics.count_by(name, total - *counted);
            *counted = total;
        }
    }
}

/// The overload of the control thread, if there is one.
#[derive(Default)]
struct OverloadPeriod {
    overload: Option<admit::Overload>,
    /// Requests refused since it began.
    refused: u32,
}

impl OverloadPeriod {
    fn update(&mut self, overload: Option<admit::Overload>, longest_wait: time::Duration) {
        match (self.overload, overload) {
            (None, Some(overload)) => log::warn!(
                wait_ms = longest_wait.as_millis() as u64,
                drain_ms = overload.drain.as_millis() as u64;
                "leader overloaded; refusing new jobs"
            ),
            (Some(_), None) => {
                log::info!(refused = self.refused; "leader no longer overloaded");
                self.refused = 0;
            }
            _ => {}
        }
        self.overload = overload;
    }

    /// Returns the delay after which the caller of a new job should retry, in milliseconds.
    fn retry_ms(&self) -> Option<u64> {
        let retry_after = self.overload?.retry_after(self.refused);
        Some(retry_after.as_millis() as u64)
    }
}

fn is_overload_refusal(reply: &model::JobReply) -> bool {
    matches!(
        reply,
        model::JobReply::Refused {
            reason: model::RefusalReason::Overloaded,
            ..
        }
    )
}

/// Reads both clocks.
pub(crate) fn clock() -> jobs::Clock {
    let wall = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    jobs::Clock {
        now: time::Instant::now(),
        // A system time before 1970 may count as 1970: the scheduler's decisions are the same.
        wall_ms: wall.map_or(0, |wall| wall.as_millis() as u64),
    }
}

/// Reply channels of the requests in progress.
#[derive(Default)]
struct PendingReplies {
    senders: collections::HashMap<jobs::RequestToken, oneshot::Sender<model::JobReply>>,
    last_token: jobs::RequestToken,
}

impl PendingReplies {
    fn insert(&mut self, reply: oneshot::Sender<model::JobReply>) -> jobs::RequestToken {
        self.last_token += 1;
        self.senders.insert(self.last_token, reply);
        self.last_token
    }

    /// Sends the replies among `actions`; returns the other actions, and the number of requests that
    /// were refused because of an overload.
    fn send_replies(&mut self, actions: Vec<jobs::Action>) -> (Vec<jobs::Action>, u32) {
        let mut other_actions = Vec::new();
        let mut overload_refusals = 0;
        for action in actions {
            match action {
                jobs::Action::Reply(token, reply) => {
                    overload_refusals += u32::from(is_overload_refusal(&reply));
                    if let Some(caller) = self.senders.remove(&token) {
                        // The caller may have stopped waiting.
                        let _ = caller.send(reply);
                    }
                }
                action => other_actions.push(action),
            }
        }
        (other_actions, overload_refusals)
    }
}
