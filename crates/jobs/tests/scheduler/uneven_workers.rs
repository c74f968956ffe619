//! Workers of different speeds, and workers that slow down, fail or stall what they start while they
//! report good health.

use crate::simulation;
use crate::simulation::Simulation;

/// By how much the tasks of a step differ, as a share.
const UNEVENNESS: f64 = 0.2;

fn new_simulation(seed: u64, workers: usize) -> Simulation {
    let mut simulation = Simulation::new(seed, workers, None);
    simulation.unevenness = UNEVENNESS;
    simulation.run_ms(200);
    simulation
}

/// Submits a job of `step` every `interval_ms`; returns its ids.
fn submit_every(
    simulation: &mut Simulation,
    queue: &str,
    step: &model::Step,
    first_id: model::JobId,
    count: u64,
    interval_ms: u64,
) -> Vec<model::JobId> {
    let ids = first_id..first_id + count;
    for id in ids.clone() {
        simulation.submit(simulation::job(id, queue, step.clone()));
        simulation.run_ms(interval_ms);
    }
    ids.collect()
}

/// Guards against speeds that are not found, and against differences found between equal workers:
/// a quarter of the workers runs at less than half the speed, then all at the same.
#[test]
fn slow_workers_are_found_and_no_others() {
    let step = simulation::step(24, 1_000, 1_500);
    for slow in [0, 5] {
        let mut simulation = new_simulation(1, 20);
        for worker in 0..slow {
            simulation.change_speed(worker, 0.45);
        }
        submit_every(&mut simulation, "long", &step, 1, 30, 400);
        let summary = simulation.summary();
        assert!(summary.speed_observations > 100, "{summary:?}");
        assert_eq!((summary.slow_workers, summary.fast_workers), (slow, 0));
    }
}

/// Guards against a new leader that takes over estimates it cannot know, or never finds its own.
#[test]
fn new_leader_begins_without_estimates() {
    let step = simulation::step(24, 1_000, 1_500);
    let mut simulation = new_simulation(2, 20);
    simulation.change_speed(3, 0.4);
    submit_every(&mut simulation, "long", &step, 1, 20, 400);
    assert_eq!(simulation.summary().slow_workers, 1);
    simulation.elect_leader();
    simulation.run_ms(100);
    assert_eq!(simulation.summary().slow_workers, 0);
    submit_every(&mut simulation, "long", &step, 100, 20, 400);
    assert_eq!(simulation.summary().slow_workers, 1);
}
