//! Leases of earlier leaders: none is granted later than a successor computes, whatever the network, the
//! store and the processes do.

mod terms;

use std::collections;
use std::time;

use proptest::prelude::*;

use terms::Cluster;

/// A fault, a recovery, or a claim.
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    Claim(usize),
    Kill(usize),
    /// The process stands still for this many milliseconds.
    Freeze(usize, u64),
    CutFromStore(usize),
    CutFromPeers(usize),
    StoreDown,
    /// The store works, but none of its replies arrive.
    StoreRepliesLost,
    StoreUp,
    RestoreAll,
    /// The network delays messages by up to this many milliseconds.
    Delay(u64),
}

fn disturbance() -> impl Strategy<Value = Disturbance> {
    let one = 0..terms::MAX_INSTANCES;
    prop_oneof![
        6 => one.clone().prop_map(Disturbance::Claim),
        3 => one.clone().prop_map(Disturbance::Kill),
        3 => (one.clone(), 100_u64..4_000)
            .prop_map(|(index, pause_ms)| Disturbance::Freeze(index, pause_ms)),
        2 => one.clone().prop_map(Disturbance::CutFromStore),
        2 => one.prop_map(Disturbance::CutFromPeers),
        1 => Just(Disturbance::StoreDown),
        1 => Just(Disturbance::StoreRepliesLost),
        3 => Just(Disturbance::StoreUp),
        2 => Just(Disturbance::RestoreAll),
        1 => (5_u64..1_500).prop_map(Disturbance::Delay),
    ]
}

fn apply(cluster: &mut Cluster, disturbance: Disturbance) {
    match disturbance {
        Disturbance::Claim(index) => cluster.claim(index),
        Disturbance::Kill(index) => cluster.restart(index),
        Disturbance::Freeze(index, pause_ms) => cluster.freeze(index, pause_ms),
        Disturbance::CutFromStore(index) => cluster.cut_from_store(index),
        Disturbance::CutFromPeers(index) => cluster.cut_from_peers(index),
        Disturbance::StoreDown => cluster.set_store(terms::StoreState::Down),
        Disturbance::StoreRepliesLost => cluster.set_store(terms::StoreState::RepliesLost),
        Disturbance::StoreUp => cluster.set_store(terms::StoreState::Up),
        Disturbance::RestoreAll => cluster.restore_all(),
        Disturbance::Delay(max_ms) => cluster.set_max_delay(max_ms),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_208),
        ..ProptestConfig::default()
    })]

    /// Guards against a run that is started again while an earlier leader still prolongs its lease.
    #[test]
    fn no_earlier_leader_grants_a_lease_after_the_time_that_its_successor_has_computed(
        seed in any::<u64>(),
        count in 2..=terms::MAX_INSTANCES,
        disturbances in prop::collection::vec((disturbance(), 0_u64..2_500), 1..25),
    ) {
        let mut cluster = Cluster::new(count, seed);
        cluster.claim(0);
        cluster.run_ms(2_000);
        for (disturbance, pause_ms) in disturbances {
            apply(&mut cluster, disturbance);
            cluster.run_ms(pause_ms);
        }
        cluster.run_ms(2_000);
        cluster.assert_grants();
    }

    /// Guards against runs that are lost in an outage of the store.
    #[test]
    fn authority_goes_on_without_the_store_while_a_quorum_of_the_voters_answers(
        seed in any::<u64>(),
        count in 2..=terms::MAX_INSTANCES,
    ) {
        let mut cluster = Cluster::new(count, seed).calm();
        cluster.claim(0);
        cluster.run_ms(3_000);
        cluster.set_store(terms::StoreState::Down);
        let voter_count = count - 1;
        for index in 0..voter_count / 4 {
            cluster.cut_from_peers(count - 1 - index);
        }
        cluster.run_ms(8_000);
        prop_assert!(cluster.has_authority(0), "the authority lasts");
        cluster.run_ms(1_500);
        prop_assert!(!cluster.has_authority(0), "the authority ends with the leadership");
    }
}

/// Guards against a test that shows nothing: the successors do compute such a time, soon after a leader
/// was killed, and earlier leaders do grant leases for a while after a claim.
#[test]
fn successor_of_a_killed_leader_computes_the_end_of_its_authority_at_once() {
    for seed in 0..50 {
        let mut cluster = Cluster::new(6, seed).calm();
        cluster.claim(0);
        cluster.run_ms(3_000);
        cluster.restart(0);
        cluster.claim(1);
        cluster.run_ms(800);
        let waited = cluster.wait_of_the_last_leader();
        let waited = waited.expect("the end of the earlier authority is known");
        assert!(
            waited <= time::Duration::from_millis(1_800),
            "seed {seed}: {waited:?}"
        );
        cluster.assert_grants();
    }
}

/// Guards against a list that hides the quorum of an earlier leader: a successor that reaches no voter
/// must not store its own list while that quorum may hold, as the next leader reads only the last one.
#[test]
fn list_of_an_earlier_leader_stays_while_its_quorum_may_hold() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(9, seed).calm();
        cluster.claim(0);
        cluster.run_ms(3_000);
        // The leader keeps a quorum of six of its eight voters, none of which learns of later terms.
        for index in 0..=6 {
            cluster.cut_from_store(index);
        }
        cluster.cut_from_peers(7);
        cluster.claim(7);
        cluster.run_ms(2_000);
        cluster.claim(8);
        cluster.run_ms(3_000);
        assert!(cluster.has_authority(0), "seed {seed}");
        assert_eq!(cluster.wait_of_the_last_leader(), None, "seed {seed}");
        cluster.assert_grants();
    }
}

