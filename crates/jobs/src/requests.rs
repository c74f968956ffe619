//! Handles the requests of callers: submit, status, cancel and pending.

use std::sync;
use std::time;

use crate::event;
use crate::job;
use crate::journal;
use crate::scheduler;

/// Shortest delay before callers should retry while the store is unreachable, in milliseconds.
const MIN_STORE_RETRY_MS: u64 = 1_000;
/// Longest delay before callers should retry while the store is unreachable, in milliseconds.
const MAX_STORE_RETRY_MS: u64 = 5_000;
/// Delay before callers should hand in a job again that was cancelled meanwhile, in milliseconds: what
/// they send after the answer is taken for new.
const CANCELLED_RETRY_MS: u64 = 1_000;
/// Delay before callers should retry while too many steps wait, in milliseconds.
const OVERLOAD_RETRY_MS: u64 = 2_000;

/// What is known of a request besides its content.
pub(crate) struct Arrived {
    pub(crate) token: job::RequestToken,
    /// Time since an instance received it from the caller.
    pub(crate) age: time::Duration,
    /// Newest manifest version that the requesting instance has.
    pub(crate) manifest_version: model::ManifestVersion,
    /// Tenant whose API key the request has.
    pub(crate) tenant: Option<model::TenantName>,
    /// Delay before callers should retry, in milliseconds, if the leader takes in no new jobs.
    pub(crate) overload_retry_ms: Option<u64>,
}

impl scheduler::Scheduler {
    pub(crate) fn on_request(
        &mut self,
        arrived: Arrived,
        request: model::JobRequest,
        clock: event::Clock,
    ) {
        let token = arrived.token;
        let reply = match request {
            model::JobRequest::Submit(job) => {
                match (self.resubmit(&arrived, job), arrived.overload_retry_ms) {
                    (Ok(reply), _) => reply,
                    (Err(_), Some(retry_ms)) => {
                        Some(refused(model::RefusalReason::Overloaded, retry_ms))
                    }
                    (Err(job), None) => self.submit(arrived, *job, clock),
                }
            }
            model::JobRequest::Status { job_id } => Some(self.status(&arrived, job_id)),
            model::JobRequest::Cancel { job_id } => self.cancel(&arrived, job_id, clock),
            model::JobRequest::Pending { queue } => Some(self.pending(&queue)),
        };
        if let Some(reply) = reply {
            self.actions.push(event::Action::Reply(token, reply));
        }
    }

    /// Handles the submission of a known job; returns the job if it is not known.
    ///
    /// The reply is `None` while the job is not stored.
    fn resubmit(
        &mut self,
        arrived: &Arrived,
        job: Box<model::Job>,
    ) -> Result<Option<model::JobReply>, Box<model::Job>> {
        let is_visible = self.is_visible(arrived, job.id);
        if self.ended.contains_key(&job.id) && is_visible {
            return Ok(Some(model::JobReply::Accepted));
        }
        if self.ended.contains_key(&job.id) {
            log::warn!(
                job:% = journal::job_id_hex(job.id);
                "submission refused: its id belongs to an ended job of another tenant"
            );
            return Ok(Some(refused(model::RefusalReason::IdInUse, 0)));
        }
        let Some(state) = self.jobs.get_mut(&job.id) else {
            return Err(job);
        };
        if *state.job != *job || !is_visible {
            log::warn!(
                job:% = journal::job_id_hex(job.id);
                "submission refused: its id belongs to another job"
            );
            return Ok(Some(refused(model::RefusalReason::IdInUse, 0)));
        }
        if state.is_stored {
            return Ok(Some(model::JobReply::Accepted));
        }
        let reply = job::Effect::Reply(arrived.token, model::JobReply::Accepted);
        state.effects.push(reply);
        self.journal.mark_dirty(job.id);
        Ok(None)
    }

