//! Forwarding of callers' requests to the leader, and handling of peers' requests.

use std::sync;
use std::time;

use tokio::sync::watch;

use crate::caller_request;
use crate::confirmation;
use crate::heartbeat;
use crate::instance;
use crate::platform;

/// Pause before a request is retried.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(40);
/// Time after which an attempt at the leader is repeated, if the budget allows it; a retry joins the
/// earlier attempt if that is still in progress.
const ATTEMPT_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
/// Time between two checks whether this instance still reaches the store.
const STORE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// How long the channel of a relay waits for this instance to lead.
const RECOVERY_WAIT: time::Duration = time::Duration::from_secs(2);
/// Time after which a question for the leader's clock counts as unanswered.
const CLOCK_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Age of a reading of the leader's clock from which it is read anew; a clock that is 2% slow is 0.2 s
/// behind by then.
const MAX_CLOCK_AGE: time::Duration = time::Duration::from_secs(10);
/// Longest timeout of a request that changes jobs. The leader remembers cancels of unknown jobs for longer,
/// so that no submission that was sent before one outlives it.
const MAX_CHANGE_TIMEOUT: time::Duration =
    jobs::CANCEL_MARK_TIME.saturating_sub(time::Duration::from_secs(5));
/// How an instance of an earlier build answers the question for its clock.
const REFUSED_AS_MALFORMED: peer::ErrorKind =
    peer::ErrorKind::Refused(peer::RefusalReason::Malformed);
/// Longest timeout of a request that changes nothing.
const MAX_READ_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Accepts callers' requests; clones share the instance.
pub struct Gateway<P: platform::Platform> {
    shared: sync::Arc<instance::Shared<P>>,
}

impl<P: platform::Platform> Clone for Gateway<P> {
    fn clone(&self) -> Self {
        Self::new(sync::Arc::clone(&self.shared))
    }
}

impl<P: platform::Platform> Gateway<P> {
    pub(crate) fn new(shared: sync::Arc<instance::Shared<P>>) -> Self {
        Self { shared }
    }

    /// Returns the manifest in force at this instance.
    #[must_use]
    pub fn manifest(&self) -> Option<sync::Arc<jobs::Manifest>> {
        let manifest = self.shared.manifest.borrow();
        manifest
            .as_ref()
            .map(|active| sync::Arc::clone(&active.manifest))
    }

    /// Returns whether the manifest in force is confirmed recently enough to trust its API keys.
    #[must_use]
    pub fn trusts_api_keys(&self) -> bool {
        let timeout = self.shared.settings.revocation_timeout;
        timeout.is_none_or(|timeout| self.shared.confirmation.is_within(timeout))
    }

