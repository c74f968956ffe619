//! Time of one tick and of one change of the members, at the current size and at the size
//! expected in two years.

use std::time;

const ROUNDS: u32 = 200;

fn main() {
    measure(6, 48);
    measure(40, 2_600);
}

fn measure(instances: usize, workers: usize) {
    let mut now = time::Instant::now();
    let settings = lease::LeaseSettings {
        instance_id: "i0#boot".into(),
        location: location(0, ""),
        ttl: time::Duration::from_secs(3),
        grace: time::Duration::from_secs(6),
        margin: time::Duration::from_millis(300),
        renew_every: time::Duration::from_millis(500),
        members_stable_for: time::Duration::from_secs(5),
        hand_over_every: time::Duration::from_millis(200),
    };
    let mut leases = lease::Leases::new(settings);
    let entries = (0..workers).map(|number| model::DirectoryEntry {
        id: format!("w{number}").into(),
        role: model::Role::Worker,
        address: format!("w{number}:1"),
        location: location(number / 8 % 3, &format!("rack{}", number / 8)),
        state: model::EntryState::Live,
    });
    leases.handle_event(lease::Event::Workers(entries.collect()), now);
    let start = time::Instant::now();
    for round in 0..ROUNDS {
        now += time::Duration::from_millis(1);
        let count = instances - (round as usize % 2);
        leases.handle_event(lease::Event::Members(members(count)), now);
    }
    let change = start.elapsed() / ROUNDS;
    let start = time::Instant::now();
    for _ in 0..ROUNDS {
        now += time::Duration::from_millis(1);
        leases.handle_event(lease::Event::Tick, now);
    }
    let tick = start.elapsed() / ROUNDS;
    println!(
        "{instances} instances, {workers} workers: change of members {change:?}, tick {tick:?}"
    );
}

fn members(count: usize) -> Vec<lease::Member> {
    let members = (0..count).map(|number| lease::Member {
        instance_id: format!("i{number}#boot").into(),
        location: location(number % 3, ""),
        draining: false,
    });
    members.collect()
}

fn location(region: usize, rack: &str) -> model::Location {
    model::Location {
        region: format!("r{region}").into(),
        data_centre: format!("r{region}").into(),
        rack: rack.into(),
    }
}
