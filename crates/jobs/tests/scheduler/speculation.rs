//! Copies of tasks that take much longer than the others of their step.
//!
//! The simulation checks at each start that a task has at most two runs, on different workers, and only
//! one if its step is not speculative.

use proptest::prelude::*;

use crate::simulation;
use crate::simulation::Simulation;
use crate::simulation::limits;
use crate::stored_losses;
use crate::tenants;

const COMPLETED: Option<model::JobReply> =
    Some(model::JobReply::Status(model::JobStatus::Completed));

fn speculative(step: model::Step) -> model::Step {
    model::Step {
        speculative: true,
        ..step
    }
}

fn run(index: u32, run: model::RunNumber) -> model::RunKey {
    let task = model::TaskKey {
        job_id: 1,
        occurrence: 0,
        step: 0,
        index,
    };
    model::RunKey { task, run }
}

/// Submits job 1 of six tasks of 1 s, of which task 2 takes 20 s in its first run.
fn with_straggler(workers: usize, step: impl Fn(model::Step) -> model::Step) -> Simulation {
    let mut simulation = Simulation::new(1, workers, None);
    simulation.run_ms(200);
    simulation.slow_runs_ms.insert(run(2, 1), 20_000);
    let step = step(simulation::step(6, 2_000, 1_000));
    simulation.submit(simulation::job(1, "short", step));
    simulation
}

fn used_milli(simulation: &Simulation) -> u32 {
    let used = simulation.workers.iter().map(|worker| worker.used());
    used.map(|used| used.processors_milli).sum()
}

/// Guards against a job that waits for a run that is far behind, and against a run that goes on after the
/// other one has succeeded.
#[test]
fn first_run_that_succeeds_counts_and_the_other_is_stopped() {
    let mut simulation = with_straggler(2, speculative);
    simulation.run_ms(5_000);
    assert_eq!(simulation.status(1), COMPLETED);
    assert_eq!(simulation.start_count, 7);
    assert_eq!(simulation.max_runs_of_task, 2);
    simulation.run_ms(1_000);
    assert_eq!(used_milli(&simulation), 0, "the straggler was not stopped");
}

/// Guards against a copy that goes on after the run that it stands in for has succeeded.
#[test]
fn copy_is_stopped_if_the_first_run_succeeds_after_all() {
    let mut simulation = with_straggler(2, speculative);
    simulation.slow_runs_ms.insert(run(2, 1), 4_000);
    simulation.slow_runs_ms.insert(run(2, 2), 30_000);
    simulation.run_ms(5_500);
    assert_eq!(simulation.start_count, 7);
    assert_eq!(simulation.status(1), COMPLETED);
    simulation.run_ms(1_000);
    assert_eq!(used_milli(&simulation), 0, "the copy was not stopped");
}

/// Guards against copies of tasks that must not run twice at a time.
#[test]
fn steps_that_are_not_speculative_get_no_copies() {
    let plain = |step| step;
    let gang = |step| model::Step {
        gang: true,
        ..speculative(step)
    };
    let long_running = |step| model::Step {
        long_running: true,
        estimated_ms: 10_000_000,
        ..speculative(step)
    };
    for step in [plain, gang, long_running] {
        let mut simulation = with_straggler(3, step);
        simulation.run_ms(10_000);
        assert_eq!(simulation.max_runs_of_task, 1);
    }
}

/// Guards against copies beyond the capacity of the workers, or on the worker of the straggler.
#[test]
fn copy_waits_for_capacity_on_another_worker() {
    let mut simulation = with_straggler(2, speculative);
    simulation.run_ms(100);
    let step = simulation::step(3, 2_000, 8_000);
    simulation.submit(simulation::job(2, "long", step));
    simulation.run_ms(200);
    let straggler = simulation.workers.iter().position(|worker| {
        let mut runs = worker.run_keys();
        runs.any(|key| key == run(2, 1))
    });
    let other = 1 - straggler.expect("it runs");
    simulation.change_processors(other, 1_000);
    simulation.run_ms(5_000);
    assert_eq!(simulation.start_count, 9);
    assert_eq!(simulation.max_runs_of_task, 1);
    simulation.change_processors(other, 8_000);
    simulation.run_ms(14_000);
    assert_eq!(simulation.status(1), COMPLETED);
    assert_eq!(simulation.max_runs_of_task, 2);
}

