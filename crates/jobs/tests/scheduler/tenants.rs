//! Jobs of tenants: who may see them, and what of it a new leader knows.

use serde::Deserialize;
use serde::Serialize;

use crate::simulation;
use crate::simulation::Simulation;
use crate::stored_losses;

/// Lost runs as builds without tenants define them.
#[derive(Serialize, Deserialize)]
struct JobLosses {
    job_id: model::JobId,
    tasks: Vec<(model::TaskKey, Vec<LossRecord>)>,
    addresses: Vec<(model::WorkerIncarnation, String)>,
}

#[derive(Serialize, Deserialize)]
struct LossRecord {
    run: model::RunNumber,
    incarnation: model::WorkerIncarnation,
    address: Option<String>,
    is_early: bool,
    is_attributable: bool,
    is_crash: bool,
}

/// Archived outcomes as builds without tenants define them.
type Outcomes = Vec<(model::JobId, stored_losses::Ending)>;

/// Decodes the first part of a value and encodes it again; returns it with what follows.
fn recode<T: Serialize + serde::de::DeserializeOwned>(value: &[u8]) -> (Vec<u8>, &[u8]) {
    let config = bincode::config::standard();
    let (decoded, length): (T, usize) =
        bincode::serde::decode_from_slice(value, config).expect("the layout has not changed");
    let encoded = bincode::serde::encode_to_vec(&decoded, config).expect("a record");
    (encoded, &value[length..])
}

/// Returns a value of the store as a build without tenants writes it, and what follows.
fn former(key: &str, value: &[u8]) -> (Vec<u8>, Vec<u8>) {
    if key.starts_with(jobs::OUTCOME_PREFIX) {
        let (outcomes, rest) = recode::<Outcomes>(value);
        return (outcomes, rest.to_vec());
    }
    let (mut segment, mut rest) = recode::<Vec<stored_losses::JobRecord>>(value);
    if !rest.is_empty() {
        let (losses, after) = recode::<Vec<JobLosses>>(rest);
        // Lost runs that are only there because tenants follow them are not.
        if losses != [0] {
            segment.extend(losses);
        }
        rest = after;
    }
    (segment, rest.to_vec())
}

/// Returns a simulation with 70 ended jobs, which are archived, one ended job that is not, and an open
/// one; tenant `a` has all of them if there are tenants.
fn many_jobs(has_tenants: bool) -> Simulation {
    let mut simulation = Simulation::new(3, 8, None);
    simulation.run_ms(200);
    if has_tenants {
        simulation.use_tenants(&["a", "b"], &["long"]);
    }
    let tenant = has_tenants.then_some("a");
    for id in 0..70 {
        let job = simulation::job(id, "short", simulation::step(1, 500, 20));
        assert_eq!(
            simulation.submit_of(tenant, job),
            Some(model::JobReply::Accepted)
        );
    }
    simulation.run_ms(3_000);
    let ended = simulation::job(100, "long", simulation::step(1, 500, 20));
    simulation.submit_of(tenant, ended);
    simulation.run_ms(2_000);
    let open = simulation::job(101, "short", simulation::step(1, 500, 60_000));
    simulation.submit_of(tenant, open);
    simulation.run_ms(2_000);
    let keys: Vec<_> = simulation.store.keys().collect();
    let is_archive = |key: &&String| key.starts_with(jobs::OUTCOME_PREFIX);
    assert!(keys.iter().any(is_archive), "{keys:?}");
    simulation
}

const UNKNOWN: Option<model::JobReply> = Some(model::JobReply::Unknown);

fn status(status: model::JobStatus) -> Option<model::JobReply> {
    Some(model::JobReply::Status(status))
}

fn id_in_use() -> Option<model::JobReply> {
    Some(model::JobReply::Refused {
        reason: model::RefusalReason::IdInUse,
        retry_after_ms: 0,
    })
}

/// Guards against a deployment without tenants whose records change, and against records that the former
/// build cannot read after this one has led.
#[test]
fn records_without_tenants_have_the_former_layout() {
    for has_tenants in [false, true] {
        let simulation = many_jobs(has_tenants);
        let mut tails = 0;
        for (key, value) in &simulation.store {
            let (former, rest) = former(key, value);
            tails += usize::from(!rest.is_empty());
            if !has_tenants {
                assert_eq!(former, *value, "{key}");
            }
        }
        assert_eq!(tails > 0, has_tenants);
    }
}

