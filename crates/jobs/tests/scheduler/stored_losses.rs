//! Lost runs in the store: builds with and without them read each other's segments.

use std::sync;

use serde::Deserialize;
use serde::Serialize;

use crate::simulation;
use crate::simulation::Simulation;

/// A record as builds without lost runs define it.
#[derive(Serialize, Deserialize)]
pub(crate) struct JobRecord {
    job_id: model::JobId,
    definition: Option<Definition>,
    progress: Progress,
}

#[derive(Serialize, Deserialize)]
struct Definition {
    job: model::Job,
    queue: jobs::Queue,
    accepted_at_ms: u64,
}

#[derive(Serialize, Deserialize)]
enum Progress {
    Open {
        outcome: Option<model::JobStatus>,
        started: bool,
        incarnations: Vec<model::WorkerIncarnation>,
        tasks: Vec<TaskRecord>,
    },
    Ended(Ending),
}

#[derive(Serialize, Deserialize)]
pub(crate) struct Ending {
    outcome: model::JobStatus,
    ended_at_ms: u64,
}

#[derive(Serialize, Deserialize)]
struct TaskRecord {
    phase: PhaseRecord,
    last_run: model::RunNumber,
    failed_runs: Vec<model::RunNumber>,
    checkpoint: Option<sync::Arc<str>>,
}

#[derive(Serialize, Deserialize)]
enum PhaseRecord {
    Waiting,
    Placed(u16),
    Done,
}

/// Returns the records that builds without lost runs read, and the length of their encoding.
pub(crate) fn decode(segment: &[u8]) -> (Vec<JobRecord>, usize) {
    let decoded = bincode::serde::decode_from_slice(segment, bincode::config::standard());
    decoded.expect("the records come first and have not changed")
}

/// Returns a simulation in which two workers have crashed under a job that still runs.
fn crashed_twice() -> Simulation {
    let mut simulation = Simulation::new(1, 6, None);
    simulation.run_ms(200);
    simulation.submit(simulation::job(
        1,
        "short",
        simulation::step(1, 2_000, 60_000),
    ));
    for _ in 0..2 {
        simulation.run_ms(500);
        let mut workers = simulation.workers.iter();
        let worker = workers.find(|one| one.run_keys().next().is_some());
        let incarnation = worker.expect("the task runs").incarnation.clone();
        simulation.crash(&incarnation);
        simulation.run_ms(6_000);
    }
    simulation
}

/// A segment with lost runs begins with the records, which builds without them read as before.
#[test]
fn builds_without_lost_runs_read_segments_with_them() {
    let simulation = crashed_twice();
    let mut with_losses = 0;
    for (key, segment) in &simulation.store {
        assert!(key.starts_with(jobs::SEGMENT_PREFIX), "{key}");
        let (records, length) = decode(segment);
        let encoded = bincode::serde::encode_to_vec(&records, bincode::config::standard());
        assert_eq!(encoded.expect("records"), segment[..length], "{key}");
        with_losses += u32::from(length < segment.len());
    }
    assert!(with_losses > 0, "no segment has lost runs");
}

/// A leader reads segments without lost runs, as other builds write them, and the job goes on; with
/// them, it counts the crashes before its term.
#[test]
fn segments_of_builds_without_lost_runs_are_read() {
    for has_losses in [false, true] {
        let mut simulation = crashed_twice();
        simulation.kill_leader();
        if !has_losses {
            for segment in simulation.store.values_mut() {
                let (_, length) = decode(segment);
                segment.truncate(length);
            }
        }
        simulation.elect_leader();
        simulation.run_ms(1_000);
        let running = model::JobReply::Status(model::JobStatus::Running);
        assert_eq!(simulation.status(1), Some(running));
        for _ in 0..3 {
            let mut workers = simulation.workers.iter();
            let worker = workers.find(|one| one.run_keys().next().is_some());
            let incarnation = worker.expect("the task runs").incarnation.clone();
            simulation.crash(&incarnation);
            simulation.run_ms(7_000);
        }
        let failed = model::JobReply::Status(model::JobStatus::Failed);
        let is_failed = simulation.status(1) == Some(failed);
        assert_eq!(is_failed, has_losses, "has_losses {has_losses}");
    }
}
