//! For any sequence of requests by two instances, a run is executed at most once in one
//! incarnation of the worker.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::collections;

use proptest::prelude::*;
use worker::WorkerApi as _;

const SLOTS: u32 = 3;

#[derive(Clone, Copy, Debug)]
enum Operation {
    Claim,
    Release,
    Start(u8),
    Stop(u8),
    Checkpoint(u8),
    Restart,
    LoseNextReply,
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        2 => Just(Operation::Claim),
        1 => Just(Operation::Release),
        6 => (0_u8..6).prop_map(Operation::Start),
        2 => (0_u8..6).prop_map(Operation::Stop),
        1 => (0_u8..6).prop_map(Operation::Checkpoint),
        1 => Just(Operation::Restart),
        1 => Just(Operation::LoseNextReply),
    ]
}

/// An instance that keeps using its epoch after losing the lease, as a paused one would.
struct Instance {
    name: &'static str,
    holder: Option<common::LeaseHolder>,
}

impl Instance {
    async fn claim(&mut self, fixture: &common::Fixture) {
        let reply = fixture.lease(&common::claim_request(self.name)).await;
        if let model::LeaseReply::Granted {
            epoch, incarnation, ..
        } = reply
        {
            self.holder = Some(common::LeaseHolder {
                instance_id: self.name.into(),
                epoch,
                incarnation,
            });
        }
    }

    async fn apply(&mut self, fixture: &common::Fixture, operation: Operation) {
        let (client, address) = (&fixture.client, fixture.address.as_str());
        let run = |number: u8| common::endless_run(number.into());
        let Some(holder) = &self.holder else {
            return self.claim(fixture).await;
        };
        match operation {
            Operation::Claim => self.claim(fixture).await,
            Operation::Restart => fixture.server.restart().await,
            Operation::LoseNextReply => {
                let faults = standin::WorkerFaults {
                    lose_start_replies: 1,
                    ..Default::default()
                };
                fixture.server.set_faults(faults).await;
            }
            // Errors are expected, since replies are lost on purpose.
            Operation::Release => {
                let _ = client
                    .release(address, &holder.release_request(), common::LONG_TIMEOUT)
                    .await;
            }
            Operation::Start(number) => {
                let _ = client
                    .start(
                        address,
                        &holder.start_request(run(number)),
                        common::LONG_TIMEOUT,
                    )
                    .await;
            }
            Operation::Stop(number) => {
                let request = holder.stop_request(run(number).run);
                let _ = client.stop(address, &request, common::LONG_TIMEOUT).await;
            }
            Operation::Checkpoint(number) => {
                let request = holder.stop_request(run(number).run);
                let _ = client
                    .checkpoint(address, &request, common::LONG_TIMEOUT)
                    .await;
            }
        }
    }
}

/// Applies `operations`, each by the first or second instance, and returns the fixture.
async fn run_operations(operations: &[(bool, Operation)]) -> common::Fixture {
    let fixture = common::Fixture::start_with(common::capacity(SLOTS)).await;
    let mut first = Instance {
        name: "a",
        holder: None,
    };
    let mut second = Instance {
        name: "b",
        holder: None,
    };
    for (by_first, operation) in operations {
        let instance = if *by_first { &mut first } else { &mut second };
        instance.apply(&fixture, *operation).await;
    }
    fixture
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_run_is_executed_once_in_one_incarnation_and_never_beyond_the_capacity(
        operations in proptest::collection::vec((any::<bool>(), operation()), 1..60),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let (executions, counts) = runtime.block_on(async {
            let fixture = run_operations(&operations).await;
            let observed = (fixture.server.executions(), fixture.server.counts());
            fixture.server.shutdown().await;
            observed
        });
        prop_assert_eq!(counts.overcommits, 0);
        let running = executions.iter().filter(|execution| execution.ended_us.is_none()).count();
        prop_assert!(running <= SLOTS as usize);
        // Only a restart makes the worker forget a run, which may then be started once more.
        let mut seen_runs = collections::HashSet::new();
        let restarts = operations
            .iter()
            .filter(|(_, operation)| matches!(operation, Operation::Restart))
            .count();
        let repeated = executions
            .iter()
            .filter(|execution| !seen_runs.insert(execution.run))
            .count();
        prop_assert!(repeated <= restarts * 6);
        let never_restarted = restarts == 0;
        prop_assert!(!never_restarted || repeated == 0);
        prop_assert!(standin::ExecutionSummary::of(&executions).never_overlapped());
    }
}
