//! Orders end exactly once, whatever happens to their relays and reports.

use std::time;

use proptest::prelude::*;

const TIMEOUT: time::Duration = time::Duration::from_millis(400);

fn limits(now: time::Instant) -> relay::OrderLimits {
    relay::OrderLimits {
        timeout: TIMEOUT,
        begin_by: TIMEOUT,
        expires_at: now + TIMEOUT,
    }
}

fn incarnation(number: u64) -> model::WorkerIncarnation {
    model::WorkerIncarnation {
        worker_id: format!("w{number}").into(),
        born_ms: 1,
    }
}

fn run(number: u64) -> model::RunKey {
    model::RunKey {
        task: model::TaskKey {
            job_id: number,
            occurrence: 0,
            step: 0,
            index: 0,
        },
        run: 1,
    }
}

fn start(number: u64) -> jobs::Action {
    jobs::Action::Start(jobs::StartOrder {
        incarnation: incarnation(number),
        address: "address".into(),
        run: run(number),
        spec: "text".into(),
        lease_end_ms: 1,
        term: 1,
        checkpoint: None,
        ticket: None,
    })
}

fn renewal(number: u64) -> jobs::Action {
    jobs::Action::Renew(jobs::RenewalOrder {
        number,
        incarnation: incarnation(number),
        address: "address".into(),
        lease_end_ms: None,
        term: 1,
        forget_up_to: 0,
        wait: time::Duration::ZERO,
    })
}

fn started(id: relay::OrderId) -> relay::Report {
    relay::Report {
        id,
        response: relay::Response::Start(jobs::StartOutcome::Started(None)),
    }
}

/// Returns the number of the start that an event is about, and its outcome.
fn start_outcome(event: &jobs::Event) -> Option<(u64, jobs::StartOutcome)> {
    match event {
        jobs::Event::Start { run, outcome, .. } => Some((run.task.job_id, outcome.clone())),
        _ => None,
    }
}

#[test]
fn repeated_or_foreign_report_has_no_effect() {
    let now = time::Instant::now();
    let mut in_flight = relay::InFlight::default();
    let order = in_flight.begin(&"a".into(), start(1), limits(now));
    let order = order.expect("an order");
    assert!(in_flight.complete(&"b".into(), started(order.id)).is_none());
    let event = in_flight.complete(&"a".into(), started(order.id));
    let outcome = event.as_ref().and_then(start_outcome);
    assert_eq!(outcome, Some((1, jobs::StartOutcome::Started(None))));
    assert!(in_flight.complete(&"a".into(), started(order.id)).is_none());
    assert!(in_flight.is_empty());
}

/// A relay is lost with orders under way. Its starts may have been executed; that its renewals
/// got no result says nothing about their workers, which must not count as silent.
#[test]
fn lost_relay_leaves_starts_unanswered_and_condemns_no_worker() {
    let now = time::Instant::now();
    let mut in_flight = relay::InFlight::default();
    in_flight.begin(&"a".into(), start(1), limits(now));
    in_flight.begin(&"a".into(), renewal(2), limits(now));
    in_flight.begin(&"b".into(), start(3), limits(now));
    let events = in_flight.lose_relay(&"a".into());
    assert_eq!(in_flight.len(), 1);
    let outcome = start_outcome(&events[0]);
    assert_eq!(outcome, Some((1, jobs::StartOutcome::NoAnswer)));
    assert!(matches!(
        &events[1],
        jobs::Event::Renewal {
            number: 2,
            outcome: jobs::RenewalOutcome::Lost,
            ..
        }
    ));
    assert_eq!(events.len(), 2);
}

#[test]
fn result_of_another_kind_is_ignored_and_the_order_expires() {
    let now = time::Instant::now();
    let mut in_flight = relay::InFlight::default();
    let order = in_flight.begin(&"a".into(), start(1), limits(now));
    let report = relay::Report {
        id: order.expect("an order").id,
        response: relay::Response::Stop(jobs::StopOutcome::Accepted),
    };
    assert!(in_flight.complete(&"a".into(), report).is_none());
    assert!(in_flight.expire(now).is_empty());
    assert_eq!(in_flight.expire(now + TIMEOUT).len(), 1);
}

/// What happens to the orders in flight.
#[derive(Clone, Copy, Debug)]
enum Operation {
    Send(usize),
    /// A relay reports an order, which may be long gone or have been sent through another relay.
    Report(usize, u64),
    Lose(usize),
    Pass(u64),
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        4 => (0_usize..3).prop_map(Operation::Send),
        4 => (0_usize..3, 1_u64..60).prop_map(|(relay, id)| Operation::Report(relay, id)),
        1 => (0_usize..3).prop_map(Operation::Lose),
        1 => (0_u64..500).prop_map(Operation::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_205),
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_order_ends_exactly_once(
        operations in prop::collection::vec(operation(), 1..120),
    ) {
        let relays: [model::InstanceId; 3] = ["a".into(), "b".into(), "c".into()];
        let mut now = time::Instant::now();
        let mut in_flight = relay::InFlight::default();
        let mut sent = 0;
        let mut ended = Vec::new();
        for operation in operations {
            let events = match operation {
                Operation::Send(relay) => {
                    sent += 1;
                    let order = in_flight.begin(&relays[relay], start(sent), limits(now));
                    prop_assert_eq!(order.map(|order| order.id), Some(sent));
                    Vec::new()
                }
                Operation::Report(relay, id) => {
                    let event = in_flight.complete(&relays[relay], started(id));
                    event.into_iter().collect()
                }
                Operation::Lose(relay) => in_flight.lose_relay(&relays[relay]),
                Operation::Pass(ms) => {
                    now += time::Duration::from_millis(ms);
                    in_flight.expire(now)
                }
            };
            ended.extend(events.iter().filter_map(start_outcome).map(|(number, _)| number));
        }
        let events = in_flight.expire(now + TIMEOUT);
        ended.extend(events.iter().filter_map(start_outcome).map(|(number, _)| number));
        ended.sort_unstable();
        prop_assert_eq!(ended, (1..=sent).collect::<Vec<_>>());
        prop_assert!(in_flight.is_empty());
    }
}

/// An answer to a renewal that counts as one to another: the result carries the number of its order.
#[test]
fn result_of_a_renewal_carries_its_number() {
    let now = time::Instant::now();
    let mut in_flight = relay::InFlight::default();
    let orders = [7, 8].map(|number| in_flight.begin(&"a".into(), renewal(number), limits(now)));
    for (order, expected) in orders.into_iter().zip([7, 8]).rev() {
        let report = relay::Report {
            id: order.expect("an order").id,
            response: relay::Response::Renewal(jobs::RenewalOutcome::NoAnswer),
        };
        let event = in_flight.complete(&"a".into(), report);
        let Some(jobs::Event::Renewal { number, .. }) = event else {
            panic!("{event:?} is no result of a renewal");
        };
        assert_eq!(number, expected);
    }
}
