//! Cancels of jobs that are not known: a submission that was sent before may still be on its way.
//!
//! A submission that an instance had received before the cancel was acknowledged is refused. One that was
//! received later is taken for a new job, as callers may hand the same id in again.

use std::time;

use serde::Deserialize;
use serde::Serialize;

use crate::event;
use crate::job;
use crate::journal;
use crate::maps;
use crate::record;

/// Key of the stored marks.
pub const CANCELS_KEY: &str = "ferry/cancels";
/// How long a cancel of an unknown job is remembered. An instance gives a request up after 15 s at most,
/// and knows its age to within a second; the rest is for what waits in the network before it.
pub const CANCEL_MARK_TIME: time::Duration = time::Duration::from_secs(20);
/// Difference of the clocks of two leaders, and jump of one, for which a stored mark is kept longer, in
/// milliseconds.
const CLOCK_SLACK_MS: u64 = 10_000;
/// Most marks; 50 cancels of unknown jobs a second. The oldest give way.
const MAX_MARKS: usize = 1_024;
/// Most marks of one tenant, so that none displaces those of all others.
const MAX_TENANT_MARKS: usize = 256;

/// A job as a tenant names it; another tenant may hand in a job with the same id.
type MarkedJob = (model::JobId, Option<model::TenantName>);

#[derive(Clone, Copy, Debug)]
struct Mark {
    cancelled_at: time::Instant,
    /// The same in milliseconds since 1970.
    cancelled_at_ms: u64,
    /// When the caller was answered; `None` until the mark is stored.
    acknowledged_at: Option<time::Instant>,
}

/// A caller whose cancel has to be stored.
type WaitingCaller = (job::RequestToken, MarkedJob);

/// A mark as it is stored.
#[derive(Debug, Serialize, Deserialize)]
struct StoredMark {
    job_id: model::JobId,
    tenant: Option<model::TenantName>,
    /// Time of the cancel, in milliseconds since 1970.
    cancelled_at_ms: u64,
}

/// Marks in the order of their cancels, and the callers that wait until theirs are stored.
#[derive(Debug, Default)]
pub(crate) struct CancelMarks {
    marks: maps::IndexMap<MarkedJob, Mark>,
    /// Callers whose marks are in no batch yet.
    waiting: Vec<WaitingCaller>,
    /// Batch with the marks, and the callers that wait for it. There is one at a time, as a later one may
    /// be written first.
    in_flight: Option<(event::BatchId, Vec<WaitingCaller>)>,
    /// Marks that gave way to others since the term began.
    forgotten: u64,
}

impl CancelMarks {
    /// Remembers the cancel of an unknown job, whose caller is to be answered once the mark is stored.
    pub(crate) fn add(
        &mut self,
        token: job::RequestToken,
        job_id: model::JobId,
        tenant: Option<model::TenantName>,
        clock: event::Clock,
    ) {
        self.expire(clock.now);
        let key = (job_id, tenant);
        self.marks.shift_remove(&key);
        self.make_room(&key.1);
        let mark = Mark {
            cancelled_at: clock.now,
            cancelled_at_ms: clock.wall_ms,
            acknowledged_at: None,
        };
        self.marks.insert(key.clone(), mark);
        self.waiting.push((token, key));
    }

    /// Removes the oldest marks of the tenant, and of all, that leave no room for one more.
    fn make_room(&mut self, tenant: &Option<model::TenantName>) {
        let is_own = |(_, owner): &MarkedJob| owner == tenant;
        let own_count = self.marks.keys().filter(|key| is_own(key)).count();
        let oldest_own = self.marks.keys().position(is_own);
        let evicted = if tenant.is_some() && own_count >= MAX_TENANT_MARKS {
            oldest_own
        } else {
            (self.marks.len() >= MAX_MARKS).then_some(0)
        };
        let evicted = evicted.and_then(|index| self.marks.shift_remove_index(index));
        if let Some(((job_id, _), _)) = evicted {
            self.forgotten += 1;
            log::warn!(
                job:% = journal::job_id_hex(job_id),
                marks = self.marks.len(),
                tenant = tenant.as_deref().unwrap_or_default();
                "cancel of an unknown job forgotten early, as there are too many"
            );
        }
    }

