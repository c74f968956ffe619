//! What must always hold, over generated series of failures.

use proptest::prelude::*;

use crate::world;
use crate::world::World;

/// Something that happens to the world.
#[derive(Clone, Copy, Debug)]
enum Happening {
    Submit,
    SubmitHopeless,
    Cancel,
    KillLeader,
    KillWorker,
    RebornWorker,
    CutWorker,
    MendWorkers,
    DrainWorker,
}

fn happening() -> impl Strategy<Value = Happening> {
    prop_oneof![
        8 => Just(Happening::Submit),
        1 => Just(Happening::SubmitHopeless),
        2 => Just(Happening::Cancel),
        2 => Just(Happening::KillLeader),
        1 => Just(Happening::KillWorker),
        1 => Just(Happening::RebornWorker),
        1 => Just(Happening::CutWorker),
        2 => Just(Happening::MendWorkers),
        1 => Just(Happening::DrainWorker),
    ]
}

fn any_job(world: &mut World, id: model::JobId) -> model::Job {
    // Some outlive a lease, so that a run may go on where nobody hears of it.
    let run_ms = match world.random(3) {
        0 => 3_000 + world.random(6_000),
        _ => 50 + world.random(1_000),
    };
    let mut first = world::step(
        1 + world.random(5) as u32,
        500 + 500 * world.random(6) as u32,
        run_ms as u32,
    );
    first.checkpointing = world.random(2) == 0;
    match world.random(4) {
        0 => first.gang = true,
        1 => first.max_per_worker = Some(1),
        _ => {}
    }
    let mut job = world::job(id, "short", first.clone());
    if world.random(3) == 0 {
        first.gang = world.random(2) == 0;
        if first.gang && first.max_per_worker.is_some() {
            // The recommendation service allows each step half of the workers at least.
            first.task_count = first.task_count.min(3);
        }
        first.after = vec![0];
        job.steps.push(first);
        job.queue = "long".into();
    }
    job
}

fn apply(world: &mut World, happening: Happening, next_id: &mut model::JobId) {
    let number = world.random(world.workers.len() as u64) as usize;
    match happening {
        Happening::Submit | Happening::SubmitHopeless => {
            *next_id += 1;
            let job = any_job(world, *next_id);
            if matches!(happening, Happening::SubmitHopeless) {
                world.hopeless.insert(job.id);
            }
            world.submit(job);
        }
        Happening::Cancel => {
            if *next_id > 0 {
                let job_id = 1 + world.random(*next_id);
                world.ask(model::JobRequest::Cancel { job_id });
            }
        }
        Happening::KillLeader => {
            world.kill_leader();
            let pause_ms = world.random(3_000);
            world.run_ms(pause_ms);
            world.elect();
        }
        Happening::KillWorker => world.workers[number].is_up = false,
        Happening::RebornWorker => world.workers[number].rebirth(),
        Happening::CutWorker => world.workers[number].is_cut = true,
        Happening::MendWorkers => {
            for worker in &mut world.workers {
                if !worker.is_up {
                    worker.rebirth();
                }
                worker.is_cut = false;
                worker.draining = false;
            }
        }
        Happening::DrainWorker => world.workers[number].draining = true,
    }
}

/// Lets everything settle and checks that no job is left in between.
fn settle(world: &mut World, last_id: model::JobId) {
    world.faults = world::Faults::default();
    let mut ignored = 0;
    apply(world, Happening::MendWorkers, &mut ignored);
    world.run_ms(1_000);
    for _ in 0..30 {
        world.run_ms(2_000);
    }
    for job_id in 1..=last_id {
        let Some(model::JobReply::Status(status)) = world.status(job_id) else {
            // Nobody led when it was asked for, or it was never confirmed.
            continue;
        };
        assert!(status.is_final(), "job {job_id} is {status:?}");
        let is_hopeless = world.hopeless.contains(&job_id);
        assert!(
            status != model::JobStatus::Failed || is_hopeless,
            "job {job_id} failed without a cause"
        );
        assert!(
            status != model::JobStatus::Completed || !is_hopeless,
            "job {job_id} cannot have completed"
        );
    }
}

fn play(seed: u64, allowed_share: Option<f64>, happenings: &[(Happening, u64)]) {
    let mut world = World::new(seed, 6, allowed_share);
    world.faults = world::Faults {
        lost_answers: 0.05,
        late_orders: 0.05,
        lost_commits: 0.1,
    };
    world.run_ms(500);
    let mut last_id = 0;
    for (happening, pause_ms) in happenings {
        apply(&mut world, *happening, &mut last_id);
        world.run_ms(*pause_ms);
    }
    settle(&mut world, last_id);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_task_runs_twice_or_beyond_room_whatever_fails(
        seed in any::<u64>(),
        happenings in prop::collection::vec((happening(), 0_u64..900), 5..60),
    ) {
        play(seed, None, &happenings);
    }

    #[test]
    fn the_same_with_a_recommendation_service(
        seed in any::<u64>(),
        happenings in prop::collection::vec((happening(), 0_u64..900), 5..60),
    ) {
        play(seed, Some(0.6), &happenings);
    }
}