    /// Takes in a job that is not known yet.
    fn submit(
        &mut self,
        arrived: Arrived,
        job: model::Job,
        clock: event::Clock,
    ) -> Option<model::JobReply> {
        let job_id = job.id;
        let Some(queue) = self.manifest.queues.get(&job.queue) else {
            if arrived.manifest_version > self.manifest.version {
                return Some(model::JobReply::NotLeading);
            }
            return Some(refused(model::RefusalReason::UnknownQueue, 0));
        };
        let tenant = match self.known_tenant(&arrived, &job.queue) {
            Ok(tenant) => tenant,
            Err(reply) => return Some(reply),
        };
        let queue = sync::Arc::clone(queue);
        let received_at = clock.now.checked_sub(arrived.age).unwrap_or(clock.now);
        let caller = arrived.tenant.as_ref();
        if self.cancel_marks.is_cancelled(job_id, caller, received_at) {
            log::info!(
                job:% = journal::job_id_hex(job_id),
                age_ms = arrived.age.as_millis() as u64,
                term = self.term;
                "submission refused: the job was cancelled after it had been received"
            );
            return Some(refused(model::RefusalReason::Cancelled, CANCELLED_RETRY_MS));
        }
        let mut state =
            job::JobState::new(sync::Arc::new(job), queue, clock.wall_ms).with_tenant(tenant);
        if state.record_bytes > self.max_record_bytes() {
            log::info!(
                job:% = journal::job_id_hex(job_id),
                bytes = state.record_bytes,
                limit_bytes = self.max_record_bytes();
                "submission refused: its record is too large for the store"
            );
            return Some(refused(model::RefusalReason::TooLarge, 0));
        }
        self.tenancy.enter(state.tenant.as_ref());
        if let Some(refusal) = self.refuse_beyond_cap(&state, clock) {
            // A newer manifest may have a higher cap.
            let is_outdated = arrived.manifest_version > self.manifest.version;
            return Some(match is_outdated {
                true => model::JobReply::NotLeading,
                false => refusal,
            });
        }
        if !self.store_reachable {
            let retry_after_ms = self.store_retry_ms(clock);
            return Some(refused(
                model::RefusalReason::StoreUnavailable,
                retry_after_ms,
            ));
        }
        if self.waiting.len() > self.settings.max_waiting_steps {
            return Some(refused(model::RefusalReason::Overloaded, OVERLOAD_RETRY_MS));
        }
        if let Some(refusal) = self.apply_rate(&mut state, clock) {
            return Some(refusal);
        }
        let reply = job::Effect::Reply(arrived.token, model::JobReply::Accepted);
        state.effects.push(reply);
        log::info!(
            job:% = journal::job_id_hex(job_id),
            queue:% = state.job.queue,
            tenant = state.tenant.as_deref().unwrap_or_default(),
            is_beyond_rate = state.is_beyond_rate,
            steps = state.job.steps.len(),
            manifest = self.manifest.version,
            term = self.term;
            "job received, not stored yet"
        );
        self.jobs.insert(job_id, state);
        self.journal.mark_dirty(job_id);
        self.enqueue(job_id, clock);
        None
    }

    /// Returns the tenant of a submission; `None` for one without a tenant.
    ///
    /// The key was checked against the manifest of another instance. If that one is newer, the request
    /// waits until this instance has it; if it is older, a tenant that is not known has been removed, and
    /// its key counts as unknown.
    fn known_tenant(
        &self,
        arrived: &Arrived,
        queue: &model::QueueName,
    ) -> Result<Option<model::TenantName>, model::JobReply> {
        let (Some(tenants), Some(tenant)) = (&self.manifest.tenants, &arrived.tenant) else {
            return Ok(arrived.tenant.clone());
        };
        if tenants.get(tenant).is_some() {
            return Ok(Some(model::TenantName::clone(tenant)));
        }
        if arrived.manifest_version > self.manifest.version {
            return Err(model::JobReply::NotLeading);
        }
        if self.manifest.public_queues.contains(queue) {
            return Ok(None);
        }
        log::info!(
            tenant:% = tenant,
            manifest = self.manifest.version,
            requesting_manifest = arrived.manifest_version;
            "submission refused: its tenant has been removed"
        );
        Err(refused(model::RefusalReason::Unauthorized, 0))
    }

    /// Returns whether a request may see a job, if there is one with this id: a job without a tenant,
    /// one of its own tenant, or without a tenant of its own one of a public queue.
    fn is_visible(&self, arrived: &Arrived, job_id: model::JobId) -> bool {
        if self.manifest.tenants.is_none() {
            return true;
        }
        let (owner, queue) = match (self.ended.get(&job_id), self.jobs.get(&job_id)) {
            (Some(ended), _) => match &ended.owner {
                Some(owner) => (&owner.tenant, &owner.queue),
                None => return true,
            },
            (None, Some(state)) => match &state.tenant {
                Some(tenant) => (tenant, &state.job.queue),
                None => return true,
            },
            (None, None) => return true,
        };
        match &arrived.tenant {
            Some(tenant) => tenant == owner,
            None => self.manifest.public_queues.contains(queue),
        }
    }

    fn status(&self, arrived: &Arrived, job_id: model::JobId) -> model::JobReply {
        if !self.is_visible(arrived, job_id) {
            return model::JobReply::Unknown;
        }
        if let Some(ended) = self.ended.get(&job_id) {
            return model::JobReply::Status(ended.ending.outcome);
        }
        let state = self.jobs.get(&job_id).filter(|state| state.is_stored);
        state.map_or(model::JobReply::Unknown, |state| {
            model::JobReply::Status(state.status())
        })
    }

