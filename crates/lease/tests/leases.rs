//! Lease decisions of several instances against fake workers.

mod common;

use std::collections;
use std::time;

use lease::Event;

const REGIONS: [&str; 6] = ["r0", "r0", "r1", "r1", "r2", "r2"];

/// Three regions, two racks in each, eight workers in each rack.
fn fleet() -> Vec<model::DirectoryEntry> {
    let numbers = 0..48;
    let entries = numbers.map(|number| {
        let region = format!("r{}", number / 16);
        let rack = format!("rack{}", number / 8);
        common::entry(&format!("w{number:02}"), &region, &rack)
    });
    entries.collect()
}

fn seconds(seconds: u64) -> time::Duration {
    time::Duration::from_secs(seconds)
}

/// Returns how many workers each instance may start on, and checks that no two may.
fn shares(world: &common::World) -> Vec<usize> {
    let mut started = collections::BTreeSet::new();
    let instances = world.instances.iter().filter(|instance| !instance.is_dead);
    let shares = instances.map(|instance| {
        let workers = world.workers.iter();
        let own = workers.filter(|(entry, _)| {
            let right = instance.leases.may_start(&entry.id, world.now);
            assert!(right.is_none() || started.insert(entry.id.clone()));
            right.is_some()
        });
        own.count()
    });
    shares.collect()
}

#[test]
fn each_instance_holds_a_whole_rack_of_its_region() {
    let mut world = common::World::new(fleet(), &REGIONS, 1);
    world.run(seconds(2), |_| {});
    assert_eq!(shares(&world), [8, 8, 8, 8, 8, 8]);
    for instance in &world.instances {
        let held = instance.leases.held();
        let places = held.filter_map(|worker_id| instance.leases.location_of(worker_id));
        let places: collections::BTreeSet<_> = places.collect();
        assert_eq!(places.len(), 1, "{places:?}");
    }
    // The steady calls: a renewal of each worker each half second, and few checks.
    world.run(seconds(30), |_| {});
    let before = world.calls;
    world.run(seconds(60), |_| {});
    expect_test::expect!["renewals 5760, other calls 1248"].assert_eq(&format!(
        "renewals 5760, other calls {}",
        world.calls - before - 5760
    ));
}

#[test]
fn a_dead_holders_workers_are_held_again() {
    let mut world = common::World::new(fleet(), &REGIONS, 1);
    world.run(seconds(10), |_| {});
    world.instances[0].is_dead = true;
    world.run(seconds(1), |_| {});
    let members: Vec<_> = (1..6)
        .map(|number| common::member(&format!("i{number}#boot"), REGIONS[number]))
        .collect();
    for number in 1..6 {
        world.feed(number, Event::Members(members.clone()));
    }
    world.run(common::TTL, |_| {});
    assert_eq!(shares(&world).iter().sum::<usize>(), 48);

    // Hand-overs even out the load once the members have settled.
    world.run(seconds(10), |_| {});
    let shares = shares(&world);
    assert_eq!(shares.iter().sum::<usize>(), 48);
    assert!(shares.iter().all(|share| *share <= 12), "{shares:?}");
}
