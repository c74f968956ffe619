//! Jobs whose records are large for the store.

use proptest::prelude::Rng as _;

use crate::simulation;
use crate::simulation::Simulation;

/// Time in which the leader handles and stores a request.
const STORING_MS: u64 = 400;
/// Time until a new leader starts runs on all workers.
const TAKEOVER_MS: u64 = 20_000;
/// Image name of a body of the largest legal size, in bytes.
const LARGE_IMAGE_BYTES: usize = 240_000;

fn job_with_image(job_id: model::JobId, run_ms: u32, image_bytes: usize) -> model::Job {
    let mut step = simulation::step(1, 100, run_ms);
    step.image = Some("x".repeat(image_bytes).into());
    simulation::job(job_id, "short", step)
}

fn small_job(job_id: model::JobId) -> model::Job {
    simulation::job(job_id, "short", simulation::step(1, 100, 100))
}

fn is_completed(simulation: &mut Simulation, job_id: model::JobId) -> bool {
    let completed = model::JobReply::Status(model::JobStatus::Completed);
    simulation.status(job_id) == Some(completed)
}

/// Leader that stored nothing any more: the definitions of eight large jobs were written into one value of
/// twice the size that the store takes.
#[test]
fn large_definitions_are_written_into_values_that_the_store_takes() {
    let mut simulation = Simulation::new(1, 6, None);
    simulation.run_ms(STORING_MS);
    let large = (1..=8).map(|job_id| job_with_image(job_id, 60_000, LARGE_IMAGE_BYTES));
    let tokens: Vec<_> = large.map(|job| simulation.submit(job)).collect();
    simulation.run_ms(STORING_MS);
    for token in tokens {
        let reply = simulation.replies.get(&token);
        assert_eq!(reply, Some(&model::JobReply::Accepted));
    }
    for job_id in 100..160 {
        simulation.submit(small_job(job_id));
        simulation.run_ms(250);
    }
    simulation.run_ms(2_000);
    assert_eq!(simulation.refused_batches, 0);
    for job_id in 100..160 {
        assert!(is_completed(&mut simulation, job_id), "job {job_id}");
    }
}

/// Jobs that wait behind a record that the store refuses, whose batch is repeated as it is.
#[test]
fn a_record_that_the_store_refuses_is_refused_alone() {
    let mut simulation = Simulation::new(2, 6, None);
    simulation.store_value_bytes = 300_000;
    simulation.run_ms(STORING_MS);
    let mut tokens = Vec::new();
    for job_id in 1..=7 {
        tokens.push(simulation.submit(job_with_image(job_id, 100, 30_000)));
    }
    let too_large = simulation.submit(job_with_image(8, 100, 400_000));
    for job_id in 9..=16 {
        tokens.push(simulation.submit(small_job(job_id)));
    }
    simulation.run_ms(STORING_MS);
    for token in tokens {
        let reply = simulation.replies.get(&token);
        assert_eq!(reply, Some(&model::JobReply::Accepted));
    }
    let refused = model::JobReply::Refused {
        reason: model::RefusalReason::TooLarge,
        retry_after_ms: 0,
    };
    assert_eq!(simulation.replies.get(&too_large), Some(&refused));
    assert_eq!(simulation.summary().unwritable_jobs, 1);
    assert_eq!(simulation.status(8), Some(model::JobReply::Unknown));
    simulation.run_ms(2_000);
    for job_id in (1..=7).chain(9..=16) {
        assert!(is_completed(&mut simulation, job_id), "job {job_id}");
    }
}

/// Job that is stored and can't be written any more, whose tasks go on without a record of their ends.
#[test]
fn a_stored_job_that_the_store_refuses_later_fails() {
    let mut simulation = Simulation::new(3, 6, None);
    simulation.settings.max_value_bytes = 16_384;
    simulation.kill_leader();
    simulation.elect_leader();
    simulation.run_ms(TAKEOVER_MS);
    let wide = simulation::job(1, "short", simulation::step(2_000, 1_000, 300));
    let token = simulation.submit(wide);
    simulation.run_ms(STORING_MS);
    let reply = simulation.replies.get(&token);
    assert_eq!(reply, Some(&model::JobReply::Accepted));
    simulation.store_value_bytes = 6_000;
    simulation.run_ms(1_000);
    for job_id in 2..=9 {
        simulation.submit(small_job(job_id));
    }
    simulation.run_ms(4_000);
    let failed = model::JobReply::Status(model::JobStatus::Failed);
    assert_eq!(simulation.status(1), Some(failed));
    assert_eq!(simulation.summary().unwritable_jobs, 1);
    assert!(simulation.workers.iter().all(|worker| {
        let mut runs = worker.run_keys();
        runs.all(|run| run.task.job_id != 1)
    }));
    for job_id in 2..=9 {
        assert!(is_completed(&mut simulation, job_id), "job {job_id}");
    }
}

/// Job that can never be stored, which is not told so at once.
#[test]
fn a_record_beyond_the_limit_is_refused_before_it_is_written() {
    let mut simulation = Simulation::new(4, 6, None);
    simulation.run_ms(STORING_MS);
    let token = simulation.submit(job_with_image(1, 100, 800_000));
    let reply = simulation.replies.get(&token);
    assert!(
        matches!(
            reply,
            Some(model::JobReply::Refused {
                reason: model::RefusalReason::TooLarge,
                ..
            })
        ),
        "{reply:?}"
    );
    assert_eq!(simulation.refused_batches, 0);
}

/// Batches whose size is counted as less than it is, for any legal job.
#[test]
fn no_batch_of_legal_jobs_exceeds_the_limit() {
    for seed in 0..4 {
        let mut simulation = Simulation::new(seed, 6, None);
        simulation.run_ms(STORING_MS);
        let mut rng = <rand::rngs::StdRng as rand::SeedableRng>::seed_from_u64(seed);
        for job_id in 1..=20 {
            let mut job = job_with_image(job_id, 2_000, rng.random_range(1..LARGE_IMAGE_BYTES));
            if rng.random_bool(0.3) {
                job.steps[0].required_label = job.steps[0].image.take();
            }
            if rng.random_bool(0.3) {
                job.steps = (0..rng.random_range(1..3_000))
                    .map(|number| {
                        let mut step = simulation::step(1, 100, 10);
                        step.after = (0..number).rev().take(rng.random_range(0..8)).collect();
                        step
                    })
                    .collect();
            }
            simulation.submit(job);
            simulation.run_ms(rng.random_range(0..100));
        }
        simulation.run_ms(3_000);
        simulation.kill_leader();
        simulation.elect_leader();
        simulation.run_ms(3_000);
        assert_eq!(simulation.refused_batches, 0, "seed {seed}");
    }
}