/// Guards against a copy whose failure ends a job that may still succeed, and against failures of copies
/// that do not count.
#[test]
fn failed_copies_count_and_do_not_end_the_job() {
    let mut simulation = with_straggler(3, speculative);
    for number in 2..=9 {
        simulation.failing_runs.insert(run(2, number));
    }
    simulation.slow_runs_ms.insert(run(2, 1), 9_000);
    simulation.run_ms(12_000);
    assert_eq!(simulation.status(1), COMPLETED);
    // Once it has had its copy, the straggler gets no other.
    assert_eq!(simulation.start_count, 7);

    // The first run fails too: the third is the last one allowed.
    let mut simulation = with_straggler(3, speculative);
    for number in 1..=9 {
        simulation.failing_runs.insert(run(2, number));
    }
    simulation.slow_runs_ms.insert(run(2, 1), 9_000);
    simulation.run_ms(15_000);
    let failed = model::JobReply::Status(model::JobStatus::Failed);
    assert_eq!(simulation.status(1), Some(failed));
    assert_eq!(simulation.start_count, 8);
}

/// Guards against a task that starts again although its copy goes on.
#[test]
fn copy_takes_the_place_of_a_run_that_is_lost() {
    let mut simulation = with_straggler(3, speculative);
    simulation.slow_runs_ms.insert(run(2, 2), 12_000);
    simulation.run_ms(3_500);
    assert_eq!(simulation.start_count, 7);
    let mut workers = simulation.workers.iter_mut();
    let straggler = workers.find(|worker| worker.has_run(run(2, 1)));
    straggler.expect("it runs").is_up = false;
    simulation.run_ms(13_000);
    assert_eq!(simulation.status(1), COMPLETED);
    assert_eq!(simulation.start_count, 7);
}

/// Guards against a new leader that starts a third run, reuses a run's number, or lets the other run go
/// on.
#[test]
fn new_leader_knows_both_runs() {
    for lost in [None, Some(1), Some(2)] {
        let mut simulation = with_straggler(3, speculative);
        simulation.slow_runs_ms.insert(run(2, 2), 9_000);
        simulation.run_ms(3_500);
        assert_eq!(simulation.start_count, 7);
        simulation.kill_leader();
        let mut workers = simulation.workers.iter_mut();
        if let Some(number) = lost {
            let worker = workers.find(|worker| worker.has_run(run(2, number)));
            worker.expect("it runs").is_up = false;
        }
        simulation.run_ms(500);
        simulation.elect_leader();
        simulation.run_ms(25_000);
        assert_eq!(simulation.status(1), COMPLETED, "{lost:?}");
        assert_eq!(simulation.start_count, 7, "{lost:?}");
        assert_eq!(used_milli(&simulation), 0, "{lost:?}");
    }
}

