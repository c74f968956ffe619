//! Whatever two instances order, in whatever order, a run is executed at most once.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::collections;

use proptest::prelude::*;
use worker::WorkerApi as _;

const SLOTS: u32 = 3;

#[derive(Clone, Copy, Debug)]
enum Order {
    Claim,
    Release,
    Start(u8),
    Stop(u8),
    Checkpoint(u8),
    Restart,
    LoseNextReply,
}

fn order() -> impl Strategy<Value = Order> {
    prop_oneof![
        2 => Just(Order::Claim),
        1 => Just(Order::Release),
        6 => (0_u8..6).prop_map(Order::Start),
        2 => (0_u8..6).prop_map(Order::Stop),
        1 => (0_u8..6).prop_map(Order::Checkpoint),
        1 => Just(Order::Restart),
        1 => Just(Order::LoseNextReply),
    ]
}

/// An instance that never gives up its epoch, as a paused one would not.
struct Instance {
    name: &'static str,
    holder: Option<common::Holder>,
}

impl Instance {
    async fn claim(&mut self, bench: &common::Bench) {
        let reply = bench.lease(&common::claim(self.name)).await;
        if let model::LeaseReply::Granted {
            epoch, incarnation, ..
        } = reply
        {
            self.holder = Some(common::Holder {
                instance_id: self.name.into(),
                epoch,
                incarnation,
            });
        }
    }

    async fn act(&mut self, bench: &common::Bench, order: Order) {
        let (client, address) = (&bench.client, bench.address.as_str());
        let run = |number: u8| common::endless(number.into());
        let Some(holder) = &self.holder else {
            return self.claim(bench).await;
        };
        match order {
            Order::Claim => self.claim(bench).await,
            Order::Restart => bench.server.restart().await,
            Order::LoseNextReply => {
                let faults = standin::WorkerFaults {
                    lose_start_replies: 1,
                    ..Default::default()
                };
                bench.server.set_faults(faults).await;
            }
            // Replies may be lost on purpose, so errors are part of the game.
            Order::Release => {
                let _ = client
                    .release(address, &holder.release(), common::PATIENT)
                    .await;
            }
            Order::Start(number) => {
                let _ = client
                    .start(address, &holder.start(run(number)), common::PATIENT)
                    .await;
            }
            Order::Stop(number) => {
                let request = holder.stop(run(number).run);
                let _ = client.stop(address, &request, common::PATIENT).await;
            }
            Order::Checkpoint(number) => {
                let request = holder.stop(run(number).run);
                let _ = client.checkpoint(address, &request, common::PATIENT).await;
            }
        }
    }
}

/// Carries out `orders`, each by the first or second instance, and returns the bench.
async fn carry_out(orders: &[(bool, Order)]) -> common::Bench {
    let bench = common::Bench::start_with(common::capacity(SLOTS)).await;
    let mut first = Instance {
        name: "a",
        holder: None,
    };
    let mut second = Instance {
        name: "b",
        holder: None,
    };
    for (by_first, order) in orders {
        let instance = if *by_first { &mut first } else { &mut second };
        instance.act(&bench, *order).await;
    }
    bench
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
        orders in proptest::collection::vec((any::<bool>(), order()), 1..60),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let (executions, counts) = runtime.block_on(async {
            let bench = carry_out(&orders).await;
            let seen = (bench.server.executions(), bench.server.counts());
            bench.server.shutdown().await;
            seen
        });
        prop_assert_eq!(counts.overcommits, 0);
        let running = executions.iter().filter(|execution| execution.ended_us.is_none()).count();
        prop_assert!(running <= SLOTS as usize);
        // Only a restart makes the worker forget a run, so that it may be started once more.
        let mut known = collections::HashSet::new();
        let restarts = orders.iter().filter(|(_, order)| matches!(order, Order::Restart)).count();
        let repeated = executions.iter().filter(|execution| !known.insert(execution.run)).count();
        prop_assert!(repeated <= restarts * 6);
        let never_restarted = restarts == 0;
        prop_assert!(!never_restarted || repeated == 0);
        prop_assert!(standin::ExecutionSummary::of(&executions).never_overlapped());
    }
}
