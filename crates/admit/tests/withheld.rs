//! Tests of how long a refusal of the leader is withheld.

use std::time;

const LONG: time::Duration = time::Duration::from_secs(2);

fn refusal(reason: model::RefusalReason) -> model::JobReply {
    model::JobReply::Refused {
        reason,
        retry_after_ms: 1_000,
    }
}

#[test]
fn refusal_of_a_leader_that_alone_has_lost_the_store_waits_for_its_successor() {
    let reply = refusal(model::RefusalReason::StoreUnavailable);
    let wait = admit::successor_wait(&reply, true, LONG).expect("a successor may follow");
    assert!(wait < time::Duration::from_secs(1), "{wait:?}");
    let short = time::Duration::from_millis(20);
    assert_eq!(admit::successor_wait(&reply, true, short), Some(short));
    assert_eq!(
        admit::successor_wait(&reply, true, time::Duration::ZERO),
        None
    );
}

#[test]
fn refusals_are_passed_on_at_once_when_the_store_is_down_for_all() {
    let reply = refusal(model::RefusalReason::StoreUnavailable);
    assert_eq!(admit::successor_wait(&reply, false, LONG), None);
}

#[test]
fn other_replies_are_passed_on_at_once() {
    let overloaded = refusal(model::RefusalReason::Overloaded);
    for reply in [overloaded, model::JobReply::Accepted] {
        assert_eq!(admit::successor_wait(&reply, true, LONG), None);
    }
}