/// Guards against records that other builds cannot read: copies follow the records, the lost runs and the
/// tenants, and segments without them are as before.
#[test]
fn builds_without_copies_read_segments_with_them() {
    let mut simulation = with_straggler(3, speculative);
    simulation.slow_runs_ms.insert(run(2, 1), 6_000);
    simulation.run_ms(1_500);
    let tail = |segment: &Vec<u8>| segment[stored_losses::decode(segment).1..].to_vec();
    // Empty lists of lost runs, of tenants and of copies precede the confirmed runs.
    let has_no_copy = |tail: Vec<u8>| tail.is_empty() || tail[..3] == [0, 0, 0];
    assert!(simulation.store.values().map(tail).all(has_no_copy));
    simulation.run_ms(2_000);
    assert_eq!(simulation.start_count, 7);
    let tails = simulation.store.values().map(tail);
    let tails: Vec<_> = tails.filter(|tail| !has_no_copy(tail.clone())).collect();
    assert!(!tails.is_empty(), "no segment has a copy");
    // Empty lists of lost runs and of tenants precede the copies, and only confirmed runs follow them.
    for tail in tails {
        assert!(
            tail[..2] == [0, 0] && tail.len() > 2 && tail[2] > 0,
            "{tail:?}"
        );
        let (_, rest) = tenants::recode::<Vec<tenants::JobCopies>>(&tail[2..]);
        if !rest.is_empty() {
            let (_, rest) = tenants::recode::<Vec<tenants::JobConfirmations>>(rest);
            assert!(rest.is_empty(), "{tail:?}");
        }
    }
    simulation.kill_leader();
    for segment in simulation.store.values_mut() {
        let (_, length) = stored_losses::decode(segment);
        segment.truncate(length);
    }
    simulation.elect_leader();
    simulation.run_ms(10_000);
    assert_eq!(simulation.status(1), COMPLETED);
}

/// Guards against a job that is cancelled while a copy of one of its tasks goes on.
#[test]
fn cancelled_job_stops_both_runs() {
    let mut simulation = with_straggler(2, speculative);
    simulation.slow_runs_ms.insert(run(2, 2), 30_000);
    simulation.run_ms(3_500);
    assert_eq!(simulation.start_count, 7);
    simulation.cancel(1);
    simulation.run_ms(1_000);
    assert_eq!(used_milli(&simulation), 0);
    let cancelled = model::JobReply::Status(model::JobStatus::Cancelled);
    assert_eq!(simulation.status(1), Some(cancelled));
}

/// Runs on for `duration_ms`; returns the most processors that a tenant occupied meanwhile, on the workers
/// or by the leader's count, in thousandths of a core.
fn most_used(simulation: &mut Simulation, tenant: &str, duration_ms: u64) -> u64 {
    let mut most = 0;
    for _ in 0..duration_ms / 10 {
        simulation.run_ms(10);
        let counted = simulation.tenant_report(tenant).used.processors_milli;
        let running = simulation.processors_of(tenant);
        most = most.max(counted).max(running);
    }
    most
}

/// Guards against a copy beyond the cap of its tenant, or one that the use of the tenant does not include;
/// there is room on the workers all the time.
#[test]
fn copy_waits_for_the_cap_of_its_tenant() {
    let mut simulation = Simulation::new(1, 6, None);
    simulation.use_limits([limits::capped("one", 100.0, 14_000)]);
    simulation.run_ms(200);
    simulation.slow_runs_ms.insert(run(2, 1), 20_000);
    let step = speculative(simulation::step(6, 2_000, 1_000));
    simulation.submit_as("one", simulation::job(1, "short", step));
    // Six of these fill the cap beside the straggler.
    let other = simulation::step(6, 2_000, 4_000);
    simulation.submit_as("one", simulation::job(2, "short", other));
    assert_eq!(most_used(&mut simulation, "one", 3_800), 14_000);
    assert_eq!(simulation.max_runs_of_task, 1, "beyond the cap");
    assert_eq!(simulation.start_count, 12);
    // The first of the other tasks ends, and the copy gets its room; five have begun later.
    let copied_ms = simulation.now_ms + 1_500;
    while simulation.max_runs_of_task == 1 {
        assert!(simulation.now_ms < copied_ms, "no copy");
        assert!(most_used(&mut simulation, "one", 10) <= 14_000);
    }
    let used = simulation.tenant_report("one").used.processors_milli;
    assert_eq!(used, simulation.processors_of("one"));
    assert!(most_used(&mut simulation, "one", 3_000) <= 14_000);
    assert_eq!(simulation.status(1), COMPLETED);
    assert!(simulation.tenant_report("one").used.is_zero());
}

