//! Workers that leave after a notice: what cannot end there is stopped in time and resumes elsewhere.
//!
//! Each trial is made with reports that contain the time until the departure, and with reports that do
//! not, by which the leader stops nothing. The simulation checks that no task runs twice.

use jobs::DrainOutcome;
use proptest::prelude::*;

use crate::simulation;
use crate::simulation::Simulation;
use crate::simulation::limits;

/// Longest time that a stop takes, in milliseconds.
const STOP_MS: u64 = 900;
/// Time in which a run restores its checkpoint, in milliseconds.
const RESTORE_MS: u64 = 500;
/// Time between two reads of the directory, in milliseconds.
const DIRECTORY_INTERVAL_MS: u64 = 700;

const COMPLETED: Option<model::JobReply> =
    Some(model::JobReply::Status(model::JobStatus::Completed));

fn cluster(seed: u64, workers: usize) -> Simulation {
    cluster_with_advice(seed, workers, None)
}

fn cluster_with_advice(seed: u64, workers: usize, allowed_share: Option<f64>) -> Simulation {
    let mut simulation = Simulation::new(seed, workers, allowed_share);
    simulation.breaks_gangs = true;
    simulation.directory_interval_ms = DIRECTORY_INTERVAL_MS;
    simulation.first_directory_read_ms = DIRECTORY_INTERVAL_MS;
    for worker in &mut simulation.workers {
        worker.stop_ms = STOP_MS;
        worker.restore_ms = RESTORE_MS;
    }
    simulation.run_ms(800);
    simulation
}

fn checkpointing(step: model::Step) -> model::Step {
    model::Step {
        checkpointing: true,
        ..step
    }
}

fn gang(step: model::Step) -> model::Step {
    model::Step { gang: true, ..step }
}

/// Runs on until all jobs up to `last_id` are done; returns when that was, in milliseconds.
fn run_until_done(simulation: &mut Simulation, last_id: model::JobId, limit_ms: u64) -> u64 {
    for job_id in 1..=last_id {
        while simulation.status(job_id) != COMPLETED {
            assert!(simulation.now_ms < limit_ms, "job {job_id} is not done");
            simulation.run_ms(100);
        }
    }
    let ended = (1..=last_id).map(|job_id| simulation.ended_at_ms[&job_id]);
    ended.max().unwrap_or_default()
}

/// What a trial costs.
#[derive(Debug)]
struct Cost {
    lost_core_seconds: u64,
    /// Mean time from the end of a run to the next one of its task, in milliseconds.
    resume_ms: u64,
    done_at_ms: u64,
}

/// A seventh of the workers leave 2 s after their notice while gangs and single tasks, all with
/// checkpoints, and plain tasks use every processor.
fn leave_under_full_load(seed: u64, allowed_share: Option<f64>, is_timed: bool) -> Cost {
    let mut simulation = cluster_with_advice(seed, 28, allowed_share);
    for job_id in 1..=6 {
        let member = simulation::step(6, 4_000, 30_000);
        simulation.submit(simulation::job(job_id, "long", gang(checkpointing(member))));
    }
    for job_id in 7..=12 {
        let step = checkpointing(simulation::step(2, 4_000, 20_000));
        simulation.submit(simulation::job(job_id, "short", step));
    }
    simulation.run_ms(1_000);
    for job_id in 13..=112 {
        simulation.submit(simulation::job(
            job_id,
            "long",
            simulation::step(4, 3_500, 1_500),
        ));
    }
    simulation.run_ms(7_000);
    for worker in [3, 9, 17, 26] {
        simulation.give_notice(worker, 2_000, is_timed);
        simulation.run_ms(300);
    }
    let done_at_ms = run_until_done(&mut simulation, 12, 240_000);
    Cost {
        lost_core_seconds: simulation.lost_core_seconds(),
        resume_ms: simulation.mean_resume_ms(),
        done_at_ms,
    }
}

