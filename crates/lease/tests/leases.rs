//! Lease decisions of several instances with fake workers.

mod common;

use std::collections;
use std::time;

use lease::Action;
use lease::Event;

const REGIONS: [&str; 6] = ["r0", "r0", "r1", "r1", "r2", "r2"];

/// Three regions, two racks in each, eight workers in each rack.
fn six_rack_directory() -> Vec<model::DirectoryEntry> {
    let numbers = 0..48;
    let entries = numbers.map(|number| {
        let region = format!("r{}", number / 16);
        let rack = format!("rack{}", number / 8);
        common::worker_entry(&format!("w{number:02}"), &region, &rack)
    });
    entries.collect()
}

fn seconds(seconds: u64) -> time::Duration {
    time::Duration::from_secs(seconds)
}

/// Returns on how many workers each live instance may start runs, and checks that no two instances
/// may start on the same worker.
fn startable_counts(simulation: &common::Simulation) -> Vec<usize> {
    let mut startable = collections::BTreeSet::new();
    let instances = simulation
        .instances
        .iter()
        .filter(|instance| !instance.is_dead);
    let startable_counts = instances.map(|instance| {
        let workers = simulation.workers.iter();
        let own = workers.filter(|(entry, _)| {
            let target = instance.leases.start_target(&entry.id, simulation.now);
            assert!(target.is_none() || startable.insert(entry.id.clone()));
            target.is_some()
        });
        own.count()
    });
    startable_counts.collect()
}

#[test]
fn each_instance_holds_a_whole_rack_of_its_region() {
    let mut simulation = common::Simulation::new(six_rack_directory(), &REGIONS, 1);
    simulation.run(seconds(2), |_| {});
    assert_eq!(startable_counts(&simulation), [8, 8, 8, 8, 8, 8]);
    for instance in &simulation.instances {
        let held = instance.leases.held();
        let locations = held.filter_map(|worker_id| instance.leases.location_of(worker_id));
        let locations: collections::BTreeSet<_> = locations.collect();
        assert_eq!(locations.len(), 1, "{locations:?}");
    }
    // Calls in the steady state: a renewal of each worker every half second, and few other claims.
    simulation.run(seconds(30), |_| {});
    let before = simulation.call_count;
    simulation.run(seconds(60), |_| {});
    expect_test::expect!["renewals 5760, other calls 1248"].assert_eq(&format!(
        "renewals 5760, other calls {}",
        simulation.call_count - before - 5760
    ));
}

#[test]
fn workers_of_a_dead_instance_are_claimed_again() {
    let mut simulation = common::Simulation::new(six_rack_directory(), &REGIONS, 1);
    simulation.run(seconds(10), |_| {});
    simulation.instances[0].is_dead = true;
    simulation.run(seconds(1), |_| {});
    let members: Vec<_> = (1..6)
        .map(|number| common::member(&format!("i{number}#boot"), REGIONS[number]))
        .collect();
    for number in 1..6 {
        simulation.handle_event(number, Event::Members(members.clone()));
    }
    simulation.run(common::TTL, |_| {});
    assert_eq!(startable_counts(&simulation).iter().sum::<usize>(), 48);

    // Hand-overs balance the load once the members have been unchanged for long enough.
    simulation.run(seconds(10), |_| {});
    let startable_counts = startable_counts(&simulation);
    assert_eq!(startable_counts.iter().sum::<usize>(), 48);
    assert!(
        startable_counts.iter().all(|count| *count <= 12),
        "{startable_counts:?}"
    );
}