/// Guards against a new leader that does not count the copy for its tenant: it fills the cap beside the
/// straggler, so that other work of the tenant waits.
#[test]
fn new_leader_counts_both_runs_towards_the_cap() {
    let mut simulation = Simulation::new(1, 4, None);
    simulation.use_limits([limits::capped("one", 100.0, 12_000)]);
    simulation.run_ms(200);
    simulation.slow_runs_ms.insert(run(2, 1), 20_000);
    simulation.slow_runs_ms.insert(run(2, 2), 12_000);
    let step = speculative(simulation::step(6, 2_000, 1_000));
    simulation.submit_as("one", simulation::job(1, "short", step));
    simulation.run_ms(3_500);
    assert_eq!(simulation.start_count, 7);
    simulation.use_limits([limits::capped("one", 100.0, 4_000)]);
    simulation.run_ms(500);
    simulation.kill_leader();
    simulation.elect_leader();
    let used = simulation.tenant_report("one").used;
    assert_eq!(used.processors_milli, 4_000);
    let other = simulation::step(1, 2_000, 100);
    simulation.submit_as("one", simulation::job(2, "short", other));
    simulation.run_ms(6_000);
    assert_eq!(simulation.start_count, 7, "beyond the cap");
    simulation.run_ms(8_000);
    assert_eq!(simulation.status(1), COMPLETED);
    assert_eq!(simulation.status(2), COMPLETED);
}

/// Guards against a gang that waits for the cap of its tenant and keeps the tasks of others from being
/// copied.
#[test]
fn gang_that_waits_for_its_cap_does_not_hold_up_copies() {
    let mut simulation = Simulation::new(1, 6, None);
    simulation.use_limits([
        limits::tenant("one", 100.0),
        limits::capped("two", 100.0, 16_000),
    ]);
    simulation.run_ms(200);
    let busy = simulation::step(1, 2_000, 60_000);
    simulation.submit_as("two", simulation::job(2, "short", busy));
    let gang = model::Step {
        gang: true,
        ..simulation::step(8, 2_000, 1_000)
    };
    simulation.submit_as("two", simulation::job(3, "short", gang));
    simulation.slow_runs_ms.insert(run(2, 1), 20_000);
    let step = speculative(simulation::step(6, 2_000, 1_000));
    simulation.submit_as("one", simulation::job(1, "short", step));
    simulation.run_ms(5_000);
    assert!(!simulation.started_at_ms.contains_key(&3), "beyond the cap");
    assert_eq!(simulation.max_runs_of_task, 2, "no copy");
    assert_eq!(simulation.status(1), COMPLETED);
}

/// Trouble while jobs with stragglers are submitted.
#[derive(Clone, Copy, Debug)]
enum Operation {
    Submit,
    Cancel,
    KillWorker,
    RepairWorkers,
    DrainWorker,
    ReplaceLeader,
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        8 => Just(Operation::Submit),
        1 => Just(Operation::Cancel),
        1 => Just(Operation::KillWorker),
        2 => Just(Operation::RepairWorkers),
        1 => Just(Operation::DrainWorker),
        1 => Just(Operation::ReplaceLeader),
    ]
}

