//! Commits of the leader's batches to the store, several concurrently.
//!
//! Each batch writes a key of its own, which must not exist yet, on condition that the leader's
//! entry is unchanged. A batch that is sent again after a lost reply therefore takes effect at most
//! once, and never after a later leader has been elected. Batches may take effect in any order: a
//! later segment overrides an earlier one.

use std::sync;
use std::sync::atomic;
use std::time;

use crate::cluster_entries;
use crate::control_thread;
use crate::error;
use crate::instance;

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

impl<S: store::Store> Committer<S> {
    /// Creates the committer of a term.
    pub(crate) fn new(
        store: S,
        term: model::Term,
        control: control_thread::Handle,
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
            health: sync::Arc::default(),
        }
    }

    /// Writes a batch, retrying without a limit, and reports the outcome to the control thread.
    ///
    /// A batch that cannot have taken effect, as no attempt is in doubt, is reported as rejected
    /// once the store counts as unreachable.
    ///
    /// # Errors
    ///
    /// Fails with [`error::ErrorKind::LeadershipLost`] if the term has ended; the batch has then
    /// not taken effect, unless an attempt was unanswered.
    pub(crate) async fn commit(self, batch: jobs::Batch) -> Result<(), error::Error> {
        // Whether an attempt may have taken effect or still may.
        let mut in_doubt = false;
        let mut pause = RETRY_PAUSE;
        let mut reply_timeout = self.reply_timeout();
        loop {
            let attempt = tokio::time::timeout(reply_timeout, self.attempt(&batch));
            let outcome = tokio::select! {
                outcome = attempt => outcome,
                () = self.store_regained.notified() => {
                    in_doubt = true;
                    continue;
                }
            };
            let limit = match &outcome {
                Ok(_) => REFUSAL_LIMIT,
                Err(_) => self.record_silence(reply_timeout),
            };
            let outcome = outcome.unwrap_or_else(|_| {
                let context = format!("no reply within {} ms", reply_timeout.as_millis());
                Err(store::Error::new(store::ErrorKind::OutcomeUnknown, context).into())
            });
            reply_timeout = (reply_timeout * 2).min(MAX_REPLY_TIMEOUT);
            match outcome {
                Ok(()) => {
                    self.record_success();
                    self.control
                        .send_event(jobs::Event::BatchCommitted(batch.id));
                    return Ok(());
                }
                Err(cause) if cause.kind() == error::ErrorKind::LeadershipLost => {
                    return Err(cause);
                }
                Err(cause) => {
                    log::warn!(
                        batch = batch.id,
                        term = self.term,
                        cause:% = cause;
                        "batch not confirmed by the store"
                    );
                    in_doubt |= cause.is_in_doubt();
                    self.control.send_event(jobs::Event::BatchUnconfirmed);
                    if self.record_failure(limit) && !in_doubt {
                        self.control
                            .send_event(jobs::Event::BatchRejected(batch.id));
                        return Ok(());
                    }
                }
            }
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.store_regained.notified() => {}
            }
            pause = (pause * 2).min(MAX_RETRY_PAUSE);
        }
    }

    async fn attempt(&self, batch: &jobs::Batch) -> Result<(), error::Error> {
        let sent_at = time::Instant::now();
        let committed = self.store.commit(self.transaction(batch)).await?;
        self.record_reply_latency(sent_at.elapsed());
        if committed.succeeded {
            return Ok(());
        }
        // An earlier attempt has taken effect, or the term has ended.
        if self.store.get(&batch.segment_key).await?.is_some() {
            return Ok(());
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
