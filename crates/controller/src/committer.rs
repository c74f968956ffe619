//! Commits of the leader's batches to the store, several concurrently.
//!
//! Each batch writes a key of its own, which must not exist yet, on condition that the leader's
//! entry is unchanged. A batch that is sent again after a lost reply therefore takes effect at most
//! once, and never after a later leader has been elected. Batches may take effect in any order: a
//! later segment overrides an earlier one.

use std::sync;
use std::sync::atomic;
use std::time;

use crate::authority_clock;
use crate::cluster_entries;
use crate::control_thread;
use crate::error;
use crate::instance;
use crate::lease_authority;

/// Pause before the first retry of a batch; doubles with each retry.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(50);
/// Longest pause before a retry of a batch.
const MAX_RETRY_PAUSE: time::Duration = time::Duration::from_millis(400);
/// Shortest reply timeout of a batch; the store replies in a few milliseconds, and the network path
/// to another region adds 25 ms.
const MIN_REPLY_TIMEOUT: time::Duration = time::Duration::from_millis(120);
/// Longest reply timeout of a batch.
const MAX_REPLY_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
/// Reply timeout as a multiple of the smoothed latency.
const REPLY_TIMEOUT_FACTOR: u32 = 3;
/// Smoothing of the latency: the newest reply has a weight of one in this many.
const LATENCY_SMOOTHING: u32 = 4;
/// How long the store may refuse batches before it counts as unreachable; applies to attempts that
/// fail before their reply timeout.
const REFUSAL_LIMIT: time::Duration = time::Duration::from_millis(300);
/// Shortest time without a reply after which the store counts as unreachable.
const MIN_SILENCE_LIMIT: time::Duration = time::Duration::from_millis(500);
/// Longest time without a reply after which the store counts as unreachable.
const MAX_SILENCE_LIMIT: time::Duration = time::Duration::from_millis(1_200);
/// Time without a reply after which the store counts as unreachable, as a multiple of the smoothed
/// latency, so that a slow store does not count as unreachable.
const SILENCE_LIMIT_FACTOR: u32 = 4;

/// Writes batches to the store; clones share the measured latency and reachability of the store.
#[derive(Clone, Debug)]
pub(crate) struct Committer<S> {
    store: S,
    term: model::Term,
    control: control_thread::Handle,
    evidence: lease_authority::Evidence,
    health: sync::Arc<sync::Mutex<StoreHealth>>,
    /// Wakes attempts on connections that may be dead once the store is back.
    store_regained: sync::Arc<tokio::sync::Notify>,
    /// Reported to other instances in heartbeats.
    store_rejects_batches: sync::Arc<atomic::AtomicBool>,
}

/// Latency and reachability of the store.
#[derive(Debug, Default)]
struct StoreHealth {
    failing_since: Option<time::Instant>,
    /// Exponentially smoothed time until a reply.
    smoothed_latency: time::Duration,
    /// Reply timeout of the first attempt at a batch, before it is clamped.
    reply_timeout: time::Duration,
    /// Whether the store has been reported to the control thread as unreachable.
    reported_unreachable: bool,
}

/// A batch that was found to be stored.
#[derive(Clone, Copy, Debug)]
struct Committed {
    /// When the attempt was sent that has stored it, by the authority clock; `None` if it was an earlier one.
    sent_at: Option<time::Instant>,
}

/// The attempts to write a batch.
struct BatchWrite {
    batch: sync::Arc<jobs::Batch>,
    attempts: store::Hedged<Result<Committed, error::Error>>,
    /// Whether an attempt that is no longer in flight may have taken effect, or still may.
    in_doubt: bool,
    /// Pause before the next retry.
    pause: time::Duration,
    /// Time without a reply after which another attempt is made.
    reply_timeout: time::Duration,
    next_attempt_at: tokio::time::Instant,
}

impl BatchWrite {
    fn new(batch: jobs::Batch, reply_timeout: time::Duration) -> Self {
        Self {
            batch: sync::Arc::new(batch),
            attempts: store::Hedged::default(),
            in_doubt: false,
            pause: RETRY_PAUSE,
            reply_timeout,
            next_attempt_at: tokio::time::Instant::now(),
        }
    }

    /// Returns whether no attempt so far has taken effect or will.
    fn cannot_take_effect(&self) -> bool {
        !self.in_doubt && self.attempts.is_empty()
    }

