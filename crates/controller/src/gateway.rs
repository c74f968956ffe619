//! Requests of callers, passed to the leader wherever it is.

use std::sync;
use std::time;

use crate::instance;
use crate::platform;
use crate::platform::Advisor as _;
use crate::pulse;

/// Pause before a request is tried again.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(40);
/// When callers should come back while nobody leads, in milliseconds.
const NO_LEADER_RETRY_MS: u64 = 1_000;
/// How long one try at the leader may take before the next, which joins it if it is still there.
const TRY_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
/// Largest time that a status is looked for.
const STATUS_PATIENCE: time::Duration = time::Duration::from_millis(1_500);

/// Hands callers' requests in; clones share the instance.
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
        manifest.as_ref().map(|one| sync::Arc::clone(&one.manifest))
    }

    /// Returns whether callers should be sent to this instance.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let leads = self.shared.leading.borrow().is_some();
        !self.shared.is_draining()
            && self.shared.manifest.borrow().is_some()
            && (leads || pulse::own_pulse(&self.shared).leader.is_some())
    }

    /// Returns the metrics of this instance.
    #[must_use]
    pub fn metrics(&self) -> &telemetry::Metrics {
        &self.shared.metrics
    }

    /// Answers a request of a caller who waits for `patience`.
    pub async fn ask(
        &self,
        request: model::JobRequest,
        patience: time::Duration,
    ) -> model::JobReply {
        let started = time::Instant::now();
        let is_change = matches!(
            request,
            model::JobRequest::Submit(_) | model::JobRequest::Cancel { .. }
        );
        let patience = if is_change {
            patience
        } else {
            patience.min(STATUS_PATIENCE)
        };
        let mut asking = Asking {
            shared: &self.shared,
            may_have_run: false,
            failures: 0,
        };
        loop {
            let left = patience.saturating_sub(started.elapsed());
            if left.is_zero() {
                return asking.give_up();
            }
            if let Some(reply) = asking.attempt(&request, left).await {
                return reply;
            }
            let waited = started.elapsed();
            if !asking.may_have_run && waited >= self.shared.settings.leader_patience {
                return asking.give_up();
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// One request on its way to a leader.
struct Asking<'a, P: platform::Platform> {
    shared: &'a sync::Arc<instance::Shared<P>>,
    /// Whether a leader may have taken the request without an answer.
    may_have_run: bool,
    /// Tries that did not reach the leader.
    failures: u32,
}

impl<P: platform::Platform> Asking<'_, P> {
    /// Tries the leader once; `None` to try again.
    async fn attempt(
        &mut self,
        request: &model::JobRequest,
        left: time::Duration,
    ) -> Option<model::JobReply> {
        let leading = self.shared.leading.borrow().clone();
        let reply = match leading {
            Some(leading) => {
                let version = self.shared.manifest_version();
                ask_control(self.shared, &leading, version, request.clone(), left).await
            }
            None => self.pass_on(request, left).await?,
        };
        match reply {
            model::JobReply::NotLeading => None,
            model::JobReply::Undecided => {
                self.may_have_run = true;
                None
            }
            // An earlier try may have been accepted by a leader that is not heard any more.
            model::JobReply::Refused { .. } if self.may_have_run => None,
            reply => Some(reply),
        }
    }

    async fn pass_on(
        &mut self,
        request: &model::JobRequest,
        left: time::Duration,
    ) -> Option<model::JobReply> {
        let leader = self.shared.cell.borrow().leader().cloned()?;
        if leader.member.instance_id == self.shared.member.instance_id {
            return None;
        }
        let timeout = left.min(TRY_TIMEOUT);
        let message = model::LinkRequest::Job {
            manifest_version: self.shared.manifest_version(),
            remaining_ms: timeout.as_millis() as u64,
            request: request.clone(),
        };
        let link = self.shared.links.to(&leader.member.address);
        match link.request(&message, timeout).await {
            Ok(model::LinkReply::Job(reply)) => Some(reply),
            Ok(_) => {
                log::warn!(leader:% = leader.member.instance_id; "request answered out of protocol");
                self.may_have_run = true;
                None
            }
            Err(cause) => {
                if !cause.is_unhandled() {
                    self.may_have_run = true;
                }
                self.note_failure(&leader, &cause);
                None
            }
        }
    }

    /// Counts a failed try; only the first of a request is logged, as an outage has thousands.
    fn note_failure(&mut self, leader: &elect::Leader, cause: &peer::Error) {
        self.shared.metrics.count("forward.failed");
        self.failures += 1;
        if self.failures > 1 {
            return;
        }
        log::info!(
            leader:% = leader.member.instance_id,
            term = leader.term,
            cause:% = cause;
            "request not passed on"
        );
    }

    fn give_up(&self) -> model::JobReply {
        if self.may_have_run {
            return model::JobReply::Undecided;
        }
        model::JobReply::Refused {
            reason: model::RefusalReason::NoLeader,
            retry_after_ms: NO_LEADER_RETRY_MS,
        }
    }
}

/// Answers other instances.
pub(crate) struct Peers<P: platform::Platform> {
    shared: sync::Arc<instance::Shared<P>>,
}

impl<P: platform::Platform> Clone for Peers<P> {
    fn clone(&self) -> Self {
        Self::new(sync::Arc::clone(&self.shared))
    }
}

impl<P: platform::Platform> Peers<P> {
    pub(crate) fn new(shared: sync::Arc<instance::Shared<P>>) -> Self {
        Self { shared }
    }

    async fn job(
        &self,
        manifest_version: model::ManifestVersion,
        remaining: time::Duration,
        request: model::JobRequest,
    ) -> model::JobReply {
        let leading = self.shared.leading.borrow().clone();
        let Some(leading) = leading else {
            return model::JobReply::NotLeading;
        };
        ask_control(&self.shared, &leading, manifest_version, request, remaining).await
    }
}

/// Asks the control thread of this instance, which leads.
///
/// A leader that the store has not confirmed lately may have been replaced: that it does not know
/// a job says nothing then.
async fn ask_control<P: platform::Platform>(
    shared: &instance::Shared<P>,
    leading: &instance::Leading,
    manifest_version: model::ManifestVersion,
    request: model::JobRequest,
    timeout: time::Duration,
) -> model::JobReply {
    let asked = leading.control.ask(manifest_version, request);
    match tokio::time::timeout(timeout, asked).await {
        Ok(Some(model::JobReply::Unknown)) if !shared.is_confirmed() => model::JobReply::Undecided,
        Ok(Some(reply)) => reply,
        Ok(None) | Err(_) => model::JobReply::Undecided,
    }
}

impl<P: platform::Platform> peer::Handler for Peers<P> {
    type Request = model::LinkRequest;

    async fn handle(
        &self,
        _from: model::InstanceId,
        request: model::LinkRequest,
    ) -> model::LinkReply {
        match request {
            model::LinkRequest::Pulse(pulse) => {
                let now = time::Instant::now();
                instance::lock(&self.shared.followers).heard(&pulse, now);
                model::LinkReply::Pulse(pulse::own_pulse(&self.shared))
            }
            model::LinkRequest::Job {
                manifest_version,
                remaining_ms,
                request,
            } => {
                let remaining = time::Duration::from_millis(remaining_ms);
                model::LinkReply::Job(self.job(manifest_version, remaining, request).await)
            }
            model::LinkRequest::Advise(request) => {
                let asked = self.shared.platform.advisor().advise(&request);
                model::LinkReply::Advice(asked.await)
            }
            model::LinkRequest::Manifest => {
                let manifest = self.shared.manifest.borrow();
                let text = manifest.as_ref().map(|one| one.text.to_vec());
                model::LinkReply::Manifest(text)
            }
        }
    }
}