/// Guards against a new leader that shows the jobs of a tenant to others, whether they are open, ended or
/// archived.
#[test]
fn tenants_of_jobs_survive_a_new_leader() {
    let mut simulation = many_jobs(true);
    for _ in 0..3 {
        simulation.kill_leader();
        simulation.elect_leader();
        simulation.run_ms(1_000);
        for id in [0, 100, 101] {
            let found = simulation.status_of(Some("a"), id);
            assert_ne!(found, UNKNOWN, "{id}");
            let is_ended = found == status(model::JobStatus::Completed);
            assert_eq!(is_ended, id != 101, "{id}: {found:?}");
            assert_eq!(simulation.status_of(Some("b"), id), UNKNOWN, "{id}");
            // Only the queue of job 100 is public.
            let public = if id == 100 { found } else { UNKNOWN };
            assert_eq!(simulation.status_of(None, id), public, "{id}");
        }
        // Batches of the new leader write the records again.
        let job = simulation::job(
            200 + simulation.term as u64,
            "short",
            simulation::step(1, 500, 20),
        );
        simulation.submit_of(Some("a"), job);
    }
}

/// Guards against a build that cannot recover from what the former one has stored.
#[test]
fn records_of_the_former_build_are_read() {
    let mut simulation = many_jobs(true);
    simulation.kill_leader();
    for (key, value) in &mut simulation.store {
        *value = former(key, value).0;
    }
    simulation.elect_leader();
    simulation.run_ms(1_000);
    for tenant in [Some("a"), Some("b"), None] {
        // Jobs of the former build belong to no tenant.
        assert_ne!(simulation.status_of(tenant, 101), UNKNOWN);
        let completed = status(model::JobStatus::Completed);
        assert_eq!(simulation.status_of(tenant, 0), completed);
    }
}

/// Guards against a tenant that cancels, resubmits or learns of another one's jobs.
#[test]
fn jobs_of_other_tenants_are_out_of_reach() {
    let mut simulation = many_jobs(true);
    assert_eq!(simulation.cancel_of(Some("b"), 101), UNKNOWN);
    assert_eq!(simulation.cancel_of(None, 101), UNKNOWN);
    let running = status(model::JobStatus::Running);
    assert_eq!(simulation.status_of(Some("a"), 101), running);
    let open = simulation::job(101, "short", simulation::step(1, 500, 60_000));
    let ended = simulation::job(0, "short", simulation::step(1, 500, 20));
    for job in [open, ended] {
        assert_eq!(simulation.submit_of(Some("b"), job.clone()), id_in_use());
        let accepted = Some(model::JobReply::Accepted);
        assert_eq!(simulation.submit_of(Some("a"), job), accepted);
    }
    let pending = model::JobRequest::Pending {
        queue: "short".into(),
    };
    let token = simulation.request_of(Some("b"), 2, pending);
    simulation.run_ms(20);
    assert!(matches!(
        simulation.replies[&token],
        model::JobReply::Pending(_)
    ));
    let cancelled = status(model::JobStatus::Cancelled);
    assert_eq!(simulation.cancel_of(Some("a"), 101), cancelled);
}

/// Guards against jobs that are lost with their tenant, and against those of before that nobody can see.
#[test]
fn jobs_outlive_their_tenant_and_precede_it() {
    let mut simulation = Simulation::new(4, 4, None);
    simulation.run_ms(200);
    let job = |id| simulation::job(id, "short", simulation::step(1, 500, 60_000));
    simulation.submit_of(None, job(1));
    simulation.use_tenants(&["a", "b"], &[]);
    simulation.submit_of(Some("a"), job(2));
    simulation.use_tenants(&["b"], &[]);
    simulation.run_ms(1_000);
    let running = status(model::JobStatus::Running);
    assert_eq!(simulation.status_of(Some("b"), 1), running);
    assert_eq!(simulation.status_of(Some("b"), 2), UNKNOWN);
    // The key may still be known to an instance with the manifest of before.
    assert_eq!(simulation.status_of(Some("a"), 2), running);
}

/// Guards against an answer by the older of two manifests, while instances have different ones.
#[test]
fn the_newer_manifest_decides_on_a_tenant() {
    let mut simulation = Simulation::new(5, 4, None);
    simulation.run_ms(200);
    simulation.use_tenants(&["a"], &["long"]);
    let submit = |id, queue| {
        let job = simulation::job(id, queue, simulation::step(1, 500, 20));
        model::JobRequest::Submit(Box::new(job))
    };
    let newer = simulation.request_of(Some("new"), 3, submit(1, "short"));
    let older = simulation.request_of(Some("removed"), 1, submit(2, "short"));
    let public = simulation.request_of(Some("removed"), 1, submit(3, "long"));
    simulation.run_ms(100);
    assert_eq!(simulation.replies[&newer], model::JobReply::NotLeading);
    let refused = model::JobReply::Refused {
        reason: model::RefusalReason::Unauthorized,
        retry_after_ms: 0,
    };
    assert_eq!(simulation.replies[&older], refused);
    // A public queue needs no key, so that a removed one does no harm.
    assert_eq!(simulation.replies[&public], model::JobReply::Accepted);
    assert_ne!(simulation.status_of(Some("a"), 3), UNKNOWN);
}