    /// Schedules the next attempt after one has failed.
    fn retry_after_pause(&mut self) {
        let retry_at = tokio::time::Instant::now() + self.pause;
        self.pause = (self.pause * 2).min(MAX_RETRY_PAUSE);
        self.next_attempt_at = match self.attempts.is_empty() {
            true => retry_at,
            false => self.next_attempt_at.min(retry_at),
        };
    }

    fn late_reply(&self) -> error::Error {
        let context = format!("no reply within {} ms", self.reply_timeout.as_millis());
        store::Error::new(store::ErrorKind::OutcomeUnknown, context).into()
    }
}

impl<S: store::Store> Committer<S> {
    /// Creates the committer of a term.
    pub(crate) fn new(
        store: S,
        term: model::Term,
        control: control_thread::Handle,
        evidence: lease_authority::Evidence,
        store_regained: sync::Arc<tokio::sync::Notify>,
        store_rejects_batches: sync::Arc<atomic::AtomicBool>,
    ) -> Self {
        store_rejects_batches.store(false, atomic::Ordering::Relaxed);
        Self {
            store_regained,
            store_rejects_batches,
            store,
            term,
            control,
            evidence,
            health: sync::Arc::default(),
        }
    }

    /// Writes a batch, retrying without a limit, and reports the outcome to the control thread.
    ///
    /// A late attempt is waited for beside the next one, so that a store that has become slow
    /// confirms a batch with its first reply. A batch that cannot have taken effect, as no attempt is
    /// in flight or in doubt, is reported as rejected once the store counts as unreachable.
    ///
    /// # Errors
    ///
    /// Fails with [`error::ErrorKind::LeadershipLost`] if the term has ended; the batch has then
    /// not taken effect, unless an attempt was unanswered.
    pub(crate) async fn commit(self, batch: jobs::Batch) -> Result<(), error::Error> {
        let mut write = BatchWrite::new(batch, self.reply_timeout());
        loop {
            tokio::select! {
                reply = write.attempts.next_reply() => match reply {
                    Ok(committed) => {
                        self.record_success();
                        if let Some(sent_at) = committed.sent_at {
                            self.evidence.record_store(sent_at);
                        }
                        self.control
                            .send_event(jobs::Event::BatchCommitted(write.batch.id));
                        return Ok(());
                    }
                    Err(cause) if cause.kind() == error::ErrorKind::LeadershipLost => {
                        return Err(cause);
                    }
                    Err(cause) if cause.kind() == error::ErrorKind::StoreRefused => {
                        // So it does, or will, with every other attempt, as they are equal.
                        self.report_refusal(&write.batch, &cause);
                        return Ok(());
                    }
                    Err(cause) => {
                        write.in_doubt |= cause.is_in_doubt();
                        let is_unreachable =
                            self.record_failed_attempt(&write.batch, REFUSAL_LIMIT, &cause);
                        if is_unreachable && write.cannot_take_effect() {
                            self.control
                                .send_event(jobs::Event::BatchRejected(write.batch.id));
                            return Ok(());
                        }
                        write.retry_after_pause();
                    }
                },
                () = tokio::time::sleep_until(write.next_attempt_at) => {
                    if !write.attempts.is_empty() {
                        let cause = write.late_reply();
                        let limit = self.record_silence(write.reply_timeout);
                        self.record_failed_attempt(&write.batch, limit, &cause);
                        write.reply_timeout = (write.reply_timeout * 2).min(MAX_REPLY_TIMEOUT);
                    }
                    let attempt = self.clone().attempt(sync::Arc::clone(&write.batch));
                    write.attempts.start(attempt);
                    write.next_attempt_at = tokio::time::Instant::now() + write.reply_timeout;
                }
                () = self.store_regained.notified() => {
                    write.next_attempt_at = tokio::time::Instant::now();
                }
            }
        }
    }

    /// Reports a batch that the store refuses for its content. A store that refuses single records, too,
    /// counts as failing.
    fn report_refusal(&self, batch: &jobs::Batch, cause: &error::Error) {
        if batch.record_count > 1 {
            log::warn!(
                batch = batch.id,
                term = self.term,
                cause:% = cause;
                "batch refused by the store"
            );
        } else {
            self.record_failed_attempt(batch, REFUSAL_LIMIT, cause);
        }
        self.control.send_event(jobs::Event::BatchRefused(batch.id));
    }

