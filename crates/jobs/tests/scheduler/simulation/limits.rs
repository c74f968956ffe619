//! Tenants in the simulation: their jobs, and the check of their caps.

use std::sync;

use super::Simulation;

/// Factor on a cap up to which running work is tolerated, besides one task: orders may be carried out
/// late.
const CAP_TOLERANCE: f64 = 1.1;
/// How long a replaced cap still counts where it is the higher one, in milliseconds: orders sent under it
/// are carried out up to 12 s late.
const EARLIER_CAP_MS: u64 = 13_000;

/// Returns a tenant without limits.
pub(crate) fn tenant(name: &str, weight: f64) -> tenants::Tenant {
    tenants::Tenant {
        name: name.into(),
        weight,
        cap: tenants::Cap::default(),
    }
}

/// Returns a tenant with a cap on its processors, in thousandths of a core.
pub(crate) fn capped(name: &str, weight: f64, processors_milli: u64) -> tenants::Tenant {
    tenants::Tenant {
        cap: tenants::Cap {
            processors_milli: Some(processors_milli),
            ..tenants::Cap::default()
        },
        ..tenant(name, weight)
    }
}

impl Simulation {
    /// Replaces the tenants of the manifest by one of the next version.
    pub(crate) fn use_limits(&mut self, all: impl IntoIterator<Item = tenants::Tenant>) {
        let mut set = tenants::Tenants::default();
        for one in all {
            set.insert(one, []);
        }
        if let Some(earlier) = self.manifest.tenants.take() {
            self.earlier_tenants
                .push((self.now_ms + EARLIER_CAP_MS, earlier));
        }
        self.manifest.tenants = Some(sync::Arc::new(set));
        self.manifest.version += 1;
        let manifest = self.manifest.clone();
        self.deliver(self.term, jobs::Event::Manifest(manifest));
    }

    /// Returns whether the manifest has tenants.
    pub(crate) fn has_limits(&self) -> bool {
        self.manifest.tenants.is_some()
    }

    /// Submits a job with the API key of a tenant.
    pub(crate) fn submit_as(&mut self, tenant: &str, job: model::Job) -> jobs::RequestToken {
        self.tenants_of_jobs.insert(job.id, tenant.into());
        self.submit(job)
    }

    /// Returns the values of a tenant for metrics.
    pub(crate) fn tenant_report(&self, name: &str) -> jobs::TenantReport {
        let now = self.clock().now;
        let reports = self.scheduler.as_ref().map(|one| one.tenant_reports(now));
        let mut reports = reports.into_iter().flatten();
        let report = reports.find(|report| *report.name == *name);
        report.unwrap_or_else(|| panic!("no report of tenant {name}"))
    }

    /// Returns the number of steps with waiting tasks; 0 without a leader.
    pub(crate) fn waiting_steps(&self) -> usize {
        let scheduler = self.scheduler.as_ref();
        scheduler.map_or(0, |scheduler| scheduler.summary().waiting_steps)
    }

    /// Returns the processors that runs of a tenant occupy on the workers, in thousandths of a core.
    pub(crate) fn processors_of(&self, tenant: &str) -> u64 {
        self.running_of(tenant).processors_milli
    }

    fn running_of(&self, tenant: &str) -> tenants::Amounts {
        let workers = self.workers.iter().filter(|worker| worker.is_up);
        let runs = workers.flat_map(super::SimulatedWorker::run_keys);
        let own = runs.filter(|run| {
            let of = self.tenants_of_jobs.get(&run.task.job_id);
            of.is_some_and(|of| **of == *tenant)
        });
        own.fold(tenants::Amounts::default(), |sum, run| {
            sum.plus(&tenants::Amounts::of_tasks(&self.demand_of(run.task), 1))
        })
    }

    fn demand_of(&self, task: model::TaskKey) -> model::Demand {
        let step = &self.accepted[&task.job_id].steps[usize::from(task.step)];
        match step.fills_idle {
            true => model::Demand {
                processors_milli: 0,
                ..step.demand
            },
            false => step.demand,
        }
    }

    /// Checks that a start, which `running_of` does not include yet, keeps the cap of its tenant as far
    /// as late orders are not concerned.
    pub(super) fn check_cap(&self, task: model::TaskKey) {
        let tenant = self.tenants_of_jobs.get(&task.job_id);
        let Some(tenant) = tenant.filter(|_| !self.omits_checks) else {
            return;
        };
        let earlier = self.earlier_tenants.iter();
        let in_force = earlier.filter(|(until_ms, _)| self.now_ms < *until_ms);
        let in_force = in_force.map(|(_, one)| one).chain(&self.manifest.tenants);
        let caps: Vec<_> = in_force
            .filter_map(|one| one.get(tenant).map(|tenant| tenant.cap))
            .collect();
        // The start itself is the one task beyond the tolerance.
        let used = self.running_of(tenant);
        let is_within = |limit: fn(&tenants::Cap) -> Option<u64>, used: u64| {
            let mut limits = caps.iter().map(limit);
            caps.is_empty()
                || limits.any(|limit| {
                    limit.is_none_or(|limit| used as f64 <= limit as f64 * CAP_TOLERANCE)
                })
        };
        let is_kept = is_within(|cap| cap.processors_milli, used.processors_milli)
            && is_within(|cap| cap.memory_mb, used.memory_mb)
            && is_within(|cap| cap.accelerators, used.accelerators);
        assert!(
            is_kept,
            "{task:?} starts beside {used:?} of {tenant}, whose caps are {caps:?}"
        );
    }

    /// Checks that the kept sums of the tenants' use equal those of all runs.
    pub(super) fn check_tenant_use(&self) {
        let scheduler = self.scheduler.as_ref().filter(|_| !self.omits_checks);
        let Some(scheduler) = scheduler else {
            return;
        };
        for (tenant, (kept, counted)) in scheduler.recount_tenant_use() {
            assert_eq!(kept, counted, "use of tenant {tenant:?}");
        }
    }
}
