//! Batches of orders and reports.

use std::sync;
use std::time;

fn order(id: u64, spec: &sync::Arc<str>) -> relay::Order {
    relay::Order {
        id,
        timeout: time::Duration::from_millis(400),
        begin_by: time::Duration::from_millis(900),
        request: relay::Request::Start(jobs::StartOrder {
            incarnation: model::WorkerIncarnation {
                worker_id: "w".into(),
                born_ms: 1,
            },
            address: "address".into(),
            run: model::RunKey {
                task: model::TaskKey {
                    job_id: 1,
                    occurrence: 0,
                    step: 0,
                    index: u32::try_from(id).unwrap_or_default(),
                },
                run: 1,
            },
            spec: sync::Arc::clone(spec),
            lease_end_ms: 1,
            term: 1,
            checkpoint: Some("saved".into()),
            ticket: Some("ticket".to_owned()),
        }),
    }
}

fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).expect("encodable")
}

fn decode<T: serde::de::DeserializeOwned>(encoded: &[u8]) -> T {
    let decoded = bincode::serde::decode_from_slice(encoded, bincode::config::standard());
    decoded.expect("decodable").0
}

/// Misread messages: while builds of two layouts run, the first message of a relay must not decode at
/// the other build, in either direction.
#[test]
fn hello_of_the_layout_without_a_number_cannot_be_decoded() {
    let hello = relay::Hello {
        term: 7,
        data_centre: "z".into(),
        strength_milli: 250,
        layout: relay::LAYOUT,
    };
    let encoded = encode(&hello);
    let old_layout = encode(&(hello.term, &hello.data_centre, hello.strength_milli));
    assert_ne!(encoded.len(), old_layout.len(), "lengths tell them apart");
    let config = bincode::config::standard();
    assert!(bincode::serde::decode_from_slice::<relay::Hello, _>(&old_layout, config).is_err());
    let read: Result<((u64, String, u32), usize), _> =
        bincode::serde::decode_from_slice(&encoded, config);
    let is_whole = read.is_ok_and(|(_, used_bytes)| used_bytes == encoded.len());
    assert!(!is_whole, "the other layout takes all of the message");
}

/// A wide step starts at once: its specification travels once for all tasks.
#[test]
fn batch_carries_the_specification_of_a_job_once() {
    let spec: sync::Arc<str> = "s".repeat(4_000).into();
    let other: sync::Arc<str> = "other".into();
    let mut orders: Vec<_> = (0..25).map(|id| order(id, &spec)).collect();
    orders.push(order(25, &other));
    let state = relay::LeaderState {
        has_lost_store: false,
        is_draining: true,
    };
    let asked_at = time::Duration::from_millis(70);
    let encoded = encode(&relay::OrderBatch::new(state, asked_at, orders.clone()));
    assert!(encoded.len() < 4_000 + 26 * 60, "{} bytes", encoded.len());
    let decoded: relay::OrderBatch = decode(&encoded);
    assert_eq!(decoded.leader, state);
    assert_eq!(decoded.asked_at, asked_at);
    assert!(!decoded.is_question());
    assert_eq!(decoded.into_orders().collect::<Vec<_>>(), orders);
}

#[test]
fn waiting_at_the_relay_adds_to_the_age_of_a_listing() {
    let listing = jobs::Listing {
        age: time::Duration::from_millis(2),
        ..jobs::Listing::default()
    };
    let response = relay::Response::Renewal(jobs::RenewalOutcome::Listing(listing));
    let aged = response.aged_by(time::Duration::from_millis(5));
    let relay::Response::Renewal(jobs::RenewalOutcome::Listing(listing)) = decode(&encode(&aged))
    else {
        panic!("a listing");
    };
    assert_eq!(listing.age, time::Duration::from_millis(7));
}

/// Guards against authority that nobody has confirmed: a batch without orders is a question, and an
/// answer without a confirmation is none.
#[test]
fn batch_without_orders_is_a_question_whose_answer_may_confirm_nothing() {
    let asked_at = time::Duration::from_millis(70);
    let question = relay::OrderBatch::new(relay::LeaderState::default(), asked_at, []);
    let decoded: relay::OrderBatch = decode(&encode(&question));
    assert!(decoded.is_question());
    assert_eq!(decoded.asked_at, asked_at);
    for confirmed in [None, Some(asked_at)] {
        let answer = relay::ReportBatch {
            confirmed,
            ..relay::ReportBatch::default()
        };
        let decoded: relay::ReportBatch = decode(&encode(&answer));
        assert_eq!(decoded.confirmed, confirmed);
    }
}
