//! Long-running tasks, and best-effort tasks that use the processors that those leave idle.

use crate::simulation;
use crate::simulation::Simulation;

fn long_running_step(task_count: u32, processors_milli: u32) -> model::Step {
    model::Step {
        long_running: true,
        target_tail_ms: Some(100),
        ..simulation::step(task_count, processors_milli, 10_000_000)
    }
}

fn best_effort_step(task_count: u32) -> model::Step {
    model::Step {
        fills_idle: true,
        ..simulation::step(task_count, 2_000, 20_000)
    }
}

/// Returns after how many milliseconds `count` tasks of a job run; `None` if not within `limit_ms`.
fn time_until_running_ms(
    simulation: &mut Simulation,
    job_id: model::JobId,
    count: u32,
    limit_ms: u64,
) -> Option<u64> {
    let started_at_ms = simulation.now_ms;
    while simulation.now_ms - started_at_ms <= limit_ms {
        let step = model::StepKey {
            job_id,
            occurrence: 0,
            step: 0,
        };
        let running: u32 = simulation
            .workers
            .iter()
            .map(|one| one.run_count(step))
            .sum();
        if running >= count {
            return Some(simulation.now_ms - started_at_ms);
        }
        simulation.run_ms(50);
    }
    None
}

/// A service is submitted while long jobs occupy every worker. Without preemption its tasks would
/// wait until those end.
#[test]
fn long_running_tasks_preempt_runs_on_full_workers() {
    for allowed_share in [None, Some(0.6)] {
        let mut simulation = Simulation::new(1, 6, allowed_share);
        simulation.run_ms(200);
        simulation.submit(simulation::job(
            1,
            "short",
            simulation::step(12, 4_000, 60_000),
        ));
        simulation.run_ms(3_000);
        simulation.submit(simulation::job(2, "long", long_running_step(3, 3_000)));
        let waited_ms = time_until_running_ms(&mut simulation, 2, 3, 6_000);
        assert!(waited_ms.is_some_and(|ms| ms < 3_500), "{waited_ms:?}");
    }
}

/// Two workers with tasks of a service fail while the others are full. Without preemption the tasks
/// would not run again until capacity gets free.
#[test]
fn long_running_tasks_of_failed_workers_restart_soon() {
    let mut simulation = Simulation::new(2, 6, None);
    simulation.run_ms(200);
    simulation.submit(simulation::job(1, "long", long_running_step(6, 3_000)));
    simulation.run_ms(500);
    simulation.submit(simulation::job(
        2,
        "short",
        simulation::step(30, 1_500, 60_000),
    ));
    simulation.run_ms(2_000);
    simulation.workers[0].is_up = false;
    simulation.workers[1].is_up = false;
    // The leader cannot know that they have failed until their leases have expired.
    let waited_ms = time_until_running_ms(&mut simulation, 1, 6, 12_000);
    assert!(waited_ms.is_some_and(|ms| ms < 9_500), "{waited_ms:?}");
    let running = model::JobReply::Status(model::JobStatus::Running);
    assert_eq!(simulation.status(1), Some(running));
}

/// Best-effort tasks raise the tail latency of services on the same worker; meanwhile the leader
/// changes, and the new one does not know the shares in force.
#[test]
fn best_effort_runs_are_throttled_to_protect_services() {
    for interference in [0.1, 0.4, 1.0, 3.0] {
        let mut simulation = Simulation::new(3, 2, None);
        for worker in &mut simulation.workers {
            worker.interference = interference;
        }
        simulation.run_ms(200);
        simulation.submit(simulation::job(1, "long", long_running_step(2, 4_000)));
        simulation.run_ms(500);
        simulation.submit(simulation::job(2, "short", best_effort_step(4)));
        simulation.run_ms(8_000);
        simulation.kill_leader();
        simulation.run_ms(800);
        simulation.elect_leader();
        // The simulation checks the tail latencies all the time.
        simulation.run_ms(25_000);
        simulation.cancel(1);
        simulation.run_ms(60_000);
        let completed = model::JobReply::Status(model::JobStatus::Completed);
        assert_eq!(
            simulation.status(2),
            Some(completed),
            "interference {interference}"
        );
    }
}

/// Best-effort tasks hardly raise the tail latency of services, so that they must not be throttled.
#[test]
fn best_effort_runs_that_harm_no_service_are_not_throttled() {
    let mut simulation = Simulation::new(4, 2, None);
    for worker in &mut simulation.workers {
        worker.interference = 0.05;
    }
    simulation.run_ms(200);
    simulation.submit(simulation::job(1, "long", long_running_step(2, 4_000)));
    simulation.submit(simulation::job(2, "short", best_effort_step(4)));
    simulation.run_ms(5_000);
    for worker in &simulation.workers {
        let percents = worker.best_effort_percents();
        assert!(
            percents.iter().all(|percent| *percent == 100),
            "{percents:?}"
        );
    }
}