fn apply_operation(simulation: &mut Simulation, operation: Operation, next_id: &mut model::JobId) {
    let number = simulation.random(simulation.workers.len() as u64) as usize;
    match operation {
        Operation::Submit => {
            *next_id += 1;
            let count = 2 + simulation.random(5) as u32;
            let run_ms = 200 + simulation.random(1_500) as u32;
            let plain = simulation::step(count, 500 + 500 * simulation.random(4) as u32, run_ms);
            let step = model::Step {
                speculative: simulation.random(4) > 0,
                checkpointing: simulation.random(3) == 0,
                ..plain
            };
            for index in 0..count {
                for number in 1..4 {
                    let mut key = run(index, number);
                    key.task.job_id = *next_id;
                    match simulation.random(8) {
                        0 | 1 => {
                            let slow_ms = u64::from(run_ms) * 8;
                            simulation.slow_runs_ms.insert(key, slow_ms);
                        }
                        2 if number == 2 => {
                            simulation.failing_runs.insert(key);
                        }
                        _ => {}
                    }
                }
            }
            simulation.submit(simulation::job(*next_id, "short", step));
        }
        Operation::Cancel if *next_id > 0 => {
            let job_id = 1 + simulation.random(*next_id);
            simulation.cancel(job_id);
        }
        Operation::Cancel => {}
        Operation::KillWorker => simulation.workers[number].is_up = false,
        Operation::RepairWorkers => {
            for worker in &mut simulation.workers {
                if !worker.is_up {
                    worker.restart();
                }
                worker.draining = false;
            }
        }
        Operation::DrainWorker => simulation.workers[number].draining = true,
        Operation::ReplaceLeader => {
            simulation.kill_leader();
            let pause_ms = simulation.random(2_000);
            simulation.run_ms(pause_ms);
            simulation.elect_leader();
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_208),
        ..ProptestConfig::default()
    })]

    /// Guards against a third run, a start beyond a worker's capacity or after too many failures, and
    /// jobs that never end.
    #[test]
    fn copies_keep_the_invariants(
        seed in any::<u64>(),
        has_faults in any::<bool>(),
        operations in prop::collection::vec((operation(), 0_u64..1_500), 5..40),
    ) {
        let mut simulation = Simulation::new(seed, 5, None);
        if has_faults {
            simulation.faults = simulation::Faults {
                lost_answers: 0.05,
                late_orders: 0.03,
                lost_renewals: 0.02,
                late_renewals: 0.0,
                late_confirmations: 0.1,
            };
        }
        simulation.run_ms(500);
        let mut last_id = 0;
        for (operation, pause_ms) in operations {
            apply_operation(&mut simulation, operation, &mut last_id);
            simulation.run_ms(pause_ms);
        }
        simulation.faults = simulation::Faults::default();
        apply_operation(&mut simulation, Operation::RepairWorkers, &mut last_id);
        simulation.run_ms(60_000);
        for job_id in 1..=last_id {
            if let Some(model::JobReply::Status(status)) = simulation.status(job_id) {
                prop_assert!(status.is_final(), "job {} is {:?}", job_id, status);
                prop_assert_ne!(status, model::JobStatus::Failed, "job {}", job_id);
            }
        }
        prop_assert_eq!(used_milli(&simulation), 0);
    }
    /// Guards against a copy by which a tenant exceeds its cap, also while workers fail and leaders are
    /// replaced, and against work that never ends under a cap.
    #[test]
    fn copies_keep_the_caps(
        seed in any::<u64>(),
        operations in prop::collection::vec((operation(), 0_u64..1_500), 5..40),
    ) {
        const CAP_MILLI: u64 = 5_000;
        let mut simulation = Simulation::new(seed, 5, None);
        simulation.use_limits([limits::capped("one", 1_000.0, CAP_MILLI)]);
        simulation.run_ms(500);
        let mut last_id = 0;
        for (operation, pause_ms) in operations {
            simulation.tenants_of_jobs.insert(last_id + 1, "one".into());
            apply_operation(&mut simulation, operation, &mut last_id);
            let most = most_used(&mut simulation, "one", pause_ms);
            prop_assert!(most <= CAP_MILLI, "{most} after {operation:?}");
        }
        apply_operation(&mut simulation, Operation::RepairWorkers, &mut last_id);
        let most = most_used(&mut simulation, "one", 90_000);
        prop_assert!(most <= CAP_MILLI, "{most}");
        for job_id in 1..=last_id {
            if let Some(model::JobReply::Status(status)) = simulation.status(job_id) {
                prop_assert!(status.is_final(), "job {} is {:?}", job_id, status);
            }
        }
        prop_assert!(simulation.tenant_report("one").used.is_zero());
    }
}
