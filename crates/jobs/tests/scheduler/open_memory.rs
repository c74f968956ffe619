//! Limit of the memory that open jobs take.

use crate::simulation;
use crate::simulation::Simulation;

/// Time in which the leader handles and stores a request.
const STORING_MS: u64 = 400;
/// Time until a new leader starts runs on all workers.
const TAKEOVER_MS: u64 = 20_000;
const MAX_OPEN_BYTES: usize = 1_000_000;
/// Tasks of a job that takes a fifth of `MAX_OPEN_BYTES`.
const LARGE_TASKS: u32 = 300;

fn simulation(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, 6, None);
    simulation.settings.max_open_bytes = MAX_OPEN_BYTES;
    simulation.kill_leader();
    simulation.elect_leader();
    simulation.run_ms(TAKEOVER_MS);
    simulation
}

fn large_job(job_id: model::JobId) -> model::Job {
    simulation::job(job_id, "long", simulation::step(LARGE_TASKS, 100, 1_000))
}

fn small_job(job_id: model::JobId) -> model::Job {
    simulation::job(job_id, "short", simulation::step(1, 100, 100))
}

/// Submits a job; returns the reply once it is stored.
fn submit(simulation: &mut Simulation, job: model::Job) -> model::JobReply {
    let token = simulation.submit(job);
    simulation.run_ms(STORING_MS);
    simulation.replies[&token].clone()
}

fn refusal(reply: &model::JobReply) -> Option<(model::RefusalReason, u64)> {
    match reply {
        model::JobReply::Refused {
            reason,
            retry_after_ms,
        } => Some((*reason, *retry_after_ms)),
        _ => None,
    }
}

fn is_completed(simulation: &mut Simulation, job_id: model::JobId) -> bool {
    let completed = model::JobReply::Status(model::JobStatus::Completed);
    simulation.status(job_id) == Some(completed)
}

fn open_bytes(simulation: &Simulation) -> usize {
    simulation.summary().open_bytes
}

/// Leader that accepted jobs until it ran out of memory.
#[test]
fn jobs_for_which_there_is_no_memory_are_refused_until_others_have_ended() {
    let mut simulation = simulation(1);
    let replies: Vec<_> = (1..=20)
        .map(|job_id| {
            let token = simulation.submit(large_job(job_id));
            (job_id, token)
        })
        .collect();
    simulation.run_ms(STORING_MS);
    assert!(open_bytes(&simulation) <= MAX_OPEN_BYTES);
    let (mut accepted, mut refused) = (Vec::new(), Vec::new());
    for (job_id, token) in replies {
        match refusal(&simulation.replies[&token]) {
            None => accepted.push(job_id),
            Some((reason, retry_after_ms)) => {
                assert_eq!(reason, model::RefusalReason::NoMemory);
                assert!(retry_after_ms >= 1_000);
                refused.push(job_id);
            }
        }
    }
    assert!(accepted.len() >= 3, "{accepted:?}");
    assert!(refused.len() >= 10, "{refused:?}");
    // Large jobs leave room for small ones.
    assert_eq!(
        submit(&mut simulation, small_job(100)),
        model::JobReply::Accepted
    );
    simulation.run_ms(60_000);
    assert!(is_completed(&mut simulation, 100));
    for job_id in accepted {
        assert!(is_completed(&mut simulation, job_id), "job {job_id}");
    }
    assert_eq!(open_bytes(&simulation), 0);
    let again = large_job(refused[0]);
    assert_eq!(submit(&mut simulation, again), model::JobReply::Accepted);
}

/// Refusal with a retry of a job that will not fit later, either.
#[test]
fn a_job_that_never_fits_is_refused_as_too_large() {
    let mut simulation = simulation(2);
    let wide = simulation::job(1, "long", simulation::step(2_000, 100, 50));
    let reply = submit(&mut simulation, wide);
    let too_large = (model::RefusalReason::TooLarge, 0);
    assert_eq!(refusal(&reply), Some(too_large));
    assert_eq!(
        submit(&mut simulation, small_job(2)),
        model::JobReply::Accepted
    );
}

/// Leader that loses jobs which its predecessor accepted with more memory.
#[test]
fn a_new_leader_recovers_what_exceeds_its_memory() {
    let mut simulation = simulation(3);
    for job_id in 1..=3 {
        let reply = submit(&mut simulation, large_job(job_id));
        assert_eq!(reply, model::JobReply::Accepted);
    }
    let before_bytes = open_bytes(&simulation);
    simulation.settings.max_open_bytes = 10_000;
    simulation.kill_leader();
    simulation.elect_leader();
    assert_eq!(open_bytes(&simulation), before_bytes);
    simulation.run_ms(STORING_MS);
    let reply = submit(&mut simulation, small_job(4));
    let reason = refusal(&reply).map(|(reason, _)| reason);
    assert_eq!(reason, Some(model::RefusalReason::NoMemory));
    simulation.run_ms(TAKEOVER_MS + 60_000);
    for job_id in 1..=3 {
        assert!(is_completed(&mut simulation, job_id), "job {job_id}");
    }
    assert_eq!(
        submit(&mut simulation, small_job(4)),
        model::JobReply::Accepted
    );
}
