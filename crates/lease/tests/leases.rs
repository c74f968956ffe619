//! Lease decisions of several instances against fake workers.

mod common;

use std::collections;
use std::time;

use lease::Action;
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

/// Returns what an instance did, without renewals.
fn log_of(world: &mut common::World, instance: usize) -> String {
    let log = std::mem::take(&mut world.instances[instance].log);
    let lines = log.iter().filter_map(|action| match action {
        Action::Renew { .. } => None,
        Action::Claim { worker_id, .. } => Some(format!("claim {worker_id}")),
        Action::Release {
            worker_id,
            epoch,
            successor,
            ..
        } => Some(format!(
            "release {worker_id} epoch {epoch} to {successor:?}"
        )),
        Action::Acquired(worker) => Some(acquired("acquired", worker)),
        Action::Restarted(worker) => Some(acquired("restarted", worker)),
        Action::LeavingChanged { worker_id, leaving } => {
            Some(format!("leaving {worker_id} {leaving}"))
        }
        Action::Dropped { worker_id } => Some(format!("dropped {worker_id}")),
        Action::Gone { worker_id } => Some(format!("gone {worker_id}")),
    });
    lines.collect::<Vec<_>>().join("\n")
}

fn acquired(verb: &str, worker: &lease::Acquired) -> String {
    format!(
        "{verb} {} epoch {} incarnation {} leaving {}",
        worker.worker_id, worker.epoch, worker.incarnation, worker.leaving
    )
}

fn one_worker(instances: usize) -> common::World {
    let entries = vec![common::entry("w0", "r0", "rack")];
    common::World::new(entries, &["r0"; 3][..instances], 1)
}

