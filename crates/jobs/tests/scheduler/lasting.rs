//! Tasks that last, and tasks that fill what they leave idle.

use crate::world;
use crate::world::World;

fn lasting(task_count: u32, processors_milli: u32) -> model::Step {
    model::Step {
        long_running: true,
        target_tail_ms: Some(100),
        ..world::step(task_count, processors_milli, 10_000_000)
    }
}

fn filling(task_count: u32) -> model::Step {
    model::Step {
        fills_idle: true,
        ..world::step(task_count, 2_000, 20_000)
    }
}

/// Returns when every task of a job runs, waiting for it in steps; `None` after `limit_ms`.
fn all_run_after(
    world: &mut World,
    job_id: model::JobId,
    count: u32,
    limit_ms: u64,
) -> Option<u64> {
    let begun_ms = world.now_ms;
    while world.now_ms - begun_ms <= limit_ms {
        let step = model::StepKey {
            job_id,
            occurrence: 0,
            step: 0,
        };
        let running: u32 = world.workers.iter().map(|one| one.count_of(step)).sum();
        if running >= count {
            return Some(world.now_ms - begun_ms);
        }
        world.run_ms(50);
    }
    None
}

/// Pattern: a service is handed in while long work fills every worker.
#[test]
fn lasting_tasks_get_room_on_full_workers() {
    for allowed_share in [None, Some(0.6)] {
        let mut world = World::new(1, 6, allowed_share);
        world.run_ms(200);
        world.submit(world::job(1, "short", world::step(12, 4_000, 60_000)));
        world.run_ms(3_000);
        world.submit(world::job(2, "long", lasting(3, 3_000)));
        let waited_ms = all_run_after(&mut world, 2, 3, 6_000);
        assert!(waited_ms.is_some_and(|ms| ms < 3_500), "{waited_ms:?}");
    }
}

/// Pattern: workers of a service die, and those left are full.
#[test]
fn lasting_tasks_of_dead_workers_run_again_soon() {
    let mut world = World::new(2, 6, None);
    world.run_ms(200);
    world.submit(world::job(1, "long", lasting(6, 3_000)));
    world.run_ms(500);
    world.submit(world::job(2, "short", world::step(30, 1_500, 60_000)));
    world.run_ms(2_000);
    world.workers[0].is_up = false;
    world.workers[1].is_up = false;
    // Nobody knows that they are dead until their leases have lapsed.
    let waited_ms = all_run_after(&mut world, 1, 6, 12_000);
    assert!(waited_ms.is_some_and(|ms| ms < 9_500), "{waited_ms:?}");
    let running = model::JobReply::Status(model::JobStatus::Running);
    assert_eq!(world.status(1), Some(running));
}

/// Pattern: filling work disturbs the services beside it, in the middle of it a new leader.
#[test]
fn filling_work_is_held_back_where_it_harms_services() {
    for disturbance in [0.1, 0.4, 1.0, 3.0] {
        let mut world = World::new(3, 2, None);
        for worker in &mut world.workers {
            worker.disturbance = disturbance;
        }
        world.run_ms(200);
        world.submit(world::job(1, "long", lasting(2, 4_000)));
        world.run_ms(500);
        world.submit(world::job(2, "short", filling(4)));
        world.run_ms(8_000);
        world.kill_leader();
        world.run_ms(800);
        world.elect();
        // The world checks the harm all the while.
        world.run_ms(25_000);
        world.cancel(1);
        world.run_ms(60_000);
        let completed = model::JobReply::Status(model::JobStatus::Completed);
        assert_eq!(
            world.status(2),
            Some(completed),
            "disturbance {disturbance}"
        );
    }
}

/// Pattern: services leave room for some filling work; it is not held back more than it must be.
#[test]
fn filling_work_that_harms_nobody_is_not_held_back() {
    let mut world = World::new(4, 2, None);
    for worker in &mut world.workers {
        worker.disturbance = 0.05;
    }
    world.run_ms(200);
    world.submit(world::job(1, "long", lasting(2, 4_000)));
    world.submit(world::job(2, "short", filling(4)));
    world.run_ms(5_000);
    for worker in &world.workers {
        let percents = worker.filling_percents();
        assert!(
            percents.iter().all(|percent| *percent == 100),
            "{percents:?}"
        );
    }
}
