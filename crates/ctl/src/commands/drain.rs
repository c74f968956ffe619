//! `ferryctl drain`: stops instances without interrupting requests.

use std::net;

use crate::arguments;
use crate::commands::wait;
use crate::error;
use crate::report;
use crate::status;

/// An instance whose drain was started.
#[derive(Debug, serde::Serialize)]
struct Drained {
    address: String,
    /// Whether it has no task and no partition left; `None` if the command did not wait.
    empty: Option<bool>,
}

/// The instances whose drain was started.
#[derive(Debug, serde::Serialize)]
pub(crate) struct DrainReport {
    instances: Vec<Drained>,
}

impl report::Report for DrainReport {
    fn table(&self) -> String {
        let lines = self.instances.iter().map(|drained| {
            let state = if drained.empty == Some(true) {
                "drained"
            } else {
                "draining"
            };
            format!("{}: {state}\n", drained.address)
        });
        lines.collect()
    }
}

pub(crate) async fn run(mut args: arguments::Arguments) -> Result<DrainReport, error::Error> {
    let client = status::OperatorClient::from_arguments(&mut args)?;
    let timing = wait::PollTiming::from_arguments(&mut args)?;
    let wait = args.flag("--wait");
    args.finish()?;
    for address in &client.instances {
        client.drain(*address).await?;
    }
    let mut instances = Vec::new();
    for address in &client.instances {
        if wait {
            wait_until_drained(&client, *address, timing).await?;
        }
        instances.push(Drained {
            address: address.to_string(),
            empty: wait.then_some(true),
        });
    }
    Ok(DrainReport { instances })
}

/// Polls an instance until it has no task and no partition left, or refuses connections.
async fn wait_until_drained(
    client: &status::OperatorClient,
    address: net::SocketAddr,
    timing: wait::PollTiming,
) -> Result<(), error::Error> {
    let started = tokio::time::Instant::now();
    loop {
        let remaining = match client.status(address).await {
            Ok(status) if is_drained(&status) => return Ok(()),
            Ok(status) => format!(
                "{} queued, {} running, {} waiting",
                status.queued, status.running, status.waiting
            ),
            // The process exits after its last answer, which closes its listener.
            Err(reason) if reason.kind() == error::ErrorKind::Unreachable => return Ok(()),
            Err(reason) => reason.to_string(),
        };
        if started.elapsed() >= timing.timeout {
            let waited_ms = timing.timeout.as_millis();
            let message = format!("{address} was not drained within {waited_ms} ms: {remaining}");
            return Err(error::Error::new(error::ErrorKind::Unknown, message));
        }
        tokio::time::sleep(timing.poll_interval).await;
    }
}

fn is_drained(status: &status::OperatorStatus) -> bool {
    let partitions = status.partitions_owned + status.partitions_pending;
    let tasks = status.queued + status.running + status.waiting;
    status.draining && partitions == 0 && tasks == 0
}