/// Guards against work of gangs and single tasks that is lost with workers that give short notice, and
/// against tasks that wait long for capacity after they were stopped.
#[test]
fn work_is_saved_when_workers_leave_under_full_load() {
    for allowed_share in [None, Some(1.0)] {
        for seed in 1..=2 {
            let before = leave_under_full_load(seed, allowed_share, false);
            let cost = leave_under_full_load(seed, allowed_share, true);
            println!("seed {seed}: without the time {before:?}, with it {cost:?}");
            assert!(before.lost_core_seconds >= 10, "{before:?}");
            assert!(cost.lost_core_seconds <= 1, "{cost:?}");
            assert!(cost.resume_ms <= 2_000, "{cost:?}");
            assert!(cost.resume_ms < before.resume_ms, "{before:?} {cost:?}");
            // A stop and a restart at most.
            assert!(cost.done_at_ms <= before.done_at_ms + STOP_MS + RESTORE_MS);
        }
    }
}

/// Guards against runs that are stopped although they end in time.
#[test]
fn short_tasks_end_on_a_worker_that_stays_for_seconds() {
    for is_checkpointing in [false, true] {
        let mut simulation = cluster(1, 2);
        let step = model::Step {
            checkpointing: is_checkpointing,
            ..simulation::step(8, 2_000, 900)
        };
        simulation.submit(simulation::job(1, "short", step));
        simulation.run_ms(200);
        assert_eq!(simulation.start_count, 8);
        simulation.give_notice(0, 4_000, true);
        run_until_done(&mut simulation, 1, 10_000);
        assert_eq!(simulation.start_count, 8, "a run was stopped");
        let outcomes = simulation.take_drain_outcomes();
        assert_eq!(outcomes.get(&DrainOutcome::Stopped), None);
    }
}

/// Guards against a run that is taken for one that ends in time by its caller's estimate.
#[test]
fn run_that_is_slower_than_estimated_is_stopped() {
    let mut simulation = cluster(1, 2);
    simulation.run_times_ms.insert((1, 0), 20_000);
    let step = checkpointing(simulation::step(4, 4_000, 3_000));
    simulation.submit(simulation::job(1, "short", step));
    simulation.run_ms(3_000);
    simulation.give_notice(0, 6_000, true);
    simulation.run_ms(6_000);
    let outcomes = simulation.take_drain_outcomes();
    assert_eq!(outcomes.get(&DrainOutcome::Saved), Some(&2));
    run_until_done(&mut simulation, 1, 60_000);
    assert_eq!(simulation.lost_core_seconds(), 0);
}

/// Guards against runs that are stopped after their worker has taken its notice back, or long before
/// it leaves.
#[test]
fn notice_taken_back_stops_nothing() {
    let mut simulation = cluster(1, 2);
    let step = checkpointing(simulation::step(4, 4_000, 20_000));
    simulation.submit(simulation::job(1, "long", step));
    simulation.run_ms(1_000);
    simulation.give_notice(0, 8_000, true);
    simulation.run_ms(4_000);
    simulation.withdraw_notice(0);
    run_until_done(&mut simulation, 1, 30_000);
    assert_eq!(simulation.start_count, 4, "a run was stopped");
    assert_eq!(simulation.lost_core_seconds(), 0);
}

/// Guards against work that starts under the cap of a tenant in the room of a run that is still being
/// stopped on a worker that leaves.
#[test]
fn stopped_run_counts_towards_the_cap_until_its_end() {
    let mut simulation = cluster(1, 4);
    simulation.use_limits([limits::capped("one", 100.0, 8_000)]);
    let step = checkpointing(simulation::step(2, 4_000, 8_000));
    simulation.submit_as("one", simulation::job(1, "long", step));
    simulation.run_ms(200);
    let other = simulation::step(2, 4_000, 1_000);
    simulation.submit_as("one", simulation::job(2, "short", other));
    simulation.run_ms(2_000);
    assert_eq!(simulation.start_count, 2);
    let mut workers = simulation.workers.iter();
    let leaving = workers.position(|worker| worker.run_keys().next().is_some());
    simulation.give_notice(leaving.expect("a task runs"), 2_000, true);
    let mut stopping_ms = 0;
    while simulation.start_count == 2 {
        assert!(simulation.now_ms < 10_000, "nothing starts again");
        let runs_ms = simulation.now_ms;
        simulation.run_ms(10);
        let used = simulation.tenant_report("one").used.processors_milli;
        let running = simulation.processors_of("one");
        assert!(running <= used && used <= 8_000, "{running} of {used}");
        let outcomes = simulation.take_drain_outcomes();
        if stopping_ms > 0 || outcomes.contains_key(&DrainOutcome::Stopped) {
            stopping_ms += simulation.now_ms - runs_ms;
        }
    }
    assert!(stopping_ms >= STOP_MS, "started after {stopping_ms} ms");
    while simulation.status(1) != COMPLETED || simulation.status(2) != COMPLETED {
        assert!(simulation.now_ms < 30_000, "not done");
        simulation.run_ms(10);
        assert!(simulation.processors_of("one") <= 8_000);
    }
    assert_eq!(simulation.lost_core_seconds(), 0);
}

