//! Leases of runs: a run that was given up must have ended on its worker.

use crate::simulation;
use crate::simulation::Simulation;

fn submit(simulation: &mut Simulation, id: model::JobId, tasks: u32, milli: u32, run_ms: u32) {
    simulation.submit(simulation::job(
        id,
        "long",
        simulation::step(tasks, milli, run_ms),
    ));
}

fn is_completed(simulation: &mut Simulation, id: model::JobId) -> bool {
    simulation.status(id) == Some(model::JobReply::Status(model::JobStatus::Completed))
}

/// Two runs of a task at the same time: a worker with a slow clock was idle for long before a start,
/// and is cut off right after it.
#[test]
fn task_of_a_worker_that_was_idle_for_long_runs_once() {
    let mut simulation = Simulation::new(1, 2, None);
    simulation.workers[0].draining = true;
    simulation.run_ms(29_000);
    submit(&mut simulation, 1, 1, 1_000, 9_000);
    simulation.run_ms(100);
    assert_eq!(simulation.start_count, 1);
    simulation.workers[1].is_partitioned = true;
    simulation.workers[0].draining = false;
    simulation.run_ms(10_000);
    assert_eq!(simulation.start_count, 2, "the task was not started again");
}

/// Two runs of a task at the same time: an idle worker restarts under its id before the directory
/// shows it, so that a start order for the earlier incarnation is executed by the next one.
#[test]
fn task_started_on_the_next_incarnation_of_a_worker_runs_once() {
    let mut simulation = Simulation::new(1, 2, None);
    simulation.workers[0].draining = true;
    simulation.run_ms(1_000);
    simulation.workers[1].restart_unlisted(6_000);
    submit(&mut simulation, 1, 1, 1_000, 3_000);
    simulation.run_ms(100);
    simulation.workers[0].draining = false;
    simulation.run_ms(6_000);
    assert_eq!(simulation.start_count, 1, "a run was started again");
    assert!(is_completed(&mut simulation, 1));
}

/// Two runs of a task at the same time: a start order without an answer is executed by the next
/// incarnation of the worker, after the restart is known.
///
/// The run is not given up before that, as an incarnation of which nobody has heard may have it, and is
/// given up once that one's lease must have expired.
#[test]
fn delayed_start_is_not_executed_by_the_next_incarnation_of_a_worker() {
    let down_times_ms = [0, 6_000, 13_000];
    for (seed, down_ms) in (0..10).flat_map(|seed| down_times_ms.map(|down_ms| (seed, down_ms))) {
        let mut simulation = Simulation::new(seed, 2, None);
        simulation.workers[0].draining = true;
        simulation.run_ms(1_000);
        simulation.faults.late_orders = 1.0;
        submit(&mut simulation, 1, 1, 1_000, 9_000);
        simulation.run_ms(100);
        simulation.faults.late_orders = 0.0;
        simulation.workers[0].draining = false;
        if down_ms > 0 {
            simulation.workers[1].is_up = false;
            simulation.run_ms(down_ms);
            let expected = u32::from(down_ms > 12_000);
            assert_eq!(simulation.start_count, expected, "after {down_ms} ms");
        }
        simulation.workers[1].restart();
        simulation.run_ms(15_000);
        assert_eq!(simulation.start_count, 1);
    }
}

/// A task that is done runs again: the next incarnation of a worker forgets the end unseen, as its
/// ends are numbered from one again and the leader allows it to forget those of the earlier one.
#[test]
fn next_incarnation_of_a_worker_forgets_no_end_unseen() {
    let mut simulation = Simulation::new(1, 2, None);
    simulation.workers[0].draining = true;
    simulation.run_ms(500);
    submit(&mut simulation, 1, 4, 1_000, 300);
    simulation.run_ms(1_000);
    simulation.workers[1].restart_unlisted(6_000);
    submit(&mut simulation, 2, 1, 1_000, 300);
    simulation.run_ms(8_000);
    assert!(is_completed(&mut simulation, 2));
}