    /// Records an attempt that has failed or is late; returns whether the store counts as
    /// unreachable.
    fn record_failed_attempt(
        &self,
        batch: &jobs::Batch,
        limit: time::Duration,
        cause: &error::Error,
    ) -> bool {
        log::warn!(
            batch = batch.id,
            term = self.term,
            cause:% = cause;
            "batch not confirmed by the store"
        );
        self.control.send_event(jobs::Event::BatchUnconfirmed);
        self.record_failure(limit)
    }

    async fn attempt(self, batch: sync::Arc<jobs::Batch>) -> Result<Committed, error::Error> {
        let asked_at = authority_clock::now();
        let sent_at = time::Instant::now();
        let committed = self.store.commit(self.transaction(&batch)).await?;
        self.record_reply_latency(sent_at.elapsed());
        if committed.succeeded {
            return Ok(Committed {
                sent_at: Some(asked_at),
            });
        }
        // An earlier attempt has taken effect, or the term has ended.
        if self.store.get(&batch.segment_key).await?.is_some() {
            return Ok(Committed { sent_at: None });
        }
        let context = format!(
            "store refused batch {}: the leader entry has changed",
            batch.id
        );
        Err(error::Error::new(error::ErrorKind::LeadershipLost, context))
    }

    fn transaction(&self, batch: &jobs::Batch) -> store::Txn {
        let leader = store::Compare::ModifiedAt {
            key: cluster_entries::LEADER_KEY.to_owned(),
            revision: self.term,
        };
        let segment = store::Compare::Absent {
            key: batch.segment_key.clone(),
        };
        let mut puts = vec![put(&batch.segment_key, &batch.segment)];
        if let Some((key, value)) = &batch.outcomes {
            puts.push(put(key, value));
        }
        if let Some((key, value)) = &batch.cancels {
            puts.push(put(key, value));
        }
        store::Txn {
            compares: vec![leader, segment],
            puts,
            deletes: batch.deletes.clone(),
        }
    }

    /// Returns the reply timeout of the first attempt at a batch.
    fn reply_timeout(&self) -> time::Duration {
        instance::lock(&self.health)
            .reply_timeout
            .clamp(MIN_REPLY_TIMEOUT, MAX_REPLY_TIMEOUT)
    }

    fn record_reply_latency(&self, latency: time::Duration) {
        let mut health = instance::lock(&self.health);
        health.smoothed_latency =
            (health.smoothed_latency * (LATENCY_SMOOTHING - 1) + latency) / LATENCY_SMOOTHING;
        health.reply_timeout = health.smoothed_latency * REPLY_TIMEOUT_FACTOR;
    }

    fn record_success(&self) {
        let mut health = instance::lock(&self.health);
        health.failing_since = None;
        if std::mem::take(&mut health.reported_unreachable) {
            self.store_rejects_batches
                .store(false, atomic::Ordering::Relaxed);
            log::info!(term = self.term; "store accepts batches again");
            self.control.send_event(jobs::Event::StoreReachable(true));
        }
    }

    /// Records that a reply takes longer than `reply_timeout`; returns the time without a reply
    /// after which the store counts as unreachable.
    fn record_silence(&self, reply_timeout: time::Duration) -> time::Duration {
        let mut health = instance::lock(&self.health);
        health.reply_timeout = health.reply_timeout.max(reply_timeout * 2);
        (health.smoothed_latency * SILENCE_LIMIT_FACTOR).clamp(MIN_SILENCE_LIMIT, MAX_SILENCE_LIMIT)
    }

    /// Records a failed attempt; returns whether the store counts as unreachable, which it does
    /// once attempts have failed for `limit`.
    fn record_failure(&self, limit: time::Duration) -> bool {
        let mut health = instance::lock(&self.health);
        let since = *health.failing_since.get_or_insert_with(time::Instant::now);
        if !health.reported_unreachable && since.elapsed() >= limit {
            health.reported_unreachable = true;
            self.store_rejects_batches
                .store(true, atomic::Ordering::Relaxed);
            log::warn!(term = self.term; "store does not accept batches");
            self.control.send_event(jobs::Event::StoreReachable(false));
        }
        health.reported_unreachable
    }
}

fn put(key: &str, value: &[u8]) -> store::Put {
    store::Put {
        key: key.to_owned(),
        value: value.to_vec(),
        lease_id: None,
    }
}
