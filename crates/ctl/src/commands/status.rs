//! `ferryctl status`: prints the status of instances.

use crate::arguments;
use crate::error;
use crate::report;
use crate::revisions;
use crate::status;

const HEADER: &[&str] = &[
    "INSTANCE",
    "REGION",
    "DC",
    "STATE",
    "CUSTOMERS",
    "PLANS",
    "TABLE",
    "OWNED",
    "PENDING",
    "WORKERS",
    "QUEUED",
    "RUNNING",
    "WAITING",
    "PEERS",
];

/// An instance whose status request failed.
#[derive(Debug, serde::Serialize)]
struct Failed {
    address: String,
    message: String,
}

/// Status of every requested instance.
#[derive(Debug, serde::Serialize)]
pub(crate) struct StatusReport {
    instances: Vec<status::OperatorStatus>,
    failed: Vec<Failed>,
    lowest: revisions::LowestRevisions,
    #[serde(skip)]
    with_counters: bool,
}

impl report::Report for StatusReport {
    fn table(&self) -> String {
        let rows: Vec<_> = self.instances.iter().map(row).collect();
        let mut text = report::format_columns(HEADER, &rows);
        for failed in &self.failed {
            text.push_str(&format!("{}: {}\n", failed.address, failed.message));
        }
        let lowest = &self.lowest;
        text.push_str(&format!(
            "lowest in force on {} live instances: customers {}, plans {}\n",
            lowest.instances, lowest.customers, lowest.plans
        ));
        if self.with_counters {
            text.push_str(&counters_table(&self.instances));
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

pub(crate) async fn run(mut args: arguments::Arguments) -> Result<StatusReport, error::Error> {
    let client = status::OperatorClient::from_arguments(&mut args)?;
    let with_counters = args.flag("--counters");
    args.finish()?;
    let mut instances = Vec::new();
    let mut failed = Vec::new();
    for polled in client.statuses().await {
        match polled.status {
            Ok(status) => instances.push(status),
            Err(reason) => failed.push(Failed {
                address: polled.address.to_string(),
                message: reason.to_string(),
            }),
        }
    }
    Ok(StatusReport {
        lowest: revisions::lowest_revisions(&instances),
        instances,
        failed,
        with_counters,
    })
}

fn row(status: &status::OperatorStatus) -> Vec<String> {
    let state = match (status.draining, status.ready) {
        (true, _) => "draining",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    let alive = status.peers.iter().filter(|peer| peer.alive).count();
    vec![
        status.instance_id.clone(),
        status.region.clone(),
        status.data_centre.clone(),
        state.to_owned(),
        status.customers_revision.to_string(),
        status.plans_revision.to_string(),
        status.table_revision.to_string(),
        status.partitions_owned.to_string(),
        status.partitions_pending.to_string(),
        status.workers_held.to_string(),
        status.queued.to_string(),
        status.running.to_string(),
        status.waiting.to_string(),
        format!("{alive}/{}", status.peers.len()),
    ]
}

/// Returns a table of each counter's sum over all instances.
fn counters_table(instances: &[status::OperatorStatus]) -> String {
    let mut sums = indexmap::IndexMap::<&str, u64>::new();
    for (name, total) in instances.iter().flat_map(|status| &status.counters) {
        *sums.entry(name).or_default() += total;
    }
    sums.sort_keys();
    let sums = sums.into_iter();
    let rows: Vec<_> = sums
        .map(|(name, total)| vec![name.to_owned(), total.to_string()])
        .collect();
    report::format_columns(&["COUNTER", "TOTAL"], &rows)
}