/// Returns the actions of an instance, without renewals, and clears them.
fn action_log(simulation: &mut common::Simulation, instance: usize) -> String {
    let log = std::mem::take(&mut simulation.instances[instance].actions);
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

fn with_one_worker(instances: usize) -> common::Simulation {
    let entries = vec![common::worker_entry("w0", "r0", "rack")];
    common::Simulation::new(entries, &["r0"; 3][..instances], 1)
}

#[test]
fn a_restarted_worker_is_claimed_again() {
    let mut simulation = with_one_worker(1);
    simulation.run(seconds(1), |_| {});
    let now = simulation.now;
    simulation.workers[0].1.restart(now);
    simulation.run(seconds(1), |_| {});
    expect_test::expect![[r#"
        claim w0
        acquired w0 epoch 1 incarnation 1 leaving false
        dropped w0
        claim w0
        restarted w0 epoch 1 incarnation 2 leaving false"#]]
    .assert_eq(&action_log(&mut simulation, 0));
}

#[test]
fn a_leaving_worker_is_held_but_gets_no_starts() {
    let mut simulation = with_one_worker(1);
    simulation.run(seconds(1), |_| {});
    simulation.workers[0].1.is_leaving = true;
    simulation.run(seconds(1), |_| {});
    assert_eq!(
        simulation.instances[0]
            .leases
            .start_target("w0", simulation.now),
        None
    );
    assert!(simulation.instances[0].leases.order_target("w0").is_some());
    simulation.workers[0].1.is_leaving = false;
    simulation.run(seconds(1), |_| {});
    assert_eq!(startable_counts(&simulation), [1]);
    // The directory marks the worker as leaving too.
    let mut entry = simulation.workers[0].0.clone();
    entry.state = model::EntryState::Leaving;
    simulation.handle_event(0, Event::Workers(vec![entry]));
    assert_eq!(startable_counts(&simulation), [0]);
    expect_test::expect![[r#"
        claim w0
        acquired w0 epoch 1 incarnation 1 leaving false
        leaving w0 true
        leaving w0 false
        leaving w0 true"#]]
    .assert_eq(&action_log(&mut simulation, 0));
}

#[test]
fn an_unreachable_worker_is_dropped_then_gone_then_claimed_again() {
    let mut simulation = with_one_worker(1);
    simulation.run(seconds(1), |_| {});
    simulation.workers[0].1.is_alive = false;
    let runs_stopped_after = common::TTL + common::GRACE + common::MARGIN;
    simulation.run(common::TTL + common::MARGIN + seconds(1), |_| {});
    let log = action_log(&mut simulation, 0);
    assert!(log.contains("dropped w0") && !log.contains("gone"), "{log}");
    simulation.run(runs_stopped_after, |_| {});
    assert!(action_log(&mut simulation, 0).contains("gone w0"));
    assert_eq!(
        simulation.instances[0]
            .leases
            .possibly_held(simulation.now)
            .count(),
        0
    );
    simulation.workers[0].1.is_alive = true;
    simulation.run(seconds(1), |_| {});
    assert!(action_log(&mut simulation, 0).contains("acquired w0 epoch 2"));
}

#[test]
fn requests_pause_until_gone_when_replies_are_lost() {
    let mut simulation = with_one_worker(1);
    simulation.run(seconds(1), |_| {});
    simulation.faults.lost_replies_percent = 100;
    let runs_stopped_after = common::TTL + common::GRACE + common::MARGIN;
    // Each request whose reply was lost may have renewed the lease, so `Gone` takes twice as long.
    simulation.run(runs_stopped_after, |_| {});
    assert!(!action_log(&mut simulation, 0).contains("gone"));
    assert_eq!(
        simulation.instances[0]
            .leases
            .possibly_held(simulation.now)
            .count(),
        1
    );
    simulation.run(runs_stopped_after, |_| {});
    assert!(action_log(&mut simulation, 0).contains("gone w0"));
    assert!(simulation.premature_gone.is_empty());
}

#[test]
fn a_draining_instance_releases_to_a_successor() {
    let mut simulation = with_one_worker(2);
    simulation.run(seconds(1), |_| {});
    let holder = usize::from(startable_counts(&simulation)[0] == 0);
    action_log(&mut simulation, holder);
    simulation.handle_event(holder, Event::Drain);
    simulation.run(time::Duration::from_millis(10), |_| {});
    assert_eq!(startable_counts(&simulation), [0, 0]);
    let mut members = vec![
        common::member("i0#boot", "r0"),
        common::member("i1#boot", "r0"),
    ];
    members[holder].draining = true;
    simulation.handle_event(1 - holder, Event::Members(members));
    simulation.run(seconds(1), |_| {});
    assert_eq!(startable_counts(&simulation)[1 - holder], 1);
    expect_test::expect![[r#"
        release w0 epoch 1 to Some("i0#boot")
        dropped w0"#]]
    .assert_eq(&action_log(&mut simulation, holder));
}

#[test]
fn workers_are_handed_over_to_newly_preferred_holders() {
    let mut simulation = common::Simulation::new(six_rack_directory(), &REGIONS, 1);
    let alone = vec![common::member("i0#boot", "r0")];
    simulation.handle_event(0, Event::Members(alone));
    for number in 1..6 {
        simulation.instances[number].is_paused = true;
    }
    simulation.run(seconds(20), |_| {});
    assert_eq!(startable_counts(&simulation)[0], 48);
    let members: Vec<_> = (0..6)
        .map(|number| common::member(&format!("i{number}#boot"), REGIONS[number]))
        .collect();
    for number in 0..6 {
        simulation.resume(number);
        simulation.handle_event(number, Event::Members(members.clone()));
    }
    // The members count as stable after 5 s; then one worker is handed over every 200 ms, so 40
    // workers in 8 s. A claim by the next candidate may come between a release and the claim by the
    // preferred holder: that worker moves twice.
    simulation.run(seconds(4), |_| {});
    assert_eq!(startable_counts(&simulation)[0], 48);
    let mut fewest = usize::MAX;
    simulation.run(seconds(24), |simulation| {
        fewest = fewest.min(startable_counts(simulation).iter().sum())
    });
    assert_eq!(startable_counts(&simulation), [8, 8, 8, 8, 8, 8]);
    expect_test::expect!["at least 43 of 48 workers could be started on"].assert_eq(&format!(
        "at least {fewest} of 48 workers could be started on"
    ));
}

#[test]
fn the_next_candidate_claims_a_worker_that_the_preferred_holder_cannot_reach() {
    let mut simulation = with_one_worker(2);
    let preferred = simulation.instances[0].leases.preferred_holder("w0");
    let preferred = usize::from(preferred != Some(&simulation.instances[0].id));
    simulation.broken_links.push((preferred, 0));
    // The first claims were sent before the link broke; that lease has to end first.
    simulation.run((common::TTL + common::MARGIN) * 2, |_| {});
    assert_eq!(startable_counts(&simulation)[1 - preferred], 1);
    // The preferred holder cannot claim it, so this instance claims it again each time, and then
    // keeps it longer.
    simulation.run(seconds(600), |_| {});
    let log = action_log(&mut simulation, 1 - preferred);
    let releases = log.lines().filter(|line| line.starts_with("release"));
    expect_test::expect!["released 7 times in 600 s"]
        .assert_eq(&format!("released {} times in 600 s", releases.count()));
    simulation.broken_links.clear();
    simulation.run(seconds(200), |_| {});
    assert_eq!(startable_counts(&simulation)[preferred], 1);
}

#[test]
fn workers_stay_held_while_every_instance_drains() {
    let mut simulation = common::Simulation::new(six_rack_directory(), &REGIONS, 1);
    simulation.run(seconds(10), |_| {});
    for number in 0..REGIONS.len() {
        simulation.handle_event(number, Event::Drain);
    }
    // Each instance learns that the others drain after it has begun to release its workers.
    simulation.run(time::Duration::from_millis(300), |_| {});
    let members: Vec<_> = (0..REGIONS.len())
        .map(|number| {
            let mut member = common::member(&format!("i{number}#boot"), REGIONS[number]);
            member.draining = true;
            member
        })
        .collect();
    for number in 0..REGIONS.len() {
        simulation.handle_event(number, Event::Members(members.clone()));
    }
    simulation.run(seconds(3), |_| {});
    assert_eq!(startable_counts(&simulation).iter().sum::<usize>(), 48);
    for number in 0..REGIONS.len() {
        simulation.handle_event(number, Event::ReleaseAll);
    }
    simulation.run(seconds(1), |_| {});
    assert_eq!(startable_counts(&simulation).iter().sum::<usize>(), 0);
}
