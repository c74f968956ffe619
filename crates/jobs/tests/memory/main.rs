//! Compares the memory that is counted for open jobs with what they take.

use std::fs;
use std::sync;
use std::time;

use rand::Rng as _;
use rand::SeedableRng as _;

const QUEUE: &str = "batch";
const EPOCH_MS: u64 = 1_700_000_000_000;
/// Most tasks of a job over all occurrences that callers may send.
const MAX_TASKS: u32 = 20_000;
/// Largest body that callers may send, in bytes.
const MAX_BODY_BYTES: usize = 262_144;

type Builder<'a> = Box<dyn FnMut(model::JobId) -> model::Job + 'a>;

fn step(task_count: u32) -> model::Step {
    model::Step {
        task_count,
        ..model::Step::default()
    }
}

fn job(id: model::JobId, steps: Vec<model::Step>, occurrence_count: u32) -> model::Job {
    let schedule = model::Schedule {
        first_at_ms: EPOCH_MS + 1_000_000,
        period_ms: 1,
        occurrence_count,
    };
    model::Job {
        id,
        queue: QUEUE.into(),
        spec: "text".into(),
        steps,
        schedule: (occurrence_count > 0).then_some(schedule),
    }
}

fn chain(id: model::JobId) -> model::Job {
    let steps = (0..8_500).map(|number: u16| model::Step {
        after: number.checked_sub(1).into_iter().collect(),
        ..step(1)
    });
    job(id, steps.collect(), 0)
}

fn random_job(id: model::JobId, random: &mut rand::rngs::StdRng) -> model::Job {
    let occurrences = [0, 0, 1, 30][random.random_range(0..4)];
    let step_count = random.random_range(1..60_u16);
    let text = |bytes: usize| Some(sync::Arc::from("x".repeat(bytes)));
    let steps = (0..step_count).map(|number| model::Step {
        after: (0..number).filter(|_| random.random_bool(0.3)).collect(),
        image: text(random.random_range(0..200)).filter(|_| random.random_bool(0.5)),
        required_label: text(random.random_range(0..40)).filter(|_| random.random_bool(0.2)),
        data_rack: text(random.random_range(0..40)).filter(|_| random.random_bool(0.2)),
        ..step(random.random_range(1..10))
    });
    job(id, steps.collect(), occurrences)
}

fn scheduler() -> jobs::Scheduler {
    let settings = jobs::Settings {
        max_open_bytes: usize::MAX,
        max_waiting_steps: usize::MAX,
        ..jobs::Settings::default()
    };
    let timeout = time::Duration::from_secs(2);
    let mut scheduler = jobs::Recovery::default().build(settings, 1, timeout, clock());
    let queue = jobs::Queue {
        name: QUEUE.into(),
        host: "h".to_owned(),
        path_prefix: "/".to_owned(),
        pool: "pool".into(),
        priority: 0,
        max_failures: 3,
        stretch: 2.0,
        target_latency: time::Duration::from_millis(400),
        request_timeout: time::Duration::from_secs(3),
        advice: None,
    };
    let manifest = jobs::Manifest {
        version: 1,
        queues: [(queue.name.clone(), sync::Arc::new(queue))].into(),
        ..jobs::Manifest::default()
    };
    scheduler.handle(jobs::Event::Manifest(manifest), clock());
    scheduler
}

fn clock() -> jobs::Clock {
    jobs::Clock {
        now: time::Instant::now(),
        wall_ms: EPOCH_MS,
    }
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let status = fs::read_to_string("/proc/self/status").expect("readable status");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    let kilobytes: usize = kilobytes.expect("VmRSS").parse().expect("a number");
    kilobytes * 1_024
}

/// Admission that counts less than jobs take, so that those it accepts end the leader and its successor.
#[test]
fn open_jobs_take_no_more_memory_than_is_counted() {
    let mut random = rand::rngs::StdRng::seed_from_u64(1);
    let wide = |id| job(id, vec![step(MAX_TASKS)], 0);
    let repeated = |id| job(id, vec![step(1)], MAX_TASKS);
    let many_steps = |id| job(id, vec![step(1); MAX_TASKS as usize], 0);
    let texts = |id| {
        let mut large = step(1);
        large.image = Some("x".repeat(MAX_BODY_BYTES).into());
        job(id, vec![large], 0)
    };
    let small = |id| job(id, vec![step(1)], 0);
    // Each job is built when it is submitted, so that it shares nothing.
    let mut kinds: Vec<(&str, u64, Builder<'_>)> = vec![
        ("chains", 6, Box::new(chain)),
        ("wide", 12, Box::new(wide)),
        ("repeated", 4, Box::new(repeated)),
        ("many steps", 4, Box::new(many_steps)),
        ("texts", 100, Box::new(texts)),
        ("small", 10_000, Box::new(small)),
        ("random", 1_000, Box::new(|id| random_job(id, &mut random))),
    ];
    let mut schedulers = Vec::new();
    for (kind, count, build) in &mut kinds {
        let mut scheduler = scheduler();
        let before_bytes = resident_bytes();
        for id in 0..*count {
            let event = jobs::Event::Request {
                token: id,
                age: time::Duration::ZERO,
                manifest_version: 1,
                request: model::JobRequest::Submit(Box::new(build(id))),
                tenant: None,
                overload_retry_ms: None,
            };
            scheduler.handle(event, clock());
        }
        let taken_bytes = resident_bytes() - before_bytes;
        let summary = scheduler.summary();
        assert_eq!(summary.open_jobs as u64, *count, "{kind}");
        println!(
            "{kind}: {taken_bytes} taken, {} counted",
            summary.open_bytes
        );
        assert!(taken_bytes <= summary.open_bytes, "{kind}");
        schedulers.push(scheduler);
    }
}