/// Returns a simulation in which a gang of tenant `one`, which uses its whole cap, is being stopped as a
/// worker leaves.
fn with_stopping_gang() -> Simulation {
    let mut simulation = cluster(1, 6);
    simulation.use_limits([
        limits::capped("one", 100.0, 16_000),
        limits::tenant("two", 100.0),
    ]);
    let member = simulation::step(4, 4_000, 15_000);
    simulation.submit_as(
        "one",
        simulation::job(1, "long", gang(checkpointing(member))),
    );
    simulation.run_ms(2_000);
    assert_eq!(simulation.start_count, 4);
    let mut workers = simulation.workers.iter();
    let leaving = workers.position(|worker| worker.run_keys().next().is_some());
    simulation.give_notice(leaving.expect("the gang runs"), 2_000, true);
    simulation.run_ms(800);
    let outcomes = simulation.take_drain_outcomes();
    assert_eq!(outcomes.get(&DrainOutcome::Stopped), Some(&4));
    assert_eq!(simulation.processors_of("one"), 16_000);
    simulation
}

/// Guards against a stopped gang that does not resume as its earlier run uses up the cap of its tenant, or
/// that resumes before that run has ended.
#[test]
fn stopped_gang_resumes_within_its_cap() {
    let mut simulation = with_stopping_gang();
    while simulation.status(1) != COMPLETED {
        assert!(simulation.now_ms < 25_000, "not done");
        simulation.run_ms(10);
        assert!(simulation.processors_of("one") <= 16_000);
    }
    assert_eq!(simulation.start_count, 8);
    assert!(simulation.mean_resume_ms() <= 2_000);
    assert_eq!(simulation.lost_core_seconds(), 0);
}

/// Guards against capacity that stays reserved for a stopped gang that must wait for its cap, which has
/// been lowered.
#[test]
fn stopped_gang_that_must_wait_for_its_cap_reserves_nothing() {
    let mut simulation = with_stopping_gang();
    simulation.use_limits([
        limits::capped("one", 100.0, 8_000),
        limits::tenant("two", 100.0),
    ]);
    while simulation.processors_of("one") > 0 {
        assert!(simulation.now_ms < 6_000, "the gang was not stopped");
        simulation.run_ms(10);
    }
    let everything = simulation::step(5, 8_000, 1_000);
    simulation.submit_as("two", simulation::job(2, "long", everything));
    simulation.run_ms(700);
    assert_eq!(simulation.processors_of("two"), 40_000, "still reserved");
    simulation.use_limits([
        limits::capped("one", 100.0, 16_000),
        limits::tenant("two", 100.0),
    ]);
    run_until_done(&mut simulation, 2, 30_000);
    assert_eq!(simulation.start_count, 4 + 5 + 4);
}

