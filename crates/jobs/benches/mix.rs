//! A mix of gangs, wide steps and short work over many workers, in virtual time: what each kind
//! earns, and what it asks of the recommendation service.
//!
//! `cargo bench -p jobs --bench mix [-- SEEDS]`

#[path = "../tests/scheduler/world/mod.rs"]
#[allow(dead_code, clippy::expect_used)]
mod world;

use std::collections;
use std::sync;
use std::time;

use rand::Rng as _;
use rand::SeedableRng as _;

/// Time of traffic, in milliseconds.
const TRAFFIC_MS: u64 = 34_000;
/// Time after it in which jobs may still end, in milliseconds.
const TAIL_MS: u64 = 30_000;
/// Length of a wave of the traffic, in milliseconds.
const WAVE_MS: f64 = 15_000.0;
/// Swing of a wave around the mean.
const WAVE_SWING: f64 = 0.55;
/// When more gangs come than usual, in milliseconds, and by what factor.
const BURST_MS: std::ops::Range<u64> = 18_000..22_000;
const BURST_FACTOR: f64 = 1.8;
/// Share of steps whose tasks run far longer, and by what factor.
const TAIL_SHARE: f64 = 0.03;
const TAIL_FACTOR: f64 = 7.0;

/// One kind of job.
struct Kind {
    name: &'static str,
    per_second: f64,
    more_steps: f64,
    width: f64,
    width_max: f64,
    processors_milli: f64,
    memory_mb: u32,
    run_ms: f64,
    estimate_error: f64,
    is_gang: bool,
    priority: u32,
    stretch: f64,
    target_latency_ms: u64,
    advice_ms: f64,
    advice_per_worker_ms: f64,
    allowed: f64,
}

const KINDS: [Kind; 3] = [
    Kind {
        name: "gang",
        per_second: 5.0,
        more_steps: 0.2,
        width: 20.0,
        width_max: 120.0,
        processors_milli: 9_000.0,
        memory_mb: 18_000,
        run_ms: 4_200.0,
        estimate_error: 0.2,
        is_gang: true,
        priority: 1,
        stretch: 2.2,
        target_latency_ms: 1_200,
        advice_ms: 559.0,
        advice_per_worker_ms: 8.06,
        allowed: 0.3,
    },
    Kind {
        name: "wide",
        per_second: 8.0,
        more_steps: 0.5,
        width: 25.0,
        width_max: 150.0,
        processors_milli: 3_500.0,
        memory_mb: 7_000,
        run_ms: 2_900.0,
        estimate_error: 0.2,
        is_gang: false,
        priority: 2,
        stretch: 4.0,
        target_latency_ms: 3_000,
        advice_ms: 156.0,
        advice_per_worker_ms: 2.34,
        allowed: 0.45,
    },
    Kind {
        name: "short",
        per_second: 96.9,
        more_steps: 0.0,
        width: 3.2,
        width_max: 19.0,
        processors_milli: 5_000.0,
        memory_mb: 10_000,
        run_ms: 680.0,
        estimate_error: 0.9,
        is_gang: false,
        priority: 0,
        stretch: 1.5,
        target_latency_ms: 400,
        advice_ms: 11.7,
        advice_per_worker_ms: 0.169,
        allowed: 0.7,
    },
];

fn manifest() -> jobs::Manifest {
    let queue = |kind: &Kind| jobs::Queue {
        name: kind.name.into(),
        host: "h".to_owned(),
        path_prefix: format!("/{}/", kind.name),
        pool: "pool".into(),
        priority: kind.priority,
        max_failures: 4,
        stretch: kind.stretch,
        target_latency: time::Duration::from_millis(kind.target_latency_ms),
        request_timeout: time::Duration::from_secs(3),
        advice: Some(jobs::AdviceTerms {
            base_time: time::Duration::from_secs_f64(kind.advice_ms / 1_000.0),
            time_per_worker: time::Duration::from_secs_f64(kind.advice_per_worker_ms / 1_000.0),
            validity: time::Duration::from_millis(1_500),
        }),
    };
    jobs::Manifest {
        version: 1,
        queues: KINDS
            .iter()
            .map(|kind| (kind.name.into(), sync::Arc::new(queue(kind))))
            .collect(),
        pools: indexmap::IndexMap::new(),
    }
}

/// A figure around `mean`, never far below and seldom far above it.
fn around(rng: &mut rand::rngs::StdRng, mean: f64, spread: f64) -> f64 {
    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    mean * (spread * normal - spread * spread / 2.0).exp()
}

/// A job that was handed in, and how long it should take.
struct Handed {
    kind: usize,
    at_ms: u64,
    objective_ms: u64,
    work: f64,
}

fn random_job(
    rng: &mut rand::rngs::StdRng,
    world: &mut world::World,
    id: model::JobId,
    kind: usize,
) -> (model::Job, Handed) {
    let of = &KINDS[kind];
    let mut steps = Vec::new();
    let (mut chain_ms, mut work) = (0.0, 0.0);
    let count = 1 + u16::from(rng.random_bool(of.more_steps));
    for index in 0..count {
        let tail = if rng.random_bool(TAIL_SHARE) {
            TAIL_FACTOR
        } else {
            1.0
        };
        let usual_ms = of.run_ms / (1.0 + TAIL_SHARE * (TAIL_FACTOR - 1.0));
        let run_ms = around(rng, usual_ms, 0.5) * tail;
        let width = around(rng, of.width, 0.8).clamp(1.0, of.width_max).round();
        let processors = around(rng, of.processors_milli, 0.4).clamp(500.0, 30_000.0);
        let estimate = 1.0 + of.estimate_error * (rng.random::<f64>() - 0.5);
        world.run_times_ms.insert((id, index), run_ms as u64);
        chain_ms += run_ms;
        work += run_ms * width * processors;
        steps.push(model::Step {
            gang: of.is_gang,
            after: (0..index).collect(),
            demand: model::Demand {
                processors_milli: processors as u32,
                memory_mb: of.memory_mb,
                accelerators: 0,
            },
            ..world::step(width as u32, 0, (run_ms * estimate) as u32)
        });
    }
    let advice_ms = (of.advice_ms + 30.0 * of.advice_per_worker_ms) * f64::from(count);
    let objective_ms = of.stretch * (chain_ms + advice_ms) + of.target_latency_ms as f64;
    let job = model::Job {
        steps,
        ..world::job(id, of.name, world::step(1, 1, 1))
    };
    let handed = Handed {
        kind,
        at_ms: world.now_ms,
        objective_ms: objective_ms as u64,
        work,
    };
    (job, handed)
}