/// Ends are kept and listed for ever: the rounds of a busy leader take longer than an answer of a
/// worker counts as recent.
#[test]
fn busy_leader_lets_workers_forget_ends() {
    let mut simulation = Simulation::new(1, 1, None);
    simulation.run_ms(200);
    submit(&mut simulation, 1, 1, 7_000, 30_000);
    simulation.run_ms(100);
    for id in 2..102 {
        submit(&mut simulation, id, 1, 4_000, 300);
    }
    simulation.submit(simulation::job(
        200,
        "short",
        simulation::step(1, 1_000, 300),
    ));
    simulation.run_ms(100);
    simulation.visit_cost_us = 10_000;
    simulation.run_ms(5_000);
    assert!(simulation.max_round_ms > 200);
    assert_eq!(simulation.forgotten_done.len(), 1);
}

/// Ends are kept for ever: every listing is old when it arrives.
#[test]
fn worker_behind_a_slow_relay_forgets_ends() {
    let mut simulation = Simulation::new(1, 1, None);
    simulation.relay_wait_ms = 250;
    simulation.run_ms(1_000);
    submit(&mut simulation, 1, 4, 1_000, 300);
    simulation.run_ms(5_000);
    assert_eq!(simulation.forgotten_done.len(), 4);
}

/// Tasks that are done run again: a listing without all ends is taken for a complete one.
#[test]
fn runs_missing_in_an_incomplete_listing_are_not_lost() {
    let mut simulation = Simulation::new(1, 1, None);
    simulation.run_ms(200);
    let mut many = simulation::step(600, 1, 2_000);
    many.demand.memory_mb = 1;
    simulation.submit(simulation::job(1, "long", many));
    simulation.run_ms(1_500);
    simulation.store_ms = 2_000;
    simulation.run_ms(15_000);
    assert_eq!(simulation.start_count, 600);
    assert!(is_completed(&mut simulation, 1));
}

/// A run lapses for no reason: while an end waits for the store, a new leader takes the lease of an
/// earlier leader, which may last long, for its own.
#[test]
fn new_leader_renews_leases_while_an_end_waits_for_the_store() {
    let mut simulation = Simulation::new(1, 1, None);
    simulation.leadership_timeout = std::time::Duration::from_secs(9);
    simulation.run_ms(500);
    submit(&mut simulation, 1, 1, 1_000, 1_000);
    submit(&mut simulation, 2, 1, 1_000, 12_000);
    simulation.run_ms(500);
    simulation.elect_leader();
    simulation.store_resets = true;
    simulation.run_ms(9_000);
    simulation.store_resets = false;
    simulation.run_ms(5_000);
    assert_eq!(simulation.start_count, 2, "a run lapsed");
}

/// Two runs of a task at the same time: a renewal meant for an earlier incarnation of a worker
/// extends the lease of the next one.
#[test]
fn late_renewal_for_an_earlier_incarnation_extends_no_run_unseen() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, 2, None);
        simulation.workers[0].draining = true;
        submit(&mut simulation, 1, 1, 1_000, 30_000);
        simulation.run_ms(20_000);
        simulation.faults.late_renewals = 1.0;
        simulation.run_ms(1_800);
        simulation.faults.late_renewals = 0.0;
        simulation.workers[1].restart();
        simulation.run_ms(6_000);
        simulation.workers[1].is_partitioned = true;
        simulation.workers[0].draining = false;
        simulation.run_ms(20_000);
    }
}

/// Two runs of a task at the same time: more start orders of runs that have been given up are under way to a
/// worker that restarts than the leader keeps in mind.
#[test]
fn many_delayed_starts_are_not_executed_by_the_next_incarnation_of_a_worker() {
    for seed in 0..10 {
        let mut simulation = Simulation::new(seed, 2, None);
        simulation.workers[0].draining = true;
        simulation.run_ms(1_000);
        simulation.faults.late_orders = 1.0;
        submit(&mut simulation, 1, 80, 100, 30_000);
        simulation.run_ms(100);
        simulation.faults.late_orders = 0.0;
        simulation.workers[1].drops_starts = true;
        simulation.workers[0].draining = false;
        // Three attempts, the stop order and the next listing take 3.1 s.
        simulation.run_ms(3_200);
        assert_eq!(simulation.start_count, 80);
        simulation.workers[1].restart();
        simulation.run_ms(12_000);
        assert_eq!(simulation.start_count, 80, "a task was started again");
    }
}