#[test]
fn a_restarted_worker_is_claimed_anew() {
    let mut world = one_worker(1);
    world.run(seconds(1), |_| {});
    let now = world.now;
    world.workers[0].1.restart(now);
    world.run(seconds(1), |_| {});
    expect_test::expect![[r#"
        claim w0
        acquired w0 epoch 1 incarnation 1 leaving false
        dropped w0
        claim w0
        restarted w0 epoch 1 incarnation 2 leaving false"#]]
    .assert_eq(&log_of(&mut world, 0));
}

#[test]
fn a_leaving_worker_is_held_but_not_started_on() {
    let mut world = one_worker(1);
    world.run(seconds(1), |_| {});
    world.workers[0].1.is_leaving = true;
    world.run(seconds(1), |_| {});
    assert_eq!(world.instances[0].leases.may_start("w0", world.now), None);
    assert!(world.instances[0].leases.may_order("w0").is_some());
    world.workers[0].1.is_leaving = false;
    world.run(seconds(1), |_| {});
    assert_eq!(shares(&world), [1]);
    // The list says so too.
    let mut entry = world.workers[0].0.clone();
    entry.state = model::EntryState::Leaving;
    world.feed(0, Event::Workers(vec![entry]));
    assert_eq!(shares(&world), [0]);
    expect_test::expect![[r#"
        claim w0
        acquired w0 epoch 1 incarnation 1 leaving false
        leaving w0 true
        leaving w0 false
        leaving w0 true"#]]
    .assert_eq(&log_of(&mut world, 0));
}

#[test]
fn an_unreachable_worker_is_dropped_then_gone_then_claimed_again() {
    let mut world = one_worker(1);
    world.run(seconds(1), |_| {});
    world.workers[0].1.is_alive = false;
    let sure = common::TTL + common::GRACE + common::MARGIN;
    world.run(common::TTL + common::MARGIN + seconds(1), |_| {});
    let log = log_of(&mut world, 0);
    assert!(log.contains("dropped w0") && !log.contains("gone"), "{log}");
    world.run(sure, |_| {});
    assert!(log_of(&mut world, 0).contains("gone w0"));
    assert_eq!(
        world.instances[0].leases.possibly_held(world.now).count(),
        0
    );
    world.workers[0].1.is_alive = true;
    world.run(seconds(1), |_| {});
    assert!(log_of(&mut world, 0).contains("acquired w0 epoch 2"));
}

#[test]
fn requests_stop_for_a_while_when_replies_are_lost() {
    let mut world = one_worker(1);
    world.run(seconds(1), |_| {});
    world.faults.lost_replies_percent = 100;
    let sure = common::TTL + common::GRACE + common::MARGIN;
    // Each lost reply may have prolonged the lease, so it takes twice the time to be sure.
    world.run(sure, |_| {});
    assert!(!log_of(&mut world, 0).contains("gone"));
    assert_eq!(
        world.instances[0].leases.possibly_held(world.now).count(),
        1
    );
    world.run(sure, |_| {});
    assert!(log_of(&mut world, 0).contains("gone w0"));
    assert!(world.early_gone.is_empty());
}

#[test]
fn a_draining_instance_releases_to_a_successor() {
    let mut world = one_worker(2);
    world.run(seconds(1), |_| {});
    let holder = usize::from(shares(&world)[0] == 0);
    log_of(&mut world, holder);
    world.feed(holder, Event::Drain);
    world.run(time::Duration::from_millis(10), |_| {});
    assert_eq!(shares(&world), [0, 0]);
    let mut members = vec![
        common::member("i0#boot", "r0"),
        common::member("i1#boot", "r0"),
    ];
    members[holder].draining = true;
    world.feed(1 - holder, Event::Members(members));
    world.run(seconds(1), |_| {});
    assert_eq!(shares(&world)[1 - holder], 1);
    expect_test::expect![[r#"
        release w0 epoch 1 to Some("i0#boot")
        dropped w0"#]]
    .assert_eq(&log_of(&mut world, holder));
}

#[test]
fn a_newly_preferred_holder_is_handed_its_workers_in_time() {
    let mut world = common::World::new(fleet(), &REGIONS, 1);
    let alone = vec![common::member("i0#boot", "r0")];
    world.feed(0, Event::Members(alone));
    for number in 1..6 {
        world.instances[number].is_paused = true;
    }
    world.run(seconds(20), |_| {});
    assert_eq!(shares(&world)[0], 48);
    let members: Vec<_> = (0..6)
        .map(|number| common::member(&format!("i{number}#boot"), REGIONS[number]))
        .collect();
    for number in 0..6 {
        world.resume(number);
        world.feed(number, Event::Members(members.clone()));
    }
    // Settled after 5 s; then one worker each 200 ms, so 40 workers in 8 s. A check of the
    // next in order may come between a release and the claim: that worker moves twice.
    world.run(seconds(4), |_| {});
    assert_eq!(shares(&world)[0], 48);
    let mut fewest = usize::MAX;
    world.run(seconds(24), |world| {
        fewest = fewest.min(shares(world).iter().sum())
    });
    assert_eq!(shares(&world), [8, 8, 8, 8, 8, 8]);
    expect_test::expect!["at least 43 of 48 workers could be started on"].assert_eq(&format!(
        "at least {fewest} of 48 workers could be started on"
    ));
}

#[test]
fn the_next_in_order_claims_what_the_preferred_holder_cannot_reach() {
    let mut world = one_worker(2);
    let preferred = world.instances[0].leases.preferred_holder("w0");
    let preferred = usize::from(preferred != Some(&world.instances[0].id));
    world.cut.push((preferred, 0));
    // The first claims were sent before the cut; that lease has to end first.
    world.run((common::TTL + common::MARGIN) * 2, |_| {});
    assert_eq!(shares(&world)[1 - preferred], 1);
    // The preferred one cannot take it over, so it comes back, and is kept longer each time.
    world.run(seconds(600), |_| {});
    let log = log_of(&mut world, 1 - preferred);
    let releases = log.lines().filter(|line| line.starts_with("release"));
    expect_test::expect!["released 7 times in 600 s"]
        .assert_eq(&format!("released {} times in 600 s", releases.count()));
    world.cut.clear();
    world.run(seconds(200), |_| {});
    assert_eq!(shares(&world)[preferred], 1);
}

#[test]
fn workers_stay_held_while_every_instance_drains() {
    let mut world = common::World::new(fleet(), &REGIONS, 1);
    world.run(seconds(10), |_| {});
    for number in 0..REGIONS.len() {
        world.feed(number, Event::Drain);
    }
    // Each learns of the others' drains after it has begun to release.
    world.run(time::Duration::from_millis(300), |_| {});
    let members: Vec<_> = (0..REGIONS.len())
        .map(|number| {
            let mut member = common::member(&format!("i{number}#boot"), REGIONS[number]);
            member.draining = true;
            member
        })
        .collect();
    for number in 0..REGIONS.len() {
        world.feed(number, Event::Members(members.clone()));
    }
    world.run(seconds(3), |_| {});
    assert_eq!(shares(&world).iter().sum::<usize>(), 48);
    for number in 0..REGIONS.len() {
        world.feed(number, Event::Resign);
    }
    world.run(seconds(1), |_| {});
    assert_eq!(shares(&world).iter().sum::<usize>(), 0);
}