    /// Returns whether a load balancer should send callers to this instance.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let is_leading = self.shared.leading.borrow().is_some();
        !self.shared.is_draining()
            && self.shared.manifest.borrow().is_some()
            && (is_leading || heartbeat::build_heartbeat(&self.shared).leader.is_some())
    }

    /// Returns the metrics of this instance.
    #[must_use]
    pub fn metrics(&self) -> &telemetry::Metrics {
        &self.shared.metrics
    }

    /// Sends a caller's request to the leader; the caller waits for the reply for `timeout`.
    pub async fn request(
        &self,
        request: caller_request::CallerRequest,
        timeout: time::Duration,
    ) -> model::JobReply {
        let model::JobRequest::Pending { queue } = &request.request else {
            return self.ask_leader(request, timeout).await;
        };
        let queue = sync::Arc::clone(queue);
        let read = self.ask_leader(request, timeout);
        self.shared.pending_counts.get_or_read(&queue, read).await
    }

    async fn ask_leader(
        &self,
        request: caller_request::CallerRequest,
        timeout: time::Duration,
    ) -> model::JobReply {
        let timeout = timeout.min(match request.changes_jobs() {
            true => MAX_CHANGE_TIMEOUT,
            false => MAX_READ_TIMEOUT,
        });
        let started_at = stall::uptime();
        let mut pending = PendingRequest {
            shared: &self.shared,
            started_at,
            handle_by: started_at + timeout,
            attempts: admit::Attempts::new(&request.request),
            forwarded_term: None,
            failed_attempts: 0,
        };
        loop {
            if pending.remaining().is_zero() {
                return pending.attempts.timeout_reply();
            }
            if let Some(reply) = pending.attempt(&request).await {
                return reply;
            }
            let leader_wait = self.shared.settings.leader_wait;
            if !pending.attempts.is_in_doubt() && pending.elapsed() >= leader_wait {
                return pending.attempts.timeout_reply();
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// A caller's request during the attempts to get a reply from the leader.
struct PendingRequest<'a, P: platform::Platform> {
    shared: &'a sync::Arc<instance::Shared<P>>,
    started_at: stall::Uptime,
    /// Time from which no instance may handle the request any more: the caller has been answered.
    handle_by: stall::Uptime,
    attempts: admit::Attempts,
    /// Term of the leader to which the request was last sent.
    forwarded_term: Option<model::Term>,
    /// Number of attempts that failed on the link to the leader.
    failed_attempts: u32,
}

impl<P: platform::Platform> PendingRequest<'_, P> {
    fn elapsed(&self) -> time::Duration {
        stall::uptime().saturating_sub(self.started_at)
    }

    fn remaining(&self) -> time::Duration {
        self.handle_by.saturating_sub(stall::uptime())
    }

    /// Sends the request to the leader once; `None` if it should be retried.
    async fn attempt(
        &mut self,
        request: &caller_request::CallerRequest,
    ) -> Option<model::JobReply> {
        let leading = self.shared.leading.borrow().clone();
        let Some(leading) = leading else {
            return self.forward(request).await;
        };
        let version = self.shared.manifest_version();
        let request = request.clone();
        let reply =
            send_to_control_thread(self.shared, &leading, version, request, self.handle_by).await;
        self.attempts.accept(reply, leading.term)
    }

    /// Sends the request to the instance that leads, until another one does.
    async fn forward(
        &mut self,
        request: &caller_request::CallerRequest,
    ) -> Option<model::JobReply> {
        let slot = self.shared.forward_slots.acquire();
        let Ok(Ok(_slot)) = tokio::time::timeout(self.remaining(), slot).await else {
            self.shared.metrics.count("forward.no_slot");
            return None;
        };
        let mut cluster = self.shared.cluster.subscribe();
        let leader = cluster.borrow_and_update().leader().cloned()?;
        if leader.member.instance_id == self.shared.member.instance_id {
            return None;
        }
        if !self.may_send(leader.term) {
            return None;
        }
        let is_replaced = |view: &elect::ClusterView| {
            view.leader()
                .is_none_or(|current| current.term != leader.term)
        };
        // A failed leader never answers the question for its clock.
        let message = tokio::select! {
            message = self.message(request, &leader) => message?,
            _ = cluster.wait_for(is_replaced) => return None,
        };
        let remaining = self.remaining();
        if remaining.is_zero() {
            return None;
        }
        let link = self.shared.links.to(&leader.member.address);
        let reply = tokio::select! {
            reply = link.request(&message, remaining) => reply,
            _ = cluster.wait_for(is_replaced) => {
                self.shared.metrics.count("forward.leader_replaced");
                self.attempts.record_unanswered(leader.term);
                return None;
            }
            () = self.wait_to_repeat() => {
                self.shared.metrics.count("forward.late");
                self.attempts.record_unanswered(leader.term);
                return None;
            }
        };
        match reply {
            Ok(model::ControllerReply::Job(reply)) => {
                let reply = self.attempts.accept(reply, leader.term)?;
                let is_lifted = self
                    .wait_for_successor(&reply, &mut cluster, leader.term)
                    .await;
                (!is_lifted).then_some(reply)
            }
            Ok(_) => {
                log::warn!(
                    leader:% = leader.member.instance_id;
                    "unexpected reply from the leader to a forwarded request"
                );
                self.attempts.record_unanswered(leader.term);
                None
            }
            Err(cause) => {
                if !cause.is_unhandled() {
                    self.attempts.record_unanswered(leader.term);
                }
                self.record_failure(&leader, &cause);
                None
            }
        }
    }

    /// Returns the message that passes the request to `leader`; `None` if the leader does not tell its
    /// clock, so that the request has to wait.
    async fn message(
        &mut self,
        request: &caller_request::CallerRequest,
        leader: &elect::Leader,
    ) -> Option<model::ControllerRequest> {
        let manifest_version = self.shared.manifest_version();
        if !request.changes_jobs() {
            return Some(request.to_message(manifest_version, self.remaining()));
        }
        let asking = read_leader_clock(self.shared, leader);
        let clock = tokio::time::timeout(self.remaining(), asking).await.ok()?;
        match clock {
            Ok(Some(clock)) => {
                let handle_by = self.handle_by;
                Some(request.to_timed_message(manifest_version, leader.term, clock, handle_by))
            }
            Ok(None) => Some(request.to_message(manifest_version, self.remaining())),
            Err(cause) => {
                self.record_failure(leader, &cause);
                None
            }
        }
    }

    /// Waits for a successor if `reply` is a refusal that it may lift; returns whether there is one.
    async fn wait_for_successor(
        &self,
        reply: &model::JobReply,
        cluster: &mut watch::Receiver<elect::ClusterView>,
        term: model::Term,
    ) -> bool {
        let settings = &self.shared.settings;
        let remaining = settings.leader_wait.saturating_sub(self.elapsed());
        let is_store_reachable = self.shared.is_store_reachable();
        let Some(wait) = admit::successor_wait(reply, is_store_reachable, remaining) else {
            return false;
        };
        self.shared.metrics.count("forward.refusal_withheld");
        let has_successor =
            |view: &elect::ClusterView| view.leader().is_some_and(|current| current.term > term);
        let lose_store = async {
            while self.shared.is_store_reachable() {
                tokio::time::sleep(STORE_CHECK_INTERVAL).await;
            }
        };
        tokio::select! {
            changed = tokio::time::timeout(wait, cluster.wait_for(has_successor)) => {
                matches!(changed, Ok(Ok(_)))
            }
            () = lose_store => false,
        }
    }

    /// Returns whether the request may be sent to the leader of `term`; repetitions are limited.
    fn may_send(&mut self, term: model::Term) -> bool {
        let is_repetition = self.forwarded_term == Some(term);
        let mut budget = instance::lock(&self.shared.retry_budget);
        if !is_repetition {
            budget.record_first_attempt();
        } else if !budget.try_retry(time::Instant::now()) {
            self.shared.metrics.count("forward.retry_withheld");
            return false;
        }
        self.forwarded_term = Some(term);
        true
    }

    /// Waits until an attempt is late and a repetition is allowed: the connection may be dead.
    async fn wait_to_repeat(&self) {
        loop {
            tokio::time::sleep(ATTEMPT_TIMEOUT).await;
            if instance::lock(&self.shared.retry_budget).has_retry(time::Instant::now()) {
                return;
            }
        }
    }

    /// Counts a failed attempt; only the first one of a request is logged, as an outage causes
    /// thousands.
    fn record_failure(&mut self, leader: &elect::Leader, cause: &peer::Error) {
        self.shared.metrics.count("forward.failed");
        self.failed_attempts += 1;
        if self.failed_attempts > 1 {
            return;
        }
        log::info!(
            leader:% = leader.member.instance_id,
            term = leader.term,
            cause:% = cause;
            "request to the leader failed"
        );
    }
}

/// Returns the clock of the leader, which is asked for it at times; `None` if it is of an earlier build.
async fn read_leader_clock<P: platform::Platform>(
    shared: &instance::Shared<P>,
    leader: &elect::Leader,
) -> Result<Option<stall::PeerClock>, peer::Error> {
    let leader_id = &leader.member.instance_id;
    let mut known = shared.leader_clock.lock().await;
    if let Some((instance_id, clock)) = &*known
        && instance_id == leader_id
        && clock.age(stall::uptime()) < MAX_CLOCK_AGE
    {
        return Ok(Some(*clock));
    }
    let link = shared.links.to(&leader.member.address);
    let reply = link.request(&model::ControllerRequest::Clock, CLOCK_TIMEOUT);
    match reply.await {
        Ok(model::ControllerReply::Clock { reading_ms }) => {
            let reading = time::Duration::from_millis(reading_ms);
            let clock = stall::PeerClock::new(reading, stall::uptime());
            *known = Some((sync::Arc::clone(leader_id), clock));
            Ok(Some(clock))
        }
        Ok(_) => Ok(None),
        Err(cause) if cause.kind() == REFUSED_AS_MALFORMED => Ok(None),
        Err(cause) => Err(cause),
    }
}

/// Handles requests of other instances.
pub(crate) struct PeerHandler<P: platform::Platform> {
    shared: sync::Arc<instance::Shared<P>>,
}

impl<P: platform::Platform> Clone for PeerHandler<P> {
    fn clone(&self) -> Self {
        Self::new(sync::Arc::clone(&self.shared))
    }
}

impl<P: platform::Platform> PeerHandler<P> {
    pub(crate) fn new(shared: sync::Arc<instance::Shared<P>>) -> Self {
        Self { shared }
    }

    /// Waits until this instance leads: relays may hear of its term before it has recovered its state.
    async fn wait_to_lead(&self) -> Option<instance::Leading> {
        let mut leading = self.shared.leading.subscribe();
        tokio::select! {
            recovered = leading.wait_for(Option::is_some) => recovered.ok()?.clone(),
            () = tokio::time::sleep(RECOVERY_WAIT) => None,
            () = self.shared.stop.cancelled() => None,
        }
    }

    async fn handle_job(
        &self,
        manifest_version: model::ManifestVersion,
        request: caller_request::CallerRequest,
        handle_by: stall::Uptime,
    ) -> model::JobReply {
        let leading = self.shared.leading.borrow().clone();
        let Some(leading) = leading else {
            return model::JobReply::NotLeading;
        };
        send_to_control_thread(&self.shared, &leading, manifest_version, request, handle_by).await
    }

    /// Handles a request that changes jobs, unless it is for another term or has come too late.
    async fn handle_timed_job(
        &self,
        term: model::Term,
        manifest_version: model::ManifestVersion,
        request: caller_request::CallerRequest,
        handle_by: stall::Uptime,
    ) -> model::JobReply {
        let leads = |leading: &instance::Leading| leading.term == term;
        if !self.shared.leading.borrow().as_ref().is_some_and(leads) {
            return model::JobReply::NotLeading;
        }
        let late_by = stall::uptime().saturating_sub(handle_by);
        if !late_by.is_zero() {
            self.shared.metrics.count("forward.too_late");
            log::info!(
                job:% = request.job_id_text(),
                term,
                late_ms = late_by.as_millis() as u64;
                "forwarded request dropped, as its caller has been answered by now"
            );
            return model::JobReply::NotLeading;
        }
        self.handle_job(manifest_version, request, handle_by).await
    }
}

/// Sends a request to the control thread of this instance, which leads.
///
/// A leader whose lease the store has not confirmed within its TTL may have been replaced. That it
/// does not know a job then proves nothing, so the reply is `Undecided`.
async fn send_to_control_thread<P: platform::Platform>(
    shared: &instance::Shared<P>,
    leading: &instance::Leading,
    manifest_version: model::ManifestVersion,
    request: caller_request::CallerRequest,
    handle_by: stall::Uptime,
) -> model::JobReply {
    let timeout = handle_by.saturating_sub(stall::uptime());
    let reply = leading
        .control
        .request(manifest_version, request, handle_by);
    match tokio::time::timeout(timeout, reply).await {
        Ok(Some(model::JobReply::Unknown)) if !shared.has_confirmed_lease() => {
            model::JobReply::Undecided
        }
        Ok(Some(reply)) => reply,
        Ok(None) | Err(_) => model::JobReply::Undecided,
    }
}

impl<P: platform::Platform> peer::Handler for PeerHandler<P> {
    type Request = model::ControllerRequest;

    async fn handle(
        &self,
        from: model::InstanceId,
        request: model::ControllerRequest,
    ) -> model::ControllerReply {
        match request {
            model::ControllerRequest::Heartbeat(heartbeat) => {
                if let Some(leading) = &*self.shared.leading.borrow() {
                    leading.relays.record_heartbeat(&heartbeat);
                }
                let version = heartbeat.manifest_version;
                confirmation::record_sender_version(&self.shared, &from, version);
                model::ControllerReply::Heartbeat(heartbeat::build_heartbeat(&self.shared))
            }
            model::ControllerRequest::Job {
                manifest_version,
                remaining_ms,
                request,
            } => {
                let handle_by = stall::uptime() + time::Duration::from_millis(remaining_ms);
                let request = caller_request::CallerRequest {
                    request,
                    tenant: None,
                    received_at: stall::uptime(),
                };
                confirmation::record_sender_version(&self.shared, &from, manifest_version);
                model::ControllerReply::Job(
                    self.handle_job(manifest_version, request, handle_by).await,
                )
            }
            model::ControllerRequest::TenantJob {
                tenant,
                manifest_version,
                remaining_ms,
                request,
            } => {
                let handle_by = stall::uptime() + time::Duration::from_millis(remaining_ms);
                let request = caller_request::CallerRequest {
                    request,
                    tenant: Some(tenant),
                    received_at: stall::uptime(),
                };
                confirmation::record_sender_version(&self.shared, &from, manifest_version);
                model::ControllerReply::Job(
                    self.handle_job(manifest_version, request, handle_by).await,
                )
            }
            model::ControllerRequest::Clock => {
                let reading = stall::uptime().saturating_sub(self.shared.started_at);
                model::ControllerReply::Clock {
                    reading_ms: reading.as_millis() as u64,
                }
            }
            model::ControllerRequest::TimedJob {
                term,
                received_ms,
                handle_by_ms,
                tenant,
                manifest_version,
                request,
            } => {
                let at = |reading_ms| {
                    let reading = time::Duration::from_millis(reading_ms);
                    self.shared.started_at.saturating_add(reading)
                };
                let handle_by = at(handle_by_ms);
                let request = caller_request::CallerRequest {
                    request,
                    tenant,
                    received_at: at(received_ms),
                };
                confirmation::record_sender_version(&self.shared, &from, manifest_version);
                let handling = self.handle_timed_job(term, manifest_version, request, handle_by);
                model::ControllerReply::Job(handling.await)
            }
            model::ControllerRequest::ManifestState => confirmation::state(&self.shared),
            model::ControllerRequest::Manifest => {
                let manifest = self.shared.manifest.borrow();
                let encoded = manifest.as_ref().map(|active| active.encoded.to_vec());
                model::ControllerReply::Manifest(encoded)
            }
        }
    }

    async fn serve_channel(&self, from: model::InstanceId, channel: peer::Channel) {
        let leading = self.wait_to_lead().await;
        if let Some(leading) = leading {
            leading.relays.serve(from, channel).await;
        }
    }
}
