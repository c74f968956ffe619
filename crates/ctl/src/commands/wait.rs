//! `ferryctl wait`: waits until every live instance has a revision in force.

use std::time;

use crate::arguments;
use crate::commands::show;
use crate::error;
use crate::report;
use crate::revisions;
use crate::status;

const TIMEOUT: time::Duration = time::Duration::from_secs(30);
const POLL: time::Duration = time::Duration::from_millis(200);

/// Minimum revision to wait for of each list; 0 accepts any revision.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Goal {
    pub(crate) customers: store::Revision,
    pub(crate) plans: store::Revision,
}

/// Timeout and interval of polling.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timing {
    pub(crate) timeout: time::Duration,
    pub(crate) poll: time::Duration,
}

impl Timing {
    /// Parses `--timeout-ms` and `--poll-ms`.
    pub(crate) fn from_arguments(args: &mut arguments::Arguments) -> Result<Self, error::Error> {
        Ok(Self {
            timeout: args.duration_ms("--timeout-ms", TIMEOUT)?,
            poll: args.duration_ms("--poll-ms", POLL)?,
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
    let operator = status::Operator::from_arguments(&mut args)?;
    let timing = Timing::from_arguments(&mut args)?;
    let revision = args.required("--revision", "the revision to wait for")?;
    let list: Option<String> = args.optional("--list")?;
    args.finish()?;
    let list = list.as_deref().map(show::parse_list).transpose()?;
    let goal = Goal {
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
    let lowest = until_in_force(&operator, goal, timing).await?;
    Ok(WaitReport { lowest })
}

/// Polls the instances until the lowest revisions in force have reached `goal`.
pub(crate) async fn until_in_force(
    operator: &status::Operator,
    goal: Goal,
    timing: Timing,
) -> Result<revisions::LowestRevisions, error::Error> {
    let started = tokio::time::Instant::now();
    loop {
        let asked = operator.statuses().await;
        let (answered, failed): (Vec<_>, Vec<_>) =
            asked.into_iter().partition(|asked| asked.status.is_ok());
        let statuses: Vec<_> = answered
            .into_iter()
            .filter_map(|asked| asked.status.ok())
            .collect();
        let lowest = revisions::lowest_revisions(&statuses);
        if reached(&lowest, goal) {
            return Ok(lowest);
        }
        if started.elapsed() >= timing.timeout {
            return Err(not_reached(&lowest, goal, timing, &failed));
        }
        tokio::time::sleep(timing.poll).await;
    }
}

fn reached(lowest: &revisions::LowestRevisions, goal: Goal) -> bool {
    lowest.instances > 0 && lowest.customers >= goal.customers && lowest.plans >= goal.plans
}

fn not_reached(
    lowest: &revisions::LowestRevisions,
    goal: Goal,
    timing: Timing,
    failed: &[status::Asked],
) -> error::Error {
    let mut message = format!(
        "not in force on every live instance within {} ms: lowest revisions on {} live instances: \
         customers {}, plans {}; expected customers {}, plans {}",
        timing.timeout.as_millis(),
        lowest.instances,
        lowest.customers,
        lowest.plans,
        goal.customers,
        goal.plans,
    );
    for asked in failed {
        if let Err(reason) = &asked.status {
            message.push_str(&format!("\n{}: {reason}", asked.address));
        }
    }
    error::Error::new(error::ErrorKind::Unknown, message)
}
