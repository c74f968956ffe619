//! Requests of tenants.

use super::Simulation;

impl Simulation {
    /// Gives the manifest tenants, each with its name as its key; `public_queues` need no key.
    pub(crate) fn use_tenants(&mut self, names: &[&str], public_queues: &[&str]) {
        let mut tenants = tenants::Tenants::default();
        for name in names {
            let tenant = tenants::Tenant {
                name: (*name).into(),
                weight: 1.0,
                cap: tenants::Cap::default(),
            };
            tenants.insert(tenant, [*name]);
        }
        self.manifest.version += 1;
        self.manifest.tenants = Some(std::sync::Arc::new(tenants));
        self.manifest.public_queues = public_queues.iter().map(|name| (*name).into()).collect();
        let manifest = self.manifest.clone();
        self.deliver(self.term, jobs::Event::Manifest(manifest));
    }

    /// Sends a request of a tenant to the leader; returns the token of the reply.
    pub(crate) fn request_of(
        &mut self,
        tenant: Option<&str>,
        manifest_version: model::ManifestVersion,
        request: model::JobRequest,
    ) -> jobs::RequestToken {
        self.next_token += 1;
        let token = self.next_token;
        if let model::JobRequest::Submit(job) = &request {
            self.accepted.insert(job.id, (**job).clone());
        }
        let event = jobs::Event::Request {
            age: std::time::Duration::ZERO,
            token,
            manifest_version,
            request,
            tenant: tenant.map(Into::into),
            overload_retry_ms: self.overload_retry_ms,
        };
        self.deliver(self.term, event);
        token
    }

    /// Submits a job for a tenant and returns the reply once there is one.
    pub(crate) fn submit_of(
        &mut self,
        tenant: Option<&str>,
        job: model::Job,
    ) -> Option<model::JobReply> {
        let version = self.manifest.version;
        let token = self.request_of(tenant, version, model::JobRequest::Submit(Box::new(job)));
        self.run_ms(100);
        self.replies.get(&token).cloned()
    }

    /// Returns the reply to a question of a tenant for the status of a job.
    pub(crate) fn status_of(
        &mut self,
        tenant: Option<&str>,
        job_id: model::JobId,
    ) -> Option<model::JobReply> {
        let version = self.manifest.version;
        let token = self.request_of(tenant, version, model::JobRequest::Status { job_id });
        self.run_ms(20);
        self.replies.get(&token).cloned()
    }

    /// Returns the reply to a cancellation by a tenant.
    pub(crate) fn cancel_of(
        &mut self,
        tenant: Option<&str>,
        job_id: model::JobId,
    ) -> Option<model::JobReply> {
        let version = self.manifest.version;
        let token = self.request_of(tenant, version, model::JobRequest::Cancel { job_id });
        self.run_ms(100);
        self.replies.get(&token).cloned()
    }
}
