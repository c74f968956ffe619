//! A request of a caller, with the tenant that it belongs to.

use std::time;

/// A request of a caller, with the tenant that it belongs to.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The request.
    pub request: model::JobRequest,
    /// Tenant whose API key the caller has shown.
    pub tenant: Option<model::TenantName>,
}

impl CallerRequest {
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