/// Guards against a stopped gang that loses the room reserved for it when runs of lower priority are stopped
/// for the rest, or that waits for their ends: they fill all other workers for a minute.
#[test]
fn stopped_gang_resumes_on_workers_full_of_batch_tasks() {
    for allowed_share in [None, Some(1.0)] {
        let mut simulation = cluster_with_advice(1, 6, allowed_share);
        let member = checkpointing(simulation::step(3, 8_000, 10_000));
        simulation.submit(simulation::job(1, "short", gang(member)));
        simulation.run_ms(1_000);
        assert_eq!(simulation.start_count, 3);
        let batch = checkpointing(simulation::step(40, 2_000, 60_000));
        simulation.submit(simulation::job(2, "long", batch));
        simulation.run_ms(2_000);
        assert_eq!(simulation.start_count, 3 + 12);
        let mut workers = simulation.workers.iter();
        let leaving = workers.position(|worker| worker.run_keys().any(|run| run.task.job_id == 1));
        simulation.give_notice(leaving.expect("the gang runs"), 2_000, true);
        let noticed_at_ms = simulation.now_ms;
        let done_at_ms = run_until_done(&mut simulation, 1, 40_000);
        // The notice is read and the gang is stopped within 1.7 s; room is free 2.2 s after its
        // preemption, which is due after a tenth of its objective of 20.4 s.
        let took_ms = done_at_ms - noticed_at_ms;
        assert!(took_ms < 15_000, "{allowed_share:?}: {took_ms} ms");
        assert!(simulation.summary().stopped_for_priority > 0);
    }
}

/// Guards against a departure that a new leader does not learn of.
#[test]
fn new_leader_stops_runs_by_the_notice_given_to_the_last_one() {
    let mut simulation = cluster(1, 3);
    let member = simulation::step(4, 4_000, 20_000);
    simulation.submit(simulation::job(1, "long", gang(checkpointing(member))));
    simulation.run_ms(3_000);
    simulation.give_notice(0, 7_000, true);
    simulation.run_ms(1_500);
    assert_eq!(simulation.start_count, 4, "the run was stopped early");
    simulation.kill_leader();
    simulation.run_ms(1_500);
    simulation.elect_leader();
    run_until_done(&mut simulation, 1, 40_000);
    assert_eq!(simulation.start_count, 8);
    assert_eq!(simulation.lost_core_seconds(), 0);
}

/// Guards against a lost stop order that is repeated too late. The notice follows a read of the directory,
/// so that its age is known best and the order is sent as late as ever.
#[test]
fn stop_order_that_is_lost_is_repeated_in_time() {
    let mut simulation = cluster(1, 2);
    let step = checkpointing(simulation::step(4, 4_000, 20_000));
    simulation.submit(simulation::job(1, "long", step));
    simulation.run_ms(1_310);
    simulation.give_notice(0, 6_000, true);
    simulation.faults.late_orders = 1.0;
    while simulation.late_stop_count() < 2 {
        simulation.run_ms(10);
        assert!(simulation.now_ms < 8_000, "no stop order was sent");
    }
    simulation.faults.late_orders = 0.0;
    simulation.run_ms(3_000);
    let outcomes = simulation.take_drain_outcomes();
    assert_eq!(outcomes.get(&DrainOutcome::Saved), Some(&2));
    run_until_done(&mut simulation, 1, 40_000);
}

/// Guards against a checkpoint that is replaced by older ones, of members that break as soon as the first
/// one has stopped.
#[test]
fn gang_resumes_from_the_checkpoint_of_the_member_that_stopped_first() {
    let lost = (0..10).map(|number| {
        let mut simulation = cluster(1, 6);
        let member = simulation::step(4, 4_000, 20_000);
        simulation.submit(simulation::job(1, "long", gang(checkpointing(member))));
        simulation.run_ms(4_000 + 50 * number);
        simulation.workers[0].stop_ms = 100;
        simulation.give_notice(0, 2_000, true);
        run_until_done(&mut simulation, 1, 40_000);
        simulation.lost_core_seconds()
    });
    assert_eq!(lost.collect::<Vec<_>>(), [0; 10]);
}

