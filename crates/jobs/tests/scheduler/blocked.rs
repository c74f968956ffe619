//! Reports of steps that are not started for long: each names the reason.

use crate::simulation;
use crate::simulation::Simulation;

fn gang(members: u32, processors_milli: u32) -> model::Step {
    model::Step {
        gang: true,
        ..simulation::step(members, processors_milli, 60_000)
    }
}

fn reasons(simulation: &mut Simulation) -> Vec<jobs::BlockReason> {
    let reports = simulation.take_block_reports();
    reports.into_iter().map(|(reason, _)| reason).collect()
}

/// The workers are full, and a step waits for longer than reports are held back.
#[test]
fn step_without_capacity_is_reported() {
    let mut simulation = Simulation::new(1, 2, None);
    simulation.run_ms(200);
    simulation.submit(simulation::job(1, "long", gang(2, 7_000)));
    simulation.run_ms(200);
    simulation.submit(simulation::job(2, "long", gang(2, 7_000)));
    simulation.run_ms(2_500);
    assert!(reasons(&mut simulation).is_empty(), "reported too early");
    simulation.run_ms(5_000);
    let reports = simulation.take_block_reports();
    assert_eq!(reports.len(), 1, "{reports:?}");
    let (reason, count) = reports[0];
    assert_eq!(reason, jobs::BlockReason::NoCapacity);
    assert!(count <= 3, "{count} reports of one step in five seconds");
}

/// One member of a gang is on a worker that is cut off: the others are stopped, and the gang waits
/// until the lease of that worker has expired.
#[test]
fn gang_whose_earlier_run_has_not_ended_is_reported() {
    let mut simulation = Simulation::new(1, 4, None);
    simulation.run_ms(200);
    simulation.submit(simulation::job(1, "long", gang(4, 7_000)));
    simulation.run_ms(200);
    simulation.workers[0].is_partitioned = true;
    simulation.workers[1].restart();
    simulation.run_ms(5_000);
    let reasons = reasons(&mut simulation);
    assert_eq!(reasons, [jobs::BlockReason::EarlierRunNotEnded]);
}

/// The recommendation service allows too few workers for the gang to fit.
#[test]
fn gang_that_does_not_fit_on_allowed_workers_is_reported() {
    let mut simulation = Simulation::new(1, 10, Some(0.5));
    simulation.run_ms(200);
    simulation.submit(simulation::job(1, "long", gang(6, 7_000)));
    simulation.run_ms(6_000);
    let reasons = reasons(&mut simulation);
    assert_eq!(reasons, [jobs::BlockReason::NoCapacity]);
}

fn names(simulation: &mut Simulation) -> Vec<&'static str> {
    let reasons = reasons(simulation);
    reasons.into_iter().map(jobs::BlockReason::as_str).collect()
}

/// Cuts off the workers that run `job_id`, for ever, and returns how many these are.
fn cut_workers_of(simulation: &mut Simulation, job_id: model::JobId) -> usize {
    let mut cut = 0;
    for worker in &mut simulation.workers {
        let runs = !worker.is_partitioned && worker.run_keys().any(|run| run.task.job_id == job_id);
        worker.is_partitioned |= runs;
        cut += usize::from(runs);
    }
    cut
}

/// Guards against a task that is held back for the fate of lost workers without any report: a gang of
/// three that loses all of its workers in three runs, and a task that does so in five.
#[test]
fn task_that_awaits_a_verdict_is_reported() {
    for (step, lost_runs) in [(gang(3, 7_000), 3), (simulation::step(1, 7_000, 60_000), 5)] {
        let mut simulation = Simulation::new(1, 16, None);
        simulation.run_ms(200);
        let members = step.task_count as usize;
        simulation.submit(simulation::job(1, "long", step));
        for run in 1..=lost_runs {
            simulation.run_ms(1_000);
            assert_eq!(cut_workers_of(&mut simulation, 1), members, "run {run}");
            simulation.run_ms(6_000);
        }
        let starts = simulation.start_count;
        simulation.run_ms(2_000);
        names(&mut simulation);
        simulation.run_ms(6_000);
        assert_eq!(simulation.start_count, starts, "{members} members");
        assert_eq!(names(&mut simulation), ["awaits_verdict"], "{members}");
        simulation.run_ms(14_000);
        assert!(simulation.start_count > starts, "{members} members");
        names(&mut simulation);
        simulation.run_ms(6_000);
        assert!(names(&mut simulation).is_empty(), "{members} members");
    }
}

/// Guards against runs on silent workers that no value counts, or under another reason than the one that
/// decides how long their tasks are not started elsewhere.
#[test]
fn runs_on_silent_workers_are_counted_by_what_keeps_them() {
    let mut simulation = Simulation::new(1, 4, None);
    simulation.run_ms(200);
    simulation.submit(simulation::job(
        1,
        "long",
        simulation::step(4, 7_000, 60_000),
    ));
    simulation.run_ms(1_000);
    let none = jobs::KeptRuns::default();
    assert_eq!(simulation.summary().kept_runs, none, "all workers answer");
    simulation.workers[0].is_partitioned = true;
    simulation.run_ms(3_000);
    let by_lease = jobs::KeptRuns { lease: 1, ..none };
    assert_eq!(simulation.summary().kept_runs, by_lease);
    simulation.kill_leader();
    simulation.elect_leader();
    simulation.run_ms(3_000);
    let by_earlier_leader = jobs::KeptRuns {
        earlier_leader: 1,
        ..none
    };
    assert_eq!(simulation.summary().kept_runs, by_earlier_leader);
    simulation.run_ms(20_000);
    assert_eq!(simulation.summary().kept_runs, none, "it is given up");
}

/// Guards against a run that is kept for the longest lease and counted as kept for its own: its worker is
/// cut off before it answers the start order.
#[test]
fn unproven_run_on_silent_worker_is_counted_as_such() {
    let mut simulation = Simulation::new(1, 1, None);
    simulation.run_ms(200);
    simulation.workers[0].drops_starts = true;
    simulation.submit(simulation::job(
        1,
        "long",
        simulation::step(1, 7_000, 60_000),
    ));
    simulation.run_ms(100);
    simulation.workers[0].is_partitioned = true;
    simulation.run_ms(4_000);
    let expected = jobs::KeptRuns {
        unproven: 1,
        ..jobs::KeptRuns::default()
    };
    assert_eq!(simulation.summary().kept_runs, expected);
}

/// Guards against a wait for the fate of lost workers that begins anew with each leader.
#[test]
fn wait_for_a_verdict_does_not_begin_anew_with_a_new_leader() {
    let mut simulation = Simulation::new(1, 16, None);
    simulation.run_ms(200);
    simulation.submit(simulation::job(
        1,
        "long",
        simulation::step(1, 7_000, 60_000),
    ));
    for run in 1..=5 {
        simulation.run_ms(1_000);
        assert_eq!(cut_workers_of(&mut simulation, 1), 1, "run {run}");
        simulation.run_ms(6_000);
    }
    let starts = simulation.start_count;
    simulation.run_ms(10_000);
    assert_eq!(simulation.start_count, starts, "the task does not wait");
    assert_eq!(names(&mut simulation), ["awaits_verdict"]);
    simulation.kill_leader();
    simulation.elect_leader();
    simulation.end_earlier_authority();
    // 20 s in all, of which 10 s have passed, and the time until the loss was known.
    simulation.run_ms(13_000);
    assert!(simulation.start_count > starts, "the task still waits");
}
