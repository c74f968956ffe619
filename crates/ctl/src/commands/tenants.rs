//! `ferryctl tenants`: prints the metrics of tenants, summed over instances of `ferry-platform`.

use std::net;
use std::time;

use indexmap::IndexMap;

use crate::arguments;
use crate::error;
use crate::http_client;
use crate::report;

const METRICS_PATH: &str = "/metrics";
/// Start of the names of tenants' metrics; the tenant's name, which has no dots, and a dot follow.
const TENANT_PREFIX: &str = "tenant.";
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// An instance whose metrics could not be read.
#[derive(Debug, serde::Serialize)]
struct Failed {
    address: String,
    message: String,
}

/// Metrics of tenants, summed over all instances that answered.
#[derive(Debug, serde::Serialize)]
pub(crate) struct TenantsReport {
    /// Sums by metric, by tenant.
    tenants: IndexMap<String, IndexMap<String, u64>>,
    failed: Vec<Failed>,
}

impl TenantsReport {
    /// Adds the metrics of one instance.
    fn add(&mut self, text: &str) {
        for line in text.lines() {
            let Some((tenant, metric, value)) = parse(line) else {
                continue;
            };
            let metrics = self.tenants.entry(tenant.to_owned()).or_default();
            *metrics.entry(metric.to_owned()).or_default() += value;
        }
    }
}

impl report::Report for TenantsReport {
    fn table(&self) -> String {
        let tenants = self.tenants.iter();
        let rows = tenants.flat_map(|(tenant, metrics)| {
            let metrics = metrics.iter();
            metrics
                .map(move |(metric, total)| vec![tenant.clone(), metric.clone(), total.to_string()])
        });
        let rows: Vec<_> = rows.collect();
        let mut text = report::format_columns(&["TENANT", "METRIC", "TOTAL"], &rows);
        for failed in &self.failed {
            text.push_str(&format!("{}: {}\n", failed.address, failed.message));
        }
        text
    }

    fn exit_code(&self) -> u8 {
        if self.failed.is_empty() {
            0
        } else {
            error::ErrorKind::Refused.exit_code()
        }
    }
}

pub(crate) async fn run(mut args: arguments::Arguments) -> Result<TenantsReport, error::Error> {
    let instances = args.addresses("--instances")?;
    args.finish()?;
    let client = http_client::HttpClient::new();
    let mut report = TenantsReport {
        tenants: IndexMap::new(),
        failed: Vec::new(),
    };
    for address in instances {
        match read_metrics(&client, address).await {
            Ok(text) => report.add(&text),
            Err(reason) => report.failed.push(Failed {
                address: address.to_string(),
                message: reason.to_string(),
            }),
        }
    }
    report.tenants.sort_keys();
    for metrics in report.tenants.values_mut() {
        metrics.sort_keys();
    }
    Ok(report)
}

async fn read_metrics(
    client: &http_client::HttpClient,
    address: net::SocketAddr,
) -> Result<String, error::Error> {
    let request = http_client::Request::new(http::Method::GET, address, METRICS_PATH, "");
    let response = client.send(request, REQUEST_TIMEOUT).await?;
    response.expect_success()?;
    Ok(String::from_utf8_lossy(&response.body).into_owned())
}

/// Returns the tenant, the metric and the value of a line of metrics.
fn parse(line: &str) -> Option<(&str, &str, u64)> {
    let (name, value) = line.rsplit_once(' ')?;
    let (tenant, metric) = name.strip_prefix(TENANT_PREFIX)?.split_once('.')?;
    Some((tenant, metric, value.parse().ok()?))
}