/// Stop orders are carried out up to 12 s late. Guards against a task that runs twice, which the
/// simulation checks, and against more lost work than without the orders.
#[test]
fn stop_orders_that_are_carried_out_late_cost_no_more_than_none() {
    let trial = |seed, is_timed| {
        let mut simulation = cluster(seed, 6);
        let member = simulation::step(4, 4_000, 20_000);
        simulation.submit(simulation::job(1, "long", gang(checkpointing(member))));
        let step = checkpointing(simulation::step(4, 4_000, 20_000));
        simulation.submit(simulation::job(2, "long", step));
        simulation.run_ms(5_000);
        simulation.faults.late_orders = 0.6;
        simulation.give_notice(0, 3_000, is_timed);
        simulation.run_ms(3_000);
        simulation.faults.late_orders = 0.0;
        run_until_done(&mut simulation, 2, 120_000);
        simulation.lost_core_seconds()
    };
    let sum = |is_timed| (1..=8).map(|seed| trial(seed, is_timed)).sum::<u64>();
    let (before, after) = (sum(false), sum(true));
    println!("core-seconds lost in 8 trials: without the time {before}, with it {after}");
    assert!(after <= before);
}

/// Guards against costs of a notice that is not kept, in lost work or in the time until the loss is
/// noticed; the latter depends on when the lease was last renewed.
#[test]
fn worker_that_leaves_earlier_than_it_said_costs_no_more_than_before() {
    let trial = |notice_ms, is_timed| {
        let mut simulation = cluster(1, 4);
        let member = simulation::step(4, 4_000, 20_000);
        simulation.submit(simulation::job(1, "long", gang(checkpointing(member))));
        simulation.run_ms(4_000);
        simulation.give_notice(0, notice_ms, is_timed);
        simulation.workers[0].claim_remaining(20_000, is_timed);
        let done_at_ms = run_until_done(&mut simulation, 1, 60_000);
        (simulation.lost_core_seconds(), done_at_ms)
    };
    let sums = |is_timed| {
        let trials = (0..20).map(|number| trial(800 + 130 * number, is_timed));
        trials.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    };
    let (before, after) = (sums(false), sums(true));
    println!(
        "lost core-seconds and ends in 20 trials: without the time {before:?}, with it {after:?}"
    );
    assert!(after.0 <= before.0, "{before:?} {after:?}");
    assert!(after.1 <= before.1, "{before:?} {after:?}");
}

/// Guards against a service that misses a task until the lease of a worker that has left expires.
#[test]
fn long_running_tasks_move_as_soon_as_notice_is_given() {
    let mut simulation = cluster(1, 3);
    let service = model::Step {
        long_running: true,
        max_per_worker: Some(1),
        ..simulation::step(2, 4_000, 10_000_000)
    };
    let key = model::StepKey {
        job_id: 1,
        occurrence: 0,
        step: 0,
    };
    simulation.submit(simulation::job(1, "long", service));
    simulation.run_ms(2_000);
    let from = simulation
        .workers
        .iter()
        .position(|one| one.run_count(key) > 0);
    let from = from.expect("the service runs");
    simulation.give_notice(from, 20_000, true);
    simulation.run_ms(DIRECTORY_INTERVAL_MS + STOP_MS + 500);
    let staying = simulation.workers.iter().enumerate();
    let staying = staying.filter(|(index, _)| *index != from);
    let count: u32 = staying.map(|(_, worker)| worker.run_count(key)).sum();
    assert_eq!(count, 2, "not at work again");
}

/// Guards against a plain run that cannot end in time and whose task starts again only once the lease
/// of its worker has expired.
#[test]
fn plain_run_that_cannot_end_starts_again_as_its_worker_leaves() {
    let trial = |is_timed| {
        let mut simulation = cluster(1, 2);
        let step = simulation::step(2, 4_000, 60_000);
        simulation.submit(simulation::job(1, "long", step));
        simulation.run_ms(2_000);
        let left = usize::from(simulation.workers[0].used().processors_milli == 0);
        simulation.give_notice(left, 5_000, is_timed);
        let done_at_ms = run_until_done(&mut simulation, 1, 120_000);
        (simulation.lost_core_seconds(), done_at_ms)
    };
    let (before, after) = (trial(false), trial(true));
    println!("lost core-seconds and end: without the time {before:?}, with it {after:?}");
    assert!(after.0 <= before.0);
    assert!(after.1 + 4_000 <= before.1, "{before:?} {after:?}");
}

