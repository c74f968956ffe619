//! Claim delays, the recorded strength and leaders reported by peers.

use std::time;

fn member(id: &str, strength_milli: u32) -> elect::Member {
    elect::Member {
        instance_id: id.into(),
        address: id.into(),
        strength_milli,
    }
}

/// After a power loss of all machines a weak one is back first: it must not become the leader
/// before a strong one has had time to register.
#[test]
fn weak_machine_delays_its_claim_for_a_strong_one_that_has_not_registered() {
    let weak = member("weak", 120);
    let mut cluster = elect::ClusterView::new(7);
    cluster.put_member("weak", weak.clone());
    assert_eq!(
        cluster.claim_delay(&weak, time::Duration::ZERO),
        time::Duration::ZERO
    );
    cluster.set_recorded_strength(500);
    assert!(cluster.claim_delay(&weak, time::Duration::ZERO) >= time::Duration::from_millis(500));
    assert_eq!(
        cluster.claim_delay(&member("strong", 500), time::Duration::ZERO),
        time::Duration::ZERO
    );
}

#[test]
fn strongest_machine_is_recorded_only_after_the_first_store_read() {
    let mut cluster = elect::ClusterView::default();
    assert!(!cluster.exceeds_recorded_strength(&member("a", 250)));
    cluster.advance_revision(1);
    assert!(cluster.exceeds_recorded_strength(&member("a", 250)));
    cluster.set_recorded_strength(250);
    assert!(!cluster.exceeds_recorded_strength(&member("a", 250)));
    assert!(cluster.exceeds_recorded_strength(&member("b", 500)));
}

#[test]
fn reported_leader_is_accepted_only_from_a_term_beyond_the_store_revision() {
    let leader = |term| elect::Leader {
        member: member("a", 250),
        term,
    };
    let mut cluster = elect::ClusterView::new(10);
    assert!(
        !cluster.accept_reported_leader(leader(9)),
        "its term has ended"
    );
    assert!(cluster.accept_reported_leader(leader(12)));
    assert!(!cluster.accept_reported_leader(leader(11)));
    cluster.advance_revision(20);
    cluster.set_leader(None);
    assert!(
        !cluster.accept_reported_leader(leader(12)),
        "the store has reported the end of its term"
    );
}
