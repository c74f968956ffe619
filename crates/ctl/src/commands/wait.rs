//! `ferryctl wait`: waits until every live instance has a revision in force.

use std::time;

use crate::arguments;
use crate::commands::show;
use crate::error;
use crate::report;
use crate::revisions;
use crate::status;

const DEFAULT_TIMEOUT: time::Duration = time::Duration::from_secs(30);
const DEFAULT_POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Minimum revision to wait for of each list; 0 accepts any revision.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetRevisions {
    pub(crate) customers: store::Revision,
    pub(crate) plans: store::Revision,
}

/// Timeout and interval of polling.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PollTiming {
    pub(crate) timeout: time::Duration,
    pub(crate) poll_interval: time::Duration,
}

impl PollTiming {
    /// Parses `--timeout-ms` and `--poll-ms`.
    pub(crate) fn from_arguments(args: &mut arguments::Arguments) -> Result<Self, error::Error> {
        Ok(Self {
            timeout: args.duration_ms("--timeout-ms", DEFAULT_TIMEOUT)?,
            poll_interval: args.duration_ms("--poll-ms", DEFAULT_POLL_INTERVAL)?,
        })
    }
}

/// The lowest revisions in force when the wait ended.
#[derive(Debug, serde::Serialize)]
pub(crate) struct WaitReport {
    lowest: revisions::LowestRevisions,
}

impl report::Report for WaitReport {
    fn table(&self) -> String {
        let lowest = &self.lowest;
        format!(
            "lowest in force on {} live instances: customers {}, plans {}\n",
            lowest.instances, lowest.customers, lowest.plans
        )
    }
}

pub(crate) async fn run(mut args: arguments::Arguments) -> Result<WaitReport, error::Error> {
    let client = status::OperatorClient::from_arguments(&mut args)?;
    let timing = PollTiming::from_arguments(&mut args)?;
    let revision = args.required("--revision", "the revision to wait for")?;
    let list: Option<String> = args.optional("--list")?;
    args.finish()?;
    let list = list.as_deref().map(show::parse_list).transpose()?;
    let target = TargetRevisions {
        customers: if list == Some(lists::List::Plans) {
            0
        } else {
            revision
        },
        plans: if list == Some(lists::List::Customers) {
            0
        } else {
            revision
        },
    };
    let lowest = wait_until_in_force(&client, target, timing).await?;
    Ok(WaitReport { lowest })
}

/// Polls the instances until the lowest revisions in force have reached `target`.
pub(crate) async fn wait_until_in_force(
    client: &status::OperatorClient,
    target: TargetRevisions,
    timing: PollTiming,
) -> Result<revisions::LowestRevisions, error::Error> {
    let started = tokio::time::Instant::now();
    loop {
        let polled = client.statuses().await;
        let (answered, failed): (Vec<_>, Vec<_>) =
            polled.into_iter().partition(|polled| polled.status.is_ok());
        let statuses: Vec<_> = answered
            .into_iter()
            .filter_map(|polled| polled.status.ok())
            .collect();
        let lowest = revisions::lowest_revisions(&statuses);
        if is_reached(&lowest, target) {
            return Ok(lowest);
        }
        if started.elapsed() >= timing.timeout {
            return Err(timeout_error(&lowest, target, timing, &failed));
        }
        tokio::time::sleep(timing.poll_interval).await;
    }
}

fn is_reached(lowest: &revisions::LowestRevisions, target: TargetRevisions) -> bool {
    lowest.instances > 0 && lowest.customers >= target.customers && lowest.plans >= target.plans
}

fn timeout_error(
    lowest: &revisions::LowestRevisions,
    target: TargetRevisions,
    timing: PollTiming,
    failed: &[status::PolledInstance],
) -> error::Error {
    let mut message = format!(
        "not in force on every live instance within {} ms: lowest revisions on {} live instances: \
         customers {}, plans {}; expected customers {}, plans {}",
        timing.timeout.as_millis(),
        lowest.instances,
        lowest.customers,
        lowest.plans,
        target.customers,
        target.plans,
    );
    for polled in failed {
        if let Err(reason) = &polled.status {
            message.push_str(&format!("\n{}: {reason}", polled.address));
        }
    }
    error::Error::new(error::ErrorKind::Unknown, message)
}