/// Guards against the wait of a successor that has nobody to wait for, and against one that believes it
/// has: a leader whose voters are not reachable is not known to have ended.
#[test]
fn end_is_unknown_until_more_voters_are_resolved_than_may_be_missing() {
    let member = |id: &str, address: &str| elect::Member {
        instance_id: id.into(),
        address: address.into(),
        strength_milli: 250,
    };
    let mut cluster = elect::ClusterView::new(1);
    for (id, address) in [("a", "1"), ("b", "2"), ("c", "3"), ("d", "4"), ("e", "5")] {
        cluster.put_member(id, member(id, address));
    }
    // The entry of an earlier process at the address of a voter has not ended yet.
    cluster.put_member("old", member("old", "5"));
    let ids: collections::HashSet<_> = ["a", "b", "c", "d", "e"].map(Into::into).into();
    let voters = elect::Voters::new(7, &ids, &cluster);
    assert_eq!(voters.max_missing(), 1);
    let outside = member("z", "9");
    let mut succession = elect::Succession::new(voters.clone(), &outside);
    assert!(!succession.is_ended());
    succession.resolve(&"unknown".into());
    succession.resolve_address(&"5".into(), &"old".into());
    succession.resolve_address(&"4".into(), &"d".into());
    assert_eq!(succession.resolved_count(), 0, "none of these is resolved");
    succession.resolve(&"a".into());
    succession.resolve(&"a".into());
    assert!(!succession.is_ended(), "one may be missing from a quorum");
    succession.resolve_address(&"5".into(), &"new".into());
    assert!(succession.is_ended());
    let restarted = member("new", "1");
    let succession = elect::Succession::new(voters, &restarted);
    assert_eq!(succession.resolved_count(), 1, "its own earlier process");
    let nobody = elect::Succession::new(elect::Voters::default(), &outside);
    assert!(nobody.is_ended());
}

fn voters(term: model::Term, ids: &[&str]) -> elect::Voters {
    let mut cluster = elect::ClusterView::new(1);
    for id in ids {
        let member = elect::Member {
            instance_id: (*id).into(),
            address: format!("address-{id}").into(),
            strength_milli: 250,
        };
        cluster.put_member(*id, member);
    }
    let ids = ids.iter().map(|id| (*id).into()).collect();
    elect::Voters::new(term, &ids, &cluster)
}

/// Guards against a quorum in a list that the successor does not read: the outcome of a write is
/// unknown, and a read that finds the entry unchanged does not tell that the write takes no effect.
#[test]
fn quorum_must_hold_in_every_list_that_may_be_stored() {
    let ms = time::Duration::from_millis;
    let start = time::Instant::now();
    let (first, second) = (voters(7, &["a", "b"]), voters(7, &["c"]));
    let mut authority = elect::LeaseAuthority::new(7, ms(1_000), ms(9_000), start);
    let mut stored = elect::StoredVoters::new(Some(20), Some(first.clone()));
    authority.set_lists(stored.lists());
    stored.begin_write(second.clone());
    authority.set_lists(stored.lists());
    authority.record_peer(&"c".into(), start + ms(3_000));
    assert_eq!(
        authority.until(),
        start + ms(1_000),
        "the first may be stored"
    );
    stored.record_read(Some(20), Some(first.clone()));
    authority.set_lists(stored.lists());
    assert!(!stored.is_stored(&first), "the write may still take effect");
    authority.record_peer(&"a".into(), start + ms(2_500));
    assert_eq!(
        authority.until(),
        start + ms(1_000),
        "no quorum in the first"
    );
    authority.record_peer(&"b".into(), start + ms(2_000));
    assert_eq!(authority.until(), start + ms(3_000));
    stored.record_read(Some(21), Some(second.clone()));
    authority.set_lists(stored.lists());
    assert!(stored.is_stored(&second));
    assert_eq!(authority.until(), start + ms(4_000));
    authority.record_peer(&"c".into(), start + ms(8_500));
    assert_eq!(
        authority.until(),
        start + ms(9_000),
        "voters do not prolong it beyond the leadership"
    );
    authority.record_store(start + ms(8_400));
    assert_eq!(authority.until(), start + ms(9_500));
}

/// Guards against a quorum in a list that its leader has not stored, and against a quorum of nobody.
#[test]
fn voters_prove_nothing_without_a_stored_list_of_the_term() {
    let ms = time::Duration::from_millis;
    let start = time::Instant::now();
    let confirmed = |stored: &elect::StoredVoters| {
        let mut authority = elect::LeaseAuthority::new(7, ms(1_000), ms(9_000), start);
        authority.set_lists(stored.lists());
        authority.record_peer(&"a".into(), start + ms(3_000));
        authority.until() > start + ms(1_000)
    };
    let absent = elect::StoredVoters::new(None, None);
    assert!(!confirmed(&absent));
    let mut unreadable = elect::StoredVoters::new(Some(20), None);
    assert!(!confirmed(&unreadable));
    unreadable.begin_write(voters(7, &["a"]));
    assert!(!confirmed(&unreadable), "the write may take no effect");
    let earlier = elect::StoredVoters::new(Some(20), Some(voters(6, &["a"])));
    assert!(!confirmed(&earlier));
    let nobody = elect::StoredVoters::new(Some(20), Some(voters(7, &[])));
    assert!(!confirmed(&nobody));
    let mut own = absent;
    own.begin_write(voters(7, &["a"]));
    own.record_write(21, voters(7, &["a"]));
    assert!(confirmed(&own));
}