/// Guards against a decision that a worker makes which tells no time, as all did before.
#[test]
fn nothing_is_stopped_on_a_worker_that_tells_no_time() {
    let mut simulation = cluster(1, 2);
    let step = checkpointing(simulation::step(4, 4_000, 8_000));
    simulation.submit(simulation::job(1, "long", step));
    simulation.run_ms(1_000);
    simulation.workers[0].draining = true;
    run_until_done(&mut simulation, 1, 20_000);
    assert_eq!(simulation.start_count, 4);
    assert!(simulation.take_drain_outcomes().is_empty());
}

/// A notice, or other trouble, while jobs are submitted.
#[derive(Clone, Copy, Debug)]
enum Operation {
    Submit,
    SubmitGang,
    SubmitLongRunning,
    GiveNotice,
    WithdrawNotice,
    ReplaceLeader,
    Arrive,
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        6 => Just(Operation::Submit),
        4 => Just(Operation::SubmitGang),
        1 => Just(Operation::SubmitLongRunning),
        4 => Just(Operation::GiveNotice),
        1 => Just(Operation::WithdrawNotice),
        1 => Just(Operation::ReplaceLeader),
        3 => Just(Operation::Arrive),
    ]
}

fn apply_operation(simulation: &mut Simulation, operation: Operation, next_id: &mut model::JobId) {
    let number = simulation.random(simulation.workers.len() as u64) as usize;
    let run_ms = 100 + simulation.random(9_000) as u32;
    let count = 1 + simulation.random(5) as u32;
    let plain = model::Step {
        checkpointing: simulation.random(3) > 0,
        ..simulation::step(count, 1_000 + 500 * simulation.random(6) as u32, run_ms)
    };
    let step = match operation {
        Operation::Submit => plain,
        Operation::SubmitGang => gang(plain),
        Operation::SubmitLongRunning => model::Step {
            long_running: true,
            estimated_ms: 10_000_000,
            ..plain
        },
        Operation::GiveNotice => {
            let worker = &simulation.workers[number];
            if worker.is_up && !worker.draining {
                let remaining_ms = 500 + simulation.random(8_000);
                simulation.give_notice(number, remaining_ms, true);
            }
            return;
        }
        Operation::WithdrawNotice => {
            if simulation.workers[number].is_up {
                simulation.withdraw_notice(number);
            }
            return;
        }
        Operation::ReplaceLeader => {
            simulation.kill_leader();
            let pause_ms = simulation.random(1_500);
            simulation.run_ms(pause_ms);
            return simulation.elect_leader();
        }
        Operation::Arrive => return simulation.add_worker(),
    };
    *next_id += 1;
    let queue = ["short", "long"][simulation.random(2) as usize];
    simulation.submit(simulation::job(*next_id, queue, step));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_207),
        ..ProptestConfig::default()
    })]

    /// Guards against tasks that run twice, never again, or from another gang's checkpoint, while
    /// workers come and leave.
    #[test]
    fn every_job_ends_while_workers_leave(
        seed in any::<u64>(),
        has_faults in any::<bool>(),
        operations in prop::collection::vec((operation(), 0_u64..1_500), 5..50),
    ) {
        let mut simulation = cluster(seed, 6);
        if has_faults {
            simulation.faults = simulation::Faults {
                lost_answers: 0.05,
                late_orders: 0.05,
                lost_renewals: 0.02,
                late_renewals: 0.0,
                late_confirmations: 0.1,
            };
        }
        let mut last_id = 0;
        for (operation, pause_ms) in operations {
            apply_operation(&mut simulation, operation, &mut last_id);
            simulation.run_ms(pause_ms);
        }
        simulation.faults = simulation::Faults::default();
        for _ in 0..6 {
            simulation.add_worker();
        }
        simulation.run_ms(15_000);
        for job_id in 1..=last_id {
            if simulation.accepted[&job_id].steps[0].long_running {
                simulation.cancel(job_id);
            }
        }
        simulation.run_ms(90_000);
        for job_id in 1..=last_id {
            if let Some(model::JobReply::Status(status)) = simulation.status(job_id) {
                prop_assert!(status.is_final(), "job {} is {:?}", job_id, status);
                prop_assert_ne!(status, model::JobStatus::Failed);
            }
        }
    }
}