    fn cancel(
        &mut self,
        arrived: &Arrived,
        job_id: model::JobId,
        clock: event::Clock,
    ) -> Option<model::JobReply> {
        if !self.is_visible(arrived, job_id) {
            return Some(model::JobReply::Unknown);
        }
        if let Some(ended) = self.ended.get(&job_id) {
            return Some(model::JobReply::Status(ended.ending.outcome));
        }
        if !self.jobs.contains_key(&job_id) {
            return self.cancel_unknown(arrived, job_id, clock);
        }
        self.decide_outcome(job_id, model::JobStatus::Cancelled, clock);
        let state = self.jobs.get_mut(&job_id)?;
        if let Some(outcome) = state.stored_outcome {
            return Some(model::JobReply::Status(outcome));
        }
        let outcome = state.outcome.unwrap_or(model::JobStatus::Cancelled);
        let reply = model::JobReply::Status(outcome);
        state.effects.push(job::Effect::Reply(arrived.token, reply));
        self.journal.mark_dirty(job_id);
        None
    }

    /// Handles the cancel of a job that is not known. Its submission may be on its way, so that it is
    /// answered once the cancel is stored: a leader that has been replaced stores nothing.
    fn cancel_unknown(
        &mut self,
        arrived: &Arrived,
        job_id: model::JobId,
        clock: event::Clock,
    ) -> Option<model::JobReply> {
        if !self.store_reachable {
            let reason = model::RefusalReason::StoreUnavailable;
            return Some(refused(reason, self.store_retry_ms(clock)));
        }
        log::info!(
            job:% = journal::job_id_hex(job_id),
            term = self.term;
            "cancel of an unknown job; submissions received before are refused"
        );
        let tenant = arrived.tenant.clone();
        self.cancel_marks.add(arrived.token, job_id, tenant, clock);
        None
    }

    fn pending(&self, queue: &model::QueueName) -> model::JobReply {
        let waiting = self.jobs.values().filter(|state| {
            state.job.queue == *queue
                && state.is_stored
                && !state.started
                && state.outcome.is_none()
        });
        model::JobReply::Pending(waiting.count() as u64)
    }

    /// Returns the retry delay in milliseconds: an outage is expected to last about as long again
    /// as it has lasted so far.
    fn store_retry_ms(&self, clock: event::Clock) -> u64 {
        let age = self.store_lost_at.map_or(time::Duration::ZERO, |at| {
            clock.now.saturating_duration_since(at)
        });
        (age.as_millis() as u64).clamp(MIN_STORE_RETRY_MS, MAX_STORE_RETRY_MS)
    }

    /// Refuses jobs that are neither stored nor in a batch in flight, as the store is unreachable.
    pub(crate) fn refuse_unstored(&mut self) {
        let reason = model::RefusalReason::StoreUnavailable;
        self.drop_unstored(&refused(reason, MIN_STORE_RETRY_MS));
    }

    /// Ends the term: callers whose jobs are neither stored nor in a batch in flight may ask the
    /// next leader.
    ///
    /// Returns the replies to them; the scheduler must not be used after that.
    pub fn end_term(&mut self) -> Vec<event::Action> {
        self.drop_unstored(&model::JobReply::NotLeading);
        std::mem::take(&mut self.actions)
    }

    /// Drops jobs and cancels that are neither stored nor in a batch in flight, and replies to their
    /// callers.
    fn drop_unstored(&mut self, reply: &model::JobReply) {
        for token in self.cancel_marks.take_waiting() {
            let action = event::Action::Reply(token, reply.clone());
            self.actions.push(action);
        }
        let waiting: Vec<_> = self.journal.dirty_jobs().collect();
        for job_id in waiting {
            let is_new = self.jobs.get(&job_id).is_some_and(|state| !state.is_stored);
            if !is_new || self.journal.is_in_flight(job_id) {
                continue;
            }
            self.drop_job(job_id, reply);
        }
    }

    /// Drops a job that is not stored, and replies to its callers.
    pub(crate) fn drop_job(&mut self, job_id: model::JobId, reply: &model::JobReply) {
        self.dequeue(job_id);
        let Some(state) = self.remove_job(job_id) else {
            return;
        };
        log::info!(
            job:% = journal::job_id_hex(job_id),
            store_reachable = self.store_reachable,
            planned_runs = state.placed_runs().len(),
            reply:? = reply;
            "job dropped before it was stored"
        );
        for effect in state.effects {
            if let job::Effect::Reply(token, _) = effect {
                self.actions
                    .push(event::Action::Reply(token, reply.clone()));
            }
        }
    }
}

pub(crate) fn refused(reason: model::RefusalReason, retry_after_ms: u64) -> model::JobReply {
    model::JobReply::Refused {
        reason,
        retry_after_ms,
    }
}
