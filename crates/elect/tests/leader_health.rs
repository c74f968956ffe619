//! Tests of what the replies of a leader show.

use std::time;

fn leader() -> elect::Leader {
    elect::Leader {
        member: elect::Member {
            instance_id: "a#1".into(),
            address: "10.0.0.1:7000".into(),
            strength_milli: 500,
        },
        term: 7,
    }
}

/// A connection to a leader that is well can be refused once, for example by a full backlog.
#[test]
fn leader_that_replies_again_is_not_gone() {
    let now = time::Instant::now();
    let limit = time::Duration::from_millis(600);
    let mut health = elect::LeaderHealth::new(7, now);
    health.is_gone = true;
    assert!(!health.is_reachable(&leader(), limit, now));
    health.record_reply(now, false, false);
    assert!(health.is_reachable(&leader(), limit, now));
}

#[test]
fn any_instance_may_replace_a_leader_whose_entry_is_unreadable() {
    let now = time::Instant::now();
    let mut cluster = elect::ClusterView::new(9);
    cluster.set_leader(Some(elect::Leader::unreadable(8)));
    let claim = elect::decide_claim(&elect::ClaimContext {
        own: &leader().member,
        cluster: &cluster,
        health: &elect::LeaderHealth::default(),
        store_reachable_since: Some(now),
        silence_limit: time::Duration::from_millis(600),
        now,
    });
    let claim = claim.expect("a claim");
    assert_eq!(claim.expected, Some(8));
    assert!(!claim.reason.requires_peer_confirmation());
}
