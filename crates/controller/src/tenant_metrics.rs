//! Metrics of tenants, which the leader publishes.

use std::collections;
use std::time;

use jobs::TenantCounters;
use jobs::TenantReport;

/// Time between two publications; operators look at seconds, and each costs a dozen values for each of
/// hundreds of tenants.
const PUBLISH_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// What has been published of each tenant in this term; no leader has the gauges once it ends.
pub(crate) struct TenantMetrics<'a> {
    metrics: &'a telemetry::Metrics,
    published_at: Option<time::Instant>,
    /// Counts of each tenant, also of those that have left the manifest and may return.
    counters: collections::HashMap<model::TenantName, TenantCounters>,
    /// Tenants whose gauges are set.
    listed: collections::HashSet<model::TenantName>,
}

impl<'a> TenantMetrics<'a> {
    pub(crate) fn new(metrics: &'a telemetry::Metrics) -> Self {
        Self {
            metrics,
            published_at: None,
            counters: collections::HashMap::new(),
            listed: collections::HashSet::new(),
        }
    }

    /// Publishes the values of all tenants, if that is due.
    pub(crate) fn publish(&mut self, scheduler: &jobs::Scheduler, now: time::Instant) {
        let is_due = self
            .published_at
            .is_none_or(|at| now.saturating_duration_since(at) >= PUBLISH_INTERVAL);
        if !is_due {
            return;
        }
        self.published_at = Some(now);
        let reports = scheduler.tenant_reports(now);
        let mut left = std::mem::take(&mut self.listed);
        for report in reports {
            left.remove(&report.name);
            let name = model::TenantName::clone(&report.name);
            let earlier = self.counters.insert(name, report.counters);
            self.publish_report(&report, earlier.unwrap_or_default());
            self.listed.insert(report.name);
        }
        for name in &left {
            self.clear(name);
        }
    }

    fn publish_report(&self, report: &TenantReport, earlier: TenantCounters) {
        let name = telemetry::metric_part(&report.name);
        for (value_name, value) in gauges_of(report) {
            self.metrics
                .gauge(&format!("tenant.{name}.{value_name}"), value);
        }
        let counters = report.counters;
        for (value_name, value, before) in [
            ("owed", counters.owed_jobs, earlier.owed_jobs),
            ("beyond", counters.beyond_jobs, earlier.beyond_jobs),
        ] {
            self.metrics
                .count_by(&format!("tenant.{name}.{value_name}"), value - before);
        }
    }

    /// Sets the gauges of a tenant to 0 that has left the manifest, or whose leader this is no more.
    fn clear(&self, name: &model::TenantName) {
        let name = telemetry::metric_part(name);
        for value_name in GAUGES {
            self.metrics
                .gauge(&format!("tenant.{name}.{value_name}"), 0);
        }
    }
}

impl Drop for TenantMetrics<'_> {
    fn drop(&mut self) {
        for name in &self.listed {
            self.clear(name);
        }
    }
}

/// Names of the gauges of a tenant.
const GAUGES: [&str; 11] = [
    "share_owed_permille",
    "share_used_permille",
    "used_cpu_milli",
    "used_mem_mb",
    "used_gpu",
    "cap_cpu_milli",
    "cap_mem_mb",
    "cap_gpu",
    "waiting_steps",
    "capped_steps",
    "cap_reached_ms",
];

/// Returns the gauges of a tenant; a cap that is no limit is 0, as in the manifest.
fn gauges_of(report: &TenantReport) -> impl Iterator<Item = (&'static str, u64)> {
    let permille = |share: f64| (share * 1_000.0).round() as u64;
    let (used, cap) = (&report.used, &report.cap);
    let cap_reached = report.cap_reached_for.unwrap_or_default();
    let values = [
        permille(report.share_owed),
        permille(report.share_used),
        used.processors_milli,
        used.memory_mb,
        used.accelerators,
        cap.processors_milli.unwrap_or_default(),
        cap.memory_mb.unwrap_or_default(),
        cap.accelerators.unwrap_or_default(),
        u64::from(report.waiting_steps),
        u64::from(report.capped_steps),
        u64::try_from(cap_reached.as_millis()).unwrap_or(u64::MAX),
    ];
    GAUGES.into_iter().zip(values)
}
