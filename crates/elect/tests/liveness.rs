//! After any sequence of temporary faults exactly one instance leads, and no term has two leaders.
#![allow(clippy::unwrap_used)]

mod simulation;

use proptest::prelude::*;

use simulation::Simulation;

/// A fault or a recovery in the cluster.
#[derive(Clone, Copy, Debug)]
enum ClusterEvent {
    StoreDown,
    /// The store is down, and leases expire meanwhile.
    StoreDownLeasesExpire,
    StoreUp,
    Kill(usize),
    Freeze(usize),
    CutFromStore(usize),
    CutFromPeers(usize),
    RestoreAll,
}

fn cluster_event() -> impl Strategy<Value = ClusterEvent> {
    let one = 0..simulation::INSTANCE_COUNT;
    prop_oneof![
        2 => Just(ClusterEvent::StoreDown),
        2 => Just(ClusterEvent::StoreDownLeasesExpire),
        3 => Just(ClusterEvent::StoreUp),
        2 => one.clone().prop_map(ClusterEvent::Kill),
        2 => one.clone().prop_map(ClusterEvent::Freeze),
        2 => one.clone().prop_map(ClusterEvent::CutFromStore),
        2 => one.prop_map(ClusterEvent::CutFromPeers),
        2 => Just(ClusterEvent::RestoreAll),
    ]
}

fn apply(simulation: &mut Simulation, cluster_event: ClusterEvent) {
    match cluster_event {
        ClusterEvent::StoreDown => simulation.set_store(false, false),
        ClusterEvent::StoreDownLeasesExpire => simulation.set_store(false, true),
        ClusterEvent::StoreUp => simulation.set_store(true, false),
        ClusterEvent::Kill(index) => simulation.restart(index),
        ClusterEvent::Freeze(index) => simulation.instances[index].is_frozen = true,
        ClusterEvent::CutFromStore(index) => simulation.instances[index].is_cut_from_store = true,
        ClusterEvent::CutFromPeers(index) => simulation.instances[index].is_cut_from_peers = true,
        ClusterEvent::RestoreAll => simulation.restore_all(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    })]

    #[test]
    fn one_instance_leads_after_all_faults_are_cleared(
        seed in any::<u64>(),
        events in prop::collection::vec((cluster_event(), 0_u64..4_000), 1..20),
    ) {
        let mut simulation = Simulation::new(seed);
        simulation.run_ms(2_000);
        for (cluster_event, pause_ms) in events {
            apply(&mut simulation, cluster_event);
            simulation.run_ms(pause_ms);
        }
        simulation.restore_all();
        simulation.set_store(true, false);
        simulation.run_ms(6_000);
        simulation.assert_single_leader();
    }
}

/// Guards against instances reporting a former leader to each other again and again. It happened
/// after the leases had expired during a store outage, as the former leader still answered.
#[test]
fn former_leader_is_not_accepted_after_its_entry_expired() {
    for seed in 0..300 {
        let mut simulation = Simulation::new(seed);
        simulation.run_ms(2_000);
        simulation.assert_single_leader();
        simulation.set_store(false, true);
        simulation.run_ms(4_000 + 10 * seed);
        simulation.set_store(true, false);
        simulation.run_ms(3_000);
        simulation.assert_single_leader();
    }
}

/// The store is down for all instances, and comes back. The others may notice that before the
/// leader, but must not replace it: the takeover would add to the outage.
#[test]
fn leader_stays_when_the_store_comes_back() {
    for seed in 0..100 {
        let mut simulation = Simulation::new(seed);
        simulation.run_ms(2_000);
        simulation.assert_single_leader();
        let terms = simulation.term_count();
        simulation.set_store(false, false);
        simulation.run_ms(4_000 + 10 * seed);
        simulation.set_store(true, false);
        simulation.run_ms(3_000);
        assert_eq!(simulation.term_count(), terms, "seed {seed}");
        simulation.assert_single_leader();
    }
}

/// The leader alone loses the store: another instance, which still reaches it, takes over.
#[test]
fn leader_that_alone_loses_the_store_is_replaced() {
    for seed in 0..100 {
        let mut simulation = Simulation::new(seed);
        simulation.run_ms(3_000);
        let terms = simulation.term_count();
        let leader = simulation.leader_index();
        simulation.instances[leader].is_cut_from_store = true;
        simulation.run_ms(1_500);
        assert!(simulation.term_count() > terms, "seed {seed}");
    }
}
