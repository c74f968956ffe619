//! Through which relay a worker is called, as relays join and leave.

use indexmap::IndexMap;
use relay::Route;

const WORKERS: usize = 600;

fn info(data_centre: &str, strength_milli: u32) -> relay::RelayInfo {
    relay::RelayInfo {
        data_centre: data_centre.into(),
        strength_milli,
    }
}

fn regions() -> IndexMap<model::DataCentre, model::Region> {
    let pairs = [("a-1", "a"), ("a-2", "a"), ("b-1", "b")];
    let pairs = pairs.map(|(data_centre, region)| (data_centre.into(), region.into()));
    pairs.into_iter().collect()
}

/// Returns the assignments of a leader in `b-1`, with workers in `data_centre`.
fn assignments(data_centre: &str) -> relay::Assignments {
    let mut assignments = relay::Assignments::new(info("b-1", 500), regions());
    for number in 0..WORKERS {
        assignments.set_data_centre(&worker(number), &data_centre.into());
    }
    assignments
}

fn worker(number: usize) -> model::WorkerId {
    format!("w{number}").into()
}

fn relays(relays: &[(&str, &str, u32)]) -> IndexMap<model::InstanceId, relay::RelayInfo> {
    let relays = relays.iter();
    let relays =
        relays.map(|(id, data_centre, strength)| ((*id).into(), info(data_centre, *strength)));
    relays.collect()
}

fn routes(assignments: &mut relay::Assignments) -> Vec<Route> {
    (0..WORKERS)
        .map(|number| assignments.route(&worker(number)))
        .collect()
}

fn count(routes: &[Route], relay_id: &str) -> usize {
    let through = Route::Through(relay_id.into());
    routes.iter().filter(|route| **route == through).count()
}

#[test]
fn workers_are_called_through_the_nearest_strong_relays() {
    let mut assignments = assignments("a-1");
    assert!(assignments.set_relays(relays(&[
        ("near#1", "a-1", 500),
        ("near-too#1", "a-1", 500),
        ("weak#1", "a-1", 120),
        ("same-region#1", "a-2", 500),
        ("far#1", "b-1", 500),
    ])));
    let near = routes(&mut assignments);
    let (one, other) = (count(&near, "near#1"), count(&near, "near-too#1"));
    assert_eq!(one + other, WORKERS);
    assert!(one.abs_diff(other) < WORKERS / 5, "{one} and {other}");
    assignments.set_relays(relays(&[
        ("weak#1", "a-1", 120),
        ("same-region#1", "a-2", 500),
    ]));
    assert_eq!(count(&routes(&mut assignments), "weak#1"), WORKERS);
    assignments.set_relays(relays(&[
        ("same-region#1", "a-2", 500),
        ("far#1", "b-1", 500),
    ]));
    assert_eq!(count(&routes(&mut assignments), "same-region#1"), WORKERS);
}

#[test]
fn leader_calls_workers_itself_where_no_relay_is_as_near() {
    let mut near_leader = assignments("b-1");
    assert!(
        routes(&mut near_leader)
            .iter()
            .all(|one| *one == Route::Direct)
    );
    near_leader.set_relays(relays(&[("far#1", "a-1", 500)]));
    assert!(
        routes(&mut near_leader)
            .iter()
            .all(|one| *one == Route::Direct)
    );
    near_leader.set_relays(relays(&[("far#1", "a-1", 500), ("near#1", "b-1", 500)]));
    assert_eq!(count(&routes(&mut near_leader), "near#1"), WORKERS);
}

/// A relay dies and comes back as a new process: only its own workers move, and they move back.
#[test]
fn relay_that_leaves_moves_only_its_own_workers() {
    let mut assignments = assignments("a-1");
    let all = relays(&[
        ("x#1", "a-1", 500),
        ("y#1", "a-1", 500),
        ("z#1", "a-1", 500),
    ]);
    assignments.set_relays(all.clone());
    let before = routes(&mut assignments);
    let mut without = all;
    without.shift_remove("y#1");
    assignments.set_relays(without.clone());
    let between = routes(&mut assignments);
    for (before, between) in before.iter().zip(&between) {
        assert!(before == between || *before == Route::Through("y#1".into()));
    }
    assert_eq!(count(&between, "y#1"), 0);
    without.insert("y#2".into(), info("a-1", 500));
    assignments.set_relays(without);
    let after = routes(&mut assignments);
    assert_eq!(count(&after, "y#2"), count(&before, "y#1"));
}

#[test]
fn unchanged_relays_are_no_change() {
    let mut assignments = assignments("a-1");
    let some = relays(&[("x#1", "a-1", 500)]);
    assert!(assignments.set_relays(some.clone()));
    assert!(!assignments.set_relays(some));
}
