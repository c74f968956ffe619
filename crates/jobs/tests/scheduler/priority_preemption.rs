//! Gangs that wait while runs of lower priority occupy the workers.

use crate::simulation;
use crate::simulation::Simulation;

const WORKERS: u32 = 6;

/// Batch tasks that fill every worker for a minute; `checkpointing` tells whether they save progress.
fn batch(checkpointing: bool) -> model::Job {
    let step = model::Step {
        checkpointing,
        ..simulation::step(4 * WORKERS, 2_000, 60_000)
    };
    simulation::job(1, "long", step)
}

/// A gang that needs three whole workers for four seconds; its objective is 8.4 seconds.
fn gang(id: model::JobId, queue: &str) -> model::Job {
    let step = model::Step {
        gang: true,
        ..simulation::step(3, 8_000, 4_000)
    };
    simulation::job(id, queue, step)
}

/// Returns how many runs the leader has stopped for gangs.
fn stopped_runs(simulation: &Simulation) -> u64 {
    simulation.summary().stopped_for_priority
}

/// Returns a simulation whose workers are full of batch tasks that have run for two seconds.
fn full_of_batch_tasks(checkpointing: bool, allowed_share: Option<f64>) -> Simulation {
    let mut simulation = Simulation::new(1, WORKERS as usize, allowed_share);
    simulation.run_ms(200);
    simulation.submit(batch(checkpointing));
    simulation.run_ms(2_000);
    simulation
}

/// Urgent gang beside long batch work: without preemption it waits for a minute, as small tasks
/// occupy all workers. The batch tasks go on elsewhere afterwards.
#[test]
fn gang_ends_in_time_on_workers_full_of_batch_tasks_with_checkpoints() {
    for allowed_share in [None, Some(0.8)] {
        let mut simulation = full_of_batch_tasks(true, allowed_share);
        let submitted_at_ms = simulation.now_ms;
        simulation.submit(gang(2, "short"));
        simulation.run_ms(12_000);
        let ended_at_ms = simulation.ended_at_ms.get(&2).copied();
        let took_ms = ended_at_ms.map(|at| at - submitted_at_ms);
        assert!(
            took_ms.is_some_and(|took_ms| took_ms < 8_400),
            "{allowed_share:?}: the gang took {took_ms:?} ms"
        );
        simulation.run_ms(200_000);
        assert_eq!(
            simulation.status(1),
            Some(model::JobReply::Status(model::JobStatus::Completed))
        );
    }
}

/// Work without checkpoints would be lost in full, so no run is stopped.
#[test]
fn runs_without_checkpoints_are_not_stopped_for_priority() {
    let mut simulation = full_of_batch_tasks(false, None);
    simulation.submit(gang(2, "short"));
    simulation.run_ms(12_000);
    assert_eq!(stopped_runs(&simulation), 0);
}

/// A gang of the same priority has no precedence over running work.
#[test]
fn runs_of_the_same_priority_are_not_stopped_for_priority() {
    let mut simulation = full_of_batch_tasks(true, None);
    simulation.submit(gang(2, "long"));
    simulation.run_ms(12_000);
    assert_eq!(stopped_runs(&simulation), 0);
}

/// Many gangs at once: the runs stopped for one must not be counted upon by the next, and no task is
/// stopped over and over, so that the batch job ends as well.
#[test]
fn batch_tasks_end_although_gangs_keep_coming() {
    let mut simulation = full_of_batch_tasks(true, None);
    for id in 2..12 {
        simulation.submit(gang(id, "short"));
        simulation.run_ms(5_000);
    }
    simulation.run_ms(120_000);
    for id in 1..12 {
        let completed = model::JobReply::Status(model::JobStatus::Completed);
        assert_eq!(simulation.status(id), Some(completed), "job {id}");
    }
}

/// The leader is killed while the stopped runs end: the next one knows nothing of the gang's
/// preemption, and both the gang and the batch tasks still end.
#[test]
fn gang_starts_after_the_leader_was_killed_during_a_preemption() {
    let mut simulation = full_of_batch_tasks(true, None);
    simulation.submit(gang(2, "short"));
    while stopped_runs(&simulation) == 0 {
        simulation.run_ms(10);
        assert!(simulation.now_ms < 20_000, "no run was stopped");
    }
    simulation.kill_leader();
    simulation.run_ms(1_000);
    simulation.elect_leader();
    simulation.run_ms(150_000);
    for id in [1, 2] {
        let completed = model::JobReply::Status(model::JobStatus::Completed);
        assert_eq!(simulation.status(id), Some(completed), "job {id}");
    }
}
