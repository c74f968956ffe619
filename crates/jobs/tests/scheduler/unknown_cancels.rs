//! Cancels of jobs that the leader does not know: their submissions may still be on their way.

use crate::simulation;
use crate::simulation::Simulation;

/// Time in which the leader handles and stores a request.
const STORING_MS: u64 = 200;

/// Age of submissions that instances have received before their cancels.
const AGE_MS: u64 = 5_000;

fn start() -> Simulation {
    let mut simulation = Simulation::new(1, 6, None);
    simulation.run_ms(STORING_MS);
    simulation
}

fn cancel(simulation: &mut Simulation, job_id: model::JobId) -> Option<model::JobReply> {
    let token = simulation.cancel(job_id);
    simulation.run_ms(STORING_MS);
    simulation.replies.get(&token).cloned()
}

fn submit(simulation: &mut Simulation, job_id: model::JobId) -> Option<model::JobReply> {
    let job = simulation::job(job_id, "short", simulation::step(1, 500, 100));
    let token = simulation.submit(job);
    simulation.run_ms(STORING_MS);
    simulation.replies.get(&token).cloned()
}

fn is_refused_as(reply: &Option<model::JobReply>, expected: model::RefusalReason) -> bool {
    matches!(
        reply,
        Some(model::JobReply::Refused { reason, retry_after_ms: 1.. }) if *reason == expected
    )
}

/// Job started after its cancelling was acknowledged: an instance had received its submission before, and
/// passes it on after it. What the caller sends after the answer is a new job.
#[test]
fn submission_that_arrives_after_its_cancel_is_refused() {
    let mut simulation = start();
    let before = simulation.now_ms;
    assert_eq!(cancel(&mut simulation, 1), Some(model::JobReply::Unknown));
    simulation.request_age_ms = simulation.now_ms - before;
    let reply = submit(&mut simulation, 1);
    assert!(
        is_refused_as(&reply, model::RefusalReason::Cancelled),
        "{reply:?}"
    );
    assert_eq!(simulation.status(1), Some(model::JobReply::Unknown));
    assert_eq!(submit(&mut simulation, 2), Some(model::JobReply::Accepted));
    simulation.run_ms(2_000);
    assert!(
        simulation
            .starts
            .iter()
            .all(|(_, run, _)| run.task.job_id != 1)
    );
    simulation.request_age_ms = 0;
    assert_eq!(submit(&mut simulation, 1), Some(model::JobReply::Accepted));
}

/// The same with a submission that arrives while the cancel is being stored: its caller is told that there
/// is no such job.
#[test]
fn submission_that_arrives_while_its_cancel_is_stored_is_refused() {
    let mut simulation = start();
    let token = simulation.cancel(1);
    let reply = submit(&mut simulation, 1);
    assert_eq!(
        simulation.replies.get(&token),
        Some(&model::JobReply::Unknown)
    );
    assert!(
        is_refused_as(&reply, model::RefusalReason::Cancelled),
        "{reply:?}"
    );
}

/// The same with a new leader between the two, which knows of the cancel only from the store.
#[test]
fn cancel_of_an_unknown_job_outlives_the_leader() {
    for is_orderly in [true, false] {
        let mut simulation = start();
        assert_eq!(cancel(&mut simulation, 1), Some(model::JobReply::Unknown));
        match is_orderly {
            true => simulation.step_down_leader(),
            false => simulation.kill_leader(),
        }
        simulation.elect_leader();
        simulation.request_age_ms = STORING_MS + 50;
        simulation.run_ms(STORING_MS);
        let reply = submit(&mut simulation, 1);
        assert!(
            is_refused_as(&reply, model::RefusalReason::Cancelled),
            "{reply:?}"
        );
    }
}

/// "No such job" by a leader that the store turns away, while its successor has accepted the job
/// (review/12 has the same fault): it must not be said before the store has confirmed the term.
#[test]
fn leader_without_the_store_does_not_deny_a_job() {
    let mut simulation = start();
    simulation.store_refuses = true;
    let reply = cancel(&mut simulation, 1);
    let unavailable = model::RefusalReason::StoreUnavailable;
    assert!(
        reply.is_none() || is_refused_as(&reply, unavailable),
        "{reply:?}"
    );
    simulation.run_ms(1_000);
    let reply = cancel(&mut simulation, 2);
    assert!(is_refused_as(&reply, unavailable), "{reply:?}");
    simulation.store_refuses = false;
    simulation.run_ms(1_000);
    assert_eq!(cancel(&mut simulation, 2), Some(model::JobReply::Unknown));
}

/// Guards against a tenant that cancels jobs which others are about to hand in, or that displaces their
/// cancels by many of its own.
#[test]
fn cancels_of_unknown_jobs_concern_their_tenant_alone() {
    let mut simulation = start();
    let (own, other): (model::TenantName, model::TenantName) = ("a".into(), "b".into());
    simulation.tenants_of_jobs.insert(1, own.clone());
    assert_eq!(cancel(&mut simulation, 1), Some(model::JobReply::Unknown));
    for job_id in 100..500 {
        simulation.tenants_of_jobs.insert(job_id, other.clone());
        simulation.cancel(job_id);
    }
    simulation.run_ms(STORING_MS);
    simulation.request_age_ms = AGE_MS;
    let reply = submit(&mut simulation, 1);
    assert!(
        is_refused_as(&reply, model::RefusalReason::Cancelled),
        "{reply:?}"
    );
    let reply = submit(&mut simulation, 499);
    assert!(
        is_refused_as(&reply, model::RefusalReason::Cancelled),
        "{reply:?}"
    );
    // The oldest of a tenant give way.
    assert_eq!(
        submit(&mut simulation, 100),
        Some(model::JobReply::Accepted)
    );
    simulation.tenants_of_jobs.insert(1, other);
    assert_eq!(submit(&mut simulation, 1), Some(model::JobReply::Accepted));
}

/// Guards against memory, or a value in the store, that grows with the cancels of ids that nobody uses.
#[test]
fn cancels_of_unknown_jobs_are_bounded() {
    let mut simulation = start();
    for job_id in 1..=5_000 {
        simulation.cancel(job_id);
    }
    simulation.run_ms(STORING_MS);
    simulation.request_age_ms = AGE_MS;
    let bytes = simulation.store[jobs::CANCELS_KEY].len();
    // Up to 1,024 marks of 8 to 20 bytes.
    assert!(bytes < 32 * 1024, "{bytes} bytes");
    assert_eq!(simulation.summary().forgotten_cancels, 5_000 - 1_024);
    assert_eq!(submit(&mut simulation, 1), Some(model::JobReply::Accepted));
    let reply = submit(&mut simulation, 5_000);
    assert!(
        is_refused_as(&reply, model::RefusalReason::Cancelled),
        "{reply:?}"
    );
}