fn play(seed: u64) -> Vec<(usize, f64)> {
    let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
    let mut world = world::World::new(seed, 350, Some(1.0));
    for worker in &mut world.workers {
        worker.capacity = model::Demand {
            processors_milli: 32_000,
            memory_mb: 131_072,
            accelerators: 0,
        };
    }
    world.allowed_shares = KINDS
        .iter()
        .map(|kind| (kind.name.into(), kind.allowed))
        .collect();
    world.use_manifest(manifest(), 36);
    world.run_ms(500);
    let mut handed = collections::HashMap::new();
    let mut next_id = 0;
    let start_ms = world.now_ms;
    while world.now_ms < start_ms + TRAFFIC_MS {
        let since_ms = world.now_ms - start_ms;
        let wave = 1.0 + WAVE_SWING * (std::f64::consts::TAU * since_ms as f64 / WAVE_MS).sin();
        for (kind, of) in KINDS.iter().enumerate() {
            let is_burst = of.is_gang && BURST_MS.contains(&since_ms);
            let factor = if is_burst { BURST_FACTOR } else { 1.0 };
            let expected = of.per_second * wave * factor / 100.0;
            let mut count = expected.floor() as u32;
            count += u32::from(rng.random_bool(expected.fract()));
            for _ in 0..count {
                next_id += 1;
                let (job, of_job) = random_job(&mut rng, &mut world, next_id, kind);
                handed.insert(next_id, of_job);
                world.submit(job);
            }
        }
        world.run_ms(10);
        if since_ms.is_multiple_of(2_000) {
            report_load(&world, since_ms, &handed);
        }
    }
    world.run_ms(TAIL_MS);
    report(&mut world, &handed)
}

/// Prints how full the workers are, and how many jobs of each kind have not begun.
fn report_load(
    world: &world::World,
    since_ms: u64,
    handed: &collections::HashMap<model::JobId, Handed>,
) {
    let free: f64 = world
        .workers
        .iter()
        .map(|worker| f64::from(worker.free().processors_milli))
        .sum();
    let all: f64 = world
        .workers
        .iter()
        .map(|worker| f64::from(worker.capacity.processors_milli))
        .sum();
    let waiting = |kind: usize| {
        let jobs = handed.iter().filter(|(_, one)| one.kind == kind);
        jobs.filter(|(id, _)| !world.started_at_ms.contains_key(*id))
            .count()
    };
    println!(
        "  {:5.1} s: {:.0}% used, not begun: {} gang, {} wide, {} short",
        since_ms as f64 / 1_000.0,
        100.0 * (1.0 - free / all),
        waiting(0),
        waiting(1),
        waiting(2)
    );
}

fn report(
    world: &mut world::World,
    handed: &collections::HashMap<model::JobId, Handed>,
) -> Vec<(usize, f64)> {
    let mut results = Vec::new();
    for (kind, of) in KINDS.iter().enumerate() {
        let jobs: Vec<_> = handed.iter().filter(|(_, one)| one.kind == kind).collect();
        let mean_work = jobs.iter().map(|(_, one)| one.work).sum::<f64>() / jobs.len() as f64;
        let (mut earned, mut owed, mut in_time, mut late) = (0.0, 0.0, 0, 0);
        for (id, one) in &jobs {
            let worth = (0.3 + 0.7 * one.work / mean_work).min(4.0);
            owed += worth;
            let completed = model::JobReply::Status(model::JobStatus::Completed);
            if world.status(**id) != Some(completed) {
                continue;
            }
            let took_ms = world.ended_at_ms[*id] - one.at_ms;
            if took_ms <= one.objective_ms {
                earned += worth;
                in_time += 1;
            } else if took_ms <= 3 * one.objective_ms {
                earned += 0.2 * worth;
                late += 1;
            }
        }
        println!(
            "  {:6} {:5} jobs, in time {:5}, late {:4}, worth {:.3}",
            of.name,
            jobs.len(),
            in_time,
            late,
            earned / owed
        );
        results.push((kind, earned / owed));
    }
    for (queue, (calls, busy_ms)) in &world.advice_load {
        let busy_s = *busy_ms as f64 / 1_000.0;
        println!("  advice for {queue}: {calls} calls, {busy_s:.0} s");
    }
    results
}

fn main() {
    let seeds = std::env::args().find_map(|argument| argument.parse().ok());
    let seeds: u64 = seeds.unwrap_or(3);
    let mut sums = [0.0; KINDS.len()];
    for seed in 1..=seeds {
        println!("seed {seed}");
        for (kind, worth) in play(seed) {
            sums[kind] += worth;
        }
    }
    for (kind, sum) in KINDS.iter().zip(sums) {
        println!("{}: mean worth {:.3}", kind.name, sum / seeds as f64);
    }
}