    fn expire(&mut self, now: time::Instant) {
        let is_expired =
            |mark: &&Mark| now.saturating_duration_since(mark.cancelled_at) >= CANCEL_MARK_TIME;
        let expired = self.marks.values().take_while(is_expired).count();
        self.marks.drain(..expired);
    }

    /// Returns whether a submission that an instance received at `received_at` may have been sent before
    /// a cancel of the job.
    pub(crate) fn is_cancelled(
        &self,
        job_id: model::JobId,
        tenant: Option<&model::TenantName>,
        received_at: time::Instant,
    ) -> bool {
        if self.marks.is_empty() {
            return false;
        }
        let mark = self.marks.get(&(job_id, tenant.cloned()));
        let acknowledged_at = mark.map(|mark| mark.acknowledged_at);
        acknowledged_at.is_some_and(|at| at.is_none_or(|at| received_at < at))
    }

    pub(crate) fn forgotten(&self) -> u64 {
        self.forgotten
    }

    /// Returns whether a batch is needed for callers that wait.
    pub(crate) fn needs_batch(&self) -> bool {
        !self.waiting.is_empty() && self.in_flight.is_none()
    }

    /// Returns the key and the value that `batch` is to write, if callers wait.
    pub(crate) fn begin_batch(
        &mut self,
        batch: event::BatchId,
        now: time::Instant,
    ) -> Option<(String, Vec<u8>)> {
        if !self.needs_batch() {
            return None;
        }
        self.expire(now);
        self.in_flight = Some((batch, std::mem::take(&mut self.waiting)));
        let marks = self.marks.iter();
        let stored = marks.map(|((job_id, tenant), mark)| StoredMark {
            job_id: *job_id,
            tenant: tenant.clone(),
            cancelled_at_ms: mark.cancelled_at_ms,
        });
        let stored: Vec<_> = stored.collect();
        Some((CANCELS_KEY.to_owned(), record::encode(&stored)))
    }

    /// Returns the callers that waited for `batch`, which is stored, and are answered at `now`.
    pub(crate) fn on_committed(
        &mut self,
        batch: event::BatchId,
        now: time::Instant,
    ) -> Vec<job::RequestToken> {
        let callers = self.take_in_flight(batch);
        for (_, key) in &callers {
            if let Some(mark) = self.marks.get_mut(key) {
                mark.acknowledged_at = Some(now);
            }
        }
        callers.into_iter().map(|(token, _)| token).collect()
    }

    fn take_in_flight(&mut self, batch: event::BatchId) -> Vec<WaitingCaller> {
        let in_flight = self.in_flight.take_if(|(id, _)| *id == batch);
        in_flight.map_or_else(Vec::new, |(_, callers)| callers)
    }

    /// Lets the callers that waited for `batch`, which was not written, wait for another one.
    pub(crate) fn on_rejected(&mut self, batch: event::BatchId) {
        let callers = self.take_in_flight(batch);
        self.waiting.splice(0..0, callers);
    }

    /// Returns the callers whose marks are in no batch; they wait no longer.
    pub(crate) fn take_waiting(&mut self) -> Vec<job::RequestToken> {
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_iter().map(|(token, _)| token).collect()
    }

    /// Restores the marks that an earlier leader has stored.
    ///
    /// # Errors
    ///
    /// Returns the decoder's message if the value cannot be decoded.
    pub(crate) fn restore(&mut self, value: &[u8], clock: event::Clock) -> Result<(), String> {
        let decoded = bincode::serde::decode_from_slice(value, bincode::config::standard());
        let (stored, _): (Vec<StoredMark>, usize) = decoded.map_err(|error| error.to_string())?;
        let kept_ms = CANCEL_MARK_TIME.as_millis() as u64 + CLOCK_SLACK_MS;
        for mark in stored {
            if mark.cancelled_at_ms.saturating_add(kept_ms) < clock.wall_ms {
                continue;
            }
            let key = (mark.job_id, mark.tenant);
            // The earlier leader may have answered the caller until now.
            let mark = Mark {
                cancelled_at: clock.now,
                cancelled_at_ms: mark.cancelled_at_ms,
                acknowledged_at: Some(clock.now),
            };
            self.marks.insert(key, mark);
        }
        Ok(())
    }
}
