//! Jobs of tenants: who may see them, and what of it a new leader knows.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

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

/// Tenants of jobs, which follow the lost runs, as builds without copies of tasks define them.
#[derive(Serialize, Deserialize)]
struct OwnedJobs {
    owner: (String, String),
    job_ids: Vec<model::JobId>,
}

/// Copies of tasks, which follow the tenants.
#[derive(Serialize, Deserialize)]
pub(crate) struct JobCopies {
    job_id: model::JobId,
    copies: Vec<(
        model::TaskKey,
        (model::RunNumber, Option<model::WorkerIncarnation>),
    )>,
}

/// Confirmed runs, which follow the copies.
#[derive(Serialize, Deserialize)]
pub(crate) struct JobConfirmations {
    job_id: model::JobId,
    tasks: Vec<u32>,
}

/// Archived outcomes as builds without tenants define them.
type Outcomes = Vec<(model::JobId, stored_losses::Ending)>;

/// Decodes the first part of a value and encodes it again; returns it with what follows.
pub(crate) fn recode<T: Serialize + serde::de::DeserializeOwned>(value: &[u8]) -> (Vec<u8>, &[u8]) {
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

/// Splits a segment into records, lost runs, tenants, copies and confirmed runs; fails if anything else is
/// there.
fn sections(segment: &[u8]) -> Vec<Vec<u8>> {
    let (records, mut rest) = recode::<Vec<stored_losses::JobRecord>>(segment);
    let mut sections = vec![records];
    type Recode = fn(&[u8]) -> (Vec<u8>, &[u8]);
    let optional: [Recode; 4] = [
        recode::<Vec<JobLosses>>,
        recode::<Vec<OwnedJobs>>,
        recode::<Vec<JobCopies>>,
        recode::<Vec<JobConfirmations>>,
    ];
    for recode in optional {
        if !rest.is_empty() {
            let (section, after) = recode(rest);
            sections.push(section);
            rest = after;
        }
    }
    assert!(rest.is_empty(), "{rest:?} follows the confirmed runs");
    assert_eq!(sections.concat(), segment);
    sections
}

/// Returns the encoding of sections of which the empty ones at the end are left out.
fn without_empty_end(sections: &[Vec<u8>]) -> Vec<u8> {
    let is_empty = |section: &&Vec<u8>| **section == [0];
    let count = sections.iter().rev().take_while(is_empty).count();
    sections[..(sections.len() - count).max(1)].concat()
}

/// Returns a simulation with a straggler and its copy, both of which go on, of tenant `a` if there are
/// tenants, and the segments written so far. The store is so slow that one segment has the copy, other
/// jobs that have just been submitted, and a job that has lost runs.
fn straggler_with_copy(has_tenants: bool) -> (Simulation, BTreeMap<String, Vec<u8>>) {
    let mut simulation = Simulation::new(3, 8, None);
    simulation.run_ms(200);
    if has_tenants {
        simulation.use_tenants(&["a", "b"], &[]);
    }
    let tenant = has_tenants.then_some("a");
    let run = |job_id, step, index, run| {
        let task = model::TaskKey {
            job_id,
            occurrence: 0,
            step,
            index,
        };
        model::RunKey { task, run }
    };
    // One task goes on, so that its lost run is stored whenever the job has changed; the others, of which
    // few are on the same worker, end one after the other.
    let mut loser = simulation::job(2, "short", simulation::step(1, 500, 60_000));
    loser.steps.push(model::Step {
        max_per_worker: Some(8),
        ..simulation::step(60, 100, 60_000)
    });
    for index in 0..60 {
        let run_ms = 8_000 + 40 * u64::from(index);
        simulation.slow_runs_ms.insert(run(2, 1, index, 1), run_ms);
    }
    simulation.submit_of(tenant, loser);
    simulation.run_ms(500);
    let mut workers = simulation.workers.iter();
    let worker = workers.find(|one| one.has_run(run(2, 0, 0, 1)));
    let incarnation = worker.expect("the task runs").incarnation.clone();
    simulation.crash(&incarnation);
    simulation.run_ms(6_000);
    let step = model::Step {
        speculative: true,
        ..simulation::step(6, 2_000, 1_000)
    };
    for number in [1, 2] {
        simulation.slow_runs_ms.insert(run(1, 0, 2, number), 10_000);
    }
    simulation.submit_of(tenant, simulation::job(1, "short", step));
    simulation.run_ms(1_500);
    simulation.store_ms = 150;
    let mut written = BTreeMap::new();
    for id in 3..203 {
        let short = simulation::job(id, "short", simulation::step(1, 100, 9_000));
        let request = model::JobRequest::Submit(Box::new(short));
        simulation.request_of(tenant, 1, request);
        simulation.run_ms(10);
        written.extend(simulation.store.clone());
    }
    simulation.store_ms = 5;
    simulation.run_ms(500);
    assert_eq!(simulation.max_runs_of_task, 2);
    (simulation, written)
}

/// Guards against copies that change segments without them, and against sections that are left out before
/// one that is not: segments without copies equal those of builds that know only tenants, and segments
/// without copies and tenants equal those of the former build.
#[test]
fn copies_follow_the_tenants_in_segments() {
    for has_tenants in [false, true] {
        let (_, written) = straggler_with_copy(has_tenants);
        // Segments by which of the lost runs, tenants and copies they have.
        let mut kinds = BTreeSet::new();
        for (key, segment) in &written {
            assert!(key.starts_with(jobs::SEGMENT_PREFIX), "{key}");
            let sections = sections(segment);
            assert_eq!(without_empty_end(&sections), *segment, "{key}");
            let has = |index: usize| sections.get(index).is_some_and(|one| *one != [0]);
            kinds.insert([has(1), has(2), has(3)]);
        }
        assert!(kinds.contains(&[true, has_tenants, true]), "{kinds:?}");
        assert!(kinds.contains(&[true, has_tenants, false]), "{kinds:?}");
        assert_eq!(kinds.iter().any(|[_, has, _]| *has), has_tenants);
    }
}

/// Guards against a change of build in either direction that loses a job with a copy, or its tenant.
#[test]
fn segments_of_builds_without_copies_are_read() {
    for has_copies in [false, true] {
        let (mut simulation, _) = straggler_with_copy(true);
        simulation.kill_leader();
        if !has_copies {
            for segment in simulation.store.values_mut() {
                let sections = sections(segment);
                *segment = without_empty_end(&sections[..sections.len().min(3)]);
            }
        }
        simulation.elect_leader();
        simulation.run_ms(1_000);
        let running = status(model::JobStatus::Running);
        assert_eq!(simulation.status_of(Some("a"), 1), running);
        assert_eq!(simulation.status_of(Some("b"), 1), UNKNOWN);
        // The copy goes on only if the leader knows it.
        let mut workers = simulation.workers.iter();
        let is_copy = |run: model::RunKey| run.task.job_id == 1 && run.run == 2;
        let goes_on = workers.any(|worker| worker.run_keys().any(is_copy));
        assert_eq!(goes_on, has_copies);
        simulation.run_ms(15_000);
        let completed = status(model::JobStatus::Completed);
        assert_eq!(simulation.status_of(Some("a"), 1), completed);
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
