//! A request of a caller, with the tenant that it belongs to.

use std::time;

/// A request of a caller, with the tenant that it belongs to.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The request.
    pub request: model::JobRequest,
    /// Tenant whose API key the caller has shown.
    pub tenant: Option<model::TenantName>,
    /// When an instance received the request from the caller, by the clock of this one.
    pub received_at: stall::Uptime,
}

impl CallerRequest {
    /// Returns the id of the job for logs; empty for a request about a queue.
    pub(crate) fn job_id_text(&self) -> String {
        match &self.request {
            model::JobRequest::Submit(job) => format!("{:016x}", job.id),
            model::JobRequest::Status { job_id } | model::JobRequest::Cancel { job_id } => {
                format!("{job_id:016x}")
            }
            model::JobRequest::Pending { .. } => String::new(),
        }
    }

    /// Returns whether the request changes jobs, rather than asking about them.
    pub(crate) fn changes_jobs(&self) -> bool {
        matches!(
            self.request,
            model::JobRequest::Submit(_) | model::JobRequest::Cancel { .. }
        )
    }

    /// Returns the message to the leader of `term`, which must handle it before `handle_by`; both times
    /// are given by its clock.
    pub(crate) fn to_timed_message(
        &self,
        manifest_version: model::ManifestVersion,
        term: model::Term,
        clock: stall::PeerClock,
        handle_by: stall::Uptime,
    ) -> model::ControllerRequest {
        model::ControllerRequest::TimedJob {
            term,
            received_ms: clock.reading_at(self.received_at).as_millis() as u64,
            handle_by_ms: clock.reading_at(handle_by).as_millis() as u64,
            tenant: self.tenant.clone(),
            manifest_version,
            request: self.request.clone(),
        }
    }

    /// Returns the message to the leader. Without a tenant its layout is that of builds without tenants.
    pub(crate) fn to_message(
        &self,
        manifest_version: model::ManifestVersion,
        remaining: time::Duration,
    ) -> model::ControllerRequest {
        let remaining_ms = remaining.as_millis() as u64;
        let request = self.request.clone();
        match &self.tenant {
            None => model::ControllerRequest::Job {
                manifest_version,
                remaining_ms,
                request,
            },
            Some(tenant) => model::ControllerRequest::TenantJob {
                tenant: model::TenantName::clone(tenant),
                manifest_version,
                remaining_ms,
                request,
            },
        }
    }
}
